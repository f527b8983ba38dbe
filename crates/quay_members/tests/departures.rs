//! Tests of departures that readers learn of beside the directory.

use {
    quay_members::{Departure, DepartureLog},
    quay_types::{Incarnation, UpstreamId},
};

fn departure(number: u64) -> Departure {
    (UpstreamId(number), Incarnation(1))
}

#[test]
fn a_reader_gets_each_departure_once_in_order() {
    let mut log = DepartureLog::default();
    let mut known = 0;
    for number in 1..=3 {
        log.record(departure(number));
        let changes = log.since(known);
        assert_eq!(changes.departures, [departure(number)]);
        known = changes.known;
    }
    assert!(log.since(known).departures.is_empty());
    assert_eq!(log.since(0).departures.len(), 3);
}

#[test]
fn a_reader_that_missed_many_departures_gets_those_that_are_kept() {
    let mut log = DepartureLog::default();
    for number in 0..3_000 {
        log.record(departure(number));
    }
    let changes = log.since(5);
    assert_eq!(changes.known, 3_000);
    assert_eq!(changes.departures.last(), Some(&departure(2_999)));
    assert_eq!(changes.departures.len(), 1_024);
    assert_eq!(
        log.since(2_998).departures,
        [departure(2_998), departure(2_999)]
    );
    assert!(log.since(u64::MAX).departures.is_empty());
}
