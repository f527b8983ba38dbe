//! Tests that kill processes during calls that must run at most once.
//!
//! The service counts the runs of each order: no order may run twice, and none
//! may run whose caller was told `not_run`.

mod common;

use {
    common::{CountingService, Processes, Role, TestRequest, kind, wait_for},
    std::{net::SocketAddr, thread, time::Duration},
};

/// Headers of a call that must run at most once.
fn at_most_once(key: &str) -> [(&str, &str); 2] {
    [
        ("Idempotency-Key", key),
        ("Sapphirequay-Idempotent", "false"),
    ]
}

fn order<'a>(headers: &'a [(&'a str, &'a str)], body: &'a str) -> TestRequest<'a> {
    TestRequest {
        path: "/v1/services/orders",
        headers,
        body,
        ..TestRequest::default()
    }
}

/// Starts all processes and waits until both entries can reach the service.
fn start(service: &CountingService) -> Processes {
    let processes = Processes::start(service.addr());
    for entry in processes.entries {
        wait_for("an entry reaches the service", || {
            order(&[], "warm")
                .try_send(entry)
                .is_some_and(|answer| answer.0 == 200)
        });
    }
    processes
}

/// Sends an order on a separate thread and waits until the service runs it.
fn send_until_it_runs(
    service: &CountingService,
    entry: SocketAddr,
    key: &'static str,
) -> thread::JoinHandle<Option<(u16, String)>> {
    let sent = thread::spawn(move || order(&at_most_once(key), key).try_send(entry));
    wait_for("the service runs the order", || service.runs(key) == 1);
    sent
}

#[test]
fn an_order_survives_a_killed_entry() {
    let service = CountingService::start(Duration::from_millis(1_500));
    let mut processes = start(&service);
    let [one, two] = processes.entries;
    let sent = send_until_it_runs(&service, one, "order-1");
    processes.kill(Role::Entry(0));
    assert_eq!(
        sent.join().expect("thread"),
        None,
        "the killed entry must not answer"
    );
    // The sidecar retains the answer; the other entry asks it for the key.
    let answer = order(&at_most_once("order-1"), "order-1").send(two);
    assert_eq!(answer, (200, "order-1 run 1".to_owned()));
    processes.run(Role::Entry(0));
    wait_for("the restarted entry returns the retained answer", || {
        let again = order(&at_most_once("order-1"), "order-1").try_send(one);
        again.is_some_and(|again| again == answer)
    });
    assert_eq!(service.runs("order-1"), 1);
}

#[test]
fn a_killed_sidecar_leaves_an_unknown_outcome() {
    let service = CountingService::start(Duration::from_millis(800));
    let mut processes = start(&service);
    let [one, two] = processes.entries;
    let sent = send_until_it_runs(&service, one, "order-2");
    processes.kill(Role::Sidecar);
    let (_, text) = sent.join().expect("thread").expect("answer");
    assert_eq!(kind(&text), "outcome_unknown", "{text}");
    processes.run(Role::Sidecar);
    wait_for("the restarted sidecar serves", || {
        order(&[], "fresh").send(two).0 == 200
    });
    for entry in processes.entries {
        let (_, text) = order(&at_most_once("order-2"), "order-2").send(entry);
        assert_eq!(kind(&text), "outcome_unknown", "{text}");
    }
    assert_eq!(service.runs("order-2"), 1);
}

#[test]
fn a_killed_ledger_host_loses_no_order() {
    let service = CountingService::start(Duration::from_millis(800));
    let mut processes = start(&service);
    let [one, two] = processes.entries;
    // Kills two of the three hosts in turn, so that a leader among them is hit.
    for (slot, key) in [(0, "order-5"), (1, "order-6")] {
        let sent = send_until_it_runs(&service, one, key);
        processes.kill(Role::Ledger(slot));
        let answer = (200, format!("{key} run 1"));
        assert_eq!(sent.join().expect("thread"), Some(answer.clone()));
        assert_eq!(order(&at_most_once(key), key).send(two), answer);
        processes.run(Role::Ledger(slot));
        assert_eq!(service.runs(key), 1);
    }
}

/// Guards against ledger hosts that end, or refuse orders for good, after their disks
/// were full in turn.
#[test]
fn ledger_hosts_whose_disks_were_full_in_turn_lose_no_order() {
    let service = CountingService::start(Duration::from_millis(50));
    let mut processes = start(&service);
    let [one, two] = processes.entries;
    for (turn, slot) in [0, 1, 2, 0, 2, 1, 0].into_iter().enumerate() {
        processes.fill_disk(slot, Some([0, 300, 2_000][turn % 3]));
        let key = format!("order-{turn}");
        let answer = (200, format!("{key} run 1"));
        for entry in [one, two] {
            wait_for("the order is answered while a disk is full", || {
                order(&at_most_once(&key), &key).try_send(entry) == Some(answer.clone())
            });
        }
        thread::sleep(Duration::from_secs(1));
        processes.fill_disk(slot, None);
        assert!(processes.is_running(Role::Ledger(slot)), "turn {turn}");
        assert_eq!(service.runs(&key), 1);
    }
}

#[test]
fn without_a_ledger_no_order_runs() {
    const LEDGERS: [Role; 3] = [Role::Ledger(0), Role::Ledger(1), Role::Ledger(2)];
    let service = CountingService::start(Duration::from_millis(300));
    let mut processes = start(&service);
    let [one, two] = processes.entries;
    let before = order(&at_most_once("order-2"), "order-2").send(one);
    let sent = send_until_it_runs(&service, one, "order-3");
    for role in LEDGERS {
        processes.kill(role);
    }
    let (status, text) = order(&[("Sapphirequay-Idempotent", "false")], "order-4").send(two);
    assert_eq!(
        (status, &*kind(&text)),
        (503, "ledger_unavailable"),
        "{text}"
    );
    assert!(text.contains(r#""not_run":true"#), "{text}");
    assert_eq!(service.runs("order-4"), 0);
    // An earlier request with this key may have run, so the error must not state
    // that it did not.
    let (_, text) = order(&at_most_once("order-3"), "order-3").send(two);
    assert_eq!(kind(&text), "ledger_unreachable", "{text}");
    let (_, text) = sent.join().expect("thread").expect("answer");
    assert_eq!(kind(&text), "outcome_unknown", "{text}");

    for role in LEDGERS {
        processes.run(role);
    }
    let mut after = None;
    wait_for("the restarted ledger answers", || {
        after = order(&at_most_once("order-3"), "order-3").try_send(two);
        after.as_ref().is_some_and(|(status, _)| *status != 503)
    });
    // The permit survived on the ledger hosts' disks, and the sidecar retained
    // the answer.
    assert_eq!(after, Some((200, "order-3 run 1".to_owned())));
    assert_eq!(order(&at_most_once("order-2"), "order-2").send(two), before);
    assert_eq!((service.runs("order-2"), service.runs("order-3")), (1, 1));
    assert_eq!(service.runs("order-4"), 0);
}

#[test]
fn kills_at_any_moment_never_run_an_order_twice() {
    const ORDERS: usize = 40;
    let service = CountingService::start(Duration::from_millis(150));
    let mut processes = start(&service);
    let entries = processes.entries;
    let callers: Vec<_> = (0..ORDERS)
        .map(|number| {
            let service = service.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(100 * number as u64));
                place_order(&service, entries, number)
            })
        })
        .collect();
    for role in [
        Role::Entry(0),
        Role::Ledger(0),
        Role::Sidecar,
        Role::Ledger(1),
        Role::Entry(1),
        Role::Sidecar,
    ] {
        thread::sleep(Duration::from_millis(620));
        processes.kill(role);
        processes.run(role);
    }
    let mut answered = 0;
    for (number, caller) in callers.into_iter().enumerate() {
        let (status, text) = caller.join().expect("caller");
        let body = format!("order {number}");
        let runs = service.runs(&body);
        assert!(runs <= 1, "{body} ran {runs} times");
        if status == 200 {
            assert_eq!((runs, &*text), (1, &*format!("{body} run 1")));
            answered += 1;
        } else {
            assert_eq!(kind(&text), "outcome_unknown", "{text}");
        }
    }
    println!("orders answered whole: {answered} of {ORDERS}");
    assert!(
        answered > ORDERS / 2,
        "only {answered} of {ORDERS} orders were answered"
    );
}

/// Sends an order and retries it with the same key, alternating between the
/// entries, while the connection fails or the status is 503.
fn place_order(
    service: &CountingService,
    entries: [SocketAddr; 2],
    number: usize,
) -> (u16, String) {
    let body = format!("order {number}");
    let headers = at_most_once(&body);
    let mut sends = number;
    let mut answer = None;
    wait_for("the order gets a final answer", || {
        sends += 1;
        let Some((status, text)) = order(&headers, &body).try_send(entries[sends % 2]) else {
            return false;
        };
        if text.contains(r#""not_run":true"#) {
            assert_eq!(
                service.runs(&body),
                0,
                "{body} ran, but its caller was told {text}"
            );
        }
        answer = Some((status, text));
        status != 503
    });
    answer.expect("answer")
}
