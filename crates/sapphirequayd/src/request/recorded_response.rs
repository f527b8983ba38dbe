//! Responses in the form in which the ledger stores them.

use {
    quay_types::{FinishReason, Outcome, Tokens},
    serde::{Deserialize, Serialize},
};

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedResponse {
    /// Response of a model.
    Text {
        /// Why generation ended.
        finish: FinishReason,
        /// Generated text.
        text: Box<str>,
    },
    /// Response of a plain service.
    Body {
        /// HTTP status.
        status: u16,
        /// HTTP body.
        body: Box<[u8]>,
    },
}

impl RecordedResponse {
    /// Encodes the response as a call outcome for the ledger.
    #[must_use]
    pub fn outcome(&self, prompt: Tokens, output: Tokens) -> Outcome {
        Outcome::Completed {
            prompt,
            output,
            answer: postcard::to_stdvec(self).unwrap_or_default().into(),
        }
    }

    /// Decodes the response of a recorded outcome; `None` if it is malformed.
    #[must_use]
    pub fn decode(answer: &[u8]) -> Option<Self> {
        postcard::from_bytes(answer).ok()
    }
}
