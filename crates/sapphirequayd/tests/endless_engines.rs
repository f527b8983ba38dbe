//! Engines that send bytes without end to their sidecar, in a head, a body or an event.

mod common;

use {
    common::{Processes, Role, TestRequest, WAIT_TIMEOUT, kind},
    std::{
        io::{Read as _, Write as _},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Memory that no process may take.
const MEMORY_LIMIT: u64 = 100_000_000;

/// Memory above which a sidecar is killed, for the sake of the machine.
const KILL_LIMIT: u64 = 300_000_000;

/// Calls at the same time that get the flood.
const CALLS: usize = 4;

/// Clusters of processes that play at the same time.
const CLUSTERS: usize = 3;

/// Tokens of a sound stream.
const TOKENS: u64 = 40;

/// Head of a stream without chunks.
const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Head of an error whose body has no length.
const ERROR: &str = "HTTP/1.1 500 No\r\n\r\n";

/// Head of a stream in chunks.
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Bytes that an engine sends without end, after what is given first.
#[derive(Debug, Clone, Copy)]
struct Flood {
    name: &'static str,
    /// Method of the requests that get it; the others are answered as by a sound engine.
    methods: &'static [&'static str],
    start: &'static str,
    repeated: &'static str,
    /// Whether a service sends it, and no engine.
    service: bool,
}

const ALL: &[&str] = &["POST", "GET", "DELETE"];

const fn flood(name: &'static str, start: &'static str, repeated: &'static str) -> Flood {
    Flood {
        name,
        methods: ALL,
        start,
        repeated,
        service: false,
    }
}

const FLOODS: &[Flood] = &[
    flood("a status line", "HTTP/1.1 200 ", "abcdefgh"),
    flood("a header line", "HTTP/1.1 200 OK\r\nx: ", "abcdefgh"),
    flood(
        "header lines",
        "HTTP/1.1 200 OK\r\n",
        "x-fill: abcdefgh\r\n",
    ),
    flood(
        "interim heads",
        "",
        "HTTP/1.1 103 Early Hints\r\nx: a\r\n\r\n",
    ),
    flood("the text of an error", ERROR, "abcdefgh"),
    flood("a line", STREAM, "abcdefgh"),
    flood("data fields of an event", STREAM, "data: abcdefgh\n"),
    flood("a comment line", STREAM, ": abcdefgh"),
    flood("comment lines", STREAM, ": abcdefgh\n"),
    flood("events without data", STREAM, "id: 1\n\n"),
    flood("events without text", STREAM, "data: {\"choices\":[]}\n\n"),
    flood(
        "the same token",
        STREAM,
        "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
    ),
    flood(
        "tokens",
        STREAM,
        "data: {\"choices\":[{\"delta\":{\"content\":\"abcdefgh\"}}]}\n\n",
    ),
    flood("digits of a chunk's size", CHUNKED, "00000000"),
    flood("a chunk extension", CHUNKED, ";abcdefgh"),
    flood(
        "trailers",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x-fill: abcdefgh\r\n",
    ),
    Flood {
        methods: &["GET", "DELETE"],
        ..flood("a line of a resumed stream", STREAM, "abcdefgh")
    },
    Flood {
        service: true,
        ..flood(
            "a header line of a service",
            "HTTP/1.1 200 OK\r\nx: ",
            "abcdefgh",
        )
    },
    Flood {
        service: true,
        ..flood("a body of a service", STREAM, "abcdefgh")
    },
    Flood {
        service: true,
        ..flood("digits of a chunk's size of a service", CHUNKED, "00000000")
    },
];

/// An engine that answers requests whose body names a flood, and the requests of their
/// streams, with it.
#[derive(Debug, Clone)]
struct FloodingEngine {
    addr: SocketAddr,
    flood: Flood,
    /// Whether it answers health checks.
    healthy: Arc<AtomicBool>,
}

impl FloodingEngine {
    fn start(flood: Flood) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
        let engine = Self {
            addr: listener.local_addr().expect("address"),
            flood,
            healthy: Arc::default(),
        };
        let shared = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        engine
    }

    /// Answers one request; a flood goes on until the peer closes the connection.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let req = read_request(&mut stream)?;
        let (method, rest) = req.split_once(' ')?;
        let floods = self.flood.methods.contains(&method);
        let write = |stream: &mut TcpStream, text: &str| stream.write_all(text.as_bytes()).ok();
        if rest.starts_with("/healthz") {
            if self.healthy.load(Ordering::SeqCst) {
                return write(&mut stream, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            }
            let whole_head = self.flood.start.contains("\r\n\r\n");
            return self.send_flood(
                &mut stream,
                if whole_head { ERROR } else { self.flood.start },
            );
        }
        if method == "POST" && rest.contains("sound") {
            write(&mut stream, STREAM)?;
            for token in 1..=TOKENS {
                let text = r#"{"choices":[{"delta":{"content":"word "}}]}"#;
                write(&mut stream, &format!("id: {token}\ndata: {text}\n\n"))?;
                thread::sleep(Duration::from_millis(25));
            }
            let usage = format!(r#"{{"prompt_tokens":1,"completion_tokens":{TOKENS}}}"#);
            return write(
                &mut stream,
                &format!("data: {{\"usage\":{usage}}}\n\ndata: [DONE]\n\n"),
            );
        }
        if !floods {
            let token = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
            return write(&mut stream, &format!("{STREAM}{token}"));
        }
        self.send_flood(&mut stream, self.flood.start)
    }

    fn send_flood(&self, stream: &mut TcpStream, start: &str) -> Option<()> {
        let repeated = self.flood.repeated.repeat(4_096);
        stream.write_all(start.as_bytes()).ok()?;
        while !repeated.is_empty() && stream.write_all(repeated.as_bytes()).is_ok() {}
        // Without such bytes the connection stays as it is.
        while stream.read(&mut [0]).is_ok_and(|len| len > 0) {}
        None
    }
}

/// Reads a request with its body.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    loop {
        let mut buf = [0; 4_096];
        let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let len = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= len.map_or(0, |len| len.parse().unwrap_or(0)) {
                return Some(text);
            }
        }
    }
}

/// Starts a call with a deadline and returns its answer, if there is one.
fn call(
    entry: SocketAddr,
    flood: &Flood,
    prompt: &str,
    deadline_ms: &'static str,
) -> JoinHandle<Option<(u16, String)>> {
    let body = format!(
        r#"{{"model":"m","max_tokens":200,"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    );
    let service = flood.service;
    thread::spawn(move || {
        let req = TestRequest {
            headers: &[("sapphirequay-deadline-ms", deadline_ms)],
            body: &body,
            ..TestRequest::default()
        };
        let req = TestRequest {
            path: if service { "/v1/services/s" } else { req.path },
            ..req
        };
        req.try_send(entry)
    })
}

/// Processes before a flooding engine, whose sidecar is killed above [`KILL_LIMIT`].
struct Play {
    flood: Flood,
    processes: Processes,
    killed: bool,
    wrong: Vec<String>,
}

impl Play {
    /// Starts the processes, with settings added to those of the sidecar and the entry.
    fn start(flood: Flood, settings: &str, entry: &str) -> (Self, FloodingEngine) {
        let engine = FloodingEngine::start(flood);
        let serves = if flood.service {
            "service = \"s\""
        } else {
            "models = [\"m\"]"
        };
        let table = format!(
            "upstream = \"engine-1\"\naddr = \"{}\"\n{serves}\n{settings}",
            engine.addr
        );
        let mut play = Self {
            flood,
            processes: Processes::start_for(&table, entry),
            killed: false,
            wrong: Vec::new(),
        };
        play.wait_for_answer("no sound call is served", |got| got.0 == 200);
        (play, engine)
    }

    fn check(&mut self, good: bool, what: &str) {
        if !good {
            self.wrong.push(format!("{}: {what}", self.flood.name));
        }
    }

    /// Waits until `done`. Returns `false` if it takes too long or the sidecar is killed.
    fn wait(&mut self, what: &str, mut done: impl FnMut() -> bool) -> bool {
        let began = Instant::now();
        while !self.killed && !done() {
            self.killed = self.processes.peak_memory(Role::Sidecar) > KILL_LIMIT;
            if self.killed {
                self.processes.kill(Role::Sidecar);
                self.check(false, &format!("the sidecar took over {KILL_LIMIT} bytes"));
            } else if began.elapsed() > WAIT_TIMEOUT {
                self.check(false, what);
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        !self.killed
    }

    /// Sends sound calls until one is answered as wanted.
    fn wait_for_answer(&mut self, what: &str, wanted: impl Fn(&(u16, String)) -> bool) -> bool {
        let (entry, flood) = (self.processes.entries[0], self.flood);
        let mut running = call(entry, &flood, "sound", "60000");
        self.wait(what, || {
            if !running.is_finished() {
                return false;
            }
            let ended = std::mem::replace(&mut running, call(entry, &flood, "sound", "60000"));
            wanted(&ended.join().expect("no panic").unwrap_or_default())
        })
    }

    fn print_memory(&mut self) {
        for role in [Role::Sidecar, Role::Entry(0)] {
            let peak = self.processes.peak_memory(role);
            let name = self.flood.name;
            println!("{name}: peak memory of {role:?} {} MB", peak / 1_000_000);
            self.check(peak < MEMORY_LIMIT, &format!("{role:?} took {peak} bytes"));
        }
    }
}

/// Plays a flood beside a sound call and returns what is wrong, if anything.
fn play(flood: Flood) -> Vec<String> {
    let (mut play, engine) = Play::start(flood, "", "");
    let entry = play.processes.entries[0];
    let beside = call(entry, &flood, "sound", "60000");
    let calls: Vec<_> = (0..CALLS)
        .map(|_| call(entry, &flood, "flood", "60000"))
        .collect();
    let began = Instant::now();
    let ended = play.wait("callers have no answer", || {
        calls.iter().all(JoinHandle::is_finished) && beside.is_finished()
    });
    let took = began.elapsed().as_millis();
    if !ended {
        return play.wrong;
    }
    let answers = calls.into_iter().map(|call| call.join().expect("no panic"));
    let answers: Vec<_> = answers
        .flatten()
        .map(|(status, text)| (status, kind(&text)))
        .collect();
    println!("{}: after {took} ms callers got {answers:?}", flood.name);
    let served = flood.name == "tokens";
    let kinds = ["upstream_lost", "upstream_error", "outcome_unknown"];
    for (status, kind) in &answers {
        let failed = *status == 502 && kinds.contains(&&**kind);
        let good = failed || served && *status == 200;
        play.check(good, &format!("a caller got {status} {kind}"));
    }
    let count = answers.len();
    play.check(count == CALLS, &format!("{count} callers got an answer"));
    let beside = beside.join().expect("no panic").unwrap_or_default();
    play.check(beside.0 == 200, &format!("the call beside got {beside:?}"));
    if !served {
        play.wait_for_answer("the upstream does not count as failing", |got| {
            kind(&got.1) == "no_upstream"
        });
    }
    engine.healthy.store(true, Ordering::SeqCst);
    play.wait_for_answer("no sound call is served again", |got| got.0 == 200);
    if !play.killed {
        play.print_memory();
    }
    play.wrong
}

#[test]
fn floods_of_an_engine_leave_its_sidecar_within_its_memory_and_for_others() {
    let wrong = Mutex::new(Vec::new());
    let left = Mutex::new(FLOODS.iter());
    thread::scope(|scope| {
        for _ in 0..CLUSTERS {
            scope.spawn(|| {
                loop {
                    let next = left.lock().expect("lock").next();
                    let Some(flood) = next else { break };
                    let found = play(*flood);
                    wrong.lock().expect("lock").extend(found);
                }
            });
        }
    });
    let wrong = wrong.into_inner().expect("lock");
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn large_texts_of_many_calls_leave_an_entry_within_its_memory() {
    const MEMORY_MB: u64 = 60;
    const TEXT_BYTES: usize = 200_000;
    let text = "a".repeat(TEXT_BYTES);
    let event = format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n");
    // Below the bound of a response.
    let start = format!("{STREAM}{}", event.repeat(18)).leak();
    let settings = "[policy.admit]\nstart_limit = 64\nmin_limit = 64\n";
    let entry = format!("memory_mb = {MEMORY_MB}\nmax_body_bytes = 1000000");
    let (mut play, _engine) = Play::start(flood("large texts", start, ""), settings, &entry);
    let (entry, texts) = (play.processes.entries[0], play.flood);
    let calls: Vec<_> = (0..24)
        .map(|_| call(entry, &texts, "flood", "5000"))
        .collect();
    play.wait("callers have no answer", || {
        calls.iter().all(JoinHandle::is_finished)
    });
    let peak = play.processes.peak_memory(Role::Entry(0));
    println!("peak memory of the entry {} MB", peak / 1_000_000);
    play.check(peak < MEMORY_MB * 1_000_000, &format!("peak memory {peak}"));
    assert!(play.wrong.is_empty(), "{:#?}", play.wrong);
}

#[test]
fn unfinished_events_of_many_calls_leave_a_sidecar_within_its_memory() {
    const UNFINISHED: usize = 1_000_000;
    const MEMORY_MB: u64 = 60;
    let start = format!("{STREAM}data: {}", "a".repeat(UNFINISHED)).leak();
    let settings =
        format!("memory_mb = {MEMORY_MB}\n[policy.admit]\nstart_limit = 64\nmin_limit = 64\n");
    let stalled = flood("unfinished events", start, "");
    let (mut play, _engine) = Play::start(stalled, &settings, "");
    let entry = play.processes.entries[0];
    let calls = (0..64).map(|_| call(entry, &stalled, "flood", "5000"));
    let calls: Vec<_> = calls.collect();
    play.wait("callers have no answer", || {
        calls.iter().all(JoinHandle::is_finished)
    });
    let peak = play.processes.peak_memory(Role::Sidecar);
    println!("peak memory {} MB", peak / 1_000_000);
    play.check(peak < MEMORY_MB * 1_000_000, &format!("peak memory {peak}"));
    assert!(play.wrong.is_empty(), "{:#?}", play.wrong);
}
