//! Parses a chat completion.

use {
    quay_types::{Error, ErrorKind, ModelId, Result, Tokens, block_hashes},
    serde::{Deserialize, Serialize},
};

/// Limit of the answer's length where the caller names none.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// Role of the model in a conversation.
const ASSISTANT: &str = "assistant";

/// Bytes of text that count as one token in estimates.
const BYTES_PER_TOKEN: u64 = 4;

/// One message of a conversation. Fields that only the model reads are kept as they came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: Box<str>,
    /// Text, or structured content.
    #[serde(default)]
    pub content: serde_json::Value,
    /// Everything else.
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
    /// Most tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// Everything that only the model reads.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// What routing and budgets need to know of a prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// Estimate of its length.
    pub tokens: Tokens,
    /// Chained hashes of its blocks.
    pub blocks: Box<[u64]>,
}

impl CompletionRequest {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] says what is wrong with it.
    pub fn parse(body: &[u8]) -> Result<Self> {
        let parsed: Self = serde_json::from_slice(body)
            .map_err(|err| Error::new(ErrorKind::BadRequest, format!("body: {err}")))?;
        if parsed.messages.is_empty() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "messages: at least one is needed",
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

    /// Key of the model.
    #[must_use]
    pub fn model_id(&self) -> ModelId {
        ModelId::of(&self.model)
    }

    /// The prompt's estimated length and prefix hashes, from one pass over it.
    #[must_use]
    pub fn prompt(&self) -> Prompt {
        // Keys in the order that the engine hashes its prefix in.
        let canonical = serde_json::to_value(&self.messages).unwrap_or_default();
        let text = canonical.to_string();
        Prompt {
            tokens: Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN)),
            blocks: block_hashes(text.as_bytes()),
        }
    }

    /// The messages after the model's last answer, which no earlier call had.
    #[must_use]
    pub fn new_messages(&self) -> Vec<u8> {
        let mut known = self.messages.iter();
        let answered = known.rposition(|message| &*message.role == ASSISTANT);
        let new = &self.messages[answered.map_or(0, |at| at + 1)..];
        serde_json::to_vec(new).unwrap_or_default()
    }

    /// Most tokens that the answer may have.
    #[must_use]
    pub fn max_output(&self) -> Tokens {
        Tokens(self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))
    }

    /// Whether a streamed answer tells its tokens in an event of its own.
    #[must_use]
    pub fn wants_usage(&self) -> bool {
        let options = self.other.get("stream_options");
        options.and_then(|options| options["include_usage"].as_bool()) == Some(true)
    }

    /// The body for the upstream: always streamed, always bounded, always with
    /// the tokens used.
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
