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
    /// Body of the complete answer that precedes the bytes, if one does.
    answer: Option<&'static str>,
    /// Whether the bytes come before any request.
    at_once: bool,
}

const fn flood(
    name: &'static str,
    path: &'static str,
    start: &'static str,
    repeated: &'static str,
) -> Flood {
    Flood {
        name,
        path,
        start,
        repeated,
        answer: None,
        at_once: false,
    }
}

const COMMON: &str = "x-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: s\r\n";

const FLOODS: &[Flood] = &[
    flood(
        "a header line without end",
        "/plain/1",
        "HTTP/1.1 200 OK\r\nx-fill: ",
        "abcdefghijklmnop",
    ),
    flood(
        "header lines without end",
        "/plain/1",
        "HTTP/1.1 200 OK\r\n",
        "x-fill: abcdefgh\r\n",
    ),
    flood(
        "informational heads without end",
        "/plain/1",
        "",
        "HTTP/1.1 103 Early Hints\r\nx-fill: a\r\n\r\n",
    ),
    flood(
        "heads that say continue without end",
        "/chat/1",
        "",
        "HTTP/1.1 100 Continue\r\n\r\n",
    ),
    flood(
        "a body without end",
        "/plain/1",
        "HTTP/1.1 200 OK\r\n{common}\r\n",
        "abcdefghijklmnop",
    ),
    flood(
        "a body of a response that says not run",
        "/plain/1",
        "HTTP/1.1 503 Full\r\nx-sapphirequay-not-executed: 1\r\n{common}transfer-encoding: chunked\r\n\r\n",
        "10\r\nabcdefghijklmnop\r\n",
    ),
    flood(
        "an event without end",
        "/chat/1",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}\r\ndata: ",
        "abcdefghijklmnop",
    ),
    flood(
        "data fields of an event without end",
        "/chat/1",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}\r\n",
        "data: abcdefghi\n",
    ),
    flood(
        "events without end",
        "/chat/1",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}\r\n",
        "data: abcdefghijklmnopqrstuvwxyz\n\n",
    ),
    flood(
        "comments without end",
        "/chat/1",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}\r\n",
        ": abcdefghijklmn\n\n",
    ),
    flood(
        "trailers without end",
        "/plain/1",
        "HTTP/1.1 200 OK\r\n{common}transfer-encoding: chunked\r\n\r\n0\r\n",
        "x-fill: abcdefgh\r\n",
    ),
    flood(
        "trailers of a stream without end",
        "/chat/1",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}transfer-encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n",
        "x-fill: abcdefgh\r\n",
    ),
    flood(
        "digits of a chunk's size without end",
        "/plain/1",
        "HTTP/1.1 200 OK\r\n{common}transfer-encoding: chunked\r\n\r\n",
        "00000000",
    ),
    flood(
        "digits of a chunk's size in a stream without end",
        "/chat/1",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}transfer-encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n",
        "00000000",
    ),
    flood(
        "spaces behind a chunk's size without end",
        "/plain/1",
        "HTTP/1.1 200 OK\r\n{common}transfer-encoding: chunked\r\n\r\n1",
        "        ",
    ),
    flood(
        "a chunk extension without end",
        "/plain/1",
        "HTTP/1.1 200 OK\r\n{common}transfer-encoding: chunked\r\n\r\n1",
        ";abcdefg",
    ),
    Flood {
        answer: Some("whole"),
        ..flood(
            "bytes behind a whole answer",
            "/plain/1",
            "HTTP/1.1 200 OK\r\n{common}content-length: 5\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother",
        )
    },
    Flood {
        at_once: true,
        ..flood(
            "bytes before a request",
            "/plain/1",
            "",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother",
        )
    },
];

/// An upstream that answers each request with a flood.
#[derive(Clone)]
struct FloodingUpstream {
    addr: SocketAddr,
    flood: Arc<Mutex<Flood>>,
    /// Number of connections on which it is sending.
    sending: Arc<AtomicUsize>,
    /// Number of requests and connections that got it.
    called: Arc<AtomicUsize>,
    /// Bytes sent.
    sent: Arc<AtomicUsize>,
}

impl FloodingUpstream {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
        let upstream = Self {
            addr: listener.local_addr().expect("address"),
            flood: Arc::new(Mutex::new(FLOODS[0])),
            sending: Arc::default(),
            called: Arc::default(),
            sent: Arc::default(),
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
        let at_once = self.flood.lock().expect("lock").at_once;
        let head = if at_once {
            String::new()
        } else {
            read_request(&mut stream)?.0
        };
        // The connection may be older than the flood that is played.
        let flood = *self.flood.lock().expect("lock");
        let id = header(&head, "x-sapphirequay-request-id").unwrap_or_default();
        let start = flood.start.replace("{common}", COMMON);
        let start = start.replace("{id}", id);
        let repeated = flood.repeated.repeat(4_096);
        self.sending.fetch_add(1, Ordering::SeqCst);
        self.called.fetch_add(1, Ordering::SeqCst);
        let mut sent = stream.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(repeated.as_bytes());
            self.sent.fetch_add(repeated.len(), Ordering::SeqCst);
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
    let ((gateway, bad), good) = (start_before_flood(), StubUpstream::start());
    let front = gateway.fronts[0];
    for flood in FLOODS {
        *bad.flood.lock().expect("lock") = *flood;
        announce(&gateway, "bad", bad.addr);
        announce(&gateway, "good", good.addr);
        wait_until("a sound upstream is not served", || {
            call(front, "/good/1").is_some_and(|got| got.status == 200)
        });
        let began = Instant::now();
        let calls = (0..CALLS).map(|_| thread::spawn(move || call(front, flood.path)));
        let calls: Vec<_> = calls.collect();
        for answered in calls {
            let got = answered.join().expect("no panic");
            let success = got.filter(|got| got.status == 200 && got.complete);
            let body = success.as_ref().map(|got| got.body.as_str());
            let expected = body.is_none() || body == flood.answer;
            assert!(expected, "{}: a complete success {body:?}", flood.name);
        }
        wait_until("the upstream still sends", || {
            bad.sending.load(Ordering::SeqCst) == 0
        });
        let got = call(front, "/good/1").expect("an answer");
        assert_eq!(got.status, 200, "{}: {got:?}", flood.name);
        let peak = gateway.peak_memory(Role::Front(0));
        println!(
            "{}: peak memory {} MB, {} ms",
            flood.name,
            peak >> 20,
            began.elapsed().as_millis()
        );
        assert!(
            peak < MEMORY_LIMIT,
            "{}: peak memory {} MB",
            flood.name,
            peak >> 20
        );
    }
}

/// Bytes of a flood of which none is an answer that a front reads at most, with what the
/// system buffers.
const READ_LIMIT: usize = 64 << 20;

/// Floods of which nothing is a part of a body, or an event.
const IDLE_FLOODS: [&str; 4] = [
    "digits of a chunk's size without end",
    "digits of a chunk's size in a stream without end",
    "spaces behind a chunk's size without end",
    "comments without end",
];

#[test]
fn a_front_does_not_read_on_what_is_no_part_of_an_answer() {
    let (gateway, bad) = start_before_flood();
    let front = gateway.fronts[0];
    for flood in FLOODS.iter().filter(|it| IDLE_FLOODS.contains(&it.name)) {
        *bad.flood.lock().expect("lock") = *flood;
        announce(&gateway, "bad", bad.addr);
        bad.called.store(0, Ordering::SeqCst);
        wait_until("the upstream is not called", || {
            bad.sent.store(0, Ordering::SeqCst);
            call(front, flood.path);
            bad.called.load(Ordering::SeqCst) > 0
        });
        wait_until("the upstream still sends", || {
            bad.sending.load(Ordering::SeqCst) == 0
        });
        let sent = bad.sent.load(Ordering::SeqCst);
        println!("{}: {} MB were sent", flood.name, sent >> 20);
        assert!(sent < READ_LIMIT, "{}: {sent} bytes were sent", flood.name);
    }
}

/// A gateway and an upstream of its table.
fn start_before_flood() -> (Gateway, FloodingUpstream) {
    let (gateway, bad) = (Gateway::start(3), FloodingUpstream::start());
    let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
    wait_until("the table is not accepted", || {
        send(gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
    });
    (gateway, bad)
}

#[test]
fn a_flood_that_callers_do_not_read_ends_at_its_upstream_with_their_time() {
    let (gateway, bad) = start_before_flood();
    announce(&gateway, "bad", bad.addr);
    let events = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}\r\n";
    let comments = flood("comments", "/chat/1", events, ": abcdefghijklmn\n\n");
    *bad.flood.lock().expect("lock") = comments;
    let front = gateway.fronts[0];
    wait_until("the upstream is not called", || {
        call(front, comments.path);
        bad.called.load(Ordering::SeqCst) > 0
    });
    let callers: Vec<_> = (0..CALLS)
        .map(|number| {
            let mut caller = TcpStream::connect(front).expect("connection");
            let req = format!(
                "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Sapphirequay-Request-Id: unread-{number}\r\nX-Sapphirequay-Deadline-Ms: 5000\r\nX-Sapphirequay-Program-Id: p\r\nX-Sapphirequay-Token-Usage: 5,30\r\nContent-Length: 1\r\n\r\nx"
            );
            caller.write_all(req.as_bytes()).expect("request");
            caller
        })
        .collect();
    wait_until("the flood does not reach the callers", || {
        bad.called.load(Ordering::SeqCst) > CALLS
    });
    wait_until("the upstream still sends", || {
        bad.sending.load(Ordering::SeqCst) == 0
    });
    drop(callers);
    let peak = gateway.peak_memory(Role::Front(0));
    println!("unread: peak memory {} MB", peak >> 20);
    assert!(peak < MEMORY_LIMIT, "peak memory {} MB", peak >> 20);
}
