//! Trial for upstream memory: blocks and exported copies of a program are
//! released after it has ended.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        random::{chance, draw, draw_ms, draw_slot},
    },
    indexmap::IndexMap,
    quay_ledger::{Answer, Command, Ledger, LedgerLimits, MemoryHistory, Op, Query, Reply},
    quay_policy::{Retention, RetentionAction, RetentionSettings},
    quay_quorum::StateMachine as _,
    quay_types::{
        AccountId, Epoch, GroupId, LogIndex, NewProgram, ProgramId, ProgramLimits, RequestKey, Time,
    },
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Maximum number of open programs.
const MAX_PROGRAMS: usize = 12;

/// Time within which the memory of an ended program must be released while the
/// ledger can be reached.
const RELEASE_LIMIT: Duration = Duration::from_secs(40);

/// Upstream memory and running calls of a program.
#[derive(Debug, Default)]
struct ProgramMemory {
    /// End times of the running calls.
    running: Vec<Time>,
    /// Whether the upstream holds blocks of the program.
    blocks: bool,
    /// Whether an exported copy exists.
    exported: bool,
}

/// A ledger, the retention policy of a sidecar, and the memory of an upstream.
pub struct ReleaseWorld {
    now: Time,
    ledger: Ledger<MemoryHistory>,
    index: u64,
    retention: Retention,
    upstream: IndexMap<ProgramId, ProgramMemory>,
    /// Open programs.
    open: Vec<ProgramId>,
    /// Ended programs whose release is not yet checked, with their end times.
    ended: IndexMap<ProgramId, Time>,
    next_root: u64,
    /// Time until which the sidecar cannot reach the ledger.
    unreachable_until: Time,
    /// Time since which the sidecar can reach the ledger.
    reachable_since: Time,
}

impl Trial for ReleaseWorld {
    fn new(_: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        let mutated = decisions == Decisions::Mutated;
        let settings = RetentionSettings {
            release: !mutated,
            ..RetentionSettings::default()
        };
        Self {
            now: Time::from_millis(1),

            ledger: Ledger::new(GroupId(1), LedgerLimits::default()),
            index: 0,
            retention: Retention::new(settings),
            upstream: IndexMap::new(),
            open: Vec::new(),
            ended: IndexMap::new(),
            next_root: 0,
            unreachable_until: Time::ZERO,
            reachable_since: Time::ZERO,
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + draw_ms(rng, 200);
        if self.open.len() < MAX_PROGRAMS && chance(rng, 200) {
            self.create_program();
        }
        if !self.open.is_empty() {
            let slot = draw_slot(rng, self.open.len());
            match draw(rng, 20) {
                0 => self.end_program(slot, rng),
                1..=6 => self.start_call(slot, rng),
                _ => {}
            }
        }
        if chance(rng, 5) {
            score.record_fault();
            self.unreachable_until = self.now + draw_ms(rng, 60_000);
        }
        self.process_due(score);
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.unreachable_until = Time::ZERO;
        while !self.open.is_empty() {
            self.end_program(0, rng);
        }
        for _ in 0..600 {
            self.now = self.now + Duration::from_millis(200);
            self.process_due(score);
        }
        let held = self
            .upstream
            .values()
            .filter(|memory| memory.blocks || memory.exported)
            .count();
        score.check(held == 0, || {
            format!("memory of {held} ended programs is still held")
        });
    }
}

impl ReleaseWorld {
    /// Applies a command to the ledger.
    fn apply(&mut self, op: Op) -> Reply {
        self.index += 1;
        let command = Command {
            at_ms: self.now.as_millis(),
            op,
        };
        self.ledger.apply(LogIndex(self.index), Epoch(1), command)
    }

    /// Creates a program.
    fn create_program(&mut self) {
        self.next_root += 1;
        let program = ProgramId::root(self.next_root);
        self.apply(Op::Create(NewProgram {
            account: AccountId(1),
            key: RequestKey(u128::from(self.next_root) << 64),
            program,
            sub_agent: false,
            limits: ProgramLimits::default(),
        }));
        self.open.push(program);
    }

    /// Ends a program; the notification to the sidecar may be lost.
    fn end_program(&mut self, slot: usize, rng: &mut ChaCha8Rng) {
        let program = self.open.swap_remove(slot);
        self.apply(Op::End(program, AccountId(1)));
        self.ended.insert(program, self.now);
        if self.now >= self.unreachable_until && chance(rng, 500) {
            let action = self.retention.program_ended(program);
            self.run_actions(action);
        }
    }

    /// Starts a call of a program on the upstream.
    fn start_call(&mut self, slot: usize, rng: &mut ChaCha8Rng) {
        let program = self.open[slot];
        let actions = self.retention.call_started(self.now, program);
        self.run_actions(actions);
        let ends = self.now + draw_ms(rng, 5_000);
        let memory = self.upstream.entry(program).or_default();
        memory.running.push(ends);
        memory.blocks = true;
    }

    /// Completes finished calls, runs the due retention actions and checks the
    /// promise.
    fn process_due(&mut self, score: &mut Score) {
        let now = self.now;
        let mut finished = Vec::new();
        for (program, memory) in &mut self.upstream {
            let done = memory.running.extract_if(.., |ends| *ends <= now).count();
            finished.extend(std::iter::repeat_n(*program, done));
        }
        for program in finished {
            // A finished call leaves its blocks in the upstream's cache.
            self.upstream.entry(program).or_default().blocks = true;
            let action = self.retention.call_ended(now, program);
            self.run_actions(action);
        }
        let actions = self.retention.tick(now);
        self.run_actions(actions);
        self.check_release(score);
    }

    /// Executes the actions requested by the retention policy.
    fn run_actions(&mut self, actions: impl IntoIterator<Item = RetentionAction>) {
        for action in actions {
            match action {
                RetentionAction::Export(program) => {
                    let memory = self.upstream.entry(program).or_default();
                    memory.exported = memory.blocks;
                    memory.blocks = !memory.running.is_empty();
                }
                RetentionAction::Import(program) => {
                    let memory = self.upstream.entry(program).or_default();
                    memory.blocks |= std::mem::take(&mut memory.exported);
                }
                RetentionAction::Release(program) => {
                    if let Some(memory) = self.upstream.get_mut(&program) {
                        memory.blocks = !memory.running.is_empty();
                        memory.exported = false;
                    }
                }
                RetentionAction::QueryEnded(programs) => self.query_ended(programs),
            }
        }
    }

    /// Queries the ledger for ended programs, if it can be reached.
    fn query_ended(&mut self, programs: Box<[ProgramId]>) {
        if self.now < self.unreachable_until {
            self.reachable_since = self.unreachable_until;
            return;
        }
        let Answer::Ended(ended) = self.ledger.query(&Query::Ended(programs)) else {
            return;
        };
        for program in ended {
            let action = self.retention.program_ended(program);
            self.run_actions(action);
        }
    }

    /// Checks that nothing is held for a program that ended at least
    /// `RELEASE_LIMIT` ago.
    fn check_release(&mut self, score: &mut Score) {
        if self.now < self.unreachable_until || self.now.since(self.reachable_since) < RELEASE_LIMIT
        {
            return;
        }
        let now = self.now;
        let due = |since: &Time| now.since(*since) >= RELEASE_LIMIT;
        let due: Vec<_> = self
            .ended
            .iter()
            .filter(|(_, since)| due(since))
            .map(|(id, _)| *id)
            .collect();
        for program in due {
            let held = self
                .upstream
                .get(&program)
                .is_some_and(|memory| memory.blocks || memory.exported);
            score.check(!held, || {
                format!("memory of {program} is held after the limit")
            });
            self.ended.swap_remove(&program);
            if !held {
                self.upstream.swap_remove(&program);
            }
        }
    }
}
