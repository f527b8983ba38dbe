//! Tests of the software versions at which streams may go on.

use {
    quay_policy::{
        Candidate, Eligibility, OriginLookup, RecordedOrigin, ReportResult, Requirements,
        ResumeFacts, ResumeRefusal, StreamOrigin, StreamServices, StreamTerms, UpstreamFilter,
        UpstreamRun, VersionRegistry, VersionRollout, VersionRolloutSettings, VersionsSeen,
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

/// Guards against events of a restarted upstream that count as those of the incarnation
/// that is listed.
#[test]
fn a_report_holds_for_connections_that_were_set_up_before_it() {
    let mut filter = UpstreamFilter::default();
    let (second, minute) = (Duration::from_secs(1), Duration::from_mins(1));
    assert!(!filter.named_runs().is_reached_by(FIRST, NOW));
    let named = filter.record_report(NOW, FIRST, NOW, Some(FIRST.1));
    assert_eq!(named, ReportResult::Named);
    assert!(filter.named_runs().is_reached_by(FIRST, NOW));
    assert!(!filter.named_runs().is_reached_by(FIRST, NOW + second));
    let next = (FIRST.0, Incarnation(2));
    assert!(!filter.named_runs().is_reached_by(next, NOW));
    // An answer that comes late says nothing of what was set up meanwhile.
    filter.record_report(NOW + second, FIRST, NOW, Some(FIRST.1));
    assert!(!filter.named_runs().is_reached_by(FIRST, NOW + second));
    filter.tick(NOW + minute);
    assert!(!filter.named_runs().is_reached_by(FIRST, NOW));
}

#[test]
fn an_upstream_that_names_another_incarnation_or_none_gets_no_stream_that_goes_on() {
    let mut filter = UpstreamFilter::default();
    let (first, later) = (candidate(FIRST, "v1"), NOW + Duration::from_secs(2));
    let unnamed = filter.record_report(NOW, FIRST, NOW, None);
    assert_eq!(unnamed, ReportResult::Unnamed);
    assert!(!filter.named_runs().may_ask(NOW, FIRST));
    assert!(filter.named_runs().may_ask(later, FIRST));
    assert_eq!(filter.known_version(NOW, first), Some(version("v1")));
    let another = filter.record_report(NOW, FIRST, NOW, Some(Incarnation(2)));
    assert_eq!(another, ReportResult::Another);
    assert_eq!(filter.known_version(NOW, first), None);
    // A connection was refused for another reason than the end of the process.
    filter.record_report(later, FIRST, later, Some(FIRST.1));
    assert_eq!(filter.known_version(later, first), Some(version("v1")));
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

/// Observation of versions of the service at a second.
fn seen(second: u64, names: &[&str]) -> VersionsSeen {
    let service = ServiceId::of(SERVICE);
    VersionsSeen {
        at: Time::ZERO + Duration::from_secs(second),
        listed: names
            .iter()
            .map(|it| (service, Some(version(it))))
            .collect(),
        whole: true,
    }
}

fn only(registry: &VersionRegistry) -> Option<SoftwareVersion> {
    registry.list().only_version(ServiceId::of(SERVICE))
}

#[test]
fn a_service_has_one_version_until_another_is_listed_and_again_a_minute_later() {
    let mut registry = VersionRegistry::default();
    registry.begin();
    assert_eq!(only(&registry), None);
    registry.record(&seen(100, &["v1"]));
    let mut other = seen(100, &["v9"]);
    other.listed[0].0 = ServiceId::of("app");
    registry.record(&other);
    assert_eq!(only(&registry), Some(version("v1")));
    registry.record(&seen(101, &["v1", "v2"]));
    assert_eq!(only(&registry), None);
    registry.record(&seen(160, &["v2"]));
    assert_eq!(only(&registry), None);
    assert!(registry.record(&seen(161, &["v2"])));
    assert_eq!(only(&registry), Some(version("v2")));
    let mut silent = seen(162, &["v2"]);
    silent.listed[0].1 = None;
    registry.record(&silent);
    assert_eq!(only(&registry), None);
}

#[test]
fn a_registry_that_began_while_streams_ran_is_complete_after_a_minute() {
    let mut registry = VersionRegistry::default();
    registry.record(&seen(100, &["v1"]));
    assert_eq!(only(&registry), None);
    registry.record(&seen(159, &["v1"]));
    assert_eq!(only(&registry), None);
    registry.record(&seen(160, &["v1"]));
    assert_eq!(only(&registry), Some(version("v1")));
}

#[test]
fn a_leader_that_has_just_started_forgets_no_version() {
    let mut registry = VersionRegistry::default();
    registry.begin();
    registry.record(&seen(100, &["v1", "v2"]));
    // Only upstreams of version 2 have announced themselves since.
    let early = VersionsSeen {
        whole: false,
        ..seen(500, &["v2"])
    };
    registry.record(&early);
    assert_eq!(only(&registry), None);
}

#[test]
fn times_are_recorded_now_and_then_and_versions_that_are_gone_at_once() {
    let mut registry = VersionRegistry::default();
    registry.begin();
    assert!(registry.needs(&seen(100, &["v1"])));
    registry.record(&seen(100, &["v1", "v2"]));
    let revision = registry.list().revision;
    assert!(!registry.needs(&seen(110, &["v1", "v2"])));
    assert!(registry.needs(&seen(120, &["v1", "v2"])));
    registry.record(&seen(120, &["v1"]));
    // Entries need not know the times.
    assert_eq!(registry.list().revision, revision);
    registry.record(&seen(140, &["v1"]));
    registry.record(&seen(159, &["v1"]));
    assert!(!registry.needs(&seen(159, &["v1"])));
    assert!(registry.needs(&seen(160, &["v1"])));
}

// ---------------------------------------------------------------------------
// Decisions

/// Facts of a stream whose attempt is not named, at a service with one version.
fn facts(recorded: RecordedOrigin) -> ResumeFacts {
    ResumeFacts {
        service: ServiceId::of(SERVICE),
        named: false,
        recorded,
        listed: None,
        only_version: Some(version("v2")),
    }
}

#[test]
fn a_record_goes_before_the_only_version() {
    let recorded = RecordedOrigin::Found(origin(1_050_000));
    assert_eq!(facts(recorded).decide(), Ok(version("v1")));
    let restarted = ResumeFacts {
        listed: Some((Incarnation(1_050_000), Some(version("v2")))),
        ..facts(recorded)
    };
    assert_eq!(restarted.decide(), Err(ResumeRefusal::Uncertain));
    let conflicting = facts(RecordedOrigin::Conflicting);
    assert_eq!(conflicting.decide(), Err(ResumeRefusal::Conflicting));
}

#[test]
fn without_a_record_only_an_unnamed_stream_goes_on_at_the_only_version() {
    for (recorded, refusal) in [
        (RecordedOrigin::Absent, ResumeRefusal::NoRecord),
        (RecordedOrigin::Undetermined, ResumeRefusal::StoresUnsure),
    ] {
        assert_eq!(facts(recorded).decide(), Ok(version("v2")));
        let several = ResumeFacts {
            only_version: None,
            ..facts(recorded)
        };
        assert_eq!(several.decide(), Err(ResumeRefusal::NotNamed));
        let named = ResumeFacts {
            named: true,
            ..facts(recorded)
        };
        assert_eq!(named.decide(), Err(refusal));
    }
}

/// Guards against a stream that is refused since one store has only the earlier record.
#[test]
fn a_record_of_a_known_version_goes_before_the_earlier_one_of_its_run() {
    let (known, unknown) = (origin(1), origin(1).with_unknown_version());
    let ask = |answers: &[StreamOrigin]| {
        let mut lookup = OriginLookup::new(2);
        for origin in answers {
            lookup.add(&[*origin]);
        }
        lookup.result()
    };
    assert_eq!(ask(&[known, unknown]), RecordedOrigin::Found(known));
    assert_eq!(ask(&[unknown, known]), RecordedOrigin::Found(known));
    assert_eq!(ask(&[unknown, unknown]), RecordedOrigin::Found(unknown));
    assert_eq!(ask(&[unknown, origin(2)]), RecordedOrigin::Conflicting);
    assert_eq!(unknown.resumable_at(unknown.service, None), None);
}

#[test]
fn stores_that_know_other_versions_of_a_content_make_its_origin_uncertain() {
    let (old, new) = (
        origin(1),
        StreamOrigin {
            version: version("v2"),
            ..origin(2)
        },
    );
    let ask = |answers: &[&[StreamOrigin]]| {
        let mut lookup = OriginLookup::new(2);
        for origins in answers {
            lookup.add(origins);
        }
        lookup.result()
    };
    assert_eq!(ask(&[&[old]]), RecordedOrigin::Undetermined);
    assert_eq!(ask(&[&[], &[]]), RecordedOrigin::Absent);
    assert_eq!(ask(&[&[old], &[]]), RecordedOrigin::Found(old));
    assert_eq!(
        ask(&[&[old], &[origin(3)]]),
        RecordedOrigin::Found(origin(3))
    );
    assert_eq!(ask(&[&[old], &[new]]), RecordedOrigin::Conflicting);
    assert_eq!(ask(&[&[old, new]]), RecordedOrigin::Conflicting);
}

// ---------------------------------------------------------------------------
// Listing of new versions

fn rollout() -> VersionRollout<u32> {
    VersionRollout::new(Time::ZERO, VersionRolloutSettings::default())
}

/// A registry that has recorded versions of the service, in this order.
fn recorded(names: &[&str]) -> VersionRegistry {
    let mut registry = VersionRegistry::default();
    registry.begin();
    for name in names {
        let listed = [(ServiceId::of(SERVICE), Some(version(name)))];
        registry.record(&VersionsSeen {
            at: NOW,
            listed: listed.into(),
            whole: false,
        });
    }
    registry
}

/// Guards against streams that begin at a new version while an entry that is out of step
/// still takes the former one for the only one (report of other operators).
#[test]
fn a_new_version_waits_until_every_entry_knows_it_or_trusts_its_list_no_longer() {
    let new = (ServiceId::of(SERVICE), Some(version("v2")));
    let (before, after) = (recorded(&["v1"]), recorded(&["v1", "v2"]));
    let mut rollout = rollout();
    for entry in [1, 2] {
        rollout.record_poll(NOW, entry, before.list().revision);
    }
    assert!(!rollout.may_list(NOW, new, before.list()), "not recorded");
    assert!(!rollout.may_list(NOW, new, after.list()));
    rollout.record_poll(NOW, 1, after.list().revision);
    assert!(
        !rollout.may_list(NOW, new, after.list()),
        "entry 2 lacks it"
    );
    let lease = VersionRolloutSettings::default().lease;
    let soon = NOW + lease - Duration::from_millis(1);
    assert!(!rollout.may_list(soon, new, after.list()));
    assert!(rollout.may_list(NOW + lease, new, after.list()));
    // Once released it stays so, whatever other versions are recorded.
    let more = recorded(&["v1", "v2", "v3"]);
    rollout.record_poll(NOW + lease, 2, before.list().revision);
    assert!(rollout.may_list(NOW + lease, new, more.list()));
    // A version that was forgotten meanwhile waits again.
    assert!(!rollout.may_list(NOW + lease, new, before.list()));
    assert!(!rollout.may_list(NOW + lease, new, after.list()));
}

#[test]
fn the_only_version_and_entries_without_a_list_wait_for_nobody() {
    let mut rollout = rollout();
    let first = (ServiceId::of(SERVICE), Some(version("v1")));
    rollout.record_poll(Time::ZERO, 1, 0);
    assert!(rollout.may_list(Time::ZERO, first, recorded(&["v1"]).list()));
    let new = (ServiceId::of(SERVICE), Some(version("v2")));
    rollout.record_poll(NOW, 1, 0);
    assert!(rollout.may_list(NOW, new, recorded(&["v1", "v2"]).list()));
}

#[test]
fn a_new_leader_waits_for_entries_that_an_earlier_leader_confirmed() {
    let cfg = VersionRolloutSettings::default();
    let mut rollout: VersionRollout<u32> = VersionRollout::new(NOW, cfg);
    let new = (ServiceId::of(SERVICE), Some(version("v2")));
    let list = recorded(&["v1", "v2"]);
    assert!(!rollout.may_list(NOW, new, list.list()));
    assert!(rollout.may_list(NOW + cfg.takeover, new, list.list()));
}

// ---------------------------------------------------------------------------
// Terms of a stream

/// Guards against a stored turn that lacks the events before a break.
#[test]
fn a_stream_that_is_stored_as_a_turn_is_begun_anew() {
    for resumable in [false, true] {
        let terms = StreamTerms {
            resumable,
            stored: true,
        };
        assert_eq!(terms.check_take_up(), Err(ResumeRefusal::StoredTurn));
        assert!(!terms.can_go_on());
    }
    let terms = StreamTerms {
        resumable: true,
        stored: false,
    };
    assert_eq!(terms.check_take_up(), Ok(()));
    assert!(terms.can_go_on());
}

/// Guards against a second run of a request that may run at most once.
#[test]
fn a_stream_of_a_route_that_is_not_resumable_is_begun_anew() {
    let terms = StreamTerms::default();
    assert_eq!(terms.check_take_up(), Err(ResumeRefusal::RunsOnce));
    assert!(!terms.can_go_on());
}

/// Guards against a stream that goes on at a service that did not begin it.
#[test]
fn the_record_of_a_stream_decides_at_which_service_it_goes_on() {
    let (drawn, other) = (ServiceId::of(SERVICE), ServiceId::of("other"));
    let at = |service| {
        RecordedOrigin::Found(StreamOrigin {
            run: FIRST,
            service,
            version: version("v1"),
            sent: NOW,
        })
    };
    let services = |targets: &[ServiceId], moved| StreamServices {
        drawn,
        targets: targets.into(),
        moved,
    };
    let split = services(&[drawn, other], false);
    assert_eq!(split.service(&at(other)), other);
    assert_eq!(split.service(&RecordedOrigin::Absent), drawn);
    assert!(!split.is_only_one());
    let single = services(&[drawn], false);
    assert_eq!(single.service(&at(other)), drawn);
    assert!(single.is_only_one());
    assert!(!services(&[drawn], true).is_only_one());
}

/// Guards against a stream that goes on by the record of one account although it began at
/// another version without.
#[test]
fn records_from_both_sides_of_a_change_of_accounts_must_agree() {
    let at = |name: &str| {
        RecordedOrigin::Found(StreamOrigin {
            run: FIRST,
            service: ServiceId::of(SERVICE),
            version: version(name),
            sent: NOW,
        })
    };
    let (absent, unsure) = (RecordedOrigin::Absent, RecordedOrigin::Undetermined);
    assert_eq!(at("v1").merge(absent), at("v1"));
    assert_eq!(absent.merge(at("v1")), at("v1"));
    assert_eq!(at("v1").merge(at("v1")), at("v1"));
    assert_eq!(absent.merge(absent), absent);
    assert_eq!(at("v1").merge(unsure), unsure);
    assert_eq!(unsure.merge(absent), unsure);
    let other_run = match at("v2") {
        RecordedOrigin::Found(origin) => RecordedOrigin::Found(StreamOrigin {
            run: (UpstreamId(2), Incarnation(1)),
            ..origin
        }),
        other => other,
    };
    assert_eq!(at("v1").merge(other_run), RecordedOrigin::Conflicting);
}
