//! Limits of accounts in a gateway of separate processes.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Response, StubUpstream, send},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":VERSION,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"limited","ApiKeys":["sk-limited"],"RatePerS":RATE,"Burst":5},{"Name":"free","ApiKeys":["sk-free"]}]}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

const WINDOW: Duration = Duration::from_secs(5);

static NEXT: AtomicU64 = AtomicU64::new(1);

fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    while began.elapsed() < WAIT_TIMEOUT {
        if let Some(got) = poll() {
            return got;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out waiting until {what}");
}

fn put_table(gateway: &Gateway, version: u32, rate: u32) {
    let text = TABLE.replace("VERSION", &version.to_string());
    let text = text.replace("RATE", &rate.to_string());
    let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
    wait_for("the table is accepted", || {
        let accepted =
            |addr: &SocketAddr| send(*addr, head, &text).is_some_and(|it| it.status == 200);
        gateway.controls.iter().any(accepted).then_some(())
    });
}

/// Announces the upstream several times in the time of its lease, for a minute.
fn keep_announced(controls: Vec<SocketAddr>, app: &StubUpstream) {
    let app = app.addr;
    thread::spawn(move || {
        for _ in 0..60 {
            announce(&controls, app);
            thread::sleep(Duration::from_secs(1));
        }
    });
}

fn announce(controls: &[SocketAddr], app: SocketAddr) {
    let head = "POST /sapphirequay/instances/app-1/heartbeat HTTP/1.1\nHost: c";
    let body = format!(
        r#"{{"Service":"app","Address":"{}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{},"born":5}}"#,
        app,
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    wait_for("the heartbeat is accepted", || {
        let accepted =
            |addr: &SocketAddr| send(*addr, head, &body).is_some_and(|it| it.status == 200);
        controls.iter().any(accepted).then_some(())
    });
}

fn read(front: SocketAddr, key: &str) -> Option<Response> {
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "POST /read/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: r{id}\n\
         X-Sapphirequay-Deadline-Ms: 8000\nAuthorization: Bearer {key}"
    );
    send(front, &head, "in")
}

/// Sends requests with a key to a front for some time. Returns the times and responses.
fn load(front: SocketAddr, key: &'static str, time: Duration) -> Vec<(Instant, Response)> {
    let began = Instant::now();
    let mut got = Vec::new();
    while began.elapsed() < time {
        if let Some(response) = read(front, key) {
            got.push((Instant::now(), response));
        }
        thread::sleep(Duration::from_millis(20));
    }
    got
}

/// Loads both fronts with the limited account. Returns the times of the requests that
/// ran, after a check of the refusals.
fn load_both(gateway: &Gateway, time: Duration) -> Vec<Instant> {
    let loads = [0, 0, 1, 1].map(|front| {
        let front = gateway.fronts[front];
        thread::spawn(move || load(front, "sk-limited", time))
    });
    let mut ran = Vec::new();
    for load in loads {
        for (at, got) in load.join().expect("the load") {
            if got.status == 200 {
                ran.push(at);
            } else {
                assert_eq!(got.status, 429, "{got:?}");
                assert!(got.head.contains("\r\nretry-after: "), "{got:?}");
                assert!(got.body.contains("quota_exceeded"), "{got:?}");
            }
        }
    }
    ran.sort();
    ran
}

/// Largest number of requests in a window.
fn most_in_window(ran: &[Instant]) -> usize {
    let windows = ran.iter().map(|from| {
        let within = ran.iter().filter(|at| *at >= from && **at - *from < WINDOW);
        within.count()
    });
    windows.max().unwrap_or(0)
}

/// Guards the limit over two fronts: in contact, while the leader is killed, and after
/// it was lowered; and that an account without a limit is never refused.
#[test]
fn limit_holds_over_both_fronts() {
    let mut gateway = Gateway::start(1);
    let app = StubUpstream::start();
    put_table(&gateway, 3, 6);
    keep_announced(gateway.controls.clone(), &app);
    for front in &gateway.fronts {
        wait_for("the front serves", || {
            let got = read(*front, "sk-free")?;
            (got.status == 200).then_some(())
        });
    }
    let front = gateway.fronts[0];
    let free = thread::spawn(move || load(front, "sk-free", Duration::from_secs(3)));
    let ran = load_both(&gateway, Duration::from_secs(7));
    let most = most_in_window(&ran);
    println!(
        "in contact: {} ran in 7 s, at most {most} in a window",
        ran.len()
    );
    let head = "GET /quotas HTTP/1.1\nHost: c";
    let listed = send(gateway.controls[0], head, "").expect("the list");
    let row = "account=\"limited\" rate=6.000 burst=5 free=";
    assert!(listed.body.starts_with(row), "{listed:?}");
    // (6 x 5 + 5) x 1.1 + 20.
    assert!(most <= 58 && ran.len() >= 30, "{most} of {}", ran.len());
    for (_, got) in free.join().expect("the load") {
        assert_eq!(got.status, 200, "{got:?}");
    }

    let leader = gateway.leader().expect("a leader");
    gateway.kill(leader);
    let ran = load_both(&gateway, Duration::from_secs(7));
    let most = most_in_window(&ran);
    println!(
        "leader killed: {} ran in 7 s, at most {most} in a window",
        ran.len()
    );
    assert!(most <= 58 && ran.len() >= 15, "{most} of {}", ran.len());

    put_table(&gateway, 4, 1);
    let _ = load_both(&gateway, Duration::from_millis(7_500));
    let ran = load_both(&gateway, Duration::from_secs(6));
    let most = most_in_window(&ran);
    println!(
        "lowered: {} ran in 6 s, at most {most} in a window",
        ran.len()
    );
    assert!(most <= 31 && !ran.is_empty(), "{most} of {}", ran.len());
    let logs = gateway.logs();
    assert!(logs.contains("event=quota_changed account=\"limited\" rate=1.000 burst=5"));
    assert!(!logs.contains("sk-limited"));
}
