//! What a store holds and for how long.

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
        input: [1].into(),
        output: [2].into(),
    })
}

fn place(segment: u64, offset: u64) -> RecordLocation {
    RecordLocation {
        segment,
        offset,
        len: 10,
    }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn shelf() -> StoreIndex {
    StoreIndex::new(StoreIndexSettings::default())
}

#[test]
fn a_chain_is_told_newest_first_up_to_what_is_missing() {
    let mut shelf = shelf();
    shelf.insert(at(0), &turn(2, Some(1)), place(1, 0));
    shelf.insert(at(0), &turn(3, Some(2)), place(1, 10));
    let chain = shelf.chain(TurnId(3));
    let ids: Vec<u64> = chain.locations.iter().map(|(id, _)| id.0).collect();
    assert_eq!((ids, chain.missing), (vec![3, 2], Some(TurnId(1))));
}

#[test]
fn a_turn_is_kept_with_its_chain() {
    let mut shelf = shelf();
    shelf.insert(at(0), &turn(1, None), place(1, 0));
    shelf.insert(at(50), &turn(2, Some(1)), place(2, 0));
    // 60 s and the margin after the first turn, but not after the second.
    assert_eq!(shelf.expire(at(90), 3), Vec::<u64>::new());
    assert_eq!(shelf.chain(TurnId(2)).missing, None);
    assert_eq!(shelf.expire(at(130), 3), [1, 2]);
    assert_eq!(shelf.turn_count(), 0);
}

#[test]
fn the_open_file_is_never_dropped() {
    let mut shelf = shelf();
    shelf.insert(at(0), &turn(1, None), place(1, 0));
    assert_eq!(shelf.expire(at(500), 1), Vec::<u64>::new());
}

#[test]
fn an_epoch_that_was_seen_ends_earlier_ones() {
    let mut shelf = shelf();
    shelf.insert(at(0), &Record::Epoch(4), place(1, 0));
    assert_eq!(shelf.admit(3), Err(StaleView { seen: 4 }));
    assert_eq!(shelf.admit(4), Ok(()));
}

#[test]
fn a_record_that_is_held_is_not_held_as_a_later_one() {
    let mut shelf = shelf();
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
    shelf.insert(at(0), &reserved, place(1, 0));
    assert!(shelf.holds(&reserved));
    assert!(!shelf.holds(&charge(ChargeStatus::Settled, 3)));
    shelf.insert(at(0), &charge(ChargeStatus::Settled, 3), place(1, 10));
    assert!(shelf.holds(&reserved), "a late reservation changes nothing");
}

#[test]
fn a_list_goes_on_where_it_stopped_while_turns_expire() {
    let mut shelf = shelf();
    for id in 1..=6 {
        shelf.insert(at(id * 20), &turn(id, None), place(id, 0));
    }
    let first = shelf.turns_after(0, 2);
    let (last, _) = first[1];
    shelf.expire(at(120), 9);
    let rest: Vec<u64> = shelf
        .turns_after(last, 9)
        .iter()
        .map(|(_, id)| id.0)
        .collect();
    assert_eq!(rest, [3, 4, 5, 6]);
}
