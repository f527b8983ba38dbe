//! A simulated host: a replica, its state machine and its disk.

use {
    crate::{
        Entry, HardState, Persist, PersistId, PersistedState, Position, Replica, Settings,
        SnapshotMeta, check::safety_checker::AppliedState,
    },
    indexmap::IndexMap,
    quay_types::{Epoch, LogIndex, NodeId, Time},
    std::{
        collections::VecDeque,
        hash::{Hash, Hasher},
        time::Duration,
    },
};

/// A write that is not synced yet.
#[derive(Debug, Clone, Hash)]
enum Write {
    Log {
        persist_id: PersistId,
        hard_state: Option<HardState>,
        entries: Vec<Entry>,
    },
    Restore {
        persist_id: PersistId,
        meta: SnapshotMeta,
        state: AppliedState,
        keep: bool,
    },
}

/// Content of the disk that survives a crash.
#[derive(Debug, Clone, Default, Hash)]
struct Synced {
    hard_state: HardState,
    meta: SnapshotMeta,
    state: AppliedState,
    entries: Vec<Entry>,
}

impl Synced {
    /// Applies a write.
    fn apply(&mut self, write: Write) {
        match write {
            Write::Log {
                hard_state,
                entries,
                ..
            } => {
                self.hard_state = hard_state.unwrap_or(self.hard_state);
                if let Some(first) = entries.first().map(Entry::index) {
                    self.entries.retain(|entry| entry.index() < first);
                }
                self.entries.extend(entries);
            }
            Write::Restore {
                meta, state, keep, ..
            } => {
                let index = meta.position.index;
                self.entries.retain(|entry| keep && entry.index() > index);
                // A newer snapshot of the host's own state may have been saved meanwhile.
                if index > self.meta.position.index {
                    self.meta = meta;
                    self.state = state;
                }
            }
        }
    }

    /// Whether the disk contains an entry or a snapshot that covers it.
    fn holds(&self, position: Position) -> bool {
        self.meta.position.index >= position.index
            || self.entries.iter().any(|entry| entry.position == position)
    }
}

/// A simulated host: a replica, its disk and its pending requests.
#[derive(Debug, Clone)]
pub struct Host {
    /// The replica; `None` while the process is not running.
    pub replica: Option<Replica>,
    /// State that the replica has applied.
    pub(crate) state: AppliedState,
    /// Whether the host is lost permanently.
    pub lost: bool,
    /// Rate of the host's clock, in thousandths of the true rate.
    pub(crate) clock_rate: u64,
    /// Time at which the current pause of the host and its clock ends; `None`
    /// if the host is running.
    pub(crate) paused_until: Option<Time>,
    /// Time until which the disk takes no write.
    pub(crate) stalled_until: Time,
    /// Total time of the host's pauses, by which its clock is behind.
    pub(crate) paused_total: Duration,
    /// Proposals that are not acknowledged yet, by log index, with their terms.
    pub(crate) proposals: IndexMap<LogIndex, Epoch>,
    /// Pending reads by tag, each with the last index that was acknowledged
    /// when the read was requested.
    pub(crate) reads: IndexMap<u64, LogIndex>,
    synced: Synced,
    /// Writes that are not synced yet, in order.
    queue: VecDeque<Write>,
}

impl Host {
    /// Creates a host with a new replica.
    pub(crate) fn new(replica: Replica, clock_rate: u64) -> Self {
        let status = replica.status();
        let meta = SnapshotMeta {
            position: Position::default(),
            members: status.members,
        };
        Self {
            replica: Some(replica),
            state: AppliedState::default(),
            lost: false,
            clock_rate,
            paused_until: None,
            stalled_until: Time::ZERO,
            paused_total: Duration::ZERO,
            proposals: IndexMap::new(),
            reads: IndexMap::new(),
            synced: Synced {
                meta,
                ..Synced::default()
            },
            queue: VecDeque::new(),
        }
    }

    /// Converts the simulation's time to the host's local time.
    pub(crate) fn local(&self, now: Time) -> Time {
        let running_time = now - self.paused_total;
        Time::from_micros(running_time.as_micros() * self.clock_rate / 1_000)
    }

    /// Queues a write of the log.
    pub(crate) fn persist(&mut self, persist: Persist) {
        self.queue.push_back(Write::Log {
            persist_id: persist.id,
            hard_state: persist.hard_state,
            entries: persist.entries,
        });
    }

    /// Installs a snapshot from the leader as the state and queues its write.
    pub(crate) fn restore(
        &mut self,
        persist_id: PersistId,
        meta: SnapshotMeta,
        state: AppliedState,
        keep: bool,
    ) {
        self.state = state;
        self.queue.push_back(Write::Restore {
            persist_id,
            meta,
            state,
            keep,
        });
    }

    /// Whether there are unsynced writes.
    pub(crate) fn is_dirty(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Syncs the first `count` queued writes and returns the identifier of the
    /// last one.
    pub(crate) fn sync(&mut self, count: usize) -> Option<PersistId> {
        let mut last_synced = None;
        for _ in 0..count {
            let Some(write) = self.queue.pop_front() else {
                break;
            };
            let (Write::Log { persist_id, .. } | Write::Restore { persist_id, .. }) = &write;
            last_synced = Some(*persist_id);
            self.synced.apply(write);
        }
        last_synced
    }

    /// Persists a snapshot of the host's own state and returns its index;
    /// `None` if there is nothing newer than the latest snapshot.
    pub(crate) fn snapshot(&mut self) -> Option<LogIndex> {
        let meta = self.replica.as_ref()?.snapshot_meta(self.state.index)?;
        let index = meta.position.index;
        if index <= self.synced.meta.position.index {
            return None;
        }
        // The log may be behind the state. Like `quay_log::Replay`, drops entries that
        // another leader's have replaced.
        let replaced =
            |entry: &Entry| entry.index() == index && entry.position.term != meta.position.term;
        let keep = !self.synced.entries.iter().any(replaced);
        let entries = &mut self.synced.entries;
        entries.retain(|entry| keep && entry.index() > index);
        self.synced.meta = meta;
        self.synced.state = self.state;
        Some(index)
    }

    /// Returns the latest synced snapshot.
    pub(crate) fn latest_snapshot(&self) -> (SnapshotMeta, AppliedState) {
        (self.synced.meta.clone(), self.synced.state)
    }

    /// Whether an entry is synced to the host's disk, or was when the host was
    /// lost.
    pub(crate) fn holds(&self, position: Position) -> bool {
        self.synced.holds(position)
    }

    /// Crashes the process after the first `kept` unsynced writes have reached
    /// the disk.
    pub(crate) fn crash(&mut self, kept: usize) {
        self.sync(kept);
        self.queue.clear();
        self.replica = None;
        self.proposals.clear();
        self.reads.clear();
    }

    /// Restarts the process from the synced state.
    pub(crate) fn restart(&mut self, node: NodeId, cfg: Settings, seed: u64, now: Time) {
        let meta = self.synced.meta.clone();
        let entries = self.synced.entries.iter();
        let restart = PersistedState {
            hard_state: self.synced.hard_state,
            entries: entries
                .filter(|entry| entry.index() > meta.position.index)
                .cloned()
                .collect(),
            meta,
        };
        self.state = self.synced.state;
        let now = self.local(now);
        let mut replica = Replica::restart(node, restart, cfg, seed, now);
        // What was recovered is written once more.
        self.queue.push_back(Write::Log {
            persist_id: replica.hold_recovered(),
            hard_state: None,
            entries: Vec::new(),
        });
        self.replica = Some(replica);
    }

    /// Hashes the state that determines the host's next steps, except times.
    pub(crate) fn hash_state(&self, state: &mut impl Hasher) {
        (self.synced.clone(), self.lost, self.state).hash(state);
        self.queue.iter().for_each(|write| write.hash(state));
        if let Some(replica) = &self.replica {
            replica.hash_state(state);
        }
    }
}
