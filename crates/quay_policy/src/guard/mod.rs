//! Guards: retries within a budget, account quota, and requests that crash upstreams.

mod quota;
mod retry;
mod suspects;

pub use {
    quota::{QuotaAllocator, QuotaHolder, QuotaLease, QuotaSettings},
    retry::{RetryBudgets, RetrySettings},
    suspects::{Clearance, SuspectCommand, SuspectRegistry, SuspectReply, SuspectSettings},
};
