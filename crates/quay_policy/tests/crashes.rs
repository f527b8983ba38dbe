//! Tests of the detection of upstreams whose process has ended.

use {
    quay_policy::{
        CheckResult, CrashDetector, RunEnd, SuspectCommand, SuspectEvent, SuspectRegistry,
        SuspectSettings, UpstreamRun,
    },
    quay_types::{ContentDigest, Incarnation, Time, UpstreamId},
};

const FIRST: UpstreamRun = (UpstreamId(1), Incarnation(5));
const SECOND: UpstreamRun = (UpstreamId(2), Incarnation(5));

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn digest(number: u8) -> ContentDigest {
    ContentDigest::of(&[&[number]])
}

/// Runs that the detector attributes to crashes, by upstream.
fn lost(detector: &mut CrashDetector) -> Vec<(UpstreamId, Vec<ContentDigest>)> {
    let events = detector.take_events().into_iter();
    let lost = events.filter_map(|event| match event {
        SuspectEvent::RunsLost { upstream, runs, .. } => Some((upstream, runs.to_vec())),
        SuspectEvent::Completed(_) => None,
    });
    lost.collect()
}

/// A detector with requests 1 and 2 at the first upstream and 3 at the second.
fn detector() -> CrashDetector {
    let mut detector = CrashDetector::default();
    detector.begin(at(0), FIRST, digest(1));
    detector.begin(at(0), FIRST, digest(2));
    detector.begin(at(0), SECOND, digest(3));
    detector
}

#[test]
fn a_lost_run_leads_to_one_check_and_a_refused_connection_to_a_crash() {
    let mut detector = detector();
    assert_eq!(detector.due_checks(at(100)), []);
    detector.end(at(100), FIRST, digest(1), RunEnd::Lost);
    assert_eq!(detector.due_checks(at(100)), [FIRST]);
    assert_eq!(detector.due_checks(at(110)), []);
    detector.record_check(at(150), FIRST, CheckResult::Refused);
    // Requests that still wait for an answer are lost with it.
    assert_eq!(lost(&mut detector), [(FIRST.0, vec![digest(1), digest(2)])]);
    // So are those whose loss is seen later.
    detector.begin(at(160), FIRST, digest(4));
    detector.end(at(170), FIRST, digest(4), RunEnd::Lost);
    let late = lost(&mut detector);
    assert!(late[0].1.contains(&digest(4)), "{late:?}");
}

/// Guards against a request that is sent on while it is open what it has crashed.
#[test]
fn a_lost_run_is_undecided_until_its_upstream_is_checked() {
    let mut detector = detector();
    detector.begin(at(0), SECOND, digest(1));
    assert_eq!(detector.undecided(digest(1)), 0);
    detector.end(at(100), FIRST, digest(1), RunEnd::Lost);
    detector.end(at(100), SECOND, digest(1), RunEnd::Lost);
    assert_eq!(detector.undecided(digest(1)), 2);
    assert_eq!(detector.undecided(digest(3)), 0);
    assert_eq!(detector.due_checks(at(100)), [FIRST, SECOND]);
    assert_eq!(detector.undecided(digest(1)), 2);
    detector.record_check(at(150), FIRST, CheckResult::Refused);
    detector.record_check(at(150), SECOND, CheckResult::Reachable);
    assert_eq!(detector.undecided(digest(1)), 0);

    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    let events = detector.take_events().into();
    suspects.apply(&SuspectCommand::Observed {
        at: at(150),
        events,
    });
    let may_be = |more| suspects.may_be_quarantined_with(digest(1), more);
    assert_eq!([0, 1, 2].map(may_be), [false, false, true]);
}

/// A detector whose first upstream lost requests 1 and 2 and accepts connections.
fn detector_with_losses() -> CrashDetector {
    let mut detector = detector();
    for number in [1, 2] {
        detector.end(at(100), FIRST, digest(number), RunEnd::Lost);
        assert_eq!(detector.due_checks(at(100)), [FIRST]);
        detector.record_check(at(150), FIRST, CheckResult::Reachable);
    }
    detector
}

/// Guards against a crash that is cleared because its successor is announced late.
#[test]
fn a_successor_that_is_announced_seconds_late_is_evidence_of_a_crash() {
    for late in [4_000, 7_000, 10_000] {
        let mut detector = detector_with_losses();
        for ms in (300..late).step_by(300) {
            detector.tick(at(ms));
        }
        detector.record_ended(at(late), FIRST);
        let runs = vec![digest(1), digest(2)];
        assert_eq!(lost(&mut detector), [(FIRST.0, runs)], "{late} ms late");
    }
}

/// Guards against strikes for requests whose upstream lived on after the loss.
#[test]
fn an_upstream_that_answers_on_a_connection_from_before_the_loss_has_not_crashed() {
    let mut detector = detector_with_losses();
    detector.record_answer(FIRST, at(50), at(200));
    detector.record_ended(at(4_000), FIRST);
    assert_eq!(lost(&mut detector), []);
}

/// Guards against taking a successor's answer, or one on its way, for a sign of life.
#[test]
fn an_answer_on_a_new_connection_or_to_an_earlier_request_is_no_sign_of_life() {
    let runs = vec![digest(1), digest(2)];
    for (connected, sent) in [(150, 200), (50, 90)] {
        let mut detector = detector_with_losses();
        detector.record_answer(FIRST, at(connected), at(sent));
        detector.record_ended(at(4_000), FIRST);
        assert_eq!(lost(&mut detector), [(FIRST.0, runs.clone())]);
    }
}

/// Guards against strikes for losses long before the end of the upstream, and against
/// cases that are kept without end.
#[test]
fn a_loss_is_not_attributed_to_a_crash_after_the_latest_announcement_of_a_successor() {
    let mut detector = detector_with_losses();
    detector.tick(at(20_000));
    detector.record_ended(at(20_000), FIRST);
    assert_eq!(lost(&mut detector), []);
}

#[test]
fn a_restart_at_the_same_address_is_seen_by_the_next_incarnation() {
    let mut detector = detector();
    detector.end(at(100), FIRST, digest(1), RunEnd::Lost);
    detector.end(at(100), FIRST, digest(2), RunEnd::Lost);
    assert_eq!(detector.due_checks(at(100)), [FIRST]);
    detector.record_check(at(150), FIRST, CheckResult::Reachable);
    detector.tick(at(1_500));
    detector.record_ended(at(1_500), FIRST);
    assert_eq!(lost(&mut detector), [(FIRST.0, vec![digest(1), digest(2)])]);
}

#[test]
fn a_silent_upstream_is_checked_and_a_check_without_an_answer_is_a_crash() {
    let mut detector = detector();
    detector.hear(at(900), SECOND);
    assert_eq!(detector.due_checks(at(1_100)), [FIRST]);
    detector.record_check(at(1_500), FIRST, CheckResult::TimedOut);
    assert_eq!(lost(&mut detector), [(FIRST.0, vec![digest(1), digest(2)])]);
}

#[test]
fn a_caller_that_leaves_a_silent_upstream_leads_to_a_check() {
    let mut detector = detector();
    detector.hear(at(90), SECOND);
    detector.end(at(100), SECOND, digest(3), RunEnd::Abandoned);
    assert_eq!(detector.due_checks(at(100)), []);
    detector.end(at(100), FIRST, digest(1), RunEnd::Abandoned);
    detector.end(at(100), FIRST, digest(2), RunEnd::Abandoned);
    assert_eq!(detector.due_checks(at(100)), [FIRST]);
}

#[test]
fn an_upstream_that_answers_during_a_check_without_an_answer_has_not_crashed() {
    let mut detector = detector();
    detector.end(at(100), FIRST, digest(1), RunEnd::Lost);
    assert_eq!(detector.due_checks(at(100)), [FIRST]);
    detector.hear(at(200), FIRST);
    detector.record_check(at(500), FIRST, CheckResult::TimedOut);
    assert_eq!(lost(&mut detector), []);
}

#[test]
fn a_pause_of_the_host_during_a_check_does_not_hide_the_crash() {
    let mut detector = detector();
    detector.end(at(100), FIRST, digest(1), RunEnd::Lost);
    detector.end(at(100), FIRST, digest(2), RunEnd::Lost);
    assert_eq!(detector.due_checks(at(100)), [FIRST]);
    detector.tick(at(20_000));
    detector.record_check(at(20_000), FIRST, CheckResult::Refused);
    assert_eq!(lost(&mut detector), [(FIRST.0, vec![digest(1), digest(2)])]);
}

#[test]
fn a_failure_of_the_front_itself_is_no_evidence() {
    let mut detector = detector();
    detector.end(at(100), FIRST, digest(1), RunEnd::Lost);
    assert_eq!(detector.due_checks(at(100)), [FIRST]);
    detector.record_check(at(500), FIRST, CheckResult::Unknown);
    assert_eq!(lost(&mut detector), []);
}

#[test]
fn an_upstream_that_is_heard_again_after_a_false_alarm_is_checked_anew() {
    let mut detector = detector();
    detector.end(at(100), FIRST, digest(1), RunEnd::Lost);
    assert_eq!(detector.due_checks(at(100)), [FIRST]);
    detector.record_check(at(500), FIRST, CheckResult::TimedOut);
    assert_eq!(lost(&mut detector).len(), 1);
    detector.hear(at(600), FIRST);
    detector.end(at(700), FIRST, digest(2), RunEnd::Lost);
    assert_eq!(lost(&mut detector), []);
    assert_eq!(detector.due_checks(at(700)), [FIRST]);
}
