//! One host of the check: a replica, its disk and its state.

use {
    crate::{
        Entry, HardState, Persist, Position, Replica, Restart, Settings, SnapshotMark, Ticket,
        check::judge::Applied,
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
        ticket: Ticket,
        hard: Option<HardState>,
        entries: Vec<Entry>,
    },
    Restore {
        ticket: Ticket,
        mark: SnapshotMark,
        state: Applied,
        keep: bool,
    },
}

/// What survives a crash.
#[derive(Debug, Clone, Default, Hash)]
struct Synced {
    hard: HardState,
    mark: SnapshotMark,
    state: Applied,
    entries: Vec<Entry>,
}

impl Synced {
    /// Carries out a save.
    fn carry_out(&mut self, job: Job) {
        match job {
            Job::Save { hard, entries, .. } => {
                self.hard = hard.unwrap_or(self.hard);
                if let Some(first) = entries.first().map(Entry::index) {
                    self.entries.retain(|entry| entry.index() < first);
                }
                self.entries.extend(entries);
            }
            Job::Restore {
                mark, state, keep, ..
            } => {
                let index = mark.position.index;
                self.entries.retain(|entry| keep && entry.index() > index);
                self.mark = mark;
                self.state = state;
            }
        }
    }

    /// Whether an entry or a snapshot that covers it is here.
    fn holds(&self, position: Position) -> bool {
        self.mark.position.index >= position.index
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
        let mark = SnapshotMark {
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
                mark,
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
            ticket: persist.ticket,
            hard: persist.hard,
            entries: persist.entries,
        });
    }

    /// Queues a snapshot from the leader and takes it as the state.
    pub(crate) fn restore(
        &mut self,
        ticket: Ticket,
        mark: SnapshotMark,
        state: Applied,
        keep: bool,
    ) {
        self.state = state;
        self.queue.push_back(Job::Restore {
            ticket,
            mark,
            state,
            keep,
        });
    }

    /// Whether saves are not synced.
    pub(crate) fn is_dirty(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Syncs the first `count` saves and tells the ticket of the last.
    pub(crate) fn sync(&mut self, count: usize) -> Option<Ticket> {
        let mut done = None;
        for _ in 0..count {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            let (Job::Save { ticket, .. } | Job::Restore { ticket, .. }) = &job;
            done = Some(*ticket);
            self.synced.carry_out(job);
        }
        done
    }

    /// Syncs a snapshot of the replica's own state and tells its index.
    pub(crate) fn snapshot(&mut self) -> Option<LogIndex> {
        let mark = self.replica.as_ref()?.mark(self.state.index)?;
        let index = mark.position.index;
        if index <= self.synced.mark.position.index {
            return None;
        }
        self.synced.entries.retain(|entry| entry.index() > index);
        self.synced.mark = mark;
        self.synced.state = self.state;
        Some(index)
    }

    /// The latest synced snapshot.
    pub(crate) fn latest_snapshot(&self) -> (SnapshotMark, Applied) {
        (self.synced.mark.clone(), self.synced.state)
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
        let mark = self.synced.mark.clone();
        let entries = self.synced.entries.iter();
        let restart = Restart {
            hard: self.synced.hard,
            entries: entries
                .filter(|entry| entry.index() > mark.position.index)
                .cloned()
                .collect(),
            mark,
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
