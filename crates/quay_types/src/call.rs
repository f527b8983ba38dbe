//! Messages between an entry and a sidecar about one call.

use {
    crate::{
        AccountId, Error, Incarnation, ModelId, Permit, PermitId, PermitStatus, ProgramId,
        ServiceId, Tokens,
    },
    serde::{Deserialize, Serialize},
};

/// Kind of upstream that a call addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallTarget {
    /// A completion by a model.
    Model(ModelId),
    /// A request to a plain service.
    Service(ServiceId),
}

/// One attempt of a call, as an entry sends it to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Permit issued by the ledger; `None` only if the system is configured
    /// without a ledger.
    pub permit: Option<Permit>,
    /// Incarnation of the sidecar that the request is addressed to; any other
    /// incarnation refuses the call.
    pub incarnation: Incarnation,
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Account that is charged.
    pub account: AccountId,
    /// Model or service to call.
    pub target: CallTarget,
    /// HTTP body for the upstream.
    pub body: Box<[u8]>,
    /// Whether the upstream may receive the request more than once.
    pub idempotent: bool,
    /// Milliseconds left until the caller's deadline, at the time of sending.
    pub deadline_ms: u64,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Maximum length of the answer.
    pub max_output: Tokens,
    /// Attained service: tokens that the whole program has used so far. The
    /// scheduler derives the call's priority from it.
    pub attained: Tokens,
    /// Depth of the program below its root, for priority: a parent waits for
    /// its sub-agents.
    pub depth: u8,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Box<[u64]>,
    /// Offset in bytes at which the answer's stream resumes: the caller has
    /// received everything before.
    pub resume_offset: u64,
}

/// First message on a stream from an entry to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarRequest {
    /// Runs an attempt; answered by a stream of [`CallEvent`]s.
    Call(CallRequest),
    /// Queries the status of a permit and marks a permit that was never used
    /// as refused. Answered by [`CallEvent::PermitStatus`].
    QueryPermit(PermitId, Incarnation),
    /// Reports the end of a program, so that the upstream releases its state.
    ProgramEnded(ProgramId),
}

/// Second message on the stream of a call that may not run twice: the entry's
/// answer to [`CallEvent::Ready`]. The sidecar does not start the call before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proceed {
    /// Permit of the attempt.
    pub permit: PermitId,
}

/// Reason for which an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached its token limit.
    Length,
}

/// Event of one attempt, sent by a sidecar to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEvent {
    /// The attempt left the queue and starts once the entry sends [`Proceed`].
    Ready,
    /// The attempt left the queue and was sent to the upstream.
    Started,
    /// Part of the answer.
    Delta {
        /// Offset of the text in the answer, in bytes.
        offset: u64,
        /// Number of tokens in the text.
        tokens: u32,
        /// The text.
        text: Box<str>,
    },
    /// Complete answer of a plain service.
    Body {
        /// HTTP status that the service returned.
        status: u16,
        /// HTTP body.
        body: Box<[u8]>,
    },
    /// The answer is complete.
    End {
        /// Reason for which the answer ended.
        finish: FinishReason,
        /// Prompt tokens as counted by the upstream.
        prompt: Tokens,
        /// Prompt tokens found in the upstream's prefix cache.
        cached: Tokens,
        /// Tokens generated.
        output: Tokens,
    },
    /// The attempt did not run and never will: its permit is marked as refused.
    Refused(Error),
    /// The attempt ran and failed, or may have run.
    Failed(Error),
    /// The attempt is alive but has no new output.
    Heartbeat,
    /// Answer to [`SidecarRequest::QueryPermit`].
    PermitStatus(PermitStatus),
}
