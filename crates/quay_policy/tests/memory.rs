//! Byte budget of a host, without a network.

use {
    indexmap::IndexMap,
    quay_policy::{
        CallerConnection, ConnectDecision, ConnectionPhase, EndReason, MemoryBudget, MemoryClass,
        MemoryDecision, MemoryHolder, MemorySettings, Shortage,
    },
    quay_types::{AccountId, Time},
    std::time::Duration,
};

/// Budget of the smallest front of the reference deployments.
const TOTAL: u64 = 32 << 20;
const BODY: u64 = 4 << 20;

fn holder(connection: u64) -> MemoryHolder {
    MemoryHolder {
        connection: CallerConnection(connection),
        account: None,
    }
}

fn budget() -> MemoryBudget {
    MemoryBudget::new(MemorySettings::of(TOTAL))
}

fn assert_empty(budget: &MemoryBudget) {
    assert!(MemoryClass::ALL.iter().all(|it| budget.used(*it) == 0));
    assert_eq!(budget.holders(), (0, 0));
}

/// Guards against bodies that fill the memory needed for the responses of requests
/// that already run.
#[test]
fn the_largest_bodies_on_all_connections_leave_room_for_responses() {
    let (mut budget, now) = (budget(), Time::ZERO);
    let mut granted = Vec::new();
    for connection in 0..500 {
        let it = Some(holder(connection));
        match budget.reserve(now, MemoryClass::Requests, it, BODY, 0) {
            MemoryDecision::Granted => granted.push(connection),
            other => assert_eq!(other, MemoryDecision::Refused(Shortage::Host)),
        }
    }
    assert!(granted.len() as u64 * BODY <= TOTAL / 4 * 3 && granted.len() >= 5);
    let response = budget.reserve(now, MemoryClass::Responses, Some(holder(0)), 1 << 20, 0);
    assert_eq!(response, MemoryDecision::Granted);
    budget.release(MemoryClass::Responses, Some(holder(0)), 1 << 20);
    for connection in granted {
        budget.release(MemoryClass::Requests, Some(holder(connection)), BODY);
    }
    assert_empty(&budget);
}

/// Guards against slow readers that use up the memory of ordinary callers, and
/// against the disconnection of callers that read in time.
#[test]
fn of_500_slow_readers_the_slowest_are_disconnected_and_ordinary_callers_are_served() {
    let mut budget = budget();
    let class = MemoryClass::Responses;
    let (chunk, mut disconnected) = (8_192, Vec::new());
    let mut held = vec![0; 500];
    // At 1 kB/s the first chunk is taken after 8 s, which is after the end of the test.
    for step in 0..40_u64 {
        let now = Time::from_millis(step * 100);
        for connection in 0..500 {
            let it = holder(connection);
            if disconnected.contains(&it.connection) || !budget.may_read_on(it) {
                continue;
            }
            let decision = budget.reserve(now, class, Some(it), chunk, 0);
            assert_eq!(decision, MemoryDecision::Granted);
            held[usize::try_from(connection).expect("small")] += chunk;
            // A reader with a higher number begins later.
            let ready = now + Duration::from_micros(connection);
            budget.record_waiting(ready, it, chunk);
        }
        let ordinary = holder(1_000 + step);
        let request = budget.reserve(now, MemoryClass::Requests, Some(ordinary), 100_000, 0);
        assert_eq!(request, MemoryDecision::Granted, "step {step}");
        budget.release(MemoryClass::Requests, Some(ordinary), 100_000);
        let answer = budget.reserve(now, class, Some(ordinary), 100_000, 0);
        assert_eq!(answer, MemoryDecision::Granted, "step {step}");
        budget.record_waiting(now, ordinary, 100_000);
        while let Some(reader) = budget.end_if_short(now) {
            assert!(reader.stalled >= Duration::from_secs(1));
            disconnected.push(reader.connection);
        }
        budget.record_taken(now, ordinary, 100_000);
        budget.release(class, Some(ordinary), 100_000);
    }
    assert!(!disconnected.is_empty() && disconnected.len() < 500);
    assert!(disconnected.is_sorted(), "the slowest is not the first");
    assert!(budget.used(class) < TOTAL);
    assert_eq!(budget.used(class), held.iter().sum::<u64>());
    for (connection, bytes) in (0..).zip(held) {
        budget.release(class, Some(holder(connection)), bytes);
    }
    assert_empty(&budget);
}

/// Guards against refusals while memory is taken by what can be loaded again, and
/// against losing the cache for a request that can't be admitted anyway.
#[test]
fn cached_conversations_are_evicted_before_a_request_is_refused() {
    let (mut budget, now) = (budget(), Time::ZERO);
    let cached = 24 << 20;
    budget.charge(MemoryClass::Conversations, None, cached);
    let mut ask =
        |bytes, cached| budget.reserve(now, MemoryClass::Requests, Some(holder(1)), bytes, cached);
    assert!(matches!(ask(BODY, cached), MemoryDecision::Evict(bytes) if bytes >= BODY - 100));
    assert_eq!(ask(BODY, 0), MemoryDecision::Refused(Shortage::Host));
    let refused = MemoryDecision::Refused(Shortage::Caller);
    assert_eq!(ask(TOTAL, cached), refused);
    budget.release(MemoryClass::Conversations, None, BODY);
    let granted = budget.reserve(now, MemoryClass::Requests, Some(holder(1)), BODY - 100, 0);
    assert_eq!(granted, MemoryDecision::Granted);
}

/// Guards against one caller, or one account on many connections, that takes all.
#[test]
fn the_shares_of_a_caller_and_of_an_account_are_bounded() {
    let (mut budget, now) = (budget(), Time::ZERO);
    let account = Some(AccountId::of("a"));
    let mut ask = |connection, account| {
        let it = MemoryHolder {
            account,
            ..holder(connection)
        };
        budget.reserve(now, MemoryClass::Responses, Some(it), BODY, 0)
    };
    assert_eq!(ask(1, None), MemoryDecision::Granted);
    let refused = MemoryDecision::Refused(Shortage::Caller);
    assert_eq!((ask(1, None), ask(1, None)), (refused, refused));
    let of_account: Vec<_> = (2..9).map(|connection| ask(connection, account)).collect();
    let refused = MemoryDecision::Refused(Shortage::Account);
    assert_eq!(of_account[..3], [MemoryDecision::Granted; 3]);
    assert_eq!(of_account[3..], [refused; 4]);
    assert_eq!(ask(9, Some(AccountId::of("b"))), MemoryDecision::Granted);
}

// ----------------------------------------------------------------------------
// Connections and slow senders

fn connect(budget: &mut MemoryBudget, now: Time, connection: u64) -> ConnectDecision {
    budget.connect(now, CallerConnection(connection))
}

fn begin(budget: &mut MemoryBudget, now: Time, connection: u64, phase: ConnectionPhase) {
    budget.record_phase(now, CallerConnection(connection), phase);
}

/// Guards against requests that stay incomplete and keep out ordinary ones, and against
/// the end of a caller that still sends.
#[test]
fn the_sender_of_least_for_what_it_holds_goes_before_a_request_is_refused() {
    let (mut budget, start) = (budget(), Time::ZERO);
    let upload = MemoryClass::Uploads;
    for connection in 0..6 {
        assert_eq!(
            connect(&mut budget, start, connection),
            ConnectDecision::Admitted
        );
        begin(&mut budget, start, connection, ConnectionPhase::Body);
        let bytes = if connection == 2 { 4 << 20 } else { 3 << 20 };
        let it = Some(holder(connection));
        assert_eq!(
            budget.reserve(start, upload, it, bytes, 0),
            MemoryDecision::Granted
        );
    }
    let mut ask = |now, connection| {
        budget.reserve(
            now,
            MemoryClass::Requests,
            Some(holder(connection)),
            5 << 20,
            0,
        )
    };
    let refused = MemoryDecision::Refused(Shortage::Host);
    assert_eq!(ask(Time::from_millis(900), 9), refused, "none is slow yet");
    let now = Time::from_millis(1_500);
    begin(&mut budget, now, 4, ConnectionPhase::Body);
    let mut ended = Vec::new();
    for connection in 9..20 {
        let class = MemoryClass::Requests;
        while let MemoryDecision::End(it) =
            budget.reserve(now, class, Some(holder(connection)), 4 << 20, 0)
        {
            assert_eq!(
                (it.reason, it.phase),
                (EndReason::SlowSender, ConnectionPhase::Body)
            );
            ended.push(it.connection.0);
        }
    }
    assert_eq!(ended.first(), Some(&2), "the one that holds most");
    assert_eq!(
        ended.len(),
        5,
        "all but the one that still sends: {ended:?}"
    );
    assert!(!ended.contains(&4));
}

/// Guards against connections that fill the memory or the descriptors of a host, and
/// against the end of one that carries a request.
#[test]
fn a_new_connection_replaces_one_without_a_request() {
    let mut budget = budget();
    let mut admitted = 0;
    let ended = loop {
        match connect(&mut budget, Time::from_millis(admitted), admitted) {
            ConnectDecision::Admitted => admitted += 1,
            ConnectDecision::End(ended) => break ended,
            ConnectDecision::Refused => panic!("refused"),
        }
    };
    assert!(admitted > 1_000, "{admitted}");
    assert!(budget.used(MemoryClass::Connections) <= TOTAL / 2);
    assert_eq!((ended.connection.0, ended.reason), (0, EndReason::Replaced));
    assert_eq!(
        connect(&mut budget, Time::from_millis(2_000), 5_000),
        ConnectDecision::Admitted
    );
    let now = Time::from_millis(60_000);
    for connection in 1..admitted {
        begin(&mut budget, now, connection, ConnectionPhase::Running);
    }
    begin(&mut budget, now, 5_000, ConnectionPhase::Running);
    assert_eq!(connect(&mut budget, now, 6_000), ConnectDecision::Refused);
    begin(&mut budget, now, 7, ConnectionPhase::Idle);
    begin(
        &mut budget,
        now + Duration::from_secs(1),
        8,
        ConnectionPhase::Idle,
    );
    let ConnectDecision::End(ended) = connect(&mut budget, now, 6_000) else {
        panic!("an idle connection makes room");
    };
    assert_eq!(ended.connection.0, 7, "idle for longest");
    budget.record_behind(CallerConnection(9));
    let mut replaced = || match budget.end_replaced(now + Duration::from_secs(2)) {
        Some(ended) => ended.connection.0,
        None => u64::MAX,
    };
    assert_eq!([replaced(), replaced(), replaced()], [8, 9, u64::MAX]);
    assert_eq!(connect(&mut budget, now, 6_000), ConnectDecision::Admitted);
    begin(&mut budget, now, 6_000, ConnectionPhase::Running);
    let room = budget.reserve(now, MemoryClass::Requests, Some(holder(9)), BODY, 0);
    assert_eq!(
        room,
        MemoryDecision::Granted,
        "connections leave room for requests"
    );
    for connection in 0..=6_000 {
        budget.close(CallerConnection(connection));
    }
    budget.release(MemoryClass::Requests, Some(holder(9)), BODY);
    assert_empty(&budget);
}

#[test]
fn the_number_of_connections_is_bounded_also_where_memory_is_not() {
    let mut budget = MemoryBudget::new(MemorySettings {
        max_connections: 3,
        ..MemorySettings::of(1 << 60)
    });
    for connection in 0..3 {
        let decision = connect(&mut budget, Time::ZERO, connection);
        assert_eq!(decision, ConnectDecision::Admitted);
        begin(
            &mut budget,
            Time::ZERO,
            connection,
            ConnectionPhase::Running,
        );
    }
    assert_eq!(
        connect(&mut budget, Time::ZERO, 3),
        ConnectDecision::Refused
    );
    budget.close(CallerConnection(1));
    assert_eq!(
        connect(&mut budget, Time::ZERO, 3),
        ConnectDecision::Admitted
    );
}

/// Guards against heads that arrive for as long as a connection may be idle.
#[test]
fn a_head_has_its_own_time_out() {
    let mut budget = budget();
    budget.set_limits(BODY, Duration::from_secs(2));
    for connection in 0..3 {
        connect(&mut budget, Time::ZERO, connection);
    }
    begin(
        &mut budget,
        Time::from_millis(1_000),
        0,
        ConnectionPhase::Head,
    );
    begin(
        &mut budget,
        Time::from_millis(2_000),
        1,
        ConnectionPhase::Head,
    );
    begin(&mut budget, Time::ZERO, 2, ConnectionPhase::Idle);
    assert_eq!(budget.end_late_head(Time::from_millis(3_000)), None);
    let ended = budget
        .end_late_head(Time::from_millis(3_500))
        .expect("late");
    assert_eq!(
        (ended.connection.0, ended.reason),
        (0, EndReason::HeadTimeout)
    );
    assert_eq!(budget.end_late_head(Time::from_millis(3_500)), None);
}

/// Guards against a shutdown that waits for callers that send nothing.
#[test]
fn a_shutdown_ends_what_has_not_arrived() {
    let mut budget = budget();
    for (connection, phase) in [
        (0, ConnectionPhase::Running),
        (1, ConnectionPhase::Head),
        (2, ConnectionPhase::Body),
        (3, ConnectionPhase::Body),
    ] {
        connect(&mut budget, Time::ZERO, connection);
        begin(&mut budget, Time::ZERO, connection, phase);
    }
    let now = Time::from_millis(2_000);
    begin(&mut budget, now, 3, ConnectionPhase::Body);
    let ended: Vec<u64> = std::iter::from_fn(|| budget.end_unused(now))
        .map(|it| it.connection.0)
        .collect();
    assert_eq!(ended, [1, 2]);
}

/// Guards against a budget in which the largest body of a request has no room.
#[test]
fn the_smallest_budget_holds_the_largest_body() {
    let smallest = MemorySettings::of(10_000_000);
    let mut budget = MemoryBudget::new(smallest);
    assert!(budget.holds_largest_body());
    connect(&mut budget, Time::ZERO, 1);
    for class in [MemoryClass::Uploads, MemoryClass::Requests] {
        let reserved = budget.reserve(Time::ZERO, class, Some(holder(1)), BODY + 65_536, 0);
        assert_eq!(reserved, MemoryDecision::Granted);
        budget.release(class, Some(holder(1)), BODY + 65_536);
    }
    budget.set_limits(2 * BODY, Duration::from_secs(3));
    assert!(!budget.holds_largest_body());
}

/// Guards against receive buffers that in sum take the memory of a host, whatever the
/// order in which connections come and go.
#[test]
fn receive_buffers_are_bounded_in_sum() {
    for total in [10_000_000, 34_000_000, 45_000_000, 100_000_000] {
        let mut budget = MemoryBudget::new(MemorySettings::of(total));
        let mut buffers = IndexMap::new();
        let mut most = 0;
        for connection in 0..3_000_u64 {
            let size = budget.receive_buffer();
            while let ConnectDecision::End(ended) = connect(&mut budget, Time::ZERO, connection) {
                buffers.swap_remove(&ended.connection.0);
                budget.close(ended.connection);
            }
            buffers.insert(connection, size);
            most = most.max(buffers.values().sum());
            if connection % 7 == 0 {
                let closed = connection / 2;
                if buffers.swap_remove(&closed).is_some() {
                    budget.close(CallerConnection(closed));
                }
            }
        }
        // Linux lets up to twice the size arrive.
        assert!(2 * most <= total, "{most} of {total}");
    }
}
