//! Protection against overload and faults: retry budgets, account quotas,
//! quarantine of requests that crash upstreams, limits that upstreams name, which
//! upstreams may take a request, and which requests a host takes while it shuts down.

mod crashes;
mod drain;
mod fleet_quota;
mod leaving;
mod limits;
mod named_runs;
mod quota;
mod resume;
mod retry;
mod service_versions;
mod stream_origin;
mod suspects;
mod turn_owner;
mod upstream_filter;
mod version_rollout;

use quay_types::{Incarnation, UpstreamId};

pub use {
    crashes::{CheckResult, CrashDetector, CrashSettings, RunEnd},
    drain::{DrainPlan, DrainSettings, StandstillClock},
    fleet_quota::{
        AccountLimit, FleetQuotaAllocator, FleetQuotaHolder, FleetQuotaSettings, Permission,
        QuotaGrant, QuotaReply, QuotaReport, QuotaRequest, QuotaUse, QuotaView,
    },
    leaving::LeavingUpstreams,
    limits::{
        LimitAllocator, LimitHolder, LimitSettings, PermitDemand, PermitGrant, PermitRequest,
    },
    named_runs::{NamedRuns, ReportResult},
    quota::{QuotaAllocator, QuotaHolder, QuotaLease, QuotaSettings},
    resume::{
        OriginLookup, RecordedOrigin, ResumeFacts, ResumeRefusal, StreamServices, StreamTerms,
    },
    retry::{RetryBudgets, RetrySettings},
    service_versions::{ServiceVersion, ServiceVersions, VersionRegistry, VersionsSeen},
    stream_origin::StreamOrigin,
    suspects::{
        Clearance, SuspectCommand, SuspectEvent, SuspectRegistry, SuspectReply, SuspectSettings,
    },
    turn_owner::{TurnCaller, TurnKey, TurnOwner, TurnScope},
    upstream_filter::{Candidate, Eligibility, Requirements, UpstreamFilter},
    version_rollout::{VersionRollout, VersionRolloutSettings},
};

/// An upstream and one of its incarnations.
pub type UpstreamRun = (UpstreamId, Incarnation);
