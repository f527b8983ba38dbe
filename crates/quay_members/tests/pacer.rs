//! Tests of spread rounds.

use {proptest::prelude::*, quay_members::Pacer, std::time::Duration};

proptest! {
    #[test]
    fn waits_stay_within_bounds(rounds in prop::collection::vec((any::<bool>(), 0.0f64..1.0), 1..50)) {
        let interval = Duration::from_millis(500);
        let mut pacer = Pacer::new(interval);
        prop_assert!(pacer.next_wait(0.999) <= interval);
        for (well, random) in rounds {
            pacer.record_outcome(well);
            let wait = pacer.next_wait(random);
            let (least, most) = if well {
                (interval.mul_f64(0.9), interval.mul_f64(1.1))
            } else {
                (interval / 2, interval * 4)
            };
            prop_assert!(wait >= least && wait <= most, "{:?}", wait);
        }
    }
}
