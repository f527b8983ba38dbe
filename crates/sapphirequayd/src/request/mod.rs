//! What lives for one call.

mod attempt;
mod call;
mod completion;
mod transcript;

pub use {
    attempt::{Attempts, serve_attempt},
    call::{Answer, CallContext, Usage, run_call},
    completion::Completion,
    transcript::{Input, Step, Transcript, TranscriptSettings},
};
