//! Tests of the software versions at which streams may go on.

use {
    quay_policy::{
        Candidate, Eligibility, Requirements, ServiceVersions, StreamOrigin, UpstreamFilter,
        UpstreamRun,
    },
    quay_types::{Incarnation, RequestRate, ServiceId, SoftwareVersion, Time, UpstreamId},
    std::time::Duration,
};

const NOW: Time = Time::from_millis(10_000);
const SERVICE: &str = "llm";
const FIRST: UpstreamRun = (UpstreamId(1), Incarnation(1));

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of(name)
}

fn candidate(run: UpstreamRun, name: &str) -> Candidate {
    Candidate {
        run,
        version: Some(version(name)),
    }
}

/// Requirements of a stream that goes on at a version.
fn at(name: &str) -> Requirements<'static> {
    Requirements {
        version: Some(version(name)),
        ..Requirements::default()
    }
}

// ---------------------------------------------------------------------------
// Filter

#[test]
fn a_stream_that_goes_on_needs_an_upstream_of_its_version() {
    let mut filter = UpstreamFilter::default();
    let old = candidate(FIRST, "v1");
    assert_eq!(filter.judge(NOW, old, &at("v1")), Eligibility::Eligible);
    assert_eq!(filter.judge(NOW, old, &at("v2")), Eligibility::Excluded);
    assert_eq!(
        filter.judge(NOW, old, &Requirements::default()),
        Eligibility::Eligible
    );
    let silent = Candidate {
        version: None,
        ..old
    };
    assert_eq!(filter.judge(NOW, silent, &at("v1")), Eligibility::Excluded);
}

#[test]
fn a_suspended_or_limited_upstream_of_another_version_stays_excluded() {
    let mut filter = UpstreamFilter::default();
    let old = candidate(FIRST, "v1");
    filter.suspend(NOW, FIRST);
    assert_eq!(filter.judge(NOW, old, &at("v1")), Eligibility::Suspended);
    assert_eq!(filter.judge(NOW, old, &at("v2")), Eligibility::Excluded);
    let limit = RequestRate::from_per_second(2.0);
    filter.limits().record_response(NOW, FIRST, NOW, limit);
    assert_eq!(filter.judge(NOW, old, &at("v1")), Eligibility::NoPermit);
    assert_eq!(filter.judge(NOW, old, &at("v2")), Eligibility::Excluded);
}

#[test]
fn a_suspension_ends_by_time_and_with_the_incarnation() {
    let mut filter = UpstreamFilter::default();
    filter.suspend(NOW, FIRST);
    let next = candidate((FIRST.0, Incarnation(2)), "v1");
    assert_eq!(filter.judge(NOW, next, &at("v1")), Eligibility::Eligible);
    let later = NOW + Duration::from_secs(1);
    let first = candidate(FIRST, "v1");
    assert_eq!(filter.judge(later, first, &at("v1")), Eligibility::Eligible);
}

#[test]
fn the_version_of_an_upstream_that_has_ended_is_unknown_until_it_is_announced_again() {
    let mut filter = UpstreamFilter::default();
    filter.record_ended(NOW, FIRST);
    let ended = candidate(FIRST, "v1");
    assert_eq!(filter.known_version(NOW, ended), None);
    assert_eq!(filter.judge(NOW, ended, &at("v1")), Eligibility::Excluded);
    // A stream that begins may still try whatever answers there.
    assert_eq!(
        filter.judge(NOW, ended, &Requirements::default()),
        Eligibility::Eligible
    );
    let next = candidate((FIRST.0, Incarnation(2)), "v1");
    assert_eq!(filter.judge(NOW, next, &at("v1")), Eligibility::Eligible);
}

#[test]
fn tried_and_leaving_upstreams_are_excluded() {
    let mut filter = UpstreamFilter::default();
    let first = candidate(FIRST, "v1");
    let tried = Requirements {
        tried: &[FIRST.0],
        ..at("v1")
    };
    assert_eq!(filter.judge(NOW, first, &tried), Eligibility::Excluded);
    assert!(filter.record_leaving(FIRST));
    assert!(!filter.record_leaving(FIRST));
    assert!(!filter.serves(NOW, first, &at("v1")));
}

#[test]
fn an_upstream_that_once_refused_a_connection_gets_streams_of_its_version_again() {
    let mut filter = UpstreamFilter::default();
    filter.record_ended(NOW, FIRST);
    let first = candidate(FIRST, "v1");
    let soon = NOW + Duration::from_secs(5);
    assert_eq!(filter.judge(soon, first, &at("v1")), Eligibility::Excluded);
    // Another incarnation would have been announced by now.
    let later = NOW + Duration::from_secs(15);
    assert_eq!(filter.judge(later, first, &at("v1")), Eligibility::Eligible);
    assert_eq!(filter.known_version(later, first), Some(version("v1")));
}

/// Guards against streams at the version of a process that has ended, while the
/// heartbeat of its successor is late.
#[test]
fn the_version_stays_unknown_while_a_successor_may_still_be_announced() {
    let mut filter = UpstreamFilter::default();
    filter.record_ended(NOW, FIRST);
    let first = candidate(FIRST, "v1");
    for late in [4, 10, 12] {
        let now = NOW + Duration::from_secs(late);
        filter.tick(now);
        assert_eq!(filter.known_version(now, first), None, "after {late} s");
    }
}

// ---------------------------------------------------------------------------
// Origins

/// Origin at an incarnation that started at 1,000 s, with the time of the request.
fn origin(sent_ms: u64) -> StreamOrigin {
    StreamOrigin {
        run: (UpstreamId(1), Incarnation(1_000_000)),
        service: ServiceId::of(SERVICE),
        version: version("v1"),
        sent: Time::from_millis(sent_ms),
    }
}

#[test]
fn a_stream_goes_on_at_the_version_of_its_incarnation() {
    let origin = origin(1_050_000);
    let own = Some(version("v1"));
    assert_eq!(origin.resumable_at(ServiceId::of(SERVICE), None), own);
    let same = (Incarnation(1_000_000), own);
    assert_eq!(origin.resumable_at(ServiceId::of(SERVICE), Some(same)), own);
    // A reader that was told late lists the incarnation before.
    let earlier = (Incarnation(900_000), Some(version("v0")));
    assert_eq!(
        origin.resumable_at(ServiceId::of(SERVICE), Some(earlier)),
        own
    );
}

#[test]
fn a_stream_does_not_go_on_at_another_service() {
    let other = ServiceId::of("other");
    assert_eq!(origin(1_050_000).resumable_at(other, None), None);
}

#[test]
fn a_stream_that_may_have_begun_after_a_restart_at_another_version_goes_on_nowhere() {
    let own = Some(version("v1"));
    let restarted = |name| Some((Incarnation(1_060_000), Some(version(name))));
    for sent in [1_059_000, 1_060_000, 1_061_000] {
        assert_eq!(
            origin(sent).resumable_at(ServiceId::of(SERVICE), restarted("v2")),
            None
        );
        assert_eq!(
            origin(sent).resumable_at(ServiceId::of(SERVICE), restarted("v1")),
            own
        );
    }
    assert_eq!(
        origin(1_050_000).resumable_at(ServiceId::of(SERVICE), restarted("v2")),
        own
    );
}

// ---------------------------------------------------------------------------
// Versions of a service

#[test]
fn a_service_has_one_version_until_another_is_listed_and_again_a_minute_later() {
    let mut versions = ServiceVersions::default();
    let (service, other) = (ServiceId::of("llm"), ServiceId::of("app"));
    let at = |seconds| Time::ZERO + Duration::from_secs(seconds);
    assert_eq!(versions.only_version(at(0), service), None);
    versions.record(at(0), service, Some(version("v1")));
    versions.record(at(0), other, Some(version("v9")));
    assert_eq!(versions.only_version(at(0), service), Some(version("v1")));
    versions.record(at(1), service, Some(version("v2")));
    assert_eq!(versions.only_version(at(1), service), None);
    versions.record(at(59), service, Some(version("v2")));
    assert_eq!(versions.only_version(at(59), service), None);
    versions.tick(at(61));
    assert_eq!(versions.only_version(at(61), service), Some(version("v2")));
    versions.record(at(62), service, None);
    assert_eq!(versions.only_version(at(62), service), None);
}
