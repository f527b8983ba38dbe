//! Scheduling policy for agent programs: routing, admission, KV retention,
//! retries, and quarantine of requests that crash upstreams.
//!
//! All types are deterministic state machines without I/O: time and random
//! numbers are passed in, decisions are returned, and the same input gives the
//! same output.
//!
//! ```
//! use {
//!     quay_policy::{Admission, AdmissionSettings, AdaptiveLimit, Ticket, TicketId, Verdict},
//!     quay_types::Time,
//! };
//!
//! let mut admission = Admission::<AdaptiveLimit>::new(AdmissionSettings::default());
//! let ticket = Ticket { id: TicketId(1), deadline: Time::from_millis(60_000), ..Ticket::default() };
//! admission.enqueue(Time::ZERO, ticket);
//! assert_eq!(admission.poll(Time::ZERO), [Verdict::Admit(TicketId(1))]);
//! ```

mod admit;
mod guard;
mod memory;
mod placement;
mod policy;
mod program_blocks;
mod retain;
mod route;

pub use {
    admit::{
        AdaptiveLimit, Admission, AdmissionSettings, ConcurrencyLimit, FixedLimit, NewProgram,
        NewProgramGate, NewProgramSettings, Observation, Ticket, TicketId, Verdict,
    },
    guard::{
        AccountLimit, Candidate, CheckResult, Clearance, CrashDetector, CrashSettings, DrainPlan,
        DrainSettings, Eligibility, FleetQuotaAllocator, FleetQuotaHolder, FleetQuotaSettings,
        LeavingUpstreams, LimitAllocator, LimitHolder, LimitSettings, NamedRuns, OriginLookup,
        Permission, PermitDemand, PermitGrant, PermitRequest, QuotaAllocator, QuotaGrant,
        QuotaHolder, QuotaLease, QuotaReply, QuotaReport, QuotaRequest, QuotaSettings, QuotaUse,
        QuotaView, RecordedOrigin, ReportResult, Requirements, ResumeFacts, ResumeRefusal,
        RetryBudgets, RetrySettings, RunEnd, ServiceVersion, ServiceVersions, StandstillClock,
        StreamOrigin, StreamServices, StreamTerms, SuspectCommand, SuspectEvent, SuspectRegistry,
        SuspectReply, SuspectSettings, TurnCaller, TurnKey, TurnOwner, TurnScope, UpstreamFilter,
        UpstreamRun, VersionRegistry, VersionRollout, VersionRolloutSettings, VersionsSeen,
    },
    memory::{
        CallerConnection, ConnectDecision, ConnectionPhase, EndReason, EndedConnection,
        MemoryBudget, MemoryClass, MemoryDecision, MemoryHolder, MemorySettings, Shortage,
    },
    placement::{Move, Placement, PlacementSettings, PlacementView},
    policy::{Policy, PolicySettings},
    program_blocks::ProgramBlocks,
    retain::{Retention, RetentionAction, RetentionSettings},
    route::{
        ExpectedTime, FeedState, LeastLoad, LongestPrefix, PrefixIndex, PromptBeginning,
        RouteChoice, RouteRequest, RouteSettings, Router, Score, Slot, UpstreamView,
    },
};
