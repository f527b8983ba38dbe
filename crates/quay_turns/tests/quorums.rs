//! Guarantees of quorum decisions for any combination of replies.

use {
    proptest::prelude::*,
    quay_turns::{
        Charge, ChargeSet, ChargeStatus, ChargeTally, ChargeVerdict, LookupTally, LookupVerdict,
        StoreMember, StoreView, WriteTally, WriteVerdict,
    },
    quay_types::{AttemptTag, Tokens},
};

fn view(members: u64) -> StoreView {
    let member = |identity| StoreMember {
        host: format!("store-{identity}").into(),
        identity,
        whole: true,
        ..StoreMember::default()
    };
    StoreView {
        epoch: 1,
        members: (1..=members).map(member).collect(),
    }
}

fn reserved(attempt: u64, tokens: u64) -> Charge {
    Charge {
        attempt: AttemptTag(attempt),
        standing: ChargeStatus::Reserved,
        tokens: Tokens(tokens),
    }
}

#[test]
fn a_write_is_durable_with_a_majority() {
    let mut tally = WriteTally::new(&view(3));
    tally.synced(1);
    tally.failed(2);
    assert_eq!(tally.verdict(), WriteVerdict::Pending);
    tally.synced(3);
    assert_eq!(tally.verdict(), WriteVerdict::Durable);
}

#[test]
fn a_write_fails_once_a_majority_is_unreachable() {
    let mut tally = WriteTally::new(&view(3));
    tally.failed(1);
    tally.failed(2);
    assert_eq!(tally.verdict(), WriteVerdict::Failed);
    assert_eq!(
        WriteTally::new(&StoreView::default()).verdict(),
        WriteVerdict::Failed
    );
}

#[test]
fn a_turn_is_absent_only_if_a_read_quorum_of_whole_members_lacks_it() {
    let mut view = view(3);
    view.members[2].whole = false;
    let mut tally = LookupTally::new(&view);
    tally.not_found(1);
    tally.not_found(3);
    tally.failed(2);
    assert_eq!(tally.verdict(), LookupVerdict::Undetermined);
    let mut tally = LookupTally::new(&view);
    tally.not_found(1);
    tally.not_found(2);
    tally.failed(3);
    assert_eq!(tally.verdict(), LookupVerdict::Absent);
}

#[test]
fn a_reservation_needs_whole_members_to_be_covered() {
    let mut view = view(3);
    view.members[2].whole = false;
    let mut tally = ChargeTally::new(&view, reserved(1, 10), Tokens(100));
    tally.synced(1, [], false);
    tally.synced(3, [], false);
    assert_eq!(tally.verdict(), ChargeVerdict::Pending);
    tally.failed(2);
    assert_eq!(tally.verdict(), ChargeVerdict::Undetermined);
}

/// Guards against refused turns of all programs while a store copies large turns, after
/// another one was lost (review, case 3).
#[test]
fn a_joining_member_that_holds_all_charges_counts_for_reservations() {
    let mut view = view(3);
    view.members[0].whole = false;
    view.members[1].whole = false;
    let mut tally = ChargeTally::new(&view, reserved(1, 10), Tokens(100));
    tally.synced(1, [reserved(2, 30)], true);
    assert_eq!(tally.verdict(), ChargeVerdict::Pending);
    tally.synced(3, [], false);
    let others = Tokens(30);
    assert_eq!(tally.verdict(), ChargeVerdict::Covered { others });
    // Without all charges it might not know of one that was acknowledged.
    let mut tally = ChargeTally::new(&view, reserved(1, 10), Tokens(100));
    tally.synced(1, [], false);
    tally.synced(3, [], false);
    assert_eq!(tally.verdict(), ChargeVerdict::Pending);
    tally.synced(2, [], false);
    assert_eq!(tally.verdict(), ChargeVerdict::Undetermined);
}

#[test]
fn a_settled_charge_replaces_a_reserved_one_in_any_order() {
    let settled = Charge {
        standing: ChargeStatus::Settled,
        tokens: Tokens(3),
        ..reserved(1, 10)
    };
    for order in [[reserved(1, 10), settled], [settled, reserved(1, 10)]] {
        let mut book = ChargeSet::default();
        for charge in order {
            book.merge(charge);
        }
        assert_eq!(book.total_excluding(AttemptTag(2)), Tokens(3));
    }
}

#[test]
fn an_exceeded_budget_is_refused_with_the_charges_of_other_attempts() {
    let mut tally = ChargeTally::new(&view(3), reserved(1, 10), Tokens(100));
    tally.synced(1, [reserved(2, 91)], false);
    assert_eq!(tally.verdict(), ChargeVerdict::Pending);
    tally.synced(2, [], false);
    let others = Tokens(91);
    assert_eq!(tally.verdict(), ChargeVerdict::Spent { others });
}

/// Delivery of one attempt's reservation to one of three stores.
#[derive(Debug, Clone)]
struct Step {
    attempt: usize,
    store: usize,
}

proptest! {
    /// In whatever order the stores receive reservations, the covered ones
    /// exceed the budget by at most the reservation of one turn.
    #[test]
    fn covered_reservations_stay_within_the_budget_and_one_turn(
        steps in proptest::collection::vec((0..6usize, 0..3usize), 1..60),
        budget in 0..60u64,
    ) {
        const MAX_TOKENS: u64 = 10;
        let view = view(3);
        let mut stores = vec![ChargeSet::default(); 3];
        let own = |attempt: usize| reserved(attempt as u64 + 1, MAX_TOKENS);
        let mut tallies: Vec<_> =
            (0..6).map(|it| ChargeTally::new(&view, own(it), Tokens(budget))).collect();
        let mut covered = [false; 6];
        for (attempt, store) in steps {
            let step = Step { attempt, store };
            if covered[step.attempt] {
                continue;
            }
            stores[step.store].merge(own(step.attempt));
            let held: Vec<_> = stores[step.store].charges().collect();
            tallies[step.attempt].synced(step.store as u64 + 1, held, false);
            covered[step.attempt] = matches!(tallies[step.attempt].verdict(), ChargeVerdict::Covered { .. });
        }
        let total = covered.iter().filter(|it| **it).count() as u64 * MAX_TOKENS;
        prop_assert!(total <= budget + MAX_TOKENS, "{total} of {budget}");
    }

    /// A lookup does not report an acknowledged write as absent.
    #[test]
    fn an_acknowledged_write_is_never_absent(
        took in proptest::collection::vec(any::<bool>(), 5),
        answers in proptest::collection::vec(any::<bool>(), 5),
    ) {
        let view = view(5);
        let mut write = WriteTally::new(&view);
        let mut lookup = LookupTally::new(&view);
        let mut found = false;
        for (identity, (took, answers)) in (1..).zip(took.into_iter().zip(answers)) {
            if took { write.synced(identity) } else { write.failed(identity) }
            match (answers, took) {
                (true, true) => found = true,
                (true, false) => lookup.not_found(identity),
                (false, _) => lookup.failed(identity),
            }
        }
        if write.verdict() == WriteVerdict::Durable && !found {
            prop_assert_ne!(lookup.verdict(), LookupVerdict::Absent);
        }
    }
}
