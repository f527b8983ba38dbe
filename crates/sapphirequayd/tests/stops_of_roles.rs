//! Tests of control hosts and stores that are stopped with SIGTERM while they work.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Role, header, send},
    quay_link::LinkRole,
    quay_types::GroupId,
    sapphirequayd::{GatewayRequest, LinkRequest, StoreOp, StoreReply, StoreRequest},
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::{runtime::Builder, task::JoinSet, time::sleep},
};

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

fn wait_for(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Request of a worker or operator: a heartbeat, a new table or a read of it.
fn request(kind: usize, caller: usize, number: u64) -> String {
    let (head, body) = match kind {
        0 => (
            format!("POST /sapphirequay/instances/app-{caller}/heartbeat"),
            format!(
                r#"{{"Service":"app","Address":"127.0.0.1:9","Zone":"dc-1","Version":"v{number}","Slots":16,"State":"ready","Seq":{number},"born":5}}"#
            ),
        ),
        1 => ("POST /sapphirequay/config/put".into(), table(number)),
        _ => ("GET /sapphirequay/config/get".into(), String::new()),
    };
    let len = body.len();
    format!("{head} HTTP/1.1\r\nHost: c\r\nContent-Length: {len}\r\n\r\n{body}")
}

fn table(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2}}],"Services":[{{"Name":"app","MaxConns":100}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Reads one response. Returns its head; `None` if it is not whole.
fn read_response(stream: &mut TcpStream) -> Option<String> {
    let mut got = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&got);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let len = header(head, "content-length")?.parse::<usize>().ok()?;
            if body.len() >= len {
                return Some(head.to_lowercase());
            }
        }
        let mut buf = [0; 4_096];
        let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
        got.extend_from_slice(&buf[..len]);
    }
}

/// Calls a host on a kept connection until that is closed, or a response says that it
/// will be. Returns the numbers of requests that were sent, and of whole answers.
fn call_until_closed(addr: SocketAddr, kind: usize, caller: usize) -> (u64, u64) {
    static NUMBER: AtomicU64 = AtomicU64::new(10);
    let mut stream = TcpStream::connect(addr).expect("connection");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("timeout");
    let (mut sent, mut answered) = (0, 0);
    loop {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        if stream
            .write_all(request(kind, caller, number).as_bytes())
            .is_err()
        {
            return (sent, answered);
        }
        sent += 1;
        let Some(head) = read_response(&mut stream) else {
            return (sent, answered);
        };
        answered += 1;
        if head.contains("connection: close") {
            return (sent, answered);
        }
    }
}

fn start(stores: usize) -> Gateway {
    let gateway = Gateway::start(stores);
    wait_for("the table is accepted", || {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(gateway.controls[0], head, &table(1)).is_some_and(|got| got.status == 200)
    });
    gateway
}

/// Stops a control host under calls; all that it has read are answered.
fn stop_control_under_calls(gateway: &mut Gateway, role: Role) {
    let Role::Control(slot) = role else {
        panic!("{role:?}")
    };
    let addr = gateway.controls[slot];
    let calls: Vec<_> = (0..12)
        .map(|caller| thread::spawn(move || call_until_closed(addr, caller % 3, caller)))
        .collect();
    thread::sleep(Duration::from_millis(500));
    // Requests arrive while the host stands still, too.
    gateway.signal(role, "TERM");
    thread::sleep(Duration::from_millis(50));
    gateway.signal(role, "STOP");
    thread::sleep(Duration::from_millis(400));
    gateway.signal(role, "CONT");
    gateway.terminate(role);
    let counts: Vec<(u64, u64)> = calls
        .into_iter()
        .map(|it| it.join().expect("calls"))
        .collect();
    let lost: u64 = counts.iter().map(|(sent, answered)| sent - answered).sum();
    assert_eq!(lost, 0, "sent and answered at {role:?}: {counts:?}");
}

/// Guards against calls of operators and workers that a control host has read and cuts.
#[test]
fn calls_to_a_control_host_that_stops_are_answered() {
    let mut gateway = start(0);
    for _ in 0..2 {
        wait_for("a host leads", || gateway.leader().is_some());
        let leader = gateway.leader().expect("a leader");
        let follower = (0..3).map(Role::Control).find(|it| *it != leader);
        for role in [follower.expect("a follower"), leader] {
            stop_control_under_calls(&mut gateway, role);
            gateway.run(role, false);
            wait_for("all control hosts answer", || {
                gateway.controls.iter().all(|addr| {
                    let head = "GET /sapphirequay/config/get HTTP/1.1\nHost: c";
                    send(*addr, head, "").is_some_and(|got| got.status == 200)
                })
            });
        }
    }
}

/// Guards against writes to a store that stops and waits of fronts for a time-out: what it
/// has read is answered, and the others learn at once that it is gone.
#[test]
fn writes_to_a_store_that_stops_are_answered_or_fail_at_once() {
    let gateway = start(1);
    wait_for("the store has opened", || {
        gateway.store_identity(0).is_some()
    });
    let (to, addr) = (
        gateway.store_identity(0).expect("identity"),
        gateway.store_links[0],
    );
    let client = gateway.front_client();
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime");
    let written = Arc::new(AtomicU64::new(0));
    let mut writers = JoinSet::new();
    for _ in 0..8 {
        let (client, written) = (client.clone(), Arc::clone(&written));
        let write = async move {
            for epoch in 1_000.. {
                let req = StoreRequest {
                    to,
                    group: GroupId(0),
                    epoch,
                    joined: 0,
                    op: StoreOp::FenceEpoch,
                };
                let req = LinkRequest::Gateway(GatewayRequest::Store(req));
                let reply = client.call::<StoreReply>(addr, LinkRole::Ledger, &req);
                if let Err(err) = reply.await {
                    return err.to_string();
                }
                written.fetch_add(1, Ordering::Relaxed);
            }
            String::new()
        };
        writers.spawn_on(write, runtime.handle());
    }
    runtime.block_on(async {
        while written.load(Ordering::Relaxed) < 100 {
            sleep(Duration::from_millis(10)).await;
        }
    });
    gateway.signal(Role::Store(0), "TERM");
    for err in runtime.block_on(writers.join_all()) {
        assert!(!err.contains("timed out"), "{err}");
    }
}

/// A change that no quorum confirms must not hold up a stop, and gets an answer.
#[test]
fn a_control_host_without_a_quorum_stops_and_answers() {
    let mut gateway = start(0);
    wait_for("a host leads", || gateway.leader().is_some());
    let leader = gateway.leader().expect("a leader");
    let others = (0..3).map(Role::Control).filter(|it| *it != leader);
    for other in others {
        gateway.signal(other, "STOP");
    }
    let Role::Control(slot) = leader else {
        panic!("{leader:?}")
    };
    let addr = gateway.controls[slot];
    let call = thread::spawn(move || {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(addr, head, &table(2))
    });
    thread::sleep(Duration::from_millis(100));
    gateway.terminate(leader);
    let status = call.join().expect("call").map(|got| got.status);
    assert_eq!(status, Some(503));
}
