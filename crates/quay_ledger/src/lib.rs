//! Programs, budgets, permits and outcomes as a replicated state machine.
//!
//! [`Ledger`] decides which calls may run: the calls of a program run in order,
//! each attempt needs a permit, and all stay within the program's budget and
//! limits. The ledger records the outcome of each call, so that a resend gets
//! the recorded answer.
//!
//! ```
//! use quay_ledger::{Command, Ledger, LedgerLimits, MemoryHistory, Op, Reply};
//! use quay_quorum::StateMachine as _;
//! use quay_types::{AccountId, Epoch, GroupId, LogIndex, NewProgram, ProgramId, ProgramLimits, RequestKey};
//!
//! let mut ledger: Ledger<MemoryHistory> = Ledger::new(GroupId(1), LedgerLimits::default());
//! let account = AccountId::of("shop");
//! let new = NewProgram {
//!     account,
//!     key: RequestKey::of(account, "first order"),
//!     program: ProgramId::root(7),
//!     sub_agent: false,
//!     limits: ProgramLimits::default(),
//! };
//! let command = Command { at_ms: 0, op: Op::Create(new) };
//! let reply = ledger.apply(LogIndex(1), Epoch(1), command.clone());
//! assert_eq!(reply, Reply::Created(ProgramId::root(7)));
//! // A resend returns the existing program.
//! assert_eq!(ledger.apply(LogIndex(2), Epoch(1), command), reply);
//! ```

mod budget;
mod calls;
mod command;
mod history;
mod ledger;
mod permit_registry;
mod program;
mod settings;

pub use {
    budget::Budget,
    command::{Answer, Command, Op, Query, Reply},
    history::{History, MemoryHistory, StoredCall},
    ledger::{Ledger, LedgerSnapshot},
    permit_registry::PermitRegistry,
    program::{LostAttempt, OpenCall, Program},
    settings::LedgerLimits,
};

use quay_types::{Error, ErrorKind};

/// Error for a request that is refused without changing the state.
fn refusal(kind: ErrorKind, message: impl Into<Box<str>>) -> Error {
    Error::new(kind, message)
}
