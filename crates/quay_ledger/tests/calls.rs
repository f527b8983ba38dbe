//! Order, replay, permits, budgets and limits of calls.

mod common;

use {
    common::{Bench, OWNER, ROOT, call, completed, key, limits, new_root, numbered, once},
    quay_ledger::{LedgerLimits, Op, Reply},
    quay_types::{
        AccountId, Begin, BeginReply, ConfigIndex, ContentDigest, ErrorKind, Incarnation,
        NewProgram, Outcome, ProgramId, ProgramLimits, Tokens, UpstreamId,
    },
};

#[test]
fn calls_run_in_order_and_replay() {
    let mut bench = Bench::with_root(limits(1_000));
    assert_eq!(bench.begin(numbered(call(2), 2)), BeginReply::Wait(50));
    let first = bench.go(numbered(call(1), 1));
    assert_eq!(bench.begin(numbered(call(2), 2)), BeginReply::Wait(50));
    assert_eq!(bench.begin(call(1)), BeginReply::Running(first));
    assert_eq!(bench.settle(first, completed(40)), Reply::Done);
    assert_eq!(bench.settle(first, completed(40)), Reply::Done);
    bench.go(numbered(call(2), 2));
    assert_eq!(bench.begin(call(1)), BeginReply::Replay(completed(40)));

    let status = bench.show(ROOT);
    assert_eq!((status.used, status.reserved), (Tokens(40), Tokens(100)));
    assert_eq!(status.calls.len(), 2);
    assert_eq!(status.calls[0].outcome, Some(completed(40)));
    assert_eq!(*status.calls[1].prompt, *b"2");
}

#[test]
fn other_content_under_a_known_identity_conflicts() {
    let mut bench = Bench::with_root(limits(1_000));
    let permit = bench.go(call(1));
    let other = Begin {
        digest: ContentDigest::of(&[b"other"]),
        ..call(1)
    };
    assert_eq!(bench.refusal(other.clone()), ErrorKind::Conflict);
    assert_eq!(bench.refusal(numbered(call(1), 2)), ErrorKind::Conflict);
    bench.settle(permit, completed(1));
    assert_eq!(bench.refusal(other), ErrorKind::Conflict);
    assert_eq!(bench.refusal(numbered(call(5), 1)), ErrorKind::Conflict);
    assert_eq!(bench.refusal(numbered(call(5), 0)), ErrorKind::BadRequest);

    let again = Op::Create(new_root(ROOT, limits(5)));
    let Reply::Refused(err) = bench.apply(again) else {
        panic!("a program with other limits was taken for the same")
    };
    assert_eq!(err.kind, ErrorKind::Conflict);
}

#[test]
fn equal_fingerprints_are_told_apart() {
    let mut bench = Bench::with_root(limits(1_000));
    let permit = bench.go(call(1));
    bench.settle(permit, completed(1));
    let twin = Begin {
        key: quay_types::RequestKey(key(1).0 + 1),
        ..call(9)
    };
    bench.go(twin);
}

#[test]
fn a_call_that_may_not_run_twice_gets_one_permit() {
    let mut bench = Bench::with_root(limits(1_000));
    let refused = bench.go(once(1));
    bench.settle(refused, Outcome::NotRun);
    let lost = bench.go(once(1));
    assert_eq!(lost.attempt.0, 1);
    bench.settle(lost, Outcome::Unknown);
    assert_eq!(bench.begin(once(1)), BeginReply::Replay(Outcome::Unknown));
    // A late answer settles the tokens and never the outcome, however often it comes.
    for _ in 0..2 {
        let late = bench.settle(lost, completed(30));
        assert_eq!(late, Reply::Superseded(Outcome::Unknown));
    }
    let status = bench.show(ROOT);
    assert_eq!((status.used, status.reserved), (Tokens(30), Tokens(0)));
}

#[test]
fn the_first_whole_answer_of_any_attempt_stands() {
    let mut bench = Bench::with_root(limits(1_000));
    let first = bench.go(call(1));
    bench.settle(first, Outcome::Unknown);
    let second = bench.go(call(1));
    assert_eq!(bench.show(ROOT).reserved, Tokens(200));
    assert_eq!(bench.settle(first, completed(10)), Reply::Done);
    assert_eq!(
        bench.settle(second, completed(20)),
        Reply::Superseded(completed(10))
    );
    assert_eq!(bench.begin(call(1)), BeginReply::Replay(completed(10)));
    let status = bench.show(ROOT);
    assert_eq!((status.used, status.reserved), (Tokens(30), Tokens(0)));
}

#[test]
fn later_calls_do_not_wait_for_one_that_was_given_up() {
    let mut bench = Bench::with_root(limits(1_000));
    let give_up = |number| Op::GiveUp(ROOT, key(number));
    let refused = bench.go(numbered(call(1), 1));
    bench.apply(give_up(1));
    assert_eq!(bench.begin(call(2)), BeginReply::Wait(50), "it still runs");
    bench.settle(refused, Outcome::NotRun);
    assert_eq!(
        bench.begin(call(2)),
        BeginReply::Wait(50),
        "it may be tried again"
    );
    bench.apply(give_up(1));
    // It never ran, so another call takes its number, and later it takes the next one.
    let lost = bench.go(numbered(call(2), 1));
    bench.settle(lost, Outcome::Unknown);
    bench.apply(give_up(2));
    let third = bench.go(numbered(call(1), 2));
    assert_eq!(bench.begin(call(2)), BeginReply::Replay(Outcome::Unknown));
    bench.settle(third, completed(5));
    assert_eq!(bench.show(ROOT).calls.len(), 2);
}

#[test]
fn a_refused_resend_of_what_may_have_run_is_no_not_run() {
    let mut bench = Bench::with_root(limits(150));
    let first = bench.go(call(1));
    bench.settle(first, Outcome::NotRun);
    let nowhere = Begin {
        upstream: (UpstreamId(0), Incarnation(0)),
        ..call(1)
    };
    let not_run = |reply| matches!(reply, BeginReply::Refused(err) if err.not_run());
    assert!(not_run(bench.begin(nowhere)));
    let lost = bench.go(call(1));
    bench.settle(lost, Outcome::Unknown);
    // The lost attempt's tokens are still set aside, and it may still run.
    assert_eq!(bench.refusal(call(1)), ErrorKind::UpstreamLost);
    assert!(!not_run(bench.begin(call(1))));
}

#[test]
fn an_answer_under_a_permit_given_back_is_refused() {
    let mut bench = Bench::with_root(limits(1_000));
    let permit = bench.go(call(1));
    bench.settle(permit, Outcome::NotRun);
    assert!(matches!(
        bench.settle(permit, completed(1)),
        Reply::Refused(_)
    ));
    assert_eq!(bench.show(ROOT).used, Tokens(0));
}

#[test]
fn budgets_hold() {
    let mut bench = Bench::with_root(limits(150));
    let first = bench.go(call(1));
    // The upstream counted more than was reserved; the budget still holds.
    bench.settle(first, completed(400));
    assert_eq!(bench.show(ROOT).used, Tokens(150));
    assert_eq!(bench.refusal(call(2)), ErrorKind::BudgetExceeded);
    assert_eq!(bench.show(ROOT).calls.len(), 1);
}

#[test]
fn grants_are_carved_and_come_back() {
    let mut bench = Bench::with_root(limits(1_000));
    let grant = |number, parent, budget| NewProgram {
        key: key(number),
        sub_agent: true,
        ..new_root(parent, limits(budget))
    };
    let child = ROOT.sub_agent(1);
    for _ in 0..2 {
        let created = bench.apply(Op::Create(grant(1, ROOT, 600)));
        assert_eq!(created, Reply::Created(child));
    }
    assert!(matches!(
        bench.apply(Op::Create(grant(2, ROOT, 600))),
        Reply::Refused(err) if err.kind == ErrorKind::BudgetExceeded
    ));
    let grandchild = ROOT.sub_agent(2);
    assert_eq!(
        bench.apply(Op::Create(grant(3, child, 200))),
        Reply::Created(grandchild)
    );
    let in_grandchild = Begin {
        program: grandchild,
        ..once(1)
    };
    let permit = bench.go(in_grandchild);
    bench.settle_in(grandchild, permit, Outcome::Unknown);
    assert_eq!(bench.apply(Op::End(child, OWNER)), Reply::Done);
    // What the lost attempt may still use stays set aside all the way up.
    assert_eq!(bench.show(ROOT).reserved, Tokens(100));
    bench.settle_in(grandchild, permit, completed(60));
    let status = bench.show(ROOT);
    assert_eq!((status.used, status.reserved), (Tokens(60), Tokens(0)));
    assert!(bench.show(grandchild).ended);
}

#[test]
fn loops_end() {
    let bounds = ProgramLimits {
        turns: 2,
        sub_agents: 2,
        depth: 1,
        lifetime_s: 10,
        ..limits(1_000)
    };
    let mut bench = Bench::with_root(bounds);
    for number in 1..=2 {
        let permit = bench.go(call(number));
        bench.settle(permit, completed(1));
    }
    assert_eq!(bench.refusal(call(3)), ErrorKind::ProgramLimit);

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
    assert_eq!(bench.apply(grant(1, ROOT)), Reply::Created(child));
    assert!(is_limit(bench.apply(grant(2, child))), "depth");
    bench.apply(grant(3, ROOT));
    assert!(is_limit(bench.apply(grant(4, ROOT))), "number");

    bench.now_ms += 10_000;
    assert_eq!(bench.refusal(call(4)), ErrorKind::ProgramEnded);
    assert!(bench.show(child).ended);
}

#[test]
fn old_configuration_and_missing_upstreams_get_no_permit() {
    let mut bench = Bench::with_root(limits(1_000));
    bench.apply(Op::ConfigFloor(ConfigIndex(5)));
    bench.apply(Op::ConfigFloor(ConfigIndex(3)));
    let stale = Begin {
        config: ConfigIndex(4),
        ..call(1)
    };
    assert_eq!(bench.refusal(stale.clone()), ErrorKind::ConfigStale);
    let current = Begin {
        config: ConfigIndex(5),
        ..call(1)
    };
    let nowhere = Begin {
        upstream: (UpstreamId(0), Incarnation(0)),
        ..current.clone()
    };
    assert_eq!(bench.refusal(nowhere), ErrorKind::NoUpstream);
    let permit = bench.go(current);
    bench.settle(permit, completed(1));
    // What is recorded is told to any entry.
    assert_eq!(bench.begin(stale), BeginReply::Replay(completed(1)));
}

#[test]
fn a_stranger_changes_nothing() {
    let mut bench = Bench::with_root(limits(1_000));
    let before = bench.show(ROOT);
    let stranger = Begin {
        account: AccountId(9),
        ..call(1)
    };
    assert_eq!(bench.refusal(stranger), ErrorKind::Forbidden);
    assert!(matches!(
        bench.apply(Op::End(ROOT, AccountId(9))),
        Reply::Refused(err) if err.kind == ErrorKind::Forbidden
    ));
    assert_eq!(bench.show(ROOT), before);
}

#[test]
fn a_call_of_its_own_ends_its_program() {
    let mut bench = Bench::new(LedgerLimits::default());
    let lone = Begin {
        implicit: Some(ProgramLimits {
            turns: 1,
            ..limits(100)
        }),
        ..once(1)
    };
    let greedy = Begin {
        reserve: Tokens(101),
        ..lone.clone()
    };
    assert_eq!(bench.refusal(greedy), ErrorKind::BudgetExceeded);
    assert_eq!(bench.ledger.program_count(), 0);
    let permit = bench.go(lone.clone());
    bench.settle(permit, completed(1));
    assert!(bench.show(ROOT).ended);
    assert_eq!(bench.begin(lone.clone()), BeginReply::Replay(completed(1)));

    // One that never ran leaves nothing behind.
    let refused = Begin {
        program: ProgramId::root(8),
        ..lone
    };
    let permit = bench.go(refused);
    bench.settle_in(ProgramId::root(8), permit, Outcome::NotRun);
    bench.apply(Op::GiveUp(ProgramId::root(8), key(1)));
    assert_eq!(bench.ledger.program_count(), 1);
    bench.ledger.assert_invariants();
}

#[test]
fn kept_programs_are_bounded_and_forgotten_in_time() {
    let mut bench = Bench::new(LedgerLimits {
        programs: 3,
        account_programs: 2,
        ..LedgerLimits::default()
    });
    let root = |number| Op::Create(new_root(ProgramId::root(number), limits(10)));
    bench.apply(root(1));
    bench.apply(root(2));
    let is = |reply, kind| matches!(reply, Reply::Refused(err) if err.kind == kind);
    assert!(is(bench.apply(root(3)), ErrorKind::AccountLimit));
    // An ended program keeps its place, and its outcomes, until its retention is over.
    bench.apply(Op::End(ProgramId::root(1), OWNER));
    assert!(is(bench.apply(root(3)), ErrorKind::AccountLimit));
    bench.now_ms += 900_000;
    assert_eq!(bench.apply(root(3)), Reply::Created(ProgramId::root(3)));
    assert_eq!(bench.ledger.program_count(), 2);
    bench.ledger.assert_invariants();
}
