//! Starts the replicas of one host and hands them what peers send.

use {
    super::{
        GroupEvent, GroupLimits, GroupMsg, GroupStartError, InMemoryGroup, MembershipChangeError,
        QuorumReply, QuorumRequest,
        disk::{self, DiskJob},
        peers::{self, Peers},
        replicated::{Outside, ReplicatedGroup},
        snapshots::{SnapshotJob, Snapshots},
        storage::{self, First},
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

/// Hands a replica what comes over links.
type Inlet = Arc<dyn Fn(Inbound) + Send + Sync>;

/// What comes over links for one replica.
enum Inbound {
    Peer(GroupEvent),
    Status(mpsc::SyncSender<Option<Status>>),
    Change(
        MembershipChange,
        mpsc::SyncSender<Result<(), MembershipChangeError>>,
    ),
}

/// Replicas of one host.
#[derive(Clone)]
pub struct GroupHost {
    clock: Clock,
    links: Links,
    settings: LedgerSettings,
    limits: GroupLimits,
    quorum: QuorumSettings,
    /// Identity; `None` without a data folder.
    node: Option<NodeId>,
    inlets: Arc<Mutex<IndexMap<GroupId, Inlet>>>,
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
    /// The host that `settings` describe. Without a data folder its groups live
    /// in memory.
    ///
    /// # Errors
    ///
    /// If the settings or the data folder can't be used.
    pub fn new(
        settings: &LedgerSettings,
        links: Links,
        clock: Clock,
    ) -> Result<Self, GroupStartError> {
        settings.check().map_err(GroupStartError::Settings)?;
        let node = match &settings.data {
            Some(data) => Some(identify(settings, data)?),
            None => None,
        };
        Ok(Self {
            clock,
            links,
            settings: settings.clone(),
            limits: GroupLimits::default(),
            quorum: QuorumSettings::default(),
            node,
            inlets: Arc::default(),
            sent: Arc::default(),
        })
    }

    /// The same host with other limits, for tests and experiments.
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

    /// Bytes of frames that this host has sent to other replicas.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// What comes over links, by group.
    fn inlets(&self) -> MutexGuard<'_, IndexMap<GroupId, Inlet>> {
        self.inlets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts this host's replica of a group. `machine` is the state of a group
    /// in which nothing has happened.
    ///
    /// # Errors
    ///
    /// If the log can't be used; the error names file and offset.
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

    /// Starts a replica and its threads.
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
        let opened = storage::open(&folder, self.first(&machine)?).map_err(log_error)?;
        if let Some(state) = &opened.state {
            let state = postcard::from_bytes(state);
            machine.restore(state.map_err(|err| log_error(LogError::Encode(err)))?);
        }
        self.check_addr(group, node, &opened.restart.meta.members);
        let (seed, now) = (rand::rng().next_u64(), self.clock.now());
        let replica = Replica::restart(node, opened.restart, self.quorum, seed, now);
        let peers = Peers::new(
            self.links.clone(),
            group,
            node,
            self.own_addr(node),
            Arc::clone(&self.sent),
        );
        let (disk, disk_jobs) = mpsc::channel();
        let (snapshots, snapshot_jobs) = mpsc::channel();
        let outside = Outside {
            disk: disk.clone(),
            snapshots,
            peers: peers.clone(),
        };
        let actor = ReplicatedGroup::new(group, machine, replica, outside, self.limits);
        let mailbox = spawn(&group.to_string(), self.clock, actor).map_err(io_error)?;
        spawn_log(
            group,
            opened.log,
            disk_jobs,
            self.limits.sync_each,
            mailbox.clone(),
        )
        .map_err(io_error)?;
        let saver = Snapshots {
            folder,
            peers,
            disk,
        };
        spawn_snapshots(group, saver, snapshot_jobs, mailbox.clone()).map_err(io_error)?;
        self.inlets().insert(group, inlet(mailbox.clone()));
        Ok(mailbox)
    }

    /// Warns if the others look for this host at another address.
    fn check_addr(&self, group: GroupId, node: NodeId, members: &Membership) {
        let own = self.links.local_addr();
        if let Some(member) = members.get(node)
            && Some(member.addr) != own
        {
            let addr = member.addr;
            log::warn!("event=address_differs group={group} node={node} members_say={addr}");
        }
    }

    /// Members and state of a new group, if this host is to start one.
    fn first<M: StateMachine>(&self, machine: &M) -> Result<Option<First>, GroupStartError> {
        if !self.settings.bootstrap {
            return Ok(None);
        }
        let state = postcard::to_stdvec(&machine.snapshot())
            .map_err(|err| GroupStartError::Log(PathBuf::new(), LogError::Encode(err)))?;
        let members = self.settings.peers.iter();
        let members =
            members.map(|peer| Member::new(NodeId(peer.node), peer.addr, peer.data_centre.clone()));
        Ok(Some(First {
            members: Membership::from_voters(members),
            state: state.into(),
        }))
    }

    /// Address that peers reach this host at.
    fn own_addr(&self, node: NodeId) -> SocketAddr {
        let named = self.settings.peers.iter().find(|peer| peer.node == node.0);
        let bound = self.links.local_addr();
        named
            .map(|peer| peer.addr)
            .or(bound)
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    // -----------------------------------------------------------------------
    // Streams from peers and operators

    /// Serves a stream about a group until it ends.
    pub fn serve(&self, req: QuorumRequest, incoming: &mut Incoming) {
        let group = match &req {
            QuorumRequest::Peer { group, .. }
            | QuorumRequest::Status(group)
            | QuorumRequest::Change(group, _) => *group,
        };
        let Some(inlet) = self.inlets().get(&group).cloned() else {
            let text = format!("this host has no group {group}").into();
            let _ = incoming.stream.send(&QuorumReply::Refused(text));
            return;
        };
        match req {
            QuorumRequest::Peer { from, to, addr, .. } => {
                if Some(to) == self.node {
                    receive(&inlet, from, addr, incoming);
                } else {
                    log::warn!("event=peer_for_another group={group} from={from} to={to}");
                }
            }
            QuorumRequest::Status(_) => {
                let (tx, rx) = mpsc::sync_channel(1);
                inlet(Inbound::Status(tx));
                let _ = incoming
                    .stream
                    .send(&status_reply(rx.recv().ok().flatten()));
            }
            QuorumRequest::Change(_, change) => {
                let (tx, rx) = mpsc::sync_channel(1);
                inlet(Inbound::Change(change, tx));
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
fn spawn_log<M: StateMachine>(
    group: GroupId,
    mut log: Log<DiskFolder>,
    jobs: mpsc::Receiver<DiskJob>,
    sync_each: bool,
    mailbox: Mailbox<GroupMsg<M>>,
) -> io::Result<()> {
    let run = move || {
        let tell = |event| mailbox.send(GroupMsg::Event(event));
        let synced = |ticket| tell(GroupEvent::Persisted(ticket));
        if let Err(err) = disk::run(&mut log, &jobs, sync_each, synced) {
            tell(GroupEvent::DiskFailed(err.to_string().into()));
        }
    };
    let name = format!("log-{group}");
    thread::Builder::new().name(name).spawn(run).map(drop)
}

/// Starts the thread that saves a replica's snapshots.
fn spawn_snapshots<M: StateMachine>(
    group: GroupId,
    saver: Snapshots,
    jobs: mpsc::Receiver<SnapshotJob<M::Snapshot>>,
    mailbox: Mailbox<GroupMsg<M>>,
) -> io::Result<()> {
    let run = move || {
        saver.run(&jobs, |saved| {
            let event = saved.map_or(GroupEvent::SnapshotFailed, GroupEvent::SnapshotSaved);
            mailbox.send(GroupMsg::Event(event));
        });
    };
    let name = format!("snapshot-{group}");
    thread::Builder::new().name(name).spawn(run).map(drop)
}

/// Hands a replica the messages of a peer until the stream ends.
fn receive(inlet: &Inlet, from: NodeId, addr: SocketAddr, incoming: &mut Incoming) {
    let take = |message: Message| {
        inlet(Inbound::Peer(GroupEvent::Peer {
            from,
            addr,
            message: Box::new(message),
        }));
    };
    if let Err(err) = peers::receive(&mut incoming.stream, take) {
        log::debug!("event=peer_stream_ended from={from} cause={err:?}");
    }
}

/// The answer to a question how a replica stands.
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

/// Hands a replica what comes over links.
fn inlet<M: StateMachine>(mailbox: Mailbox<GroupMsg<M>>) -> Inlet {
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

/// Finds the identity of a data folder, or gives a new folder one.
///
/// Only a host that starts a group takes its identity from the settings. Any
/// other new folder gets a drawn one, so that a host which lost its disk can't
/// come back as its old self.
fn identify(settings: &LedgerSettings, data: &PathBuf) -> Result<NodeId, GroupStartError> {
    let folder = DiskFolder::create(data).map_err(|err| GroupStartError::Io(data.clone(), err))?;
    let log_error = |err| GroupStartError::Log(data.clone(), err);
    if let Some(node) = storage::read_identity(&folder).map_err(log_error)? {
        if settings.node != 0 && settings.node != node.0 {
            let message = format!(
                "{} is named, but the data folder is that of {node}",
                settings.node
            );
            return Err(GroupStartError::Settings(Problem::new(
                "ledger", "node", message,
            )));
        }
        if settings.bootstrap {
            log::warn!(
                "event=bootstrap_still_set node={node} advice=\"take it out of the settings\""
            );
        }
        return Ok(node);
    }
    let node = if settings.bootstrap {
        NodeId(settings.node)
    } else {
        storage::draw_node(rand::rng().next_u64())
    };
    storage::write_identity(&folder, node).map_err(log_error)?;
    log::info!(
        "event=identity node={node} bootstrap={}",
        settings.bootstrap
    );
    Ok(node)
}
