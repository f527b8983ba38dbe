//! Requests that crash the upstreams that run them, over all fronts, attempts of
//! callers, and restarts of hosts.

#[path = "common/crashing_upstream.rs"]
mod crashing_upstream;
#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    crashing_upstream::{Counts, CrashMode, CrashingUpstream, DEADLY},
    gateway::{Gateway, Response, Role, send},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Resumable":false},
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2},
{"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Crashes after which a request may be sent to only a few more upstreams.
const CRASHES: usize = 3;

/// Time after the third crash within which every host in touch knows of it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Upstreams that a request may reach later than [`CONTACT_TIME`] after its
/// third crash.
const MAX_LATER_RUNS: usize = 3;

/// Time after which all fronts know what one of them has reported.
const REPORT_TIME: Duration = Duration::from_millis(400);

/// Harmless requests before the deadly one, several for each upstream and front.
const WARM_CALLS: usize = 80;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// A gateway with a pool of crashing upstreams.
struct Site {
    gateway: Gateway,
    upstreams: Vec<CrashingUpstream>,
    counts: Arc<Counts>,
    sent: usize,
    /// Time after which an upstream that took over an address sends its first
    /// heartbeat.
    heartbeat_delay: Duration,
    /// Upstreams that took over an address and have sent no heartbeat, with the times
    /// at which they were found.
    unannounced: Vec<(Instant, CrashingUpstream)>,
}

impl Site {
    fn start() -> Self {
        let gateway = Gateway::start(1);
        let began = Instant::now();
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        while send(gateway.controls[0], head, TABLE).is_none_or(|got| got.status != 200) {
            assert!(began.elapsed() < WAIT_TIMEOUT, "the table is not accepted");
            thread::sleep(Duration::from_millis(100));
        }
        Self {
            gateway,
            upstreams: Vec::new(),
            counts: Arc::default(),
            sent: 0,
            heartbeat_delay: Duration::ZERO,
            unannounced: Vec::new(),
        }
    }

    fn add_upstreams(&mut self, count: usize, mode: CrashMode) {
        for _ in 0..count {
            let name = format!("{mode:?}-{}", self.upstreams.len());
            let upstream = CrashingUpstream::start(&name, mode, &self.counts);
            self.upstreams.push(upstream);
        }
        self.announce_all();
    }

    /// Sends a heartbeat of each upstream that runs, and of those that took over
    /// an address.
    fn announce_all(&mut self) {
        static SEQUENCE: AtomicU64 = AtomicU64::new(1);
        let successors = self
            .upstreams
            .iter()
            .filter_map(|it| it.successor.lock().expect("lock").take());
        let found = successors.map(|it| (Instant::now(), it));
        self.unannounced.extend(found);
        let delay = self.heartbeat_delay;
        let due = self
            .unannounced
            .extract_if(.., |(found, _)| found.elapsed() >= delay);
        self.upstreams.extend(due.map(|(_, upstream)| upstream));
        for upstream in self.upstreams.iter().filter(|it| !it.ended()) {
            let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
            let head = format!(
                "POST /sapphirequay/instances/{}/heartbeat HTTP/1.1\nHost: c",
                upstream.name
            );
            let body = format!(
                r#"{{"Service":"app","Address":"{}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{sequence},"born":5}}"#,
                upstream.addr
            );
            let mut controls = self.gateway.controls.iter();
            let _ =
                controls.find(|it| send(**it, &head, &body).is_some_and(|got| got.status == 200));
        }
    }

    /// Sends a request through a front, under an id of its own.
    fn call(&mut self, front: usize, path: &str, body: &str, deadline_ms: u32) -> Option<Response> {
        self.sent += 1;
        let usage = if path.starts_with("/chat/") {
            "\nX-Sapphirequay-Token-Usage: 5,30"
        } else {
            ""
        };
        let head = format!(
            "POST {path} HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: call-{}\nX-Sapphirequay-Deadline-Ms: {deadline_ms}{usage}",
            self.sent
        );
        send(self.gateway.fronts[front], &head, body)
    }

    /// Sends a harmless request until it is served.
    fn serve_harmless(&mut self, front: usize, path: &str) {
        let began = Instant::now();
        while self
            .call(front, path, "harmless", 2_000)
            .is_none_or(|got| got.status != 200)
        {
            assert!(
                began.elapsed() < WAIT_TIMEOUT,
                "a harmless request is not served"
            );
            self.announce_all();
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends the deadly request through both fronts until it has crashed
    /// [`CRASHES`] upstreams.
    fn crash_upstreams(&mut self, path: &str, deadline_ms: u32) {
        let before = self.counts.deadly();
        let began = Instant::now();
        while self.counts.deadly() < before + CRASHES {
            assert!(began.elapsed() < WAIT_TIMEOUT, "too few crashes");
            self.announce_all();
            let front = self.sent % 2;
            self.call(front, path, DEADLY, deadline_ms);
        }
    }

    /// Sends the deadly request through one of the fronts, and leaves the control
    /// group time to pass on what the front saw.
    fn send_deadly_and_wait(&mut self, path: &str) {
        self.announce_all();
        let front = self.sent % 2;
        self.call(front, path, DEADLY, 1_000);
        thread::sleep(REPORT_TIME);
    }

    /// Sends the deadly request often and returns how many upstreams it reached.
    fn send_deadly_again(&mut self, path: &str, deadline_ms: u32) -> usize {
        let before = self.counts.deadly();
        for _ in 0..8 {
            self.announce_all();
            let front = self.sent % 2;
            self.call(front, path, DEADLY, deadline_ms);
        }
        self.counts.deadly() - before
    }
}

/// Plays one way of crashing, with a path of its own for the deadly request.
fn play(site: &mut Site, mode: CrashMode, path: &str, deadline_ms: u32) {
    site.add_upstreams(14, mode);
    for call in 0..WARM_CALLS {
        // Leaves connections that the deadly request reuses.
        site.serve_harmless(call % 2, path);
    }
    site.crash_upstreams(path, deadline_ms);
    thread::sleep(CONTACT_TIME);
    let later = site.send_deadly_again(path, deadline_ms);
    assert!(
        later <= MAX_LATER_RUNS,
        "{mode:?} on {path}: {later} more upstreams were crashed"
    );
    for front in [0, 1] {
        site.serve_harmless(front, path);
    }
}

#[test]
fn a_request_that_crashed_three_upstreams_is_not_sent_on_and_on() {
    let mut site = Site::start();
    play(&mut site, CrashMode::BeforeHead, "/order/1", 1_000);
    play(&mut site, CrashMode::BeforeHead, "/read/2", 1_000);
    play(&mut site, CrashMode::MidStream, "/chat/3", 1_000);
}

#[test]
fn crashes_are_recognized_at_replaced_and_at_silent_upstreams() {
    let mut site = Site::start();
    play(&mut site, CrashMode::Replaced, "/order/4", 1_000);
    play(&mut site, CrashMode::Silent, "/order/5", 2_500);
}

/// Guards against crashes that are not counted since the upstream at the same address
/// sends its first heartbeat late.
#[test]
fn crashes_are_counted_although_the_heartbeats_of_the_successors_come_late() {
    let mut site = Site::start();
    site.heartbeat_delay = Duration::from_secs(6);
    site.add_upstreams(14, CrashMode::Replaced);
    for front in [0, 1] {
        site.serve_harmless(front, "/order/13");
    }
    site.crash_upstreams("/order/13", 1_000);
    let began = Instant::now();
    while began.elapsed() < site.heartbeat_delay + CONTACT_TIME {
        site.announce_all();
        thread::sleep(Duration::from_millis(300));
    }
    let later = site.send_deadly_again("/order/13", 1_000);
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} more upstreams were crashed"
    );
}

#[test]
fn a_quarantine_holds_over_restarts_of_all_fronts_and_control_hosts() {
    let mut site = Site::start();
    site.add_upstreams(14, CrashMode::BeforeHead);
    site.serve_harmless(0, "/order/6");
    site.serve_harmless(1, "/order/6");
    site.crash_upstreams("/order/6", 1_000);
    thread::sleep(CONTACT_TIME);
    for slot in 0..3 {
        site.gateway.kill(Role::Control(slot));
    }
    for slot in 0..2 {
        site.gateway.kill(Role::Front(slot));
    }
    for slot in 0..3 {
        site.gateway.run(Role::Control(slot), false);
    }
    for slot in 0..2 {
        site.gateway.run(Role::Front(slot), false);
    }
    let mut later = 0;
    for front in [0, 1] {
        site.serve_harmless(front, "/order/6");
        later += site.send_deadly_again("/order/6", 1_000);
    }
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} more upstreams were crashed"
    );
}

#[test]
fn a_leader_that_dies_at_the_third_crash_does_not_hide_the_request() {
    let mut site = Site::start();
    site.add_upstreams(14, CrashMode::BeforeHead);
    site.serve_harmless(0, "/order/8");
    site.serve_harmless(1, "/order/8");
    site.crash_upstreams("/order/8", 1_000);
    let leader = site.gateway.leader().expect("a leader");
    site.gateway.kill(leader);
    thread::sleep(CONTACT_TIME);
    let later = site.send_deadly_again("/order/8", 1_000);
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} more upstreams were crashed"
    );
}

/// Guards against a request that is sent on and on while no crash can be acknowledged.
#[test]
fn a_request_that_crashed_three_upstreams_is_refused_while_no_control_host_answers() {
    // When the control hosts stop, and how many fronts see the first crashes.
    for (stopped_before, fronts) in [(false, 2), (true, 2), (true, 1)] {
        let mut site = Site::start();
        site.add_upstreams(14, CrashMode::BeforeHead);
        site.serve_harmless(0, "/order/14");
        site.serve_harmless(1, "/order/14");
        let stop = |site: &Site| {
            (0..3).for_each(|slot| site.gateway.signal(Role::Control(slot), "STOP"));
        };
        if stopped_before {
            stop(&site);
        }
        while site.counts.deadly() < CRASHES {
            let front = site.sent % fronts;
            site.call(front, "/order/14", DEADLY, 1_000);
        }
        if !stopped_before {
            stop(&site);
        }
        let before = site.counts.deadly();
        for call in 0..12 {
            let front = if fronts == 1 { 1 } else { call % 2 };
            site.call(front, "/order/14", DEADLY, 1_000);
        }
        let later = site.counts.deadly() - before;
        (0..3).for_each(|slot| site.gateway.signal(Role::Control(slot), "CONT"));
        assert!(
            later <= MAX_LATER_RUNS,
            "{later} more upstreams were crashed; stopped before: {stopped_before}, {fronts} fronts"
        );
    }
}

#[test]
fn a_front_that_was_paused_during_the_crashes_learns_of_them() {
    let mut site = Site::start();
    site.add_upstreams(14, CrashMode::BeforeHead);
    site.serve_harmless(0, "/order/9");
    site.serve_harmless(1, "/order/9");
    site.gateway.signal(Role::Front(1), "STOP");
    while site.counts.deadly() < CRASHES {
        site.announce_all();
        site.call(0, "/order/9", DEADLY, 1_000);
    }
    site.gateway.signal(Role::Front(1), "CONT");
    thread::sleep(CONTACT_TIME);
    let before = site.counts.deadly();
    for _ in 0..8 {
        site.announce_all();
        site.call(1, "/order/9", DEADLY, 1_000);
    }
    let later = site.counts.deadly() - before;
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} more upstreams were crashed"
    );
}

#[test]
fn an_error_response_does_not_clear_a_request_that_crashes_upstreams() {
    for (status, path) in [(500, "/order/10"), (504, "/order/11")] {
        let mut site = Site::start();
        site.add_upstreams(20, CrashMode::FailsSome(status));
        site.serve_harmless(0, path);
        site.serve_harmless(1, path);
        while site.counts.crashes() < CRASHES {
            site.send_deadly_and_wait(path);
        }
        thread::sleep(CONTACT_TIME);
        let before = site.counts.deadly();
        for _ in 0..8 {
            site.send_deadly_and_wait(path);
        }
        let later = site.counts.deadly() - before;
        assert!(
            later <= MAX_LATER_RUNS,
            "{status}: the request reached {later} more upstreams"
        );
    }
}

#[test]
fn a_front_that_is_shut_down_reports_the_crash_of_its_last_request() {
    let mut site = Site::start();
    site.add_upstreams(14, CrashMode::Late);
    site.serve_harmless(0, "/order/12");
    site.serve_harmless(1, "/order/12");
    while site.counts.deadly() < CRASHES {
        let before = site.counts.deadly();
        let addr = site.gateway.fronts[0];
        let head = format!(
            "POST /order/12 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: last-{before}"
        );
        let caller = thread::spawn(move || send(addr, &head, DEADLY));
        let began = Instant::now();
        while site.counts.deadly() == before {
            assert!(
                began.elapsed() < WAIT_TIMEOUT,
                "no upstream got the request"
            );
            thread::sleep(Duration::from_millis(10));
        }
        site.gateway.terminate(Role::Front(0));
        caller.join().expect("caller");
        site.gateway.run(Role::Front(0), false);
        site.serve_harmless(0, "/order/12");
    }
    thread::sleep(CONTACT_TIME);
    let later = site.send_deadly_again("/order/12", 6_000);
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} more upstreams were crashed"
    );
}

#[test]
fn a_request_whose_upstreams_only_break_off_is_not_refused() {
    let mut site = Site::start();
    site.add_upstreams(4, CrashMode::BreaksOff);
    site.serve_harmless(0, "/order/7");
    site.serve_harmless(1, "/order/7");
    for _ in 0..12 {
        site.announce_all();
        let front = site.sent % 2;
        let got = site.call(front, "/order/7", DEADLY, 1_000).expect("answer");
        assert_eq!(got.status, 502, "{got:?}");
    }
}
