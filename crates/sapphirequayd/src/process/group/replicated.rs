//! Actor that runs a replica and its state machine. It never blocks on disk or
//! network; other threads do the I/O.

use {
    super::{
        GroupError, GroupEvent, GroupMsg, MembershipChangeError,
        disk::DiskJob,
        peers::Peers,
        pending::{PendingRequests, Waiter},
        snapshots::SnapshotJob,
    },
    crate::process::Actor,
    quay_quorum::{
        Action, Entry, Input, Member, Payload, Refusal, Replica, SnapshotMeta, StateMachine,
        placement_advice,
    },
    quay_types::{Epoch, GroupId, LogIndex, NodeId, Time},
    std::{
        sync::mpsc::{Sender, SyncSender},
        thread,
        time::Duration,
    },
};

/// Exit code of the process after a replica fault.
const FAULT_EXIT_CODE: i32 = 3;

/// Snapshot thresholds and fault handling of a replica.
#[derive(Debug, Clone, Copy)]
pub struct GroupLimits {
    /// Bytes of applied entries after which a snapshot is saved.
    pub snapshot_bytes: usize,
    /// Number of applied entries after which a snapshot is saved.
    pub snapshot_entries: u64,
    /// Whether each log record is synced separately instead of in batches; a
    /// baseline for measurements.
    pub sync_each: bool,
    /// Whether the process exits when the replica has a fault.
    pub exit_on_fault: bool,
}

impl Default for GroupLimits {
    fn default() -> Self {
        Self {
            snapshot_bytes: 64 << 20,
            snapshot_entries: 200_000,
            sync_each: false,
            exit_on_fault: true,
        }
    }
}

/// Threads and peers to which a replica's actor delegates I/O.
pub struct ReplicaIo<S> {
    /// Jobs for the thread that writes the log.
    pub disk: Sender<DiskJob>,
    /// Jobs for the thread that saves and sends snapshots.
    pub snapshots: Sender<SnapshotJob<S>>,
    /// Senders to the other replicas.
    pub peers: Peers,
}

/// Amount applied since the last snapshot was started.
#[derive(Debug, Clone, Copy, Default)]
struct AppliedSinceSnapshot {
    entries: u64,
    bytes: usize,
    /// Whether a snapshot is being saved.
    saving: bool,
}

/// Actor that runs one replica of a group and its state machine.
pub struct ReplicatedGroup<M: StateMachine> {
    group: GroupId,
    machine: M,
    replica: Replica,
    /// `None` once the replica has stopped.
    io: Option<ReplicaIo<M::Snapshot>>,
    pending: PendingRequests<M>,
    limits: GroupLimits,
    applied: LogIndex,
    since_snapshot: AppliedSinceSnapshot,
    next_tag: u64,
}

impl<M: StateMachine> ReplicatedGroup<M> {
    /// Creates the actor. `machine` holds the state of the replica's latest
    /// snapshot.
    pub fn new(
        group: GroupId,
        machine: M,
        replica: Replica,
        io: ReplicaIo<M::Snapshot>,
        limits: GroupLimits,
    ) -> Self {
        let status = replica.status();
        for member in status.members.all() {
            io.peers.set_addr(member.node, member.addr);
        }
        for advice in placement_advice(&status.members) {
            log::warn!("event=placement group={group} advice=\"{advice}\"");
        }
        Self {
            group,
            machine,
            applied: replica.commit(),
            replica,
            io: Some(io),
            pending: PendingRequests::default(),
            limits,
            since_snapshot: AppliedSinceSnapshot::default(),
            next_tag: 0,
        }
    }

    /// Returns a new tag, which correlates a request with the replica's actions.
    fn next_unused_tag(&mut self) -> u64 {
        self.next_tag += 1;
        self.next_tag
    }

    /// Passes an input to the replica and carries out the resulting actions.
    fn step(&mut self, now: Time, input: Input) {
        let actions = self.replica.step(now, input);
        self.run_actions(actions);
    }

    // -----------------------------------------------------------------------
    // Requests

    /// Proposes a command.
    fn propose(
        &mut self,
        now: Time,
        command: &M::Command,
        reply: SyncSender<Result<M::Reply, GroupError>>,
    ) {
        let tag = self.next_unused_tag();
        let command = match postcard::to_stdvec(command) {
            Ok(command) => command.into(),
            Err(err) => {
                log::error!(
                    "event=command_not_encoded group={} cause={err:?}",
                    self.group
                );
                let _ = reply.send(Err(GroupError::Unavailable));
                return;
            }
        };
        let actions = self.replica.step(now, Input::Propose { tag, command });
        match proposal_outcome(&actions) {
            Ok((index, term)) => self
                .pending
                .add_proposal(index, term, Waiter::Command(reply)),
            Err(refusal) => drop(reply.send(Err(self.group_error(refusal)))),
        }
    }

    /// Starts a read; it is answered once a quorum confirms the leader.
    fn read(
        &mut self,
        now: Time,
        query: M::Query,
        reply: SyncSender<Result<M::Answer, GroupError>>,
    ) {
        let tag = self.next_unused_tag();
        self.pending.add_read(tag, query, reply);
        self.step(now, Input::Read { tag });
    }

    /// Proposes a membership change.
    fn change(
        &mut self,
        now: Time,
        change: quay_quorum::MembershipChange,
        reply: SyncSender<Result<(), MembershipChangeError>>,
    ) {
        let tag = self.next_unused_tag();
        let actions = self
            .replica
            .step(now, Input::ChangeMembership { tag, change });
        match proposal_outcome(&actions) {
            Ok((index, term)) => self
                .pending
                .add_proposal(index, term, Waiter::Change(reply)),
            Err(refusal) => {
                let text = self.refusal_text(refusal);
                let _ = reply.send(Err(MembershipChangeError::Refused(text)));
            }
        }
    }

    /// Error with which a refused command or read is answered.
    fn group_error(&self, refusal: Refusal) -> GroupError {
        match refusal {
            Refusal::NotLeader(leader) => GroupError::NotLeader(self.addr(leader)),
            _ => GroupError::Unavailable,
        }
    }

    /// Text with which a refused membership change is answered.
    fn refusal_text(&self, refusal: Refusal) -> Box<str> {
        match refusal {
            Refusal::NotLeader(leader) => match self.addr(leader) {
                Some(addr) => format!("the leader is at {addr}").into(),
                None => "this replica does not lead and knows no leader".into(),
            },
            Refusal::NoQuorum => "no quorum answers".into(),
            Refusal::NotReady => "the leader is new; ask again".into(),
            Refusal::ChangeInProgress => "another change is not committed yet".into(),
            Refusal::InvalidChange => "the change does not fit the members".into(),
            Refusal::LearnerBehind => "the learner lacks entries or is silent".into(),
        }
    }

    /// Address of a node, if known.
    fn addr(&self, node: Option<NodeId>) -> Option<std::net::SocketAddr> {
        self.io.as_ref()?.peers.addr(node?)
    }

    // -----------------------------------------------------------------------
    // Actions

    /// Carries out the actions that the replica returned.
    fn run_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist(persist) => self.submit_disk_job(DiskJob::Save(persist)),
                Action::Send { to, message } => {
                    if let Some(io) = &self.io {
                        io.peers.send(to, message);
                    }
                }
                Action::SendSnapshot { to, term } => {
                    if let Some(io) = &self.io {
                        let _ = io.snapshots.send(SnapshotJob::Send { to, term });
                    }
                }
                Action::Restore {
                    persist_id,
                    meta,
                    data,
                    keep,
                } => self.restore(persist_id, &meta, data, keep),
                Action::Apply(entries) => entries.into_iter().for_each(|entry| self.apply(entry)),
                Action::ReadReady { tag, .. } => self.pending.confirm_read(tag, &self.machine),
                Action::Refused { tag, refusal } => {
                    let err = self.group_error(refusal);
                    self.pending.refuse_read(tag, err);
                }
                Action::BecameLeader(term) => {
                    log::info!("event=leads group={} term={term}", self.group);
                }
                Action::SteppedDown => {
                    log::warn!("event=stepped_down group={}", self.group);
                    self.pending.fail_all(GroupError::NotLeader(None));
                }
                Action::Proposed { .. } => {}
            }
        }
    }

    /// Queues a job for the thread that writes the log.
    fn submit_disk_job(&self, job: DiskJob) {
        if let Some(io) = &self.io {
            let _ = io.disk.send(job);
        }
    }

    /// Applies a committed entry and replies to its proposer, if it waits here.
    fn apply(&mut self, entry: Entry) {
        let (index, term) = (entry.index(), entry.position.term);
        self.applied = index;
        self.since_snapshot.entries += 1;
        self.since_snapshot.bytes += entry.bytes();
        let waiter = self.pending.take_committed(index, term);
        match entry.payload {
            Payload::Command(command) => self.apply_command(index, term, &command, waiter),
            Payload::Members(members) => {
                if let Some(io) = &self.io {
                    for member in members.all() {
                        io.peers.set_addr(member.node, member.addr);
                    }
                }
                let (group, voters) = (self.group, nodes(&members.voters));
                let learners = nodes(&members.learners);
                log::info!(
                    "event=members_committed group={group} voters={voters} learners={learners}"
                );
                for advice in placement_advice(&members) {
                    log::warn!("event=placement group={group} advice=\"{advice}\"");
                }
                if let Some(Waiter::Change(reply)) = waiter {
                    let _ = reply.send(Ok(()));
                }
            }
            Payload::Empty => {}
        }
    }

    /// Decodes and applies a committed command.
    fn apply_command(
        &mut self,
        index: LogIndex,
        term: Epoch,
        command: &[u8],
        waiter: Option<Waiter<M>>,
    ) {
        let command = match postcard::from_bytes(command) {
            Ok(command) => command,
            // Skipping the entry would make this replica diverge from the others.
            Err(err) => return self.fail(&format!("entry {index} does not decode: {err}")),
        };
        let answer = self.machine.apply(index, term, command);
        if let Some(Waiter::Command(reply)) = waiter {
            let _ = reply.send(Ok(answer));
        }
    }

    /// Replaces the state by a snapshot from the leader.
    fn restore(
        &mut self,
        persist_id: quay_quorum::PersistId,
        meta: &SnapshotMeta,
        data: Box<[u8]>,
        keep: bool,
    ) {
        let state = match postcard::from_bytes(&data) {
            Ok(state) => state,
            Err(err) => return self.fail(&format!("the snapshot does not decode: {err}")),
        };
        let snapshot = match super::storage::encode_snapshot(meta, data) {
            Ok(snapshot) => Box::new(snapshot),
            Err(err) => return self.fail(&err.to_string()),
        };
        self.machine.restore(state);
        self.applied = meta.position.index;
        let (group, index) = (self.group, meta.position.index);
        log::info!("event=restored group={group} index={index}");
        self.submit_disk_job(DiskJob::Restore {
            persist_id,
            snapshot,
            keep,
        });
    }

    /// Starts saving a snapshot if enough was applied since the last one.
    fn save_snapshot(&mut self) {
        let due = self.since_snapshot.bytes >= self.limits.snapshot_bytes
            || self.since_snapshot.entries >= self.limits.snapshot_entries;
        if !due || self.since_snapshot.saving {
            return;
        }
        let (Some(meta), Some(io)) = (self.replica.snapshot_meta(self.applied), &self.io) else {
            return;
        };
        let state = self.machine.snapshot();
        let _ = io.snapshots.send(SnapshotJob::Save(meta, state));
        self.since_snapshot = AppliedSinceSnapshot {
            saving: true,
            ..AppliedSinceSnapshot::default()
        };
    }

    // -----------------------------------------------------------------------
    // Faults, shutdown and events

    /// Stops the replica after a fault and exits the process if so configured.
    /// No further request is acknowledged.
    fn fail(&mut self, cause: &str) {
        log::error!("event=replica_fault group={} cause=\"{cause}\"", self.group);
        self.stop();
        if self.limits.exit_on_fault {
            log::logger().flush();
            std::process::exit(FAULT_EXIT_CODE);
        }
    }

    /// Stops the replica's threads and fails all pending requests.
    fn stop(&mut self) {
        if let Some(io) = self.io.take() {
            io.peers.stop();
        }
        self.pending.fail_all(GroupError::Unavailable);
    }

    /// Handles an event from the replica's threads or peers.
    fn handle_event(&mut self, now: Time, event: GroupEvent) {
        match event {
            GroupEvent::Peer {
                from,
                addr,
                message,
            } => {
                if let Some(io) = &self.io {
                    io.peers.set_addr(from, addr);
                }
                let message = *message;
                self.step(now, Input::Message { from, message });
            }
            GroupEvent::Persisted(persist_id) => self.step(now, Input::Persisted(persist_id)),
            GroupEvent::SnapshotSaved(index) => {
                self.since_snapshot.saving = false;
                self.step(now, Input::SnapshotSaved(index));
            }
            GroupEvent::SnapshotQueued(to) => self.step(now, Input::SnapshotQueued(to)),
            GroupEvent::SnapshotFailed => self.since_snapshot.saving = false,
            GroupEvent::DiskFailed(cause) => self.fail(&cause),
        }
    }
}

/// Identities of members, separated by commas.
fn nodes(members: &[Member]) -> String {
    let nodes = members.iter().map(|member| member.node.to_string());
    nodes.collect::<Vec<_>>().join(",")
}

/// Position of a proposal in the log, or why it was refused.
fn proposal_outcome(actions: &[Action]) -> Result<(LogIndex, Epoch), Refusal> {
    let outcome = actions.iter().find_map(|action| match action {
        Action::Proposed { index, term, .. } => Some(Ok((*index, *term))),
        Action::Refused { refusal, .. } => Some(Err(*refusal)),
        _ => None,
    });
    outcome.unwrap_or(Err(Refusal::NotReady))
}

impl<M: StateMachine> Actor for ReplicatedGroup<M> {
    type Msg = GroupMsg<M>;

    const TICK: Duration = Duration::from_millis(20);

    fn handle(&mut self, now: Time, msg: GroupMsg<M>) {
        if self.io.is_none() {
            return refuse_stopped(msg);
        }
        match msg {
            GroupMsg::Propose { command, reply } => self.propose(now, &command, reply),
            GroupMsg::Read { query, reply } => self.read(now, query, reply),
            GroupMsg::Change { change, reply } => self.change(now, change, reply),
            GroupMsg::Status(reply) => drop(reply.send(Some(self.replica.status()))),
            GroupMsg::Stop => self.stop(),
            GroupMsg::Event(event) => self.handle_event(now, event),
        }
    }

    fn tick(&mut self, now: Time) {
        if self.io.is_some() {
            self.step(now, Input::Tick);
        }
    }

    fn after_batch(&mut self, now: Time) {
        if self.io.is_some() {
            let actions = self.replica.flush(now);
            self.run_actions(actions);
            self.save_snapshot();
        }
    }
}

/// Refuses a message to a replica that has stopped.
fn refuse_stopped<M: StateMachine>(msg: GroupMsg<M>) {
    match msg {
        GroupMsg::Propose { reply, .. } => drop(reply.send(Err(GroupError::Unavailable))),
        GroupMsg::Read { reply, .. } => drop(reply.send(Err(GroupError::Unavailable))),
        GroupMsg::Change { reply, .. } => {
            let _ = reply.send(Err(MembershipChangeError::Refused(
                "the replica has stopped".into(),
            )));
        }
        GroupMsg::Status(reply) => drop(reply.send(None)),
        GroupMsg::Stop | GroupMsg::Event(_) => {}
    }
}

impl<M: StateMachine> Drop for ReplicatedGroup<M> {
    fn drop(&mut self) {
        // A violated invariant panics this thread. The process must not keep
        // running, since the replica would then only appear to be slow.
        if thread::panicking() && self.limits.exit_on_fault {
            log::logger().flush();
            std::process::exit(FAULT_EXIT_CODE);
        }
    }
}
