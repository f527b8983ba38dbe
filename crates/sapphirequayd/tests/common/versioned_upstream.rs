//! Stub upstreams of several software versions, whose streams can break off.

use {
    crate::{
        gateway::{header, read_request},
        ports::free_port,
    },
    std::{
        io::{Read as _, Write as _},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// State that all upstreams of a test share.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Whether new streams break off after their first event.
    pub breaks: AtomicBool,
    /// Whether new streams go silent after their first event.
    pub holds: AtomicBool,
    /// Whether upstreams are full, and say that they don't run a request.
    pub full: AtomicBool,
    /// Ids of the requests that were run.
    ran: Mutex<Vec<String>>,
}

impl SharedState {
    pub fn set_breaks(&self, breaks: bool) {
        self.breaks.store(breaks, Ordering::SeqCst);
    }

    pub fn has_run(&self, id: &str) -> bool {
        let ran = self.ran.lock().expect("lock");
        ran.iter().any(|it| it == id)
    }
}

/// One incarnation of an upstream.
#[derive(Clone)]
pub struct VersionedUpstream {
    pub name: String,
    pub version: String,
    pub addr: SocketAddr,
    /// Start as Unix time in milliseconds, as told in heartbeats.
    pub born: u64,
    shared: Arc<SharedState>,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl VersionedUpstream {
    pub fn start(name: &str, version: &str, born: u64, shared: &Arc<SharedState>) -> Self {
        Self::start_at(free_port(), (name, version, born), shared)
    }

    pub fn start_at(
        addr: SocketAddr,
        (name, version, born): (&str, &str, u64),
        shared: &Arc<SharedState>,
    ) -> Self {
        let upstream = Self {
            name: name.into(),
            version: version.into(),
            addr,
            born,
            shared: Arc::clone(shared),
            ended: Arc::default(),
            streams: Arc::default(),
        };
        let listener = loop {
            match TcpListener::bind(addr) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        listener.set_nonblocking(true).expect("nonblocking");
        let server = upstream.clone();
        thread::spawn(move || server.accept(&listener));
        upstream
    }

    /// Ends the process, as far as its peers can see.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.has_ended() {
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).expect("blocking");
                let kept = stream.try_clone().expect("clone");
                self.streams.lock().expect("lock").push(kept);
                let server = self.clone();
                thread::spawn(move || while server.serve(&stream).is_some() {});
            } else {
                thread::sleep(Duration::from_millis(1));
            }
        }
    }

    /// Answers one request. Returns `None` once the connection is unused.
    fn serve(&self, mut stream: &TcpStream) -> Option<()> {
        let (head, _) = read_request(&mut stream)?;
        if self.has_ended() {
            return None;
        }
        if head.starts_with("GET /sapphirequay/report ") {
            let report = format!("{{\"Stage\":\"both\",\"born\":{}}}", self.born);
            let text = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{report}",
                report.len()
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        let id = header(&head, "x-sapphirequay-request-id")?;
        let meant = header(&head, "x-sapphirequay-expect-instance") == Some(&*self.name);
        let refusal = match (meant, self.shared.full.load(Ordering::SeqCst)) {
            (false, _) => Some("421 Other"),
            (true, true) => Some("503 Full"),
            (true, false) => None,
        };
        if let Some(status) = refusal {
            let text = format!(
                "HTTP/1.1 {status}\r\nx-sapphirequay-request-id: {id}\r\nx-sapphirequay-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        self.shared.ran.lock().expect("lock").push(id.to_owned());
        let head_text = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head_text.as_bytes()).ok()?;
        let resumed = header(&head, "last-event-id").is_some();
        if !resumed {
            self.send_event(stream, 1)?;
            if self.shared.holds.load(Ordering::SeqCst) {
                // Waits until the front closes the connection.
                let _ = stream.read(&mut [0]);
                return None;
            }
            if self.shared.breaks.load(Ordering::SeqCst) {
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            }
        }
        self.send_event(stream, 2)?;
        stream.write_all(b"0\r\n\r\n").ok()
    }

    fn send_event(&self, mut stream: &TcpStream, number: u32) -> Option<()> {
        let event = format!("id: {number}\ndata: {}\n\n", self.version);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).ok()
    }
}
