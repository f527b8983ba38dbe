//! What the ledger is told and asked, and what it answers.

use {
    quay_types::{
        AccountId, Begin, BeginReply, ConfigIndex, Error, NewProgram, Outcome, ProgramId,
        ProgramStatus, RequestKey, Settle,
    },
    serde::{Deserialize, Serialize},
};

/// A command with the wall time that the leader read when it proposed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Milliseconds since the Unix epoch. A time in the past counts as the
    /// latest time seen, so the ledger's time never falls.
    pub at_ms: u64,
    /// What to do.
    pub op: Op,
}

/// A change of the ledger; each is idempotent by the key that it carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Create a program.
    Create(NewProgram),
    /// Ask for leave to run a call.
    Begin(Begin),
    /// Close an attempt.
    Settle(Settle),
    /// The caller was told that the call of this key ended without a whole
    /// answer; later calls need not wait for it.
    GiveUp(ProgramId, RequestKey),
    /// End a program and its sub-agents.
    End(ProgramId, AccountId),
    /// Refuse permits to entries whose configuration is older than this.
    ConfigFloor(ConfigIndex),
    /// End and forget what is due; nothing else happens.
    Expire,
}

/// Answer to an [`Op`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The program exists.
    Created(ProgramId),
    /// Answer to `Begin`.
    Begin(BeginReply),
    /// The change is made, or was made before.
    Done,
    /// The call was closed before with another outcome, which stands.
    Superseded(Outcome),
    /// Nothing was changed.
    Refused(Error),
}

/// A question to the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// A program with its history.
    Show(ProgramId, AccountId),
    /// Which of these programs have ended.
    Ended(Box<[ProgramId]>),
}

/// Answer to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The program.
    Program(Box<ProgramStatus>),
    /// Those that have ended or are not known any more.
    Ended(Box<[ProgramId]>),
    /// The account may not see the program, or there is none.
    Refused(Error),
}
