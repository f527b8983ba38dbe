//! Clients, upstreams and operators of the soak, and what they saw.

use {
    crate::{
        gateway::{Response, header, parse, send},
        scripted_upstream::ScriptedUpstream,
    },
    indexmap::IndexMap,
    rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _},
    std::{
        io::{ErrorKind, Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Silence after which a client takes its request for forgotten.
const SILENCE: Duration = Duration::from_secs(40);

/// Kinds of requests, by the prefixes of their routes.
pub const KINDS: [&str; 5] = ["read", "order", "chat", "plan", "turn"];

/// What an upstream does with a request, as its path says: `/KIND/TAG-PIECES-PAUSE/`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    pub kind: &'static str,
    tag: u64,
    pieces: usize,
    pause_ms: u64,
}

impl Script {
    pub fn new(kind: &'static str, pieces: usize, pause_ms: u64) -> Self {
        static TAG: AtomicU64 = AtomicU64::new(1);
        let tag = TAG.fetch_add(1, Ordering::Relaxed);
        Self {
            kind,
            tag,
            pieces,
            pause_ms,
        }
    }

    fn path(&self) -> String {
        let (kind, tag, pieces, pause) = (self.kind, self.tag, self.pieces, self.pause_ms);
        format!("/{kind}/{tag}-{pieces}-{pause}/")
    }

    fn of(head: &str) -> Option<Self> {
        let mut parts = head.split('/').skip(1);
        let kind = parts.next()?;
        let mut numbers = parts.next()?.split('-').map(str::parse::<u64>);
        let mut number = || numbers.next()?.ok();
        Some(Self {
            kind: KINDS.into_iter().find(|it| *it == kind)?,
            tag: number()?,
            pieces: usize::try_from(number()?).ok()?,
            pause_ms: number()?,
        })
    }

    pub fn repeatable(&self) -> bool {
        matches!(self.kind, "read" | "plan")
    }

    fn streams(&self) -> bool {
        matches!(self.kind, "chat" | "plan" | "turn")
    }

    fn data(&self, piece: usize) -> String {
        format!("{}.{piece}", self.tag)
    }

    /// Part of the body with a piece.
    fn part(&self, piece: usize) -> String {
        let data = self.data(piece);
        if self.streams() {
            format!("id: {piece}\ndata: {data}\n\n")
        } else {
            format!("{data};")
        }
    }

    /// The whole body after the first `from` pieces.
    pub fn body(&self, from: usize) -> String {
        (from + 1..=self.pieces).map(|it| self.part(it)).collect()
    }
}

/// A run of a request at an upstream.
#[derive(Debug, Clone)]
pub struct Run {
    pub body: String,
    /// When it would end if nobody disturbed it.
    pub ends: Instant,
}

/// Runs at all upstreams, by the ids of their requests.
pub type Runs = Arc<Mutex<IndexMap<String, Vec<Run>>>>;

fn start_upstream(runs: &Runs) -> ScriptedUpstream {
    let runs = Arc::clone(runs);
    ScriptedUpstream::start(move |_, stream, req| {
        let Some(script) = Script::of(&req.head) else {
            return false;
        };
        let from = header(&req.head, "last-event-id").and_then(|it| it.parse().ok());
        let from: usize = from.unwrap_or(0);
        let pause = Duration::from_millis(script.pause_ms);
        let left = script.pieces.saturating_sub(from);
        let run = Run {
            body: req.body.clone(),
            ends: Instant::now() + pause * u32::try_from(left).expect("few"),
        };
        let mut all = runs.lock().expect("lock");
        all.entry(req.id.clone()).or_default().push(run);
        drop(all);
        let id = &req.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: of-{id}\r\n"
        );
        if !script.streams() {
            thread::sleep(pause * u32::try_from(left).expect("few"));
            let body = script.body(0);
            let text = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let head =
            format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        let mut written = stream.write_all(head.as_bytes());
        for piece in from + 1..=script.pieces {
            thread::sleep(pause);
            let part = script.part(piece);
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            written = written.and_then(|()| stream.write_all(chunk.as_bytes()));
        }
        written
            .and_then(|()| stream.write_all(b"0\r\n\r\n"))
            .is_ok()
    })
}

// ---------------------------------------------------------------------------
// Operators

/// Time after an acknowledgement in which a host may still read back what was before.
const SPREAD_TIME: Duration = Duration::from_secs(3);

const TABLE: &str = r#"{"Version":VERSION,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":9000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":3},
{"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":9000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":2},
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":9000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Resumable":false},
{"Name":"plan","Host":"a.example","PathPrefix":"/plan/","Kind":"streaming","TimeoutMs":9000,"SloMs":250,"Priority":1,"Service":"llm","MaxAttempts":3,"Resumable":true,"Sticky":true},
{"Name":"turn","Host":"a.example","PathPrefix":"/turn/","Kind":"streaming","TimeoutMs":9000,"SloMs":250,"Priority":1,"Service":"llm","MaxAttempts":1,"Resumable":false,"Retain":true,"RetentionS":300.0},
{"Name":"more","Host":"a.example","PathPrefix":"/more-VERSION/","Kind":"safe","TimeoutMs":1000,"SloMs":60,"Priority":2,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"llm","MaxConns":500,"Engine":{"Slots":64,"StrideTokens":10}},{"Name":"app","MaxConns":500}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":9000,"IdleTimeoutMs":30000}}"#;

/// What operators and upstreams do at the control hosts.
pub struct Operators {
    pub controls: Vec<SocketAddr>,
    version: AtomicU64,
    acknowledged: Mutex<Vec<(Instant, u64)>>,
    pub broken: Mutex<Vec<String>>,
    /// Whether clients and changes of the configuration stop.
    pub stop: AtomicBool,
    /// Whether heartbeats stop, too.
    pub end: AtomicBool,
}

impl Operators {
    /// Starts the upstreams, their heartbeats, and two operators.
    pub fn start(seed: u64, controls: &[SocketAddr], runs: &Runs) -> Arc<Self> {
        let operators = Arc::new(Self {
            controls: controls.into(),
            version: AtomicU64::new(1),
            acknowledged: Mutex::default(),
            broken: Mutex::default(),
            stop: AtomicBool::new(false),
            end: AtomicBool::new(false),
        });
        for name in ["app-1", "app-2", "llm-1", "llm-2"] {
            let (operators, upstream) = (Arc::clone(&operators), start_upstream(runs));
            thread::spawn(move || operators.announce(name, upstream.addr));
        }
        for number in 0..2 {
            let operators = Arc::clone(&operators);
            thread::spawn(move || operators.operate(seed << 8 | number));
        }
        operators
    }

    fn announce(&self, name: &str, addr: SocketAddr) {
        let (service, _) = name.split_once('-').expect("a service");
        let head = format!("POST /sapphirequay/instances/{name}/heartbeat HTTP/1.1\nHost: c");
        for sequence in 1.. {
            let body = format!(
                r#"{{"Service":"{service}","Address":"{addr}","Zone":"dc-1","Version":"v1","Slots":64,"State":"ready","Seq":{sequence},"born":5}}"#
            );
            let mut controls = self.controls.iter();
            controls.find(|it| send(**it, &head, &body).is_some_and(|got| got.status == 200));
            thread::sleep(Duration::from_millis(400));
            if self.end.load(Ordering::SeqCst) {
                break;
            }
        }
    }

    pub fn next_version(&self) -> u64 {
        self.version.fetch_add(1, Ordering::SeqCst)
    }

    fn report(&self, broken: String) {
        self.broken.lock().expect("lock").push(broken);
    }

    /// Sends a configuration once. Returns whether it was acknowledged.
    pub fn put(&self, control: SocketAddr, version: u64) -> bool {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        let table = TABLE.replace("VERSION", &version.to_string());
        let got = send(control, head, &table);
        match got.as_ref().map_or(0, |got| got.status) {
            200 => {
                let mut acknowledged = self.acknowledged.lock().expect("lock");
                acknowledged.push((Instant::now(), version));
                return true;
            }
            408 | 429 => {}
            400..500 => self.report(format!("version {version} is refused: {got:?}")),
            _ => {}
        }
        false
    }

    /// Reads the configuration and returns its version.
    pub fn get(&self, control: SocketAddr) -> Option<u64> {
        let asked = Instant::now();
        let head = "GET /sapphirequay/config/get HTTP/1.1\nHost: c";
        let got = send(control, head, "").filter(|got| got.status == 200)?;
        let (_, rest) = got.body.split_once(r#""Version":"#)?;
        let version = rest.split(|it: char| !it.is_ascii_digit()).next()?;
        let version = version.parse().ok()?;
        let acknowledged = self.acknowledged.lock().expect("lock");
        let mut known = acknowledged.iter();
        if let Some(newer) = known.find(|it| it.0 + SPREAD_TIME < asked && it.1 > version) {
            self.report(format!("{control} reads version {version} after {newer:?}"));
        }
        Some(version)
    }

    /// Changes the configuration at any control hosts, until told to stop.
    fn operate(&self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        while !self.stop.load(Ordering::SeqCst) {
            let version = self.next_version();
            for _ in 0..rng.random_range(1..6) {
                let control = *self.controls.choose(&mut rng).expect("controls");
                if self.put(control, version) && rng.random_bool(0.8) {
                    break;
                }
                thread::sleep(Duration::from_millis(rng.random_range(0..300)));
            }
            self.get(*self.controls.choose(&mut rng).expect("controls"));
            thread::sleep(Duration::from_millis(rng.random_range(0..600)));
        }
    }
}

// ---------------------------------------------------------------------------
// Clients

/// How a client's wait for a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The response is whole by its framing.
    Whole,
    Closed,
    Reset,
    Silent,
}

/// A request as its client saw it.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub script: Script,
    /// Pieces that an earlier attempt has brought.
    pub from: usize,
    pub front: usize,
    /// Body that an upstream must get: of a turn, with the conversation before it.
    pub sees: String,
    pub deadline: Duration,
    pub connected: Instant,
    /// When its first byte was written.
    pub began: Instant,
    /// When its last byte was written; `None` if that failed.
    pub sent: Option<Instant>,
    pub ended: Instant,
    pub end: End,
    pub got: String,
}

impl Attempt {
    /// The response, if its head arrived.
    pub fn response(&self) -> Option<Response> {
        let mut got = parse(&self.got)?;
        let framed = ["content-length:", "chunked"].iter();
        let framed = framed.clone().any(|it| got.head.contains(it));
        got.complete = self.end == End::Whole || self.end == End::Closed && !framed;
        Some(got)
    }

    /// Whether the response is a success, and whole by its framing.
    pub fn is_served(&self) -> bool {
        self.end == End::Whole && self.response().is_some_and(|got| got.status == 200)
    }
}

/// A client's connection to a front.
struct Connection {
    stream: TcpStream,
    front: usize,
    since: Instant,
}

/// Turns of a program so far.
#[derive(Debug, Default)]
struct Program {
    name: String,
    last: String,
    conversation: String,
}

/// A client, which keeps its connection as long as the front does.
pub struct Client {
    pub name: String,
    pub fronts: Vec<SocketAddr>,
    /// Whether it also writes with pauses and speaks HTTP/1.0.
    pub varies: bool,
    rng: StdRng,
    number: usize,
    connection: Option<Connection>,
    program: Program,
    /// A stream that broke off, with the pieces that arrived.
    broken: Option<(Script, usize)>,
}

impl Client {
    pub fn new(name: String, seed: u64, fronts: Vec<SocketAddr>) -> Self {
        Self {
            name,
            fronts,
            varies: true,
            rng: StdRng::seed_from_u64(seed),
            number: 0,
            connection: None,
            program: Program::default(),
            broken: None,
        }
    }

    /// Sends requests, one after another, until told to stop.
    pub fn play(mut self, stop: &AtomicBool) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let kind = KINDS[self.rng.random_range(0..KINDS.len())];
            let pause = [5, 40, 150, 300][self.rng.random_range(0..4)];
            let script = Script::new(kind, self.rng.random_range(1..8), pause);
            let front = self.rng.random_range(0..self.fronts.len());
            attempts.extend(self.call(front, script));
            let pause = [0, 5, 30, 200, 800][self.rng.random_range(0..5)];
            thread::sleep(Duration::from_millis(pause));
        }
        attempts
    }

    fn connect(&mut self, front: usize) -> Option<Connection> {
        let kept = self.connection.take();
        if let Some(kept) = kept.filter(|_| self.rng.random_bool(0.9)) {
            return Some(kept);
        }
        let since = Instant::now();
        let stream = TcpStream::connect(self.fronts[front]).ok()?;
        stream.set_read_timeout(Some(SILENCE)).ok()?;
        Some(Connection {
            stream,
            front,
            since,
        })
    }

    /// Sends one request, on the connection that is open, if any, or to `front`. Returns
    /// `None` if there is no connection.
    pub fn call(&mut self, front: usize, mut script: Script) -> Option<Attempt> {
        let mut conn = self.connect(front)?;
        self.number += 1;
        let id = format!("{}-{}-{}", self.name, script.kind, self.number);
        let mut from = 0;
        if script.kind == "plan"
            && let Some(broken) = self.broken.take()
        {
            (script, from) = broken;
        }
        let input = format!("in-{};", script.tag);
        let mut fields = String::new();
        let mut sees = input.clone();
        if from > 0 {
            fields = format!("Last-Event-Id: {from}\r\n");
        }
        if script.kind == "turn" {
            if self.program.last.is_empty() {
                self.program.name.clone_from(&id);
            } else {
                fields = format!("X-Sapphirequay-Previous-Turn: {}\r\n", self.program.last);
            }
            fields = format!(
                "{fields}X-Sapphirequay-Program-Id: {}\r\nX-Sapphirequay-Token-Budget: 1000000\r\n\
                 X-Sapphirequay-Token-Usage: 5,100\r\n",
                self.program.name
            );
            sees = format!("{}{input}", self.program.conversation);
        }
        let time = script.pause_ms * script.pieces as u64;
        let deadline = (time * 2 + 300) * self.rng.random_range(1..4);
        let http = if self.varies && self.rng.random_bool(0.1) {
            "1.0"
        } else {
            "1.1"
        };
        let text = format!(
            "POST {} HTTP/{http}\r\nHost: a.example\r\nX-Sapphirequay-Request-Id: {id}\r\n\
             X-Sapphirequay-Deadline-Ms: {deadline}\r\n{fields}Content-Length: {}\r\n\r\n{input}",
            script.path(),
            input.len()
        );
        let began = Instant::now();
        let sent = self.write(&mut conn.stream, text.as_bytes());
        let (got, end) = read_response(&mut conn.stream);
        let attempt = Attempt {
            id,
            from,
            front: conn.front,
            sees,
            deadline: Duration::from_millis(deadline),
            connected: conn.since,
            began,
            sent,
            ended: Instant::now(),
            end,
            got: String::from_utf8_lossy(&got).into_owned(),
            script,
        };
        self.learn(&attempt);
        let head = attempt.response().map(|got| got.head).unwrap_or_default();
        let closes = http == "1.0" || header(&head, "connection") == Some("close");
        self.connection = Some(conn).filter(|_| end == End::Whole && !closes);
        Some(attempt)
    }

    /// Writes a request, at times with a pause within it. Returns when it wrote the last
    /// byte.
    fn write(&mut self, stream: &mut TcpStream, mut text: &[u8]) -> Option<Instant> {
        if self.varies && self.rng.random_bool(0.15) {
            let (first, rest) = text.split_at(text.len() - self.rng.random_range(1..30));
            stream.write_all(first).ok()?;
            thread::sleep(Duration::from_millis(self.rng.random_range(1..1_200)));
            text = rest;
        }
        let sent = Instant::now();
        stream.write_all(text).ok()?;
        Some(sent)
    }

    /// Notes what a later request goes on from.
    fn learn(&mut self, attempt: &Attempt) {
        let script = &attempt.script;
        if script.kind == "turn" && attempt.is_served() {
            let said = (1..=script.pieces).map(|it| script.data(it) + "\n");
            self.program.conversation = attempt.sees.clone() + &said.collect::<String>();
            self.program.last.clone_from(&attempt.id);
        }
        let refused = attempt.response().is_some_and(|got| got.status != 200);
        if script.kind == "plan" && !refused && !attempt.is_served() {
            let pieces = attempt.got.matches("\n\n").count();
            self.broken = Some((script.clone(), attempt.from + pieces));
        }
    }
}

fn read_response(stream: &mut TcpStream) -> (Vec<u8>, End) {
    let mut got = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return (got, End::Closed),
            Ok(len) => got.extend_from_slice(&buf[..len]),
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return (got, End::Silent);
            }
            Err(_) => return (got, End::Reset),
        }
        if is_whole(&String::from_utf8_lossy(&got)) {
            return (got, End::Whole);
        }
    }
}

/// Whether a response is whole by its length or its last chunk.
fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    if let Some(len) = header(head, "content-length") {
        return len.parse().is_ok_and(|len: usize| body.len() >= len);
    }
    head.to_lowercase().contains("chunked") && parse(text).is_some_and(|got| got.complete)
}
