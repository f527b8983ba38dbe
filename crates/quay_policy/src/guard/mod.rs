//! Guards: retries within a budget, account slices, and requests that crash upstreams.

mod retry;
mod slices;
mod suspects;

pub use {
    retry::{RetryBudgets, RetrySettings},
    slices::{Grant, SliceGrantor, SliceHolder, SliceSettings},
    suspects::{Leave, SuspectCommand, SuspectReply, SuspectSettings, Suspects},
};
