//! HTTP client that makes streamed model calls.

use {
    serde_json::Value,
    std::{
        error::Error,
        io::{BufRead as _, BufReader},
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Read time-out of a response.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// Error that can be sent between threads.
pub type CallError = Box<dyn Error + Send + Sync>;

/// Address and parameters of calls.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of an entry or engine.
    pub addr: SocketAddr,
    /// Bearer key of the client account.
    pub key: Box<str>,
    /// Model to call.
    pub model: Box<str>,
    /// Maximum number of tokens per answer.
    pub max_tokens: u64,
}

/// Text and measurements of one completed call.
#[derive(Debug, Default)]
pub struct CallOutcome {
    /// Time from the request to the first token.
    pub first: Duration,
    /// Time from the request to the end of the stream.
    pub whole: Duration,
    /// Generated text.
    pub text: String,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached: u64,
    /// Number of generated tokens.
    pub output: u64,
    /// Age on arrival of each token whose text is a timestamp.
    pub ages: Vec<Duration>,
}

impl Target {
    /// Creates the HTTP agent of one caller.
    pub fn agent() -> ureq::Agent {
        ureq::AgentBuilder::new().timeout_read(READ_TIMEOUT).build()
    }

    /// Builds an authorized POST request to a path of the target.
    pub fn post(&self, agent: &ureq::Agent, path: &str) -> ureq::Request {
        agent
            .post(&format!("http://{}{path}", self.addr))
            .set("authorization", &format!("Bearer {}", self.key))
    }

    /// Makes one streamed call. `headers` may name the program and the call.
    pub fn call(
        &self,
        agent: &ureq::Agent,
        messages: &Value,
        headers: &[(&str, &str)],
    ) -> Result<CallOutcome, CallError> {
        let body = serde_json::json!({
            "model": self.model, "stream": true, "stream_options": {"include_usage": true},
            "max_tokens": self.max_tokens, "messages": messages,
        });
        let mut req = self.post(agent, "/v1/chat/completions");
        for (name, value) in headers {
            req = req.set(name, value);
        }
        let started = Instant::now();
        let response = match req.send_string(&body.to_string()) {
            Ok(response) => response,
            Err(ureq::Error::Status(status, response)) => {
                return Err(format!("{status}: {}", response.into_string()?).into());
            }
            Err(err) => return Err(err.into()),
        };
        let mut outcome = CallOutcome::default();
        let mut finished = false;
        for line in BufReader::new(response.into_reader()).lines() {
            let line = line?;
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                finished = true;
                continue;
            }
            outcome.add_event(&serde_json::from_str(data)?, started)?;
        }
        outcome.whole = started.elapsed();
        if finished {
            Ok(outcome)
        } else {
            Err("the stream ended without data: [DONE]".into())
        }
    }
}

impl CallOutcome {
    /// Adds one server-sent event; fails if it reports an error.
    fn add_event(&mut self, event: &Value, started: Instant) -> Result<(), CallError> {
        if let Some(kind) = event["error"]["kind"].as_str() {
            return Err(kind.into());
        }
        let usage = &event["usage"];
        if usage.is_object() {
            let count = |name: &str| usage[name].as_u64().unwrap_or_default();
            self.prompt = count("prompt_tokens");
            self.output = count("completion_tokens");
            let cached = &usage["prompt_tokens_details"]["cached_tokens"];
            self.cached = cached.as_u64().unwrap_or_default();
        }
        let text = event["choices"][0]["delta"]["content"].as_str();
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            if self.text.is_empty() {
                self.first = started.elapsed();
            }
            if let Some(age) = age(text) {
                self.ages.push(age);
            }
            self.text.push_str(text);
        }
        Ok(())
    }
}

/// Age of a token whose text is the time at which it was written, as `us`
/// followed by microseconds since the Unix epoch.
fn age(text: &str) -> Option<Duration> {
    let written: u64 = text.trim().strip_prefix("us")?.parse().ok()?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    now.checked_sub(Duration::from_micros(written))
}
