//! Byte budget of a host, without a network.

use {
    quay_policy::{
        CallerConnection, MemoryBudget, MemoryClass, MemoryDecision, MemoryHolder, MemorySettings,
        Shortage,
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
        while let Some(reader) = budget.disconnect_if_short(now) {
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
