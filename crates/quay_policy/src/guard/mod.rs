//! Protection against overload and faults: retry budgets, account quotas, and
//! quarantine of requests that crash upstreams.

mod quota;
mod retry;
mod suspects;

pub use {
    quota::{QuotaAllocator, QuotaHolder, QuotaLease, QuotaSettings},
    retry::{RetryBudgets, RetrySettings},
    suspects::{Clearance, SuspectCommand, SuspectRegistry, SuspectReply, SuspectSettings},
};
