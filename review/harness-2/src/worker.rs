//! Stand-in for a worker: announces itself, answers plain requests and streams.

use {
    crate::{
        cluster::operator,
        http::{Conn, Head},
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// A request that reached a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    pub body: Vec<u8>,
    /// Whether the whole answer was written.
    pub answered: bool,
}

#[derive(Debug)]
struct Shared {
    id: String,
    service: String,
    /// Version of its software, which decides what it writes.
    version: String,
    /// Time by which its first heartbeat comes late.
    late: Duration,
    zone: String,
    addr: SocketAddr,
    born: u64,
    events: usize,
    work: Duration,
    /// Pause before each event after the first.
    gap: Duration,
    controls: Vec<SocketAddr>,
    seq: AtomicU64,
    draining: AtomicBool,
    /// Whether it has said that it leaves.
    left: AtomicBool,
    stopped: AtomicBool,
    beats: AtomicBool,
    runs: Mutex<Vec<Run>>,
    open: Mutex<Vec<TcpStream>>,
    last_beat: Mutex<Option<Instant>>,
}

/// A worker; clones share it.
#[derive(Debug, Clone)]
pub struct Worker(Arc<Shared>);

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        addr: SocketAddr,
        controls: Vec<SocketAddr>,
        times: (usize, Duration, Duration),
    ) -> Self {
        Self::start_at(id, service, ("v1", Duration::ZERO), addr, controls, times)
    }

    /// Starts a worker of a software version, whose first heartbeat comes late.
    pub fn start_at(
        id: &str,
        service: &str,
        (version, late): (&str, Duration),
        addr: SocketAddr,
        controls: Vec<SocketAddr>,
        (events, work, gap): (usize, Duration, Duration),
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |it| it.as_millis() as u64);
        let worker = Self(Arc::new(Shared {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            late,
            zone: "zone-1".into(),
            addr,
            born,
            events,
            work,
            gap,
            controls,
            seq: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            left: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            runs: Mutex::default(),
            open: Mutex::default(),
            last_beat: Mutex::default(),
        }));
        let listener = TcpListener::bind(addr).expect("worker address");
        listener.set_nonblocking(true).expect("listener");
        let accepting = worker.clone();
        thread::spawn(move || {
            while !accepting.0.stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            accepting.0.open.lock().expect("lock").push(copy);
                        }
                        let serving = accepting.clone();
                        thread::spawn(move || serving.serve(Conn::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let beating = worker.clone();
        thread::spawn(move || beating.beat_periodically());
        worker
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().expect("lock").clone()
    }

    /// Time of the last acknowledged heartbeat.
    pub fn last_beat(&self) -> Option<Instant> {
        *self.0.last_beat.lock().expect("lock")
    }

    /// Ends the worker: its connections and its listener close.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::SeqCst);
        self.0.beats.store(false, Ordering::SeqCst);
        for stream in self.0.open.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    // -----------------------------------------------------------------------
    // Announcements

    fn beat(&self, control: SocketAddr) -> bool {
        let it = &self.0;
        let seq = it.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if it.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"{}\",\"Slots\":16,\
             \"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":{seq},\"born\":{}}}",
            it.service, it.addr, it.zone, it.version, it.born
        );
        let first = format!("POST /sapphirequay/instances/{}/heartbeat", it.id);
        let acked = operator(control, &first, body.as_bytes()).status == 200;
        if acked {
            *it.last_beat.lock().expect("lock") = Some(Instant::now());
        }
        acked
    }

    /// Every 1.2 s; after a failure the next control host is called.
    fn beat_periodically(&self) {
        thread::sleep(self.0.late);
        let mut next = 0;
        while self.0.beats.load(Ordering::SeqCst) {
            let began = Instant::now();
            for _ in 0..self.0.controls.len() {
                let control = self.0.controls[next % self.0.controls.len()];
                if !self.0.beats.load(Ordering::SeqCst) || self.beat(control) {
                    break;
                }
                next += 1;
            }
            let pause = Duration::from_millis(1_200).saturating_sub(began.elapsed());
            thread::sleep(pause.max(Duration::from_millis(50)));
        }
    }

    /// Sends no heartbeats from now on, as one that is late would.
    pub fn hold_heartbeats(&self) {
        self.0.beats.store(false, Ordering::SeqCst);
    }

    /// Says that it leaves, without having reported `draining`. It serves on. Returns
    /// whether that was acknowledged.
    pub fn leave(&self, control: SocketAddr) -> bool {
        self.0.beats.store(false, Ordering::SeqCst);
        let first = format!("POST /sapphirequay/instances/{}/leave", self.0.id);
        let body = format!("{{\"born\":{}}}", self.0.born);
        let acked = operator(control, &first, body.as_bytes()).status == 200;
        self.0.left.store(true, Ordering::SeqCst);
        acked
    }

    // -----------------------------------------------------------------------
    // Requests

    fn serve(&self, mut conn: Conn) -> Option<()> {
        loop {
            let head = conn.head().ok()?;
            let body = conn.body(&head, false).ok()?;
            self.answer(&mut conn, &head, body)?;
        }
    }

    fn answer(&self, conn: &mut Conn, head: &Head, body: Vec<u8>) -> Option<()> {
        let id = head
            .get("x-sapphirequay-request-id")
            .unwrap_or("")
            .to_owned();
        let mut common = format!("X-Sapphirequay-Request-Id: {id}\r\n");
        if self.0.left.load(Ordering::SeqCst) {
            common.push_str("Server-Leaving: 1\r\n");
        }
        let expected = head.get("x-sapphirequay-expect-instance");
        if expected.is_some_and(|it| it != self.0.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{common}X-Sapphirequay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return conn.stream.write_all(text.as_bytes()).ok();
        }
        // The same input gives the same events, so that a stream can go on anywhere.
        let text_of = digest(&body);
        let version = self.0.version.clone();
        let after = head
            .get("last-event-id")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let place = {
            let mut runs = self.0.runs.lock().expect("lock");
            runs.push(Run {
                id: id.clone(),
                at: Instant::now(),
                body,
                answered: false,
            });
            runs.len() - 1
        };
        common.push_str(&format!("X-Sapphirequay-Response-Seal: seal-{id}\r\n"));
        thread::sleep(self.0.work);
        if head.get("x-sapphirequay-token-usage").is_some() {
            let text = format!(
                "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            conn.stream.write_all(text.as_bytes()).ok()?;
            for event in after + 1..=self.0.events {
                if event > after + 1 {
                    thread::sleep(self.0.gap);
                }
                let text = format!(
                    "id: {event}\ndata: {}\n\n",
                    event_data(text_of, event, &version)
                );
                let text = format!("{:x}\r\n{text}\r\n", text.len());
                conn.stream.write_all(text.as_bytes()).ok()?;
            }
            conn.stream.write_all(b"0\r\n\r\n").ok()?;
        } else {
            let text = format!("done {id}");
            let text = format!(
                "HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            conn.stream.write_all(text.as_bytes()).ok()?;
        }
        if !self.0.stopped.load(Ordering::SeqCst) {
            self.0.runs.lock().expect("lock")[place].answered = true;
        }
        Some(())
    }
}

/// Digest of an input (FNV-1a).
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Data of an event of the stream for an input.
pub fn event_data(input: u64, event: usize, version: &str) -> String {
    format!("{input:016x}-{version}-piece-{event}")
}
