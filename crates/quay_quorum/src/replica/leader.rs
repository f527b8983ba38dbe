//! Leader: replicates entries, sends heartbeats, and advances the commit index
//! by the answers.

use {
    super::{Replica, Role},
    crate::{
        Action, AppendOutcome, Message, Position,
        progress::{Progress, Sending, SnapshotTransfer},
    },
    quay_types::{LogIndex, NodeId, Time},
};

impl Replica {
    /// Adds and removes progress records to match the other members.
    pub(super) fn sync_progress(&mut self, now: Time) {
        let members = self.log.members().1;
        let node = self.node;
        let others: Vec<NodeId> = members
            .all()
            .map(|member| member.node)
            .filter(|member| *member != node)
            .collect();
        let next = LogIndex(self.log.last().index.0 + 1);
        self.leader_state
            .progress
            .retain(|peer, _| others.contains(peer));
        for peer in others {
            let entry = self.leader_state.progress.entry(peer);
            entry.or_insert_with(|| Progress::new(next, now));
        }
    }

    // -----------------------------------------------------------------------
    // Sending

    /// Sends the heartbeats and entries that are due.
    pub(super) fn flush_leader(&mut self, now: Time) {
        if self.leader_state.read_pending || now >= self.leader_state.heartbeat_due {
            self.send_heartbeats(now);
        }
        let peers: Vec<NodeId> = self.leader_state.progress.keys().copied().collect();
        for peer in peers {
            self.send_entries(now, peer);
        }
        // A single voter is a quorum by itself and receives no answers.
        self.advance_commit(now);
        self.confirm_reads();
    }

    /// Starts a heartbeat round. The answers confirm the reads that were
    /// requested before the round.
    fn send_heartbeats(&mut self, now: Time) {
        self.leader_state.round += 1;
        self.leader_state.read_pending = false;
        self.leader_state.heartbeat_due = now + self.cfg.heartbeat;
        let (term, round) = (self.hard_state.term, self.leader_state.round);
        for (peer, progress) in &self.leader_state.progress {
            let message = Message::Heartbeat {
                term,
                commit: self.commit.min(progress.matched),
                round,
            };
            self.out.push(Action::Send { to: *peer, message });
        }
    }

    /// Sends a peer the entries or the snapshot that it lacks, within the limit
    /// on messages in flight.
    fn send_entries(&mut self, now: Time, peer: NodeId) {
        let Some(mut progress) = self.leader_state.progress.get(&peer).cloned() else {
            return;
        };
        self.restart_if_overdue(now, &mut progress);
        while self.may_send(&progress) {
            let before = LogIndex(progress.next.0 - 1);
            let Some(term) = self.log.term(before) else {
                progress.sending = Sending::Snapshot(SnapshotTransfer::new(now));
                let term = self.hard_state.term;
                self.out.push(Action::SendSnapshot { to: peer, term });
                break;
            };
            let prev = Position {
                term,
                index: before,
            };
            let entries = self
                .log
                .range(before, self.log.last().index, self.cfg.max_batch_bytes);
            progress.next.0 += entries.len() as u64;
            progress.in_flight += 1;
            progress.last_activity = now;
            let message = Message::Append {
                term: self.hard_state.term,
                prev,
                entries,
                commit: self.commit,
            };
            self.send(peer, message);
        }
        self.leader_state.progress.insert(peer, progress);
    }

    /// Restarts sending if messages were not acknowledged in time.
    fn restart_if_overdue(&self, now: Time, progress: &mut Progress) {
        let overdue = match progress.sending {
            Sending::Snapshot(transfer) => transfer.is_overdue(now, &self.cfg),
            Sending::Probe | Sending::Pipeline => {
                progress.in_flight > 0 && now.since(progress.last_activity) >= self.cfg.resend
            }
        };
        if overdue {
            progress.restart_from(LogIndex(progress.matched.0 + 1));
        }
    }

    /// Whether an append message may be sent now.
    fn may_send(&self, progress: &Progress) -> bool {
        match progress.sending {
            Sending::Probe => progress.in_flight == 0,
            Sending::Pipeline => {
                progress.next <= self.log.last().index
                    && progress.in_flight < self.cfg.max_in_flight
            }
            Sending::Snapshot(_) => false,
        }
    }

    // -----------------------------------------------------------------------
    // Answers

    /// Records that a peer has answered. Returns the peer's progress, or `None`
    /// if this replica does not lead or the peer is not a member.
    fn record_answer(&mut self, now: Time, peer: NodeId) -> Option<&mut Progress> {
        if self.role != Role::Leader {
            return None;
        }
        let progress = self.leader_state.progress.get_mut(&peer)?;
        progress.last_heard = now;
        Some(progress)
    }

    /// Handles the result of an append at a peer.
    pub(super) fn on_append_reply(&mut self, now: Time, from: NodeId, outcome: AppendOutcome) {
        let Some(progress) = self.record_answer(now, from) else {
            return;
        };
        match outcome {
            AppendOutcome::Matched(index) => {
                progress.record_match(index, now);
                self.advance_commit(now);
            }
            AppendOutcome::Rejected { prev, hint } => progress.handle_rejection(prev, hint),
        }
    }

    /// Handles the answer to a heartbeat.
    pub(super) fn on_heartbeat_reply(&mut self, now: Time, from: NodeId, round: u64) {
        let Some(progress) = self.record_answer(now, from) else {
            return;
        };
        progress.record_round(round, now);
        self.confirm_reads();
    }

    /// Records that a snapshot was queued for a peer.
    pub(super) fn on_snapshot_queued(&mut self, peer: NodeId) {
        let round = self.leader_state.round;
        if let Some(progress) = self.leader_state.progress.get_mut(&peer)
            && let Sending::Snapshot(transfer) = &mut progress.sending
        {
            transfer.record_queued(round);
        }
    }

    /// Commits the entries that a quorum has persisted. Steps down once the
    /// removal of this replica from the group is committed.
    pub(super) fn advance_commit(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let index = self.log.members().1.quorum_value(|node| {
            if node == self.node {
                return self.persisted_index;
            }
            let progress = self.leader_state.progress.get(&node);
            progress.map_or(LogIndex(0), |progress| progress.matched)
        });
        // An entry of an earlier term can still be replaced even if a quorum
        // has persisted it. It is committed only together with an entry of the
        // current term.
        if self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_to(index);
        let removed = self.log.members().1.get(self.node).is_none();
        if removed && self.log.members().0 <= self.commit {
            let term = self.hard_state.term;
            self.become_follower(now, term, None);
        }
    }

    /// Answers the reads whose heartbeat round a quorum has confirmed.
    pub(super) fn confirm_reads(&mut self) {
        let confirmed = self.quorum_round();
        while let Some(read) = self
            .leader_state
            .reads
            .pop_front_if(|read| read.round <= confirmed)
        {
            assert!(
                read.index <= self.applied,
                "entries up to the read index must be applied"
            );
            self.out.push(Action::ReadReady {
                tag: read.tag,
                index: read.index,
            });
        }
    }

    /// Returns the latest heartbeat round that a quorum has answered.
    fn quorum_round(&self) -> u64 {
        self.log.members().1.quorum_value(|node| {
            if node == self.node {
                return self.leader_state.round;
            }
            let progress = self.leader_state.progress.get(&node);
            progress.map_or(0, |progress| progress.round)
        })
    }

    // -----------------------------------------------------------------------
    // Check-quorum

    /// Returns the time of the last contact with a quorum.
    pub(super) fn last_quorum_contact(&self, now: Time) -> Time {
        self.log.members().1.quorum_value(|node| {
            if node == self.node {
                return now;
            }
            let progress = self.leader_state.progress.get(&node);
            progress.map_or(Time::ZERO, |progress| progress.last_heard)
        })
    }

    /// Steps down if no quorum has answered within the election timeout.
    pub(super) fn check_quorum(&mut self, now: Time) {
        if now.since(self.last_quorum_contact(now)) >= self.cfg.election {
            let term = self.hard_state.term;
            self.become_follower(now, term, None);
        }
    }

    /// Steps down if too many entries wait for the disk: the log of another leader does
    /// not grow in this replica's memory, since it sends only a few unacknowledged
    /// messages.
    pub(super) fn check_disk(&mut self, now: Time) {
        if self.role == Role::Leader && self.disk_lags() {
            let term = self.hard_state.term;
            self.become_follower(now, term, None);
        }
    }
}
