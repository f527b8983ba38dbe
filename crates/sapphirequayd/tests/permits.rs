//! Permit registry of a sidecar, and merging of the text of two attempts.

use {
    proptest::prelude::*,
    quay_ledger::PermitRegistry,
    quay_types::{
        Attempt, CallEvent, Epoch, GroupId, Incarnation, LogIndex, Permit, PermitId, PermitStatus,
        RequestKey, Tokens, UpstreamId,
    },
    sapphirequayd::{ResponseText, TextUpdate},
};

const UPSTREAM: UpstreamId = UpstreamId(1);
const INCARNATION: Incarnation = Incarnation(5);

fn permit(index: u64) -> Permit {
    Permit {
        id: PermitId {
            group: GroupId(1),
            index: LogIndex(index),
        },
        key: RequestKey(1),
        attempt: Attempt(0),
        upstream: UPSTREAM,
        incarnation: INCARNATION,
        epoch: Epoch(1),
        reserved: Tokens(1),
    }
}

fn body(bytes: usize) -> CallEvent {
    CallEvent::Body {
        status: 200,
        body: vec![0; bytes].into(),
    }
}

#[test]
fn a_permit_is_valid_once_and_for_its_incarnation_only() {
    let mut registry = PermitRegistry::new(UPSTREAM, INCARNATION);
    let foreign = [
        None,
        Some(Permit {
            incarnation: Incarnation(4),
            ..permit(1)
        }),
        Some(Permit {
            upstream: UpstreamId(2),
            ..permit(1)
        }),
    ];
    for foreign in foreign {
        let refused = registry.admit(foreign.as_ref());
        assert!(matches!(refused, Err(CallEvent::Refused(_))));
    }
    assert_eq!(registry.admit(Some(&permit(1))), Ok(permit(1).id));
    // A second use must not be `Refused`, which would claim that the call
    // did not run.
    assert!(matches!(
        registry.admit(Some(&permit(1))),
        Err(CallEvent::Failed(_))
    ));
    assert_eq!(
        registry.query(permit(1).id, INCARNATION),
        (PermitStatus::Running, None)
    );
    registry.end(permit(1).id, Some(body(3)));
    assert!(matches!(
        registry.admit(Some(&permit(1))),
        Err(CallEvent::Failed(_))
    ));
    assert_eq!(
        registry.query(permit(1).id, INCARNATION),
        (PermitStatus::Ended, Some(body(3)))
    );
    let other_incarnation = registry.query(permit(1).id, Incarnation(6));
    assert_eq!(other_incarnation, (PermitStatus::Unknown, None));
}

#[test]
fn a_query_before_arrival_refuses_the_permit() {
    let mut registry = PermitRegistry::new(UPSTREAM, INCARNATION);
    assert_eq!(
        registry.query(permit(9).id, INCARNATION),
        (PermitStatus::Refused, None)
    );
    assert!(matches!(
        registry.admit(Some(&permit(9))),
        Err(CallEvent::Refused(_))
    ));
}

#[test]
fn retained_responses_are_bounded() {
    const MIB: usize = 1 << 20;
    let mut registry = PermitRegistry::new(UPSTREAM, INCARNATION);
    for index in 1..=6 {
        registry.admit(Some(&permit(index))).expect("permit");
        registry.end(permit(index).id, Some(body(MIB)));
    }
    let retained = |registry: &mut PermitRegistry| {
        (1..=6)
            .filter(|index| registry.query(permit(*index).id, INCARNATION).1.is_some())
            .count()
    };
    assert_eq!(retained(&mut registry), 3);
    assert!(
        registry.query(permit(6).id, INCARNATION).1.is_some(),
        "the latest response is retained"
    );
    registry.admit(Some(&permit(7))).expect("permit");
    registry.end(permit(7).id, Some(body(9 * MIB)));
    assert_eq!(
        registry.query(permit(7).id, INCARNATION),
        (PermitStatus::Ended, None)
    );
}

/// Applies an update to the caller's text.
fn apply(delivered: &mut String, update: TextUpdate<'_>) {
    match update {
        TextUpdate::Unchanged => {}
        TextUpdate::Append(text) => delivered.push_str(text),
        TextUpdate::Restart(text) => text.clone_into(delivered),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// In any order of operations, no permit runs twice, a permit reported as
    /// refused never runs, and the registry stays bounded.
    #[test]
    fn no_permit_runs_twice(steps in prop::collection::vec((0..6_000u64, 0..4u8), 1..400), fill in any::<bool>()) {
        const BOUND: usize = 4_096;
        let mut registry = PermitRegistry::new(UPSTREAM, INCARNATION);
        let mut ran = std::collections::BTreeSet::new();
        let mut open = std::collections::BTreeSet::new();
        let mut refused = std::collections::BTreeSet::new();
        // Fills the registry, so that old permits are evicted.
        for index in (0..5_000).filter(|_| fill) {
            registry.admit(Some(&permit(index))).expect("permit");
            registry.refuse(permit(index).id);
            refused.insert(index);
        }
        for (index, operation) in steps {
            let id = permit(index).id;
            match operation {
                0 | 1 => match registry.admit(Some(&permit(index))) {
                    Ok(_) => {
                        prop_assert!(ran.insert(index), "ran twice");
                        prop_assert!(!refused.contains(&index), "ran after it was refused");
                        open.insert(index);
                    }
                    Err(CallEvent::Refused(_)) => {
                        prop_assert!(!ran.contains(&index), "reported as refused, but ran");
                        refused.insert(index);
                    }
                    Err(_) => {}
                },
                2 => match registry.query(id, INCARNATION).0 {
                    PermitStatus::Refused => {
                        prop_assert!(!ran.contains(&index), "reported as refused, but ran");
                        refused.insert(index);
                    }
                    PermitStatus::Running => prop_assert!(open.contains(&index)),
                    PermitStatus::Ended => prop_assert!(ran.contains(&index) && !open.contains(&index)),
                    PermitStatus::Unknown => {}
                },
                _ if open.remove(&index) => registry.end(id, None),
                _ => {}
            }
            prop_assert!(registry.len() <= BOUND + open.len() + 1);
        }
    }

    /// The caller's text is always a prefix of one attempt's text, and finally
    /// the text of the attempt that completed.
    #[test]
    fn texts_of_two_attempts_are_never_mixed(
        first in "[ab]{0,6}",
        second in "[ab]{0,6}",
        cut in 0..7usize,
    ) {
        let mut response_text = ResponseText::default();
        let mut delivered = String::new();
        for (attempt, length) in [(&first, cut.min(first.len())), (&second, second.len())] {
            response_text.next_attempt();
            for at in 0..length {
                let part = &attempt[at..=at];
                apply(&mut delivered, response_text.accept(at as u64, part).expect("no gap"));
                prop_assert!(first.starts_with(&delivered) || second.starts_with(&delivered));
            }
        }
        prop_assert_eq!(response_text.accept(second.len() as u64 + 1, "x"), None);
        apply(&mut delivered, response_text.end());
        prop_assert_eq!(delivered, second);
    }
}
