//! Starts the roles that the settings enable.

use {
    crate::{
        connection::{EngineClient, EntryContext, EntryServer, MonitorServer, ServiceClient},
        process::{
            Clock, ControlRequest, ControlService, Gate, GroupHost, GroupStartError,
            KvCacheManager, KvMsg, LedgerClient, LedgerService, Lifecycle, Mailbox, PermitMsg,
            QuorumRequest, Router, SharedHealth,
            announcer::{Announcer, DirectoryReader, StateSources},
            control_role::{config_change_handler, start_control, subscribe, watch_keys},
            directory::DirectoryMsg,
            spawn, telemetry,
        },
        request::{AttemptContext, CallContext, answer_permit_query, serve_attempt},
        settings::{EntrySettings, Settings, SidecarSettings},
        version::CurrentRules,
        wire::LinkRequest,
    },
    quay_config::ConfigError,
    quay_ledger::PermitRegistry,
    quay_ledger::{Ledger, LedgerLimits},
    quay_link::{Identity, Incoming, KeyFiles, LinkError, LinkRole, LinkSettings, Links},
    quay_members::MembersRequest,
    quay_members::MembersSettings,
    quay_types::{
        Announcement, BeginReply, ConfigIndex, GroupId, Incarnation, LedgerReply, LedgerRequest,
        Load, ModelId, ServiceId, SidecarRequest, UpstreamId, UpstreamKind, UpstreamState,
    },
    std::{
        fmt, io,
        net::SocketAddr,
        sync::{Arc, OnceLock},
        thread,
        time::{Duration, Instant},
    },
};

/// Interval at which it is looked whether the connections of callers are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Id of the first program group; the id before it is the control group.
const FIRST_PROGRAM_GROUP: GroupId = GroupId(1);

/// Reasons why a process could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be bound or a thread could not be created; names what
    /// was being started.
    Io(Box<str>, io::Error),
    /// The links between processes could not be set up.
    Link(LinkError),
    /// The replicas on this ledger host could not be started.
    Group(GroupStartError),
    /// The first configuration document is invalid.
    Document(ConfigError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, err) => write!(f, "{what}: {err}"),
            Self::Link(err) => write!(f, "{err}"),
            Self::Group(err) => write!(f, "{err}"),
            Self::Document(err) => write!(f, "[ledger] document: {err}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<LinkError> for StartError {
    fn from(err: LinkError) -> Self {
        Self::Link(err)
    }
}

impl From<GroupStartError> for StartError {
    fn from(err: GroupStartError) -> Self {
        Self::Group(err)
    }
}

/// Returns a function that adds to an [`io::Error`] what was being started.
pub fn starting(what: &str) -> impl FnOnce(io::Error) -> StartError {
    let what = what.into();
    move |err| StartError::Io(what, err)
}

/// A running process.
#[derive(Debug)]
pub struct Daemon {
    entry_server: Option<EntryServer>,
    monitor: Option<MonitorServer>,
    links: Links,
    lifecycle: Lifecycle,
    current: CurrentRules,
    /// Whether the process has the sidecar role and announces an upstream.
    announces: bool,
}

/// Running roles that serve streams from peers.
#[derive(Default)]
pub struct Roles {
    pub sidecar: Option<AttemptContext>,
    pub directory: Option<Mailbox<DirectoryMsg>>,
    pub ledger: Option<LedgerService>,
    pub control: Option<ControlService>,
    pub groups: Option<GroupHost>,
}

impl Daemon {
    /// Starts every role of `settings` under `identity`.
    ///
    /// # Errors
    ///
    /// Fails if an address or key cannot be used, a thread cannot be created, or
    /// the first configuration document is invalid.
    pub fn start(settings: &Settings, identity: Identity) -> Result<Self, StartError> {
        telemetry::start();
        let clock = Clock::start();
        let lifecycle = Lifecycle::default();
        let roles = Arc::new(OnceLock::<Roles>::new());
        let link_settings = LinkSettings {
            listen: Some(settings.link.listen),
            ..LinkSettings::new(identity)
        };
        let accepting = Arc::clone(&roles);
        let links = Links::start(link_settings, move |incoming| {
            // Streams that arrive before the roles have started are closed.
            if accepting.get().is_some() {
                dispatch(Arc::clone(&accepting), incoming);
            }
        })?;
        let mut started = Roles::default();
        if let Some(ledger) = &settings.ledger {
            let groups = GroupHost::new(ledger, links.clone(), clock)?;
            let (directory, control) = start_control(ledger, &groups, clock)?;
            started.directory = Some(directory);
            started.control = Some(control);
            started.ledger = Some(start_ledger(&groups, ledger.groups)?);
            started.groups = Some(groups);
        }
        if let Some(sidecar) = &settings.sidecar {
            started.sidecar = Some(start_sidecar(settings, sidecar, &links, clock, &lifecycle)?);
        }
        let current = CurrentRules::default();
        let changed = config_change_handler(settings, &started);
        let _ = roles.set(started);
        subscribe(settings, &links, &current, changed)?;
        let entry_server = match &settings.entry {
            Some(entry) => Some(start_entry(
                settings,
                entry,
                &links,
                clock,
                current.clone(),
                &lifecycle,
            )?),
            None => None,
        };
        let monitor = match settings.process.monitor {
            Some(addr) => {
                let monitor = MonitorServer::start(addr, lifecycle.clone());
                Some(monitor.map_err(starting(&format!("[process] monitor {addr}")))?)
            }
            None => None,
        };
        Ok(Self {
            entry_server,
            monitor,
            links,
            lifecycle,
            current,
            announces: settings.sidecar.is_some(),
        })
    }

    /// Listen address for client requests, if the entry role runs.
    #[must_use]
    pub fn callers_addr(&self) -> Option<SocketAddr> {
        self.entry_server.as_ref().map(EntryServer::local_addr)
    }

    /// Has the connections of callers closed after their next response.
    pub fn leave(&self) {
        if let Some(server) = &self.entry_server {
            server.leave();
        }
    }

    /// Closes the connections of callers when their responses are delivered, then the
    /// links when the requests of other processes are answered. Returns whether that was
    /// possible within `limit`.
    #[must_use]
    pub fn close(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut closed = true;
        if let Some(server) = &self.entry_server {
            server.close();
            while !server.is_closed() && Instant::now() < until {
                thread::sleep(CLOSE_POLL_INTERVAL);
            }
            closed = server.is_closed();
        }
        let left = until.saturating_duration_since(Instant::now());
        self.links.stop_blocking(left) && closed
    }

    /// Waits for two heartbeats, so that entries can learn that the upstream of
    /// this process is draining. Returns at once if there is no sidecar.
    pub fn wait_for_drain_announcement(&self) {
        if self.announces {
            thread::sleep(MembersSettings::default().heartbeat * 2);
        }
    }

    /// Drain state of the process and its number of requests in progress.
    #[must_use]
    pub const fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Starts a thread that reloads the keys whenever the files change.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn watch_keys(&self, files: KeyFiles) -> io::Result<()> {
        let links = self.links.clone();
        thread::Builder::new()
            .name("key-watch".into())
            .spawn(move || watch_keys(&links, &files))?;
        Ok(())
    }

    /// Index of the configuration in force in this process; 0 before the first
    /// document.
    #[must_use]
    pub fn config_index(&self) -> ConfigIndex {
        self.current.get().index()
    }

    /// Listen address of `/metrics` and `/healthz`, if configured.
    #[must_use]
    pub fn monitor_addr(&self) -> Option<SocketAddr> {
        self.monitor.as_ref().map(MonitorServer::local_addr)
    }

    /// Listen address for links from other processes.
    #[must_use]
    pub const fn link_addr(&self) -> Option<SocketAddr> {
        self.links.local_addr()
    }
}

/// Starts the entry role.
fn start_entry(
    settings: &Settings,
    entry: &EntrySettings,
    links: &Links,
    clock: Clock,
    rules: CurrentRules,
    lifecycle: &Lifecycle,
) -> Result<EntryServer, StartError> {
    let router = spawn("router", clock, router(settings)).map_err(starting("router"))?;
    let reader = DirectoryReader {
        name: settings.process.name.clone(),
        links: links.clone(),
        router: router.clone(),
        clock,
    };
    let ledgers = settings.link.ledgers.clone();
    thread::Builder::new()
        .name("directory-reader".into())
        .spawn(move || reader.run(&ledgers))
        .map_err(starting("directory reader"))?;
    let calls = CallContext {
        links: links.clone(),
        router,
        ledger: LedgerClient::new(links.clone(), settings.link.ledgers.as_slice()),
        lifecycle: lifecycle.clone(),
    };
    let cx = EntryContext {
        calls,
        rules,
        lifecycle: lifecycle.clone(),
        settings: entry.clone(),
    };
    EntryServer::start(cx).map_err(starting(&format!("[entry] listen {}", entry.listen)))
}

/// Creates a router with the policy settings.
fn router(settings: &Settings) -> Router {
    let policy = &settings.policy;
    let data_centre = &settings.process.data_centre;
    Router::new(
        policy.route.settings(),
        policy.retry.settings(),
        data_centre,
    )
}

/// Starts the ledger role.
fn start_ledger(groups: &GroupHost, count: u16) -> Result<LedgerService, StartError> {
    let first = FIRST_PROGRAM_GROUP.0;
    let programs: Result<Vec<_>, _> = (first..first.saturating_add(count))
        .map(GroupId)
        .map(|group| groups.start(group, Ledger::new(group, LedgerLimits::default())))
        .collect();
    LedgerService::start(programs?).map_err(starting("ledger"))
}

/// Starts the sidecar role.
fn start_sidecar(
    settings: &Settings,
    sidecar: &SidecarSettings,
    links: &Links,
    clock: Clock,
    lifecycle: &Lifecycle,
) -> Result<AttemptContext, StartError> {
    let gate = settings.policy.admit.settings(sidecar.concurrency);
    let gate = spawn("gate", clock, Gate::new(gate)).map_err(starting("gate"))?;
    let incarnation = Incarnation(Clock::wall_ms());
    let registry = PermitRegistry::new(UpstreamId::of(&sidecar.upstream), incarnation);
    let permits: Mailbox<PermitMsg> =
        spawn("permits", clock, registry).map_err(starting("permits"))?;
    let announcement = Announcement {
        name: sidecar.upstream.clone(),
        incarnation,
        sequence: 0,
        addr: links.local_addr().unwrap_or(settings.link.listen),
        data_centre: settings.process.data_centre.clone(),
        kind: upstream_kind(sidecar),
        state: UpstreamState::Serving,
        load: Load::default(),
    };
    let health = SharedHealth::new(clock);
    health
        .start_prober(format!("http://{}/healthz", sidecar.addr).into())
        .map_err(starting("prober"))?;
    let state_sources = StateSources {
        lifecycle: lifecycle.clone(),
        health: health.clone(),
    };
    let announcer = Announcer {
        links: links.clone(),
        gate: gate.clone(),
        state_sources,
        announcement,
    };
    announcer
        .start(&settings.link.ledgers)
        .map_err(starting("announcer"))?;
    let engine = EngineClient::new(sidecar.addr);
    let kv = if sidecar.service.is_some() {
        None
    } else {
        let ledger = LedgerClient::new(links.clone(), settings.link.ledgers.as_slice());
        let sweep = settings.policy.kv.sweep();
        let kv = KvCacheManager::start(clock, sweep, engine.clone(), ledger);
        Some(kv.map_err(starting("KV cache manager"))?)
    };
    Ok(AttemptContext {
        incarnation,
        gate,
        kv,
        permits,
        engine,
        lifecycle: lifecycle.clone(),
        health,
        clock,
        next_attempt: Arc::default(),
        service: ServiceClient::new(sidecar.addr),
    })
}

/// Returns the kind of the upstream and the models or service that it serves.
fn upstream_kind(sidecar: &SidecarSettings) -> UpstreamKind {
    match &sidecar.service {
        Some(service) => UpstreamKind::Service {
            service: ServiceId::of(service),
        },
        None => UpstreamKind::Engine {
            models: sidecar
                .models
                .iter()
                .map(|name| ModelId::of(name))
                .collect(),
        },
    }
}

// ---------------------------------------------------------------------------
// Streams from peers

/// Decodes the first request of a stream and serves it on a new thread.
fn dispatch(roles: Arc<OnceLock<Roles>>, incoming: Incoming) {
    let spawned = thread::Builder::new().name("stream".into()).spawn(move || {
        let Some(roles) = roles.get() else { return };
        match incoming.first.decode::<LinkRequest>() {
            Ok(req) => serve_stream(roles, req, incoming),
            Err(err) => log::warn!("event=bad_request peer={} cause={err:?}", incoming.addr),
        }
    });
    if let Err(err) = spawned {
        log::error!("event=stream_dropped cause={err:?}");
    }
}

/// Serves a stream if the roles of the peer allow its request.
fn serve_stream(roles: &Roles, req: LinkRequest, mut incoming: Incoming) {
    if !allowed(&req, &incoming.roles) {
        log::warn!(
            "event=role_refused peer={} roles={:?}",
            incoming.addr,
            incoming.roles
        );
        return;
    }
    match req {
        LinkRequest::Sidecar(SidecarRequest::Call(call)) => {
            if let Some(attempts) = &roles.sidecar {
                serve_attempt(attempts, &mut incoming.stream, &call);
            }
        }
        LinkRequest::Members(req) => {
            let directory = roles.directory.as_ref();
            let answer = directory
                .and_then(|directory| directory.ask(|reply| DirectoryMsg::Request { req, reply }));
            if let Some(answer) = answer {
                let _ = incoming.stream.send(&answer);
            }
        }
        LinkRequest::Control(req) => {
            if let Some(control) = &roles.control {
                let _ = incoming.stream.send(&control.serve(req, &incoming));
            }
        }
        LinkRequest::Sidecar(SidecarRequest::QueryPermit(id, incarnation)) => {
            if let Some(attempts) = &roles.sidecar {
                answer_permit_query(attempts, &incoming.stream, id, incarnation);
            }
        }
        LinkRequest::Ledger(req) => {
            if let Some(ledger) = &roles.ledger {
                let reply = stale_config_refusal(roles, &req).unwrap_or_else(|| ledger.serve(req));
                let _ = incoming.stream.send(&reply);
            }
        }
        LinkRequest::Quorum(req) => {
            if let Some(groups) = &roles.groups {
                groups.serve(req, &mut incoming);
            }
        }
        LinkRequest::Gateway(_) => {}
        LinkRequest::Sidecar(SidecarRequest::ProgramEnded(program)) => {
            if let Some(kv) = roles
                .sidecar
                .as_ref()
                .and_then(|sidecar| sidecar.kv.as_ref())
            {
                kv.send(KvMsg::ProgramEnded(program));
            }
        }
    }
}

/// Returns the refusal of a call begun under a configuration index that is no
/// longer accepted.
fn stale_config_refusal(roles: &Roles, req: &LedgerRequest) -> Option<LedgerReply> {
    let LedgerRequest::Begin(begin) = req else {
        return None;
    };
    let err = roles.control.as_ref()?.check_index(begin.config).err()?;
    Some(LedgerReply::Begin(BeginReply::Refused(err)))
}

/// Whether a peer with `roles` may send `req`.
fn allowed(req: &LinkRequest, roles: &[LinkRole]) -> bool {
    let needed: &[LinkRole] = match req {
        LinkRequest::Sidecar(_) | LinkRequest::Members(MembersRequest::Changes(_)) => {
            &[LinkRole::Entry]
        }
        LinkRequest::Members(MembersRequest::Announce(_) | MembersRequest::Heartbeat(_)) => {
            &[LinkRole::Sidecar]
        }
        LinkRequest::Control(ControlRequest::Poll { .. }) => {
            &[LinkRole::Entry, LinkRole::Sidecar, LinkRole::Ledger]
        }
        LinkRequest::Control(ControlRequest::Quarantine { .. }) => {
            &[LinkRole::Entry, LinkRole::Ledger]
        }
        LinkRequest::Quorum(QuorumRequest::Peer { .. }) => &[LinkRole::Ledger],
        // Daemons do not serve gateway requests.
        LinkRequest::Gateway(_) => &[],
        LinkRequest::Control(_) | LinkRequest::Quorum(_) => &[LinkRole::Operator],
        LinkRequest::Ledger(_) => &[LinkRole::Entry, LinkRole::Sidecar],
    };
    needed.iter().any(|role| roles.contains(role))
}
