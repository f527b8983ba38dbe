//! Index of a store: retention, chains and epochs.

use {
    quay_turns::{
        Charge, ChargeStatus, Record, RecordLocation, StaleView, StoreIndex, StoreIndexSettings,
        TurnRecord,
    },
    quay_types::{AttemptTag, ProgramTag, Time, Tokens, TurnId},
};

fn turn(id: u64, prior: Option<u64>) -> Record {
    Record::Turn(TurnRecord {
        id: TurnId(id),
        prior: prior.map(TurnId),
        retention_s: 60,
        input: vec![1].into(),
        output: vec![2].into(),
    })
}

fn location(segment: u64, offset: u64) -> RecordLocation {
    RecordLocation {
        segment,
        offset,
        len: 10,
    }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn index() -> StoreIndex {
    StoreIndex::new(StoreIndexSettings::default())
}

#[test]
fn a_chain_lists_turns_newest_first_up_to_a_missing_one() {
    let mut index = index();
    index.insert(at(0), &turn(2, Some(1)), location(1, 0));
    index.insert(at(0), &turn(3, Some(2)), location(1, 10));
    let chain = index.chain(TurnId(3));
    let ids: Vec<u64> = chain.locations.iter().map(|(id, _)| id.0).collect();
    assert_eq!((ids, chain.missing), (vec![3, 2], Some(TurnId(1))));
}

/// Guards against a list of a chain that grows with the conversation.
#[test]
fn a_part_of_a_chain_tells_sizes_and_where_the_next_part_begins() {
    let mut index = index();
    for id in 2..=5 {
        index.insert(at(0), &turn(id, Some(id - 1)), location(1, id * 10));
    }
    let part = |last, limit| {
        let part = index.chain_part(TurnId(last), limit);
        let links = part.links.iter().map(|link| (link.id.0, link.bytes));
        (links.collect::<Vec<_>>(), part.next)
    };
    assert_eq!(part(5, 2), (vec![(5, 2), (4, 2)], Some(TurnId(3))));
    assert_eq!(part(3, 9), (vec![(3, 2), (2, 2)], Some(TurnId(1))));
    assert_eq!(part(1, 9), (vec![], Some(TurnId(1))));
}

/// Guards against a list of charges that outgrows a reply.
#[test]
fn a_list_of_charges_ends_before_it_is_too_large() {
    let mut index = index();
    for (program, attempt) in (0..3).flat_map(|it| (0..40_000).map(move |at| (it, at))) {
        let charge = Charge {
            attempt: AttemptTag(attempt),
            standing: ChargeStatus::Settled,
            tokens: Tokens(1),
        };
        index.insert(
            at(0),
            &Record::Charge(ProgramTag(program), charge),
            location(1, 0),
        );
    }
    let (last, charges) = index.charges_after(0, 256);
    assert_eq!(charges.len(), 80_000);
    assert_eq!(index.charges_after(last, 256).1.len(), 40_000);
}

#[test]
fn a_turn_is_kept_as_long_as_its_successors() {
    let mut index = index();
    index.insert(at(0), &turn(1, None), location(1, 0));
    index.insert(at(50), &turn(2, Some(1)), location(2, 0));
    // The retention of 60 s and the margin have passed for the first turn, but
    // not for the second.
    assert_eq!(index.expire(at(90), 3), Vec::<u64>::new());
    assert_eq!(index.chain(TurnId(2)).missing, None);
    assert_eq!(index.expire(at(130), 3), [1, 2]);
    assert_eq!(index.turn_count(), 0);
}

/// Guards against a conversation that a store drops up to the turn that it missed, while
/// the conversation goes on (review, case 4).
#[test]
fn a_missing_turn_is_known_and_the_turns_before_it_are_kept_once_it_arrives() {
    let mut index = index();
    index.insert(at(0), &turn(1, None), location(1, 0));
    index.insert(at(0), &turn(2, Some(1)), location(1, 10));
    // The store was away when turn 3 was written.
    index.insert(at(50), &turn(4, Some(3)), location(1, 20));
    assert_eq!(index.missing_turns().collect::<Vec<_>>(), [TurnId(3)]);
    index.insert(at(51), &turn(3, Some(2)), location(1, 30));
    assert_eq!(index.missing_turns().len(), 0);
    index.expire(at(90), 1);
    let chain = index.chain(TurnId(4));
    assert_eq!((chain.locations.len(), chain.missing), (4, None));
}

#[test]
fn a_missing_turn_is_kept_as_long_as_the_latest_turn_after_it() {
    let mut index = index();
    index.insert(at(0), &turn(3, Some(2)), location(1, 0));
    index.insert(at(40), &turn(4, Some(3)), location(1, 10));
    let shorter = Record::Turn(TurnRecord {
        id: TurnId(2),
        prior: None,
        retention_s: 1,
        input: vec![1].into(),
        output: vec![2].into(),
    });
    index.insert(at(41), &shorter, location(1, 20));
    index.expire(at(100), 1);
    assert_eq!(index.chain(TurnId(4)).missing, None);
    index.expire(at(120), 1);
    assert_eq!((index.turn_count(), index.missing_turns().len()), (0, 0));
}

#[test]
fn a_turn_that_stays_missing_is_forgotten_with_the_turns_after_it() {
    let mut index = index();
    index.insert(at(0), &turn(2, Some(1)), location(1, 0));
    assert_eq!(index.missing_turns().len(), 1);
    index.expire(at(80), 1);
    assert_eq!(index.missing_turns().len(), 0);
}

#[test]
fn the_open_segment_is_never_dropped() {
    let mut index = index();
    index.insert(at(0), &turn(1, None), location(1, 0));
    assert_eq!(index.expire(at(500), 1), Vec::<u64>::new());
}

#[test]
fn requests_of_earlier_epochs_are_refused() {
    let mut index = index();
    index.insert(at(0), &Record::Epoch(4), location(1, 0));
    assert_eq!(index.admit(3), Err(StaleView { seen: 4 }));
    assert_eq!(index.admit(4), Ok(()));
}

#[test]
fn a_reserved_charge_does_not_count_as_the_settled_one() {
    let mut index = index();
    let charge = |standing, tokens| {
        Record::Charge(
            ProgramTag(1),
            Charge {
                attempt: AttemptTag(1),
                standing,
                tokens: Tokens(tokens),
            },
        )
    };
    let reserved = charge(ChargeStatus::Reserved, 10);
    index.insert(at(0), &reserved, location(1, 0));
    assert!(index.holds(&reserved));
    assert!(!index.holds(&charge(ChargeStatus::Settled, 3)));
    index.insert(at(0), &charge(ChargeStatus::Settled, 3), location(1, 10));
    assert!(index.holds(&reserved), "a late reservation changes nothing");
}

#[test]
fn listing_resumes_by_number_while_turns_expire() {
    let mut index = index();
    for id in 1..=6 {
        index.insert(at(id * 20), &turn(id, None), location(id, 0));
    }
    let first = index.turns_after(0, 2);
    let (last, _) = first[1];
    index.expire(at(120), 9);
    let rest: Vec<u64> = index
        .turns_after(last, 9)
        .iter()
        .map(|(_, id)| id.0)
        .collect();
    assert_eq!(rest, [3, 4, 5, 6]);
}
