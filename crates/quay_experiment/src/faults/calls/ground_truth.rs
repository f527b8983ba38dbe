//! Ground truth: what actually ran, independent of what callers were told.

use {
    indexmap::IndexMap,
    quay_types::{PermitId, ProgramId},
};

/// The result that a caller received last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CallerResult {
    /// No result yet.
    Pending,
    /// The complete answer.
    Complete(Box<[u8]>),
    /// The call did not run.
    NotRun,
    /// The call may have run.
    MayHaveRun,
}

/// One call of a program.
#[derive(Debug, Clone)]
pub(super) struct Call {
    /// Program of the call.
    pub program: ProgramId,
    /// Position in the program, counted from 1.
    pub number: u32,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Number of tokens that the call reserves.
    pub reserve: u64,
    /// The result that the caller received last.
    pub told: CallerResult,
    /// Number of requests for the call that entries are processing.
    pub requests: u32,
    /// Permits of the attempts that ran, in order.
    pub ran: Vec<PermitId>,
}

/// Token usage and call order of the programs, as observed by the upstreams.
#[derive(Debug, Default)]
pub(super) struct GroundTruth {
    /// Tokens used by upstreams, by the root of each program tree.
    pub used: IndexMap<u64, u64>,
    /// Highest number of a call that ran, by program.
    pub latest: IndexMap<ProgramId, u32>,
}

impl GroundTruth {
    /// Records that a call starts to run; returns `false` if the call runs for
    /// the first time after a later call of its program.
    pub fn record_start(&mut self, call: &Call) -> bool {
        let latest = self.latest.entry(call.program).or_default();
        let in_order = *latest <= call.number || !call.ran.is_empty();
        *latest = call.number.max(*latest);
        in_order
    }

    /// Records tokens used by an upstream; returns the total of the program
    /// tree.
    pub fn record_tokens(&mut self, program: ProgramId, tokens: u64) -> u64 {
        let used = self.used.entry(program.root).or_default();
        *used += tokens;
        *used
    }
}
