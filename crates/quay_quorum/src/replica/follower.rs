//! Follower: handles entries, heartbeats and snapshots from the leader.

use {
    super::Replica,
    crate::{Action, AppendOutcome, Entry, Message, Position, SnapshotMeta, memory_log::MemoryLog},
    quay_types::{LogIndex, NodeId},
};

impl Replica {
    /// Appends entries from the leader and answers once they are persisted.
    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        prev: Position,
        entries: Vec<Entry>,
        commit: LogIndex,
    ) {
        let outcome = if let Some(hint) = self.check_match(prev) {
            AppendOutcome::Rejected {
                prev: prev.index,
                hint,
            }
        } else {
            let matched = LogIndex(prev.index.0 + entries.len() as u64);
            self.append_entries(entries);
            self.commit_to(commit.min(matched));
            AppendOutcome::Matched(matched)
        };
        let term = self.hard_state.term;
        self.send_when_persisted(from, Message::AppendReply { term, outcome });
    }

    /// Checks that this log contains `prev`. Otherwise returns the last index
    /// up to which the logs may be equal.
    fn check_match(&self, prev: Position) -> Option<LogIndex> {
        // Committed entries are the same in all logs.
        if prev.index <= self.commit {
            return None;
        }
        match self.log.term(prev.index) {
            Some(term) if term == prev.term => None,
            Some(_) => {
                let first = self.log.first_of_term(prev.index);
                Some(LogIndex(first.0 - 1).max(self.commit))
            }
            None => Some(self.log.last().index),
        }
    }

    /// Appends the new entries and replaces conflicting ones.
    fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let index = entry.index();
            if index <= self.log.base().index {
                continue;
            }
            match self.log.term(index) {
                Some(term) if term == entry.position.term => continue,
                Some(_) => self.truncate(index),
                None => {}
            }
            self.log.push(entry);
        }
    }

    /// Adopts the commit index of a heartbeat and answers it.
    pub(super) fn on_heartbeat(&mut self, from: NodeId, commit: LogIndex, round: u64) {
        self.commit_to(commit);
        let term = self.hard_state.term;
        self.send(from, Message::HeartbeatReply { term, round });
    }

    /// Installs a snapshot if it is ahead of the commit index.
    pub(super) fn on_snapshot(&mut self, from: NodeId, meta: SnapshotMeta, data: Box<[u8]>) {
        let index = meta.position.index;
        if index > self.commit {
            self.restore(meta, data);
        }
        let term = self.hard_state.term;
        let outcome = AppendOutcome::Matched(index);
        self.send_when_persisted(from, Message::AppendReply { term, outcome });
    }

    /// Replaces the state, and the log as far as needed, by a snapshot.
    fn restore(&mut self, meta: SnapshotMeta, data: Box<[u8]>) {
        let index = meta.position.index;
        // If the log contains the snapshot's last entry, later entries may
        // count towards a quorum and must be kept.
        let keep = self.log.term(index) == Some(meta.position.term);
        // Pending entries must be written before the snapshot.
        self.flush_writes();
        if keep {
            self.log.compact(index);
        } else {
            self.truncate(LogIndex(self.commit.0 + 1));
            self.log = MemoryLog::new(meta.clone(), []);
            self.write_issued = index;
        }
        self.commit = index;
        self.applied = index;
        let persist_id = self.allocate_persist_id(self.write_issued);
        self.out.push(Action::Restore {
            persist_id,
            meta,
            data,
            keep,
        });
    }
}
