//! Applies long random command sequences to the ledger. The ledger asserts its
//! own invariants, and a model of the callers checks the replies.

mod common;

use {
    common::{LedgerHarness, OWNER, completed, key, limits, new_root},
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
const STEPS_PER_PROGRAM: u64 = 100;
const RECENT_KEYS: usize = 100;

/// State of a call as known to its callers from the replies.
#[derive(Default)]
struct CallView {
    permits: Vec<Permit>,
    refused: Vec<PermitId>,
    outcome: Option<Outcome>,
    active_permit: Option<PermitId>,
    given_up: bool,
}

/// Model of the callers. Generates operations and checks the ledger's replies
/// against all earlier replies.
struct CallerModel {
    rng: ChaCha8Rng,
    step: u64,
    calls: IndexMap<(ProgramId, RequestKey), CallView>,
    open: IndexMap<ProgramId, RequestKey>,
    granted: u32,
    replays: u32,
    superseded: u32,
}

impl CallerModel {
    /// Random root program from a window that moves in the course of the run.
    fn root(&mut self) -> ProgramId {
        let first = self.step / STEPS_PER_PROGRAM;
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

    /// Settles a random permit, which may already be settled.
    fn settle(&mut self) -> Op {
        if self.calls.is_empty() {
            return Op::Expire;
        }
        let recent = self.calls.len().min(RECENT_KEYS);
        let slot = self.calls.len() - 1 - self.rng.random_range(0..recent);
        let ((program, _), call) = self.calls.get_index(slot).expect("slot");
        let (program, permits) = (*program, call.permits.clone());
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

    /// Checks a reply against all earlier replies.
    fn check_reply(&mut self, op: &Op, reply: &Reply) {
        match (op, reply) {
            (Op::Begin(begin), Reply::Begin(reply)) => self.check_begin(begin, reply),
            (Op::Settle(settle), reply) => self.check_settle(settle, reply),
            (Op::GiveUp(program, key), _) if self.open.get(program) == Some(key) => {
                let call = &mut self.calls[&(*program, *key)];
                call.given_up = call.active_permit.is_none();
            }
            _ => {}
        }
    }

    /// Checks that the previous open call was given up when another call starts.
    fn resolve_given_up(&mut self, program: ProgramId, key: RequestKey) {
        let Some(open) = self.open.get(&program).copied().filter(|open| *open != key) else {
            return;
        };
        let call = &mut self.calls[&(program, open)];
        assert!(
            call.given_up,
            "a second call was opened although the first was not given up"
        );
        call.given_up = false;
        if call.permits.len() > call.refused.len() {
            call.outcome = Some(Outcome::Unknown);
        }
    }

    fn check_begin(&mut self, begin: &Begin, reply: &BeginReply) {
        if matches!(reply, BeginReply::Granted { .. }) {
            self.resolve_given_up(begin.program, begin.key);
        }
        let call = self.calls.entry((begin.program, begin.key)).or_default();
        match reply {
            BeginReply::Granted { permit, .. } => {
                assert_eq!(call.outcome, None, "an ended call got another permit");
                assert!(
                    begin.idempotent || call.permits.len() == call.refused.len(),
                    "a call that may not run twice got a second permit"
                );
                self.open.insert(begin.program, begin.key);
                call.permits.push(*permit);
                call.active_permit = Some(permit.id);
                call.given_up = false;
                self.granted += 1;
            }
            BeginReply::Replay(outcome) => {
                assert_eq!(
                    call.outcome.as_ref(),
                    Some(outcome),
                    "a replay differs from the recorded outcome"
                );
                self.replays += 1;
            }
            BeginReply::Running(permit) => assert_eq!(call.permits.last(), Some(permit)),
            BeginReply::Wait(_) | BeginReply::Refused(_) => {}
        }
    }

    fn check_settle(&mut self, settle: &Settle, reply: &Reply) {
        let call = &mut self.calls[&(settle.program, settle.permit.key)];
        if call.active_permit == Some(settle.permit.id) {
            call.active_permit = None;
        }
        match reply {
            Reply::Superseded(outcome) => {
                assert_eq!(call.outcome.as_ref(), Some(outcome));
                self.superseded += 1;
            }
            Reply::Done if call.outcome.is_none() => {
                let idempotent = (settle.permit.key.0 >> 64).is_multiple_of(2);
                let refused = call.refused.contains(&settle.permit.id);
                match settle.outcome {
                    Outcome::NotRun if !refused => call.refused.push(settle.permit.id),
                    Outcome::NotRun => {}
                    Outcome::Unknown if idempotent || refused => {}
                    _ => {
                        call.outcome = Some(settle.outcome.clone());
                        self.open.swap_remove(&settle.program);
                    }
                }
            }
            _ => {}
        }
    }
}

#[test]
fn a_long_random_run_gives_consistent_replies() {
    let mut harness = LedgerHarness::new(LedgerLimits {
        // The ledger removes no program during the run, so that the callers' view
        // stays complete.
        retention_s: u32::MAX,
        ..LedgerLimits::default()
    });
    let mut model = CallerModel {
        rng: ChaCha8Rng::seed_from_u64(SEED),
        step: 0,
        calls: IndexMap::new(),
        open: IndexMap::new(),
        granted: 0,
        replays: 0,
        superseded: 0,
    };
    for step in 0..STEPS {
        model.step = step;
        let op = model.op();
        let reply = harness.apply(op.clone());
        model.check_reply(&op, &reply);
        if step % 1_000 == 0 {
            harness.ledger.assert_invariants();
            let bytes = postcard::to_stdvec(&harness.ledger.snapshot()).expect("encode");
            let copy: LedgerSnapshot<_> = postcard::from_bytes(&bytes).expect("decode");
            harness.ledger.restore(copy);
        }
    }
    let seen = (model.granted, model.replays, model.superseded);
    assert!(seen.0.min(seen.1).min(seen.2) > 500, "{seen:?}");
}

/// Operation of a generated sequence, described by small numbers.
#[derive(Debug, Clone)]
enum Step {
    Create(u64),
    CreateSubAgent(u64, u32, u64),
    Begin(u64, u32, u64, u64),
    SettleLast(usize, u8),
    End(u64, u32),
    AdvanceTime(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..3u64).prop_map(Step::Create),
        (1..3u64, 0..2u32, 0..400u64)
            .prop_map(|(root, branch, budget)| Step::CreateSubAgent(root, branch, budget)),
        (1..3u64, 0..3u32, 1..5u64, 0..300u64)
            .prop_map(|(root, branch, number, reserve)| Step::Begin(root, branch, number, reserve)),
        (0..4usize, 0..4u8).prop_map(|(back, outcome)| Step::SettleLast(back, outcome)),
        (1..3u64, 0..3u32).prop_map(|(root, branch)| Step::End(root, branch)),
        (0..40_000u64).prop_map(Step::AdvanceTime),
    ]
}

/// Ledger operation of a step; `permits` are those of earlier replies.
fn op_of(step: &Step, permits: &[(ProgramId, Permit)]) -> Op {
    let program = |root, branch| ProgramId::root(root).sub_agent(branch);
    let short = |budget| ProgramLimits {
        lifetime_s: 60,
        ..limits(budget)
    };
    match *step {
        Step::Create(root) => Op::Create(new_root(program(root, 0), short(1_000))),
        Step::CreateSubAgent(root, branch, budget) => Op::Create(NewProgram {
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
        Step::AdvanceTime(_) => Op::Expire,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Replicas that apply the same commands return the same replies, resends
    /// change nothing, and a replica restored from a snapshot behaves like the
    /// original.
    #[test]
    fn replicas_agree_and_resends_change_nothing(steps in prop::collection::vec(step(), 1..120)) {
        let bounds = LedgerLimits { retention_s: 30, ..LedgerLimits::default() };
        let mut one = Ledger::<MemoryHistory>::new(GroupId(1), bounds);
        let mut two = Ledger::<MemoryHistory>::new(GroupId(1), bounds);
        let (mut at_ms, mut index) = (1_000, 0);
        let mut permits = Vec::new();
        for step in &steps {
            if let Step::AdvanceTime(span) = step {
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
