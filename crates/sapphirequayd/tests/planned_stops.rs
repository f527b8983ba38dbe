//! Tests of a front that is stopped with SIGTERM while requests are in progress.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;
#[path = "common/scripted_upstream.rs"]
mod scripted_upstream;

use {
    gateway::{Gateway, Response, Role, parse, read_request, send},
    scripted_upstream::ScriptedUpstream,
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::atomic::{AtomicU64, Ordering},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":60000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":1},
{"Name":"crash","Host":"a.example","PathPrefix":"/crash/","Kind":"safe","TimeoutMs":60000,"SloMs":60,"Priority":1,"Service":"crash","MaxAttempts":1},
{"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":60000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":1},
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":60000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Resumable":false},
{"Name":"talk","Host":"a.example","PathPrefix":"/talk/","Kind":"streaming","TimeoutMs":60000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Resumable":true}],
"Services":[{"Name":"app","MaxConns":100},{"Name":"crash","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Time for which the upstream works on a request whose id begins with `slow`: longer
/// than any grace period here.
const SLOW_TIME: Duration = Duration::from_secs(40);

/// Time for which the upstream works on a request whose id begins with `reports`: longer
/// than a front that stops waits for its reports.
const LONGER_THAN_REPORTS: Duration = Duration::from_secs(4);

/// Size of a response that the buffers of a connection can't hold.
const LARGE_BYTES: usize = 4 << 20;

/// Time after which a caller that takes nothing counts as a slow one.
const SLOW_READ_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a caller waits: longer than any grace period here, too.
const DEADLINE_MS: u32 = 50_000;

fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A gateway with one upstream, whose first front has a short grace period.
struct Site {
    gateway: Gateway,
    upstream: ScriptedUpstream,
}

fn head(path: &str, id: &str, deadline_ms: u32) -> String {
    format!(
        "POST {path} HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Deadline-Ms: {deadline_ms}"
    )
}

impl Site {
    fn start(grace_s: u32) -> Self {
        let upstream = ScriptedUpstream::start(|upstream, stream, req| {
            upstream.record_run(&req.id);
            let id = &req.id;
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: s\r\n"
            );
            // A slow stream begins at once.
            if id.starts_with("slow-chat") {
                let text = format!("{head}\r\nid: 1\ndata: hello\n\n");
                let _ = stream.write_all(text.as_bytes());
            }
            if id.starts_with("reports") {
                thread::sleep(LONGER_THAN_REPORTS);
            }
            if id.starts_with("slow") {
                thread::sleep(SLOW_TIME);
                return false;
            }
            if id == "large" {
                let text = format!("{head}content-length: {LARGE_BYTES}\r\n\r\n");
                let sent = stream.write_all(text.as_bytes());
                return sent
                    .and_then(|()| stream.write_all(&vec![b'a'; LARGE_BYTES]))
                    .is_ok();
            }
            let text = format!("{head}content-length: 4\r\n\r\ndone");
            stream.write_all(text.as_bytes()).is_ok()
        });
        let mut gateway = Gateway::start(3);
        gateway.process_settings = format!("grace_s = {grace_s}");
        gateway.kill(Role::Front(0));
        gateway.run(Role::Front(0), false);
        let site = Self { gateway, upstream };
        wait_until("the table is accepted", || {
            let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
            send(site.gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
        });
        wait_until("the front serves", || {
            site.announce("app", site.upstream.addr);
            let got = send(site.front(), &head("/order/1", "first", DEADLINE_MS), "x");
            got.is_some_and(|got| got.status == 200)
        });
        site
    }

    fn announce(&self, service: &str, addr: SocketAddr) {
        static SEQUENCE: AtomicU64 = AtomicU64::new(1);
        let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
        let head = format!("POST /sapphirequay/instances/{service}-1/heartbeat HTTP/1.1\nHost: c");
        let body = format!(
            r#"{{"Service":"{service}","Address":"{addr}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{sequence},"born":5}}"#
        );
        wait_until("the heartbeat is accepted", || {
            send(self.gateway.controls[0], &head, &body).is_some_and(|got| got.status == 200)
        });
    }

    fn front(&self) -> SocketAddr {
        self.gateway.fronts[0]
    }

    /// Whether the stopping front closes connections between two requests.
    fn closing(&self) -> bool {
        self.gateway.logs().contains("event=drain_closes")
    }

    /// Begins a request that the upstream works on for long, and waits until it does.
    fn begin_slow(&self, kind: &str, http: &'static str) -> JoinHandle<(Option<Response>, bool)> {
        let (front, id) = (self.front(), format!("slow-{kind}-{http}"));
        let head = head(&format!("/{kind}/1"), &id, DEADLINE_MS);
        let call = thread::spawn(move || exchange(front, &head, http));
        wait_until("the request runs", || self.upstream.runs_of(&id) == 1);
        call
    }
}

/// Sends a request and reads until the connection ends. Returns the response, if any, and
/// whether the connection was closed rather than reset.
fn exchange(front: SocketAddr, head: &str, http: &str) -> (Option<Response>, bool) {
    let mut stream = TcpStream::connect(front).expect("connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("limit");
    let head = head.replace("HTTP/1.1", http).replace('\n', "\r\n");
    let text = format!("{head}\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
    stream.write_all(text.as_bytes()).expect("request");
    let mut got = Vec::new();
    let read = stream.read_to_end(&mut got);
    (parse(&String::from_utf8_lossy(&got)), read.is_ok())
}

/// Guards against requests that are cut without an answer at the end of the grace period,
/// and against broken streams that look complete.
#[test]
fn requests_in_progress_at_the_end_of_the_grace_period_get_an_answer() {
    let mut site = Site::start(3);
    let calls = ["read", "order"].map(|kind| site.begin_slow(kind, "HTTP/1.1"));
    let streams = ["HTTP/1.1", "HTTP/1.0"].map(|http| site.begin_slow("chat", http));
    site.gateway.terminate(Role::Front(0));
    for call in calls {
        let (got, _) = call.join().expect("caller");
        let got = got.expect("an answer");
        assert_eq!(got.status, 502, "{got:?}");
        assert!(got.body.contains(r#""not_run":false"#), "{got:?}");
    }
    for (stream, http) in streams.into_iter().zip(["HTTP/1.1", "HTTP/1.0"]) {
        let (got, closed) = stream.join().expect("caller");
        let got = got.expect("a response");
        let framed = got.head.contains("chunked");
        assert_eq!(got.status, 200, "{http}: {got:?}");
        assert!(!(got.complete && (framed || closed)), "{http}: {got:?}");
    }
}

/// Guards against requests that are passed on although their answer may be cut off, and
/// against connections that are closed without one.
#[test]
fn a_stopping_front_answers_each_request_and_runs_only_what_can_end() {
    let mut site = Site::start(3);
    // Keeps the process until the end of the grace period.
    let slow = site.begin_slow("read", "HTTP/1.1");
    site.gateway.signal(Role::Front(0), "TERM");
    wait_until("the front stops", || {
        site.gateway.logs().contains("event=drain_began")
    });
    // Neither a second signal nor a reload changes anything.
    for signal in ["TERM", "HUP"] {
        site.gateway.signal(Role::Front(0), signal);
    }
    let front = site.front();
    let mut number = 0;
    while !slow.is_finished() {
        number += 1;
        let long = format!("order-{number}");
        let got = send(front, &head("/order/1", &long, DEADLINE_MS), "x");
        // The process may end between the check above and the request.
        let Some(got) = got else {
            wait_until("the process ends", || {
                !site.gateway.is_running(Role::Front(0))
            });
            break;
        };
        assert_eq!(got.status, 503, "{long}: {got:?}");
        assert!(got.body.contains("draining"), "{long}: {got:?}");
        assert!(got.head.contains("connection: close"), "{long}: {got:?}");
        assert!(got.head.contains("retry-after"), "{long}: {got:?}");
        assert_eq!(site.upstream.runs_of(&long), 0, "{long}: {got:?}");
        // What may be repeated is served on until connections are closed.
        let short = format!("read-{number}");
        let closing = site.closing();
        let Some(got) = send(front, &head("/read/1", &short, DEADLINE_MS), "x") else {
            wait_until("the process ends", || {
                !site.gateway.is_running(Role::Front(0))
            });
            break;
        };
        let ran = site.upstream.runs_of(&short) == 1;
        assert!(
            matches!((got.status, ran), (200, true) | (503, false)),
            "{got:?}"
        );
        assert!(!(closing && ran), "{got:?}");
        if !ran {
            wait_until("connections are closed", || site.closing());
        }
        thread::sleep(Duration::from_millis(50));
    }
    assert!(number > 0, "no request was sent during the shutdown");
    let (got, _) = slow.join().expect("caller");
    assert_eq!(got.expect("an answer").status, 502);
}

/// Guards against requests that may be repeated and are taken late in a stop to be cut.
#[test]
fn what_may_be_repeated_is_not_taken_late_in_a_stop_and_cut() {
    let site = Site::start(6);
    // Keeps the process until the end of the grace period.
    let slow = site.begin_slow("read", "HTTP/1.1");
    site.gateway.signal(Role::Front(0), "TERM");
    wait_until("connections are closed", || site.closing());
    for (kind, id, resumed) in [
        ("talk", "slow-chat-late", ""),
        ("talk", "slow-chat-resumed", "\nLast-Event-Id: 1"),
        ("read", "slow-late", ""),
    ] {
        let head = head(&format!("/{kind}/1"), id, DEADLINE_MS) + resumed;
        let got = send(site.front(), &head, "x").expect("an answer");
        assert_eq!((got.status, got.complete), (503, true), "{id}: {got:?}");
        assert!(got.body.contains("draining"), "{id}: {got:?}");
        assert_eq!(site.upstream.runs_of(id), 0, "{id}");
    }
    let (got, _) = slow.join().expect("caller");
    assert_eq!(got.expect("an answer").status, 502);
}

/// Guards against a process that ends under what it took while its last reports waited.
#[test]
fn what_is_taken_during_the_last_reports_of_a_stop_is_answered() {
    let mut site = Site::start(30);
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    site.announce("crash", listener.local_addr().expect("address"));
    wait_until("the upstream is known", || {
        site.gateway
            .logs()
            .contains("event=upstream_known upstream=crash-1")
    });
    for slot in 0..3 {
        site.gateway.signal(Role::Control(slot), "STOP");
    }
    let crash = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a request");
        read_request(&mut stream)
    });
    send(site.front(), &head("/crash/1", "crash", DEADLINE_MS), "x");
    assert!(crash.join().expect("upstream").is_some());
    wait_until("the crash is to be reported", || {
        site.gateway.logs().contains("event=upstream_crashed")
    });
    site.gateway.signal(Role::Front(0), "TERM");
    wait_until("all connections are closed", || {
        site.gateway.logs().contains("event=drain_ended")
    });
    let got = send(site.front(), &head("/read/1", "reports", 9_000), "x");
    let got = got.expect("an answer");
    assert_eq!((got.status, &*got.body), (200, "done"), "{got:?}");
    wait_until("the process ends", || {
        !site.gateway.is_running(Role::Front(0))
    });
}

/// Guards against a response that a stop cuts since its caller takes it slowly.
#[test]
fn a_stop_does_not_cut_a_response_that_is_taken_slowly() {
    let mut site = Site::start(30);
    let mut stream = TcpStream::connect(site.front()).expect("connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("limit");
    let head = head("/read/1", "large", DEADLINE_MS).replace('\n', "\r\n");
    let text = format!("{head}\r\nContent-Length: 1\r\n\r\nx");
    stream.write_all(text.as_bytes()).expect("request");
    let mut got = vec![0; 1];
    stream.read_exact(&mut got).expect("a response");
    site.gateway.signal(Role::Front(0), "TERM");
    wait_until("connections are closed", || site.closing());
    thread::sleep(SLOW_READ_TIME);
    let read = stream.read_to_end(&mut got);
    assert!(got.len() > LARGE_BYTES, "{} bytes, {read:?}", got.len());
    site.gateway.terminate(Role::Front(0));
}

/// Guards against a request that runs although it waited into the shutdown and can't end.
#[test]
fn a_request_whose_body_arrives_late_in_a_shutdown_is_not_run() {
    let mut site = Site::start(3);
    let mut stream = TcpStream::connect(site.front()).expect("connection");
    let head = head("/order/1", "late", DEADLINE_MS).replace('\n', "\r\n");
    let text = format!("{head}\r\nContent-Length: 2\r\n\r\nx");
    stream.write_all(text.as_bytes()).expect("request");
    thread::sleep(Duration::from_millis(200));
    site.gateway.signal(Role::Front(0), "TERM");
    wait_until("the front stops", || {
        site.gateway.logs().contains("event=drain_began")
    });
    stream.write_all(b"x").expect("rest");
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    let got = parse(&String::from_utf8_lossy(&got)).expect("an answer");
    assert_eq!(got.status, 503, "{got:?}");
    assert_eq!(site.upstream.runs_of("late"), 0);
    site.gateway.terminate(Role::Front(0));
}

/// Guards against requests that get no answer since the process stood still when the signal
/// was sent, and counts its grace period from when it read it.
#[test]
fn a_front_that_stood_still_counts_its_grace_period_from_the_signal() {
    let mut site = Site::start(8);
    let slow = site.begin_slow("read", "HTTP/1.1");
    site.gateway.signal(Role::Front(0), "STOP");
    site.gateway.signal(Role::Front(0), "TERM");
    thread::sleep(Duration::from_secs(9));
    site.gateway.signal(Role::Front(0), "CONT");
    // The platform kills it then at the latest.
    thread::sleep(Duration::from_secs(4));
    site.gateway.kill(Role::Front(0));
    let (got, _) = slow.join().expect("caller");
    assert_eq!(got.expect("an answer").status, 502);
}
