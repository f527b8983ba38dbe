//! Schedule of a shutdown.

use {
    quay_policy::{DrainPlan, DrainSettings, StandstillClock},
    quay_types::Time,
    std::time::Duration,
};

fn plan(grace_ms: u64) -> DrainPlan {
    let grace = Duration::from_millis(grace_ms);
    DrainPlan::new(Time::from_millis(1_000), grace, &DrainSettings::default())
}

/// Guards against a short grace period that is over before any request was served.
#[test]
fn a_short_grace_period_is_mostly_left_to_requests() {
    for grace_ms in [500, 1_000, 2_000, 3_000, 8_000, 60_000] {
        let plan = plan(grace_ms);
        let grace = Duration::from_millis(grace_ms);
        let began = Time::from_millis(1_000);
        assert!(plan.ends().since(began) >= grace * 3 / 4, "{plan:?}");
        assert!(plan.closes().since(began) <= grace / 2, "{plan:?}");
        assert_eq!(plan.exits(), began + grace);
        assert!(plan.closes() < plan.ends() && plan.ends() < plan.exits());
    }
}

/// Guards against requests that are taken late in a shutdown and cut at its end.
#[test]
fn only_what_surely_ends_is_admitted_once_connections_close() {
    let plan = plan(8_000);
    let more = Duration::from_millis(1);
    let before = plan.closes() - more;
    for (at, repeatable) in [
        (plan.began(), false),
        (before, false),
        (plan.closes(), false),
        (plan.closes(), true),
        (plan.ends() - more, true),
    ] {
        let left = plan.ends().since(at);
        assert!(plan.admits(at, left, repeatable), "{at:?}");
        assert!(!plan.admits(at, left + more, repeatable), "{at:?}");
    }
    assert!(!plan.admits(plan.ends(), Duration::ZERO, true));
    assert!(!plan.admits(plan.ends(), Duration::ZERO, false));
    // Until then callers are still led here.
    assert!(plan.admits(before, plan.ends().since(before) * 2, true));
}

/// Guards against a grace period that is counted from the end of a standstill.
#[test]
fn a_signal_read_after_a_standstill_may_be_as_old_as_it() {
    let at = Time::from_millis;
    let mut clock = StandstillClock::default();
    for ms in (0..=3_000).step_by(300) {
        clock.record_run(at(ms));
        assert_eq!(clock.signal_sent(at(ms + 299)), at(ms + 299));
    }
    // Stands still from then on, and reads the signal first, or runs first.
    assert_eq!(clock.signal_sent(at(9_000)), at(3_000));
    clock.record_run(at(9_000));
    assert_eq!(clock.signal_sent(at(9_001)), at(3_000));
    // A signal that was read later was sent after it.
    assert_eq!(clock.signal_sent(at(9_200)), at(9_200));
    for ms in (9_300..=10_200).step_by(300) {
        clock.record_run(at(ms));
    }
    assert_eq!(clock.signal_sent(at(10_201)), at(10_201));
}

/// Guards against final answers that come after the process was killed, since it read the
/// signal late by less than a standstill.
#[test]
fn a_delay_that_is_no_standstill_is_covered_by_the_reserve() {
    let at = Time::from_millis;
    let mut clock = StandstillClock::default();
    for ms in (0..=3_000).step_by(300) {
        clock.record_run(at(ms));
    }
    let grace = Duration::from_secs(8);
    for read in 3_000..9_000 {
        let sent = clock.signal_sent(at(read));
        let plan = DrainPlan::new(sent, grace, &DrainSettings::default());
        assert!(plan.ends() < at(3_000) + grace, "{read}");
    }
}
