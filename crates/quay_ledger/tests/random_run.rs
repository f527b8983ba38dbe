//! Long seeded runs and generated command sequences; the ledger asserts its
//! own invariants, and a small model of the callers checks its answers.

mod common;

use {
    common::{Bench, OWNER, completed, key, limits, new_root},
    indexmap::IndexMap,
    proptest::prelude::*,
    quay_ledger::{Command, Ledger, LedgerLimits, LedgerSnapshot, MemoryHistory, Op, Reply},
    quay_quorum::StateMachine as _,
    quay_types::{
        Begin, BeginReply, ConfigIndex, ContentDigest, Epoch, GroupId, Incarnation, LogIndex,
        NewProgram, Outcome, Permit, PermitId, ProgramId, ProgramLimits, RequestKey, Settle,
        Tokens, UpstreamId,
    },
    rand::SeedableRng as _,
    rand_chacha::ChaCha8Rng,
};

const SEED: u64 = 4;
const STEPS: u64 = 100_000;
const PROGRAMS: u64 = 12;
const STEPS_A_PROGRAM: u64 = 100;
const RECENT_KEYS: usize = 100;

/// What the callers have been told of one key.
#[derive(Default)]
struct Told {
    permits: Vec<Permit>,
    refused: Vec<PermitId>,
    outcome: Option<Outcome>,
    live: Option<PermitId>,
    given_up: bool,
}

/// Callers with their own view of what must hold.
struct Callers {
    rng: ChaCha8Rng,
    step: u64,
    told: IndexMap<(ProgramId, RequestKey), Told>,
    open: IndexMap<ProgramId, RequestKey>,
    go: u32,
    replays: u32,
    superseded: u32,
}

impl Callers {
    /// A root of the few in use now; they change in the course of the run.
    fn root(&mut self) -> ProgramId {
        let first = self.step / STEPS_A_PROGRAM;
        ProgramId::root(self.rng.random_range(first..first + PROGRAMS))
    }

    fn program(&mut self) -> ProgramId {
        let root = self.root();
        root.sub_agent(self.rng.random_range(0..3))
    }

    fn begin(&mut self) -> Begin {
        let number = self.rng.random_range(1..=10);
        Begin {
            program: self.program(),
            account: OWNER,
            implicit: None,
            number: None,
            key: key(number),
            digest: ContentDigest::of(&[&number.to_le_bytes()]),
            reserve: Tokens(self.rng.random_range(0..200)),
            idempotent: number % 2 == 0,
            upstream: (UpstreamId(1), Incarnation(1)),
            config: ConfigIndex(0),
            prompt: Box::from(*b"p"),
        }
    }

    fn outcome(&mut self) -> Outcome {
        match self.rng.random_range(0..4) {
            0 => Outcome::NotRun,
            1 => Outcome::Unknown,
            _ => completed(self.rng.random_range(0..250)),
        }
    }

    fn op(&mut self) -> Op {
        match self.rng.random_range(0..100) {
            0..8 => Op::Create(NewProgram {
                key: key(self.rng.random_range(100..102)),
                sub_agent: true,
                ..new_root(self.program(), limits(300))
            }),
            8..14 => Op::Create(new_root(self.root(), limits(1_500))),
            14..16 => Op::End(self.program(), OWNER),
            16..55 => Op::Begin(self.begin()),
            55..60 => Op::GiveUp(self.program(), key(self.rng.random_range(1..=10))),
            _ => self.settle(),
        }
    }

    /// Settles some permit, also one that was settled before.
    fn settle(&mut self) -> Op {
        if self.told.is_empty() {
            return Op::Expire;
        }
        let recent = self.told.len().min(RECENT_KEYS);
        let slot = self.told.len() - 1 - self.rng.random_range(0..recent);
        let ((program, _), told) = self.told.get_index(slot).expect("slot");
        let (program, permits) = (*program, told.permits.clone());
        if permits.is_empty() {
            return Op::Expire;
        }
        let permit = permits[self.rng.random_range(0..permits.len())];
        Op::Settle(Settle {
            program,
            permit,
            outcome: self.outcome(),
        })
    }

    /// Checks an answer against all that was told before.
    fn hear(&mut self, op: &Op, reply: &Reply) {
        match (op, reply) {
            (Op::Begin(begin), Reply::Begin(reply)) => self.hear_begin(begin, reply),
            (Op::Settle(settle), reply) => self.hear_settle(settle, reply),
            (Op::GiveUp(program, key), _) if self.open.get(program) == Some(key) => {
                let told = &mut self.told[&(*program, *key)];
                told.given_up = told.live.is_none();
            }
            _ => {}
        }
    }

    /// Takes note that a call which was given up makes room for another.
    fn pass_over(&mut self, program: ProgramId, key: RequestKey) {
        let Some(open) = self.open.get(&program).copied().filter(|open| *open != key) else {
            return;
        };
        let told = &mut self.told[&(program, open)];
        assert!(told.given_up, "two open calls");
        told.given_up = false;
        if told.permits.len() > told.refused.len() {
            told.outcome = Some(Outcome::Unknown);
        }
    }

    fn hear_begin(&mut self, begin: &Begin, reply: &BeginReply) {
        if matches!(reply, BeginReply::Granted { .. }) {
            self.pass_over(begin.program, begin.key);
        }
        let told = self.told.entry((begin.program, begin.key)).or_default();
        match reply {
            BeginReply::Granted { permit, .. } => {
                assert_eq!(told.outcome, None, "an ended call runs again");
                assert!(
                    begin.idempotent || told.permits.len() == told.refused.len(),
                    "two permits for a call that may not run twice"
                );
                self.open.insert(begin.program, begin.key);
                told.permits.push(*permit);
                told.live = Some(permit.id);
                told.given_up = false;
                self.go += 1;
            }
            BeginReply::Replay(outcome) => {
                assert_eq!(told.outcome.as_ref(), Some(outcome), "a replay differs");
                self.replays += 1;
            }
            BeginReply::Running(permit) => assert_eq!(told.permits.last(), Some(permit)),
            BeginReply::Wait(_) | BeginReply::Refused(_) => {}
        }
    }

    fn hear_settle(&mut self, settle: &Settle, reply: &Reply) {
        let told = &mut self.told[&(settle.program, settle.permit.key)];
        if told.live == Some(settle.permit.id) {
            told.live = None;
        }
        match reply {
            Reply::Superseded(outcome) => {
                assert_eq!(told.outcome.as_ref(), Some(outcome));
                self.superseded += 1;
            }
            Reply::Done if told.outcome.is_none() => {
                let idempotent = (settle.permit.key.0 >> 64).is_multiple_of(2);
                let refused = told.refused.contains(&settle.permit.id);
                match settle.outcome {
                    Outcome::NotRun if !refused => told.refused.push(settle.permit.id),
                    Outcome::NotRun => {}
                    Outcome::Unknown if idempotent || refused => {}
                    _ => {
                        told.outcome = Some(settle.outcome.clone());
                        self.open.swap_remove(&settle.program);
                    }
                }
            }
            _ => {}
        }
    }
}

#[test]
fn a_long_random_run_keeps_every_promise() {
    let mut bench = Bench::new(LedgerLimits {
        // Nothing is forgotten in this run, so the callers' view stays whole.
        retention_s: u32::MAX,
        ..LedgerLimits::default()
    });
    let mut callers = Callers {
        rng: ChaCha8Rng::seed_from_u64(SEED),
        step: 0,
        told: IndexMap::new(),
        open: IndexMap::new(),
        go: 0,
        replays: 0,
        superseded: 0,
    };
    for step in 0..STEPS {
        callers.step = step;
        let op = callers.op();
        let reply = bench.apply(op.clone());
        callers.hear(&op, &reply);
        if step % 1_000 == 0 {
            bench.ledger.assert_invariants();
            let bytes = postcard::to_stdvec(&bench.ledger.snapshot()).expect("encode");
            let copy: LedgerSnapshot<_> = postcard::from_bytes(&bytes).expect("decode");
            bench.ledger.restore(copy);
        }
    }
    let seen = (callers.go, callers.replays, callers.superseded);
    assert!(seen.0.min(seen.1).min(seen.2) > 500, "{seen:?}");
}

/// A command of a generated sequence, by small numbers.
#[derive(Debug, Clone)]
enum Step {
    Create(u64),
    Grant(u64, u32, u64),
    Begin(u64, u32, u64, u64),
    SettleLast(usize, u8),
    End(u64, u32),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..3u64).prop_map(Step::Create),
        (1..3u64, 0..2u32, 0..400u64)
            .prop_map(|(root, branch, budget)| Step::Grant(root, branch, budget)),
        (1..3u64, 0..3u32, 1..5u64, 0..300u64)
            .prop_map(|(root, branch, number, reserve)| Step::Begin(root, branch, number, reserve)),
        (0..4usize, 0..4u8).prop_map(|(back, outcome)| Step::SettleLast(back, outcome)),
        (1..3u64, 0..3u32).prop_map(|(root, branch)| Step::End(root, branch)),
        (0..40_000u64).prop_map(Step::Pass),
    ]
}

/// The operation of a step; permits come from earlier replies.
fn op_of(step: &Step, permits: &[(ProgramId, Permit)]) -> Op {
    let program = |root, branch| ProgramId::root(root).sub_agent(branch);
    let short = |budget| ProgramLimits {
        lifetime_s: 60,
        ..limits(budget)
    };
    match *step {
        Step::Create(root) => Op::Create(new_root(program(root, 0), short(1_000))),
        Step::Grant(root, branch, budget) => Op::Create(NewProgram {
            key: key(budget),
            sub_agent: true,
            ..new_root(program(root, branch), short(budget))
        }),
        Step::Begin(root, branch, number, reserve) => Op::Begin(Begin {
            program: program(root, branch),
            reserve: Tokens(reserve),
            ..common::once(number)
        }),
        Step::SettleLast(back, outcome) => match permits.iter().rev().nth(back) {
            Some((program, permit)) => Op::Settle(Settle {
                program: *program,
                permit: *permit,
                outcome: match outcome {
                    0 => Outcome::NotRun,
                    1 => Outcome::Unknown,
                    used => completed(u64::from(used) * 70),
                },
            }),
            None => Op::Expire,
        },
        Step::End(root, branch) => Op::End(program(root, branch), OWNER),
        Step::Pass(_) => Op::Expire,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Equal commands lead to equal states, resends change nothing, and a copy
    /// restored from a snapshot goes on as the original.
    #[test]
    fn replicas_agree_and_resends_change_nothing(steps in prop::collection::vec(step(), 1..120)) {
        let bounds = LedgerLimits { retention_s: 30, ..LedgerLimits::default() };
        let mut one = Ledger::<MemoryHistory>::new(GroupId(1), bounds);
        let mut two = Ledger::<MemoryHistory>::new(GroupId(1), bounds);
        let (mut at_ms, mut index) = (1_000, 0);
        let mut permits = Vec::new();
        for step in &steps {
            if let Step::Pass(span) = step {
                at_ms += span;
            }
            let op = op_of(step, &permits);
            let command = Command { at_ms, op: op.clone() };
            index += 1;
            let reply = one.apply(LogIndex(index), Epoch(1), command.clone());
            prop_assert_eq!(&two.apply(LogIndex(index), Epoch(1), command.clone()), &reply);
            if let (Op::Begin(begin), Reply::Begin(BeginReply::Granted { permit, .. })) = (&op, &reply) {
                permits.push((begin.program, *permit));
            }
            let before = one.snapshot();
            index += 1;
            let resent = one.apply(LogIndex(index), Epoch(1), command);
            match (&reply, resent) {
                (Reply::Begin(BeginReply::Granted { permit, .. }), Reply::Begin(BeginReply::Running(same))) => {
                    prop_assert_eq!(*permit, same);
                }
                (first, resent) => prop_assert_eq!(first, &resent),
            }
            prop_assert!(one.snapshot() == before, "a resend changed the state");
            two.restore(one.snapshot());
            one.assert_invariants();
        }
    }
}
