//! Tests of who owns a stored turn, and who may go on from it.

use {
    quay_policy::{TurnCaller, TurnOwner, TurnScope},
    quay_types::{AccountId, KeyMark, TurnId},
};

const NAME: &str = "t1";

fn caller(scope: TurnScope, key: Option<u8>) -> TurnCaller {
    let key = key.map(|key| [key; 32]);
    TurnCaller { scope, key }
}

fn account(name: &str) -> AccountId {
    AccountId::of(name)
}

/// Account that holds a key: `a` has 1 and `b` has 2.
fn holder(mark: KeyMark) -> Option<AccountId> {
    let holds = |key: u8| KeyMark::of(&[key; 32], NAME) == mark;
    [(1, "a"), (2, "b")]
        .iter()
        .find_map(|(key, name)| holds(*key).then(|| account(name)))
}

/// Whether a caller finds the turn of another one, by its own ids or by the owner's record.
fn finds(reader: &TurnCaller, owner: TurnOwner) -> bool {
    let id = owner.turn_id(NAME);
    let own = reader.own_turns(NAME);
    let record = owner.record_id(NAME);
    own.iter().any(|(own, _)| *own == id)
        || (record.is_some()
            && reader.owner_record(NAME) == record
            && reader.may_continue(NAME, &owner.with_holder(holder)))
}

/// Guards against history that goes to a stranger, and against 404 for a turn that is no
/// other account's.
#[test]
fn a_turn_is_found_by_its_owner_and_by_nobody_else() {
    let a = TurnScope::Account(account("a"));
    let b = TurnScope::Account(account("b"));
    let (none, open) = (TurnScope::NoAccounts, TurnScope::Public(None));
    let open_a = TurnScope::Public(Some(account("a")));
    let of = |scope, key| caller(scope, key).owner_of_next(NAME, None);
    // Who stored the turn, who names it, and whether the turn is found.
    let cases = [
        (of(a, Some(1)), a, Some(1), true),
        (of(a, Some(1)), a, Some(9), true),
        (of(a, Some(1)), b, Some(2), false),
        // The key has moved to another account.
        (of(a, Some(1)), b, Some(1), false),
        (of(a, Some(1)), none, Some(1), true),
        (of(a, Some(1)), none, Some(2), false),
        (of(a, Some(1)), none, None, false),
        (of(a, Some(1)), open_a, Some(1), true),
        (of(a, Some(1)), open, None, false),
        // A key that is no longer valid names nobody.
        (of(a, Some(9)), open, Some(9), false),
        (of(none, Some(1)), a, Some(1), true),
        (of(none, Some(1)), b, Some(2), false),
        (of(none, Some(1)), open, None, false),
        (of(none, Some(1)), none, None, true),
        (of(none, Some(1)), none, Some(7), true),
        (of(none, Some(9)), b, Some(2), true),
        (of(none, None), b, Some(2), true),
        (of(none, None), none, Some(2), true),
        (of(open, Some(9)), b, Some(2), true),
        (of(open_a, Some(1)), open, None, true),
    ];
    for (at, (owner, scope, key, expected)) in cases.into_iter().enumerate() {
        let found = finds(&caller(scope, key), owner);
        assert_eq!(found, expected, "case {at}");
    }
}

/// Guards against an account's conversation that becomes anyone's by a turn on a public
/// route or without accounts.
#[test]
fn what_goes_on_from_an_accounts_turn_stays_the_accounts() {
    let a = account("a");
    let first = caller(TurnScope::Account(a), Some(1)).owner_of_next(NAME, None);
    for scope in [TurnScope::NoAccounts, TurnScope::Public(Some(a))] {
        let next = caller(scope, Some(1)).owner_of_next(NAME, Some(first));
        assert_eq!(next.account, Some(a));
        assert_eq!(next.turn_id(NAME), TurnId::owned(Some(a), NAME));
        assert!(!finds(&caller(TurnScope::NoAccounts, None), next));
        assert!(!finds(&caller(TurnScope::Public(None), None), next));
        let b = TurnScope::Account(account("b"));
        assert!(!finds(&caller(b, Some(2)), next));
    }
}
