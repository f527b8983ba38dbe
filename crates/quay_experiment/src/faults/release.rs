//! Engine memory: what a program held is released once it has ended.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        chance::{chance, draw, draw_ms, draw_slot},
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

/// Programs under way at a time.
const PROGRAMS: usize = 12;

/// Memory of an ended program is released within this, while the ledger answers.
const RELEASE_LIMIT: Duration = Duration::from_secs(40);

/// What the upstream holds for a program.
#[derive(Debug, Default)]
struct Held {
    /// Calls that run.
    running: Vec<Time>,
    /// Whether blocks are held in the upstream.
    blocks: bool,
    /// Whether a copy was exported.
    exported: bool,
}

/// A ledger, a sidecar's retention and an upstream's memory.
pub struct ReleaseWorld {
    now: Time,
    ledger: Ledger<MemoryHistory>,
    index: u64,
    retention: Retention,
    upstream: IndexMap<ProgramId, Held>,
    /// Programs under way.
    open: Vec<ProgramId>,
    /// Programs that have ended, since when.
    ended: IndexMap<ProgramId, Time>,
    next_root: u64,
    /// The sidecar does not reach the ledger until then.
    cut_until: Time,
    /// Since when it does.
    whole_since: Time,
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
            cut_until: Time::ZERO,
            whole_since: Time::ZERO,
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + draw_ms(rng, 200);
        if self.open.len() < PROGRAMS && chance(rng, 200) {
            self.create();
        }
        if !self.open.is_empty() {
            let slot = draw_slot(rng, self.open.len());
            match draw(rng, 20) {
                0 => self.end(slot, rng),
                1..=6 => self.call(slot, rng),
                _ => {}
            }
        }
        if chance(rng, 5) {
            score.fault();
            self.cut_until = self.now + draw_ms(rng, 60_000);
        }
        self.turn(score);
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.cut_until = Time::ZERO;
        while !self.open.is_empty() {
            self.end(0, rng);
        }
        for _ in 0..600 {
            self.now = self.now + Duration::from_millis(200);
            self.turn(score);
        }
        let held = self
            .upstream
            .values()
            .filter(|held| held.blocks || held.exported)
            .count();
        score.test(held == 0, || {
            format!("memory of {held} ended programs is still held")
        });
    }
}

impl ReleaseWorld {
    /// Commits a command.
    fn apply(&mut self, op: Op) -> Reply {
        self.index += 1;
        let command = Command {
            at_ms: self.now.as_millis(),
            op,
        };
        self.ledger.apply(LogIndex(self.index), Epoch(1), command)
    }

    /// A program starts.
    fn create(&mut self) {
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

    /// A program ends; the notice to the sidecar may get lost.
    fn end(&mut self, slot: usize, rng: &mut ChaCha8Rng) {
        let program = self.open.swap_remove(slot);
        self.apply(Op::End(program, AccountId(1)));
        self.ended.insert(program, self.now);
        if self.now >= self.cut_until && chance(rng, 500) {
            let action = self.retention.program_ended(program);
            self.act(action);
        }
    }

    /// A call of a program starts on the upstream.
    fn call(&mut self, slot: usize, rng: &mut ChaCha8Rng) {
        let program = self.open[slot];
        let actions = self.retention.call_started(self.now, program);
        self.act(actions);
        let ends = self.now + draw_ms(rng, 5_000);
        let held = self.upstream.entry(program).or_default();
        held.running.push(ends);
        held.blocks = true;
    }

    /// Lets calls finish and the sidecar do what is due.
    fn turn(&mut self, score: &mut Score) {
        let now = self.now;
        let mut finished = Vec::new();
        for (program, held) in &mut self.upstream {
            let done = held.running.extract_if(.., |ends| *ends <= now).count();
            finished.extend(std::iter::repeat_n(*program, done));
        }
        for program in finished {
            // A finished call leaves its blocks in the upstream's cache.
            self.upstream.entry(program).or_default().blocks = true;
            let action = self.retention.call_ended(now, program);
            self.act(action);
        }
        let actions = self.retention.tick(now);
        self.act(actions);
        self.test_release(score);
    }

    /// Does what the retention asks for.
    fn act(&mut self, actions: impl IntoIterator<Item = RetentionAction>) {
        for action in actions {
            match action {
                RetentionAction::Export(program) => {
                    let held = self.upstream.entry(program).or_default();
                    held.exported = held.blocks;
                    held.blocks = !held.running.is_empty();
                }
                RetentionAction::Import(program) => {
                    let held = self.upstream.entry(program).or_default();
                    held.blocks |= std::mem::take(&mut held.exported);
                }
                RetentionAction::Release(program) => {
                    if let Some(held) = self.upstream.get_mut(&program) {
                        held.blocks = !held.running.is_empty();
                        held.exported = false;
                    }
                }
                RetentionAction::QueryEnded(programs) => self.sweep(programs),
            }
        }
    }

    /// Asks the ledger which programs have ended, if it can be reached.
    fn sweep(&mut self, programs: Box<[ProgramId]>) {
        if self.now < self.cut_until {
            self.whole_since = self.cut_until;
            return;
        }
        let Answer::Ended(ended) = self.ledger.query(&Query::Ended(programs)) else {
            return;
        };
        for program in ended {
            let action = self.retention.program_ended(program);
            self.act(action);
        }
    }

    /// Nothing is held for a program that ended long enough ago.
    fn test_release(&mut self, score: &mut Score) {
        if self.now < self.cut_until || self.now.since(self.whole_since) < RELEASE_LIMIT {
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
                .is_some_and(|held| held.blocks || held.exported);
            score.test(!held, || {
                format!("memory of {program} is held after the limit")
            });
            self.ended.swap_remove(&program);
            if !held {
                self.upstream.swap_remove(&program);
            }
        }
    }
}
