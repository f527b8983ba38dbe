//! Parses chat completion requests.

use {
    quay_types::{Error, ErrorKind, ModelId, Result, Tokens, block_hashes},
    serde::{Deserialize, Serialize},
};

/// Output limit in tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// Role of the model in a conversation.
const ASSISTANT: &str = "assistant";

/// Bytes of prompt text per token, for estimates of the prompt's length.
const BYTES_PER_TOKEN: u64 = 4;

/// One message of a conversation. Fields not interpreted here are passed on
/// unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author.
    pub role: Box<str>,
    /// Text, or structured content.
    #[serde(default)]
    pub content: serde_json::Value,
    /// All other fields.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: Box<str>,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the caller wants server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// All other fields, which only the engine reads.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Properties of a prompt that routing and budgets use.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// Estimated length.
    pub tokens: Tokens,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Box<[u64]>,
}

impl CompletionRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BadRequest`] if the body is malformed,
    /// `messages` is empty or `max_tokens` is zero.
    pub fn parse(body: &[u8]) -> Result<Self> {
        let parsed: Self = serde_json::from_slice(body)
            .map_err(|err| Error::new(ErrorKind::BadRequest, format!("body: {err}")))?;
        if parsed.messages.is_empty() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "messages: must contain at least one message",
            ));
        }
        if parsed.max_tokens == Some(0) {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "max_tokens: must be positive",
            ));
        }
        Ok(parsed)
    }

    /// Identifier derived from the model's name.
    #[must_use]
    pub fn model_id(&self) -> ModelId {
        ModelId::of(&self.model)
    }

    /// Computes the prompt's estimated length and block hashes in one pass.
    #[must_use]
    pub fn prompt(&self) -> Prompt {
        // Serializes keys in the same order as the engine does to hash
        // prefixes.
        let canonical = serde_json::to_value(&self.messages).unwrap_or_default();
        let text = canonical.to_string();
        Prompt {
            tokens: Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN)),
            blocks: block_hashes(text.as_bytes()),
        }
    }

    /// The messages after the model's last response, which no earlier call
    /// contained, as JSON.
    #[must_use]
    pub fn new_messages(&self) -> Vec<u8> {
        let mut messages = self.messages.iter();
        let last_response = messages.rposition(|message| &*message.role == ASSISTANT);
        let new = &self.messages[last_response.map_or(0, |at| at + 1)..];
        serde_json::to_vec(new).unwrap_or_default()
    }

    /// Maximum number of output tokens.
    #[must_use]
    pub fn max_output(&self) -> Tokens {
        Tokens(self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))
    }

    /// Whether a streamed response ends with a separate usage event.
    #[must_use]
    pub fn wants_usage(&self) -> bool {
        let options = self.other.get("stream_options");
        options.and_then(|options| options["include_usage"].as_bool()) == Some(true)
    }

    /// Body of the request to the upstream. Streaming, an output limit and
    /// usage reporting are always set.
    #[must_use]
    pub fn into_upstream_body(self) -> Box<[u8]> {
        let mut body = Self {
            stream: true,
            max_tokens: Some(self.max_output().0),
            ..self
        };
        let options = serde_json::json!({"include_usage": true});
        body.other.insert("stream_options".into(), options);
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}
