//! Selection of the upstream for a request.

use {
    crate::settings::DecisionTable,
    indexmap::IndexMap,
    quay_members::{ChangesRequest, DepartureChanges, DirectoryView},
    quay_policy::{
        Candidate, CheckResult, CrashDetector, Eligibility, ExpectedTime, LimitHolder, NamedRuns,
        NewProgram, NewProgramGate, PromptBeginning, RecordedOrigin, ReportResult, Requirements,
        ResumeFacts, RouteRequest, Router, ServiceVersions, StreamOrigin, UpstreamFilter,
        UpstreamRun,
    },
    quay_routes::{CallHead, PromptPart, UpstreamLoad, block_hashes, branch_ids, token_count},
    quay_types::{
        Announcement, CallTarget, DirectoryEntry, Incarnation, Load, ProgramId, RequestRate,
        ServiceId, SoftwareVersion, Time, Tokens, UpstreamId, UpstreamState,
    },
    std::{net::SocketAddr, slice, time::Duration},
};

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
    /// Version that this incarnation has announced, if any.
    pub version: Option<SoftwareVersion>,
    /// Address of the upstream.
    pub addr: SocketAddr,
}

/// Upstreams among which one is selected for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pool<'a> {
    /// Service of the upstreams.
    pub service: &'a str,
    /// Whether an upstream that had the call's object lately is preferred.
    pub sticky: bool,
    /// Version that the upstreams must have; `None` if any will do.
    pub version: Option<SoftwareVersion>,
    /// Size of an upstream's memory for prompts, in tokens; 0 if unknown.
    pub memory_tokens: u64,
}

impl<'a> Pool<'a> {
    /// All upstreams of a service.
    #[must_use]
    pub const fn of(service: &'a str) -> Self {
        Self {
            service,
            sticky: false,
            version: None,
            memory_tokens: 0,
        }
    }

    /// Whether requests are bound to some of the service's upstreams.
    #[must_use]
    pub const fn is_bound(&self) -> bool {
        self.version.is_some()
    }

    /// The shared beginning of a prompt: its first part, if others follow.
    fn beginning_of(&self, prompt: &[PromptPart]) -> Option<PromptBeginning> {
        let first = prompt.first().filter(|_| prompt.len() > 1)?;
        (self.memory_tokens > 0).then_some(PromptBeginning {
            id: first.id,
            tokens: Tokens(first.tokens),
            memory: Tokens(self.memory_tokens),
        })
    }

    /// Requirements of a request that was not sent to any upstream yet.
    fn requirements(&self) -> Requirements<'static> {
        Requirements {
            tried: &[],
            version: self.version,
        }
    }
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
}

impl Known {
    /// The upstream as a candidate for requests of a service, if it serves it.
    fn candidate(&self, id: UpstreamId, service: ServiceId) -> Option<Candidate> {
        let Announcement {
            incarnation,
            kind,
            state,
            ..
        } = &self.announcement;
        let serves = *state == UpstreamState::Serving && kind.service() == Some(service);
        serves.then(|| Candidate {
            run: (id, *incarnation),
            version: kind.version(),
        })
    }
}

/// Upstreams of a service that may not take a request, or not before others.
#[derive(Debug, Default)]
struct Judged {
    excluded: Vec<UpstreamId>,
    without_permit: Vec<UpstreamRun>,
    suspended: Vec<UpstreamId>,
}

/// Upstreams known to this front, with the router that selects among them.
#[derive(Debug)]
pub struct Upstreams {
    router: Router<ExpectedTime>,
    view: DirectoryView,
    /// Number of departures known from the leader that `view` was read from.
    departures_known: u64,
    known: IndexMap<UpstreamId, Known>,
    filter: UpstreamFilter,
    versions: ServiceVersions,
    crashes: CrashDetector,
    /// Services whose calls have waited for upstreams.
    gates: IndexMap<ServiceId, NewProgramGate>,
    cfg: DecisionTable,
}

impl Upstreams {
    /// Creates an empty set. `data_centre` is the front's own.
    #[must_use]
    pub fn new(data_centre: &str) -> Self {
        Self::with_decisions(data_centre, DecisionTable::default())
    }

    /// Creates an empty set whose selection uses some of the mechanisms only.
    #[must_use]
    pub fn with_decisions(data_centre: &str, cfg: DecisionTable) -> Self {
        Self {
            router: Router::new(cfg.routes(), data_centre),
            view: DirectoryView::default(),
            departures_known: 0,
            known: IndexMap::new(),
            filter: UpstreamFilter::default(),
            versions: ServiceVersions::default(),
            crashes: CrashDetector::default(),
            gates: IndexMap::new(),
            cfg,
        }
    }

    // -----------------------------------------------------------------------
    // Updates

    /// Creates the next request for directory changes.
    pub fn next_request(&mut self, reader: u64) -> ChangesRequest {
        self.view.next_request(reader)
    }

    /// Number of departures known from the leader whose directory this front reads.
    #[must_use]
    pub const fn departures_known(&self) -> u64 {
        self.departures_known
    }

    /// Applies departures. They hold whatever the directory lists, which may be that of a
    /// leader before.
    pub fn apply_departures(&mut self, changes: DepartureChanges) {
        for run in changes.departures {
            let listed = self.known.get(&run.0).map(|it| &it.announcement);
            if self.filter.record_leaving(run)
                && let Some(listed) = listed.filter(|it| it.incarnation <= run.1)
            {
                log::info!(
                    "event=upstream_departed upstream={} run={}",
                    listed.name,
                    listed.incarnation
                );
            }
        }
        self.departures_known = changes.known;
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
                    "event=upstream_known upstream={} run={} version={} addr={} state={:?}",
                    announcement.name,
                    announcement.incarnation,
                    announcement.kind.version_label(),
                    announcement.addr,
                    announcement.state
                );
                self.record_replaced(now, id, announcement.addr);
                let known = Known {
                    announcement,
                    in_flight: 0,
                    reported: None,
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

    /// Applies an upstream's load report.
    pub fn apply_load_report(&mut self, now: Time, id: UpstreamId, reported: UpstreamLoad) {
        let load = Load {
            running: reported.running,
            queued: reported.queued,
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

    /// Discards load reports that have expired, and runs whose loss can
    /// no longer be attributed to a crash.
    pub fn tick(&mut self, now: Time) {
        self.crashes.tick(now);
        self.filter.tick(now);
        let old: Vec<UpstreamId> = self
            .known
            .iter()
            .filter(|(_, known)| {
                known
                    .reported
                    .is_some_and(|at| now.since(at) > self.cfg.report_expiry())
            })
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.update_router(now, id, None);
        }
    }

    /// Suspends an upstream that could not be reached.
    pub fn suspend(&mut self, now: Time, run: UpstreamRun) {
        self.filter.suspend(now, run);
    }

    /// Records that an upstream said in a response that it is leaving. It is not
    /// selected again in this incarnation.
    pub fn record_leaving(&mut self, upstream: &SelectedUpstream) {
        if self.filter.record_leaving(upstream.run()) {
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

    /// Records that the process of an upstream has ended, and the runs that it lost.
    pub fn record_ended(&mut self, now: Time, run: UpstreamRun) {
        self.filter.record_ended(now, run);
        self.crashes.record_ended(now, run);
    }

    /// Records the result of a check of an upstream that may have ended.
    pub fn record_check(&mut self, now: Time, run: UpstreamRun, result: CheckResult) {
        if result == CheckResult::Refused {
            self.filter.record_ended(now, run);
        }
        self.crashes.record_check(now, run, result);
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
        self.filter.limits()
    }

    /// Records the limit that a response to a request sent at `sent` named, if any.
    pub fn record_limit(
        &mut self,
        now: Time,
        upstream: &SelectedUpstream,
        sent: Time,
        limit: Option<RequestRate>,
    ) {
        let limits = self.filter.limits();
        if limits.record_response(now, upstream.run(), sent, limit) {
            let per_s = limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            log::info!(
                "event=upstream_limit upstream={} run={} per_s={per_s}",
                upstream.name,
                upstream.incarnation
            );
        }
    }

    /// Whether any upstream of a pool is limited.
    #[must_use]
    pub fn is_limited(&self, now: Time, pool: &Pool<'_>) -> bool {
        self.serving(now, pool)
            .any(|run| self.filter.is_limited(run))
    }

    /// Time after which the caller of a refused request may return, if upstreams of
    /// the pool are limited.
    pub fn return_delay(&mut self, now: Time, pool: &Pool<'_>) -> Option<Duration> {
        let runs: Vec<UpstreamRun> = self.serving(now, pool).collect();
        let service = ServiceId::of(pool.service);
        self.limits().return_delay(now, service, &runs)
    }

    /// Records that a request waits for a permit for an upstream of a pool.
    pub fn want_permit(&mut self, now: Time, pool: &Pool<'_>) {
        let judged = self.judge(now, pool, &[]);
        self.limits()
            .want_permit(&judged.without_permit, pool.is_bound());
    }

    // -----------------------------------------------------------------------
    // Streams

    /// Origin of a stream that an upstream of a pool began, for a request sent at
    /// `sent`, a Unix time, as far as the directory tells.
    #[must_use]
    pub fn stream_origin(
        &self,
        now: Time,
        pool: &Pool<'_>,
        upstream: &SelectedUpstream,
        sent: Time,
    ) -> StreamOrigin {
        let run = upstream.run();
        let candidate = Candidate {
            run,
            version: upstream.version,
        };
        let version = self.filter.known_version(now, candidate);
        StreamOrigin {
            run,
            service: ServiceId::of(pool.service),
            version: version.unwrap_or(StreamOrigin::UNKNOWN_VERSION),
            sent,
        }
    }

    /// Incarnations that upstreams have named in their reports.
    #[must_use]
    pub const fn named_runs(&self) -> &NamedRuns {
        self.filter.named_runs()
    }

    /// Records what an upstream, asked at `asked`, reported of itself: the incarnation that
    /// it names, if any.
    pub fn record_report(
        &mut self,
        now: Time,
        upstream: &SelectedUpstream,
        asked: Time,
        named: Option<Incarnation>,
    ) -> ReportResult {
        self.filter.record_report(now, upstream.run(), asked, named)
    }

    /// Revision of the list of versions; 0 without one.
    #[must_use]
    pub fn versions_revision(&self) -> u64 {
        self.versions.revision
    }

    /// Replaces the list of versions.
    pub fn set_versions(&mut self, versions: ServiceVersions) {
        self.versions = versions;
    }

    /// What this front knows of a stream that goes on in a pool, whose origin the stores
    /// know as `recorded`.
    #[must_use]
    pub fn resume_facts(
        &self,
        pool: &Pool<'_>,
        named: bool,
        recorded: RecordedOrigin,
    ) -> ResumeFacts {
        let service = ServiceId::of(pool.service);
        let listed = match recorded {
            RecordedOrigin::Found(origin) => self.known.get(&origin.run.0),
            _ => None,
        };
        let listed = listed.map(|it| (it.announcement.incarnation, it.announcement.kind.version()));
        let only = self.versions.only_version(service);
        // An upstream may be listed that the list of versions does not have yet.
        let known = self.known.values().map(|it| &it.announcement.kind);
        let mut known = known.filter(|kind| kind.service() == Some(service));
        ResumeFacts {
            service,
            named,
            recorded,
            listed,
            only_version: only.filter(|_| known.all(|kind| kind.version() == only)),
        }
    }

    /// Whether streams of a service may have begun at several versions.
    #[must_use]
    pub fn has_several_versions(&self, service: &str) -> bool {
        let service = ServiceId::of(service);
        let versions = self.versions.listed.iter();
        versions.filter(|(other, _)| *other == service).count() > 1
    }

    // -----------------------------------------------------------------------
    // Admission

    /// Records how long a request waited for the head of its response.
    pub fn record_wait(&mut self, now: Time, service: &str, wait: Duration, objective: Duration) {
        let cfg = self.cfg.new_programs();
        let gate = self.gates.entry(ServiceId::of(service));
        let gate = gate.or_insert_with(|| NewProgramGate::new(cfg));
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
        if !self.cfg.new_program_gate {
            return None;
        }
        let gate = self.gates.get(&ServiceId::of(service))?;
        gate.refuses(now, program).then(|| gate.expected_wait(now))
    }

    // -----------------------------------------------------------------------
    // Selection

    /// Whether any upstream of a pool serves.
    #[must_use]
    pub fn serves(&self, now: Time, pool: &Pool<'_>) -> bool {
        self.serving(now, pool).next().is_some()
    }

    /// Upstreams of a pool that serve and are not leaving.
    fn serving(&self, now: Time, pool: &Pool<'_>) -> impl Iterator<Item = UpstreamRun> {
        let (service, required) = (ServiceId::of(pool.service), pool.requirements());
        self.known.iter().filter_map(move |(id, known)| {
            let candidate = known.candidate(*id, service)?;
            let serves = self.filter.serves(now, candidate, &required);
            serves.then_some(candidate.run)
        })
    }

    /// Judges the upstreams of a service for a request.
    fn judge(&mut self, now: Time, pool: &Pool<'_>, tried: &[UpstreamId]) -> Judged {
        let service = ServiceId::of(pool.service);
        let required = Requirements {
            tried,
            ..pool.requirements()
        };
        let mut judged = Judged::default();
        for (id, known) in &self.known {
            let Some(candidate) = known.candidate(*id, service) else {
                continue;
            };
            match self.filter.judge(now, candidate, &required) {
                Eligibility::Eligible => {}
                Eligibility::Suspended => judged.suspended.push(*id),
                Eligibility::NoPermit => judged.without_permit.push(candidate.run),
                Eligibility::Excluded => judged.excluded.push(*id),
            }
        }
        judged
    }

    /// Selects an upstream of a pool and counts the request as in flight there.
    ///
    /// [`UpstreamFilter`] decides which upstreams may take the request; those in
    /// `tried` may not. `draw` spreads requests over equally good upstreams.
    pub fn select(
        &mut self,
        now: Time,
        pool: &Pool<'_>,
        head: &CallHead,
        tried: &[UpstreamId],
        draw: u64,
    ) -> Option<SelectedUpstream> {
        let judged = self.judge(now, pool, tried);
        let without_permit = judged.without_permit.iter().map(|(id, _)| *id);
        let never: Vec<UpstreamId> = judged.excluded.into_iter().chain(without_permit).collect();
        let excluded = [&*judged.suspended, &*never].concat();
        let object = head.object.as_deref().filter(|_| pool.sticky);
        let object = object.filter(|_| head.prompt.is_empty());
        let object_part = object.map(|object| PromptPart {
            id: UpstreamId::of(object).0,
            tokens: OBJECT_TOKENS,
        });
        let prompt = object_part.as_ref().map_or(&*head.prompt, slice::from_ref);
        let blocks = block_hashes(prompt);
        // All fronts compute the same home for an object, or for a program.
        let program = object.unwrap_or(head.program_name());
        let branches = branch_ids(prompt);
        let continues = head.turn.as_ref().is_some_and(|turn| turn.prior.is_some());
        let mut req = RouteRequest {
            target: CallTarget::Service(ServiceId::of(pool.service)),
            program: ProgramId::root(UpstreamId::of(program).0),
            has_history: continues || branches.len() > 1 || object.is_some(),
            conversations: &branches,
            prompt: Tokens(token_count(prompt)),
            beginning: pool.beginning_of(&head.prompt),
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
            version: known.announcement.kind.version(),
            addr: choice.addr,
        };
        let limits = self.filter.limits();
        limits.use_permit(selected.run(), pool.is_bound());
        if !pool.is_bound() {
            // Permits for bound requests are used by these only.
            limits.want_permit(&judged.without_permit, false);
        }
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
