//! What the end of a stream says of its upstream.

/// Events from which on the time of one says how fast an upstream is: before
/// the first one the prompt is read, which takes as long as some events.
const LEAST_EVENTS: u64 = 4;

/// Why a stream is cut that the upstream did not end whole.
pub const UPSTREAM_BROKE_OFF: &str = "upstream_broke_off";

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
pub enum Verdict {
    /// It did its work, and the time of an event says how fast.
    Served,
    /// It did its work, too little to say how fast.
    Done,
    /// It lost or spoilt the request.
    Failed,
    /// Others ended the request; the upstream may have been silent before.
    GivenUp,
}

/// What a stream that has ended after so many whole events says, and whether
/// within one. What is done with the turn afterwards says nothing.
#[must_use]
pub fn verdict(end: StreamEnd, events: u64, mid_event: bool) -> Verdict {
    match end {
        StreamEnd::Whole if mid_event => Verdict::Failed,
        StreamEnd::Whole if events < LEAST_EVENTS => Verdict::Done,
        StreamEnd::Whole => Verdict::Served,
        StreamEnd::Broken(UPSTREAM_BROKE_OFF) => Verdict::Failed,
        StreamEnd::Broken(_) | StreamEnd::CallerGone => Verdict::GivenUp,
    }
}
