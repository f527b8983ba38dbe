//! Use of permits by a sidecar, and the joining of two attempts' text.

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
const RUN: Incarnation = Incarnation(5);

fn permit(index: u64) -> Permit {
    Permit {
        id: PermitId {
            group: GroupId(1),
            index: LogIndex(index),
        },
        key: RequestKey(1),
        attempt: Attempt(0),
        upstream: UPSTREAM,
        incarnation: RUN,
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
fn a_permit_is_used_once_and_by_its_run_only() {
    let mut book = PermitRegistry::new(UPSTREAM, RUN);
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
        let refused = book.admit(foreign.as_ref());
        assert!(matches!(refused, Err(CallEvent::Refused(_))));
    }
    assert_eq!(book.admit(Some(&permit(1))), Ok(permit(1).id));
    // A used permit is no proof that nothing ran.
    assert!(matches!(
        book.admit(Some(&permit(1))),
        Err(CallEvent::Failed(_))
    ));
    assert_eq!(book.query(permit(1).id, RUN), (PermitStatus::Running, None));
    book.end(permit(1).id, Some(body(3)));
    assert!(matches!(
        book.admit(Some(&permit(1))),
        Err(CallEvent::Failed(_))
    ));
    assert_eq!(
        book.query(permit(1).id, RUN),
        (PermitStatus::Ended, Some(body(3)))
    );
    let other_run = book.query(permit(1).id, Incarnation(6));
    assert_eq!(other_run, (PermitStatus::Unknown, None));
}

#[test]
fn asking_first_refuses_a_late_delivery() {
    let mut book = PermitRegistry::new(UPSTREAM, RUN);
    assert_eq!(book.query(permit(9).id, RUN), (PermitStatus::Refused, None));
    assert!(matches!(
        book.admit(Some(&permit(9))),
        Err(CallEvent::Refused(_))
    ));
}

#[test]
fn kept_answers_are_bounded() {
    const MIB: usize = 1 << 20;
    let mut book = PermitRegistry::new(UPSTREAM, RUN);
    for index in 1..=6 {
        book.admit(Some(&permit(index))).expect("permit");
        book.end(permit(index).id, Some(body(MIB)));
    }
    let kept = |book: &mut PermitRegistry| {
        (1..=6)
            .filter(|index| book.query(permit(*index).id, RUN).1.is_some())
            .count()
    };
    assert_eq!(kept(&mut book), 3);
    assert!(
        book.query(permit(6).id, RUN).1.is_some(),
        "the latest is kept"
    );
    book.admit(Some(&permit(7))).expect("permit");
    book.end(permit(7).id, Some(body(9 * MIB)));
    assert_eq!(book.query(permit(7).id, RUN), (PermitStatus::Ended, None));
}

/// Does to the caller's text what a splice says.
fn take(has: &mut String, splice: TextUpdate<'_>) {
    match splice {
        TextUpdate::Unchanged => {}
        TextUpdate::Append(text) => has.push_str(text),
        TextUpdate::Restart(text) => text.clone_into(has),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever order permits come in, none runs twice, one that was told
    /// refused never runs, and the book stays bounded.
    #[test]
    fn no_permit_runs_twice(steps in prop::collection::vec((0..6_000u64, 0..4u8), 1..400), fill in any::<bool>()) {
        const BOUND: usize = 4_096;
        let mut book = PermitRegistry::new(UPSTREAM, RUN);
        let mut ran = std::collections::BTreeSet::new();
        let mut open = std::collections::BTreeSet::new();
        let mut refused = std::collections::BTreeSet::new();
        // Fills the book, so that old permits are forgotten.
        for index in (0..5_000).filter(|_| fill) {
            book.admit(Some(&permit(index))).expect("permit");
            book.refuse(permit(index).id);
            refused.insert(index);
        }
        for (index, what) in steps {
            let id = permit(index).id;
            match what {
                0 | 1 => match book.admit(Some(&permit(index))) {
                    Ok(_) => {
                        prop_assert!(ran.insert(index), "ran twice");
                        prop_assert!(!refused.contains(&index), "ran after it was refused");
                        open.insert(index);
                    }
                    Err(CallEvent::Refused(_)) => {
                        prop_assert!(!ran.contains(&index), "told refused, but ran");
                        refused.insert(index);
                    }
                    Err(_) => {}
                },
                2 => match book.query(id, RUN).0 {
                    PermitStatus::Refused => {
                        prop_assert!(!ran.contains(&index), "told refused, but ran");
                        refused.insert(index);
                    }
                    PermitStatus::Running => prop_assert!(open.contains(&index)),
                    PermitStatus::Ended => prop_assert!(ran.contains(&index) && !open.contains(&index)),
                    PermitStatus::Unknown => {}
                },
                _ if open.remove(&index) => book.end(id, None),
                _ => {}
            }
            prop_assert!(book.len() <= BOUND + open.len() + 1);
        }
    }

    /// The caller's text is always the text of one attempt, and in the end that
    /// of the attempt that ended.
    #[test]
    fn text_of_two_attempts_is_never_mixed(
        first in "[ab]{0,6}",
        second in "[ab]{0,6}",
        cut in 0..7usize,
    ) {
        let mut spliced = ResponseText::default();
        let mut has = String::new();
        for (attempt, length) in [(&first, cut.min(first.len())), (&second, second.len())] {
            spliced.next_attempt();
            for at in 0..length {
                let part = &attempt[at..=at];
                take(&mut has, spliced.accept(at as u64, part).expect("no gap"));
                prop_assert!(first.starts_with(&has) || second.starts_with(&has));
            }
        }
        prop_assert_eq!(spliced.accept(second.len() as u64 + 1, "x"), None);
        take(&mut has, spliced.end());
        prop_assert_eq!(has, second);
    }
}
