//! The world of calls and its faults.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        calls::{
            entry::Request,
            sidecar::Sidecar,
            truth::{Call, Truth},
        },
        chance::draw,
    },
    indexmap::IndexMap,
    quay_ledger::{Ledger, LedgerLimits, MemoryHistory, Reply},
    quay_types::{
        AccountId, Begin, BeginReply, GroupId, LogIndex, Outcome, Permit, PermitStatus, ProgramId,
        RequestKey, Settle, Time, Tokens,
    },
    rand::Rng as _,
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Sidecars of a world.
pub(super) const SIDECARS: u64 = 4;

/// Programs under way at a time.
pub(super) const PROGRAMS: usize = 6;

/// Calls of a program at most.
pub(super) const CALLS: u32 = 6;

/// Budget of a root program.
pub(super) const BUDGET: Tokens = Tokens(2_000);

/// Attempts of one request at most.
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// How long a request waits for one answer.
pub(super) const PATIENCE: Duration = Duration::from_secs(3);

/// Time from asking for a permit within which an entry lets a call start.
pub(super) const CONFIRM_LIMIT: Duration = Duration::from_secs(8);

/// How long a sidecar waits for an entry's word.
pub(super) const SILENCE: Duration = Duration::from_secs(5);

/// Longest time that something stands still, in milliseconds.
pub(super) const LONGEST_FREEZE_MS: u64 = 20_000;

/// The stream that a message belongs to: answers to an earlier question of the
/// same request are not heard any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Stream {
    /// The request.
    pub request: u64,
    /// Counts the request's questions.
    pub question: u32,
}

/// A message under way.
#[derive(Debug, Clone)]
pub(super) enum Message {
    /// To the ledger.
    Begin(Stream, Begin),
    /// To the ledger.
    Settle(Stream, Settle),
    /// To the sidecar in the permit.
    Deliver(Stream, Permit),
    /// To the sidecar in the permit: the call may start.
    Proceed(Stream, Permit),
    /// To the sidecar in the permit.
    Inquire(Stream, Permit),
    /// To an entry: its call waits for its word.
    Ready(Stream, Permit),
    /// To an entry: what the ledger says.
    Begun(Stream, BeginReply),
    /// To an entry: what the ledger has recorded.
    Settled(Stream, Reply),
    /// To an entry: how its attempt ended.
    Ended(Stream, Outcome),
    /// To an entry: what a sidecar says of a permit.
    Fate(Stream, PermitStatus),
}

/// Callers, entries, a ledger and sidecars.
pub struct CallWorld {
    pub(super) promise: Promise,
    pub(super) mutated: bool,
    pub(super) now: Time,
    pub(super) ledger: Ledger<MemoryHistory>,
    pub(super) index: LogIndex,
    pub(super) sidecars: Vec<Sidecar>,
    pub(super) wire: Vec<(Time, Message)>,
    pub(super) requests: IndexMap<u64, Request>,
    pub(super) next_request: u64,
    pub(super) calls: Vec<Call>,
    /// Programs under way, with the slots of their calls.
    pub(super) programs: IndexMap<ProgramId, Vec<usize>>,
    pub(super) next_root: u64,
    pub(super) truth: Truth,
}

impl Trial for CallWorld {
    fn new(promise: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        Self {
            promise,
            mutated: decisions == Decisions::Mutated,
            now: Time::from_millis(1),
            ledger: Ledger::new(GroupId(1), limits(promise, decisions)),
            index: LogIndex(0),
            sidecars: (0..SIDECARS).map(Sidecar::new).collect(),
            wire: Vec::new(),
            requests: IndexMap::new(),
            next_request: 0,
            calls: Vec::new(),
            programs: IndexMap::new(),
            next_root: 0,
            truth: Truth::default(),
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + Duration::from_millis(1 + rng.next_u64() % 40);
        self.callers(rng);
        self.faults(rng, score);
        self.turn(rng, score);
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        // Nothing new; all that is frozen thaws, all that is late arrives.
        for _ in 0..2_000 {
            self.now = self.now + Duration::from_millis(50);
            self.turn(rng, score);
        }
        self.ledger.assert_invariants();
        self.test_histories(score);
    }
}

impl CallWorld {
    /// Lets messages arrive, upstreams finish and requests go on.
    pub(super) fn turn(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.finish_attempts(rng, score);
        self.refuse_unconfirmed(rng);
        self.deliver_due(rng, score);
        let ids: Vec<u64> = self.requests.keys().copied().collect();
        for id in ids {
            self.go_on(id, rng, score);
        }
    }

    /// Counts a test of `promise` if it is the one of this run.
    pub(super) fn test(
        &self,
        promise: Promise,
        score: &mut Score,
        held: bool,
        what: impl FnOnce() -> String,
    ) {
        if self.promise == promise {
            score.test(held, || {
                format!("at {} ms: {}", self.now.as_millis(), what())
            });
        }
    }

    /// Whether the decision that carries `promise` is wrong on purpose.
    pub(super) fn wrong(&self, promise: Promise) -> bool {
        self.mutated && self.promise == promise
    }
}

/// Bounds of the ledger; wrong ones let a later call start while one whose
/// outcome is unknown may still start.
fn limits(promise: Promise, decisions: Decisions) -> LedgerLimits {
    let wrong = promise == Promise::Order && decisions == Decisions::Mutated;
    let limits = LedgerLimits::default();
    LedgerLimits {
        start_limit_ms: if wrong { 0 } else { limits.start_limit_ms },
        ..limits
    }
}

/// The account of every caller here.
pub(super) fn account() -> AccountId {
    AccountId(1)
}

/// Key of the call in a slot.
pub(super) fn key_of(slot: usize) -> RequestKey {
    // Distinct in the upper half too, which the ledger keeps fingerprints of.
    RequestKey((slot as u128 + 1) << 64 | slot as u128)
}

/// Slot of the call with a key.
pub(super) fn call_of(key: RequestKey) -> Option<usize> {
    usize::try_from(key.0 & u128::from(u64::MAX)).ok()
}

/// The answer of the attempt that a log entry gave leave for.
pub(super) fn answer_of(index: LogIndex) -> Box<[u8]> {
    index.0.to_le_bytes().into()
}

/// How long something stands still.
pub(super) fn freeze(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(draw(rng, LONGEST_FREEZE_MS))
}
