//! Workers of the platform: each has an id, sends heartbeats, checks the expected instance,
//! and answers with its seal. Model workers stream events, application workers answer with a
//! short body.

use {
    crate::{Record, http::Reader},
    std::{
        io::{self, Write as _},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Number of events of a stream.
pub const EVENTS: usize = 4;

/// Work of a slow request: 120 ms, eight times as long.
const SLOW: Duration = Duration::from_millis(960);

/// A request that a worker ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub body: Vec<u8>,
}

/// A worker. Clones refer to the same worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    streams: bool,
    born: u64,
    seq: Arc<AtomicU64>,
    running: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
    /// Whether two of five requests are slow and hang in the middle of their answers.
    grey: Arc<AtomicBool>,
    /// Requests since the start.
    count: Arc<AtomicU64>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Worker {
    /// Starts a worker that reports to the control addresses.
    pub fn start(
        record: &Record,
        (id, service, zone): (&str, &str, &str),
        streams: bool,
        controls: Vec<SocketAddr>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            streams,
            born: born.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(0)),
            seq: Arc::default(),
            running: Arc::default(),
            ended: Arc::default(),
            grey: Arc::default(),
            count: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        let beating = worker.clone();
        thread::spawn(move || beating.beat(&controls));
        Ok(worker)
    }

    /// Makes two of five requests slow, and hang in the middle of their answers.
    pub fn turn_grey(&self) {
        self.grey.store(true, Ordering::Relaxed);
    }

    /// Sends heartbeats every 1.2 s, to the next daemon after a failure.
    fn beat(&self, controls: &[SocketAddr]) {
        let mut at = 0;
        while !self.ended.load(Ordering::Relaxed) {
            let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
            let running = self.running.load(Ordering::Relaxed);
            let body = format!(
                r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":16,"State":"ready","ColdLeftMs":0,"Stage":"both","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Seq":{seq},"Active":{running},"born":{}}}"#,
                self.service, self.addr, self.zone, self.born
            );
            let start = format!("POST /sapphirequay/instances/{}/heartbeat", self.id);
            let headers = [
                ("Host", "control".to_owned()),
                ("Content-Type", "application/json".to_owned()),
                ("Connection", "close".to_owned()),
            ];
            let limit = Duration::from_secs(1);
            let mut acked = false;
            for _ in 0..controls.len() {
                let answer =
                    crate::http::call(controls[at], &start, &headers, body.as_bytes(), limit);
                if answer.is_ok_and(|it| it.status() == 200) {
                    acked = true;
                    break;
                }
                at = (at + 1) % controls.len();
            }
            let pause = if acked { 1_200 } else { 200 };
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Serves the requests of one connection, one at a time.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().ok()?;
        let mut reader = Reader::new(stream);
        loop {
            let mut req = reader.head().ok()??;
            reader.body(&mut req, true).ok()?;
            if !req.complete {
                return None;
            }
            let id = req.header("x-sapphirequay-request-id").unwrap_or("");
            let load = self.running.load(Ordering::Relaxed);
            let common =
                format!("X-Sapphirequay-Server-Load: {load},0,16\r\nKeep-Alive: timeout=5\r\n");
            if req.start.starts_with("GET /health ") {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Sapphirequay-Instance-Id: {}\r\n{common}Content-Length: 0\r\n\r\n",
                    self.id
                );
                out.write_all(text.as_bytes()).ok()?;
                continue;
            }
            let expected = req.header("x-sapphirequay-expect-instance");
            if expected.is_some_and(|it| it != self.id) {
                self.record
                    .line(format!("worker {}: 421 for request {id}", self.id));
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Sapphirequay-Request-Id: {id}\r\nX-Sapphirequay-Not-Executed: 1\r\n{common}Content-Length: 0\r\n\r\n"
                );
                out.write_all(text.as_bytes()).ok()?;
                continue;
            }
            let target = req.start.split(' ').nth(1).unwrap_or("").to_owned();
            self.record.line(format!(
                "worker {} runs request {id}: {target}, {} bytes, deadline {} ms",
                self.id,
                req.body.len(),
                req.header("x-sapphirequay-deadline-ms").unwrap_or("none")
            ));
            if let Ok(mut runs) = self.runs.lock() {
                runs.push(Run {
                    request: id.to_owned(),
                    body: req.body.clone(),
                });
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            let done = self.answer(&mut out, id, &common);
            self.running.fetch_sub(1, Ordering::Relaxed);
            done.ok()?;
        }
    }

    fn answer(&self, out: &mut TcpStream, id: &str, common: &str) -> io::Result<()> {
        let seal = format!("s.{}.{id}", self.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Sapphirequay-Request-Id: {id}\r\nX-Sapphirequay-Response-Seal: {seal}\r\n{common}"
        );
        if !self.streams {
            let body = format!("done {id}");
            let count = self.count.fetch_add(1, Ordering::Relaxed);
            if self.grey.load(Ordering::Relaxed) && count % 5 < 2 {
                thread::sleep(SLOW);
                let text = format!("{head}Content-Length: {}\r\n\r\ndo", body.len());
                out.write_all(text.as_bytes())?;
                self.record
                    .line(format!("worker {}: hangs in the answer to {id}", self.id));
                // The connection stays open until the front closes it.
                let _ = io::Read::read(out, &mut [0]);
                return Err(io::Error::other("the answer hangs"));
            }
            thread::sleep(Duration::from_millis(10));
            let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            return out.write_all(text.as_bytes());
        }
        let text = format!(
            "{head}Content-Type: text/event-stream\r\nX-Sapphirequay-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        out.write_all(text.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(Duration::from_millis(10));
            let text = format!("id: {event}\ndata: {id} says {event}\n\n");
            write!(out, "{:x}\r\n{text}\r\n", text.len())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}
