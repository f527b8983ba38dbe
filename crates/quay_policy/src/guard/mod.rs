//! Protection against overload and faults: retry budgets, account quotas,
//! quarantine of requests that crash upstreams, and upstreams that leave.

mod crashes;
mod leaving;
mod limits;
mod quota;
mod retry;
mod suspects;

pub use {
    crashes::{CheckResult, CrashDetector, CrashSettings, RunEnd, UpstreamRun},
    leaving::LeavingUpstreams,
    limits::{
        LimitAllocator, LimitHolder, LimitSettings, PermitDemand, PermitGrant, PermitRequest,
    },
    quota::{QuotaAllocator, QuotaHolder, QuotaLease, QuotaSettings},
    retry::{RetryBudgets, RetrySettings},
    suspects::{
        Clearance, SuspectCommand, SuspectEvent, SuspectRegistry, SuspectReply, SuspectSettings,
    },
};
