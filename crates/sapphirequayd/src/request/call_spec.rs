//! Description of one call on its entry.

use {
    quay_types::{
        Begin, CallNumber, CallRequest, ConfigIndex, ContentDigest, Incarnation, ProgramLimits,
        RequestKey, Tokens, UpstreamId,
    },
    std::time::{Duration, Instant},
};

/// Data of a call that is the same for all of its attempts.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Request sent to sidecars; each attempt sets its permit and incarnation.
    pub request: CallRequest,
    /// Position of the call in its program, if the caller gave one.
    pub number: Option<CallNumber>,
    /// Idempotency key, which is the same for every resend of the call.
    pub key: RequestKey,
    /// Whether the caller supplied the key, so that the call may have been sent
    /// before.
    pub key_supplied: bool,
    /// Digest of the request's content.
    pub digest: ContentDigest,
    /// Limits of the program created for this call, if the caller names none.
    pub implicit: Option<ProgramLimits>,
    /// Messages new in this call, for the program's history.
    pub prompt: Box<[u8]>,
    /// Index of the configuration that the entry uses.
    pub config: ConfigIndex,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

impl CallSpec {
    /// Tokens to reserve from the budget: the prompt and the longest output.
    #[must_use]
    pub fn reserve(&self) -> Tokens {
        Tokens(
            self.request
                .prompt
                .0
                .saturating_add(self.request.max_output.0),
        )
    }

    /// Request to the ledger for a permit on `upstream`.
    #[must_use]
    pub fn begin(&self, upstream: (UpstreamId, Incarnation)) -> Begin {
        Begin {
            program: self.request.program,
            account: self.request.account,
            implicit: self.implicit,
            number: self.number,
            key: self.key,
            digest: self.digest,
            reserve: self.reserve(),
            idempotent: self.request.idempotent,
            upstream,
            config: self.config,
            prompt: self.prompt.clone(),
        }
    }

    /// Time until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
