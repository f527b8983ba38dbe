//! Protection against overload and faults: retry budgets, account quotas,
//! quarantine of requests that crash upstreams, upstreams that leave, and limits
//! that upstreams name.

mod crashes;
mod leaving;
mod limits;
mod quota;
mod retry;
mod suspects;

use quay_types::{Incarnation, UpstreamId};

pub use {
    crashes::{CheckResult, CrashDetector, CrashSettings, RunEnd},
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

/// An upstream and one of its incarnations.
pub type UpstreamRun = (UpstreamId, Incarnation);
