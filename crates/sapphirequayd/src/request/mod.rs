//! State and logic that live as long as one call.

mod attempt;
mod call;
mod call_spec;
mod completion;
mod delivery;
mod permit_query;
mod recorded_response;
mod remote_attempt;
mod response_text;
mod stream_tracker;

pub use {
    attempt::{AttemptContext, answer_permit_query, serve_attempt},
    call::{CallContext, ResponseWriter, Usage, run_call},
    call_spec::CallSpec,
    completion::CompletionRequest,
    delivery::Delivery,
    recorded_response::RecordedResponse,
    remote_attempt::{AttemptEnd, run_attempt},
    response_text::{ResponseText, TextUpdate},
    stream_tracker::{StreamAction, StreamTracker, StreamTrackerSettings, UpstreamEvent},
};
