//! Order in which a joining store requests turns from its sources.

use {
    quay_turns::{BatchLimits, CopyPlan, CopyStep, ListedTurn},
    quay_types::TurnId,
};

const LIMITS: BatchLimits = BatchLimits {
    turns: 2,
    bytes: 100,
};

fn list(turns: &[(u64, u32)]) -> Vec<ListedTurn> {
    let turns = turns.iter();
    let turns = turns.map(|(id, bytes)| ListedTurn {
        id: TurnId(*id),
        bytes: *bytes,
    });
    turns.collect()
}

fn fetch(turns: &[u64]) -> CopyStep {
    CopyStep::Fetch(turns.iter().copied().map(TurnId).collect())
}

const fn nothing_held(_: TurnId) -> bool {
    false
}

#[test]
fn turns_of_one_source_come_before_those_of_two_and_small_ones_first() {
    let mut plan = CopyPlan::default();
    plan.set_list(1, list(&[(1, 10), (2, 30), (3, 20), (4, 5)]));
    plan.set_list(2, list(&[(4, 5), (1, 10), (5, 40)]));
    assert_eq!(plan.next(1, LIMITS, nothing_held), fetch(&[3, 2]));
    assert_eq!(plan.next(2, LIMITS, nothing_held), fetch(&[5, 4]));
    assert_eq!(plan.next(1, LIMITS, nothing_held), fetch(&[1]));
    // The source is waiting for turns that the other one is asked for.
    assert_eq!(plan.next(1, LIMITS, nothing_held), CopyStep::Wait);
    assert_eq!(plan.next(2, LIMITS, nothing_held), CopyStep::Wait);
}

#[test]
fn a_turn_that_did_not_arrive_is_requested_from_the_other_source() {
    let mut plan = CopyPlan::default();
    plan.set_list(1, list(&[(1, 10)]));
    plan.set_list(2, list(&[(1, 10)]));
    assert_eq!(plan.next(1, LIMITS, nothing_held), fetch(&[1]));
    assert_eq!(plan.next(2, LIMITS, nothing_held), CopyStep::Wait);
    plan.end_request(&[TurnId(1)]);
    assert_eq!(plan.next(1, LIMITS, nothing_held), CopyStep::Done);
    assert_eq!(plan.next(2, LIMITS, nothing_held), fetch(&[1]));
    plan.end_request(&[TurnId(1)]);
    assert_eq!(plan.next(2, LIMITS, nothing_held), CopyStep::Done);
}

#[test]
fn turns_that_are_held_are_not_requested() {
    let mut plan = CopyPlan::default();
    plan.set_list(1, list(&[(1, 10), (2, 20), (3, 30)]));
    let held = |id| id != TurnId(3);
    assert_eq!(plan.next(1, LIMITS, held), fetch(&[3]));
    plan.end_request(&[TurnId(3)]);
    assert_eq!(plan.next(1, LIMITS, |_| true), CopyStep::Done);
    assert_eq!(plan.next(9, LIMITS, nothing_held), CopyStep::Done);
}

/// Guards against replies that are too large for a source or a link.
#[test]
fn a_request_is_bounded_by_its_size_but_has_one_turn_at_least() {
    let mut plan = CopyPlan::default();
    plan.set_list(1, list(&[(1, 60), (2, 70), (3, 500)]));
    assert_eq!(plan.next(1, LIMITS, nothing_held), fetch(&[1]));
    assert_eq!(plan.next(1, LIMITS, nothing_held), fetch(&[2]));
    assert_eq!(plan.next(1, LIMITS, nothing_held), fetch(&[3]));
}
