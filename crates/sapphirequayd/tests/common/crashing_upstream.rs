//! Stub upstreams that crash when they begin to run a certain request.

use {
    crate::{
        gateway::{header, read_request},
        ports::free_port,
    },
    socket2::{Domain, Socket, Type},
    std::{
        io::Write as _,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Body of the request that crashes upstreams.
pub const DEADLY: &str = "deadly";

/// How an upstream crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// Closes all connections before the head of the response.
    BeforeHead,
    /// Closes all connections after the first event of a stream.
    MidStream,
    /// Closes all connections; another upstream listens at the address at once.
    Replaced,
    /// Closes no connection, answers nothing and accepts no connection.
    Silent,
    /// Closes only the connection of the request, and goes on running.
    BreaksOff,
    /// Crashes before the head, but answers each third run of the deadly request
    /// with this status.
    FailsSome(u16),
    /// Crashes before the head, [`LATE_CRASH_DELAY`] after it received the deadly
    /// request.
    Late,
}

/// Delay of [`CrashMode::Late`]: longer than a front accepts connections after
/// SIGTERM, so that the request is the last one that it serves.
pub const LATE_CRASH_DELAY: Duration = Duration::from_secs(4);

/// Counts of all upstreams of a test.
#[derive(Debug, Default)]
pub struct Counts {
    /// Runs of the deadly request.
    pub deadly: AtomicUsize,
    /// Runs of the deadly request that were answered.
    pub failed: AtomicUsize,
    /// Runs of other requests.
    pub other: AtomicUsize,
}

impl Counts {
    pub fn deadly(&self) -> usize {
        self.deadly.load(Ordering::SeqCst)
    }

    /// Upstreams that the deadly request crashed.
    pub fn crashes(&self) -> usize {
        self.deadly() - self.failed.load(Ordering::SeqCst)
    }
}

/// One incarnation of an upstream. It keeps connections open for reuse.
#[derive(Clone)]
pub struct CrashingUpstream {
    pub name: String,
    pub addr: SocketAddr,
    mode: CrashMode,
    counts: Arc<Counts>,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Upstream that took over the address.
    pub successor: Arc<Mutex<Option<CrashingUpstream>>>,
}

impl CrashingUpstream {
    pub fn start(name: &str, mode: CrashMode, counts: &Arc<Counts>) -> Self {
        Self::start_at(name, free_port(), mode, counts)
    }

    fn start_at(name: &str, addr: SocketAddr, mode: CrashMode, counts: &Arc<Counts>) -> Self {
        let upstream = Self {
            name: name.into(),
            addr,
            mode,
            counts: Arc::clone(counts),
            ended: Arc::default(),
            streams: Arc::default(),
            successor: Arc::default(),
        };
        let listener = listen(addr);
        let shared = upstream.clone();
        thread::spawn(move || shared.accept(listener));
        upstream
    }

    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: TcpListener) {
        while !self.ended() {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("blocking");
                    let kept = stream.try_clone().expect("clone");
                    self.streams.lock().expect("lock").push(kept);
                    let shared = self.clone();
                    thread::spawn(move || while shared.serve(&stream).is_some() {});
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        match self.mode {
            CrashMode::Silent => {
                // With a full backlog the system answers no further connection.
                let fill = || TcpStream::connect_timeout(&self.addr, Duration::from_millis(50));
                let waiting: Vec<_> = (0..4).map(|_| fill()).collect();
                self.streams
                    .lock()
                    .expect("lock")
                    .extend(waiting.into_iter().flatten());
                std::mem::forget(listener);
            }
            CrashMode::Replaced => {
                drop(listener);
                let name = format!("{}+", self.name);
                let next = Self::start_at(&name, self.addr, self.mode, &self.counts);
                *self.successor.lock().expect("lock") = Some(next);
            }
            _ => {}
        }
    }

    /// Ends the process, as far as its peers can see.
    fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        if self.mode != CrashMode::Silent {
            for stream in self.streams.lock().expect("lock").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Answers one request. Returns `None` once the connection is unused.
    fn serve(&self, mut stream: &TcpStream) -> Option<()> {
        let (head, body) = read_request(&mut stream)?;
        if self.ended() {
            return None;
        }
        let id = header(&head, "x-sapphirequay-request-id")?;
        if header(&head, "x-sapphirequay-expect-instance") != Some(&*self.name) {
            let text = format!(
                "HTTP/1.1 421 Other\r\nx-sapphirequay-request-id: {id}\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        let common =
            format!("x-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: s\r\n");
        let event = "13\r\nid: 1\ndata: hello\n\n\r\n";
        let stream_head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}transfer-encoding: chunked\r\n\r\n"
        );
        if body == DEADLY {
            let runs = 1 + self.counts.deadly.fetch_add(1, Ordering::SeqCst);
            if let CrashMode::FailsSome(status) = self.mode
                && runs.is_multiple_of(3)
            {
                self.counts.failed.fetch_add(1, Ordering::SeqCst);
                let text = format!("HTTP/1.1 {status} Failed\r\n{common}content-length: 0\r\n\r\n");
                return stream.write_all(text.as_bytes()).ok();
            }
            if self.mode == CrashMode::MidStream {
                let _ = stream.write_all(format!("{stream_head}{event}").as_bytes());
            }
            if self.mode == CrashMode::Late {
                thread::sleep(LATE_CRASH_DELAY);
            }
            match self.mode {
                CrashMode::BreaksOff => drop(stream.shutdown(Shutdown::Both)),
                _ => self.crash(),
            }
            return None;
        }
        self.counts.other.fetch_add(1, Ordering::SeqCst);
        let text = if head.starts_with("POST /chat/") {
            format!("{stream_head}{event}0\r\n\r\n")
        } else {
            format!("HTTP/1.1 200 OK\r\n{common}content-length: 4\r\n\r\ndone")
        };
        stream.write_all(text.as_bytes()).ok()
    }
}

/// Listener with a short backlog, which [`CrashMode::Silent`] fills.
fn listen(addr: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    socket.set_reuse_address(true).expect("reuse");
    while socket.bind(&addr.into()).is_err() {
        thread::sleep(Duration::from_millis(1));
    }
    socket.listen(1).expect("listen");
    socket.set_nonblocking(true).expect("nonblocking");
    socket.into()
}
