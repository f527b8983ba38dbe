//! State of the call simulation.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        calls::{
            entry::Request,
            ground_truth::{Call, GroundTruth},
            sidecar::Sidecar,
        },
        random::draw,
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

/// Number of sidecars.
pub(super) const SIDECARS: u64 = 4;

/// Maximum number of open programs.
pub(super) const MAX_PROGRAMS: usize = 6;

/// Maximum number of calls of a program.
pub(super) const MAX_CALLS: u32 = 6;

/// Token budget of a root program.
pub(super) const BUDGET: Tokens = Tokens(2_000);

/// Maximum number of attempts of a request.
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// Time after which a request stops waiting for a reply.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after a permit request within which an entry may confirm the start of
/// the call.
pub(super) const CONFIRM_LIMIT: Duration = Duration::from_secs(8);

/// Time after which a sidecar refuses a call that its entry has not confirmed.
pub(super) const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Upper bound of a freeze, in milliseconds.
pub(super) const MAX_FREEZE_MS: u64 = 20_000;

/// The stream that a message belongs to; replies to an earlier exchange of the
/// same request are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Stream {
    /// Number of the request.
    pub request: u64,
    /// Number of the exchange within the request.
    pub exchange: u32,
}

/// A message in flight.
#[derive(Debug, Clone)]
pub(super) enum Message {
    /// To the ledger: requests a permit.
    Begin(Stream, Begin),
    /// To the ledger: records the outcome of an attempt.
    Settle(Stream, Settle),
    /// To the sidecar named in the permit: delivers the permit.
    Deliver(Stream, Permit),
    /// To the sidecar named in the permit: the call may start.
    Proceed(Stream, Permit),
    /// To the sidecar named in the permit: queries the permit status.
    QueryPermit(Stream, Permit),
    /// To an entry: the call waits for confirmation.
    Ready(Stream, Permit),
    /// To an entry: the reply of the ledger to `begin`.
    Begun(Stream, BeginReply),
    /// To an entry: the reply of the ledger to `settle`.
    Settled(Stream, Reply),
    /// To an entry: the outcome of its attempt.
    Ended(Stream, Outcome),
    /// To an entry: the status of a permit at its sidecar.
    PermitStatus(Stream, PermitStatus),
}

/// Simulated callers, entries, ledger and sidecars.
pub struct CallWorld {
    pub(super) promise: Promise,
    pub(super) mutated: bool,
    pub(super) now: Time,
    pub(super) ledger: Ledger<MemoryHistory>,
    pub(super) index: LogIndex,
    pub(super) sidecars: Vec<Sidecar>,
    pub(super) in_flight: Vec<(Time, Message)>,
    pub(super) requests: IndexMap<u64, Request>,
    pub(super) next_request: u64,
    pub(super) calls: Vec<Call>,
    /// Open programs, with the indices of their calls.
    pub(super) programs: IndexMap<ProgramId, Vec<usize>>,
    pub(super) next_root: u64,
    pub(super) ground_truth: GroundTruth,
}

impl Trial for CallWorld {
    fn new(promise: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        Self {
            promise,
            mutated: decisions == Decisions::Mutated,
            now: Time::from_millis(1),
            ledger: Ledger::new(GroupId(1), ledger_limits(promise, decisions)),
            index: LogIndex(0),
            sidecars: (0..SIDECARS).map(Sidecar::new).collect(),
            in_flight: Vec::new(),
            requests: IndexMap::new(),
            next_request: 0,
            calls: Vec::new(),
            programs: IndexMap::new(),
            next_root: 0,
            ground_truth: GroundTruth::default(),
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + Duration::from_millis(1 + rng.next_u64() % 40);
        self.run_callers(rng);
        self.inject_faults(rng, score);
        self.process_due(rng, score);
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        // Without new calls or faults, every freeze ends and every delayed
        // message arrives.
        for _ in 0..2_000 {
            self.now = self.now + Duration::from_millis(50);
            self.process_due(rng, score);
        }
        self.ledger.assert_invariants();
        self.check_histories(score);
    }
}

impl CallWorld {
    /// Completes due attempts, refuses unconfirmed calls, delivers messages and
    /// advances requests.
    pub(super) fn process_due(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.finish_attempts(rng, score);
        self.refuse_unconfirmed(rng);
        self.deliver_due(rng, score);
        let ids: Vec<u64> = self.requests.keys().copied().collect();
        for id in ids {
            self.advance_request(id, rng, score);
        }
    }

    /// Counts a check of `promise` if this run checks that promise.
    pub(super) fn check(
        &self,
        promise: Promise,
        score: &mut Score,
        held: bool,
        describe: impl FnOnce() -> String,
    ) {
        if self.promise == promise {
            score.check(held, || {
                format!("at {} ms: {}", self.now.as_millis(), describe())
            });
        }
    }

    /// Returns whether the decision behind `promise` is deliberately wrong.
    pub(super) fn is_mutated(&self, promise: Promise) -> bool {
        self.mutated && self.promise == promise
    }
}

/// Returns the limits of the ledger; the mutated limits let a later call start
/// while an earlier call with an unknown outcome may still start.
fn ledger_limits(promise: Promise, decisions: Decisions) -> LedgerLimits {
    let mutated = promise == Promise::Order && decisions == Decisions::Mutated;
    let limits = LedgerLimits::default();
    LedgerLimits {
        start_limit_ms: if mutated { 0 } else { limits.start_limit_ms },
        ..limits
    }
}

/// Returns the account of all callers.
pub(super) fn account() -> AccountId {
    AccountId(1)
}

/// Returns the key of the call at index `slot`.
pub(super) fn key_of(slot: usize) -> RequestKey {
    // Keys also differ in the upper half, of which the ledger keeps
    // fingerprints.
    RequestKey((slot as u128 + 1) << 64 | slot as u128)
}

/// Returns the index of the call with a key.
pub(super) fn call_of(key: RequestKey) -> Option<usize> {
    usize::try_from(key.0 & u128::from(u64::MAX)).ok()
}

/// Returns the answer of the attempt whose permit has this log index.
pub(super) fn answer_of(index: LogIndex) -> Box<[u8]> {
    index.0.to_le_bytes().into()
}

/// Returns a random duration of a freeze.
pub(super) fn draw_freeze(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(draw(rng, MAX_FREEZE_MS))
}
