//! Bounds of the waits between rounds.

use {proptest::prelude::*, quay_members::Pacer, std::time::Duration};

proptest! {
    #[test]
    fn waits_stay_within_bounds(rounds in prop::collection::vec((any::<bool>(), 0.0f64..1.0), 1..50)) {
        let interval = Duration::from_millis(500);
        let mut pacer = Pacer::new(interval);
        prop_assert!(pacer.next_wait(0.999) <= interval);
        for (succeeded, random) in rounds {
            pacer.record_outcome(succeeded);
            let wait = pacer.next_wait(random);
            let (min, max) = if succeeded {
                (interval.mul_f64(0.9), interval.mul_f64(1.1))
            } else {
                (interval / 2, interval * 4)
            };
            prop_assert!(wait >= min && wait <= max, "{:?}", wait);
        }
    }
}
