//! The replica: role, log, pending writes and commit index.

mod election;
mod follower;
mod leader;
mod requests;

use {
    crate::{
        Action, Entry, HardState, Input, Membership, Message, Mutation, Persist, PersistId,
        Position, Settings, SnapshotMeta, memory_log::MemoryLog, progress::Progress,
    },
    indexmap::{IndexMap, IndexSet},
    quay_types::{Epoch, LogIndex, NodeId, Time},
    std::{
        collections::VecDeque,
        hash::{Hash, Hasher},
        mem,
    },
};

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Accepts entries from a leader.
    Follower,
    /// Asks the other voters whether it would be elected.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends and replicates entries.
    Leader,
}

/// State that a replica recovers from disk.
#[derive(Debug, Clone, Default)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Metadata of the latest snapshot; the default if there is none.
    pub meta: SnapshotMeta,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Observable state of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Node identity of the replica.
    pub node: NodeId,
    /// Whether the replica is the leader.
    pub leads: bool,
    /// Leader of the current term, if known.
    pub leader: Option<NodeId>,
    /// Current term.
    pub term: Epoch,
    /// Commit index.
    pub commit: LogIndex,
    /// Position of the last log entry.
    pub last: Position,
    /// Latest membership, committed or not.
    pub members: Membership,
    /// Other members that have persisted all but at most `Settings::max_promotion_lag`
    /// entries; empty unless the replica leads.
    pub caught_up: Vec<NodeId>,
}

/// A message that may be sent only after a write is synced.
#[derive(Debug, Clone, PartialEq)]
struct HeldMessage {
    persist_id: PersistId,
    to: NodeId,
    message: Message,
}

/// A read that waits for confirmation by a quorum.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    tag: u64,
    index: LogIndex,
    round: u64,
}

/// State that only a leader has.
#[derive(Debug, Clone, Default)]
struct LeaderState {
    /// Progress of every other member.
    progress: IndexMap<NodeId, Progress>,
    /// First entry of the leader's term. The leader knows the commit index only
    /// once this entry is committed.
    first: LogIndex,
    /// Latest heartbeat round.
    round: u64,
    /// Unconfirmed reads, in the order of their heartbeat rounds.
    reads: VecDeque<PendingRead>,
    /// Whether a read needs a new heartbeat round.
    read_pending: bool,
    /// Time at which the next heartbeat is due.
    heartbeat_due: Time,
}

/// One replica of a group, as a state machine without I/O.
///
/// `step` handles one input. After a batch of inputs, `flush` must be called;
/// it returns the writes and messages of the whole batch. Protocol invariants
/// are assertions, since a replica that detects a violation must not continue.
#[derive(Debug, Clone)]
pub struct Replica {
    node: NodeId,
    cfg: Settings,
    hard_state: HardState,
    /// Whether `hard_state` must be written.
    hard_state_changed: bool,
    log: MemoryLog,
    role: Role,
    leader: Option<NodeId>,
    /// Time of the last contact from a leader; `None` until the first contact
    /// after a start.
    last_leader_contact: Option<Time>,
    /// Voters that would vote for this replica in the next term.
    pre_votes: IndexSet<NodeId>,
    /// Voters whose votes of the current term this replica has. Without its own one, it
    /// has not campaigned in this term since it started.
    votes: IndexSet<NodeId>,
    leader_state: LeaderState,
    /// Commit index; never decreases.
    commit: LogIndex,
    /// Index of the last entry handed out to be applied; at most `commit`.
    applied: LogIndex,
    /// Index of the last entry handed out to be written.
    write_issued: LogIndex,
    /// Index of the last entry that is synced; at most `write_issued`.
    persisted_index: LogIndex,
    next_persist_id: PersistId,
    last_persisted_id: PersistId,
    /// Write that holds the latest term and vote.
    hard_state_write: PersistId,
    /// Writes in progress, with the index of the last entry that each covers.
    pending_writes: VecDeque<(PersistId, LogIndex)>,
    /// Messages that wait for a write, in the order of the writes.
    held_messages: VecDeque<HeldMessage>,
    /// Time at which a pre-vote starts unless a leader is heard from.
    deadline: Time,
    /// State of the random number generator for election timeouts.
    random: u64,
    /// Actions that `step` or `flush` returns next.
    out: Vec<Action>,
}

impl Replica {
    /// Creates a replica of a new group. Every initial member must be given the
    /// same membership.
    #[must_use]
    pub fn bootstrap(
        node: NodeId,
        members: Membership,
        cfg: Settings,
        seed: u64,
        now: Time,
    ) -> Self {
        let meta = SnapshotMeta {
            position: Position::default(),
            members,
        };
        let restart = PersistedState {
            meta,
            ..PersistedState::default()
        };
        Self::restart(node, restart, cfg, seed, now)
    }

    /// Creates a replica without a group, which waits to be added as a learner.
    #[must_use]
    pub fn empty(node: NodeId, cfg: Settings, seed: u64, now: Time) -> Self {
        Self::restart(node, PersistedState::default(), cfg, seed, now)
    }

    /// Creates a replica from its persisted state.
    #[must_use]
    pub fn restart(
        node: NodeId,
        restart: PersistedState,
        cfg: Settings,
        seed: u64,
        now: Time,
    ) -> Self {
        let start = restart.meta.position.index;
        let log = MemoryLog::new(restart.meta, restart.entries);
        let last = log.last().index;
        let mut replica = Self {
            node,
            cfg,
            hard_state: restart.hard_state,
            hard_state_changed: false,
            log,
            role: Role::Follower,
            leader: None,
            last_leader_contact: None,
            pre_votes: IndexSet::new(),
            votes: IndexSet::new(),
            leader_state: LeaderState::default(),
            commit: start,
            applied: start,
            write_issued: last,
            persisted_index: last,
            next_persist_id: PersistId(1),
            last_persisted_id: PersistId(0),
            hard_state_write: PersistId(0),
            pending_writes: VecDeque::new(),
            held_messages: VecDeque::new(),
            deadline: now,
            random: seed,
            out: Vec::new(),
        };
        replica.reset_deadline(now);
        replica
    }

    /// Counts the recovered state as not written until the returned write is reported as
    /// [`Input::Persisted`]: what a restarted process reads need not be durable. To be
    /// called before the first step.
    pub fn hold_recovered(&mut self) -> PersistId {
        self.persisted_index = self.log.base().index;
        self.hard_state_write = self.allocate_persist_id(self.log.last().index);
        self.hard_state_write
    }

    /// Returns the observable state of the replica.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            node: self.node,
            leads: self.role == Role::Leader,
            leader: self.leader,
            term: self.hard_state.term,
            commit: self.commit,
            last: self.log.last(),
            members: self.log.members().1.clone(),
            caught_up: self.caught_up_members(),
        }
    }

    /// Whether the replica is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Current term of the replica.
    #[must_use]
    pub const fn term(&self) -> Epoch {
        self.hard_state.term
    }

    /// Commit index of the replica.
    #[must_use]
    pub const fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Time at which the replica starts a pre-vote unless it hears from a
    /// leader.
    #[must_use]
    pub const fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the entry at an index, if it is retained in memory.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Position of the last compacted entry, directly before the first retained
    /// one.
    #[must_use]
    pub const fn compacted_through(&self) -> Position {
        self.log.base()
    }

    /// Hashes the state that determines the replica's next steps, except times.
    pub(crate) fn hash_state(&self, state: &mut impl Hasher) {
        (self.hard_state, self.hard_state_changed, self.role as u8).hash(state);
        (
            self.leader,
            self.commit,
            self.write_issued,
            self.persisted_index,
        )
            .hash(state);
        (
            self.next_persist_id,
            self.last_persisted_id,
            self.hard_state_write,
            self.pre_votes.as_slice(),
            self.votes.as_slice(),
        )
            .hash(state);
        let entries = self
            .log
            .range(self.log.base().index, self.log.last().index, usize::MAX);
        entries.hash(state);
        for held in &self.held_messages {
            (held.persist_id, held.to, &held.message).hash(state);
        }
        for (peer, progress) in &self.leader_state.progress {
            (peer, progress.matched, progress.next, progress.round).hash(state);
        }
    }

    /// Returns the metadata of a snapshot of the state after `index`; `None` if
    /// that entry is not applied yet or is compacted.
    #[must_use]
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        if index > self.applied {
            return None;
        }
        let term = self.log.term(index)?;
        Some(SnapshotMeta {
            position: Position { term, index },
            members: self.log.members_at(index).clone(),
        })
    }

    /// Handles one input and returns the actions that do not wait for `flush`.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.on_tick(now),
            Input::Message { from, message } => self.on_message(now, from, message),
            Input::Propose { tag, command } => self.propose(now, tag, command),
            Input::Read { tag } => self.read(now, tag),
            Input::ChangeMembership { tag, change } => self.change(now, tag, &change),
            Input::Persisted(persist_id) => self.on_persisted(now, persist_id),
            Input::SnapshotSaved(index) => self.on_snapshot_saved(index),
            Input::SnapshotQueued(peer) => self.on_snapshot_queued(peer),
        }
        mem::take(&mut self.out)
    }

    /// Returns the writes and messages that result from the inputs since the
    /// last call.
    pub fn flush(&mut self, now: Time) -> Vec<Action> {
        self.flush_writes();
        if self.role == Role::Leader {
            self.flush_leader(now);
        }
        mem::take(&mut self.out)
    }

    /// Checks the quorum and the disk as leader, or the election timeout otherwise.
    fn on_tick(&mut self, now: Time) {
        if self.role == Role::Leader {
            self.check_quorum(now);
            self.check_disk(now);
        } else if now >= self.deadline {
            self.start_pre_vote(now);
        }
    }

    // -----------------------------------------------------------------------
    // Persistence

    /// Whether there is state to write that was not handed out yet.
    fn has_unwritten_state(&self) -> bool {
        self.hard_state_changed || self.write_issued < self.log.last().index
    }

    /// Whether too many entries wait for the disk, as while it is full.
    fn disk_lags(&self) -> bool {
        self.log.bytes_after(self.persisted_index) > self.cfg.max_waiting_bytes
    }

    /// Whether the latest term and vote are on disk.
    fn hard_state_is_persisted(&self) -> bool {
        !self.hard_state_changed && self.hard_state_write <= self.last_persisted_id
    }

    /// Hands out the next write, if there is anything to write.
    fn flush_writes(&mut self) {
        if !self.has_unwritten_state() {
            return;
        }
        let last = self.log.last().index;
        let id = self.allocate_persist_id(last);
        if self.hard_state_changed {
            self.hard_state_write = id;
        }
        let persist = Persist {
            id,
            hard_state: mem::take(&mut self.hard_state_changed).then_some(self.hard_state),
            entries: self.log.range(self.write_issued, last, usize::MAX),
        };
        self.write_issued = last;
        self.out.push(Action::Persist(persist));
    }

    /// Allocates the identifier of a write that covers entries up to `last`.
    fn allocate_persist_id(&mut self, last: LogIndex) -> PersistId {
        let persist_id = self.next_persist_id;
        self.next_persist_id.0 += 1;
        self.pending_writes.push_back((persist_id, last));
        persist_id
    }

    /// Sends a message once all state that it depends on is persisted.
    fn send_when_persisted(&mut self, to: NodeId, message: Message) {
        // State that was not handed out yet is part of the next write.
        let persist_id = PersistId(self.next_persist_id.0 - u64::from(!self.has_unwritten_state()));
        let skip_wait = self.cfg.mutation == Mutation::ReplyBeforePersist && to != self.node;
        let held = HeldMessage {
            persist_id,
            to,
            message,
        };
        if persist_id <= self.last_persisted_id || skip_wait {
            self.send(to, held.message);
        } else if self.held_messages.back() != Some(&held) {
            self.held_messages.push_back(held);
        }
    }

    /// Handles the completion of a write and all earlier writes.
    fn on_persisted(&mut self, now: Time, persist_id: PersistId) {
        self.last_persisted_id = self.last_persisted_id.max(persist_id);
        while let Some((_, last)) = self
            .pending_writes
            .pop_front_if(|(id, _)| *id <= persist_id)
        {
            self.persisted_index = last;
        }
        while let Some(held) = self
            .held_messages
            .pop_front_if(|held| held.persist_id <= persist_id)
        {
            // Votes and acknowledgements of an earlier term are no longer
            // valid.
            if held.message.term() == self.hard_state.term {
                self.send_or_handle(now, held.to, held.message);
            }
        }
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
    }

    /// Sends a message, or handles it directly if it is addressed to this
    /// replica.
    fn send_or_handle(&mut self, now: Time, to: NodeId, message: Message) {
        if to == self.node {
            self.on_message(now, to, message);
        } else {
            self.send(to, message);
        }
    }

    /// Queues a message to be sent.
    fn send(&mut self, to: NodeId, message: Message) {
        self.out.push(Action::Send { to, message });
    }

    /// Removes the entries from an index on, which another leader has replaced.
    fn truncate(&mut self, from: LogIndex) {
        assert!(from > self.commit, "a committed entry must not be removed");
        self.log.truncate(from);
        let last = LogIndex(from.0 - 1);
        self.write_issued = self.write_issued.min(last);
        self.persisted_index = self.persisted_index.min(last);
        for (_, last_covered) in &mut self.pending_writes {
            *last_covered = (*last_covered).min(last);
        }
    }

    /// Compacts the entries that a snapshot covers, except the last
    /// `Settings::keep_entries` of `Settings::keep_bytes`.
    fn on_snapshot_saved(&mut self, index: LogIndex) {
        let by_number = LogIndex(index.0.saturating_sub(self.cfg.keep_entries));
        let by_size = self.log.last_before_bytes(index, self.cfg.keep_bytes);
        let through = by_number.max(by_size);
        if through > self.log.base().index && index <= self.applied {
            self.log.compact(through);
        }
    }

    // -----------------------------------------------------------------------
    // Commit

    /// Advances the commit index and hands out the committed entries to be
    /// applied.
    fn commit_to(&mut self, index: LogIndex) {
        if index <= self.commit {
            return;
        }
        assert!(
            index <= self.log.last().index,
            "an entry must be in the log to be committed"
        );
        self.commit = index;
        let entries = self.log.range(self.applied, index, usize::MAX);
        let first = entries.first().map(Entry::index);
        assert!(
            first == Some(LogIndex(self.applied.0 + 1)),
            "entries must be applied in order"
        );
        self.applied = index;
        self.out.push(Action::Apply(entries));
    }

    // -----------------------------------------------------------------------
    // Timers

    /// Draws the next election deadline at random.
    fn reset_deadline(&mut self, now: Time) {
        // SplitMix64: the result depends only on the seed and the number of
        // earlier draws.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let min_timeout = match self.last_leader_contact {
            None => self.cfg.startup_election,
            Some(_) => self.cfg.election,
        };
        let span = u64::try_from(min_timeout.as_micros()).unwrap_or(u64::MAX);
        let extra = Time::from_micros(mixed % span.max(1));
        self.deadline = now + min_timeout + extra.since(Time::ZERO);
    }
}
