//! What a leader sends and how it counts the answers.

use {
    super::{Replica, Role},
    crate::{
        Action, AppendOutcome, Message, Position,
        progress::{Progress, Sending},
    },
    quay_types::{LogIndex, NodeId, Time},
};

impl Replica {
    /// Keeps one progress for each other member.
    pub(super) fn sync_progress(&mut self, now: Time) {
        let members = self.log.members().1;
        let node = self.node;
        let others: Vec<NodeId> = members
            .all()
            .map(|member| member.node)
            .filter(|held| *held != node)
            .collect();
        let next = LogIndex(self.log.last().index.0 + 1);
        self.lead.progress.retain(|held, _| others.contains(held));
        for held in others {
            let entry = self.lead.progress.entry(held);
            entry.or_insert_with(|| Progress::new(next, now));
        }
    }

    // -----------------------------------------------------------------------
    // Sending

    /// Sends heartbeats and entries that are due.
    pub(super) fn flush_leader(&mut self, now: Time) {
        if self.lead.read_pending || now >= self.lead.heartbeat_due {
            self.send_heartbeats(now);
        }
        let peers: Vec<NodeId> = self.lead.progress.keys().copied().collect();
        for peer in peers {
            self.send_entries(now, peer);
        }
        // A group of one voter has its quorum at once.
        self.advance_commit(now);
        self.confirm_reads();
    }

    /// Starts a round: each answer confirms the reads that came before it.
    fn send_heartbeats(&mut self, now: Time) {
        self.lead.round += 1;
        self.lead.read_pending = false;
        self.lead.heartbeat_due = now + self.cfg.heartbeat;
        let (term, round) = (self.hard_state.term, self.lead.round);
        for (peer, progress) in &self.lead.progress {
            let message = Message::Heartbeat {
                term,
                commit: self.commit.min(progress.matched),
                round,
            };
            self.out.push(Action::Send { to: *peer, message });
        }
    }

    /// Sends a peer what it lacks, as far as its window allows.
    fn send_entries(&mut self, now: Time, peer: NodeId) {
        let Some(mut progress) = self.lead.progress.get(&peer).cloned() else {
            return;
        };
        self.renew(now, &mut progress);
        while self.may_send(&progress) {
            let before = LogIndex(progress.next.0 - 1);
            let Some(term) = self.log.term(before) else {
                progress.sending = Sending::Snapshot(now);
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
            progress.unanswered += 1;
            progress.moved = now;
            let message = Message::Append {
                term: self.hard_state.term,
                prev,
                entries,
                commit: self.commit,
            };
            self.send(peer, message);
        }
        self.lead.progress.insert(peer, progress);
    }

    /// Starts again after messages that were not answered in time.
    fn renew(&self, now: Time, progress: &mut Progress) {
        let limit = match progress.sending {
            Sending::Snapshot(_) => self.cfg.snapshot_resend,
            Sending::Probe | Sending::Pipeline => self.cfg.resend,
        };
        let since = match progress.sending {
            Sending::Snapshot(at) => at,
            Sending::Probe | Sending::Pipeline => progress.moved,
        };
        let waiting = progress.unanswered > 0 || matches!(progress.sending, Sending::Snapshot(_));
        if waiting && now.since(since) >= limit {
            progress.restart_from(LogIndex(progress.matched.0 + 1));
        }
    }

    /// Whether a message with entries may be sent now.
    fn may_send(&self, progress: &Progress) -> bool {
        match progress.sending {
            Sending::Probe => progress.unanswered == 0,
            Sending::Pipeline => {
                progress.next <= self.log.last().index
                    && progress.unanswered < self.cfg.max_in_flight
            }
            Sending::Snapshot(_) => false,
        }
    }

    // -----------------------------------------------------------------------
    // Answers

    /// Takes that a peer has answered.
    fn hear(&mut self, now: Time, peer: NodeId) -> Option<&mut Progress> {
        if self.role != Role::Leader {
            return None;
        }
        let progress = self.lead.progress.get_mut(&peer)?;
        progress.heard = now;
        Some(progress)
    }

    /// Takes how a peer took entries.
    pub(super) fn on_append_reply(&mut self, now: Time, from: NodeId, outcome: AppendOutcome) {
        let Some(progress) = self.hear(now, from) else {
            return;
        };
        match outcome {
            AppendOutcome::Matched(index) => {
                progress.matched(index, now);
                self.advance_commit(now);
            }
            AppendOutcome::Rejected { prev, hint } => progress.rejected(prev, hint),
        }
    }

    /// Takes the answer to a heartbeat.
    pub(super) fn on_heartbeat_reply(&mut self, now: Time, from: NodeId, round: u64) {
        let Some(progress) = self.hear(now, from) else {
            return;
        };
        progress.round = progress.round.max(round);
        self.confirm_reads();
    }

    /// Commits what a quorum has saved.
    pub(super) fn advance_commit(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let index = self.log.members().1.reached(|node| {
            if node == self.node {
                return self.saved;
            }
            let progress = self.lead.progress.get(&node);
            progress.map_or(LogIndex(0), |progress| progress.matched)
        });
        // An entry of an earlier term may still be replaced although a quorum
        // holds it; it commits with one of this term.
        if self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_to(index);
        let removed = self.log.members().1.get(self.node).is_none();
        if removed && self.log.members().0 <= self.commit {
            let term = self.hard_state.term;
            self.follow(now, term, None);
        }
    }

    /// Answers the reads that a quorum has confirmed.
    pub(super) fn confirm_reads(&mut self) {
        let confirmed = self.quorum_round();
        while let Some(read) = self.lead.reads.pop_front_if(|read| read.round <= confirmed) {
            assert!(
                read.index <= self.applied,
                "a read sees all that was committed"
            );
            self.out.push(Action::ReadReady {
                tag: read.tag,
                index: read.index,
            });
        }
    }

    /// Latest round that a quorum has answered.
    fn quorum_round(&self) -> u64 {
        self.log.members().1.reached(|node| {
            if node == self.node {
                return self.lead.round;
            }
            let progress = self.lead.progress.get(&node);
            progress.map_or(0, |progress| progress.round)
        })
    }

    // -----------------------------------------------------------------------
    // Check-quorum

    /// When a quorum was last heard.
    pub(super) fn quorum_heard(&self, now: Time) -> Time {
        self.log.members().1.reached(|node| {
            if node == self.node {
                return now;
            }
            let progress = self.lead.progress.get(&node);
            progress.map_or(Time::ZERO, |progress| progress.heard)
        })
    }

    /// Steps down if no quorum has answered for an election timeout.
    pub(super) fn check_quorum(&mut self, now: Time) {
        if now.since(self.quorum_heard(now)) >= self.cfg.election {
            let term = self.hard_state.term;
            self.follow(now, term, None);
        }
    }
}
