//! Starts the roles that the settings name.

use {
    crate::{
        connection::{Edge, EngineClient, EntryContext, ServiceClient},
        process::{
            Clock, Gate, GroupHost, GroupStartError, LedgerClient, LedgerService, Mailbox,
            PermitMsg, QuorumRequest, Router, announcer,
            directory::{Directory, DirectoryMsg},
            spawn,
        },
        request::{Attempts, CallContext, answer_inquiry, serve_attempt},
        settings::{EntrySettings, Settings, SidecarSettings},
        version::{Current, Rules},
        wire::LinkRequest,
    },
    quay_ledger::PermitBook,
    quay_ledger::{Ledger, LedgerLimits},
    quay_link::{Identity, Incoming, LinkError, LinkRole, LinkSettings, Links},
    quay_types::{
        Announcement, DirectoryRequest, GroupId, Incarnation, Load, ModelId, ServiceId,
        SidecarRequest, UpstreamId, UpstreamKind, UpstreamState,
    },
    std::{
        fmt, io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, OnceLock},
        thread,
    },
};

/// Group that the first program group is; the one before is the control group.
const FIRST_PROGRAM_GROUP: GroupId = GroupId(1);

/// Why a process could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address is taken or a thread can't be had.
    Io(Box<str>, io::Error),
    /// Links can't be set up.
    Link(LinkError),
    /// The replicas of the ledger can't be started.
    Group(GroupStartError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, err) => write!(f, "{what}: {err}"),
            Self::Link(err) => write!(f, "{err}"),
            Self::Group(err) => write!(f, "{err}"),
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

/// Names what failed with an [`io::Error`].
fn starting(what: &str) -> impl FnOnce(io::Error) -> StartError {
    let what = what.into();
    move |err| StartError::Io(what, err)
}

/// A running process.
#[derive(Debug)]
pub struct Daemon {
    edge: Option<Edge>,
    links: Links,
}

/// The roles that streams from peers are for.
#[derive(Default)]
struct Roles {
    sidecar: Option<Attempts>,
    directory: Option<Mailbox<DirectoryMsg>>,
    ledger: Option<LedgerService>,
    groups: Option<GroupHost>,
}

impl Daemon {
    /// Starts every role of `settings` under `identity`.
    ///
    /// # Errors
    ///
    /// Says which address or key can't be used.
    pub fn start(settings: &Settings, identity: Identity) -> Result<Self, StartError> {
        let clock = Clock::start();
        let roles = Arc::new(OnceLock::<Roles>::new());
        let link_settings = LinkSettings {
            listen: Some(settings.link.listen),
            ..LinkSettings::new(identity)
        };
        let accepting = Arc::clone(&roles);
        let links = Links::start(link_settings, move |incoming| {
            // Peers that come before the roles are up find the stream closed.
            if accepting.get().is_some() {
                dispatch(Arc::clone(&accepting), incoming);
            }
        })?;
        let mut started = Roles::default();
        if let Some(ledger) = &settings.ledger {
            started.directory = Some(
                spawn("directory", clock, Directory::default()).map_err(starting("directory"))?,
            );
            let groups = GroupHost::new(ledger, links.clone(), clock)?;
            started.ledger = Some(start_ledger(&groups, ledger.groups)?);
            started.groups = Some(groups);
        }
        if let Some(sidecar) = &settings.sidecar {
            started.sidecar = Some(start_sidecar(settings, sidecar, &links, clock)?);
        }
        let _ = roles.set(started);
        let edge = match &settings.entry {
            Some(entry) => Some(start_entry(settings, entry, &links, clock)?),
            None => None,
        };
        Ok(Self { edge, links })
    }

    /// Address that callers reach, if the entry role runs.
    #[must_use]
    pub fn callers_addr(&self) -> Option<SocketAddr> {
        self.edge.as_ref().map(Edge::local_addr)
    }

    /// Address that links are accepted on.
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
) -> Result<Edge, StartError> {
    let router = spawn("router", clock, Router::default()).map_err(starting("router"))?;
    let (reader_links, reader_router, ledgers) =
        (links.clone(), router.clone(), settings.link.ledgers.clone());
    thread::Builder::new()
        .name("directory-reader".into())
        .spawn(move || announcer::read_directory(&reader_links, &ledgers, &reader_router))
        .map_err(starting("directory reader"))?;
    let listener = TcpListener::bind(entry.listen)
        .map_err(starting(&format!("[entry] listen {}", entry.listen)))?;
    let calls = CallContext {
        links: links.clone(),
        router,
        ledger: LedgerClient::new(links.clone(), settings.link.ledgers.as_slice()),
    };
    let cx = EntryContext {
        calls,
        rules: Current::new(Rules::new(&settings.accounts)),
    };
    Edge::start(listener, cx).map_err(starting("edge"))
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
) -> Result<Attempts, StartError> {
    let gate = spawn("gate", clock, Gate::new(sidecar.concurrency)).map_err(starting("gate"))?;
    let incarnation = Incarnation(Clock::wall_ms());
    let book = PermitBook::new(UpstreamId::of(&sidecar.upstream), incarnation);
    let permits: Mailbox<PermitMsg> = spawn("permits", clock, book).map_err(starting("permits"))?;
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
    let (announcer_links, announcer_gate, ledgers) =
        (links.clone(), gate.clone(), settings.link.ledgers.clone());
    thread::Builder::new()
        .name("announcer".into())
        .spawn(move || {
            announcer::announce(&announcer_links, &ledgers, &announcer_gate, announcement);
        })
        .map_err(starting("announcer"))?;
    Ok(Attempts {
        incarnation,
        gate,
        permits,
        engine: EngineClient::new(sidecar.addr),
        service: ServiceClient::new(sidecar.addr),
    })
}

/// What the settings say that the upstream serves.
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

/// Hands a stream to the role that it is for.
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

/// Serves a stream if the peer's role may ask for it.
fn serve_stream(roles: &Roles, req: LinkRequest, incoming: Incoming) {
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
                serve_attempt(attempts, &incoming.stream, &call);
            }
        }
        LinkRequest::Directory(req) => {
            let answer = roles
                .directory
                .as_ref()
                .and_then(|directory| directory.ask(|reply| DirectoryMsg { req, reply }));
            if let Some(answer) = answer {
                let _ = incoming.stream.send(&answer);
            }
        }
        LinkRequest::Sidecar(SidecarRequest::Inquire(id, incarnation)) => {
            if let Some(attempts) = &roles.sidecar {
                answer_inquiry(attempts, &incoming.stream, id, incarnation);
            }
        }
        LinkRequest::Ledger(req) => {
            if let Some(ledger) = &roles.ledger {
                let _ = incoming.stream.send(&ledger.serve(req));
            }
        }
        LinkRequest::Quorum(req) => {
            if let Some(groups) = &roles.groups {
                groups.serve(req, incoming);
            }
        }
        LinkRequest::Sidecar(SidecarRequest::ProgramEnded(_)) => {}
    }
}

/// Whether a peer with `roles` may send `req`.
fn allowed(req: &LinkRequest, roles: &[LinkRole]) -> bool {
    let needed: &[LinkRole] = match req {
        LinkRequest::Sidecar(_) => &[LinkRole::Entry],
        LinkRequest::Directory(DirectoryRequest::Announce(_)) => &[LinkRole::Sidecar],
        LinkRequest::Directory(DirectoryRequest::Changes(_)) => {
            &[LinkRole::Entry, LinkRole::Operator]
        }
        LinkRequest::Ledger(_) => &[LinkRole::Entry, LinkRole::Sidecar],
        LinkRequest::Quorum(QuorumRequest::Peer { .. }) => &[LinkRole::Ledger],
        LinkRequest::Quorum(_) => &[LinkRole::Operator],
    };
    needed.iter().any(|role| roles.contains(role))
}
