//! Tests of the order, replay, permits, budgets and limits of calls.

mod common;

use {
    common::{LedgerHarness, OWNER, ROOT, call, completed, key, limits, new_root, numbered, once},
    quay_ledger::{LedgerLimits, Op, Reply},
    quay_types::{
        AccountId, Begin, BeginReply, ConfigIndex, ContentDigest, ErrorKind, Incarnation,
        NewProgram, Outcome, ProgramId, ProgramLimits, Tokens, UpstreamId,
    },
};

#[test]
fn calls_run_in_order_and_replay() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    assert_eq!(harness.begin(numbered(call(2), 2)), BeginReply::Wait(50));
    let first = harness.begin_granted(numbered(call(1), 1));
    assert_eq!(harness.begin(numbered(call(2), 2)), BeginReply::Wait(50));
    assert_eq!(harness.begin(call(1)), BeginReply::Running(first));
    assert_eq!(harness.settle(first, completed(40)), Reply::Done);
    assert_eq!(harness.settle(first, completed(40)), Reply::Done);
    harness.begin_granted(numbered(call(2), 2));
    assert_eq!(harness.begin(call(1)), BeginReply::Replay(completed(40)));

    let status = harness.show(ROOT);
    assert_eq!((status.used, status.reserved), (Tokens(40), Tokens(100)));
    assert_eq!(status.calls.len(), 2);
    assert_eq!(status.calls[0].outcome, Some(completed(40)));
    assert_eq!(*status.calls[1].prompt, *b"2");
}

#[test]
fn other_content_under_a_known_identity_conflicts() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    let permit = harness.begin_granted(call(1));
    let other = Begin {
        digest: ContentDigest::of(&[b"other"]),
        ..call(1)
    };
    assert_eq!(harness.refusal(other.clone()), ErrorKind::Conflict);
    assert_eq!(harness.refusal(numbered(call(1), 2)), ErrorKind::Conflict);
    harness.settle(permit, completed(1));
    assert_eq!(harness.refusal(other), ErrorKind::Conflict);
    assert_eq!(harness.refusal(numbered(call(5), 1)), ErrorKind::Conflict);
    assert_eq!(harness.refusal(numbered(call(5), 0)), ErrorKind::BadRequest);

    let again = Op::Create(new_root(ROOT, limits(5)));
    let Reply::Refused(err) = harness.apply(again) else {
        panic!("a request with other limits was accepted as a resend")
    };
    assert_eq!(err.kind, ErrorKind::Conflict);
}

#[test]
fn calls_with_equal_fingerprints_are_distinct() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    let permit = harness.begin_granted(call(1));
    harness.settle(permit, completed(1));
    let same_fingerprint = Begin {
        key: quay_types::RequestKey(key(1).0 + 1),
        ..call(9)
    };
    harness.begin_granted(same_fingerprint);
}

#[test]
fn a_call_that_may_not_run_twice_gets_one_permit() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    let refused = harness.begin_granted(once(1));
    harness.settle(refused, Outcome::NotRun);
    let lost = harness.begin_granted(once(1));
    assert_eq!(lost.attempt.0, 1);
    harness.settle(lost, Outcome::Unknown);
    assert_eq!(harness.begin(once(1)), BeginReply::Replay(Outcome::Unknown));
    // A late answer, however often it is sent, settles the tokens but does not
    // change the outcome.
    for _ in 0..2 {
        let late = harness.settle(lost, completed(30));
        assert_eq!(late, Reply::Superseded(Outcome::Unknown));
    }
    let status = harness.show(ROOT);
    assert_eq!((status.used, status.reserved), (Tokens(30), Tokens(0)));
}

#[test]
fn the_first_complete_answer_of_any_attempt_is_final() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    let first = harness.begin_granted(call(1));
    harness.settle(first, Outcome::Unknown);
    let second = harness.begin_granted(call(1));
    assert_eq!(harness.show(ROOT).reserved, Tokens(200));
    assert_eq!(harness.settle(first, completed(10)), Reply::Done);
    assert_eq!(
        harness.settle(second, completed(20)),
        Reply::Superseded(completed(10))
    );
    assert_eq!(harness.begin(call(1)), BeginReply::Replay(completed(10)));
    let status = harness.show(ROOT);
    assert_eq!((status.used, status.reserved), (Tokens(30), Tokens(0)));
}

#[test]
fn later_calls_do_not_wait_for_one_that_was_given_up() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    let give_up = |number| Op::GiveUp(ROOT, key(number));
    let refused = harness.begin_granted(numbered(call(1), 1));
    harness.apply(give_up(1));
    assert_eq!(
        harness.begin(call(2)),
        BeginReply::Wait(50),
        "call 1 is still running"
    );
    harness.settle(refused, Outcome::NotRun);
    assert_eq!(
        harness.begin(call(2)),
        BeginReply::Wait(50),
        "call 1 may still be attempted again"
    );
    harness.apply(give_up(1));
    // Call 1 did not run, so call 2 takes its number. A later resend of call 1
    // gets the next number.
    let lost = harness.begin_granted(numbered(call(2), 1));
    harness.settle(lost, Outcome::Unknown);
    harness.apply(give_up(2));
    let third = harness.begin_granted(numbered(call(1), 2));
    assert_eq!(harness.begin(call(2)), BeginReply::Replay(Outcome::Unknown));
    harness.settle(third, completed(5));
    assert_eq!(harness.show(ROOT).calls.len(), 2);
}

#[test]
fn a_refused_resend_of_a_call_that_may_have_run_does_not_claim_not_run() {
    let mut harness = LedgerHarness::with_root(limits(150));
    let first = harness.begin_granted(call(1));
    harness.settle(first, Outcome::NotRun);
    let no_upstream = Begin {
        upstream: (UpstreamId(0), Incarnation(0)),
        ..call(1)
    };
    let not_run = |reply| matches!(reply, BeginReply::Refused(err) if err.not_run());
    assert!(not_run(harness.begin(no_upstream)));
    let lost = harness.begin_granted(call(1));
    harness.settle(lost, Outcome::Unknown);
    // The lost attempt may still be running, and its tokens are still reserved.
    assert_eq!(harness.refusal(call(1)), ErrorKind::UpstreamLost);
    assert!(!not_run(harness.begin(call(1))));
}

#[test]
fn an_answer_under_a_permit_returned_unused_is_refused() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    let permit = harness.begin_granted(call(1));
    harness.settle(permit, Outcome::NotRun);
    assert!(matches!(
        harness.settle(permit, completed(1)),
        Reply::Refused(_)
    ));
    assert_eq!(harness.show(ROOT).used, Tokens(0));
}

#[test]
fn usage_never_exceeds_the_budget() {
    let mut harness = LedgerHarness::with_root(limits(150));
    let first = harness.begin_granted(call(1));
    // The upstream counted more tokens than were reserved; the charge stops at
    // the budget.
    harness.settle(first, completed(400));
    assert_eq!(harness.show(ROOT).used, Tokens(150));
    assert_eq!(harness.refusal(call(2)), ErrorKind::BudgetExceeded);
    assert_eq!(harness.show(ROOT).calls.len(), 1);
}

#[test]
fn sub_agent_budgets_are_reserved_in_the_parent_and_returned() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    let grant = |number, parent, budget| NewProgram {
        key: key(number),
        sub_agent: true,
        ..new_root(parent, limits(budget))
    };
    let child = ROOT.sub_agent(1);
    for _ in 0..2 {
        let created = harness.apply(Op::Create(grant(1, ROOT, 600)));
        assert_eq!(created, Reply::Created(child));
    }
    assert!(matches!(
        harness.apply(Op::Create(grant(2, ROOT, 600))),
        Reply::Refused(err) if err.kind == ErrorKind::BudgetExceeded
    ));
    let grandchild = ROOT.sub_agent(2);
    assert_eq!(
        harness.apply(Op::Create(grant(3, child, 200))),
        Reply::Created(grandchild)
    );
    let in_grandchild = Begin {
        program: grandchild,
        ..once(1)
    };
    let permit = harness.begin_granted(in_grandchild);
    harness.settle_in(grandchild, permit, Outcome::Unknown);
    assert_eq!(harness.apply(Op::End(child, OWNER)), Reply::Done);
    // The tokens of the lost attempt stay reserved in all ancestors.
    assert_eq!(harness.show(ROOT).reserved, Tokens(100));
    harness.settle_in(grandchild, permit, completed(60));
    let status = harness.show(ROOT);
    assert_eq!((status.used, status.reserved), (Tokens(60), Tokens(0)));
    assert!(harness.show(grandchild).ended);
}

#[test]
fn program_limits_end_a_loop() {
    let bounds = ProgramLimits {
        turns: 2,
        sub_agents: 2,
        depth: 1,
        lifetime_s: 10,
        ..limits(1_000)
    };
    let mut harness = LedgerHarness::with_root(bounds);
    for number in 1..=2 {
        let permit = harness.begin_granted(call(number));
        harness.settle(permit, completed(1));
    }
    assert_eq!(harness.refusal(call(3)), ErrorKind::ProgramLimit);

    let grant = |number, parent| {
        Op::Create(NewProgram {
            key: key(number),
            sub_agent: true,
            ..new_root(parent, limits(10))
        })
    };
    let is_limit =
        |reply| matches!(reply, Reply::Refused(err) if err.kind == ErrorKind::ProgramLimit);
    let child = ROOT.sub_agent(1);
    assert_eq!(harness.apply(grant(1, ROOT)), Reply::Created(child));
    assert!(is_limit(harness.apply(grant(2, child))), "depth");
    harness.apply(grant(3, ROOT));
    assert!(
        is_limit(harness.apply(grant(4, ROOT))),
        "number of sub-agents"
    );

    harness.now_ms += 10_000;
    assert_eq!(harness.refusal(call(4)), ErrorKind::ProgramEnded);
    assert!(harness.show(child).ended);
}

#[test]
fn old_configuration_and_missing_upstreams_get_no_permit() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    harness.apply(Op::ConfigFloor(ConfigIndex(5)));
    harness.apply(Op::ConfigFloor(ConfigIndex(3)));
    let stale = Begin {
        config: ConfigIndex(4),
        ..call(1)
    };
    assert_eq!(harness.refusal(stale.clone()), ErrorKind::ConfigStale);
    let current = Begin {
        config: ConfigIndex(5),
        ..call(1)
    };
    let no_upstream = Begin {
        upstream: (UpstreamId(0), Incarnation(0)),
        ..current.clone()
    };
    assert_eq!(harness.refusal(no_upstream), ErrorKind::NoUpstream);
    let permit = harness.begin_granted(current);
    harness.settle(permit, completed(1));
    // An entry with an outdated configuration still gets the recorded outcome.
    assert_eq!(harness.begin(stale), BeginReply::Replay(completed(1)));
}

#[test]
fn another_account_cannot_change_a_program() {
    let mut harness = LedgerHarness::with_root(limits(1_000));
    let before = harness.show(ROOT);
    let other_account = Begin {
        account: AccountId(9),
        ..call(1)
    };
    assert_eq!(harness.refusal(other_account), ErrorKind::Forbidden);
    assert!(matches!(
        harness.apply(Op::End(ROOT, AccountId(9))),
        Reply::Refused(err) if err.kind == ErrorKind::Forbidden
    ));
    assert_eq!(harness.show(ROOT), before);
}

#[test]
fn a_standalone_call_ends_its_program() {
    let mut harness = LedgerHarness::new(LedgerLimits::default());
    let standalone = Begin {
        implicit: Some(ProgramLimits {
            turns: 1,
            ..limits(100)
        }),
        ..once(1)
    };
    let over_budget = Begin {
        reserve: Tokens(101),
        ..standalone.clone()
    };
    assert_eq!(harness.refusal(over_budget), ErrorKind::BudgetExceeded);
    assert_eq!(harness.ledger.program_count(), 0);
    let permit = harness.begin_granted(standalone.clone());
    harness.settle(permit, completed(1));
    assert!(harness.show(ROOT).ended);
    assert_eq!(
        harness.begin(standalone.clone()),
        BeginReply::Replay(completed(1))
    );

    // The program of a standalone call that did not run is removed.
    let refused = Begin {
        program: ProgramId::root(8),
        ..standalone
    };
    let permit = harness.begin_granted(refused);
    harness.settle_in(ProgramId::root(8), permit, Outcome::NotRun);
    harness.apply(Op::GiveUp(ProgramId::root(8), key(1)));
    assert_eq!(harness.ledger.program_count(), 1);
    harness.ledger.assert_invariants();
}

#[test]
fn programs_are_limited_and_removed_after_retention() {
    let mut harness = LedgerHarness::new(LedgerLimits {
        programs: 3,
        account_programs: 2,
        ..LedgerLimits::default()
    });
    let root = |number| Op::Create(new_root(ProgramId::root(number), limits(10)));
    harness.apply(root(1));
    harness.apply(root(2));
    let is_refused = |reply, kind| matches!(reply, Reply::Refused(err) if err.kind == kind);
    assert!(is_refused(harness.apply(root(3)), ErrorKind::AccountLimit));
    // An ended program and its outcomes are retained, and the program counts
    // towards the limit, until its retention has passed.
    harness.apply(Op::End(ProgramId::root(1), OWNER));
    assert!(is_refused(harness.apply(root(3)), ErrorKind::AccountLimit));
    harness.now_ms += 900_000;
    assert_eq!(harness.apply(root(3)), Reply::Created(ProgramId::root(3)));
    assert_eq!(harness.ledger.program_count(), 2);
    harness.ledger.assert_invariants();
}
