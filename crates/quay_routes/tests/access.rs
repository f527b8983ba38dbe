//! Tests of the decision which account a request belongs to.

use {
    http::{Method, Uri},
    quay_routes::{
        Account, AccountTable, CallHead, CallIds, Caller, Credential, KeyDigest, KeyPolicy,
        KeyRefusal, RepeatPolicy, Route, RoutingTable, Target,
    },
    quay_types::{AccountId, AttemptTag, ProgramTag, TurnId},
    std::time::Duration,
};

const FRESH: Option<Duration> = Some(Duration::from_millis(1_499));
const STALE: Option<Duration> = Some(Duration::from_millis(1_500));
const POLICY: KeyPolicy = KeyPolicy {
    max_age: Duration::from_millis(1_500),
    revoke_after: None,
};

fn account(name: &str, key: &str, priority: Option<u32>) -> Account {
    Account {
        name: name.into(),
        keys: [KeyDigest::of(key)].into(),
        priority,
        quota: None,
    }
}

fn key(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key))
}

/// Name of the account that a request runs for, if it has one.
fn name(caller: Result<Caller<'_>, KeyRefusal>) -> Result<Option<String>, KeyRefusal> {
    caller.map(|caller| caller.account().map(|it| it.name.to_owned()))
}

/// Guards against a 401 for a key that a newer configuration may allow, and against
/// keys that are served although they may have been revoked.
#[test]
fn a_host_that_may_be_out_of_date_refuses_no_key_for_good() {
    let table = AccountTable::new([account("a", "known", None)]);
    let strict = KeyPolicy {
        revoke_after: Some(Duration::from_secs(5)),
        ..POLICY
    };
    let old = Some(Duration::from_secs(5));
    let known = Ok(Some("a".to_owned()));
    let cases = [
        (key("known"), FRESH, POLICY, known.clone()),
        (key("known"), None, POLICY, known.clone()),
        (key("known"), STALE, strict, known),
        (key("known"), old, strict, Err(KeyRefusal::Expired)),
        (key("known"), None, strict, Err(KeyRefusal::Expired)),
        (key("other"), FRESH, POLICY, Err(KeyRefusal::Unknown)),
        (key("other"), STALE, POLICY, Err(KeyRefusal::Outdated)),
        (key("other"), None, POLICY, Err(KeyRefusal::Outdated)),
        (Credential::Missing, FRESH, POLICY, Err(KeyRefusal::Missing)),
        (
            Credential::Missing,
            STALE,
            POLICY,
            Err(KeyRefusal::Outdated),
        ),
        (
            Credential::Malformed,
            STALE,
            POLICY,
            Err(KeyRefusal::Malformed),
        ),
    ];
    for (credential, age, policy, expected) in cases {
        let found = name(table.identify(false, &credential, age, &policy));
        assert_eq!(found, expected, "{credential:?} {age:?} {policy:?}");
        let public = table.identify(true, &credential, age, &policy);
        assert_eq!(public, Ok(Caller::Anonymous));
        let none = AccountTable::default();
        let open = none.identify(false, &credential, age, &policy);
        assert_eq!(open, Ok(Caller::Unrestricted));
    }
}

/// Guards against a waiting request that runs for an account which no longer holds
/// its key, and against refusals of requests that no longer need one.
#[test]
fn a_waiting_request_runs_only_for_its_own_account() {
    let tables = ["a", "b"].map(|name| AccountTable::new([account(name, "key", None)]));
    let caller = |table| AccountTable::identify(table, false, &key("key"), FRESH, &POLICY);
    let [a, b] = tables
        .each_ref()
        .map(|table| caller(table).expect("caller"));
    let (open, public) = (Caller::Unrestricted, Caller::Anonymous);
    assert!(a.may_run_as(&a) && a.may_run_as(&open) && a.may_run_as(&public));
    assert!(!a.may_run_as(&b) && !open.may_run_as(&a) && !public.may_run_as(&a));
    assert!(public.may_run_as(&open) && public.may_run_as(&public));
    assert!(!open.may_run_as(&public), "its key would be forwarded");
}

/// Guards against new programs of a less urgent account that are admitted as if they
/// were the most urgent, by the priority of their route.
#[test]
fn the_priority_of_an_account_precedes_that_of_the_route() {
    let route = |public, priority| Route {
        priority,
        public,
        repeat: RepeatPolicy::Stream,
        targets: [Target::new("llm", 1)].into(),
        ..Route::default()
    };
    let urgent = |routes: Vec<Route>, accounts: Vec<Account>, priority| {
        let table = RoutingTable {
            routes,
            accounts: AccountTable::new(accounts),
            ..RoutingTable::default()
        };
        table.is_most_urgent(priority, "llm")
    };
    let accounts = || vec![account("a", "x", Some(1)), account("b", "y", Some(4))];
    assert!(urgent(vec![route(false, 0)], accounts(), 1));
    assert!(!urgent(vec![route(false, 9)], accounts(), 4));
    assert!(!urgent(vec![route(true, 0)], accounts(), 1));
    let mut with_default = accounts();
    with_default.push(account("c", "z", None));
    assert!(!urgent(vec![route(false, 0)], with_default, 1));
    assert!(urgent(vec![route(false, 2)], Vec::new(), 2));
    assert!(!urgent(vec![route(false, 2)], Vec::new(), 3));

    let table = AccountTable::new(accounts());
    let caller = table
        .identify(false, &key("y"), FRESH, &POLICY)
        .expect("caller");
    assert_eq!(caller.priority(&route(false, 0)), 4);
    assert_eq!(Caller::Anonymous.priority(&route(true, 7)), 7);
}

/// Guards against state that two accounts share by using the same names, and against
/// records of deployments without accounts that are no longer found.
#[test]
fn the_same_names_of_two_accounts_are_different_objects() {
    let head = CallHead {
        id: "t1".into(),
        program: Some("p".into()),
        ..CallHead::default()
    };
    let uri = Uri::from_static("/x");
    let content = |ids: &CallIds<'_>| ids.content(&Method::POST, &uri, b"body");
    let none = CallIds::new(&head, None);
    assert_eq!(none.turn(), TurnId::of("t1"));
    assert_eq!(none.attempt(), AttemptTag::of("t1"));
    assert_eq!(none.program(), ProgramTag::of("p"));
    assert_eq!(content(&none), head.content(&Method::POST, &uri, b"body"));
    let ids = |account: &str| CallIds::new(&head, Some(AccountId::of(account)));
    let all = [none, ids("a"), ids("b")];
    for (at, one) in all.iter().enumerate() {
        assert_eq!(one.turn(), one.turn_named("t1"));
        assert_eq!(one.budget(), Some(one.program()));
        for other in &all[at + 1..] {
            assert_ne!(one.turn(), other.turn());
            assert_ne!(one.attempt(), other.attempt());
            assert_ne!(one.program(), other.program());
            assert_ne!(content(one), content(other));
        }
    }
}
