//! Upstreams that name in their responses how many requests a second they take
//! from all hosts together, with real fronts and control hosts.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Behaviour, Gateway, LIMIT_PER_S, Response, StubUpstream, send},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Time after the first response with a limit from which the limit must hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Period over which requests are counted, and the number allowed in it.
const PERIOD: Duration = Duration::from_secs(4);
const ALLOWED: usize = LIMIT_PER_S as usize * 6 + 5;

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn announce(gateway: &Gateway, upstreams: &[StubUpstream]) {
    static SEQUENCE: AtomicU64 = AtomicU64::new(1);
    for (number, upstream) in upstreams.iter().enumerate() {
        let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
        let head = format!("POST /sapphirequay/instances/app-{number}/heartbeat HTTP/1.1\nHost: c");
        let body = format!(
            r#"{{"Service":"app","Address":"{}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{sequence},"born":5}}"#,
            upstream.addr
        );
        wait_until("the heartbeat is not accepted", || {
            send(gateway.controls[0], &head, &body).is_some_and(|got| got.status == 200)
        });
    }
}

/// Starts a gateway with some upstreams, and waits until both fronts serve.
fn start(upstreams: usize) -> (Gateway, Vec<StubUpstream>) {
    let gateway = Gateway::start(1);
    let upstreams: Vec<_> = (0..upstreams).map(|_| StubUpstream::start()).collect();
    let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
    wait_until("the table is not accepted", || {
        send(gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
    });
    announce(&gateway, &upstreams);
    for front in &gateway.fronts {
        wait_until("a front does not serve", || {
            read(*front).is_some_and(|got| got.status == 200)
        });
    }
    (gateway, upstreams)
}

fn read(front: SocketAddr) -> Option<Response> {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "POST /read/{number} HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: call-{number}\nX-Sapphirequay-Deadline-Ms: 4000"
    );
    send(front, &head, "x")
}

/// Sends requests through both fronts for a while. Returns the responses.
fn send_for(
    gateway: &Gateway,
    upstreams: &[StubUpstream],
    time: Duration,
) -> Vec<Option<Response>> {
    let began = Instant::now();
    let mut got = Vec::new();
    while began.elapsed() < time {
        announce(gateway, upstreams);
        for front in gateway.fronts.iter().cycle().take(20) {
            got.push(read(*front));
        }
        thread::sleep(Duration::from_millis(100));
    }
    got
}

/// The most requests that the upstream got in a period, from the time on from
/// which its limit must hold.
fn most_in_a_period(upstream: &StubUpstream) -> usize {
    let times = upstream.limited_requests();
    let from = times[0] + CONTACT_TIME;
    let counted = times.iter().filter(|at| **at >= from);
    counted
        .map(|start| {
            let period = *start..*start + PERIOD;
            times.iter().filter(|at| period.contains(*at)).count()
        })
        .max()
        .unwrap_or_default()
}

#[test]
fn a_limited_upstream_gets_its_limit_from_all_fronts_together() {
    let (gateway, upstreams) = start(2);
    upstreams[0].set_behaviour(Behaviour::Limited);
    let got = send_for(&gateway, &upstreams, CONTACT_TIME + PERIOD * 2);
    let most = most_in_a_period(&upstreams[0]);
    assert!(most <= ALLOWED, "{most} requests in {PERIOD:?}");
    for response in got {
        assert_eq!(response.expect("response").status, 200);
    }
    // The limit ends.
    upstreams[0].set_behaviour(Behaviour::Normal);
    let before = upstreams[0].requests_run().len();
    wait_until("the upstream is not used like the other", || {
        send_for(&gateway, &upstreams, Duration::from_millis(200));
        upstreams[0].requests_run().len() - before > 4 * ALLOWED
    });
}

#[test]
fn requests_beyond_the_limits_of_all_upstreams_are_refused_with_a_time_to_return() {
    let (gateway, upstreams) = start(2);
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour::Limited);
    }
    let got = send_for(&gateway, &upstreams, CONTACT_TIME + PERIOD * 2);
    for upstream in &upstreams {
        let most = most_in_a_period(upstream);
        assert!(most <= ALLOWED, "{most} requests in {PERIOD:?}");
    }
    let mut refused = 0;
    for response in got.into_iter().flatten() {
        if response.status != 200 {
            assert_eq!(response.status, 503, "{response:?}");
            assert!(response.head.contains("retry-after"), "{response:?}");
            refused += 1;
        }
    }
    assert!(refused > 0, "more was sent than the limits allow");
}
