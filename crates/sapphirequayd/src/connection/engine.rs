//! Client of a model engine's HTTP interface.

use {
    quay_types::{Error, ErrorKind, FinishReason, Result, Tokens},
    serde::Deserialize,
    std::{
        io::{BufRead as _, BufReader, Read},
        net::SocketAddr,
        time::Duration,
    },
};

/// Limit of setting up a connection to the upstream on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An upstream that sends nothing for so long is taken for silent.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Prefix of a line that carries an event.
const DATA: &str = "data: ";

/// Event after which nothing follows.
const DONE: &str = "[DONE]";

/// Calls one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    agent: ureq::Agent,
    url: Box<str>,
}

/// What an engine says while it answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// Part of the answer.
    Delta(Box<str>),
    /// The answer is whole.
    End {
        /// Why it ended.
        finish: FinishReason,
        /// Prompt tokens.
        prompt: Tokens,
        /// Prompt tokens found in the prefix cache.
        cached: Tokens,
        /// Tokens generated.
        output: Tokens,
    },
}

/// One chunk of a streamed completion.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
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
struct Usage {
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
            .max_idle_connections(0)
            .build();
        Self {
            agent,
            url: format!("http://{addr}/v1/chat/completions").into(),
        }
    }

    /// Starts a completion and returns its events.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UpstreamError`] if the engine answers with an error,
    /// [`ErrorKind::OutcomeUnknown`] if it does not answer.
    pub fn complete(
        &self,
        body: &[u8],
    ) -> Result<impl Iterator<Item = Result<EngineEvent>> + use<>> {
        let sent = self
            .agent
            .post(&self.url)
            .set("content-type", "application/json")
            .send_bytes(body);
        let response = sent.map_err(|err| match err {
            ureq::Error::Status(status, _) => Error::new(
                ErrorKind::UpstreamError,
                format!("the upstream answered {status}"),
            ),
            ureq::Error::Transport(err) => {
                Error::new(ErrorKind::OutcomeUnknown, format!("upstream: {err}"))
            }
        })?;
        Ok(events(response.into_reader()))
    }
}

/// Reads events until the end mark or an error.
fn events(body: impl Read) -> impl Iterator<Item = Result<EngineEvent>> {
    let mut finish = FinishReason::Stop;
    BufReader::new(body)
        .lines()
        .filter_map(move |line| match line {
            Ok(line) => line
                .strip_prefix(DATA)
                .and_then(|data| event(data, &mut finish)),
            Err(err) => Some(Err(Error::new(
                ErrorKind::OutcomeUnknown,
                format!("upstream: {err}"),
            ))),
        })
}

/// Decodes one event; `None` for those that say nothing.
fn event(data: &str, finish: &mut FinishReason) -> Option<Result<EngineEvent>> {
    if data == DONE {
        return None;
    }
    let chunk: Chunk = match serde_json::from_str(data) {
        Ok(chunk) => chunk,
        Err(err) => {
            return Some(Err(Error::new(
                ErrorKind::UpstreamError,
                format!("upstream event: {err}"),
            )));
        }
    };
    if let Some(choice) = chunk.choices.into_iter().next() {
        if choice.finish_reason.as_deref() == Some("length") {
            *finish = FinishReason::Length;
        }
        if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
            return Some(Ok(EngineEvent::Delta(text)));
        }
    }
    let usage = chunk.usage?;
    Some(Ok(EngineEvent::End {
        finish: *finish,
        prompt: Tokens(usage.prompt_tokens),
        cached: Tokens(usage.prompt_tokens_details.cached_tokens),
        output: Tokens(usage.completion_tokens),
    }))
}
