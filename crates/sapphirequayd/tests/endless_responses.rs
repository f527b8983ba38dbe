//! Upstreams that send bytes without end, in a head or a body.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Response, Role, StubUpstream, header, read_request, send},
    std::{
        io::Write as _,
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"bad","MaxAttempts":1,"Retain":true,"RetentionS":60.0,"Resumable":false},
{"Name":"plain","Host":"a.example","PathPrefix":"/plain/","Kind":"unsafe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"bad","MaxAttempts":1},
{"Name":"good","Host":"a.example","PathPrefix":"/good/","Kind":"unsafe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"good","MaxAttempts":1}],
"Services":[{"Name":"bad","MaxConns":100,"Engine":{"Slots":16,"StrideTokens":10}},{"Name":"good","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Memory of the smallest front of the deployments.
const MEMORY_LIMIT: u64 = 110 << 20;

/// Requests at the same time.
const CALLS: usize = 24;

/// Bytes that an upstream sends without end, after what is given first.
#[derive(Debug, Clone, Copy)]
struct Flood {
    name: &'static str,
    path: &'static str,
    /// What precedes the bytes; `{id}` is the id of the request.
    start: &'static str,
    /// The bytes, sent again and again.
    repeated: &'static str,
}

const COMMON: &str = "x-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: s\r\n";

const FLOODS: [Flood; 8] = [
    Flood {
        name: "a header line without end",
        path: "/plain/1",
        start: "HTTP/1.1 200 OK\r\nx-fill: ",
        repeated: "abcdefghijklmnop",
    },
    Flood {
        name: "header lines without end",
        path: "/plain/1",
        start: "HTTP/1.1 200 OK\r\n",
        repeated: "x-fill: abcdefgh\r\n",
    },
    Flood {
        name: "informational heads without end",
        path: "/plain/1",
        start: "",
        repeated: "HTTP/1.1 103 Early Hints\r\nx-fill: a\r\n\r\n",
    },
    Flood {
        name: "a body without end",
        path: "/plain/1",
        start: "HTTP/1.1 200 OK\r\n{common}\r\n",
        repeated: "abcdefghijklmnop",
    },
    Flood {
        name: "a body of a response that says not run",
        path: "/plain/1",
        start: "HTTP/1.1 503 Full\r\nx-sapphirequay-not-executed: 1\r\n{common}transfer-encoding: chunked\r\n\r\n",
        repeated: "10\r\nabcdefghijklmnop\r\n",
    },
    Flood {
        name: "an event without end",
        path: "/chat/1",
        start: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}\r\ndata: ",
        repeated: "abcdefghijklmnop",
    },
    Flood {
        name: "events without end",
        path: "/chat/1",
        start: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}\r\n",
        repeated: "data: abcdefghijklmnopqrstuvwxyz\n\n",
    },
    Flood {
        name: "trailers without end",
        path: "/plain/1",
        start: "HTTP/1.1 200 OK\r\n{common}transfer-encoding: chunked\r\n\r\n0\r\n",
        repeated: "x-fill: abcdefgh\r\n",
    },
];

/// An upstream that answers each request with a flood.
#[derive(Clone)]
struct FloodingUpstream {
    addr: SocketAddr,
    flood: Arc<Mutex<Flood>>,
    /// Number of connections on which it is sending.
    sending: Arc<AtomicUsize>,
}

impl FloodingUpstream {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
        let upstream = Self {
            addr: listener.local_addr().expect("address"),
            flood: Arc::new(Mutex::new(FLOODS[0])),
            sending: Arc::default(),
        };
        let shared = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        upstream
    }

    /// Sends until the peer closes the connection.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let (head, _) = read_request(&mut stream)?;
        let id = header(&head, "x-sapphirequay-request-id")?;
        let flood = *self.flood.lock().expect("lock");
        let start = flood.start.replace("{common}", COMMON);
        let start = start.replace("{id}", id);
        let repeated = flood.repeated.repeat(4_096);
        self.sending.fetch_add(1, Ordering::SeqCst);
        let mut sent = stream.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(repeated.as_bytes());
        }
        self.sending.fetch_sub(1, Ordering::SeqCst);
        None
    }
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn announce(gateway: &Gateway, service: &str, addr: SocketAddr) {
    static SEQUENCE: AtomicU64 = AtomicU64::new(1);
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    let head = format!("POST /sapphirequay/instances/{service}-1/heartbeat HTTP/1.1\nHost: c");
    let body = format!(
        r#"{{"Service":"{service}","Address":"{addr}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{sequence},"born":5}}"#
    );
    wait_until("the heartbeat is not accepted", || {
        send(gateway.controls[0], &head, &body).is_some_and(|got| got.status == 200)
    });
}

fn call(front: SocketAddr, path: &str) -> Option<Response> {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let usage = if path.starts_with("/chat/") {
        "\nX-Sapphirequay-Program-Id: p\nX-Sapphirequay-Token-Usage: 5,30"
    } else {
        ""
    };
    let head = format!(
        "POST {path} HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: call-{number}\nX-Sapphirequay-Deadline-Ms: 3000{usage}"
    );
    send(front, &head, "x")
}

#[test]
fn a_front_ends_endless_responses_within_its_memory_and_serves_others() {
    let gateway = Gateway::start(3);
    let (bad, good) = (FloodingUpstream::start(), StubUpstream::start());
    let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
    wait_until("the table is not accepted", || {
        send(gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
    });
    let front = gateway.fronts[0];
    for flood in FLOODS {
        *bad.flood.lock().expect("lock") = flood;
        announce(&gateway, "bad", bad.addr);
        announce(&gateway, "good", good.addr);
        wait_until("a sound upstream is not served", || {
            call(front, "/good/1").is_some_and(|got| got.status == 200)
        });
        let calls = (0..CALLS).map(|_| thread::spawn(move || call(front, flood.path)));
        let calls: Vec<_> = calls.collect();
        for answered in calls {
            let got = answered.join().expect("no panic");
            let success = got.is_some_and(|got| got.status == 200 && got.complete);
            assert!(!success, "{}: a complete success", flood.name);
        }
        wait_until("the upstream still sends", || {
            bad.sending.load(Ordering::SeqCst) == 0
        });
        let got = call(front, "/good/1").expect("an answer");
        assert_eq!(got.status, 200, "{}: {got:?}", flood.name);
        let peak = gateway.peak_memory(Role::Front(0));
        println!("{}: peak memory {} MB", flood.name, peak >> 20);
        assert!(
            peak < MEMORY_LIMIT,
            "{}: peak memory {} MB",
            flood.name,
            peak >> 20
        );
    }
}
