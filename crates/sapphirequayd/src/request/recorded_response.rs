//! Answers in the form in which the ledger keeps them.

use {
    quay_types::{FinishReason, Outcome, Tokens},
    serde::{Deserialize, Serialize},
};

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedResponse {
    /// The answer of a model.
    Text {
        /// Why it ended.
        finish: FinishReason,
        /// The text.
        text: Box<str>,
    },
    /// The answer of a plain service.
    Body {
        /// HTTP status of the service.
        status: u16,
        /// The body.
        body: Box<[u8]>,
    },
}

impl RecordedResponse {
    /// The outcome that records this answer.
    #[must_use]
    pub fn outcome(&self, prompt: Tokens, output: Tokens) -> Outcome {
        Outcome::Completed {
            prompt,
            output,
            answer: postcard::to_stdvec(self).unwrap_or_default().into(),
        }
    }

    /// Reads the answer of a recorded outcome.
    #[must_use]
    pub fn decode(answer: &[u8]) -> Option<Self> {
        postcard::from_bytes(answer).ok()
    }
}
