//! Client of a model engine's HTTP interface.
//!
//! A request carries a stream id, chosen by the sidecar, in the header
//! `Sapphirequay-Stream`. The `id:` of an event is the number of tokens
//! generated so far. `GET /v1/streams/ID` with `Last-Event-ID` resumes the
//! stream after that token on a new connection; `DELETE /v1/streams/ID` cancels
//! the stream.

use {
    crate::{
        connection::{ExchangeError, HeadWait, ResponseLimits, UpstreamClient, UpstreamResponse},
        gateway::MemoryGuard,
        request::{UpstreamEvent, Usage},
    },
    bytes::BytesMut,
    http::{Request, StatusCode, header},
    quay_types::{Error, ErrorKind, FinishReason, Tokens},
    serde::Deserialize,
    std::{
        fmt,
        time::{Duration, Instant},
    },
};

/// Time without a byte, or without an event, after which the state of a stream is looked
/// at; without a byte, its connection is replaced by a new one.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the head of a stream.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time-out of a request to cancel a stream or to release blocks.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes of an upstream's error body that are logged.
const MAX_ERROR_BYTES: usize = 500;

/// Most time for reading these.
const ERROR_TIMEOUT: Duration = Duration::from_secs(2);

/// Lowest HTTP status that counts as a fault of the upstream; lower error
/// statuses are a fault of the request.
const MIN_FAULT_STATUS: u16 = 500;

/// Media type of a response that is a stream.
const STREAM_TYPE: &str = "text/event-stream";

/// Data of the last event of a stream.
const DONE: &[u8] = b"[DONE]";

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
    client: UpstreamClient,
    limits: ResponseLimits,
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
    /// Creates a client of an engine whose responses are held within `limits`.
    #[must_use]
    pub const fn new(client: UpstreamClient, limits: ResponseLimits) -> Self {
        Self { client, limits }
    }

    /// Starts a completion.
    ///
    /// # Errors
    ///
    /// Returns the event to handle if no stream was opened.
    pub fn start(&self, id: StreamId, body: &[u8]) -> Result<EngineStream, UpstreamEvent> {
        let req = Request::post("/v1/chat/completions")
            .header(header::CONTENT_TYPE, "application/json")
            .header("sapphirequay-stream", id.to_string());
        let response = self.client.send(req, body, STREAM_WAIT);
        self.open(response.map_err(|err| error_event(&err))?, 0)
    }

    /// Resumes a completion after its first `tokens` tokens.
    ///
    /// # Errors
    ///
    /// Returns the event to handle if no stream was opened.
    pub fn resume(&self, id: StreamId, tokens: u64) -> Result<EngineStream, UpstreamEvent> {
        let req = Request::get(format!("/v1/streams/{id}")).header("last-event-id", tokens);
        let response = self.client.send(req, &[], STREAM_WAIT);
        let response = response.map_err(|err| error_event(&err))?;
        if response.status == StatusCode::NOT_FOUND {
            return Err(UpstreamEvent::Unknown);
        }
        self.open(response, tokens)
    }

    /// Opens the stream of a response, after `position` tokens.
    fn open(
        &self,
        response: UpstreamResponse,
        position: u64,
    ) -> Result<EngineStream, UpstreamEvent> {
        if response.status != StatusCode::OK || media_type(&response) != STREAM_TYPE {
            return Err(rejected(response));
        }
        Ok(EngineStream {
            response,
            limits: self.limits.clone(),
            held: self.limits.reservation(),
            unread: BytesMut::new(),
            searched: 0,
            skipped: 0,
            position,
            event_id: None,
            data: Vec::new(),
            finish: FinishReason::Stop,
        })
    }

    /// Cancels a completion. Returns `true` if the engine sent any response.
    #[must_use]
    pub fn cancel(&self, id: StreamId) -> bool {
        let req = Request::delete(format!("/v1/streams/{id}"));
        let sent = self.client.send(req, &[], HeadWait::of(CANCEL_TIMEOUT));
        sent.is_ok()
    }

    /// Releases blocks of the engine's prefix cache; returns `false` on
    /// failure.
    #[must_use]
    pub fn release(&self, blocks: &[u64]) -> bool {
        if blocks.is_empty() {
            return true;
        }
        let req = Request::post("/v1/kv/release").header(header::CONTENT_TYPE, "application/json");
        let body = serde_json::json!({ "blocks": blocks }).to_string();
        let wait = HeadWait::of(CANCEL_TIMEOUT);
        let sent = self.client.send(req, body.as_bytes(), wait);
        sent.is_ok_and(|response| !is_error(response.status))
    }
}

/// Longest waits for the head of a stream.
const STREAM_WAIT: HeadWait = HeadWait {
    silence: READ_TIMEOUT,
    total: HEAD_TIMEOUT,
};

/// Whether a status is that of an error.
fn is_error(status: StatusCode) -> bool {
    status.is_client_error() || status.is_server_error()
}

/// Media type of a response without its parameters; empty if it has none.
fn media_type(response: &UpstreamResponse) -> &str {
    let value = response.headers.get(header::CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    let text = text.unwrap_or_default();
    text.split_once(';').map_or(text, |(media, _)| media).trim()
}

/// Converts a failed request into an upstream event.
fn error_event(err: &ExchangeError) -> UpstreamEvent {
    log::debug!("event=upstream_unanswered cause=\"{err}\"");
    match err {
        ExchangeError::NotSent(_) => UpstreamEvent::Unreachable,
        ExchangeError::TimedOut => UpstreamEvent::ReadTimeout,
        ExchangeError::Broken(_) => UpstreamEvent::Broken,
    }
}

/// Event for a response that is no stream. Its text is only logged: it is not the
/// caller's, and would be in the middle of its response if the stream had begun.
fn rejected(mut response: UpstreamResponse) -> UpstreamEvent {
    let status = response.status;
    let (mut text, began) = (Vec::new(), Instant::now());
    while text.len() < MAX_ERROR_BYTES {
        let left = ERROR_TIMEOUT.saturating_sub(began.elapsed());
        let Ok(Some(part)) = response.next_part(left) else {
            break;
        };
        text.extend_from_slice(&part[..part.len().min(MAX_ERROR_BYTES - text.len())]);
    }
    log::warn!(
        "event=upstream_rejected status={} body={:?}",
        status.as_u16(),
        String::from_utf8_lossy(&text)
    );
    let message = if status == StatusCode::OK {
        "the upstream's response is not an event stream".to_owned()
    } else {
        format!("the upstream responded with status {}", status.as_u16())
    };
    UpstreamEvent::Rejected {
        error: Error::new(ErrorKind::UpstreamError, message),
        fault: !(400..MIN_FAULT_STATUS).contains(&status.as_u16()),
    }
}

// ----------------------------------------------------------------------------
// Event stream

/// Response stream on one connection.
pub struct EngineStream {
    response: UpstreamResponse,
    limits: ResponseLimits,
    /// Memory of the unfinished event.
    held: MemoryGuard,
    /// Bytes that arrived and are not read, at the end an unfinished line.
    unread: BytesMut,
    /// Number of bytes of `unread` that are known to hold no end of a line.
    searched: usize,
    /// Bytes read since the last event that continued the response.
    skipped: usize,
    /// Number of tokens up to the last event.
    position: u64,
    /// Id of the event being read, which is its number of tokens so far.
    event_id: Option<u64>,
    /// Data of the event being read.
    data: Vec<u8>,
    finish: FinishReason,
}

impl EngineStream {
    /// Waits for the next event of the engine.
    pub fn next(&mut self) -> UpstreamEvent {
        let began = Instant::now();
        loop {
            while let Some(line) = self.next_line() {
                self.skipped += line.len();
                if let Some(event) = self.read_line(&line) {
                    self.skipped = 0;
                    return event;
                }
            }
            if !self.hold() {
                return UpstreamEvent::Endless;
            }
            if began.elapsed() >= READ_TIMEOUT {
                return UpstreamEvent::Idle;
            }
            match self.response.next_part(READ_TIMEOUT) {
                Ok(Some(part)) => self.unread.extend_from_slice(&part),
                Err(ExchangeError::TimedOut) => return UpstreamEvent::ReadTimeout,
                // Without its end the line may have been cut.
                Ok(None) | Err(_) => return UpstreamEvent::Broken,
            }
        }
    }

    /// Takes the next complete line, with its end.
    fn next_line(&mut self) -> Option<BytesMut> {
        let rest = &self.unread[self.searched..];
        let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.unread.len();
            return None;
        };
        let len = self.searched + end + 1;
        self.searched = 0;
        Some(self.unread.split_to(len))
    }

    /// Counts the memory of what is unfinished. Returns `false` if it is too much, or too
    /// much has been skipped.
    fn hold(&mut self) -> bool {
        self.skipped + self.unread.len() <= self.limits.event_bytes
            && self
                .limits
                .hold(&mut self.held, self.unread.len() + self.data.len())
    }

    /// Reads a line; returns the event that it ends.
    fn read_line(&mut self, line: &[u8]) -> Option<UpstreamEvent> {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return self.end_event();
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = colon.map_or((line, &b""[..]), |at| (&line[..at], &line[at + 1..]));
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"id" => {
                let text = std::str::from_utf8(value).ok();
                self.event_id = text.and_then(|text| text.parse().ok());
            }
            b"data" => self.data.extend_from_slice(value),
            _ => {}
        }
        None
    }

    /// Handles a complete event; returns `None` if it does not continue the response.
    fn end_event(&mut self) -> Option<UpstreamEvent> {
        let data = std::mem::take(&mut self.data);
        if data.is_empty() || data == DONE {
            return None;
        }
        match serde_json::from_slice(&data) {
            Ok(chunk) => self.chunk_event(chunk),
            Err(err) => {
                log::warn!("event=upstream_event_unread cause=\"{err}\"");
                Some(UpstreamEvent::Broken)
            }
        }
    }

    /// Converts a chunk; returns `None` if it has no choice and no token counts, or
    /// repeats a token.
    fn chunk_event(&mut self, chunk: Chunk) -> Option<UpstreamEvent> {
        let choice = chunk.choices.into_iter().next();
        let has_choice = choice.is_some();
        if let Some(choice) = choice {
            if choice.finish_reason.as_deref() == Some("length") {
                self.finish = FinishReason::Length;
            }
            if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
                return self.text_event(text);
            }
        }
        let Some(usage) = chunk.usage else {
            return has_choice.then_some(UpstreamEvent::Silent);
        };
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

    /// Assigns a position to a text, unless it repeats a token. A text without an event
    /// id counts as one token.
    fn text_event(&mut self, text: Box<str>) -> Option<UpstreamEvent> {
        let position = self.event_id.take().unwrap_or(self.position + 1);
        let tokens = position.checked_sub(self.position).filter(|it| *it > 0)?;
        self.position = position;
        Some(UpstreamEvent::Text {
            position,
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            text,
        })
    }
}
