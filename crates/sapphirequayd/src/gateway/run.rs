//! Starts the gateway role that the settings select and stops it on a signal.

use {
    super::{
        GatewayRequest,
        control::{ControlHost, SavedHosts},
        control_client::ControlClient,
        front::{FrontHost, FrontMemory},
        host_memory::{HostMemory, MemoryGuard},
        incoming_calls::{Asked, IncomingRequests},
        messages::{StoreOp, StoreReply},
        store::{StoreClient, StoreHost},
    },
    crate::{
        connection::MonitorServer,
        process::{Clock, GroupHost, GroupStartError, Lifecycle, telemetry},
        settings::{
            ControlSettings, FrontSettings, GatewaySettings, LedgerSettings, PeerSettings,
            Settings, StoreSettings,
        },
        wire::LinkRequest,
    },
    quay_link::{FrameMemory, Identity, LinkError, LinkRole, LinkSettings, Links},
    quay_policy::MemoryClass,
    quay_quorum::Member,
    quay_routes::Dialect,
    quay_turns::{Record, StoreAnnouncement},
    quay_types::GroupId,
    rand::Rng as _,
    std::{
        fmt, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        rc::Rc,
        thread,
        time::{Duration, SystemTime},
    },
    tokio::{
        net::TcpListener,
        signal::unix::{Signal, SignalKind, signal},
        sync::mpsc,
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Silence after which a link is given up: less than a second, in which callers
/// turn to another host.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Idle time after which a keep-alive packet is sent: early enough to send it
/// several times within [`LINK_IDLE_TIMEOUT`] if it is lost, and late enough
/// that links in regular use send none.
const LINK_KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Maximum number of concurrent requests of one host to another; further ones
/// wait within their time-outs.
const LINK_MAX_STREAMS: u32 = 56;

/// The same for a front, of which others ask only for relays: as many long requests may
/// arrive from one of them before they count in the front's memory.
const FRONT_MAX_STREAMS: u32 = 8;

/// Maximum number of calls of other hosts that wait to be read.
const LINK_QUEUED_CALLS: usize = 256;

/// Maximum time in which a store answers what it has read before it stops: longer than
/// callers wait for it.
const MAX_STORE_STOP_TIME: Duration = Duration::from_secs(2);

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Why a gateway could not start.
#[derive(Debug)]
pub enum GatewayError {
    /// An address, a file, a thread or another system resource is unavailable;
    /// names the resource.
    Io(&'static str, io::Error),
    /// The links could not be set up.
    Link(LinkError),
    /// The replica of the control group could not be started.
    Group(GroupStartError),
    /// The settings select no gateway role.
    NoRole,
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, err) => write!(f, "{what}: {err}"),
            Self::Link(err) => write!(f, "{err}"),
            Self::Group(err) => write!(f, "{err}"),
            Self::NoRole => f.write_str("the settings select no gateway role"),
        }
    }
}

impl std::error::Error for GatewayError {}

fn io(what: &'static str) -> impl FnOnce(io::Error) -> GatewayError {
    move |err| GatewayError::Io(what, err)
}

/// Runs the configured gateway role until a termination signal. `path` is the
/// settings file, which is reloaded when it changes.
///
/// # Errors
///
/// If a resource needed for the start is unavailable, or no role is configured.
pub fn run(
    settings: &Settings,
    path: &Path,
    identity: Identity,
    dialect: impl Dialect,
) -> Result<(), GatewayError> {
    let lifecycle = Lifecycle::default();
    // Metrics are recorded only if there is an address to read them from.
    if let Some(listen) = settings.process.monitor {
        telemetry::start();
        MonitorServer::start(listen, lifecycle.clone()).map_err(io("metrics address"))?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(io("async runtime"))?;
    LocalSet::new().block_on(
        &runtime,
        serve(settings, path, identity, dialect, &lifecycle),
    )
}

/// Resources that every role uses.
struct HostContext {
    clock: Clock,
    links: Links,
    incoming: IncomingRequests,
    control: ControlClient,
}

async fn serve(
    settings: &Settings,
    path: &Path,
    identity: Identity,
    dialect: impl Dialect,
    lifecycle: &Lifecycle,
) -> Result<(), GatewayError> {
    // Heard from the start on: reading the data of a role may take long.
    let mut signals = TerminationSignals::hear()?;
    let hup = signal(SignalKind::hangup()).map_err(io("signals"))?;
    let seeds = settings.gateway.clone().unwrap_or_default();
    let (tx, streams) = mpsc::unbounded_channel();
    let (calls_tx, calls) = mpsc::channel(LINK_QUEUED_CALLS);
    let store = settings.store.as_ref();
    let frame_memory = store.and_then(StoreSettings::frame_bytes);
    let frame_memory = frame_memory.map(FrameMemory::new);
    let link_settings = LinkSettings {
        listen: Some(settings.link.listen),
        idle_timeout: LINK_IDLE_TIMEOUT,
        keep_alive: LINK_KEEP_ALIVE,
        max_streams: match settings.front {
            Some(_) => FRONT_MAX_STREAMS,
            None => LINK_MAX_STREAMS,
        },
        calls: Some(calls_tx),
        frame_memory: frame_memory.clone(),
        ..LinkSettings::new(identity)
    };
    let links = Links::start_on_runtime(link_settings, move |incoming| {
        let _ = tx.send(incoming);
    })
    .map_err(GatewayError::Link)?;
    let control = ControlClient::new(links.clone(), seeds.links());
    let base = HostContext {
        clock: Clock::start(),
        links,
        incoming: IncomingRequests { streams, calls },
        control: control.clone(),
    };
    spawn_local(watch_settings(path.into(), control, hup));
    let name = &settings.process.name;
    if let Some(front) = &settings.front {
        let host = start_front(settings, front, base, dialect).await?;
        log::info!("event=started name={name} role=front");
        signals.wait(lifecycle).await;
        host.drain(settings.process.grace()).await;
    } else if let Some(control) = &settings.control {
        let host = start_control(settings, control, &seeds, base, dialect)?;
        log::info!("event=started name={name} role=control");
        signals.wait(lifecycle).await;
        host.stop(settings.process.grace()).await;
    } else if let Some(store) = &settings.store {
        let links = base.links.clone();
        start_store(settings, store, &seeds, base, frame_memory)?;
        log::info!("event=started name={name} role=store");
        signals.wait(lifecycle).await;
        let limit = settings.process.grace().min(MAX_STORE_STOP_TIME);
        let answered = links.stop(limit).await;
        log::info!("event=stop_ended closed=true answered={answered}");
    } else {
        return Err(GatewayError::NoRole);
    }
    log::info!("event=stopped name={name}");
    Ok(())
}

/// SIGTERM and SIGINT.
struct TerminationSignals {
    term: Signal,
    int: Signal,
}

impl TerminationSignals {
    /// Hears the signals from now on.
    fn hear() -> Result<Self, GatewayError> {
        Ok(Self {
            term: signal(SignalKind::terminate()).map_err(io("signals"))?,
            int: signal(SignalKind::interrupt()).map_err(io("signals"))?,
        })
    }

    /// Waits for one of them and marks the process as draining.
    async fn wait(&mut self, lifecycle: &Lifecycle) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
        lifecycle.drain();
    }
}

// ---------------------------------------------------------------------------
// Roles

async fn start_front<D: Dialect>(
    settings: &Settings,
    front: &FrontSettings,
    base: HostContext,
    dialect: D,
) -> Result<FrontHost<D>, GatewayError> {
    let data_centre = &settings.process.data_centre;
    let stores = StoreClient::new(base.links, data_centre, base.clock);
    let host = FrontHost::new(
        dialect,
        base.clock,
        data_centre,
        base.control,
        stores.clone(),
        front,
        settings.link.listen,
    );
    host.set_quotas(settings.quota.settings());
    let callers = TcpListener::bind(front.listen).await;
    let ready = TcpListener::bind(front.ready).await;
    host.start(
        callers.map_err(io("front address"))?,
        ready.map_err(io("readiness address"))?,
    );
    let memory = host.memory().clone();
    spawn_local(
        base.incoming
            .serve(move |asked| serve_front(stores.clone(), memory.clone(), asked)),
    );
    Ok(host)
}

/// Relays a request of another front to a store, if there is memory for it.
async fn serve_front(stores: StoreClient, memory: FrontMemory, mut asked: Asked) {
    let bytes = asked.request_bytes();
    let Ok(reserved) = memory.reserve(MemoryClass::Requests, None, bytes) else {
        log::debug!("event=relay_refused addr={} bytes={bytes}", asked.addr());
        asked.reply(&None::<StoreReply>).await;
        return;
    };
    match asked.take_request() {
        Ok(LinkRequest::Gateway(GatewayRequest::Relay(addr, mut req))) => {
            hold_with_largest_turn(&mut req.op, reserved);
            let reply = stores.forward(addr, req).await;
            asked.reply(&reply).await;
        }
        unsupported => log_unsupported(asked.addr(), unsupported),
    }
}

/// Counts a relayed request until the link no longer holds its largest turn, which may be
/// after the request's time-out.
fn hold_with_largest_turn(op: &mut StoreOp, reserved: MemoryGuard) {
    let StoreOp::Write(records) = op else { return };
    if let Some(Record::Turn(turn)) = records.iter_mut().max_by_key(|it| it.data_bytes()) {
        turn.input = reserved.attach(std::mem::take(&mut turn.input));
    }
}

fn start_control<D: Dialect>(
    settings: &Settings,
    control: &ControlSettings,
    seeds: &GatewaySettings,
    base: HostContext,
    dialect: D,
) -> Result<ControlHost<D>, GatewayError> {
    let ledger = group_settings(settings, control, seeds);
    let groups =
        GroupHost::new(&ledger, base.links.clone(), base.clock).map_err(GatewayError::Group)?;
    let group = groups
        .start(GroupId(0), super::control::ControlState::default())
        .map_err(GatewayError::Group)?;
    let node = groups.node().unwrap_or_default();
    let own = Member::new(
        node,
        settings.link.listen,
        settings.process.data_centre.clone(),
    );
    let host = ControlHost::new(
        dialect,
        base.clock,
        base.links,
        base.control,
        group,
        own,
        seeds.losses,
    )
    .with_quotas(settings.quota.settings())
    .with_saved_hosts(SavedHosts::open(&control.data).map_err(io("data directory"))?);
    let listener =
        std::net::TcpListener::bind(control.listen).map_err(io("control API address"))?;
    listener
        .set_nonblocking(true)
        .map_err(io("control API address"))?;
    let memory = HostMemory::new(base.clock, control.limits());
    host.start(listener, memory)
        .map_err(io("control API address"))?;
    let groups = Rc::new(groups);
    let serving = host.clone();
    let serve = move |asked| serve_control(serving.clone(), Rc::clone(&groups), asked);
    spawn_local(base.incoming.serve(serve));
    Ok(host)
}

/// Settings of the control group: the seed hosts bootstrap it at the first
/// start, all other hosts wait until the group adds them.
fn group_settings(
    settings: &Settings,
    control: &ControlSettings,
    seeds: &GatewaySettings,
) -> LedgerSettings {
    let mut addrs = seeds.links();
    addrs.sort_unstable();
    let own = addrs.iter().position(|addr| *addr == settings.link.listen);
    let mut ledger = LedgerSettings {
        data: Some(control.data.clone()),
        ..LedgerSettings::default()
    };
    if let (true, Some(own)) = (seeds.first_start, own) {
        let peers = addrs.iter().zip(1..).map(|(addr, node)| PeerSettings {
            node,
            addr: *addr,
            data_centre: Box::default(),
        });
        ledger.peers = peers.collect();
        ledger.node = own as u64 + 1;
        ledger.bootstrap = true;
    }
    ledger
}

/// Serves a request to a control host.
async fn serve_control<D: Dialect>(host: ControlHost<D>, groups: Rc<GroupHost>, mut asked: Asked) {
    match (asked.take_request(), asked) {
        (Ok(LinkRequest::Gateway(GatewayRequest::Control(req))), asked) => {
            let reply = host.serve(req).await;
            asked.reply(&reply).await;
        }
        (Ok(LinkRequest::Quorum(req)), Asked::Stream(mut incoming))
            if incoming.roles.contains(&LinkRole::Ledger) =>
        {
            let groups = GroupHost::clone(&groups);
            let served = thread::Builder::new()
                .name("peer-stream".into())
                .spawn(move || groups.serve(req, &mut incoming));
            if let Err(err) = served {
                log::error!("event=peer_thread_failed cause={err}");
            }
        }
        (unsupported, asked) => log_unsupported(asked.addr(), unsupported),
    }
}

fn start_store(
    settings: &Settings,
    store: &StoreSettings,
    seeds: &GatewaySettings,
    base: HostContext,
    memory: Option<FrameMemory>,
) -> Result<(), GatewayError> {
    let announcement = StoreAnnouncement {
        host: settings.process.name.clone(),
        // Never 0, which means that there is no identity.
        identity: rand::rng().next_u64() | 1,
        addr: settings.link.listen,
        data_centre: settings.process.data_centre.clone(),
        bootstrap: seeds.first_start,
        whole: Vec::new(),
    };
    let host = StoreHost::open(
        store.data.clone(),
        store.segment_bytes,
        announcement,
        base.clock,
        base.links,
        base.control,
    )
    .map_err(io("data directory"))?
    .with_memory(memory);
    host.start();
    spawn_local(
        base.incoming
            .serve(move |asked| serve_store(host.clone(), asked)),
    );
    Ok(())
}

/// Serves a request to a store host.
async fn serve_store(host: StoreHost, mut asked: Asked) {
    match asked.take_request() {
        Ok(LinkRequest::Gateway(GatewayRequest::Store(req))) => {
            let memory = host.reserve_reply(&req).await;
            let reply = host.serve(req).await;
            asked.reply_holding(&reply, memory).await;
        }
        unsupported => log_unsupported(asked.addr(), unsupported),
    }
}

/// Logs a request that the role does not serve.
fn log_unsupported(peer: SocketAddr, first: Result<LinkRequest, LinkError>) {
    match first {
        Ok(_) => log::warn!("event=link_request_refused peer={peer}"),
        Err(err) => log::warn!("event=link_request_unread peer={peer} cause={err:?}"),
    }
}

// ---------------------------------------------------------------------------
// Reload of settings

/// Reloads the seed addresses on SIGHUP or when the settings file has changed, and once
/// after the start, during which it may have changed.
async fn watch_settings(path: PathBuf, control: ControlClient, mut hup: Signal) {
    let mut last_modified = None;
    loop {
        let told = tokio::select! {
            _ = hup.recv() => true,
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let now = modified_at(&path);
        if !told && now == last_modified {
            continue;
        }
        last_modified = now;
        match Settings::load(&path) {
            Ok(settings) => {
                let seeds = settings.gateway.unwrap_or_default().links();
                log::info!("event=settings_reloaded told={told} seeds={seeds:?}");
                control.set_seeds(seeds);
            }
            Err(err) => log::error!("event=settings_kept cause=\"{err}\""),
        }
    }
}

/// Modification time of a file, if it can be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    path.metadata().and_then(|meta| meta.modified()).ok()
}
