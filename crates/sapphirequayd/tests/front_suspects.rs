//! What a front knows of suspects while it is told late or is cut off from the
//! control group.

use {
    quay_policy::{SuspectCommand, SuspectEvent, SuspectRegistry, SuspectSettings},
    quay_types::{ContentDigest, Incarnation, Time, UpstreamId},
    sapphirequayd::{FrontSuspects, SuspectList},
};

const NOW: Time = Time::from_millis(1_000);

fn content() -> ContentDigest {
    ContentDigest::of(&[b"deadly"])
}

fn lost(upstream: u64) -> SuspectEvent {
    SuspectEvent::RunsLost {
        upstream: UpstreamId(upstream),
        incarnation: Incarnation(1),
        runs: [content()].into(),
    }
}

/// The control group's list after crashes of the given upstreams.
fn list(version: u64, upstreams: &[u64]) -> SuspectList {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    let events = upstreams.iter().map(|upstream| lost(*upstream)).collect();
    suspects.apply(&SuspectCommand::Observed { at: NOW, events });
    SuspectList {
        version,
        suspects: suspects.listed(),
    }
}

#[test]
fn a_front_that_is_cut_off_counts_the_crashes_that_it_sees() {
    let mut front = FrontSuspects::default();
    for upstream in 1..=3 {
        assert!(!front.is_quarantined(NOW, content()));
        assert!(front.record(NOW, lost(upstream)));
    }
    assert!(front.is_quarantined(NOW, content()));
    // An earlier list does not undo what the group has not acknowledged.
    front.set_list(NOW, list(1, &[1]));
    assert!(front.is_quarantined(NOW, content()));
}

#[test]
fn a_crash_is_reported_until_it_is_acknowledged() {
    let mut front = FrontSuspects::default();
    assert_eq!(front.next_report(), None);
    front.record(NOW, lost(1));
    let report = front.next_report().expect("a report");
    assert_eq!(front.next_report(), Some(report.clone()));
    front.record(NOW, lost(2));
    front.acknowledge(report.len());
    assert_eq!(front.next_report().as_deref(), Some(&[lost(2)][..]));
}

#[test]
fn crashes_at_several_fronts_add_up() {
    let mut front = FrontSuspects::default();
    front.set_list(NOW, list(1, &[1, 2]));
    assert!(front.is_suspect(content()));
    assert!(!front.is_quarantined(NOW, content()));
    // The front reports a crash that another one has reported.
    front.record(NOW, lost(2));
    assert!(!front.is_quarantined(NOW, content()));
    front.record(NOW, lost(3));
    assert!(front.is_quarantined(NOW, content()));
}

#[test]
fn a_completed_run_ends_a_quarantine_at_once() {
    let mut front = FrontSuspects::default();
    front.set_list(NOW, list(1, &[1, 2, 3]));
    assert!(front.is_quarantined(NOW, content()));
    front.record(NOW, SuspectEvent::Completed(content()));
    assert!(!front.is_quarantined(NOW, content()));
    front.set_list(NOW, list(2, &[1, 2, 3]));
    assert!(!front.is_quarantined(NOW, content()));
}
