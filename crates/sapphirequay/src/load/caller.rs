//! One streamed call, as an ordinary client makes it.

use {
    serde_json::Value,
    std::{
        error::Error,
        io::{BufRead as _, BufReader},
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Longest silence that a caller bears.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// An error that can pass between threads.
pub type Fault = Box<dyn Error + Send + Sync>;

/// Where calls go.
#[derive(Debug, Clone)]
pub struct Target {
    /// Entry or engine.
    pub addr: SocketAddr,
    /// Bearer key.
    pub key: Box<str>,
    /// Model.
    pub model: Box<str>,
    /// Most tokens of an answer.
    pub max_tokens: u64,
}

/// What one call gave.
#[derive(Debug, Default)]
pub struct Answered {
    /// Time to the first token.
    pub first: Duration,
    /// Time to the end mark.
    pub whole: Duration,
    /// The text.
    pub text: String,
    /// Prompt tokens.
    pub prompt: u64,
    /// Prompt tokens that were in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub output: u64,
    /// For each token that tells when it was made: its age on arrival.
    pub ages: Vec<Duration>,
}

impl Target {
    /// An agent of one caller.
    pub fn agent() -> ureq::Agent {
        ureq::AgentBuilder::new().timeout_read(READ_TIMEOUT).build()
    }

    /// Posts to a path of the target.
    pub fn post(&self, agent: &ureq::Agent, path: &str) -> ureq::Request {
        agent
            .post(&format!("http://{}{path}", self.addr))
            .set("authorization", &format!("Bearer {}", self.key))
    }

    /// Makes one streamed call; `headers` say which call of which program.
    pub fn call(
        &self,
        agent: &ureq::Agent,
        messages: &Value,
        headers: &[(&str, &str)],
    ) -> Result<Answered, Fault> {
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
        let mut answered = Answered::default();
        let mut ended = false;
        for line in BufReader::new(response.into_reader()).lines() {
            let line = line?;
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                ended = true;
                continue;
            }
            answered.take(&serde_json::from_str(data)?, started)?;
        }
        answered.whole = started.elapsed();
        if ended {
            Ok(answered)
        } else {
            Err("the answer has no end mark".into())
        }
    }
}

impl Answered {
    /// Takes one event.
    fn take(&mut self, event: &Value, started: Instant) -> Result<(), Fault> {
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

/// Age of a token whose text is the time at which it was made.
fn age(text: &str) -> Option<Duration> {
    let made: u64 = text.trim().strip_prefix("us")?.parse().ok()?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    now.checked_sub(Duration::from_micros(made))
}
