//! Messages between an entry and a sidecar about one call.

use {
    crate::{
        AccountId, Error, Incarnation, ModelId, Permit, PermitId, PermitStatus, ProgramId,
        ServiceId, Tokens,
    },
    serde::{Deserialize, Serialize},
};

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallTarget {
    /// A completion by a model.
    Model(ModelId),
    /// A request to a plain service.
    Service(ServiceId),
}

/// One attempt of a call, as an entry hands it to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Leave of the ledger; `None` only where the settings run without one.
    pub permit: Option<Permit>,
    /// Sidecar run that the entry means; every other run refuses the call.
    pub incarnation: Incarnation,
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Account that pays.
    pub account: AccountId,
    /// What to run.
    pub target: CallTarget,
    /// HTTP body for the upstream.
    pub body: Box<[u8]>,
    /// Whether the upstream may see the request more than once.
    pub idempotent: bool,
    /// Milliseconds left until the caller's deadline, when sent.
    pub deadline_ms: u64,
    /// Estimate of the prompt's length.
    pub prompt: Tokens,
    /// Most tokens that the answer may have.
    pub max_output: Tokens,
    /// Tokens that the whole program has been given so far, for priority.
    pub attained: Tokens,
    /// Depth below the root program; a sub-agent blocks its parent.
    pub depth: u8,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Box<[u64]>,
    /// Bytes of the answer that the caller has already; the stream goes on there.
    pub resume_offset: u64,
}

/// First message on a stream from an entry to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarRequest {
    /// Run an attempt; answered by a stream of [`CallEvent`]s.
    Call(CallRequest),
    /// Ask about a permit. One that was never used is marked as refused.
    /// Answered by [`CallEvent::PermitStatus`].
    QueryPermit(PermitId, Incarnation),
    /// A program has ended; release what the upstream holds for it.
    ProgramEnded(ProgramId),
}

/// Second message on the stream of a call that may not run twice: the entry's
/// answer to [`CallEvent::Ready`], without which the sidecar does not run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proceed {
    /// Permit of the attempt.
    pub permit: PermitId,
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReason {
    /// The model stopped by itself.
    Stop,
    /// The answer reached its limit of tokens.
    Length,
}

/// An event of one attempt, from a sidecar to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEvent {
    /// The attempt left the queue and runs once the entry sends [`Proceed`].
    Ready,
    /// The attempt left the queue and was handed to the upstream.
    Started,
    /// Part of the answer.
    Delta {
        /// Position of the text in the answer, in bytes.
        offset: u64,
        /// Tokens in the text.
        tokens: u32,
        /// The text.
        text: Box<str>,
    },
    /// The whole answer of a plain service.
    Body {
        /// HTTP status of the service.
        status: u16,
        /// The body.
        body: Box<[u8]>,
    },
    /// The answer is whole.
    End {
        /// Why it ended.
        finish: FinishReason,
        /// Prompt tokens that the upstream counted.
        prompt: Tokens,
        /// Prompt tokens found in the upstream's prefix cache.
        cached: Tokens,
        /// Tokens generated.
        output: Tokens,
    },
    /// The attempt never ran, and never will: the permit is marked as refused.
    Refused(Error),
    /// The attempt ran and failed, or may have run.
    Failed(Error),
    /// Nothing to say; the attempt is alive.
    Heartbeat,
    /// Answer to [`SidecarRequest::QueryPermit`].
    PermitStatus(PermitStatus),
}
