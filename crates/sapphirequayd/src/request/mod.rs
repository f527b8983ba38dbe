//! What lives for one call.

mod attempt;
mod call;
mod completion;

pub use {
    attempt::{Attempts, serve_attempt},
    call::{Answer, CallContext, run_call},
    completion::Completion,
};
