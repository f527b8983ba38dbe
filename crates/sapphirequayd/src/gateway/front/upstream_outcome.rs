//! Rating of an upstream by its responses and by the end of a stream.

use {
    http::StatusCode,
    quay_routes::{Execution, UpstreamHead},
};

/// Minimum number of events for measuring an upstream's time per event: before
/// the first event the prompt is prefilled, which takes as long as some events.
const MIN_TIMED_EVENTS: u64 = 4;

/// Reason of [`StreamEnd::Broken`] if the upstream's connection failed.
pub const UPSTREAM_DISCONNECTED: &str = "upstream_broke_off";

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The upstream ended the body.
    Whole,
    /// The caller closed the connection.
    CallerGone,
    /// The stream was aborted for the given reason.
    Broken(&'static str),
    /// The stream was aborted since the upstream sent more than it may, as the reason
    /// tells.
    Flooded(&'static str),
}

/// How an upstream performed on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// Completed, with enough events to measure the time per event.
    Succeeded,
    /// Completed, with too few events to measure the time per event.
    SucceededUntimed,
    /// The upstream failed the request.
    Failed,
    /// The upstream sent more than it may; it runs.
    Flooded,
    /// The caller or the front ended the request; the upstream may have been
    /// silent before.
    Abandoned,
}

/// Rates the upstream of a stream that ended after `events` complete events;
/// `mid_event` tells whether it ended within another one. Storing the turn
/// afterwards does not influence the rating.
#[must_use]
pub fn upstream_outcome(end: StreamEnd, events: u64, mid_event: bool) -> UpstreamOutcome {
    match end {
        StreamEnd::Whole if mid_event => UpstreamOutcome::Failed,
        StreamEnd::Whole if events < MIN_TIMED_EVENTS => UpstreamOutcome::SucceededUntimed,
        StreamEnd::Whole => UpstreamOutcome::Succeeded,
        StreamEnd::Broken(UPSTREAM_DISCONNECTED) => UpstreamOutcome::Failed,
        StreamEnd::Flooded(_) => UpstreamOutcome::Flooded,
        StreamEnd::Broken(_) | StreamEnd::CallerGone => UpstreamOutcome::Abandoned,
    }
}

/// Returns why a response is invalid for the request `id`, if it is.
///
/// A refusal without an id is invalid, too: only requests without one are refused so,
/// and an upstream may repeat an earlier refusal on a connection that is reused.
pub fn mismatch(id: &str, answer: &UpstreamHead) -> Option<&'static str> {
    if answer.id.as_deref().is_some_and(|other| other != id) {
        Some("answer_to_another")
    } else if answer.id.is_none() {
        Some("answer_to_nobody")
    } else if answer.encoded {
        Some("answer_encoded")
    } else {
        None
    }
}

/// Whether a response lacks the seal without which it proves nothing: a success, or a
/// status that promises that the request was not run. The head may have been cut, so the
/// request may have run.
#[must_use]
pub fn lacks_seal(status: StatusCode, answer: &UpstreamHead) -> bool {
    let promises = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    answer.execution == Execution::Possible && !answer.sealed && (status.is_success() || promises)
}
