//! Which upstreams may take a request.

use {
    super::{LeavingUpstreams, LimitHolder, NamedRuns, ReportResult, UpstreamRun},
    indexmap::IndexMap,
    quay_types::{Incarnation, SoftwareVersion, Time, UpstreamId},
    std::time::Duration,
};

/// Time for which an unreachable upstream is not selected.
const SUSPENSION: Duration = Duration::from_millis(500);

/// Time for which the version of an upstream that refused a connection is unknown: a
/// restart, and the delay of the first heartbeat, which may come 10 s late. If the
/// upstream is listed in the same incarnation afterwards, it has not ended.
const ENDED_TIME: Duration = Duration::from_secs(15);

/// Upstream in state `Serving` of the service that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Incarnation from the directory.
    pub run: UpstreamRun,
    /// Version that this incarnation has announced, if any.
    pub version: Option<SoftwareVersion>,
}

/// What a request needs of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Requirements<'a> {
    /// Upstreams that were tried already.
    pub tried: &'a [UpstreamId],
    /// Version that the upstream must have; `None` if any will do.
    pub version: Option<SoftwareVersion>,
}

/// Whether an upstream may take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may take the request.
    Eligible,
    /// It may take the request if no other upstream is eligible.
    Suspended,
    /// It may take the request with a permit, and there is none.
    NoPermit,
    /// It must not take the request.
    Excluded,
}

/// Decides which upstreams may take a request, with what one entry has learned from
/// its own requests.
#[derive(Debug, Default)]
pub struct UpstreamFilter {
    leaving: LeavingUpstreams,
    /// Time until which the version of each incarnation that has ended is unknown.
    ended: IndexMap<UpstreamRun, Time>,
    limits: LimitHolder,
    named: NamedRuns,
    /// Time until which each unreachable incarnation is suspended.
    suspended: IndexMap<UpstreamRun, Time>,
}

impl UpstreamFilter {
    // -----------------------------------------------------------------------
    // Observations

    /// Records that an upstream could not be reached, or that another one answered
    /// in its place.
    pub fn suspend(&mut self, now: Time, run: UpstreamRun) {
        self.suspended.insert(run, now + SUSPENSION);
    }

    /// Records that an upstream said in a response that it is leaving. Returns
    /// whether this was unknown.
    pub fn record_leaving(&mut self, run: UpstreamRun) -> bool {
        self.leaving.record(run)
    }

    /// Records that the process of an upstream has ended. One that answers under
    /// the same name is another incarnation, whose version is unknown.
    pub fn record_ended(&mut self, now: Time, run: UpstreamRun) {
        self.ended.insert(run, now + ENDED_TIME);
    }

    /// Records what an upstream, asked at `asked`, reported of itself: the incarnation that
    /// it names, if any.
    pub fn record_report(
        &mut self,
        now: Time,
        run: UpstreamRun,
        asked: Time,
        named: Option<Incarnation>,
    ) -> ReportResult {
        let result = self.named.record_report(now, run, asked, named);
        match result {
            ReportResult::Named => {
                self.ended.swap_remove(&run);
            }
            ReportResult::Another => self.record_ended(now, run),
            ReportResult::Unnamed => {}
        }
        result
    }

    /// Incarnations that upstreams have named.
    #[must_use]
    pub const fn named_runs(&self) -> &NamedRuns {
        &self.named
    }

    /// Limits that upstreams have named.
    pub fn limits(&mut self) -> &mut LimitHolder {
        &mut self.limits
    }

    /// Forgets what no longer holds.
    pub fn tick(&mut self, now: Time) {
        self.ended.retain(|_, until| *until > now);
        self.named.tick(now);
        self.suspended.retain(|_, until| *until > now);
    }

    // -----------------------------------------------------------------------
    // Decisions

    /// Whether an upstream can take a request now or soon.
    #[must_use]
    pub fn serves(&self, now: Time, candidate: Candidate, required: &Requirements<'_>) -> bool {
        !self.leaving.contains(candidate.run)
            && !required.tried.contains(&candidate.run.0)
            && required
                .version
                .is_none_or(|wanted| self.known_version(now, candidate) == Some(wanted))
    }

    /// Version of the process that answers for an upstream, if it is known.
    #[must_use]
    pub fn known_version(&self, now: Time, candidate: Candidate) -> Option<SoftwareVersion> {
        let ended = self.ended.get(&candidate.run);
        let ended = ended.is_some_and(|until| *until > now);
        candidate.version.filter(|_| !ended)
    }

    /// Whether an upstream may take a request now.
    pub fn judge(
        &mut self,
        now: Time,
        candidate: Candidate,
        required: &Requirements<'_>,
    ) -> Eligibility {
        if !self.serves(now, candidate, required) {
            return Eligibility::Excluded;
        }
        if !self
            .limits
            .may_send(now, candidate.run, required.version.is_some())
        {
            return Eligibility::NoPermit;
        }
        let suspended = self.suspended.get(&candidate.run);
        if suspended.is_some_and(|until| *until > now) {
            Eligibility::Suspended
        } else {
            Eligibility::Eligible
        }
    }

    /// Whether an upstream takes requests only with permits.
    #[must_use]
    pub fn is_limited(&self, run: UpstreamRun) -> bool {
        self.limits.is_limited(run)
    }
}
