//! State machine that handles the events of an upstream's response stream.
//!
//! A connection can stall, break, or repeat or skip events. The tracker
//! forwards each token exactly once and in order, requests a new connection
//! where the old one is unusable, and ends the attempt within bounded time and
//! within its token reservation.

use {
    crate::request::Usage,
    quay_types::{Error, ErrorKind, FinishReason, Time, Tokens},
    std::time::Duration,
};

/// Delay before the second resumption in a row without a token; each further one waits
/// that much longer.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);

/// Number of steps without text that a response may have beside its tokens.
const MAX_SILENT_EVENTS: u64 = 64;

/// Limits of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamTrackerSettings {
    /// Whether the request may be sent to the upstream more than once.
    pub idempotent: bool,
    /// Output tokens after which the response is truncated.
    pub max_output: Tokens,
    /// Bytes of text that the response may have.
    pub max_bytes: u64,
    /// Estimated prompt tokens, reported for truncated responses.
    pub prompt: Tokens,
    /// Time at which the attempt is ended at the latest.
    pub deadline: Time,
    /// Longest time without a new token.
    pub token_timeout: Duration,
    /// Number of consecutive disconnects allowed without a token in between.
    pub max_disconnects: u32,
}

impl Default for StreamTrackerSettings {
    fn default() -> Self {
        Self {
            idempotent: true,
            max_output: Tokens(1_024),
            max_bytes: 4 << 20,
            prompt: Tokens(0),
            deadline: Time::from_millis(600_000),
            token_timeout: Duration::from_mins(1),
            max_disconnects: 3,
        }
    }
}

/// Event on a connection to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// Part of the response.
    Text {
        /// Tokens of the response up to and including this text.
        position: u64,
        /// Tokens in the text.
        tokens: u32,
        /// The text.
        text: Box<str>,
    },
    /// The upstream reports that the response is complete.
    End {
        /// Tokens of the complete response; `None` if the upstream keeps no
        /// count.
        position: Option<u64>,
        /// Why generation ended.
        finish: FinishReason,
        /// Token counts reported by the upstream.
        usage: Usage,
    },
    /// A step of the response without text, such as its role.
    Silent,
    /// Data arrived, but no event within the read time-out.
    Idle,
    /// Too much data arrived without an event that continues the response.
    Endless,
    /// No data arrived within the read time-out.
    ReadTimeout,
    /// The connection closed before the response was complete.
    Broken,
    /// No connection could be established.
    Unreachable,
    /// The upstream does not know the stream.
    Unknown,
    /// The upstream returned an error instead of the stream.
    Rejected {
        /// Error to return to the caller if the stream has not begun.
        error: Error,
        /// Whether the upstream, rather than the request, is at fault.
        fault: bool,
    },
}

/// Action that the caller of [`StreamTracker::handle`] performs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Forward text that starts at byte `offset` of the response.
    Forward {
        /// Bytes of the response before the text.
        offset: u64,
        /// Tokens in the text.
        tokens: u32,
        /// The text.
        text: Box<str>,
    },
    /// Read the next event.
    Read,
    /// Resume the stream on a new connection after this many tokens.
    Resume(u64),
    /// Send the request again, because the upstream never received it.
    Resend,
    /// The response is complete.
    End(FinishReason, Usage),
    /// The response reached its reservation: cancel the stream on the upstream.
    Truncate(Usage),
    /// The attempt did not run.
    NotRun(Error),
    /// The attempt failed: cancel the stream if the upstream can be reached.
    Fail(Error),
}

/// State of one attempt's response stream.
#[derive(Debug)]
pub struct StreamTracker {
    settings: StreamTrackerSettings,
    /// Tokens forwarded.
    tokens: u64,
    /// Bytes forwarded.
    bytes: u64,
    /// Steps without text.
    silent: u64,
    /// Time of the last token or step, or of the attempt's start.
    last_progress: Time,
    /// Disconnects since `last_progress`.
    disconnects: u32,
    /// Whether any byte of the request may have reached the upstream.
    sent: bool,
    /// Number of times that the request was sent again.
    resends: u32,
    /// Whether the latest connection resumes the stream.
    resuming: bool,
    /// Whether the upstream rejected the request because of the request itself.
    request_at_fault: bool,
}

impl StreamTracker {
    /// Creates the state of an attempt that starts at `now`.
    #[must_use]
    pub const fn new(settings: StreamTrackerSettings, now: Time) -> Self {
        Self {
            settings,
            tokens: 0,
            bytes: 0,
            silent: 0,
            last_progress: now,
            disconnects: 0,
            sent: false,
            resends: 0,
            resuming: false,
            request_at_fault: false,
        }
    }

    /// Whether a failure is due to the request and says nothing about the
    /// upstream's health.
    #[must_use]
    pub const fn request_at_fault(&self) -> bool {
        self.request_at_fault
    }

    /// Handles an event and returns the action to perform.
    #[must_use]
    pub fn handle(&mut self, now: Time, event: UpstreamEvent) -> StreamAction {
        if now >= self.settings.deadline {
            return StreamAction::Fail(Error::new(
                ErrorKind::DeadlineExceeded,
                "the deadline passed while the upstream was generating",
            ));
        }
        if event != UpstreamEvent::Unreachable {
            self.sent = true;
        }
        match event {
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
            UpstreamEvent::Silent => self.silent(now),
            UpstreamEvent::Idle => self.idle(now).unwrap_or(StreamAction::Read),
            UpstreamEvent::Endless => StreamAction::Fail(
                self.lost("the upstream sent more without a token than the sidecar holds"),
            ),
            UpstreamEvent::ReadTimeout => self.idle(now).unwrap_or_else(|| self.resume()),
            UpstreamEvent::Broken => self.broken(),
            UpstreamEvent::Unreachable => self.unreachable(),
            UpstreamEvent::Unknown => self.unknown(),
            // A refused resumption is not an answer to the request.
            UpstreamEvent::Rejected { .. } if self.resuming => self.broken(),
            UpstreamEvent::Rejected { error, fault } => {
                self.request_at_fault = !fault;
                StreamAction::Fail(error)
            }
        }
    }

    /// Forwards text if it directly follows the forwarded tokens.
    fn text(&mut self, now: Time, position: u64, tokens: u32, text: Box<str>) -> StreamAction {
        if position <= self.tokens {
            return StreamAction::Read;
        }
        if position.checked_sub(u64::from(tokens)) != Some(self.tokens) {
            // Events are missing, or the text overlaps tokens already
            // forwarded.
            return self.broken();
        }
        if position > self.settings.max_output.0 {
            return StreamAction::Truncate(self.truncated_usage());
        }
        if self.bytes + text.len() as u64 > self.settings.max_bytes {
            return StreamAction::Fail(self.lost("the response is too large"));
        }
        let offset = self.bytes;
        self.tokens = position;
        self.bytes += text.len() as u64;
        self.last_progress = now;
        self.disconnects = 0;
        StreamAction::Forward {
            offset,
            tokens,
            text,
        }
    }

    /// Ends the response; reconnects if tokens are missing.
    fn end(&mut self, position: Option<u64>, finish: FinishReason, usage: Usage) -> StreamAction {
        match position {
            Some(position) if position > self.tokens => self.broken(),
            _ => StreamAction::End(finish, usage),
        }
    }

    /// Counts a step without text. More of them than tokens were asked for are no
    /// response.
    fn silent(&mut self, now: Time) -> StreamAction {
        self.silent += 1;
        let max = self.settings.max_output.0.saturating_add(MAX_SILENT_EVENTS);
        if self.silent > max {
            return StreamAction::Fail(self.lost("the upstream sent too many events without text"));
        }
        self.last_progress = now;
        StreamAction::Read
    }

    /// Fails if no token has arrived within the token time-out.
    fn idle(&self, now: Time) -> Option<StreamAction> {
        let idle = now.since(self.last_progress) >= self.settings.token_timeout;
        idle.then(|| {
            StreamAction::Fail(self.lost("the upstream sent no token within the time-out"))
        })
    }

    /// Reconnects, unless too many connections broke in a row.
    fn broken(&mut self) -> StreamAction {
        self.disconnects += 1;
        if self.disconnects > self.settings.max_disconnects {
            return StreamAction::Fail(self.lost("connections to the upstream broke repeatedly"));
        }
        self.resume()
    }

    const fn resume(&mut self) -> StreamAction {
        self.resuming = true;
        StreamAction::Resume(self.tokens)
    }

    /// Time to wait before the stream is resumed: none after the first disconnect
    /// without a token in between.
    #[must_use]
    pub fn resume_delay(&self) -> Duration {
        RESUME_BACKOFF * self.disconnects.saturating_sub(1)
    }

    /// Handles a failed connection attempt. The request did not run if no byte
    /// of it was sent before.
    fn unreachable(&mut self) -> StreamAction {
        if self.sent {
            return StreamAction::Fail(self.lost("the upstream became unreachable"));
        }
        StreamAction::NotRun(Error::new(
            ErrorKind::NoUpstream,
            "the upstream accepts no connections",
        ))
    }

    /// Handles a stream unknown to the upstream, which never received the
    /// request or has lost it.
    fn unknown(&mut self) -> StreamAction {
        if self.settings.idempotent && self.tokens == 0 && self.resends == 0 {
            self.resends += 1;
            self.resuming = false;
            return StreamAction::Resend;
        }
        StreamAction::Fail(self.lost("the upstream no longer knows the stream"))
    }

    /// Usage of a truncated response.
    const fn truncated_usage(&self) -> Usage {
        Usage {
            prompt: self.settings.prompt,
            cached: Tokens(0),
            output: Tokens(self.tokens),
        }
    }

    /// Error for an upstream that was lost while the request may have run.
    fn lost(&self, message: &str) -> Error {
        let kind = if self.settings.idempotent {
            ErrorKind::UpstreamLost
        } else {
            ErrorKind::OutcomeUnknown
        };
        Error::new(kind, message)
    }
}
