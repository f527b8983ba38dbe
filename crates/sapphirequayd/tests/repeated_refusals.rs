//! Tests of upstreams that write an earlier refusal once more on a kept connection.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;
#[path = "common/scripted_upstream.rs"]
mod scripted_upstream;

use {
    gateway::{Gateway, send},
    scripted_upstream::{ScriptedUpstream, UpstreamRequest},
    std::{
        io::Write as _,
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
{"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2},
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Pause in which the front reads what an upstream has written.
const PAUSE: Duration = Duration::from_millis(50);

/// When an upstream repeats its refusal of the first request on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeated {
    /// In one packet with the refusal.
    AtOnce,
    /// While the connection is idle.
    WhileIdle,
    /// After the next request on the connection was sent, which is run.
    AfterNextRequest,
    /// After the true answer to that request.
    AfterNextAnswer,
}

const TIMES: [Repeated; 4] = [
    Repeated::AtOnce,
    Repeated::WhileIdle,
    Repeated::AfterNextRequest,
    Repeated::AfterNextAnswer,
];

/// A refusal; `id` is a header line or nothing.
fn refusal(status: &str, id: &str) -> String {
    let not_executed = match status {
        "421" => "",
        _ => "x-sapphirequay-not-executed: 1\r\n",
    };
    format!(
        "HTTP/1.1 {status} Refused\r\n{not_executed}{id}x-sapphirequay-server-load: 9,9,1\r\ncontent-length: 0\r\n\r\n"
    )
}

fn id_line(id: &str) -> String {
    format!("x-sapphirequay-request-id: {id}\r\n")
}

/// Writes a true answer that says that the request was run.
fn answer(upstream: &ScriptedUpstream, stream: &mut TcpStream, id: &str) -> bool {
    upstream.record_run(id);
    let text = format!(
        "HTTP/1.1 200 OK\r\n{}x-sapphirequay-response-seal: s\r\ncontent-length: 4\r\n\r\ndone",
        id_line(id)
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Refuses the first request on each connection and repeats that refusal as the test says.
#[derive(Debug, Clone)]
struct Script {
    repeated: Repeated,
    /// Status of the refusal.
    status: &'static str,
    /// Whether the repeated refusal has the id of the request that was refused.
    with_id: bool,
}

impl Script {
    fn run(
        &self,
        upstream: &ScriptedUpstream,
        stream: &mut TcpStream,
        req: &UpstreamRequest,
        refused: &str,
    ) -> bool {
        let id = if self.with_id {
            id_line(refused)
        } else {
            String::new()
        };
        let again = refusal(self.status, &id);
        if req.earlier == 0 {
            let first = refusal("503", &id_line(&req.id));
            let text = match self.repeated {
                Repeated::AtOnce => format!("{first}{again}"),
                _ => first,
            };
            let written = stream.write_all(text.as_bytes()).is_ok();
            if self.repeated == Repeated::WhileIdle {
                thread::sleep(PAUSE);
                return stream.write_all(again.as_bytes()).is_ok();
            }
            return written;
        }
        if self.repeated == Repeated::AfterNextRequest {
            let _ = stream.write_all(again.as_bytes());
            thread::sleep(PAUSE);
        }
        let written = answer(upstream, stream, &req.id);
        if self.repeated == Repeated::AfterNextAnswer {
            return stream.write_all(again.as_bytes()).is_ok();
        }
        written
    }
}

fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn announce(gateway: &Gateway, name: &str, addr: SocketAddr) {
    static SEQUENCE: AtomicU64 = AtomicU64::new(1);
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    let head = format!("POST /sapphirequay/instances/{name}/heartbeat HTTP/1.1\nHost: c");
    let body = format!(
        r#"{{"Service":"app","Address":"{addr}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{sequence},"born":5}}"#
    );
    wait_until("the heartbeat is accepted", || {
        send(gateway.controls[0], &head, &body).is_some_and(|got| got.status == 200)
    });
}

/// Guards against callers that are told "not run" for requests that were run, and against
/// requests that run at a second upstream, since an earlier refusal is taken for the
/// answer (report of other operators).
#[test]
fn a_refusal_that_is_repeated_is_no_answer_to_a_later_request() {
    let gateway = Gateway::start(1);
    wait_until("the table is accepted", || {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
    });
    let script = Arc::new(Mutex::new(Script {
        repeated: Repeated::AtOnce,
        status: "503",
        with_id: false,
    }));
    let current = Arc::clone(&script);
    let refused = Mutex::new(String::new());
    let faulty = ScriptedUpstream::start(move |upstream, stream, req| {
        let script = current.lock().expect("lock").clone();
        let mut refused = refused.lock().expect("lock");
        if req.earlier == 0 {
            refused.clone_from(&req.id);
        }
        script.run(upstream, stream, req, &refused)
    });
    let sound = ScriptedUpstream::start(|upstream, stream, req| answer(upstream, stream, &req.id));
    announce(&gateway, "faulty", faulty.addr);
    announce(&gateway, "sound", sound.addr);
    for path in ["order", "chat"] {
        for repeated in TIMES {
            for (status, with_id) in [
                ("503", false),
                ("503", true),
                ("429", false),
                ("421", false),
            ] {
                let now = Script {
                    repeated,
                    status,
                    with_id,
                };
                *script.lock().expect("lock") = now.clone();
                announce(&gateway, "faulty", faulty.addr);
                announce(&gateway, "sound", sound.addr);
                for number in 0..8 {
                    let id = format!("{path}-{repeated:?}-{status}-{with_id}-{number}");
                    let head = format!(
                        "POST /{path}/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Deadline-Ms: 4000"
                    );
                    let got = send(gateway.fronts[0], &head, "x").expect("response");
                    // What was sent may still be on its way to the upstream.
                    thread::sleep(PAUSE / 5);
                    let runs = faulty.runs_of(&id) + sound.runs_of(&id);
                    assert!(runs <= 1, "{id} ran {runs} times: {got:?}");
                    let promise = matches!(got.status, 408 | 421 | 429 | 503);
                    assert!(!promise || runs == 0, "{id} has run: {got:?}");
                }
            }
        }
    }
    assert!(
        gateway.logs().contains("cause=answer_to"),
        "no response was taken for one to another request"
    );
}
