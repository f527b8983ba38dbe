//! What lives for one call.

mod attempt;
mod call;
mod completion;
mod delivery;
mod inquire;
mod offer;
mod order;
mod recorded;
mod splice;
mod transcript;

pub use {
    attempt::{Attempts, answer_inquiry, serve_attempt},
    call::{Answer, CallContext, Usage, run_call},
    completion::Completion,
    delivery::Delivery,
    offer::{AttemptEnd, run_attempt},
    order::CallOrder,
    recorded::RecordedAnswer,
    splice::{Splice, Spliced},
    transcript::{Input, Step, Transcript, TranscriptSettings},
};
