//! Tests of an upstream's health and of spread rounds.

use {
    proptest::prelude::*,
    quay_members::{Health, HealthSettings, Pacer},
    quay_types::{Time, UpstreamState},
    std::time::Duration,
};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn an_upstream_that_hangs_on_every_request_is_failing() {
    let mut health = Health::new(HealthSettings::default());
    health.started(at(0));
    health.started(at(9_000));
    assert_eq!(health.state(at(9_999)), UpstreamState::Serving);
    assert_eq!(health.state(at(10_000)), UpstreamState::Failing);
    health.progressed(at(10_500));
    assert_eq!(health.state(at(10_500)), UpstreamState::Serving);
    // An idle upstream is no hanging one.
    health.ended(at(10_600), true);
    health.ended(at(10_600), true);
    assert_eq!(health.state(at(99_000)), UpstreamState::Serving);
}

#[test]
fn an_upstream_that_fails_is_tried_again_after_a_while() {
    let mut health = Health::new(HealthSettings::default());
    for n in 0..3 {
        assert_eq!(health.state(at(n)), UpstreamState::Serving);
        health.started(at(n));
        health.ended(at(n), false);
    }
    assert_eq!(health.state(at(100)), UpstreamState::Failing);
    assert_eq!(health.state(at(5_100)), UpstreamState::Serving);
    health.started(at(5_100));
    health.ended(at(5_200), false);
    assert_eq!(health.state(at(5_200)), UpstreamState::Failing);
    health.started(at(10_300));
    health.progressed(at(10_400));
    assert_eq!(health.state(at(10_400)), UpstreamState::Serving);
}

proptest! {
    #[test]
    fn waits_stay_within_bounds(rounds in prop::collection::vec((any::<bool>(), 0.0f64..1.0), 1..50)) {
        let interval = Duration::from_millis(500);
        let mut pacer = Pacer::new(interval);
        prop_assert!(pacer.wait(0.999) <= interval);
        for (well, random) in rounds {
            pacer.ended(well);
            let wait = pacer.wait(random);
            let (least, most) = if well {
                (interval.mul_f64(0.9), interval.mul_f64(1.1))
            } else {
                (interval / 2, interval * 4)
            };
            prop_assert!(wait >= least && wait <= most, "{:?}", wait);
        }
    }
}
