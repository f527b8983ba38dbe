//! Identifiers, units, error kinds and messages shared by all sapphirequay
//! packages.
//!
//! This package does no I/O, reads no clock and uses no random numbers.
//!
//! ```
//! use quay_types::{ErrorKind, ProgramId};
//!
//! let program = ProgramId::root(7);
//! assert_eq!(program.to_string().parse(), Ok(program));
//! assert_eq!(ErrorKind::Draining.status(), 503);
//! assert!(ErrorKind::Draining.not_run());
//! ```

pub mod bytes;
mod call;
mod digest;
mod directory;
mod error;
mod ids;
pub mod last_field;
mod ledger;
mod permit;
mod rate;
mod time;

pub use {
    call::{CallEvent, CallRequest, CallTarget, FinishReason, Proceed, SidecarRequest},
    digest::{ContentDigest, RequestContent, block_hashes},
    directory::{Announcement, DirectoryEntry, Load, UpstreamKind, UpstreamState},
    error::{Error, ErrorKind, Result},
    ids::{
        AccountId, Attempt, AttemptTag, CallNumber, ConfigIndex, Epoch, FenceNumber, GroupId,
        Incarnation, KeyMark, LogIndex, ModelId, NodeId, ParseProgramIdError, ProgramId,
        ProgramTag, RequestKey, ScopedId, ServiceId, SoftwareVersion, Tokens, TurnId, UpstreamId,
    },
    ledger::{
        Begin, BeginReply, CallRecord, LedgerReply, LedgerRequest, NewProgram, ProgramLimits,
        ProgramStatus, Settle,
    },
    permit::{Outcome, Permit, PermitId, PermitStatus},
    rate::RequestRate,
    time::Time,
};
