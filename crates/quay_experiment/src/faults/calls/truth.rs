//! What really happened, beside what anybody was told.

use {
    indexmap::IndexMap,
    quay_types::{PermitId, ProgramId},
};

/// What a caller was told last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Told {
    /// Nothing yet.
    Nothing,
    /// The whole answer.
    Whole(Box<[u8]>),
    /// The request truly never ran.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// One call of a program.
#[derive(Debug, Clone)]
pub(super) struct Call {
    /// Program of the call.
    pub program: ProgramId,
    /// Position, counted from 1.
    pub number: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Tokens that it reserves.
    pub reserve: u64,
    /// What its caller was told last.
    pub told: Told,
    /// Requests for it that are on their way through entries.
    pub requests: u32,
    /// Attempts that ran, in order.
    pub ran: Vec<PermitId>,
}

/// Tokens and order of the programs, as the upstreams saw them.
#[derive(Debug, Default)]
pub(super) struct Truth {
    /// Tokens that upstreams used for each tree of programs.
    pub used: IndexMap<u64, u64>,
    /// Greatest number of a call that ran, for each program.
    pub latest: IndexMap<ProgramId, u32>,
}

impl Truth {
    /// Notes that a call runs; `false` if a later call of its program ran before
    /// this one ever did.
    pub fn runs(&mut self, call: &Call) -> bool {
        let latest = self.latest.entry(call.program).or_default();
        let in_order = *latest <= call.number || !call.ran.is_empty();
        *latest = call.number.max(*latest);
        in_order
    }

    /// Notes tokens that an upstream used; the tree's sum.
    pub fn uses(&mut self, program: ProgramId, tokens: u64) -> u64 {
        let used = self.used.entry(program.root).or_default();
        *used += tokens;
        *used
    }
}
