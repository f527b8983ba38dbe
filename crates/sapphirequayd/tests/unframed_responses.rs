//! Tests of upstreams whose responses have neither a length nor chunks and end with their
//! connection.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;
#[path = "common/scripted_upstream.rs"]
mod scripted_upstream;

use {
    gateway::{Gateway, parse, send},
    scripted_upstream::{ScriptedUpstream, UpstreamRequest},
    socket2::SockRef,
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":1},
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Retain":true,"RetentionS":60.0,"Resumable":false},
{"Name":"plan","Host":"a.example","PathPrefix":"/plan/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Resumable":true}],
"Services":[{"Name":"app","MaxConns":100,"Engine":{"Slots":16,"StrideTokens":10}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Pause in which the front reads what an upstream has written, before a reset.
const PAUSE: Duration = Duration::from_millis(50);

const EVENTS: &str = "id: 1\ndata: hello\n\nid: 2\ndata: world\n\n";

/// How the connection of a response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Part of a response that is written before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Whole,
    /// The last event lacks its end.
    MidEvent,
}

/// Version with which a caller speaks HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Http {
    V10,
    V11,
}

/// What the caller of one request got.
#[derive(Debug)]
struct Received {
    status: u16,
    body: String,
    /// Whether it looks complete to the caller.
    complete: bool,
}

fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn next_number() -> u64 {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    NUMBER.fetch_add(1, Ordering::Relaxed)
}

/// A gateway with one upstream, whose responses end as the test sets.
struct Site {
    gateway: Gateway,
    upstream: ScriptedUpstream,
    script: Arc<Mutex<(Part, End)>>,
}

impl Site {
    fn start() -> Self {
        let script = Arc::new(Mutex::new((Part::Whole, End::Close)));
        let current = Arc::clone(&script);
        let upstream = ScriptedUpstream::start(move |_, stream, req| {
            let (part, end) = *current.lock().expect("lock");
            respond(stream, req, part, end);
            false
        });
        let site = Self {
            gateway: Gateway::start(3),
            upstream,
            script,
        };
        wait_until("the table is accepted", || {
            let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
            send(site.gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
        });
        site
    }

    fn announce(&self) {
        let (addr, sequence) = (self.upstream.addr, next_number());
        let head = "POST /sapphirequay/instances/app-1/heartbeat HTTP/1.1\nHost: c";
        let body = format!(
            r#"{{"Service":"app","Address":"{addr}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{sequence},"born":5}}"#
        );
        wait_until("the heartbeat is accepted", || {
            send(self.gateway.controls[0], head, &body).is_some_and(|got| got.status == 200)
        });
    }

    /// Sends a request until it reaches the upstream. Returns its id, too.
    fn call(&self, path: &str, http: Http, prior: Option<&str>) -> (String, Received) {
        let began = Instant::now();
        loop {
            self.announce();
            let id = format!("r{}", next_number());
            let got = request(self.gateway.fronts[0], path, http, &id, prior);
            if got.status != 503 {
                return (id, got);
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "{path} was not served");
        }
    }

    fn set(&self, part: Part, end: End) {
        *self.script.lock().expect("lock") = (part, end);
    }
}

/// Writes a response without a length and ends its connection.
fn respond(stream: &mut TcpStream, req: &UpstreamRequest, part: Part, end: End) {
    let body = match part {
        Part::Whole => EVENTS,
        Part::MidEvent => EVENTS.trim_end(),
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-sapphirequay-request-id: {}\r\nx-sapphirequay-response-seal: s\r\n\r\n{body}",
        req.id
    );
    let _ = stream.write_all(text.as_bytes());
    if end == End::Reset {
        thread::sleep(PAUSE);
        let linger = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        linger.expect("a socket option");
    }
}

fn request(front: SocketAddr, path: &str, http: Http, id: &str, prior: Option<&str>) -> Received {
    let mut stream = TcpStream::connect(front).expect("connection");
    let version = match http {
        Http::V10 => "1.0",
        Http::V11 => "1.1",
    };
    let prior = prior.map_or_else(String::new, |it| {
        format!("X-Sapphirequay-Previous-Turn: {it}\r\n")
    });
    let text = format!(
        "POST {path} HTTP/{version}\r\nHost: a.example\r\nConnection: close\r\nX-Sapphirequay-Request-Id: {id}\r\n\
         X-Sapphirequay-Program-Id: p\r\nX-Sapphirequay-Token-Budget: 100000\r\nX-Sapphirequay-Token-Usage: 5,30\r\n\
         X-Sapphirequay-Deadline-Ms: 4000\r\n{prior}Content-Length: 2\r\n\r\nin"
    );
    stream.write_all(text.as_bytes()).expect("request");
    let mut got = Vec::new();
    let read = stream.read_to_end(&mut got);
    let got = parse(&String::from_utf8_lossy(&got));
    let got = got.unwrap_or_else(|| panic!("no response to {id} on {path}"));
    let framed = got.head.contains("content-length") || got.head.contains("chunked");
    Received {
        status: got.status,
        body: got.body,
        complete: got.complete && (framed || read.is_ok()),
    }
}

/// Guards against broken responses that look complete, and complete ones that don't.
#[test]
fn a_response_without_a_length_is_complete_only_if_its_connection_was_closed() {
    let site = Site::start();
    for http in [Http::V11, Http::V10] {
        site.set(Part::Whole, End::Close);
        let (_, got) = site.call("/read/1", http, None);
        assert_eq!((got.status, &*got.body), (200, EVENTS), "{http:?}");
        assert!(got.complete, "{http:?}");
        site.set(Part::Whole, End::Reset);
        let (_, got) = site.call("/read/1", http, None);
        assert_eq!(got.status, 502, "{http:?}: {got:?}");
    }
}

#[test]
fn a_stream_without_a_length_that_breaks_off_does_not_look_complete() {
    let site = Site::start();
    for path in ["/chat/1", "/plan/1"] {
        for http in [Http::V11, Http::V10] {
            for (part, end) in [
                (Part::Whole, End::Close),
                (Part::Whole, End::Reset),
                (Part::MidEvent, End::Close),
                (Part::MidEvent, End::Reset),
            ] {
                site.set(part, end);
                let (_, got) = site.call(path, http, None);
                let whole = (part, end) == (Part::Whole, End::Close);
                let case = format!("{path} {http:?} {part:?} {end:?}: {got:?}");
                assert_eq!(got.status, 200, "{case}");
                assert_eq!(got.complete, whole, "{case}");
                assert!(!whole || got.body == EVENTS, "{case}");
            }
        }
    }
}

#[test]
fn a_turn_without_a_length_is_kept_only_if_it_is_whole() {
    let site = Site::start();
    for (part, end) in [
        (Part::Whole, End::Close),
        (Part::Whole, End::Reset),
        (Part::MidEvent, End::Close),
        (Part::MidEvent, End::Reset),
    ] {
        site.set(part, end);
        let (turn, _) = site.call("/chat/1", Http::V11, None);
        site.set(Part::Whole, End::Close);
        let (_, got) = site.call("/chat/1", Http::V11, Some(&turn));
        let kept = (part, end) == (Part::Whole, End::Close);
        let expected = if kept { 200 } else { 404 };
        assert_eq!(got.status, expected, "{part:?} {end:?}: {got:?}");
    }
}
