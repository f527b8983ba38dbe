//! Permits. A permit allows one attempt of one call on one upstream.

use {
    crate::{
        Attempt, Epoch, ErrorKind, GroupId, Incarnation, LogIndex, RequestKey, Tokens, UpstreamId,
    },
    serde::{Deserialize, Serialize},
};

/// Identity of a permit: the ledger group and the log entry that issued it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PermitId {
    /// Ledger group that issued the permit.
    pub group: GroupId,
    /// Log entry that issued the permit; increases within the group.
    pub index: LogIndex,
}

/// Permission to run one attempt of a call on one incarnation of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Identity of the permit; a sidecar uses each permit at most once.
    pub id: PermitId,
    /// Key of the call that may run.
    pub key: RequestKey,
    /// Attempt of the call that this permit is for.
    pub attempt: Attempt,
    /// Upstream that may run the call.
    pub upstream: UpstreamId,
    /// Sidecar incarnation that may use the permit; any other incarnation
    /// refuses it.
    pub incarnation: Incarnation,
    /// Term of the leader that issued the permit.
    pub epoch: Epoch,
    /// Tokens reserved; the sidecar ends the stream at this limit.
    pub reserved: Tokens,
}

/// Status of a permit as known to a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitStatus {
    /// The permit is marked as refused and was never used.
    Refused,
    /// The attempt is queued or running.
    Running,
    /// The attempt ran and has ended.
    Ended,
    /// The permit is for another incarnation of the sidecar, or its record was
    /// evicted.
    Unknown,
}

/// Outcome of a call or of one of its attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The complete answer was received.
    Completed {
        /// Prompt tokens as counted by the upstream.
        prompt: Tokens,
        /// Tokens generated.
        output: Tokens,
        /// Body of the answer.
        answer: Box<[u8]>,
    },
    /// The call failed; its caller gets the same error again on each resend.
    Failed {
        /// Kind of the error.
        kind: ErrorKind,
        /// Message for the caller.
        message: Box<str>,
        /// Tokens used before the failure.
        used: Tokens,
    },
    /// The attempt was refused before it ran; the call may be attempted again.
    NotRun,
    /// The attempt may have run. A call that may not run twice is not attempted
    /// again.
    Unknown,
}
