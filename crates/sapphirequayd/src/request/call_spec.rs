//! What an entry is to do for one call.

use {
    quay_types::{
        Begin, CallNumber, CallRequest, ConfigIndex, ContentDigest, Incarnation, ProgramLimits,
        RequestKey, Tokens, UpstreamId,
    },
    std::time::{Duration, Instant},
};

/// Everything that stays the same over the attempts of a call.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// The call as sidecars see it, but for permit and incarnation.
    pub request: CallRequest,
    /// Position that the caller named.
    pub number: Option<CallNumber>,
    /// Identity across resends.
    pub key: RequestKey,
    /// Whether the caller named the key, so that an earlier send may exist.
    pub key_supplied: bool,
    /// Digest of the content.
    pub digest: ContentDigest,
    /// Limits of a program that is made for this call alone.
    pub implicit: Option<ProgramLimits>,
    /// New part of the prompt, for the program's history.
    pub prompt: Box<[u8]>,
    /// Configuration that the entry acts on.
    pub config: ConfigIndex,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

impl CallSpec {
    /// Tokens to set aside.
    #[must_use]
    pub fn reserve(&self) -> Tokens {
        Tokens(
            self.request
                .prompt
                .0
                .saturating_add(self.request.max_output.0),
        )
    }

    /// The request to the ledger for a permit on `upstream`.
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
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
