//! One replica of a group.

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

/// What a replica does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Takes entries from a leader.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Proposes entries.
    Leader,
}

/// What was saved before a restart.
#[derive(Debug, Clone, Default)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot; the default if there is none.
    pub meta: SnapshotMeta,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// What a replica tells of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Identity of the replica.
    pub node: NodeId,
    /// Whether it leads.
    pub leads: bool,
    /// The leader, if known.
    pub leader: Option<NodeId>,
    /// Its term.
    pub term: Epoch,
    /// Last entry known as committed.
    pub commit: LogIndex,
    /// Last entry.
    pub last: Position,
    /// Latest members.
    pub members: Membership,
}

/// A message that waits for a save.
#[derive(Debug, Clone)]
struct Held {
    persist_id: PersistId,
    to: NodeId,
    message: Message,
}

/// A read that waits for a quorum.
#[derive(Debug, Clone, Copy)]
struct OpenRead {
    tag: u64,
    index: LogIndex,
    round: u64,
}

/// What only a leader keeps.
#[derive(Debug, Clone, Default)]
struct Lead {
    /// Every other member.
    progress: IndexMap<NodeId, Progress>,
    /// First entry of the term; what is committed is known once it is.
    first: LogIndex,
    /// Number of the latest heartbeat.
    round: u64,
    /// Reads that wait, in the order of their rounds.
    reads: VecDeque<OpenRead>,
    /// Whether a read waits for the next heartbeat.
    read_pending: bool,
    /// When the next heartbeat is due.
    heartbeat_due: Time,
}

/// One replica of a group, as a state machine without I/O.
///
/// `step` takes inputs; `flush` must follow a batch of them and returns what is
/// to be saved and sent for the whole batch. Violations of the rules that hold
/// a group together are assertions: a replica that meets one must not go on.
#[derive(Debug, Clone)]
pub struct Replica {
    node: NodeId,
    cfg: Settings,
    hard_state: HardState,
    /// Whether `hard_state` is to be saved.
    hard_state_changed: bool,
    log: MemoryLog,
    role: Role,
    leader: Option<NodeId>,
    /// When the leader was last heard; `None` after a restart.
    leader_heard: Option<Time>,
    votes: IndexSet<NodeId>,
    lead: Lead,
    /// Last committed entry; only rises.
    commit: LogIndex,
    /// Last entry handed out to be applied; at most `commit`.
    applied: LogIndex,
    /// Last entry handed out to be saved.
    handed: LogIndex,
    /// Last entry that is saved; at most `handed`.
    saved: LogIndex,
    next_persist_id: PersistId,
    last_persisted_id: PersistId,
    /// Saves that are under way, with the last entry that each covers.
    saving: VecDeque<(PersistId, LogIndex)>,
    held: VecDeque<Held>,
    /// When an election starts unless a leader is heard.
    deadline: Time,
    random: u64,
    out: Vec<Action>,
}

impl Replica {
    /// A replica of a new group. Every first member must name the same members.
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

    /// A replica that knows no group yet and waits to be made a learner.
    #[must_use]
    pub fn empty(node: NodeId, cfg: Settings, seed: u64, now: Time) -> Self {
        Self::restart(node, PersistedState::default(), cfg, seed, now)
    }

    /// A replica with what it saved before.
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
            leader_heard: None,
            votes: IndexSet::new(),
            lead: Lead::default(),
            commit: start,
            applied: start,
            handed: last,
            saved: last,
            next_persist_id: PersistId(1),
            last_persisted_id: PersistId(0),
            saving: VecDeque::new(),
            held: VecDeque::new(),
            deadline: now,
            random: seed,
            out: Vec::new(),
        };
        replica.reset_deadline(now);
        replica
    }

    /// What the replica tells of itself.
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
        }
    }

    /// Whether the replica leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Term of the replica.
    #[must_use]
    pub const fn term(&self) -> Epoch {
        self.hard_state.term
    }

    /// Last entry known as committed.
    #[must_use]
    pub const fn commit(&self) -> LogIndex {
        self.commit
    }

    /// When the replica starts an election unless it hears a leader.
    #[must_use]
    pub const fn deadline(&self) -> Time {
        self.deadline
    }

    /// The entry at an index, while it is kept.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Entry before the first one that is kept.
    #[must_use]
    pub const fn compacted_through(&self) -> Position {
        self.log.base()
    }

    /// Hashes all that decides what the replica does next, but for the time.
    pub(crate) fn shape(&self, state: &mut impl Hasher) {
        (self.hard_state, self.hard_state_changed, self.role as u8).hash(state);
        (self.leader, self.commit, self.handed, self.saved).hash(state);
        (
            self.next_persist_id,
            self.last_persisted_id,
            self.votes.as_slice(),
        )
            .hash(state);
        let entries = self
            .log
            .range(self.log.base().index, self.log.last().index, usize::MAX);
        entries.hash(state);
        for held in &self.held {
            (held.persist_id, held.to, &held.message).hash(state);
        }
        for (peer, progress) in &self.lead.progress {
            (peer, progress.matched, progress.next, progress.round).hash(state);
        }
    }

    /// What a snapshot of the state after `index` stands for; `None` if that
    /// entry is not applied or no longer kept.
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

    /// Takes one input.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message { from, message } => self.message(now, from, message),
            Input::Propose { tag, command } => self.propose(now, tag, command),
            Input::Read { tag } => self.read(now, tag),
            Input::ChangeMembership { tag, change } => self.change(now, tag, &change),
            Input::Persisted(persist_id) => self.persisted(now, persist_id),
            Input::SnapshotSaved(index) => self.compacted(index),
        }
        mem::take(&mut self.out)
    }

    /// Hands out what a batch of inputs asks to save and to send.
    pub fn flush(&mut self, now: Time) -> Vec<Action> {
        self.flush_saves();
        if self.role == Role::Leader {
            self.flush_leader(now);
        }
        mem::take(&mut self.out)
    }

    /// Does what is due.
    fn tick(&mut self, now: Time) {
        if self.role == Role::Leader {
            self.check_quorum(now);
        } else if now >= self.deadline {
            self.ask_for_votes(now);
        }
    }

    // -----------------------------------------------------------------------
    // Saves

    /// Whether something is to be saved that was not handed out.
    fn unsaved(&self) -> bool {
        self.hard_state_changed || self.handed < self.log.last().index
    }

    /// Hands out the next save.
    fn flush_saves(&mut self) {
        if !self.unsaved() {
            return;
        }
        let last = self.log.last().index;
        let persist = Persist {
            id: self.allocate_persist_id(last),
            hard_state: mem::take(&mut self.hard_state_changed).then_some(self.hard_state),
            entries: self.log.range(self.handed, last, usize::MAX),
        };
        self.handed = last;
        self.out.push(Action::Persist(persist));
    }

    /// The identifier of a save that covers entries up to `last`.
    fn allocate_persist_id(&mut self, last: LogIndex) -> PersistId {
        let persist_id = self.next_persist_id;
        self.next_persist_id.0 += 1;
        self.saving.push_back((persist_id, last));
        persist_id
    }

    /// Sends a message once all that it rests on is saved.
    fn send_when_saved(&mut self, to: NodeId, message: Message) {
        // What is not handed out yet goes with the next save.
        let persist_id = PersistId(self.next_persist_id.0 - u64::from(!self.unsaved()));
        let early = self.cfg.mutation == Mutation::ReplyBeforePersist && to != self.node;
        if persist_id <= self.last_persisted_id || early {
            self.send(to, message);
        } else {
            self.held.push_back(Held {
                persist_id,
                to,
                message,
            });
        }
    }

    /// Takes that a save and all before it are synced.
    fn persisted(&mut self, now: Time, persist_id: PersistId) {
        self.last_persisted_id = self.last_persisted_id.max(persist_id);
        while let Some((_, last)) = self.saving.pop_front_if(|(done, _)| *done <= persist_id) {
            self.saved = last;
        }
        while let Some(held) = self.held.pop_front_if(|held| held.persist_id <= persist_id) {
            // What was promised in an earlier term no longer holds.
            if held.message.term() == self.hard_state.term {
                self.send_or_take(now, held.to, held.message);
            }
        }
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
    }

    /// Sends a message, or takes it if it is for this replica.
    fn send_or_take(&mut self, now: Time, to: NodeId, message: Message) {
        if to == self.node {
            self.message(now, to, message);
        } else {
            self.send(to, message);
        }
    }

    /// Sends a message.
    fn send(&mut self, to: NodeId, message: Message) {
        self.out.push(Action::Send { to, message });
    }

    /// Drops entries that another leader has replaced.
    fn truncate(&mut self, from: LogIndex) {
        assert!(from > self.commit, "a committed entry is never dropped");
        self.log.truncate(from);
        let last = LogIndex(from.0 - 1);
        self.handed = self.handed.min(last);
        self.saved = self.saved.min(last);
        for (_, covers) in &mut self.saving {
            *covers = (*covers).min(last);
        }
    }

    /// Forgets entries that a snapshot covers, but for a few.
    fn compacted(&mut self, index: LogIndex) {
        let through = LogIndex(index.0.saturating_sub(self.cfg.keep_entries));
        if through > self.log.base().index && index <= self.applied {
            self.log.compact(through);
        }
    }

    // -----------------------------------------------------------------------
    // Commit

    /// Takes that entries up to `index` are committed and hands them out.
    fn commit_to(&mut self, index: LogIndex) {
        if index <= self.commit {
            return;
        }
        assert!(
            index <= self.log.last().index,
            "only entries that are held commit"
        );
        self.commit = index;
        let entries = self.log.range(self.applied, index, usize::MAX);
        let first = entries.first().map(Entry::index);
        assert!(
            first == Some(LogIndex(self.applied.0 + 1)),
            "entries are applied in order"
        );
        self.applied = index;
        self.out.push(Action::Apply(entries));
    }

    // -----------------------------------------------------------------------
    // Time

    /// Draws the time of the next election.
    fn reset_deadline(&mut self, now: Time) {
        // SplitMix64: the seed is all that the draw depends on.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let least = match self.leader_heard {
            None => self.cfg.startup_election,
            Some(_) => self.cfg.election,
        };
        let span = u64::try_from(least.as_micros()).unwrap_or(u64::MAX);
        let extra = Time::from_micros(mixed % span.max(1));
        self.deadline = now + least + extra.since(Time::ZERO);
    }
}
