//! Selection of the upstream for a request.

use {
    indexmap::IndexMap,
    quay_members::{ChangesRequest, DirectoryView},
    quay_policy::{
        CheckResult, CrashDetector, ExpectedTime, LeavingUpstreams, LimitHolder, NewProgram,
        NewProgramGate, RouteRequest, RouteSettings, Router, UpstreamRun,
    },
    quay_routes::{CallHead, PromptPart, block_hashes, branch_ids, token_count},
    quay_types::{
        Announcement, CallTarget, DirectoryEntry, Incarnation, Load, ProgramId, RequestRate,
        ServiceId, Time, Tokens, UpstreamId, UpstreamKind, UpstreamState,
    },
    std::{net::SocketAddr, slice, time::Duration},
};

/// Time for which an unreachable upstream is not selected.
const SUSPENSION: Duration = Duration::from_millis(500);

/// Age after which a load report is discarded and the upstream is assumed to
/// have as many requests as the others.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Advantage of the upstream that had an object lately, in tokens that it need
/// not prefill: some milliseconds, so that a busy upstream is left for another.
const OBJECT_TOKENS: u64 = 2_048;

/// Upstream selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedUpstream {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Name from its announcement.
    pub name: Box<str>,
    /// Incarnation from its announcement.
    pub incarnation: Incarnation,
    /// Address of the upstream.
    pub addr: SocketAddr,
}

impl SelectedUpstream {
    /// Incarnation that was selected.
    #[must_use]
    pub const fn run(&self) -> UpstreamRun {
        (self.id, self.incarnation)
    }
}

/// Upstream listed in the directory.
#[derive(Debug)]
struct Known {
    announcement: Announcement,
    /// Number of this front's requests in flight at the upstream.
    in_flight: u32,
    /// Time of the last load report, if it still counts.
    reported: Option<Time>,
    /// Time until which the upstream is not selected.
    suspended_until: Time,
}

/// Upstreams known to this front, with the router that selects among them.
#[derive(Debug)]
pub struct Upstreams {
    router: Router<ExpectedTime>,
    view: DirectoryView,
    known: IndexMap<UpstreamId, Known>,
    leaving: LeavingUpstreams,
    limits: LimitHolder,
    crashes: CrashDetector,
    /// Services whose calls have waited for upstreams.
    gates: IndexMap<ServiceId, NewProgramGate>,
}

impl Upstreams {
    /// Creates an empty set. `data_centre` is the front's own.
    #[must_use]
    pub fn new(data_centre: &str) -> Self {
        let cfg = RouteSettings {
            // Speeds of the engines in the deployments' tables: 368 tokens are
            // prefilled per ms, a step takes 0.76 ms plus 0.03 ms per running
            // request, a response has about 260 tokens.
            prefill_us: 3,
            // A prefill delays each running request by the prefill's duration.
            prefix_per_running: 1_000,
            per_running_us: 30,
            answer_tokens: 260,
            token_gap_us: 760,
            spread: Duration::from_millis(1),
            // Expiry is left to the directory, which has its own leases.
            silent_after: Duration::from_hours(1),
            stale_after: Duration::from_hours(1),
            stale_cost: Duration::ZERO,
            ..RouteSettings::default()
        };
        Self {
            router: Router::new(cfg, data_centre),
            view: DirectoryView::default(),
            known: IndexMap::new(),
            leaving: LeavingUpstreams::default(),
            limits: LimitHolder::default(),
            crashes: CrashDetector::default(),
            gates: IndexMap::new(),
        }
    }

    // -----------------------------------------------------------------------
    // Updates

    /// Creates the next request for directory changes.
    pub fn next_request(&mut self, reader: u64) -> ChangesRequest {
        self.view.next_request(reader)
    }

    /// Applies directory changes.
    pub fn apply_changes(&mut self, now: Time, changes: quay_members::Changes) {
        if !self.view.apply(now, changes) {
            // An empty view makes the next request ask for the whole directory.
            self.view = DirectoryView::default();
            return;
        }
        let entries = self.view.entries(now);
        for entry in &entries {
            self.apply_entry(now, entry);
        }
        let listed: Vec<UpstreamId> = entries
            .iter()
            .map(|it| it.announcement.upstream())
            .collect();
        self.known.retain(|id, _| listed.contains(id));
        self.router.retain_only(&listed);
    }

    fn apply_entry(&mut self, now: Time, entry: &DirectoryEntry) {
        let id = entry.announcement.upstream();
        let announcement = Announcement {
            sequence: 0,
            load: Load::default(),
            ..entry.announcement.clone()
        };
        match self.known.get_mut(&id) {
            Some(known) if known.announcement == announcement => {}
            Some(known) if known.announcement.incarnation == announcement.incarnation => {
                known.announcement = announcement;
                self.update_router(now, id, None);
            }
            _ => {
                log::info!(
                    "event=upstream_known upstream={} run={} addr={} state={:?}",
                    announcement.name,
                    announcement.incarnation,
                    announcement.addr,
                    announcement.state
                );
                self.record_replaced(now, id, announcement.addr);
                let known = Known {
                    announcement,
                    in_flight: 0,
                    reported: None,
                    suspended_until: Time::ZERO,
                };
                self.known.insert(id, known);
                self.update_router(now, id, None);
            }
        }
    }

    /// Records the end of the upstreams that a new incarnation of `id` at `addr`
    /// replaces.
    fn record_replaced(&mut self, now: Time, id: UpstreamId, addr: SocketAddr) {
        let replaced = self
            .known
            .iter()
            .filter(|(other, known)| **other == id || known.announcement.addr == addr);
        for (other, known) in replaced {
            self.crashes
                .record_ended(now, (*other, known.announcement.incarnation));
        }
    }

    /// Passes an upstream to the router, with its reported load if there is one.
    fn update_router(&mut self, now: Time, id: UpstreamId, reported: Option<Load>) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        known.reported = reported.map(|_| now);
        let announcement = Announcement {
            load: reported.unwrap_or_default(),
            ..known.announcement.clone()
        };
        self.router.apply_announcement(now, &announcement);
        if reported.is_none() {
            self.router.expire_load(now, id, known.in_flight);
        }
    }

    /// Applies an upstream's load report: running requests, waiting requests,
    /// slots.
    pub fn apply_load_report(
        &mut self,
        now: Time,
        id: UpstreamId,
        (running, waiting, _): (u32, u32, u32),
    ) {
        let load = Load {
            running,
            queued: waiting,
            ..Load::default()
        };
        self.update_router(now, id, Some(load));
    }

    /// Records a successful request; `duration` is the time per unit of work:
    /// one event of a stream, or a complete response.
    pub fn record_success(&mut self, now: Time, id: UpstreamId, duration: Duration) {
        self.router.record_success(now, id, duration);
    }

    /// Records a request that the upstream failed.
    pub fn record_failure(&mut self, now: Time, id: UpstreamId) {
        self.router.record_failure(now, id);
    }

    /// Discards load reports older than `MAX_REPORT_AGE`, and runs whose loss can
    /// no longer be attributed to a crash.
    pub fn tick(&mut self, now: Time) {
        self.crashes.tick(now);
        let old: Vec<UpstreamId> = self
            .known
            .iter()
            .filter(|(_, known)| {
                known
                    .reported
                    .is_some_and(|at| now.since(at) > MAX_REPORT_AGE)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.update_router(now, id, None);
        }
    }

    /// Suspends an upstream that could not be reached.
    pub fn suspend(&mut self, now: Time, id: UpstreamId) {
        if let Some(known) = self.known.get_mut(&id) {
            known.suspended_until = now + SUSPENSION;
        }
    }

    /// Records that an upstream said in a response that it is leaving. It is not
    /// selected again in this incarnation.
    pub fn record_leaving(&mut self, upstream: &SelectedUpstream) {
        if self.leaving.record(upstream.id, upstream.incarnation) {
            log::info!(
                "event=upstream_leaving upstream={} run={}",
                upstream.name,
                upstream.incarnation
            );
        }
    }

    // -----------------------------------------------------------------------
    // Crashes

    /// Detector of crashes, which is told of each run on an upstream.
    pub fn crashes(&mut self) -> &mut CrashDetector {
        &mut self.crashes
    }

    /// Name of an upstream for logs; its id if the directory no longer lists it.
    #[must_use]
    pub fn name(&self, id: UpstreamId) -> Box<str> {
        match self.known.get(&id) {
            Some(known) => known.announcement.name.clone(),
            None => id.to_string().into(),
        }
    }

    /// Incarnations that must be checked now, with their addresses.
    pub fn due_checks(&mut self, now: Time) -> Vec<(UpstreamRun, SocketAddr)> {
        let mut due = Vec::new();
        for run in self.crashes.due_checks(now) {
            match self.known.get(&run.0) {
                Some(known) if known.announcement.incarnation == run.1 => {
                    due.push((run, known.announcement.addr));
                }
                _ => self.crashes.record_check(now, run, CheckResult::Unknown),
            }
        }
        due
    }

    // -----------------------------------------------------------------------
    // Limits

    /// Limits that upstreams have named.
    pub fn limits(&mut self) -> &mut LimitHolder {
        &mut self.limits
    }

    /// Records the limit that a response to a request sent at `sent` named, if any.
    pub fn record_limit(
        &mut self,
        now: Time,
        upstream: &SelectedUpstream,
        sent: Time,
        limit: Option<RequestRate>,
    ) {
        if self
            .limits
            .record_response(now, upstream.run(), sent, limit)
        {
            let per_s = limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            log::info!(
                "event=upstream_limit upstream={} run={} per_s={per_s}",
                upstream.name,
                upstream.incarnation
            );
        }
    }

    /// Whether any upstream of a service is limited.
    #[must_use]
    pub fn is_limited(&self, service: &str) -> bool {
        self.serving(service).any(|run| self.limits.is_limited(run))
    }

    /// Time after which the caller of a refused request may return, if upstreams of
    /// the service are limited.
    pub fn return_delay(&mut self, now: Time, service: &str) -> Option<Duration> {
        let runs: Vec<UpstreamRun> = self.serving(service).collect();
        let service = ServiceId::of(service);
        self.limits.return_delay(now, service, &runs)
    }

    // -----------------------------------------------------------------------
    // Admission

    /// Records how long a request waited for the head of its response.
    pub fn record_wait(&mut self, now: Time, service: &str, wait: Duration, objective: Duration) {
        let gate = self.gates.entry(ServiceId::of(service)).or_default();
        gate.record_wait(now, wait, objective);
    }

    /// Returns the expected wait if a new program is refused for it.
    #[must_use]
    pub fn refuse_program(
        &self,
        now: Time,
        service: &str,
        program: &NewProgram,
    ) -> Option<Duration> {
        let gate = self.gates.get(&ServiceId::of(service))?;
        gate.refuses(now, program).then(|| gate.expected_wait(now))
    }

    // -----------------------------------------------------------------------
    // Selection

    /// Whether any upstream in state `Serving` serves a service.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.serving(service).next().is_some()
    }

    /// Upstreams in state `Serving` of a service that are not leaving.
    fn serving(&self, service: &str) -> impl Iterator<Item = UpstreamRun> {
        let wanted = ServiceId::of(service);
        self.known.iter().filter_map(move |(id, known)| {
            let Announcement {
                incarnation,
                kind,
                state,
                ..
            } = &known.announcement;
            let serves = *state == UpstreamState::Serving
                && !self.leaving.contains(*id, *incarnation)
                && matches!(kind, UpstreamKind::Service { service } if *service == wanted);
            serves.then_some((*id, *incarnation))
        })
    }

    /// Upstreams of a service that are limited and for which there is no permit.
    fn without_permit(&mut self, now: Time, service: &str) -> Vec<UpstreamRun> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        let mut runs: Vec<UpstreamRun> = self.serving(service).collect();
        runs.retain(|run| !self.limits.may_send(now, *run));
        runs
    }

    /// Records that a request of a service waits for a permit.
    pub fn want_permit(&mut self, now: Time, service: &str) {
        let without = self.without_permit(now, service);
        self.limits.want_permit(&without);
    }

    /// Selects an upstream of a service and counts the request as in flight
    /// there.
    ///
    /// With `sticky`, an upstream that had the call's object lately is
    /// preferred. Upstreams in `tried`, leaving ones, and limited ones for which
    /// there is no permit are excluded. `draw`
    /// spreads requests over equally good upstreams.
    pub fn select(
        &mut self,
        now: Time,
        (service, sticky): (&str, bool),
        head: &CallHead,
        tried: &[UpstreamId],
        draw: u64,
    ) -> Option<SelectedUpstream> {
        let leaving = self
            .known
            .iter()
            .filter(|(id, it)| self.leaving.contains(**id, it.announcement.incarnation));
        let mut never: Vec<UpstreamId> = leaving.map(|(id, _)| *id).collect();
        never.extend_from_slice(tried);
        let without_permit = self.without_permit(now, service);
        never.extend(without_permit.iter().map(|(id, _)| *id));
        let suspended = self.known.iter().filter(|(_, it)| it.suspended_until > now);
        let mut excluded: Vec<UpstreamId> = suspended.map(|(id, _)| *id).collect();
        excluded.extend_from_slice(&never);
        let object = head.object.as_deref().filter(|_| sticky);
        let object = object.filter(|_| head.prompt.is_empty());
        let object_part = object.map(|object| PromptPart {
            id: UpstreamId::of(object).0,
            tokens: OBJECT_TOKENS,
        });
        let prompt = object_part.as_ref().map_or(&*head.prompt, slice::from_ref);
        let blocks = block_hashes(prompt);
        // All fronts compute the same home for an object, or for a program.
        let program = head.program.as_deref().unwrap_or(&head.id);
        let program = object.unwrap_or(program);
        let branches = branch_ids(prompt);
        let continues = head.turn.as_ref().is_some_and(|turn| turn.prior.is_some());
        let mut req = RouteRequest {
            target: CallTarget::Service(ServiceId::of(service)),
            program: ProgramId::root(UpstreamId::of(program).0),
            has_history: continues || branches.len() > 1 || object.is_some(),
            conversations: &branches,
            prompt: Tokens(token_count(prompt)),
            blocks: &blocks,
            tried: &excluded,
        };
        let choice = self.router.pick(now, &req, draw).or_else(|| {
            // Suspended upstreams are used if there is no other.
            req.tried = &never;
            self.router.pick(now, &req, draw)
        })?;
        let known = self.known.get_mut(&choice.upstream)?;
        known.in_flight += 1;
        let selected = SelectedUpstream {
            id: choice.upstream,
            name: known.announcement.name.clone(),
            incarnation: known.announcement.incarnation,
            addr: choice.addr,
        };
        self.limits.use_permit(selected.run());
        self.limits.want_permit(&without_permit);
        Some(selected)
    }

    /// Removes a request that has ended from the count of an upstream.
    pub fn record_end(&mut self, now: Time, id: UpstreamId) {
        if let Some(known) = self.known.get_mut(&id) {
            known.in_flight = known.in_flight.saturating_sub(1);
            self.router.record_end(now, id);
        }
    }
}
