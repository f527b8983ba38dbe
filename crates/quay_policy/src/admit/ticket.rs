//! Calls that wait for admission to an upstream.

use quay_types::{AccountId, Error, ProgramId, Time, Tokens};

/// Identifies a call at one sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// Properties of a call that admission depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ticket {
    /// Identifier of the call.
    pub id: TicketId,
    /// Program of the call.
    pub program: ProgramId,
    /// Account that is charged.
    pub account: AccountId,
    /// Tokens that the whole program has consumed so far.
    pub attained: Tokens,
    /// Depth below the root program; a sub-agent blocks its parent.
    pub depth: u8,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Time,
    /// Whether the call must run alone on the upstream because it may crash it.
    pub exclusive: bool,
}

impl Ticket {
    /// Whether the program has consumed nothing yet, so that refusing the call
    /// wastes no work.
    #[must_use]
    pub const fn is_new(&self) -> bool {
        self.attained.0 == 0 && self.depth == 0
    }
}

/// Decision on a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The call may start now.
    Admit(TicketId),
    /// The call is refused, and this ticket will not be admitted later.
    Refuse(TicketId, Error),
}
