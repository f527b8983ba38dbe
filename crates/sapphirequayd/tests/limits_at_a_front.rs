//! Upstreams that name a limit, as one front selects among them.

#[path = "common/front_view.rs"]
mod front_view;

use {
    front_view::{POOL, announcement, directory, select},
    quay_policy::{LimitAllocator, PermitRequest},
    quay_types::{Incarnation, RequestRate, Time, UpstreamId},
    sapphirequayd::{SelectedUpstream, Upstreams},
};

/// Time of the response that names the limit, and a later one.
const NAMED: Time = Time::from_millis(1_000);
const LATER: Time = Time::from_millis(60_000);

const LIMIT: Option<RequestRate> = Some(RequestRate(2_000));

fn ids(chosen: &[SelectedUpstream]) -> Vec<UpstreamId> {
    chosen.iter().map(|it| it.id).collect()
}

/// A front with two upstreams that both run conversations, of which one has named
/// a limit. Returns the front, that upstream and the other one.
fn front_with_a_limited_upstream() -> (Upstreams, SelectedUpstream, UpstreamId) {
    let mut front = Upstreams::new("a");
    let both = [announcement("one", 1), announcement("two", 1)];
    let changes = directory(&both, &mut front, 1);
    front.apply_changes(Time::ZERO, changes);
    let chosen = select(&mut front, NAMED, &[]);
    let [limited, other] = &*chosen else {
        panic!("{chosen:?}");
    };
    front.record_limit(NAMED, limited, Time::ZERO, LIMIT);
    (front, limited.clone(), other.id)
}

#[test]
fn conversations_and_retries_need_a_permit() {
    let (mut front, _, other) = front_with_a_limited_upstream();
    assert_eq!(ids(&select(&mut front, LATER, &[])), [other]);
    assert_eq!(select(&mut front, LATER, &[other]), []);
}

#[test]
fn a_suspended_upstream_is_preferred_to_a_limited_one_without_a_permit() {
    let (mut front, _, other) = front_with_a_limited_upstream();
    front.suspend(LATER, (other, Incarnation(1)));
    assert_eq!(ids(&select(&mut front, LATER, &[])), [other]);
}

#[test]
fn each_permit_allows_one_request() {
    let (mut front, limited, other) = front_with_a_limited_upstream();
    let mut allocator = LimitAllocator::default();
    assert_eq!(front.limits().next_request(LATER, 7, false), None);
    assert_eq!(ids(&select(&mut front, LATER, &[])), [other]);
    let req = front
        .limits()
        .next_request(LATER, 7, false)
        .expect("a request");
    allocator.grant(NAMED, &req);
    let grant = allocator.grant(LATER, &req);
    // Half of what has accumulated is kept for bound requests.
    assert_eq!(*grant.permits, [1]);
    front.limits().accept(LATER, LATER, &req, &grant);
    let mut selected = || {
        let head = front_view::turn(1);
        let chosen = front.select(LATER, &POOL, &head, &[other], 1);
        usize::from(chosen.is_some_and(|it| it.id == limited.id))
    };
    assert_eq!((0..10).map(|_| selected()).sum::<usize>(), 1);
    let bound = PermitRequest { bound: true, ..req };
    let grant = allocator.grant(LATER, &bound);
    assert_eq!(*grant.permits, [1]);
    front.limits().accept(LATER, LATER, &bound, &grant);
    assert_eq!(select(&mut front, LATER, &[other]), []);
    assert!(front.limits().may_send(LATER, limited.run(), true));
    assert!(!front.limits().may_send(LATER, limited.run(), false));
}

#[test]
fn a_limit_outlasts_a_gap_in_the_directory_and_ends_with_the_incarnation() {
    let (mut front, limited, _) = front_with_a_limited_upstream();
    let changes = directory(&[], &mut front, 2);
    front.apply_changes(LATER, changes);
    let changes = directory(&[announcement(&limited.name, 1)], &mut front, 3);
    front.apply_changes(LATER, changes);
    assert_eq!(select(&mut front, LATER, &[]), []);
    let changes = directory(&[announcement(&limited.name, 2)], &mut front, 4);
    front.apply_changes(LATER, changes);
    let chosen = select(&mut front, LATER, &[]);
    assert_eq!(
        (chosen[0].id, chosen[0].incarnation),
        (limited.id, Incarnation(2))
    );
    // A response of the earlier incarnation that arrives now changes nothing.
    front.record_limit(LATER, &limited, NAMED, LIMIT);
    assert_eq!(select(&mut front, LATER, &[]), chosen);
}

#[test]
fn a_response_without_the_limit_ends_it() {
    let (mut front, limited, other) = front_with_a_limited_upstream();
    front.record_limit(LATER, &limited, Time::ZERO, None);
    assert_eq!(ids(&select(&mut front, LATER, &[])), [other]);
    front.record_limit(LATER, &limited, Time::from_millis(2_000), None);
    assert_eq!(select(&mut front, LATER, &[]).len(), 2);
}

#[test]
fn a_refused_caller_returns_by_the_limit() {
    let (mut front, limited, other) = front_with_a_limited_upstream();
    assert!(front.is_limited(LATER, &POOL));
    let delay = front.return_delay(LATER, &POOL).expect("limited");
    assert_eq!(delay.as_millis(), 500);
    front.record_limit(LATER, &limited, Time::from_millis(2_000), None);
    assert_eq!(front.return_delay(LATER, &POOL), None);
    assert_eq!(select(&mut front, LATER, &[other]).len(), 1);
}
