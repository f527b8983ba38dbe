//! Calls that wait before an upstream.

use quay_types::{AccountId, Error, ProgramId, Time, Tokens};

/// A call at one sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// What admission needs to know of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ticket {
    /// The call.
    pub id: TicketId,
    /// Program of the call.
    pub program: ProgramId,
    /// Account that pays.
    pub account: AccountId,
    /// Tokens that the whole program was given so far.
    pub attained: Tokens,
    /// Depth below the root program; a sub-agent blocks its parent.
    pub depth: u8,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// When an answer is of no more use.
    pub deadline: Time,
    /// Whether nothing may run beside the call, since it may crash the upstream.
    pub exclusive: bool,
}

impl Ticket {
    /// Whether nothing was spent on the program yet, so that a refusal wastes nothing.
    #[must_use]
    pub const fn is_new(&self) -> bool {
        self.attained.0 == 0 && self.depth == 0
    }
}

/// What becomes of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The call may run now.
    Admit(TicketId),
    /// The call does not run, and never will under this ticket.
    Refuse(TicketId, Error),
}
