//! Starts the replicas of one host and routes link streams to them.

use {
    super::{
        GroupEvent, GroupLimits, GroupMsg, GroupStartError, InMemoryGroup, MembershipChangeError,
        QuorumReply, QuorumRequest,
        disk::{self, DiskJob},
        peers::{self, Peers},
        replicated::{ReplicaIo, ReplicatedGroup},
        snapshots::{SnapshotJob, SnapshotWorker},
        storage::{self, InitialState},
    },
    crate::{
        process::{Clock, Mailbox, spawn},
        settings::{LedgerSettings, Problem},
    },
    indexmap::IndexMap,
    quay_link::{Incoming, Links},
    quay_log::{DiskFolder, Log, LogError},
    quay_quorum::{
        Member, Membership, MembershipChange, Message, Replica, Settings as QuorumSettings,
        StateMachine, Status,
    },
    quay_types::{GroupId, NodeId},
    rand::Rng as _,
    std::{
        fmt, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc,
        },
        thread,
    },
};

/// Passes messages from links to one replica.
type InboundHandler = Arc<dyn Fn(Inbound) + Send + Sync>;

/// Message from a link to one replica.
enum Inbound {
    Peer(GroupEvent),
    Status(mpsc::SyncSender<Option<Status>>),
    Change(
        MembershipChange,
        mpsc::SyncSender<Result<(), MembershipChangeError>>,
    ),
}

/// Starts and serves the replicas of one host.
#[derive(Clone)]
pub struct GroupHost {
    clock: Clock,
    links: Links,
    settings: LedgerSettings,
    limits: GroupLimits,
    quorum: QuorumSettings,
    /// Identity of the host; `None` without a data folder.
    node: Option<NodeId>,
    /// Handlers of the started replicas, by group.
    handlers: Arc<Mutex<IndexMap<GroupId, InboundHandler>>>,
    /// Bytes of the frames sent to other replicas.
    sent: Arc<AtomicU64>,
}

impl fmt::Debug for GroupHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GroupHost")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl GroupHost {
    /// Creates the host that `settings` describe. Without a data folder, groups
    /// are kept in memory only.
    ///
    /// # Errors
    ///
    /// If the settings are invalid or the data folder can't be used.
    pub fn new(
        settings: &LedgerSettings,
        links: Links,
        clock: Clock,
    ) -> Result<Self, GroupStartError> {
        settings.check().map_err(GroupStartError::Settings)?;
        let node = match &settings.data {
            Some(data) => Some(load_or_create_identity(settings, data)?),
            None => None,
        };
        Ok(Self {
            clock,
            links,
            settings: settings.clone(),
            limits: GroupLimits::default(),
            quorum: QuorumSettings::default(),
            node,
            handlers: Arc::default(),
            sent: Arc::default(),
        })
    }

    /// Replaces the default limits, for tests and experiments.
    #[must_use]
    pub fn with_limits(mut self, limits: GroupLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Identity of the host; `None` without a data folder.
    #[must_use]
    pub const fn node(&self) -> Option<NodeId> {
        self.node
    }

    /// Bytes of the frames that this host has sent to other replicas.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Locks the handlers of the started replicas.
    fn handlers(&self) -> MutexGuard<'_, IndexMap<GroupId, InboundHandler>> {
        self.handlers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts this host's replica of a group. `machine` holds the initial state,
    /// before any command.
    ///
    /// # Errors
    ///
    /// If the log can't be used; the error names the file and the offset.
    pub fn start<M: StateMachine>(
        &self,
        group: GroupId,
        machine: M,
    ) -> Result<Mailbox<GroupMsg<M>>, GroupStartError> {
        match (&self.settings.data, self.node) {
            (Some(data), Some(node)) => {
                self.start_replica(group, machine, node, &data.join(group.to_string()))
            }
            _ => spawn(&group.to_string(), self.clock, InMemoryGroup::new(machine))
                .map_err(|err| GroupStartError::Io(PathBuf::new(), err)),
        }
    }

    /// Starts a replica with a data folder, and its threads.
    fn start_replica<M: StateMachine>(
        &self,
        group: GroupId,
        mut machine: M,
        node: NodeId,
        path: &Path,
    ) -> Result<Mailbox<GroupMsg<M>>, GroupStartError> {
        let io_error = |err| GroupStartError::Io(path.into(), err);
        let log_error = |err| GroupStartError::Log(path.into(), err);
        let folder = DiskFolder::create(path).map_err(io_error)?;
        let opened = storage::open(&folder, self.initial_state(&machine)?).map_err(log_error)?;
        if let Some(state) = &opened.state {
            let state = postcard::from_bytes(state);
            machine.restore(state.map_err(|err| log_error(LogError::Encode(err)))?);
        }
        self.warn_if_addr_differs(group, node, &opened.restart.meta.members);
        let (seed, now) = (rand::rng().next_u64(), self.clock.now());
        let replica = Replica::restart(node, opened.restart, self.quorum, seed, now);
        let peers = Peers::new(
            self.links.clone(),
            group,
            node,
            self.advertised_addr(node),
            Arc::clone(&self.sent),
        );
        let (disk, disk_jobs) = mpsc::channel();
        let (snapshots, snapshot_jobs) = mpsc::channel();
        let io = ReplicaIo {
            disk: disk.clone(),
            snapshots,
            peers: peers.clone(),
        };
        let actor = ReplicatedGroup::new(group, machine, replica, io, self.limits);
        let mailbox = spawn(&group.to_string(), self.clock, actor).map_err(io_error)?;
        spawn_log_writer(
            group,
            opened.log,
            disk_jobs,
            self.limits.sync_each,
            mailbox.clone(),
        )
        .map_err(io_error)?;
        let worker = SnapshotWorker {
            folder,
            peers,
            disk,
        };
        spawn_snapshot_worker(group, worker, snapshot_jobs, mailbox.clone()).map_err(io_error)?;
        self.handlers()
            .insert(group, inbound_handler(mailbox.clone()));
        Ok(mailbox)
    }

    /// Warns if the membership lists this host under another address than the
    /// one it listens on.
    fn warn_if_addr_differs(&self, group: GroupId, node: NodeId, members: &Membership) {
        let own = self.links.local_addr();
        if let Some(member) = members.get(node)
            && Some(member.addr) != own
        {
            let addr = member.addr;
            log::warn!("event=address_differs group={group} node={node} members_say={addr}");
        }
    }

    /// Members and state of a new group; `None` unless this host bootstraps its
    /// groups.
    fn initial_state<M: StateMachine>(
        &self,
        machine: &M,
    ) -> Result<Option<InitialState>, GroupStartError> {
        if !self.settings.bootstrap {
            return Ok(None);
        }
        let state = postcard::to_stdvec(&machine.snapshot())
            .map_err(|err| GroupStartError::Log(PathBuf::new(), LogError::Encode(err)))?;
        let members = self.settings.peers.iter();
        let members =
            members.map(|peer| Member::new(NodeId(peer.node), peer.addr, peer.data_centre.clone()));
        Ok(Some(InitialState {
            members: Membership::from_voters(members),
            state: state.into(),
        }))
    }

    /// Address that peers use to reach this host.
    fn advertised_addr(&self, node: NodeId) -> SocketAddr {
        let named = self.settings.peers.iter().find(|peer| peer.node == node.0);
        let bound = self.links.local_addr();
        named
            .map(|peer| peer.addr)
            .or(bound)
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    // -----------------------------------------------------------------------
    // Streams from peers and operators

    /// Serves a stream that concerns a group until the stream ends.
    pub fn serve(&self, req: QuorumRequest, incoming: &mut Incoming) {
        let group = match &req {
            QuorumRequest::Peer { group, .. }
            | QuorumRequest::Status(group)
            | QuorumRequest::Change(group, _) => *group,
        };
        let Some(handler) = self.handlers().get(&group).cloned() else {
            let text = format!("this host has no group {group}").into();
            let _ = incoming.stream.send(&QuorumReply::Refused(text));
            return;
        };
        match req {
            QuorumRequest::Peer { from, to, addr, .. } => {
                if Some(to) == self.node {
                    receive(&handler, from, addr, incoming);
                } else {
                    log::warn!("event=peer_for_another group={group} from={from} to={to}");
                }
            }
            QuorumRequest::Status(_) => {
                let (tx, rx) = mpsc::sync_channel(1);
                handler(Inbound::Status(tx));
                let _ = incoming
                    .stream
                    .send(&status_reply(rx.recv().ok().flatten()));
            }
            QuorumRequest::Change(_, change) => {
                let (tx, rx) = mpsc::sync_channel(1);
                handler(Inbound::Change(change, tx));
                let reply = match rx.recv() {
                    Ok(Ok(())) => QuorumReply::Changed,
                    Ok(Err(MembershipChangeError::Refused(text))) => QuorumReply::Refused(text),
                    Ok(Err(MembershipChangeError::Unknown)) | Err(_) => QuorumReply::Unknown,
                };
                let _ = incoming.stream.send(&reply);
            }
        }
    }
}

/// Starts the thread that writes a replica's log.
fn spawn_log_writer<M: StateMachine>(
    group: GroupId,
    mut log: Log<DiskFolder>,
    jobs: mpsc::Receiver<DiskJob>,
    sync_each: bool,
    mailbox: Mailbox<GroupMsg<M>>,
) -> io::Result<()> {
    let run = move || {
        let notify = |event| mailbox.send(GroupMsg::Event(event));
        let synced = |persist_id| notify(GroupEvent::Persisted(persist_id));
        if let Err(err) = disk::run(&mut log, &jobs, sync_each, synced) {
            notify(GroupEvent::DiskFailed(err.to_string().into()));
        }
    };
    let name = format!("log-{group}");
    thread::Builder::new().name(name).spawn(run).map(drop)
}

/// Starts the thread that saves a replica's snapshots.
fn spawn_snapshot_worker<M: StateMachine>(
    group: GroupId,
    worker: SnapshotWorker,
    jobs: mpsc::Receiver<SnapshotJob<M::Snapshot>>,
    mailbox: Mailbox<GroupMsg<M>>,
) -> io::Result<()> {
    let run = move || {
        worker.run(&jobs, |event| mailbox.send(GroupMsg::Event(event)));
    };
    let name = format!("snapshot-{group}");
    thread::Builder::new().name(name).spawn(run).map(drop)
}

/// Passes the messages of a peer to a replica until the stream ends.
fn receive(handler: &InboundHandler, from: NodeId, addr: SocketAddr, incoming: &mut Incoming) {
    incoming.stream.keep_open();
    let take = |message: Message| {
        handler(Inbound::Peer(GroupEvent::Peer {
            from,
            addr,
            message: Box::new(message),
        }));
    };
    if let Err(err) = peers::receive(&mut incoming.stream, take) {
        log::debug!("event=peer_stream_ended from={from} cause={err:?}");
    }
}

/// Reply to a status request; `None` means that the replica has stopped.
fn status_reply(status: Option<Status>) -> QuorumReply {
    match status {
        Some(status) => QuorumReply::Status {
            node: status.node,
            leader: status.leader,
            term: status.term,
            commit: status.commit,
            last: status.last.index,
            members: status.members,
        },
        None => QuorumReply::Refused("the replica has stopped".into()),
    }
}

/// Creates the handler that forwards messages from links to a replica.
fn inbound_handler<M: StateMachine>(mailbox: Mailbox<GroupMsg<M>>) -> InboundHandler {
    let mailbox = Mutex::new(mailbox);
    Arc::new(move |inbound| {
        let msg = match inbound {
            Inbound::Peer(event) => GroupMsg::Event(event),
            Inbound::Status(reply) => GroupMsg::Status(reply),
            Inbound::Change(change, reply) => GroupMsg::Change { change, reply },
        };
        mailbox
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .send(msg);
    })
}

/// Reads the identity of a data folder, or creates one for a new folder.
///
/// Only a host that bootstraps its groups takes its identity from the settings.
/// Any other new folder gets a random identity, so that a host that lost its
/// disk can't rejoin under its old identity without its log and vote.
fn load_or_create_identity(
    settings: &LedgerSettings,
    data: &PathBuf,
) -> Result<NodeId, GroupStartError> {
    let folder = DiskFolder::create(data).map_err(|err| GroupStartError::Io(data.clone(), err))?;
    let log_error = |err| GroupStartError::Log(data.clone(), err);
    if let Some(node) = storage::read_identity(&folder).map_err(log_error)? {
        if settings.node != 0 && settings.node != node.0 {
            let message = format!(
                "{} is configured, but the data folder belongs to node {node}",
                settings.node
            );
            return Err(GroupStartError::Settings(Problem::new(
                "ledger", "node", message,
            )));
        }
        if settings.bootstrap {
            log::warn!(
                "event=bootstrap_still_set node={node} advice=\"remove bootstrap from the settings\""
            );
        }
        return Ok(node);
    }
    let node = if settings.bootstrap {
        NodeId(settings.node)
    } else {
        storage::random_node_id(rand::rng().next_u64())
    };
    storage::write_identity(&folder, node).map_err(log_error)?;
    log::info!(
        "event=identity node={node} bootstrap={}",
        settings.bootstrap
    );
    Ok(node)
}
