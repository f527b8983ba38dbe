//! Client of a model engine's HTTP interface.
//!
//! A request carries a stream id, chosen by the sidecar, in the header
//! `Sapphirequay-Stream`. The `id:` of an event is the number of tokens
//! generated so far. `GET /v1/streams/ID` with `Last-Event-ID` resumes the
//! stream after that token on a new connection; `DELETE /v1/streams/ID` cancels
//! the stream.

use {
    crate::request::{UpstreamEvent, Usage},
    quay_types::{Error, ErrorKind, FinishReason, Tokens},
    serde::Deserialize,
    std::{
        fmt,
        io::{self, BufRead as _, BufReader, Read},
        net::SocketAddr,
        time::Duration,
    },
};

/// Connect time-out; the upstream is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Read and write time-out, after which a connection is replaced by a new one.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time-out of a request to cancel a stream or to release blocks.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes of an upstream's error body that are logged.
const MAX_ERROR_BYTES: u64 = 500;

/// Lowest HTTP status that counts as a fault of the upstream; lower error
/// statuses are a fault of the request.
const MIN_FAULT_STATUS: u16 = 500;

/// Status of a response that is a stream.
const STREAM_STATUS: u16 = 200;

/// Media type of a response that is a stream.
const STREAM_TYPE: &str = "text/event-stream";

/// Data of the last event of a stream.
const DONE: &str = "[DONE]";

/// Id of a response stream at the upstream, valid across connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamId {
    /// Incarnation of the sidecar process.
    pub incarnation: u64,
    /// Number of the attempt within the incarnation.
    pub attempt: u64,
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.incarnation, self.attempt)
    }
}

/// HTTP client of one model engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    agent: ureq::Agent,
    base: Box<str>,
}

/// One chunk of a streamed completion.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<TokenCounts>,
}

/// Completion choice of a chunk; only the first choice is used.
#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<Box<str>>,
}

/// Text added by a chunk.
#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<Box<str>>,
}

/// Token counts reported by the engine.
#[derive(Debug, Deserialize)]
struct TokenCounts {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: PromptTokenDetails,
}

/// Details of the prompt's token count.
#[derive(Debug, Default, Deserialize)]
struct PromptTokenDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl EngineClient {
    /// Creates a client of the engine at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        // Connections are not pooled: a pooled connection may already be
        // closed, and its failure would not tell whether the request ran.
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(CONNECT_TIMEOUT)
            .timeout_read(READ_TIMEOUT)
            .timeout_write(READ_TIMEOUT)
            .max_idle_connections(0)
            .redirects(0)
            .build();
        Self {
            agent,
            base: format!("http://{addr}").into(),
        }
    }

    /// Starts a completion.
    ///
    /// # Errors
    ///
    /// Returns the event to handle if no stream was opened.
    pub fn start(&self, id: StreamId, body: &[u8]) -> Result<EngineStream, UpstreamEvent> {
        let sent = self
            .agent
            .post(&format!("{}/v1/chat/completions", self.base))
            .set("content-type", "application/json")
            .set("sapphirequay-stream", &id.to_string())
            .send_bytes(body);
        EngineStream::open(sent, 0)
    }

    /// Resumes a completion after its first `tokens` tokens.
    ///
    /// # Errors
    ///
    /// Returns the event to handle if no stream was opened.
    pub fn resume(&self, id: StreamId, tokens: u64) -> Result<EngineStream, UpstreamEvent> {
        let sent = self
            .agent
            .get(&format!("{}/v1/streams/{id}", self.base))
            .set("last-event-id", &tokens.to_string())
            .call();
        match sent {
            Err(ureq::Error::Status(404, _)) => Err(UpstreamEvent::Unknown),
            sent => EngineStream::open(sent, tokens),
        }
    }

    /// Cancels a completion. Returns `true` if the engine sent any response.
    #[must_use]
    pub fn cancel(&self, id: StreamId) -> bool {
        let sent = self
            .agent
            .delete(&format!("{}/v1/streams/{id}", self.base))
            .timeout(CANCEL_TIMEOUT)
            .call();
        !matches!(sent, Err(ureq::Error::Transport(_)))
    }

    /// Releases blocks of the engine's prefix cache; returns `false` on
    /// failure.
    #[must_use]
    pub fn release(&self, blocks: &[u64]) -> bool {
        if blocks.is_empty() {
            return true;
        }
        let sent = self
            .agent
            .post(&format!("{}/v1/kv/release", self.base))
            .timeout(CANCEL_TIMEOUT)
            .set("content-type", "application/json")
            .send_string(&serde_json::json!({ "blocks": blocks }).to_string());
        sent.is_ok()
    }
}

/// Converts a failed request into an upstream event.
fn error_event(err: ureq::Error) -> UpstreamEvent {
    match err {
        ureq::Error::Status(_, response) => rejected(response),
        ureq::Error::Transport(err) => match err.kind() {
            ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => UpstreamEvent::Unreachable,
            _ if timed_out(&err) => UpstreamEvent::ReadTimeout,
            _ => UpstreamEvent::Broken,
        },
    }
}

/// Event for a response that is no stream. Its text is only logged: it is not the
/// caller's, and would be in the middle of its response if the stream had begun.
fn rejected(response: ureq::Response) -> UpstreamEvent {
    let status = response.status();
    let mut text = Vec::new();
    let read = response
        .into_reader()
        .take(MAX_ERROR_BYTES)
        .read_to_end(&mut text);
    log::warn!(
        "event=upstream_rejected status={status} body_read={} body={:?}",
        read.is_ok(),
        String::from_utf8_lossy(&text)
    );
    let message = if status == STREAM_STATUS {
        "the upstream's response is not an event stream".to_owned()
    } else {
        format!("the upstream responded with status {status}")
    };
    UpstreamEvent::Rejected {
        error: Error::new(ErrorKind::UpstreamError, message),
        fault: !(400..MIN_FAULT_STATUS).contains(&status),
    }
}

/// Whether an error was caused by a read time-out, at any level of its causes.
fn timed_out(err: &ureq::Transport) -> bool {
    let mut cause = std::error::Error::source(err);
    while let Some(err) = cause {
        if let Some(err) = err.downcast_ref::<io::Error>() {
            return is_timeout(err);
        }
        cause = err.source();
    }
    false
}

/// Whether an I/O error is a time-out.
fn is_timeout(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}

// ----------------------------------------------------------------------------
// Event stream

/// Response stream on one connection.
pub struct EngineStream {
    lines: BufReader<Box<dyn Read + Send + Sync>>,
    /// Number of tokens up to the last event.
    position: u64,
    /// Id of the event being read, which is its number of tokens so far.
    event_id: Option<u64>,
    /// Data of the event being read.
    data: String,
    finish: FinishReason,
}

impl EngineStream {
    /// Opens the stream of a request's response, after `position` tokens.
    fn open(
        sent: Result<ureq::Response, ureq::Error>,
        position: u64,
    ) -> Result<Self, UpstreamEvent> {
        let response = sent.map_err(error_event)?;
        if response.status() != STREAM_STATUS || response.content_type() != STREAM_TYPE {
            return Err(rejected(response));
        }
        Ok(Self {
            lines: BufReader::new(response.into_reader()),
            position,
            event_id: None,
            data: String::new(),
            finish: FinishReason::Stop,
        })
    }

    /// Waits for the next event of the engine.
    pub fn next(&mut self) -> UpstreamEvent {
        let mut line = String::new();
        loop {
            line.clear();
            match self.lines.read_line(&mut line) {
                // Without its end the line may have been cut.
                Ok(_) if !line.ends_with('\n') => return UpstreamEvent::Broken,
                Ok(_) => {}
                Err(err) if is_timeout(&err) => return UpstreamEvent::ReadTimeout,
                Err(_) => return UpstreamEvent::Broken,
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if !line.is_empty() {
                self.read_field(line);
            } else if let Some(event) = self.end_event() {
                return event;
            }
        }
    }

    /// Reads one field of an event.
    fn read_field(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.event_id = value.parse().ok(),
            "data" => self.data.push_str(value),
            _ => {}
        }
    }

    /// Handles a complete event; returns `None` if it has no data.
    fn end_event(&mut self) -> Option<UpstreamEvent> {
        let data = std::mem::take(&mut self.data);
        if data.is_empty() || data == DONE {
            return None;
        }
        match serde_json::from_str(&data) {
            Ok(chunk) => self.chunk_event(chunk),
            Err(err) => {
                log::warn!("event=upstream_event_unread cause=\"{err}\"");
                Some(UpstreamEvent::Broken)
            }
        }
    }

    /// Converts a chunk; returns `None` if it has neither text nor token
    /// counts.
    fn chunk_event(&mut self, chunk: Chunk) -> Option<UpstreamEvent> {
        if let Some(choice) = chunk.choices.into_iter().next() {
            if choice.finish_reason.as_deref() == Some("length") {
                self.finish = FinishReason::Length;
            }
            if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
                return Some(self.text_event(text));
            }
        }
        let usage = chunk.usage?;
        Some(UpstreamEvent::End {
            position: self.event_id.take(),
            finish: self.finish,
            usage: Usage {
                prompt: Tokens(usage.prompt_tokens),
                cached: Tokens(usage.prompt_tokens_details.cached_tokens),
                output: Tokens(usage.completion_tokens),
            },
        })
    }

    /// Assigns a position to a text. A text without an event id counts as one
    /// token.
    fn text_event(&mut self, text: Box<str>) -> UpstreamEvent {
        let position = self.event_id.take().unwrap_or(self.position + 1);
        let tokens = position.saturating_sub(self.position).max(1);
        self.position = position;
        UpstreamEvent::Text {
            position,
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            text,
        }
    }
}
