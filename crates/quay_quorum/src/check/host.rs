//! One host of the check: a replica, its disk and its state.

use {
    crate::{
        Entry, HardState, Persist, PersistId, PersistedState, Position, Replica, Settings,
        SnapshotMeta, check::safety_checker::Applied,
    },
    indexmap::IndexMap,
    quay_types::{Epoch, LogIndex, NodeId, Time},
    std::{
        collections::VecDeque,
        hash::{Hash, Hasher},
        time::Duration,
    },
};

/// A save that is not synced.
#[derive(Debug, Clone, Hash)]
enum Job {
    Save {
        persist_id: PersistId,
        hard_state: Option<HardState>,
        entries: Vec<Entry>,
    },
    Restore {
        persist_id: PersistId,
        meta: SnapshotMeta,
        state: Applied,
        keep: bool,
    },
}

/// What survives a crash.
#[derive(Debug, Clone, Default, Hash)]
struct Synced {
    hard_state: HardState,
    meta: SnapshotMeta,
    state: Applied,
    entries: Vec<Entry>,
}

impl Synced {
    /// Carries out a save.
    fn carry_out(&mut self, job: Job) {
        match job {
            Job::Save {
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
            Job::Restore {
                meta, state, keep, ..
            } => {
                let index = meta.position.index;
                self.entries.retain(|entry| keep && entry.index() > index);
                self.meta = meta;
                self.state = state;
            }
        }
    }

    /// Whether an entry or a snapshot that covers it is here.
    fn holds(&self, position: Position) -> bool {
        self.meta.position.index >= position.index
            || self.entries.iter().any(|entry| entry.position == position)
    }
}

/// One host: a replica, its disk and what it has open.
#[derive(Debug, Clone)]
pub struct Host {
    /// The replica; `None` while the process is down.
    pub replica: Option<Replica>,
    /// State that the replica has applied.
    pub(crate) state: Applied,
    /// Whether the disk is gone for good.
    pub lost: bool,
    /// Speed of the host's clock, in thousandths of the true one.
    pub(crate) clock_rate: u64,
    /// Until when the host stands still, its clock too.
    pub(crate) suspended: Option<Time>,
    /// Time that the host's clock has missed.
    pub(crate) missed: Duration,
    /// Proposals that are not answered.
    pub(crate) proposals: IndexMap<LogIndex, Epoch>,
    /// Reads that are not answered, with what was answered before them.
    pub(crate) reads: IndexMap<u64, LogIndex>,
    synced: Synced,
    queue: VecDeque<Job>,
}

impl Host {
    /// A host with a new replica.
    pub(crate) fn new(replica: Replica, clock_rate: u64) -> Self {
        let status = replica.status();
        let meta = SnapshotMeta {
            position: Position::default(),
            members: status.members,
        };
        Self {
            replica: Some(replica),
            state: Applied::default(),
            lost: false,
            clock_rate,
            suspended: None,
            missed: Duration::ZERO,
            proposals: IndexMap::new(),
            reads: IndexMap::new(),
            synced: Synced {
                meta,
                ..Synced::default()
            },
            queue: VecDeque::new(),
        }
    }

    /// What the host's clock shows.
    pub(crate) fn local(&self, now: Time) -> Time {
        let seen = now - self.missed;
        Time::from_micros(seen.as_micros() * self.clock_rate / 1_000)
    }

    /// Queues a save.
    pub(crate) fn save(&mut self, persist: Persist) {
        self.queue.push_back(Job::Save {
            persist_id: persist.id,
            hard_state: persist.hard_state,
            entries: persist.entries,
        });
    }

    /// Queues a snapshot from the leader and takes it as the state.
    pub(crate) fn restore(
        &mut self,
        persist_id: PersistId,
        meta: SnapshotMeta,
        state: Applied,
        keep: bool,
    ) {
        self.state = state;
        self.queue.push_back(Job::Restore {
            persist_id,
            meta,
            state,
            keep,
        });
    }

    /// Whether saves are not synced.
    pub(crate) fn is_dirty(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Syncs the first `count` saves and returns the identifier of the last one.
    pub(crate) fn sync(&mut self, count: usize) -> Option<PersistId> {
        let mut done = None;
        for _ in 0..count {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            let (Job::Save { persist_id, .. } | Job::Restore { persist_id, .. }) = &job;
            done = Some(*persist_id);
            self.synced.carry_out(job);
        }
        done
    }

    /// Syncs a snapshot of the replica's own state and tells its index.
    pub(crate) fn snapshot(&mut self) -> Option<LogIndex> {
        let meta = self.replica.as_ref()?.snapshot_meta(self.state.index)?;
        let index = meta.position.index;
        if index <= self.synced.meta.position.index {
            return None;
        }
        self.synced.entries.retain(|entry| entry.index() > index);
        self.synced.meta = meta;
        self.synced.state = self.state;
        Some(index)
    }

    /// The latest synced snapshot.
    pub(crate) fn latest_snapshot(&self) -> (SnapshotMeta, Applied) {
        (self.synced.meta.clone(), self.synced.state)
    }

    /// Whether an entry is synced here, or was when the disk was lost.
    pub(crate) fn holds(&self, position: Position) -> bool {
        self.synced.holds(position)
    }

    /// The process dies; the first `kept` unsynced saves reached the disk.
    pub(crate) fn crash(&mut self, kept: usize) {
        self.sync(kept);
        self.queue.clear();
        self.replica = None;
        self.proposals.clear();
        self.reads.clear();
    }

    /// The process starts again with what was synced.
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
        self.replica = Some(Replica::restart(node, restart, cfg, seed, now));
    }

    /// Hashes all that decides what the host does next, but for the time.
    pub(crate) fn shape(&self, state: &mut impl Hasher) {
        (self.synced.clone(), self.lost, self.state).hash(state);
        self.queue.iter().for_each(|job| job.hash(state));
        if let Some(replica) = &self.replica {
            replica.shape(state);
        }
    }
}
