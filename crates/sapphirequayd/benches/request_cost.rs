//! Measures the processor time and wake-ups that a request costs the fronts and the
//! stores of a gateway, each summed over its processes.
//!
//! `SAPPHIREQUAYD` names another daemon to measure, `SAPPHIREQUAYD_STORE` another one
//! for the stores, `STORES` the number of stores
//! (3), `CLIENTS` the number of concurrent callers (16), and `MEASURED_S` the duration
//! of each measurement (5).

#[path = "../tests/common/gateway.rs"]
mod gateway;
#[path = "../tests/common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Role, header, read_request, send},
    std::{
        env,
        fmt::Write as _,
        fs,
        io::{Read as _, Write as _},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":2500,"Priority":1,"Service":"llm","MaxAttempts":1,"Retain":true,"RetentionS":60.0,"Resumable":false},
{"Name":"brief","Host":"a.example","PathPrefix":"/brief/","Kind":"streaming","TimeoutMs":8000,"SloMs":2500,"Priority":1,"Service":"llm","MaxAttempts":1},
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":600,"Priority":1,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"llm","MaxConns":100,"Engine":{"Slots":64,"StrideTokens":10}},{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Events of a stream.
const EVENTS: usize = 10;

/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(4);

/// Time in which a plain call is answered.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Turns of a program. They go to the fronts in turn, so that each one but the first
/// looks up its predecessors on the stores.
const TURNS: usize = 6;

/// Kinds of requests that are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Idle,
    Call,
    Stream,
    Turn,
}

/// Resources that a group of processes has used so far.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    cpu_us: f64,
    /// Voluntary context switches.
    wake_ups: f64,
}

impl Usage {
    fn of(gateway: &Gateway, roles: &[Role]) -> Self {
        let mut usage = Self::default();
        for role in roles {
            let id = gateway.process_id(*role);
            for task in fs::read_dir(format!("/proc/{id}/task")).expect("tasks") {
                let task = task.expect("task").path();
                let ran = fs::read_to_string(task.join("schedstat")).unwrap_or_default();
                let ran = ran.split(' ').next().and_then(|ns| ns.parse::<f64>().ok());
                usage.cpu_us += ran.unwrap_or_default() / 1_000.0;
                let status = fs::read_to_string(task.join("status")).unwrap_or_default();
                let switches = status
                    .lines()
                    .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
                usage.wake_ups += switches
                    .and_then(|it| it.trim().parse::<f64>().ok())
                    .unwrap_or_default();
            }
        }
        usage
    }

    /// What was used since `before`, less the idle usage over `seconds`, for each of
    /// `requests`.
    fn each(self, before: Self, idle: Self, seconds: f64, requests: f64) -> Self {
        let each = |now: f64, then: f64, idle: f64| (now - then - idle * seconds) / requests;
        Self {
            cpu_us: each(self.cpu_us, before.cpu_us, idle.cpu_us),
            wake_ups: each(self.wake_ups, before.wake_ups, idle.wake_ups),
        }
    }

    fn row(&self) -> String {
        format!("{:7.0} | {:6.1}", self.cpu_us, self.wake_ups)
    }
}

/// Upstream that keeps connections open.
fn start_upstream() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_upstream(stream));
        }
    });
    addr
}

fn serve_upstream(mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    loop {
        let (head, _) = read_request(&mut stream)?;
        let id = header(&head, "x-sapphirequay-request-id")?;
        let common = format!(
            "HTTP/1.1 200 OK\r\nx-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: s\r\n\
             x-sapphirequay-server-load: 1,0,64\r\n"
        );
        if head.starts_with("POST /read/") {
            thread::sleep(CALL_TIME);
            let text = format!("{common}content-length: 4\r\n\r\ndone");
            stream.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let text = format!(
            "{common}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).ok()?;
        for event in 0..EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {event}\ndata: {:-<80}\n\n", "");
            let end = if event.starts_with("id: 9") {
                "0\r\n\r\n"
            } else {
                ""
            };
            let chunk = format!("{:x}\r\n{event}\r\n{end}", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
        }
    }
}

/// Caller with one kept-alive connection to each front.
struct Caller {
    connections: Vec<TcpStream>,
}

impl Caller {
    fn new(fronts: &[SocketAddr]) -> Self {
        let connect = |front: &SocketAddr| {
            let stream = TcpStream::connect(front).expect("connection");
            stream.set_nodelay(true).expect("option");
            stream
        };
        Self {
            connections: fronts.iter().map(connect).collect(),
        }
    }

    /// Sends a request and reads its response. Returns the status.
    fn send(&mut self, front: usize, path: &str, headers: &str, body: &str) -> u16 {
        let stream = &mut self.connections[front];
        let text = format!(
            "POST /{path}/1 HTTP/1.1\r\nHost: a.example\r\nX-Sapphirequay-Deadline-Ms: 8000\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).expect("request");
        let mut got = Vec::new();
        loop {
            let mut buf = [0; 8_192];
            let len = stream.read(&mut buf).expect("response");
            assert!(len > 0, "the front closed the connection");
            got.extend_from_slice(&buf[..len]);
            let text = String::from_utf8_lossy(&got);
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            let whole = match header(head, "content-length") {
                Some(len) => body.len() >= len.parse().expect("length"),
                None => body.ends_with("0\r\n\r\n"),
            };
            if whole {
                return head
                    .split(' ')
                    .nth(1)
                    .and_then(|it| it.parse().ok())
                    .expect("status");
            }
        }
    }

    /// Sends requests of one kind until `stop`. Returns how many were answered.
    fn run(&mut self, caller: usize, kind: Kind, stop: &AtomicBool, done: &AtomicU64) {
        let input = "i".repeat(400);
        let mut round = 0;
        while !stop.load(Ordering::Relaxed) {
            round += 1;
            let mut prior = String::new();
            for turn in 0..TURNS {
                let id = format!("{kind:?}-{caller}-{round}-{turn}");
                let id_header = format!("X-Sapphirequay-Request-Id: {id}\r\n");
                let front = (turn + caller) % self.connections.len();
                let status = match kind {
                    Kind::Idle => return,
                    Kind::Call => self.send(front, "read", &id_header, &input),
                    Kind::Stream => self.send(front, "brief", &id_header, &input),
                    Kind::Turn => {
                        let mut headers = format!(
                            "{id_header}X-Sapphirequay-Program-Id: p-{caller}-{round}\r\n\
                             X-Sapphirequay-Token-Budget: 100000\r\nX-Sapphirequay-Token-Usage: 5,200\r\n"
                        );
                        if !prior.is_empty() {
                            let _ = write!(headers, "X-Sapphirequay-Previous-Turn: {prior}\r\n");
                        }
                        self.send(front, "chat", &headers, &input)
                    }
                };
                if status != 200 {
                    println!("status {status} for {id}");
                    break;
                }
                done.fetch_add(1, Ordering::Relaxed);
                prior = id;
                if stop.load(Ordering::Relaxed) {
                    return;
                }
            }
        }
    }
}

fn setting(name: &str, default: usize) -> usize {
    let value = env::var(name).ok().and_then(|it| it.parse().ok());
    value.unwrap_or(default)
}

/// Repeats a request to a control host until it is accepted.
fn put(addr: SocketAddr, head: &str, body: &str) {
    for _ in 0..600 {
        if send(addr, head, body).is_some_and(|got| got.status == 200) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("a control host did not accept {head}");
}

/// Renews the leases of the upstreams.
fn announce(control: SocketAddr, upstreams: [(&str, &str, SocketAddr); 2], sequence: u64) {
    for (name, service, addr) in upstreams {
        let head = format!("POST /sapphirequay/instances/{name}/heartbeat HTTP/1.1\nHost: c");
        let body = format!(
            r#"{{"Service":"{service}","Address":"{addr}","Zone":"dc-1","Version":"v1","Slots":64,"State":"ready","Seq":{sequence},"born":5}}"#
        );
        put(control, &head, &body);
    }
}

fn main() {
    let (stores, clients) = (setting("STORES", 3), setting("CLIENTS", 16));
    let seconds = Duration::from_secs(setting("MEASURED_S", 5) as u64);
    let gateway = Gateway::start(stores);
    put(
        gateway.controls[0],
        "POST /sapphirequay/config/put HTTP/1.1\nHost: c",
        TABLE,
    );
    let upstreams = [
        ("llm-1", "llm", start_upstream()),
        ("app-1", "app", start_upstream()),
    ];
    let control = gateway.controls[1];
    announce(control, upstreams, 1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(300));
            announce(control, upstreams, sequence);
        }
    });
    let fronts: Vec<Role> = (0..2).map(Role::Front).collect();
    let store_roles: Vec<Role> = (0..stores).map(Role::Store).collect();
    let groups = [("front", fronts), ("store", store_roles)];
    // Lets the hosts find each other.
    thread::sleep(Duration::from_secs(3));
    println!("{stores} stores, {clients} callers; figures for each request, without idle work");
    println!("kind   | host  | req/s |  cpu us | wake-ups");
    let mut idle = [Usage::default(); 2];
    for kind in [Kind::Idle, Kind::Call, Kind::Stream, Kind::Turn] {
        let (stop, done) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let callers: Vec<_> = (0..clients)
            .map(|caller| {
                let (stop, done) = (Arc::clone(&stop), Arc::clone(&done));
                let mut requests = Caller::new(&gateway.fronts);
                thread::spawn(move || requests.run(caller, kind, &stop, &done))
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        let began = Instant::now();
        let answered = done.load(Ordering::Relaxed);
        let before = [0, 1].map(|at| Usage::of(&gateway, &groups[at].1));
        thread::sleep(seconds);
        let after = [0, 1].map(|at| Usage::of(&gateway, &groups[at].1));
        let requests = done.load(Ordering::Relaxed) - answered;
        let requests = f64::from(u32::try_from(requests).expect("fewer requests"));
        let took = began.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().expect("caller");
        }
        for (at, (host, _)) in groups.iter().enumerate() {
            if kind == Kind::Idle {
                idle[at] = after[at].each(before[at], Usage::default(), took, took);
                println!("idle/s | {host} |     - | {}", idle[at].row());
            } else {
                let each = after[at].each(before[at], idle[at], took, requests);
                let rate = requests / took;
                println!("{kind:?} | {host} | {rate:5.0} | {}", each.row());
            }
        }
    }
}
