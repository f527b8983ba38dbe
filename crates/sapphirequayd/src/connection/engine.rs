//! Client of a model engine's HTTP interface.
//!
//! The request carries a stream id of the sidecar's choice in
//! `Sapphirequay-Stream`. Events carry the number of tokens so far as their
//! `id:`. `GET /v1/streams/ID` with `Last-Event-ID` goes on after that token on
//! a fresh connection; `DELETE /v1/streams/ID` cancels.

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

/// Limit of setting up a connection to the upstream on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection on which nothing arrives for so long is left for a fresh one.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a cancellation takes.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of an error's text that are passed on.
const MAX_ERROR_BYTES: u64 = 500;

/// Statuses from here on speak against the upstream, those below against the request.
const FIRST_FAULT_STATUS: u16 = 500;

/// Event after which nothing follows.
const DONE: &str = "[DONE]";

/// Identity of one answer at the upstream, across connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamId {
    /// Run of the sidecar.
    pub incarnation: u64,
    /// Number of the attempt in that run.
    pub attempt: u64,
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.incarnation, self.attempt)
    }
}

/// Calls one engine.
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
    usage: Option<Counts>,
}

/// The only choice of a chunk.
#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<Box<str>>,
}

/// New text.
#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<Box<str>>,
}

/// Tokens that the engine counted.
#[derive(Debug, Deserialize)]
struct Counts {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Details,
}

/// Part of the prompt that was cached.
#[derive(Debug, Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

impl EngineClient {
    /// A client of the engine at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        // No pool: a pooled connection may be dead, and its failure would leave
        // open whether the request ran.
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
    /// What the connection said instead of a stream.
    pub fn start(&self, id: StreamId, body: &[u8]) -> Result<EngineStream, UpstreamEvent> {
        let sent = self
            .agent
            .post(&format!("{}/v1/chat/completions", self.base))
            .set("content-type", "application/json")
            .set("sapphirequay-stream", &id.to_string())
            .send_bytes(body);
        EngineStream::open(sent, 0)
    }

    /// Goes on with a completion after `tokens` tokens.
    ///
    /// # Errors
    ///
    /// What the connection said instead of a stream.
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

    /// Tells the engine to stop; reports whether it has heard.
    #[must_use]
    pub fn cancel(&self, id: StreamId) -> bool {
        let sent = self
            .agent
            .delete(&format!("{}/v1/streams/{id}", self.base))
            .timeout(CANCEL_TIMEOUT)
            .call();
        !matches!(sent, Err(ureq::Error::Transport(_)))
    }

    /// Has the engine drop blocks of its prefix cache; `false` if it did not.
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

/// What a failed exchange says of the upstream.
fn said(err: ureq::Error) -> UpstreamEvent {
    match err {
        ureq::Error::Status(status, response) => {
            let mut text = String::new();
            let body = response.into_reader().take(MAX_ERROR_BYTES);
            let _ = BufReader::new(body).read_to_string(&mut text);
            let error = Error::new(
                ErrorKind::UpstreamError,
                format!("the upstream answered {status}: {text}"),
            );
            UpstreamEvent::Rejected {
                error,
                fault: status >= FIRST_FAULT_STATUS,
            }
        }
        ureq::Error::Transport(err) => match err.kind() {
            ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => UpstreamEvent::Unreachable,
            _ if timed_out(&err) => UpstreamEvent::ReadTimeout,
            _ => UpstreamEvent::Broken,
        },
    }
}

/// Whether a read timed out, wherever in the chain of causes it is.
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

/// Whether a read took too long.
fn is_timeout(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}

// ----------------------------------------------------------------------------
// Events

/// One connection on which an answer comes.
pub struct EngineStream {
    lines: BufReader<Box<dyn Read + Send + Sync>>,
    /// Tokens up to the last event.
    position: u64,
    /// Number that the next event carries.
    event_id: Option<u64>,
    finish: FinishReason,
}

impl EngineStream {
    /// The stream of an answered request.
    fn open(
        sent: Result<ureq::Response, ureq::Error>,
        position: u64,
    ) -> Result<Self, UpstreamEvent> {
        let response = sent.map_err(said)?;
        Ok(Self {
            lines: BufReader::new(response.into_reader()),
            position,
            event_id: None,
            finish: FinishReason::Stop,
        })
    }

    /// The next thing that the engine says.
    pub fn next(&mut self) -> UpstreamEvent {
        let mut line = String::new();
        loop {
            line.clear();
            match self.lines.read_line(&mut line) {
                Ok(0) => return UpstreamEvent::Broken,
                Ok(_) => {}
                Err(err) if is_timeout(&err) => return UpstreamEvent::ReadTimeout,
                Err(_) => return UpstreamEvent::Broken,
            }
            if let Some(input) = self.line(line.trim_end()) {
                return input;
            }
        }
    }

    /// Takes one line; `None` for those that say nothing by themselves.
    fn line(&mut self, line: &str) -> Option<UpstreamEvent> {
        if let Some(id) = line.strip_prefix("id: ") {
            self.event_id = id.parse().ok();
            return None;
        }
        let data = line.strip_prefix("data: ")?;
        if data == DONE {
            return None;
        }
        match serde_json::from_str(data) {
            Ok(chunk) => self.chunk(chunk),
            Err(err) => Some(UpstreamEvent::Rejected {
                error: Error::new(ErrorKind::UpstreamError, format!("upstream event: {err}")),
                fault: true,
            }),
        }
    }

    /// Takes one chunk; `None` if it carries neither text nor counts.
    fn chunk(&mut self, chunk: Chunk) -> Option<UpstreamEvent> {
        if let Some(choice) = chunk.choices.into_iter().next() {
            if choice.finish_reason.as_deref() == Some("length") {
                self.finish = FinishReason::Length;
            }
            if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
                return Some(self.text(text));
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

    /// Numbers a text; one without a number is one token.
    fn text(&mut self, text: Box<str>) -> UpstreamEvent {
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
