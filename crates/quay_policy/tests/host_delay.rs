//! Delay of a host, measured by its timers.

use {
    quay_policy::{HostDelay, MeasuredDelay},
    quay_types::Time,
    std::time::Duration,
};

const fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against a delay that one late timer sets, or that outlives its cause.
#[test]
fn the_delay_follows_lasting_load_and_expires() {
    let mut delay = HostDelay::default();
    assert_eq!(delay.measured(ms(0)), None);
    for number in 1..=9 {
        let late = if number == 5 { 200 } else { 1 };
        delay.record(ms(number * 300 + late), ms(number * 300));
    }
    let known = delay.measured(ms(2_801));
    let expected = MeasuredDelay {
        typical: Duration::from_millis(1),
        greatest: Duration::from_millis(200),
        age: Duration::from_millis(100),
    };
    assert_eq!(known, Some(expected));
    for number in 10..=20 {
        delay.record(ms(number * 300 + 40), ms(number * 300));
    }
    let typical = delay.measured(ms(6_100)).map(|it| it.typical);
    assert_eq!(typical, Some(Duration::from_millis(40)));
    // A host that was paused knows nothing until it has measured again.
    assert_eq!(delay.measured(ms(9_300)), None);
    delay.record(ms(9_300), ms(6_300));
    assert_eq!(delay.measured(ms(9_300)), None);
}
