//! Upstreams that say in their responses that they are leaving, at a front that
//! hears nothing from the control group, and upstreams whose departure a new leader knows
//! before it lists them.

#[path = "common/front_view.rs"]
mod front_view;

use {
    front_view::{POOL, announcement, directory, select},
    quay_members::DepartureLog,
    quay_types::{Incarnation, Time, UpstreamId},
    sapphirequayd::{SelectedUpstream, Upstreams},
};

/// Time of the response that says so, and one far beyond any drain time.
const SAID: Time = Time::from_millis(1_000);
const LATER: Time = Time::from_millis(60_000);

fn ids(chosen: &[SelectedUpstream]) -> Vec<UpstreamId> {
    chosen.iter().map(|it| it.id).collect()
}

/// A front with two upstreams that both run conversations, of which one has said
/// that it is leaving. Returns the front, that upstream and the other one.
fn front_before_a_leaving_upstream() -> (Upstreams, SelectedUpstream, UpstreamId) {
    let mut front = Upstreams::new("a");
    let both = [announcement("one", 1), announcement("two", 1)];
    let changes = directory(&both, &mut front, 1);
    front.apply_changes(Time::ZERO, changes);
    let chosen = select(&mut front, SAID, &[]);
    let [leaving, other] = &*chosen else {
        panic!("{chosen:?}");
    };
    front.record_leaving(leaving);
    (front, leaving.clone(), other.id)
}

#[test]
fn the_next_turns_of_all_conversations_go_elsewhere() {
    let (mut front, _, other) = front_before_a_leaving_upstream();
    assert_eq!(ids(&select(&mut front, LATER, &[])), [other]);
}

#[test]
fn a_retry_is_refused_rather_than_sent_to_a_leaving_upstream() {
    let (mut front, _, other) = front_before_a_leaving_upstream();
    assert_eq!(select(&mut front, LATER, &[other]), []);
}

#[test]
fn a_suspended_upstream_is_preferred_to_a_leaving_one() {
    let (mut front, leaving, other) = front_before_a_leaving_upstream();
    front.suspend(LATER, (other, Incarnation(1)));
    assert_eq!(ids(&select(&mut front, LATER, &[])), [other]);
    front.suspend(LATER, leaving.run());
    assert_eq!(ids(&select(&mut front, LATER, &[])), [other]);
}

#[test]
fn a_service_of_which_every_upstream_leaves_is_not_served() {
    let (mut front, _, other) = front_before_a_leaving_upstream();
    let rest = select(&mut front, LATER, &[]);
    assert_eq!(ids(&rest), [other]);
    assert!(front.serves(LATER, &POOL));
    front.record_leaving(&rest[0]);
    assert!(!front.serves(LATER, &POOL));
    assert_eq!(select(&mut front, LATER, &[]), []);
}

#[test]
fn a_late_announcement_does_not_bring_a_leaving_upstream_back() {
    let (mut front, leaving, _) = front_before_a_leaving_upstream();
    let changes = directory(&[], &mut front, 2);
    front.apply_changes(LATER, changes);
    let changes = directory(&[announcement(&leaving.name, 1)], &mut front, 3);
    front.apply_changes(LATER, changes);
    assert_eq!(select(&mut front, LATER, &[]), []);
}

#[test]
fn an_upstream_that_has_started_again_is_used() {
    let (mut front, leaving, _) = front_before_a_leaving_upstream();
    let changes = directory(&[announcement(&leaving.name, 2)], &mut front, 2);
    front.apply_changes(LATER, changes);
    let chosen = select(&mut front, LATER, &[]);
    assert_eq!(
        (chosen[0].id, chosen[0].incarnation),
        (leaving.id, Incarnation(2))
    );
    // A response of the earlier incarnation that arrives now changes nothing.
    front.record_leaving(&leaving);
    assert_eq!(select(&mut front, LATER, &[]), chosen);
}

/// Guards against requests to an upstream that an earlier leader listed, and whose departure
/// the present one has acknowledged.
#[test]
fn a_departure_holds_for_entries_of_the_leader_before() {
    let mut front = Upstreams::new("a");
    let both = [announcement("one", 1), announcement("two", 1)];
    let changes = directory(&both, &mut front, 1);
    front.apply_changes(Time::ZERO, changes);
    let mut log = DepartureLog::default();
    log.record((both[0].upstream(), Incarnation(1)));
    front.apply_departures(log.since(front.departures_known()));
    // The next leader has heard of no upstream yet.
    let mut changes = directory(&[], &mut front, 2);
    changes.complete = false;
    front.apply_changes(SAID, changes);
    let other = both[1].upstream();
    assert_eq!(ids(&select(&mut front, SAID, &[])), [other]);
    assert_eq!(front.departures_known(), 1);
}
