//! State and tasks of a front.

mod crashes;
mod permits;
mod quotas;
mod reports;
mod streams;

use {
    self::{crashes::FLUSH_TIME, permits::PermitSignals, quotas::QuotaSignals},
    super::{
        account_meters::AccountMeters,
        buffer_space::BufferSpace,
        call,
        connections::Connections,
        drain::FrontDrain,
        front_suspects::FrontSuspects,
        history::{History, StoredHistory},
        memory::FrontMemory,
        refusal::Refusal,
        startup_wait::StartupWait,
        upstreams::{Pool, Upstreams},
    },
    crate::{
        gateway::{
            control_client::ControlClient,
            http_server::{self, Body, ServerLimits, full},
            messages::{ControlReply, ControlRequest, ControlUpdate, FollowerState},
            meters,
            store::{StoreClient, StoredChain},
        },
        process::Clock,
        settings::FrontSettings,
    },
    bytes::{Bytes, BytesMut},
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    indexmap::IndexMap,
    quay_policy::{
        DrainPlan, DrainSettings, FleetQuotaHolder, FleetQuotaSettings, MemoryClass, MemoryHolder,
        StandstillClock,
    },
    quay_routes::{Dialect, Route, RouteKey, RoutingTable},
    quay_types::{AttemptTag, ProgramTag, Time, TurnId},
    rand::Rng as _,
    std::{
        cell::{Cell, RefCell, RefMut},
        convert::Infallible,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::Notify,
        task::spawn_local,
        time::{Instant, sleep, sleep_until, timeout_at},
    },
};

use self::reports::ReportTurns;

pub use self::{quotas::QuotaPermit, streams::check_take_up};

/// Time-out for an update from the control group.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Delay before the next attempt after the control group was not reached.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Age of the last control update after which the front's state may be out of
/// date: less than the 2 s within which a change must be in force.
pub const MAX_CONTROL_AGE: Duration = Duration::from_millis(1_500);

/// Age of the last control update after which the front reports itself not
/// ready: longer than a restart of all control hosts with an election (2.0 s).
const MAX_READY_CONTROL_AGE: Duration = Duration::from_millis(2_300);

/// Time from the start during which requests wait for a routing table and
/// upstreams: an election after a restart of all hosts (0.5 s) and starts 0.3 s
/// apart, with a margin.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Interval at which old load reports, unused conversations and idle
/// connections are dropped and gauges are set.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(300);

/// Share of a shutdown's reserve in which the final answers are sent, as a divisor.
const ANSWER_SHARE: u32 = 3;

/// Share of a shutdown's reserve in which crashes are still reported, as a fraction.
const REPORT_SHARE: (u32, u32) = (5, 7);

/// Handle of a front; clones share its state.
#[derive(Debug)]
pub struct FrontHost<D>(Rc<Shared<D>>);

impl<D> Clone for FrontHost<D> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

#[derive(Debug)]
struct Shared<D> {
    dialect: D,
    clock: Clock,
    control: ControlClient,
    stores: StoreClient,
    upstreams: RefCell<Upstreams>,
    suspects: RefCell<FrontSuspects>,
    /// Notified when an upstream that lost a run was checked.
    checked: Notify,
    /// Notified when there are events of suspects to report.
    report: Notify,
    /// Permits for limited upstreams.
    permits: PermitSignals,
    /// The same for requests that are bound to some upstreams of a service.
    bound_permits: PermitSignals,
    /// Permits for the requests of accounts with a limit.
    quotas: RefCell<FleetQuotaHolder>,
    quota_signals: QuotaSignals,
    account_meters: RefCell<AccountMeters>,
    connections: Connections,
    report_turns: ReportTurns,
    buffers: BufferSpace,
    memory: FrontMemory,
    table: RefCell<Option<Rc<RoutingTable>>>,
    /// Routes, by host and prefix, that got other services, and when.
    moved_routes: RefCell<IndexMap<RouteKey, Time>>,
    limits: ServerLimits,
    startup: StartupWait,
    /// Time of the last update from the control group.
    last_update: Cell<Option<Time>>,
    /// Time at which the newest update that the front has was asked for. The update is
    /// not older, however late it was read.
    last_confirmed: Cell<Option<Time>>,
    /// Time without an update after which keys are refused, if they are.
    revoke_after: Option<Duration>,
    drain: FrontDrain,
    standstill: Cell<StandstillClock>,
    /// Random identity of this front in requests for directory changes.
    reader: u64,
    /// Link address of this front.
    link: SocketAddr,
}

impl<D: Dialect> FrontHost<D> {
    /// Creates a front without a routing table or upstreams.
    pub fn new(
        dialect: D,
        clock: Clock,
        data_centre: &str,
        control: ControlClient,
        stores: StoreClient,
        settings: &FrontSettings,
        link: SocketAddr,
    ) -> Self {
        let memory = FrontMemory::of(settings, clock);
        let reader = rand::rng().next_u64();
        // A front that restarts takes the place of its earlier run.
        let front = AttemptTag::of(&link.to_string()).0;
        let quotas = FleetQuotaHolder::new(front, reader, FleetQuotaSettings::default());
        Self(Rc::new(Shared {
            dialect,
            clock,
            control,
            stores,
            upstreams: RefCell::new(Upstreams::with_decisions(data_centre, settings.decisions)),
            suspects: RefCell::default(),
            checked: Notify::new(),
            report: Notify::new(),
            permits: PermitSignals::default(),
            bound_permits: PermitSignals::default(),
            quotas: RefCell::new(quotas),
            quota_signals: QuotaSignals::default(),
            account_meters: RefCell::default(),
            connections: Connections::new(clock, memory.is_limited()),
            report_turns: ReportTurns::default(),
            buffers: BufferSpace::new(memory.clone()),
            table: RefCell::default(),
            moved_routes: RefCell::default(),
            limits: ServerLimits {
                memory: memory.host().clone(),
                ..ServerLimits::default()
            },
            memory,
            startup: StartupWait::new(clock.now(), STARTUP_TIME),
            last_update: Cell::default(),
            last_confirmed: Cell::default(),
            revoke_after: settings.revoke_after(),
            drain: FrontDrain::default(),
            standstill: Cell::default(),
            reader,
            link,
        }))
    }

    /// Sets the bounds of accounts' limits, before the front starts.
    pub fn set_quotas(&self, quotas: FleetQuotaSettings) {
        self.0.quotas.borrow_mut().set_settings(quotas);
    }

    /// Starts the front's tasks.
    pub fn start(&self, callers: TcpListener, ready: TcpListener) {
        spawn_local(self.clone().follow_control());
        spawn_local(self.clone().run_maintenance());
        spawn_local(self.clone().report_runs());
        spawn_local(self.clone().request_permits(false));
        spawn_local(self.clone().request_permits(true));
        spawn_local(self.clone().request_quotas());
        spawn_local(self.0.stores.clone().probe_paths());
        let front = self.clone();
        spawn_local(async move {
            let shared = front.clone();
            let answer = move |req: Request<Incoming>| {
                let front = shared.clone();
                async move { Ok::<_, Infallible>(call::answer(front, req).await) }
            };
            http_server::serve(callers, answer, &front.0.limits).await;
        });
        let front = self.clone();
        spawn_local(async move {
            let probed = front.clone();
            let answer = move |req: Request<Incoming>| {
                let response = probed.readiness(&req);
                async move { Ok::<_, Infallible>(response) }
            };
            let limits = ServerLimits {
                memory: front.0.memory.host().clone(),
                ..ServerLimits::default()
            };
            http_server::serve(ready, answer, &limits).await;
        });
    }

    /// Answers a readiness probe.
    fn readiness(&self, req: &Request<Incoming>) -> Response<Body> {
        let mut response = Response::new(full(Bytes::new()));
        let is_probe = self
            .dialect()
            .is_readiness_probe(req.method(), req.uri().path());
        *response.status_mut() = match (is_probe, self.ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        response
    }

    fn ready(&self) -> bool {
        let now = self.now();
        let last_update = self.0.last_update.get();
        let recent = last_update.is_some_and(|at| now.since(at) < MAX_READY_CONTROL_AGE);
        recent && self.table().is_some() && !self.draining()
    }

    // -----------------------------------------------------------------------
    // State used by requests

    /// Time since the process started.
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// Dialect of the callers' HTTP messages.
    pub fn dialect(&self) -> &D {
        &self.0.dialect
    }

    /// Newest routing table that the front has received.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.0.table.borrow().clone()
    }

    /// Returns the routing table; waits for it during the startup phase, at
    /// most until `ends`.
    pub async fn wait_for_table(&self, ends: Time) -> Option<Rc<RoutingTable>> {
        let startup = &self.0.startup;
        startup.wait_for(ends, || self.now(), || self.table()).await
    }

    /// Waits during the startup phase until an upstream of a pool serves, at most
    /// until `ends`.
    pub async fn wait_for_service(&self, pool: &Pool<'_>, ends: Time) {
        let look = || self.upstreams().serves(self.now(), pool).then_some(());
        self.0.startup.wait_for(ends, || self.now(), look).await;
    }

    /// Whether the control group has confirmed the front's state so recently that no
    /// change in force at `now` can have been missed.
    pub fn control_is_fresh(&self, now: Time) -> bool {
        let confirmed = self.0.last_confirmed.get();
        confirmed.is_some_and(|at| now.since(at) < MAX_CONTROL_AGE)
    }

    /// Time since the configuration that the front has was last known to be in force;
    /// `None` if it never was. A front that was paused reads replies from before the
    /// pause, so this counts from the request and not from the reply.
    pub fn control_age(&self) -> Option<Duration> {
        let confirmed = self.0.last_confirmed.get()?;
        Some(self.now().since(confirmed))
    }

    /// Time without an update after which keys are refused; `None` if they never are.
    pub fn revoke_after(&self) -> Option<Duration> {
        self.0.revoke_after
    }

    /// Time since the front saw a route get other services; `None` if it did not.
    pub fn time_since_move(&self, route: &Route) -> Option<Duration> {
        let moved = self.0.moved_routes.borrow();
        let at = moved.get(&(route.host.clone(), route.prefix.clone()))?;
        Some(self.now().since(*at))
    }

    /// Whether the front is shutting down.
    pub fn draining(&self) -> bool {
        self.0.drain.has_begun()
    }

    /// Shutdown of the front.
    pub fn shutdown(&self) -> &FrontDrain {
        &self.0.drain
    }

    /// Upstreams known to the front.
    pub fn upstreams(&self) -> RefMut<'_, Upstreams> {
        self.0.upstreams.borrow_mut()
    }

    /// Connection pool to the upstreams.
    pub fn connections(&self) -> &Connections {
        &self.0.connections
    }

    /// Memory for responses that are held until they are complete.
    pub fn buffers(&self) -> &BufferSpace {
        &self.0.buffers
    }

    /// Memory of the front.
    pub fn memory(&self) -> &FrontMemory {
        &self.0.memory
    }

    /// Client of the stores.
    pub fn stores(&self) -> &StoreClient {
        &self.0.stores
    }

    /// Returns the conversation up to a turn that a program continues from, if
    /// cached.
    pub fn cached_conversation(&self, program: ProgramTag, turn: TurnId) -> Option<Bytes> {
        let key = (self.0.stores.group_of(program), turn);
        let now = self.now();
        self.0.memory.cached(now, key)
    }

    /// Caches the conversation up to a turn that a program can continue from, given in
    /// parts, if there is room.
    pub fn cache_if_room(&self, program: ProgramTag, turn: TurnId, parts: &[&[u8]]) {
        let key = (self.0.stores.group_of(program), turn);
        self.0.memory.cache_if_room(self.now(), key, parts);
    }

    /// The conversation of a chain, up to the turn `id`: whole, and cached, if there is room
    /// in the cache, otherwise on the stores.
    pub async fn open_history(
        &self,
        program: ProgramTag,
        id: TurnId,
        chain: StoredChain,
        holder: Option<MemoryHolder>,
    ) -> Result<History, Refusal> {
        let memory = &self.0.memory;
        let key = (self.0.stores.group_of(program), id);
        if let Some(turns) = chain.turns() {
            let (conversation, cacheable) = memory.join_history(holder, turns)?;
            if cacheable {
                memory.cache(self.now(), key, conversation.clone());
            }
            return Ok(History::Whole(conversation));
        }
        let bytes = usize::try_from(chain.bytes()).unwrap_or(usize::MAX);
        if chain.bytes() <= memory.cache_bytes()
            && let Ok(guard) = memory.reserve(MemoryClass::Conversations, None, bytes)
        {
            let mut joined = BytesMut::with_capacity(bytes);
            let mut reader = chain.read(&self.0.stores);
            loop {
                let page = reader.next().await;
                if page.is_empty() {
                    break;
                }
                for turn in page {
                    joined.extend_from_slice(&turn.input);
                    joined.extend_from_slice(&turn.output);
                }
            }
            let conversation = guard.attach(joined.freeze());
            memory.cache(self.now(), key, conversation.clone());
            return Ok(History::Whole(conversation));
        }
        log::info!("event=history_paged turn={id} bytes={bytes}");
        meters::record_paged_history();
        let stores = self.0.stores.clone();
        let history = StoredHistory::new(chain, stores, memory, holder);
        history.map(History::Stored).map_err(|_| Refusal::NoMemory)
    }

    // -----------------------------------------------------------------------
    // Tasks

    /// Requests updates from the control group and applies them, in a loop.
    async fn follow_control(self) {
        loop {
            let follower_state = self.follower_state();
            let asked = self.now();
            let reply = self
                .0
                .control
                .request(ControlRequest::Follow(follower_state), FOLLOW_TIMEOUT)
                .await;
            match reply {
                Some(ControlReply::Update(update)) => {
                    self.0.last_confirmed.set(Some(asked));
                    self.apply_update(*update);
                }
                _ => sleep(FOLLOW_RETRY_DELAY).await,
            }
        }
    }

    fn follower_state(&self) -> FollowerState {
        let mut upstreams = self.upstreams();
        FollowerState {
            revision: self.table().map_or(0, |table| table.revision),
            stores: self.0.stores.map_version(),
            directory: upstreams.next_request(self.0.reader),
            link: self.0.link,
            suspects: self.0.suspects.borrow().version(),
            reads_versions: true,
            versions: upstreams.versions_revision(),
            departures: Some(upstreams.departures_known()),
        }
    }

    fn apply_update(&self, update: ControlUpdate) {
        let now = self.now();
        self.0.last_update.set(Some(now));
        self.0.control.set_hosts(update.controls);
        self.0.stores.set_peer_fronts(update.followers);
        if let Some(stores) = update.stores {
            self.0.stores.set_map(stores);
        }
        if let Some(list) = update.suspects {
            log::info!("event=suspects_known version={}", list.version);
            let mut suspects = self.0.suspects.borrow_mut();
            suspects.set_list(Self::unix_time(), list);
        }
        if let Some(versions) = update.versions {
            log::info!(
                "event=versions_known revision={} complete={} versions={}",
                versions.revision,
                versions.complete,
                versions.listed.len()
            );
            self.upstreams().set_versions(versions);
        }
        let mut upstreams = self.upstreams();
        upstreams.apply_departures(update.departures);
        upstreams.apply_changes(now, update.directory);
        drop(upstreams);
        self.record_lost_runs();
        if let Some(text) = update.table {
            self.apply_table(&text.document);
        }
        self.0.startup.notify();
    }

    fn apply_table(&self, document: &[u8]) {
        let table = match self.dialect().parse_table(document) {
            Ok(table) => table,
            Err(fault) => {
                log::error!("event=table_unreadable cause=\"{fault}\"");
                return;
            }
        };
        let current = self.table();
        if let Some(current) = &current {
            if current.revision >= table.revision {
                return;
            }
            let now = self.now();
            let mut moved = self.0.moved_routes.borrow_mut();
            moved.retain(|(host, prefix), _| {
                let route = table.find(host, prefix);
                route.is_some_and(|route| route.prefix == *prefix)
            });
            moved.extend(table.moved_routes(current).into_iter().map(|it| (it, now)));
        }
        log::info!(
            "event=table_in_force revision={} routes={} accounts={}",
            table.revision,
            table.routes.len(),
            table.accounts.iter().count()
        );
        let limits = &self.0.limits;
        limits.head_bytes.set(table.limits.head_bytes as usize);
        limits.idle.set(table.limits.idle_timeout);
        let edge = &table.limits;
        let (head_bytes, body_bytes) = (edge.head_bytes.into(), edge.body_bytes.into());
        limits
            .memory
            .set_limits(head_bytes, body_bytes, edge.head_timeout);
        self.set_account_limits(&table);
        self.0.table.replace(Some(Rc::new(table)));
    }

    /// Drops outdated state and sets the gauges, in a loop.
    async fn run_maintenance(self) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            let now = self.now();
            let mut standstill = self.0.standstill.get();
            standstill.record_run(now);
            self.0.standstill.set(standstill);
            self.upstreams().tick(now);
            self.check_upstreams();
            let closing = self.0.limits.closing.has_begun();
            self.0.memory.tick(now, closing);
            self.0.connections.close_idle();
            self.0.account_meters.borrow_mut().select(now);
            meters::set_limited_upstreams(self.upstreams().limits().len());
            let last_update = self.0.last_update.get();
            meters::set_front(
                self.0.limits.closing.open(),
                last_update.map(|at| now.since(at)),
                self.table().map_or(0, |table| table.revision),
                self.0.stores.map_version(),
            );
        }
    }

    /// Shuts down gracefully within `grace` of the signal: reports not ready, then closes each
    /// connection between two responses. Requests that are still in progress near the
    /// end of `grace` get their final answer.
    pub async fn drain(&self, grace: Duration) {
        let sent = self.0.standstill.get().signal_sent(self.now());
        let plan = DrainPlan::new(sent, grace, &DrainSettings::default());
        let began = Instant::now();
        let at = |time: Time| began + time.since(self.now());
        let (closes, ends) = (at(plan.closes()), at(plan.ends()));
        let reserve = plan.exits().since(plan.ends());
        self.0.drain.begin(plan);
        let closing = &self.0.limits.closing;
        log::info!(
            "event=drain_began connections={} stood_ms={}",
            closing.open(),
            self.now().since(sent).as_millis()
        );
        sleep_until(closes).await;
        log::info!("event=drain_closes connections={}", closing.open());
        closing.begin();
        if timeout_at(ends, self.finish_requests(ends)).await.is_err() {
            log::warn!("event=drain_ends connections={}", closing.open());
            // A process that stood still meanwhile gets its time for answers, too.
            let ends = ends.max(Instant::now());
            self.0.drain.end();
            let answered = ends + reserve / ANSWER_SHARE;
            if timeout_at(answered, closing.all_closed()).await.is_err() {
                log::error!("event=drain_cut connections={}", closing.open());
            }
            let (part, whole) = REPORT_SHARE;
            let reported = ends + reserve * part / whole;
            let reports = async {
                let _ = timeout_at(reported, self.leave_quotas()).await;
                self.flush_reports(reported).await;
            };
            let _ = tokio::join!(reports, timeout_at(reported, closing.finish()));
        }
        log::info!("event=drain_left connections={}", closing.open());
    }

    /// Waits until no connection is open and the last reports have been made, for which it
    /// takes until `ends` at most. Connections that arrive meanwhile are waited for, too.
    async fn finish_requests(&self, ends: Instant) {
        let closing = &self.0.limits.closing;
        closing.all_closed().await;
        log::info!("event=drain_ended");
        let reported = ends.min(Instant::now() + FLUSH_TIME);
        loop {
            let _ = timeout_at(reported, self.leave_quotas()).await;
            self.flush_reports(reported).await;
            if closing.open() == 0 {
                break;
            }
            closing.all_closed().await;
        }
        closing.finish().await;
    }
}
