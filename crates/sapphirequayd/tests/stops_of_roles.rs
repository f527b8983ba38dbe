//! Tests of control hosts and stores that are stopped with SIGTERM while they work.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Role, send},
    quay_link::LinkRole,
    quay_types::GroupId,
    sapphirequayd::{GatewayRequest, LinkRequest, StoreOp, StoreReply, StoreRequest},
    std::{
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

const TABLE: &str = r#"{"Version":1,"Routes":[{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2}],"Services":[{"Name":"app","MaxConns":100}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn start(stores: usize) -> Gateway {
    let gateway = Gateway::start(stores);
    wait_for("the table is accepted", || {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
    });
    gateway
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
