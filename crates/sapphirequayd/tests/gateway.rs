//! A gateway as real processes: turns, budgets, tables and what outlives kills
//! and lost disks.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Answer, Gateway, Manner, Part, Upstream, send},
    quay_link::LinkRole,
    quay_types::TurnId,
    sapphirequayd::{GatewayRequest, LinkRequest, StoreOp, StoreReply, StoreRequest},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":VERSION,"Routes":[
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"llm","MaxAttempts":1,"Retain":true,"RetentionS":60.0,"Resumable":false},
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2},
{"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"llm","MaxConns":100,"Engine":{"Slots":16,"StrideTokens":10}},{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Bounds a failure; nothing is said of how fast it goes.
const PATIENCE: Duration = Duration::from_secs(90);

/// Tries until something holds.
fn wait_for<T>(what: &str, mut tries: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        if let Some(got) = tries() {
            return got;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("not in time: {what}");
}

fn put_table(gateway: &Gateway, version: u32) {
    let body = TABLE.replace("VERSION", &version.to_string());
    wait_for("the table is taken", || {
        let got = send(
            gateway.controls[0],
            "POST /sapphirequay/config/put HTTP/1.1\nHost: c",
            &body,
        )?;
        (got.status == 200).then_some(())
    });
}

fn announce(gateway: &Gateway, name: &str, service: &str, upstream: &Upstream) {
    let head = format!("POST /sapphirequay/instances/{name}/heartbeat HTTP/1.1\nHost: c");
    let body = format!(
        r#"{{"Service":"{service}","Address":"{}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":1,"born":5}}"#,
        upstream.addr
    );
    wait_for("the upstream is heard", || {
        let got = send(gateway.controls[1], &head, &body)?;
        (got.status == 200).then_some(())
    });
}

/// A gateway that has a table and two upstreams.
fn started() -> (Gateway, Upstream, Upstream) {
    let gateway = Gateway::start();
    let (llm, app) = (Upstream::start(), Upstream::start());
    put_table(&gateway, 3);
    announce(&gateway, "llm-1", "llm", &llm);
    announce(&gateway, "app-1", "app", &app);
    (gateway, llm, app)
}

fn turn(id: &str, prior: &str, budget: u32) -> String {
    let mut head = format!(
        "POST /chat/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Program-Id: p\n\
         X-Sapphirequay-Token-Budget: {budget}\nX-Sapphirequay-Token-Usage: 5,30\nX-Sapphirequay-Deadline-Ms: 8000"
    );
    if !prior.is_empty() {
        head.push_str("\nX-Sapphirequay-Previous-Turn: ");
        head.push_str(prior);
    }
    head
}

/// Sends a turn, as another attempt each time, until it is answered otherwise
/// than 503; tells the number of the attempt that was.
fn run_turn(
    gateway: &Gateway,
    front: SocketAddr,
    upstream: &Upstream,
    (name, prior, budget, input): (&str, &str, u32, &str),
) -> (String, Answer) {
    let mut attempt = 0;
    wait_for("the turn is answered", || {
        announce(gateway, "llm-1", "llm", upstream);
        attempt += 1;
        let id = format!("{name}-{attempt}");
        let got = send(front, &turn(&id, prior, budget), input)?;
        (got.status != 503).then_some((id, got))
    })
}

fn call(kind: &str, id: &str) -> String {
    format!(
        "POST /{kind}/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Deadline-Ms: 8000"
    )
}

#[test]
fn turns_are_kept_byte_for_byte_over_kills_and_a_lost_disk() {
    let (mut gateway, llm, _app) = started();
    let [one, two] = [gateway.fronts[0], gateway.fronts[1]];
    let (first, got) = run_turn(&gateway, one, &llm, ("t1", "", 1_000, "in-1;"));
    assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    assert_eq!(got.body, "id: 1\ndata: hello\n\nid: 2\ndata: world\n\n");

    // Another front, which has not seen the first turn.
    let (second, got) = run_turn(&gateway, two, &llm, ("t2", &first, 1_000, "in-2;"));
    assert_eq!(got.status, 200, "{got:?}");
    let whole = "in-1;hello\nworld\nin-2;";
    assert_eq!(llm.ran().last().map(String::as_str), Some(whole));

    // A store loses its disk and comes back with an empty one, then all die.
    gateway.kill(Part::Store(0));
    gateway.wipe_store(0);
    gateway.run(Part::Store(0), false);
    let (third, got) = run_turn(&gateway, one, &llm, ("t3", &second, 1_000, "in-3;"));
    assert_eq!(got.status, 200, "{got:?}");
    for slot in 0..3 {
        gateway.kill(Part::Store(slot));
        gateway.kill(Part::Control(slot));
    }
    for slot in 0..2 {
        gateway.kill(Part::Front(slot));
    }
    for slot in 0..3 {
        gateway.run(Part::Store(slot), false);
        gateway.run(Part::Control(slot), false);
    }
    for slot in 0..2 {
        gateway.run(Part::Front(slot), false);
    }
    let (_, got) = run_turn(&gateway, two, &llm, ("t4", &third, 1_000, "in-4;"));
    assert_eq!(got.status, 200, "{got:?}");
    let whole = "in-1;hello\nworld\nin-2;hello\nworld\nin-3;hello\nworld\nin-4;";
    assert_eq!(llm.ran().last().map(String::as_str), Some(whole));

    // A turn that never was is told so only by those who can be sure.
    let (_, got) = run_turn(&gateway, one, &llm, ("t5", "never", 1_000, "in;"));
    assert_eq!(got.status, 404, "{got:?}");
}

#[test]
fn a_budget_holds_over_fronts_and_counts_what_was_handed_out() {
    let (gateway, llm, _app) = started();
    // A turn hands out two events of 10 tokens and may hand out 30.
    let (first, got) = run_turn(&gateway, gateway.fronts[0], &llm, ("b1", "", 50, "a"));
    assert_eq!(got.status, 200, "{got:?}");
    // 20 are used once that is settled: 30 more fit, at another front.
    let mut tries = 0;
    let second = wait_for("the first turn is settled", || {
        tries += 1;
        let turn = (&*format!("b2-{tries}"), &*first, 50, "b");
        let (id, got) = run_turn(&gateway, gateway.fronts[1], &llm, turn);
        (got.status == 200).then_some(id)
    });
    // 40 are used, or more until that is settled: no turn of 30 fits any more.
    let ran = llm.ran().len();
    for front in &gateway.fronts {
        let (_, got) = run_turn(&gateway, *front, &llm, ("b3", &second, 50, "c"));
        assert_eq!(got.status, 402, "{got:?}");
    }
    assert_eq!(llm.ran().len(), ran);
}

#[test]
fn a_call_that_may_not_run_twice_runs_once_and_is_told_the_truth() {
    let (gateway, _llm, app) = started();
    let front = gateway.fronts[0];
    wait_for("a call is answered", || {
        let got = send(front, &call("read", "warm"), "warm")?;
        (got.status == 200).then_some(())
    });
    for (manner, kind, status, runs) in [
        (Manner::Sound, "order", 200, 1),
        (Manner::Mute, "order", 502, 1),
        (Manner::Mixed, "order", 502, 1),
        (Manner::Full, "order", 503, 0),
        (Manner::Full, "read", 503, 0),
    ] {
        app.set(manner);
        let before = app.ran().len();
        let id = format!("{kind}-{manner:?}");
        let got = send(front, &call(kind, &id), &id).expect("answer");
        assert_eq!(got.status, status, "{id}: {got:?}");
        assert_eq!(app.ran().len() - before, runs, "{id}");
        let sealed = got.head.contains("x-sapphirequay-response-seal");
        assert_eq!(
            sealed,
            status == 200,
            "only whole answers vouch for the upstream"
        );
        assert_eq!(got.head.contains("retry-after"), status == 503, "{id}");
    }
}

#[test]
fn a_stream_that_ends_within_an_event_does_not_look_whole_and_is_not_kept() {
    let (gateway, llm, _app) = started();
    let front = gateway.fronts[0];
    run_turn(&gateway, front, &llm, ("warm", "", 1_000, "w"));
    llm.set(Manner::Torn);
    let (torn, got) = run_turn(&gateway, front, &llm, ("torn", "", 1_000, "x"));
    assert_eq!((got.status, got.whole), (200, false), "{got:?}");
    llm.set(Manner::Sound);
    let (_, got) = run_turn(&gateway, front, &llm, ("next", &torn, 1_000, "y"));
    assert_eq!(got.status, 404, "{got:?}");
}

#[test]
fn tables_only_rise_and_faulty_ones_change_nothing() {
    let (gateway, _llm, _app) = started();
    let put = |body: &str| {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        wait_for("the control group answers", || {
            let got = send(gateway.controls[2], head, body)?;
            (got.status != 503).then_some(got.status)
        })
    };
    let held = || {
        let head = "GET /sapphirequay/config/get HTTP/1.1\nHost: c";
        wait_for("the control group answers", || {
            let got = send(gateway.controls[0], head, "")?;
            (got.status == 200).then_some(got.body)
        })
    };
    let table = |version: u32| TABLE.replace("VERSION", &version.to_string());
    put_table(&gateway, 7);
    assert_eq!(held(), table(7));
    // An older one and other content under the same number are acknowledged
    // and change nothing.
    assert_eq!(put(&table(5)), 200);
    assert_eq!(put(&table(7).replace("8000", "9000")), 200);
    // Faulty ones are refused.
    assert_eq!(put(&table(8)[..200]), 400);
    assert_eq!(
        put(&table(8).replace(r#""Service":"app""#, r#""Service":"gone""#)),
        400
    );
    assert_eq!(put(&table(8).replace("8000", "0")), 400);
    assert_eq!(held(), table(7));
}

#[test]
fn a_route_that_does_not_exist_and_a_body_over_the_limit_are_refused() {
    let (gateway, _llm, app) = started();
    let front = gateway.fronts[0];
    wait_for("a call is answered", || {
        let got = send(front, &call("read", "warm"), "warm")?;
        (got.status == 200).then_some(())
    });
    let ran = app.ran().len();
    let gone = send(front, &call("gone", "r1"), "").expect("answer");
    assert_eq!(gone.status, 404);
    let large = send(front, &call("read", "r2"), &"x".repeat(100_001)).expect("answer");
    assert_eq!(large.status, 413);
    let nameless = "POST /read/1 HTTP/1.1\nHost: a.example";
    assert_eq!(send(front, nameless, "").expect("answer").status, 400);
    assert_eq!(app.ran().len(), ran);
}

#[test]
fn what_a_front_did_is_counted_and_timed() {
    let (gateway, llm, _app) = started();
    let front = gateway.fronts[0];
    run_turn(&gateway, front, &llm, ("m1", "", 1_000, "in"));
    send(front, &call("gone", "m2"), "").expect("answer");
    let metrics = wait_for("the stream's end is counted", || {
        let got = send(gateway.monitor, "GET /metrics HTTP/1.1\nHost: m", "")?;
        got.body.contains("stage=\"keep\"").then_some(got.body)
    });
    for line in [
        "sapphirequay_calls_total{status=\"2xx\"} 1",
        "sapphirequay_refusals_total{kind=\"no_route\"} 1",
        "sapphirequay_call_seconds_bucket",
        "sapphirequay_stage_seconds_count{stage=\"first\"} 1",
        "sapphirequay_table_revision 3",
        "sapphirequay_control_age_seconds",
    ] {
        assert!(metrics.contains(line), "{line}: {metrics}");
    }
    let other = send(gateway.monitor, "GET /secret HTTP/1.1\nHost: m", "");
    assert_eq!(other.expect("answer").status, 404);
}

#[test]
fn a_front_passes_on_what_another_one_asks_a_store_and_nothing_else() {
    let (gateway, llm, _app) = started();
    // From then on the front knows the stores.
    run_turn(&gateway, gateway.fronts[0], &llm, ("d1", "", 1_000, "in"));
    let other = gateway.front_client();
    let ask = |addr: SocketAddr| {
        let req = StoreRequest {
            // No store is called so: each says no, and that it is there.
            to: 0,
            epoch: 1,
            joined: 0,
            op: StoreOp::Chain(TurnId(0)),
        };
        let req = LinkRequest::Gateway(GatewayRequest::Relay(addr, req));
        let stream = other.open(gateway.front_links[0], LinkRole::Entry, &req);
        let answer = stream.expect("stream").recv::<Option<StoreReply>>();
        answer.expect("answer")
    };
    for store in &gateway.store_links {
        assert_eq!(ask(*store), Some(StoreReply::Refused));
    }
    assert_eq!(ask(gateway.controls[0]), None);
    assert_eq!(ask(gateway.front_links[1]), None);
}
