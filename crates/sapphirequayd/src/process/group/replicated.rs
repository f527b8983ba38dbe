//! The actor around a replica: decides, and never waits for disk or network.

use {
    super::{
        GroupError, GroupEvent, GroupMsg, MembershipChangeError,
        disk::DiskJob,
        peers::Peers,
        snapshots::SnapshotJob,
        waiting::{Waiter, Waiting},
    },
    crate::process::Actor,
    quay_quorum::{
        Action, Entry, Input, Payload, Refusal, Replica, SnapshotMeta, StateMachine,
        placement_advice,
    },
    quay_types::{Epoch, GroupId, LogIndex, NodeId, Time},
    std::{
        sync::mpsc::{Sender, SyncSender},
        thread,
        time::Duration,
    },
};

/// Exit code of a process whose replica can't go on.
const FAULT_EXIT_CODE: i32 = 3;

/// When a replica saves its state.
#[derive(Debug, Clone, Copy)]
pub struct GroupLimits {
    /// Bytes of commands after which a snapshot is saved.
    pub snapshot_bytes: usize,
    /// Commands after which a snapshot is saved.
    pub snapshot_entries: u64,
    /// Whether each entry gets a sync of its own: the baseline of measurements.
    pub sync_each: bool,
    /// Whether the process ends when the replica can't go on.
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

/// What a replica's actor reaches.
pub struct Outside<S> {
    /// The log's thread.
    pub disk: Sender<DiskJob>,
    /// The snapshots' thread.
    pub snapshots: Sender<SnapshotJob<S>>,
    /// The other replicas.
    pub peers: Peers,
}

/// What was applied since the last snapshot.
#[derive(Debug, Clone, Copy, Default)]
struct SinceSnapshot {
    entries: u64,
    bytes: usize,
    /// Whether a snapshot is being saved.
    saving: bool,
}

/// A replica of a group, with its state machine.
pub struct ReplicatedGroup<M: StateMachine> {
    group: GroupId,
    machine: M,
    replica: Replica,
    /// `None` once the replica has stopped.
    outside: Option<Outside<M::Snapshot>>,
    waiting: Waiting<M>,
    limits: GroupLimits,
    applied: LogIndex,
    since: SinceSnapshot,
    next_tag: u64,
}

impl<M: StateMachine> ReplicatedGroup<M> {
    /// The actor of a replica whose state machine holds the state of its
    /// latest snapshot.
    pub fn new(
        group: GroupId,
        machine: M,
        replica: Replica,
        outside: Outside<M::Snapshot>,
        limits: GroupLimits,
    ) -> Self {
        let status = replica.status();
        for member in status.members.all() {
            outside.peers.learn(member.node, member.addr);
        }
        for advice in placement_advice(&status.members) {
            log::warn!("event=placement group={group} advice=\"{advice}\"");
        }
        Self {
            group,
            machine,
            applied: replica.commit(),
            replica,
            outside: Some(outside),
            waiting: Waiting::default(),
            limits,
            since: SinceSnapshot::default(),
            next_tag: 0,
        }
    }

    /// A tag that was not used before.
    fn take_tag(&mut self) -> u64 {
        self.next_tag += 1;
        self.next_tag
    }

    /// Gives the replica an input and does what it asks for.
    fn step(&mut self, now: Time, input: Input) {
        let actions = self.replica.step(now, input);
        self.act(actions);
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
        let tag = self.take_tag();
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
        match outcome(&actions) {
            Ok((index, term)) => self.waiting.propose(index, term, Waiter::Command(reply)),
            Err(refusal) => drop(reply.send(Err(self.error(refusal)))),
        }
    }

    /// Asks for a read to be confirmed.
    fn read(
        &mut self,
        now: Time,
        query: M::Query,
        reply: SyncSender<Result<M::Answer, GroupError>>,
    ) {
        let tag = self.take_tag();
        self.waiting.read(tag, query, reply);
        self.step(now, Input::Read { tag });
    }

    /// Proposes a change of the members.
    fn change(
        &mut self,
        now: Time,
        change: quay_quorum::MembershipChange,
        reply: SyncSender<Result<(), MembershipChangeError>>,
    ) {
        let tag = self.take_tag();
        let actions = self
            .replica
            .step(now, Input::ChangeMembership { tag, change });
        match outcome(&actions) {
            Ok((index, term)) => self.waiting.propose(index, term, Waiter::Change(reply)),
            Err(refusal) => {
                let text = self.refusal_text(refusal);
                let _ = reply.send(Err(MembershipChangeError::Refused(text)));
            }
        }
    }

    /// What a refusal is to someone who asks.
    fn error(&self, refusal: Refusal) -> GroupError {
        match refusal {
            Refusal::NotLeader(leader) => GroupError::NotLeader(self.addr(leader)),
            _ => GroupError::Unavailable,
        }
    }

    /// What a refusal is to an operator.
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

    /// Address of a node.
    fn addr(&self, node: Option<NodeId>) -> Option<std::net::SocketAddr> {
        self.outside.as_ref()?.peers.addr(node?)
    }

    // -----------------------------------------------------------------------
    // Actions

    /// Does what the replica asks for.
    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist(persist) => self.tell_disk(DiskJob::Save(persist)),
                Action::Send { to, message } => {
                    if let Some(outside) = &self.outside {
                        outside.peers.send(to, message);
                    }
                }
                Action::SendSnapshot { to, term } => {
                    if let Some(outside) = &self.outside {
                        let _ = outside.snapshots.send(SnapshotJob::Send { to, term });
                    }
                }
                Action::Restore {
                    persist_id,
                    meta,
                    data,
                    keep,
                } => self.restore(persist_id, &meta, data, keep),
                Action::Apply(entries) => entries.into_iter().for_each(|entry| self.apply(entry)),
                Action::ReadReady { tag, .. } => self.waiting.confirmed(tag, &self.machine),
                Action::Refused { tag, refusal } => {
                    let err = self.error(refusal);
                    self.waiting.refused(tag, err);
                }
                Action::BecameLeader(term) => {
                    log::info!("event=leads group={} term={term}", self.group);
                }
                Action::SteppedDown => {
                    log::warn!("event=stepped_down group={}", self.group);
                    self.waiting.give_up(GroupError::NotLeader(None));
                }
                Action::Proposed { .. } => {}
            }
        }
    }

    /// Gives the log's thread a job.
    fn tell_disk(&self, job: DiskJob) {
        if let Some(outside) = &self.outside {
            let _ = outside.disk.send(job);
        }
    }

    /// Applies a committed entry and answers who proposed it.
    fn apply(&mut self, entry: Entry) {
        let (index, term) = (entry.index(), entry.position.term);
        self.applied = index;
        self.since.entries += 1;
        self.since.bytes += entry.bytes();
        let waiter = self.waiting.committed(index, term);
        match entry.payload {
            Payload::Command(command) => self.apply_command(index, term, &command, waiter),
            Payload::Members(members) => {
                if let Some(outside) = &self.outside {
                    for member in members.all() {
                        outside.peers.learn(member.node, member.addr);
                    }
                }
                for advice in placement_advice(&members) {
                    log::warn!("event=placement group={} advice=\"{advice}\"", self.group);
                }
                if let Some(Waiter::Change(reply)) = waiter {
                    let _ = reply.send(Ok(()));
                }
            }
            Payload::Empty => {}
        }
    }

    /// Applies a command.
    fn apply_command(
        &mut self,
        index: LogIndex,
        term: Epoch,
        command: &[u8],
        waiter: Option<Waiter<M>>,
    ) {
        let command = match postcard::from_bytes(command) {
            Ok(command) => command,
            // Skipping it would let this copy differ from the others.
            Err(err) => return self.fault(&format!("entry {index} does not decode: {err}")),
        };
        let answer = self.machine.apply(index, term, command);
        if let Some(Waiter::Command(reply)) = waiter {
            let _ = reply.send(Ok(answer));
        }
    }

    /// Takes a snapshot of the leader as the state.
    fn restore(
        &mut self,
        ticket: quay_quorum::PersistId,
        meta: &SnapshotMeta,
        data: Box<[u8]>,
        keep: bool,
    ) {
        let state = match postcard::from_bytes(&data) {
            Ok(state) => state,
            Err(err) => return self.fault(&format!("the snapshot does not decode: {err}")),
        };
        let snapshot = match super::storage::snapshot_of(meta, data) {
            Ok(snapshot) => Box::new(snapshot),
            Err(err) => return self.fault(&err.to_string()),
        };
        self.machine.restore(state);
        self.applied = meta.position.index;
        let (group, index) = (self.group, meta.position.index);
        log::info!("event=restored group={group} index={index}");
        self.tell_disk(DiskJob::Restore {
            ticket,
            snapshot,
            keep,
        });
    }

    /// Saves the state if enough was applied since the last time.
    fn save_snapshot(&mut self) {
        let due = self.since.bytes >= self.limits.snapshot_bytes
            || self.since.entries >= self.limits.snapshot_entries;
        if !due || self.since.saving {
            return;
        }
        let (Some(meta), Some(outside)) = (self.replica.snapshot_meta(self.applied), &self.outside)
        else {
            return;
        };
        let state = self.machine.snapshot();
        let _ = outside.snapshots.send(SnapshotJob::Save(meta, state));
        self.since = SinceSnapshot {
            saving: true,
            ..SinceSnapshot::default()
        };
    }

    // -----------------------------------------------------------------------
    // The end

    /// The replica can't go on: nothing more is answered as done.
    fn fault(&mut self, cause: &str) {
        log::error!("event=replica_fault group={} cause=\"{cause}\"", self.group);
        self.stop();
        if self.limits.exit_on_fault {
            log::logger().flush();
            std::process::exit(FAULT_EXIT_CODE);
        }
    }

    /// Stops threads and gives up what is open.
    fn stop(&mut self) {
        if let Some(outside) = self.outside.take() {
            outside.peers.stop();
        }
        self.waiting.give_up(GroupError::Unavailable);
    }

    /// Takes what the replica's threads and peers say.
    fn event(&mut self, now: Time, event: GroupEvent) {
        match event {
            GroupEvent::Peer {
                from,
                addr,
                message,
            } => {
                if let Some(outside) = &self.outside {
                    outside.peers.learn(from, addr);
                }
                let message = *message;
                self.step(now, Input::Message { from, message });
            }
            GroupEvent::Persisted(ticket) => self.step(now, Input::Persisted(ticket)),
            GroupEvent::SnapshotSaved(index) => {
                self.since.saving = false;
                self.step(now, Input::SnapshotSaved(index));
            }
            GroupEvent::SnapshotFailed => self.since.saving = false,
            GroupEvent::DiskFailed(cause) => self.fault(&cause),
        }
    }
}

/// How a proposal was taken.
fn outcome(actions: &[Action]) -> Result<(LogIndex, Epoch), Refusal> {
    let taken = actions.iter().find_map(|action| match action {
        Action::Proposed { index, term, .. } => Some(Ok((*index, *term))),
        Action::Refused { refusal, .. } => Some(Err(*refusal)),
        _ => None,
    });
    taken.unwrap_or(Err(Refusal::NotReady))
}

impl<M: StateMachine> Actor for ReplicatedGroup<M> {
    type Msg = GroupMsg<M>;

    const TICK: Duration = Duration::from_millis(20);

    fn handle(&mut self, now: Time, msg: GroupMsg<M>) {
        if self.outside.is_none() {
            return refuse(msg);
        }
        match msg {
            GroupMsg::Propose { command, reply } => self.propose(now, &command, reply),
            GroupMsg::Read { query, reply } => self.read(now, query, reply),
            GroupMsg::Change { change, reply } => self.change(now, change, reply),
            GroupMsg::Status(reply) => drop(reply.send(Some(self.replica.status()))),
            GroupMsg::Stop => self.stop(),
            GroupMsg::Event(event) => self.event(now, event),
        }
    }

    fn tick(&mut self, now: Time) {
        if self.outside.is_some() {
            self.step(now, Input::Tick);
        }
    }

    fn after_batch(&mut self, now: Time) {
        if self.outside.is_some() {
            let actions = self.replica.flush(now);
            self.act(actions);
            self.save_snapshot();
        }
    }
}

/// Answers for a replica that has stopped.
fn refuse<M: StateMachine>(msg: GroupMsg<M>) {
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
        // A broken rule ends the thread by an assertion; the process must not
        // go on as if the replica were only slow.
        if thread::panicking() && self.limits.exit_on_fault {
            log::logger().flush();
            std::process::exit(FAULT_EXIT_CODE);
        }
    }
}
