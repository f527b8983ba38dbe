//! Tests of the time-outs of routes.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;
#[path = "common/scripted_upstream.rs"]
mod scripted_upstream;

use {
    gateway::{Gateway, send},
    scripted_upstream::ScriptedUpstream,
    std::{
        io::Write as _,
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":1500,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Time from a request until the head of its response, within the route's time-out, and
/// from the head until the end, which is past it.
const PARTS: [Duration; 2] = [Duration::from_millis(900), Duration::from_millis(1_100)];

fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against requests that are held for up to twice their time-out, since the body of
/// the response gets the whole time once more (review, script `timeout`).
#[test]
fn the_head_and_the_body_of_a_response_share_the_time_out() {
    let gateway = Gateway::start(1);
    let upstream = ScriptedUpstream::start(|_, stream, req| {
        thread::sleep(PARTS[0]);
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-sapphirequay-request-id: {}\r\nx-sapphirequay-response-seal: s\r\ncontent-length: 4\r\n\r\ndo",
            req.id
        );
        let _ = stream.write_all(head.as_bytes());
        thread::sleep(PARTS[1]);
        stream.write_all(b"ne").is_ok()
    });
    wait_until("the table is accepted", || {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
    });
    let mut sequence = 0;
    let mut status = 503;
    wait_until("the request reaches the upstream", || {
        sequence += 1;
        let body = format!(
            r#"{{"Service":"app","Address":"{}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{sequence},"born":5}}"#,
            upstream.addr
        );
        let head = "POST /sapphirequay/instances/app-1/heartbeat HTTP/1.1\nHost: c";
        send(gateway.controls[0], head, &body);
        let head = format!(
            "POST /order/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: r{sequence}\nX-Sapphirequay-Deadline-Ms: 8000"
        );
        let got = send(gateway.fronts[0], &head, "x");
        status = got.map_or(503, |got| got.status);
        status != 503
    });
    assert_eq!(status, 504, "the response was complete after the time-out");
}
