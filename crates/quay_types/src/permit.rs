//! Permits, which let one attempt of one call run on one upstream.

use {
    crate::{
        Attempt, Epoch, ErrorKind, GroupId, Incarnation, LogIndex, RequestKey, Tokens, UpstreamId,
    },
    serde::{Deserialize, Serialize},
};

/// Identity of a permit: the group that issued it and the log entry that did.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PermitId {
    /// Ledger group that issued the permit.
    pub group: GroupId,
    /// Log entry that issued it; rises within the group.
    pub index: LogIndex,
}

/// Leave to run one attempt of a call on one incarnation of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Identity; a sidecar uses each at most once.
    pub id: PermitId,
    /// Call that may run.
    pub key: RequestKey,
    /// Attempt of the call that this permit is for.
    pub attempt: Attempt,
    /// Upstream that may run it.
    pub upstream: UpstreamId,
    /// Sidecar run that may use the permit; every other run refuses it.
    pub incarnation: Incarnation,
    /// Term of the leader that issued it.
    pub epoch: Epoch,
    /// Tokens reserved; the sidecar cuts the stream there.
    pub reserved: Tokens,
}

/// What a sidecar knows of a permit that somebody asks about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitStatus {
    /// The permit is marked as refused, and was never used.
    Refused,
    /// The attempt is queued or running.
    Running,
    /// The attempt ran and has ended.
    Ended,
    /// The permit is for an earlier run of this sidecar, or too old to be known.
    Unknown,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer was received.
    Completed {
        /// Prompt tokens that the upstream counted.
        prompt: Tokens,
        /// Tokens generated.
        output: Tokens,
        /// The answer's body.
        answer: Box<[u8]>,
    },
    /// The call ended with an error that its caller sees again on each resend.
    Failed {
        /// Kind of the error.
        kind: ErrorKind,
        /// Text for the caller.
        message: Box<str>,
        /// Tokens used before the failure.
        used: Tokens,
    },
    /// The attempt was refused before it ran; the call may have another.
    NotRun,
    /// The attempt may have run; the call is never run again.
    Unknown,
}
