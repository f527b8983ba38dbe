//! A model worker as PROTOCOL.md describes it: heartbeats, reports, and answers with a
//! seal and the id of the request. It runs what it gets at once.

use {
    crate::{host, http},
    std::{
        io::{self, BufRead as _, BufReader, Read as _, Write as _},
        net::{Shutdown, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// A request that a worker has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub bytes: usize,
}

/// Requests that the workers have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Number of events of an answer.
const EVENTS: usize = 8;

#[derive(Debug, Clone)]
struct Worker {
    name: String,
    service: String,
    zone: String,
    ip: String,
    born: u128,
    runs: Runs,
    settings: Settings,
    streams: Arc<AtomicU64>,
}

/// How a worker differs from others.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Version of its software, which its events name.
    pub version: &'static str,
    /// Breaks off each stream of this number in the middle of an event; 0 for none.
    pub breaks_each: u64,
}

/// Event in the middle of which a stream is broken off.
const BROKEN_EVENT: usize = 5;

/// Starts a worker, which tells the control machines of itself.
pub fn start(
    number: usize,
    (service, settings): (&str, Settings),
    zone: &str,
    ip: &str,
    controls: Vec<String>,
    runs: &Runs,
) -> io::Result<()> {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let worker = Worker {
        name: format!("i-{number:04}"),
        service: service.into(),
        zone: zone.into(),
        ip: ip.into(),
        born,
        runs: Arc::clone(runs),
        settings,
        streams: Arc::default(),
    };
    let listener = TcpListener::bind((ip, host::WORKER_PORT))?;
    let serving = worker.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let worker = serving.clone();
            thread::spawn(move || worker.serve(stream));
        }
    });
    thread::spawn(move || worker.tell(&controls));
    Ok(())
}

impl Worker {
    /// Sends a heartbeat every 1.2 s.
    fn tell(&self, controls: &[String]) {
        for seq in 1.. {
            let body = format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}:{}\",\"Zone\":\"{}\",\"Version\":\"{}\",\"Slots\":16,\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"both\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Seq\":{seq},\"born\":{}}}",
                self.service,
                self.ip,
                host::WORKER_PORT,
                self.zone,
                self.settings.version,
                self.born
            );
            let path = format!("/sapphirequay/instances/{}/heartbeat", self.name);
            for control in controls {
                let target = (control.as_str(), host::CONTROL_PORT);
                let headers = [
                    ("Host", control.as_str()),
                    ("Content-Type", "application/json"),
                ];
                let answer = http::send(
                    target,
                    ("POST", &path),
                    &headers,
                    body.as_bytes(),
                    Duration::from_secs(1),
                );
                if answer.status == 200 {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(1_200));
        }
    }

    /// Serves the requests of a connection one after the other.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::with_capacity(64 << 10, stream);
        while let Ok(Some((head, body))) = read_request(&mut reader) {
            if self.answer(&head, &body, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &str, body: &[u8], out: &mut TcpStream) -> io::Result<()> {
        let path = head.split(' ').nth(1).unwrap_or_default();
        if path.starts_with("/sapphirequay/report") {
            let text = format!(
                "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Busy\":false,\"Seq\":0,\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":644396,\"Handles\":0,\"born\":{}}}",
                self.born
            );
            return respond(out, "200 OK", "Content-Type: application/json\r\n", &text);
        }
        if path == "/health" {
            let line = format!("X-Sapphirequay-Instance-Id: {}\r\n", self.name);
            return respond(out, "200 OK", &line, "");
        }
        let Some(id) = http::header(head, "x-sapphirequay-request-id") else {
            return respond(
                out,
                "400 Bad Request",
                "X-Sapphirequay-Not-Executed: 1\r\n",
                "",
            );
        };
        let own = format!("X-Sapphirequay-Request-Id: {id}\r\n");
        if http::header(head, "x-sapphirequay-expect-instance").is_some_and(|it| it != self.name) {
            return respond(
                out,
                "421 Misdirected Request",
                &format!("{own}X-Sapphirequay-Not-Executed: 1\r\n"),
                "",
            );
        }
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(Run {
                id: id.into(),
                bytes: body.len(),
            });
        }
        write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{own}X-Sapphirequay-Response-Seal: {id}.{}.{}\r\nX-Sapphirequay-Server-Load: 1,0,16\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name,
            body.len()
        )?;
        // A stream that is taken up again goes on behind the last event that the client has.
        let last = http::header(head, "last-event-id").and_then(|it| it.parse::<usize>().ok());
        let stream = self.streams.fetch_add(1, Ordering::Relaxed) + 1;
        let breaks = self.settings.breaks_each > 0
            && last.is_none()
            && stream % self.settings.breaks_each == 0;
        for event in 1 + last.unwrap_or(0)..=EVENTS {
            thread::sleep(Duration::from_millis(5));
            let version = self.settings.version;
            let text = format!(
                "id: {event}\ndata: {version} {id} {event} {}\n\n",
                "w".repeat(150)
            );
            if breaks && event == BROKEN_EVENT {
                write!(out, "{:x}\r\n{}", text.len(), &text[..text.len() / 2])?;
                out.flush()?;
                return out.shutdown(Shutdown::Both);
            }
            write!(out, "{:x}\r\n{text}\r\n", text.len())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}

fn respond(out: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    write!(
        out,
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads the head and the body of a request; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Vec<u8>)>> {
    let mut head = String::new();
    loop {
        let start = head.len();
        if reader.read_line(&mut head)? == 0 {
            return Ok(None);
        }
        if &head[start..] == "\r\n" {
            break;
        }
    }
    let len = http::header(&head, "content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some((head, body)))
}
