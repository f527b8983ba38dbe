//! Commands and queries of the ledger, and the replies to them.

use {
    quay_types::{
        AccountId, Begin, BeginReply, ConfigIndex, Error, NewProgram, Outcome, ProgramId,
        ProgramStatus, RequestKey, Settle,
    },
    serde::{Deserialize, Serialize},
};

/// Command with the leader's wall-clock time at the moment of the proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Milliseconds since the Unix epoch. If the value is less than the latest
    /// time seen, the latter is used, so the ledger's time never decreases.
    pub at_ms: u64,
    /// Operation to apply.
    pub op: Op,
}

/// Operation that changes the ledger; idempotent by the key that it carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Creates a program.
    Create(NewProgram),
    /// Requests a permit to run a call.
    Begin(Begin),
    /// Records the end of an attempt.
    Settle(Settle),
    /// Records that the caller was told that the call with this key ended
    /// without a complete answer, so that later calls need not wait for it.
    GiveUp(ProgramId, RequestKey),
    /// Ends a program and its sub-agents.
    End(ProgramId, AccountId),
    /// Refuses permits to entries whose configuration is older than this.
    ConfigFloor(ConfigIndex),
    /// Ends expired programs and removes those past their retention, as every
    /// command does.
    Expire,
}

/// Reply to an [`Op`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The program exists.
    Created(ProgramId),
    /// Reply to `Begin`.
    Begin(BeginReply),
    /// The change was applied, now or by an earlier send.
    Done,
    /// The call already has this other outcome, which is final.
    Superseded(Outcome),
    /// The operation was refused and changed nothing.
    Refused(Error),
}

/// Read-only query of the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// Reads a program with its history.
    Show(ProgramId, AccountId),
    /// Asks which of these programs have ended.
    Ended(Box<[ProgramId]>),
}

/// Answer to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// State and history of the program.
    Program(Box<ProgramStatus>),
    /// Programs that have ended or are no longer known.
    Ended(Box<[ProgramId]>),
    /// The program belongs to another account or does not exist.
    Refused(Error),
}
