//! Crowds of callers whose requests don't end, and what they cost a process.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use std::{
    fs,
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Time after which a wait fails. Generous, since no test asserts a speed.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Longest time for which a crowd sends.
const PLAY_TIME: Duration = Duration::from_secs(20);

/// Time without a byte sent or a connection made after which a crowd has sent what it can.
const QUIET_TIME: Duration = Duration::from_secs(4);

/// Time after which a member whose connection was closed connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// Held by the test that has a crowd: only one at a time.
static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test of this process has a crowd.
pub fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a member of a crowd sends: a beginning, and a part many times.
#[derive(Debug, Clone, Default)]
pub struct Unfinished {
    pub begins: Vec<u8>,
    pub repeated: Vec<u8>,
    pub times: usize,
}

impl Unfinished {
    /// A chunked body, without its last chunk. `head` is the head without transfer coding.
    pub fn chunked(head: &str, chunk: usize, chunks: usize) -> Self {
        let mut one = format!("{chunk:x}\r\n").into_bytes();
        one.extend(std::iter::repeat_n(b'x', chunk));
        one.extend(b"\r\n");
        // Small chunks are sent many at a time.
        let together = (16_384 / one.len()).clamp(1, chunks.max(1));
        let head = head.replace('\n', "\r\n");
        Self {
            begins: format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n").into_bytes(),
            repeated: one.repeat(together),
            times: chunks / together,
        }
    }

    /// `begins`, then `bytes` times the letter `x`.
    pub fn endless(begins: &str, bytes: usize) -> Self {
        let piece = bytes.clamp(1, 16_384);
        Self {
            begins: begins.replace('\n', "\r\n").into_bytes(),
            repeated: vec![b'x'; piece],
            times: bytes / piece,
        }
    }

    fn len(&self) -> usize {
        self.begins.len() + self.repeated.len() * self.times
    }

    /// Next bytes to send after `sent` ones.
    fn rest(&self, sent: usize) -> &[u8] {
        match sent.checked_sub(self.begins.len()) {
            None => &self.begins[sent..],
            Some(_) if sent >= self.len() => &[],
            Some(after) => &self.repeated[after % self.repeated.len()..],
        }
    }
}

/// A crowd of callers that keep their connections open. A member that is disconnected
/// connects again and begins anew, as long as the crowd plays.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    playing: Arc<AtomicBool>,
    connected: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

struct Member {
    stream: Option<TcpStream>,
    sent: usize,
    since: Instant,
}

impl Member {
    /// Connects if necessary and sends what the socket takes. Returns whether anything
    /// happened.
    fn advance(&mut self, addr: SocketAddr, what: &Unfinished) -> bool {
        let Some(stream) = &mut self.stream else {
            if self.since.elapsed() < RECONNECT_PAUSE {
                return false;
            }
            self.since = Instant::now();
            self.sent = 0;
            let connected = TcpStream::connect_timeout(&addr, RECONNECT_PAUSE);
            self.stream = connected.ok().filter(|it| it.set_nonblocking(true).is_ok());
            return self.stream.is_some();
        };
        let mut happened = false;
        loop {
            let rest = what.rest(self.sent);
            let written = if rest.is_empty() {
                Err(ErrorKind::WouldBlock.into())
            } else {
                stream.write(rest)
            };
            match written {
                Ok(len) => {
                    self.sent += len;
                    happened = true;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.stream = None;
                    return true;
                }
            }
        }
        match stream.read(&mut [0; 1_024]) {
            Ok(0) => self.stream = None,
            Err(err) if err.kind() != ErrorKind::WouldBlock => self.stream = None,
            _ => return happened,
        }
        self.since = Instant::now();
        true
    }
}

impl Crowd {
    /// Starts `size` callers that send `what` as fast as it is taken.
    pub fn start(addr: SocketAddr, size: usize, what: Unfinished) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let playing = Arc::new(AtomicBool::new(true));
        let connected = Arc::new(AtomicUsize::new(0));
        let shared = (
            Arc::clone(&stop),
            Arc::clone(&playing),
            Arc::clone(&connected),
        );
        let thread = thread::spawn(move || {
            let (stop, playing, connected) = shared;
            let began = Instant::now();
            let earlier = began.checked_sub(RECONNECT_PAUSE).unwrap_or(began);
            let members = (0..size).map(|_| Member {
                stream: None,
                sent: 0,
                since: earlier,
            });
            let mut members: Vec<Member> = members.collect();
            let mut last = began;
            while !stop.load(Ordering::SeqCst) {
                let mut happened = false;
                for member in &mut members {
                    if playing.load(Ordering::SeqCst) || member.stream.is_some() {
                        happened |= member.advance(addr, &what);
                    }
                }
                let open = members.iter().filter(|it| it.stream.is_some()).count();
                connected.store(open, Ordering::SeqCst);
                if happened {
                    last = Instant::now();
                } else {
                    thread::sleep(Duration::from_millis(5));
                }
                if last.elapsed() > QUIET_TIME || began.elapsed() > PLAY_TIME {
                    playing.store(false, Ordering::SeqCst);
                }
            }
        });
        Self {
            stop,
            playing,
            connected,
            thread: Some(thread),
        }
    }

    /// Whether members still connect and send.
    pub fn plays(&self) -> bool {
        self.playing.load(Ordering::SeqCst)
    }

    /// Number of members that have a connection.
    pub fn connected(&self) -> usize {
        self.connected.load(Ordering::SeqCst)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Most that a process has held so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Held {
    /// Its memory, and the bytes that have arrived at its ports and are unread.
    pub memory: u64,
    /// Part of `memory` that was unread then.
    pub unread: u64,
    pub descriptors: usize,
}

/// Watches a process while a crowd plays, and fails as soon as it holds more than
/// `memory` bytes. `alive` tells whether it runs.
pub fn watch(
    (id, port): (u32, u16),
    crowd: &Crowd,
    memory: u64,
    mut alive: impl FnMut() -> bool,
) -> Held {
    let mut most = Held::default();
    while crowd.plays() {
        assert!(alive(), "the process has ended; it held {most:?}");
        let unread = unread_bytes(port);
        let now = resident_bytes(id).unwrap_or_default() + unread;
        if now > most.memory {
            (most.memory, most.unread) = (now, unread);
        }
        most.descriptors = most.descriptors.max(open_descriptors(id));
        // The limit stops a process that would take the memory of the machine.
        assert!(most.memory <= memory, "over {memory} bytes: {most:?}");
        thread::sleep(Duration::from_millis(10));
    }
    println!("connected {}, held {most:?}", crowd.connected());
    assert!(alive(), "the process has ended; it held {most:?}");
    most
}

fn resident_bytes(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib = line.trim().strip_suffix(" kB")?;
    kib.parse::<u64>().ok().map(|kib| kib << 10)
}

fn open_descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Bytes that have arrived on connections of a local port and are unread.
fn unread_bytes(port: u16) -> u64 {
    const LISTENING: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        let (_, local) = columns.next()?.split_once(':')?;
        let (state, queues) = (columns.nth(1)?, columns.next()?);
        let own = u16::from_str_radix(local, 16) == Ok(port) && state != LISTENING;
        let (_, unread) = queues.split_once(':').filter(|_| own)?;
        u64::from_str_radix(unread, 16).ok()
    });
    rows.sum()
}

/// Repeats a call until it succeeds.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(100));
    }
}
