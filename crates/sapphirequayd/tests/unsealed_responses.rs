//! Tests of responses that are cut, or that lack the upstream's seal.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;
#[path = "common/scripted_upstream.rs"]
mod scripted_upstream;

use {
    gateway::{Gateway, Response, send},
    scripted_upstream::{ScriptedUpstream, UpstreamRequest},
    std::{
        io::Write as _,
        net::TcpStream,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2},
{"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2},
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Retain":true,"RetentionS":60.0,"Resumable":false},
{"Name":"plan","Host":"a.example","PathPrefix":"/plan/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Resumable":true}],
"Services":[{"Name":"app","MaxConns":100,"Engine":{"Slots":16,"StrideTokens":10}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

const EVENTS: &str = "id: 1\ndata: hello\n\n";

const PATHS: [&str; 4] = ["/read/1", "/order/1", "/chat/1", "/plan/1"];

/// What the upstream writes before it closes the connection, with `ID` for the id of the
/// request.
#[derive(Debug, Clone)]
struct Script {
    text: String,
    /// Whether the first request on each connection is refused as not run, so that the
    /// response comes on a connection that was kept.
    kept: bool,
}

struct Site {
    gateway: Gateway,
    upstream: ScriptedUpstream,
    script: Arc<Mutex<Script>>,
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

fn respond(
    upstream: &ScriptedUpstream,
    stream: &mut TcpStream,
    req: &UpstreamRequest,
    script: &Script,
) -> bool {
    if script.kept && req.earlier == 0 {
        let text = format!(
            "HTTP/1.1 503 Full\r\nx-sapphirequay-not-executed: 1\r\nx-sapphirequay-request-id: {}\r\ncontent-length: 0\r\n\r\n",
            req.id
        );
        return stream.write_all(text.as_bytes()).is_ok();
    }
    upstream.record_run(&req.id);
    let text = script.text.replace("ID", &req.id);
    let _ = stream.write_all(text.as_bytes());
    false
}

impl Site {
    fn start() -> Self {
        let script = Arc::new(Mutex::new(Script {
            text: response(true, "content-length: 19\r\n"),
            kept: false,
        }));
        let current = Arc::clone(&script);
        let upstream = ScriptedUpstream::start(move |upstream, stream, req| {
            let script = current.lock().expect("lock").clone();
            respond(upstream, stream, req, &script)
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

    /// Sends a request until the upstream has run it. Returns its id, too.
    fn call(&self, path: &str, prior: Option<&str>) -> (String, Response) {
        let prior = prior.map_or_else(String::new, |it| {
            format!("\nX-Sapphirequay-Previous-Turn: {it}")
        });
        let began = Instant::now();
        loop {
            self.announce();
            let id = format!("r{}", next_number());
            let head = format!(
                "POST {path} HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Program-Id: p\n\
                 X-Sapphirequay-Token-Budget: 100000\nX-Sapphirequay-Token-Usage: 5,30\n\
                 X-Sapphirequay-Deadline-Ms: 4000{prior}"
            );
            let got = send(self.gateway.fronts[0], &head, "in");
            let got = got.unwrap_or_else(|| panic!("no response to {id} on {path}"));
            let runs = self.upstream.runs_of(&id);
            assert!(runs <= 1, "{id} ran {runs} times");
            let promise = matches!(got.status, 408 | 421 | 429 | 503);
            assert!(!promise || runs == 0, "{id} has run: {got:?}");
            if runs == 1 || !promise {
                return (id, got);
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "{path} was not served");
        }
    }

    fn set(&self, text: &str, kept: bool) {
        let text = text.to_owned();
        *self.script.lock().expect("lock") = Script { text, kept };
    }
}

/// A successful response with one event.
fn response(sealed: bool, framing: &str) -> String {
    let seal = if sealed {
        "x-sapphirequay-response-seal: s\r\n"
    } else {
        ""
    };
    let body = if framing.contains("chunked") {
        format!("{:x}\r\n{EVENTS}\r\n0\r\n\r\n", EVENTS.len())
    } else {
        EVENTS.to_owned()
    };
    format!("HTTP/1.1 200 OK\r\nx-sapphirequay-request-id: ID\r\n{seal}{framing}\r\n{body}")
}

const FRAMINGS: [&str; 3] = [
    "content-length: 19\r\n",
    "transfer-encoding: chunked\r\n",
    "",
];

/// Guards against a response that is cut in its head or body and reaches the caller as a
/// whole one.
#[test]
fn a_response_that_is_cut_anywhere_does_not_look_complete() {
    let site = Site::start();
    let whole = response(true, FRAMINGS[0]);
    let cuts = [
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "-request-id: ID\r\n",
        "-response-seal: s\r\n",
        "content-le",
        "content-length: 1",
        "content-length: 19",
        "content-length: 19\r\n",
        "content-length: 19\r\n\r\n",
        "data: he",
    ];
    for interim in ["", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"] {
        for kept in [false, true] {
            for cut in cuts {
                let end = whole.find(cut).expect("a part") + cut.len();
                site.set(&format!("{interim}{}", &whole[..end]), kept);
                for path in PATHS {
                    let (_, got) = site.call(path, None);
                    let case = format!("{path} cut after {cut:?}, kept {kept}: {got:?}");
                    let looks_whole = (200..300).contains(&got.status) && got.complete;
                    assert!(!looks_whole, "{case}");
                    let begun = end > whole.find("\r\n\r\n").expect("a head") + 3;
                    let streams = path == "/chat/1" || path == "/plan/1";
                    let expected = if begun && streams { 200 } else { 502 };
                    assert_eq!(got.status, expected, "{case}");
                }
            }
        }
    }
}

/// Guards against a success without the upstream's seal, which may be the rest of a head
/// that was cut (MIXED), and against an unproven promise that the request was not run.
#[test]
fn a_success_or_promise_without_a_seal_is_not_passed_on() {
    let site = Site::start();
    for kept in [false, true] {
        for framing in FRAMINGS {
            let promise = response(false, framing).replace("200 OK", "503 Full");
            for text in [response(false, framing), promise] {
                site.set(&text, kept);
                for path in PATHS {
                    let (_, got) = site.call(path, None);
                    assert_eq!(got.status, 502, "{path} {text:?}, kept {kept}: {got:?}");
                }
            }
        }
    }
}

#[test]
fn a_turn_without_a_seal_is_not_kept() {
    let site = Site::start();
    for sealed in [true, false] {
        site.set(&response(sealed, FRAMINGS[1]), false);
        let (turn, _) = site.call("/chat/1", None);
        site.set(&response(true, FRAMINGS[1]), false);
        let (_, got) = site.call("/chat/1", Some(&turn));
        assert_eq!(got.status, if sealed { 200 } else { 404 }, "{got:?}");
    }
}
