//! Decides what to do with each thing that an upstream's connection says.
//!
//! A connection can fall silent, break, repeat events or skip some. The
//! tracker passes each token on once and in order, asks for a fresh
//! connection where the old one is of no use, and ends the attempt within
//! bounded time and at its reservation.

use {
    crate::request::Usage,
    quay_types::{Error, ErrorKind, FinishReason, Time, Tokens},
    std::time::Duration,
};

/// Limits of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamTrackerSettings {
    /// Whether the upstream may see the request more than once.
    pub idempotent: bool,
    /// Tokens after which the answer is cut.
    pub max_output: Tokens,
    /// Estimate of the prompt, for answers that end without a count.
    pub prompt: Tokens,
    /// The attempt ends then at the latest.
    pub deadline: Time,
    /// Longest time without a token.
    pub token_timeout: Duration,
    /// Connections that may break in a row without a token in between.
    pub max_disconnects: u32,
}

impl Default for StreamTrackerSettings {
    fn default() -> Self {
        Self {
            idempotent: true,
            max_output: Tokens(1_024),
            prompt: Tokens(0),
            deadline: Time::from_millis(600_000),
            token_timeout: Duration::from_mins(1),
            max_disconnects: 3,
        }
    }
}

/// What a connection to the upstream says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// Part of the answer.
    Text {
        /// Tokens of the answer up to and with this text.
        position: u64,
        /// Tokens in the text.
        tokens: u32,
        /// The text.
        text: Box<str>,
    },
    /// The upstream says that the answer is whole.
    End {
        /// Tokens of the whole answer; `None` if it keeps no count.
        position: Option<u64>,
        /// Why it ended.
        finish: FinishReason,
        /// Tokens that it counted.
        usage: Usage,
    },
    /// Nothing arrived for the read timeout.
    ReadTimeout,
    /// The connection ended early.
    Broken,
    /// No connection could be made.
    Unreachable,
    /// The upstream does not know the stream.
    Unknown,
    /// The upstream answered with an error.
    Rejected {
        /// What the caller is told.
        error: Error,
        /// Whether it speaks against the upstream rather than the request.
        fault: bool,
    },
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Pass text on that begins at the byte `offset` of the answer.
    Forward {
        /// Bytes before the text.
        offset: u64,
        /// Tokens in the text.
        tokens: u32,
        /// The text.
        text: Box<str>,
    },
    /// Read on.
    Read,
    /// Go on with a fresh connection after this many tokens.
    Resume(u64),
    /// Send the request again; the upstream never had it.
    Resend,
    /// The answer is whole.
    End(FinishReason, Usage),
    /// The answer is cut at the reservation: stop the upstream.
    Truncate(Usage),
    /// The attempt never ran.
    NotRun(Error),
    /// The attempt failed: stop the upstream if it can be reached.
    Fail(Error),
}

/// What one attempt has passed on.
#[derive(Debug)]
pub struct StreamTracker {
    settings: StreamTrackerSettings,
    /// Tokens passed on.
    tokens: u64,
    /// Bytes passed on.
    bytes: u64,
    /// When the last token came, or the attempt began.
    moved: Time,
    /// Connections that broke since then.
    breaks: u32,
    /// Whether a byte of the request may have reached the upstream.
    sent: bool,
    /// Whether the request was sent again.
    repeated: bool,
    /// Whether the upstream refused the request for the request's own fault.
    blameless: bool,
}

impl StreamTracker {
    /// An attempt that begins at `now`.
    #[must_use]
    pub const fn new(settings: StreamTrackerSettings, now: Time) -> Self {
        Self {
            settings,
            tokens: 0,
            bytes: 0,
            moved: now,
            breaks: 0,
            sent: false,
            repeated: false,
            blameless: false,
        }
    }

    /// Whether a failure does not speak against the upstream.
    #[must_use]
    pub const fn blameless(&self) -> bool {
        self.blameless
    }

    /// Takes what a connection says.
    #[must_use]
    pub fn handle(&mut self, now: Time, input: UpstreamEvent) -> StreamAction {
        if now >= self.settings.deadline {
            return StreamAction::Fail(Error::new(
                ErrorKind::DeadlineExceeded,
                "the deadline passed while the upstream ran",
            ));
        }
        if input != UpstreamEvent::Unreachable {
            self.sent = true;
        }
        match input {
            UpstreamEvent::Text {
                position,
                tokens,
                text,
            } => self.text(now, position, tokens, text),
            UpstreamEvent::End {
                position,
                finish,
                usage,
            } => self.end(position, finish, usage),
            UpstreamEvent::ReadTimeout => self.silent(now),
            UpstreamEvent::Broken => self.broken(),
            UpstreamEvent::Unreachable => self.unreachable(),
            UpstreamEvent::Unknown => self.unknown(),
            UpstreamEvent::Rejected { error, fault } => {
                self.blameless = !fault;
                StreamAction::Fail(error)
            }
        }
    }

    /// Passes text on if it is the next.
    fn text(&mut self, now: Time, position: u64, tokens: u32, text: Box<str>) -> StreamAction {
        if position <= self.tokens {
            return StreamAction::Read;
        }
        if position.checked_sub(u64::from(tokens)) != Some(self.tokens) {
            // Events are missing, or the text overlaps what was passed on.
            return self.broken();
        }
        if position > self.settings.max_output.0 {
            return StreamAction::Truncate(self.cut());
        }
        let offset = self.bytes;
        self.tokens = position;
        self.bytes += text.len() as u64;
        self.moved = now;
        self.breaks = 0;
        StreamAction::Forward {
            offset,
            tokens,
            text,
        }
    }

    /// Ends the answer unless tokens are missing.
    fn end(&mut self, position: Option<u64>, finish: FinishReason, usage: Usage) -> StreamAction {
        match position {
            Some(position) if position > self.tokens => self.broken(),
            _ => StreamAction::End(finish, usage),
        }
    }

    /// Goes on with a fresh connection until the upstream was quiet too long.
    fn silent(&mut self, now: Time) -> StreamAction {
        if now.since(self.moved) >= self.settings.token_timeout {
            return StreamAction::Fail(self.lost("the upstream was quiet for too long"));
        }
        StreamAction::Resume(self.tokens)
    }

    /// Goes on with a fresh connection, a few times.
    fn broken(&mut self) -> StreamAction {
        self.breaks += 1;
        if self.breaks > self.settings.max_disconnects {
            return StreamAction::Fail(self.lost("connections to the upstream break"));
        }
        StreamAction::Resume(self.tokens)
    }

    /// Nothing listens: not run if no byte of the request was ever sent.
    fn unreachable(&mut self) -> StreamAction {
        if self.sent {
            return StreamAction::Fail(self.lost("the upstream can't be reached any more"));
        }
        StreamAction::NotRun(Error::new(
            ErrorKind::NoUpstream,
            "the upstream takes no connections",
        ))
    }

    /// The upstream never had the request, or has lost it.
    fn unknown(&mut self) -> StreamAction {
        if self.settings.idempotent && self.tokens == 0 && !self.repeated {
            self.repeated = true;
            return StreamAction::Resend;
        }
        StreamAction::Fail(self.lost("the upstream has lost the stream"))
    }

    /// The usage of an answer that is cut.
    const fn cut(&self) -> Usage {
        Usage {
            prompt: self.settings.prompt,
            cached: Tokens(0),
            output: Tokens(self.tokens),
        }
    }

    /// The error for an upstream that is gone while the request may have run.
    fn lost(&self, message: &str) -> Error {
        let kind = if self.settings.idempotent {
            ErrorKind::UpstreamLost
        } else {
            ErrorKind::OutcomeUnknown
        };
        Error::new(kind, message)
    }
}
