//! What the end of a stream says of its upstream.

/// Events from which on the time of one says how fast an upstream is: before
/// the first one the prompt is read, which takes as long as some events.
const LEAST_EVENTS: u64 = 4;

/// Why a stream is cut that the upstream did not end whole.
pub const UPSTREAM_DISCONNECTED: &str = "upstream_broke_off";

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The upstream has ended it.
    Whole,
    /// The caller has left.
    CallerGone,
    /// It was cut, and why.
    Broken(&'static str),
}

/// What is noted of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// It did its work, and the time of an event says how fast.
    Succeeded,
    /// It did its work, too little to say how fast.
    SucceededUntimed,
    /// It lost or spoilt the request.
    Failed,
    /// Others ended the request; the upstream may have been silent before.
    Abandoned,
}

/// What a stream that has ended after so many whole events says, and whether
/// within one. What is done with the turn afterwards says nothing.
#[must_use]
pub fn upstream_outcome(end: StreamEnd, events: u64, mid_event: bool) -> UpstreamOutcome {
    match end {
        StreamEnd::Whole if mid_event => UpstreamOutcome::Failed,
        StreamEnd::Whole if events < LEAST_EVENTS => UpstreamOutcome::SucceededUntimed,
        StreamEnd::Whole => UpstreamOutcome::Succeeded,
        StreamEnd::Broken(UPSTREAM_DISCONNECTED) => UpstreamOutcome::Failed,
        StreamEnd::Broken(_) | StreamEnd::CallerGone => UpstreamOutcome::Abandoned,
    }
}
