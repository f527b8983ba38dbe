//! Upstreams that leave while the control group changes its leader.

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
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Time after which a leader knows all upstreams that send heartbeats.
const COMPLETE_TIME: Duration = Duration::from_secs(5);

/// Time that an order takes, so that orders of the same moment are spread.
const WORK_TIME: Duration = Duration::from_millis(150);

/// A gateway with two upstreams.
struct Site {
    gateway: Gateway,
    upstreams: [ScriptedUpstream; 2],
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

impl Site {
    fn start() -> Self {
        let start_upstream = || {
            ScriptedUpstream::start(|upstream, stream, req| {
                upstream.record_run(&req.id);
                thread::sleep(WORK_TIME);
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-sapphirequay-request-id: {}\r\nx-sapphirequay-response-seal: s\r\ncontent-length: 4\r\n\r\ndone",
                    req.id
                );
                stream.write_all(text.as_bytes()).is_ok()
            })
        };
        let site = Self {
            gateway: Gateway::start(3),
            upstreams: [start_upstream(), start_upstream()],
        };
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        wait_until("the table is accepted", || site.call_control(head, TABLE));
        site
    }

    /// Sends a call to the control hosts in turn until one of them accepts it.
    fn call_control(&self, head: &str, body: &str) -> bool {
        let mut controls = self.gateway.controls.iter();
        controls.any(|it| send(*it, head, body).is_some_and(|got| got.status == 200))
    }

    fn announce(&self, slot: usize) {
        let (addr, sequence) = (self.upstreams[slot].addr, next_number());
        let head = format!("POST /sapphirequay/instances/app-{slot}/heartbeat HTTP/1.1\nHost: c");
        let body = format!(
            r#"{{"Service":"app","Address":"{addr}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{sequence},"born":5}}"#
        );
        wait_until("the heartbeat is accepted", || {
            self.call_control(&head, &body)
        });
    }

    /// Sends an order through a front. Returns the upstream that ran it, if any.
    fn order(&self, front: usize) -> Option<usize> {
        let id = format!("order-{}", next_number());
        let head = format!(
            "POST /order/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Deadline-Ms: 8000"
        );
        send(self.gateway.fronts[front], &head, "one").expect("response");
        self.upstreams.iter().position(|it| it.runs_of(&id) > 0)
    }

    /// Sends orders through a front at the same moment. Returns the upstreams that ran them.
    fn orders(&self, front: usize, count: usize) -> Vec<Option<usize>> {
        thread::scope(|scope| {
            let sent: Vec<_> = (0..count)
                .map(|_| scope.spawn(|| self.order(front)))
                .collect();
            let ran = sent.into_iter().map(|it| it.join().expect("caller"));
            ran.collect()
        })
    }

    /// Sends orders through a front until both upstreams have run one.
    fn wait_for_both(&self, front: usize) {
        let mut missing = vec![0, 1];
        wait_until("both upstreams run orders", || {
            (0..2).for_each(|slot| self.announce(slot));
            let ran = self.orders(front, 4);
            missing.retain(|it| !ran.contains(&Some(*it)));
            missing.is_empty()
        });
    }
}

/// Guards against orders to an upstream whose departure a new leader has acknowledged: the
/// front kept the entry of the leader before until the new directory was complete.
#[test]
fn an_upstream_that_left_under_a_new_leader_gets_no_more_orders() {
    let mut site = Site::start();
    let began = Instant::now();
    while began.elapsed() < COMPLETE_TIME {
        (0..2).for_each(|slot| site.announce(slot));
        thread::sleep(Duration::from_millis(500));
    }
    for front in [0, 1] {
        site.wait_for_both(front);
    }
    let leader = site.gateway.leader().expect("a leader");
    site.gateway.kill(leader);
    wait_until("another host leads", || {
        site.gateway.leader().is_some_and(|it| it != leader)
    });
    let head = "POST /sapphirequay/instances/app-0/leave HTTP/1.1\nHost: c";
    wait_until("the departure is acknowledged", || {
        site.call_control(head, "")
    });
    wait_until("both fronts know of the departure", || {
        site.gateway
            .logs()
            .matches("event=upstream_departed")
            .count()
            >= 2
    });
    for front in [0, 1] {
        let ran = site.orders(front, 12);
        assert!(ran.contains(&Some(1)), "the other upstream serves: {ran:?}");
        assert!(!ran.contains(&Some(0)), "the upstream has left: {ran:?}");
    }
}
