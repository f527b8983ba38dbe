//! Client requests: proposals, reads and membership changes.

use {
    super::{PendingRead, Replica, Role},
    crate::{
        Action, Entry, MembershipChange, Mutation, Payload, Position, Refusal, progress::Progress,
    },
    quay_types::{LogIndex, NodeId, Time},
};

impl Replica {
    /// Returns the reason to refuse any request now, or `None` if requests are
    /// accepted.
    fn refusal(&self, now: Time) -> Option<Refusal> {
        if self.role != Role::Leader {
            return Some(Refusal::NotLeader(self.leader));
        }
        let quorum_lost = now.since(self.last_quorum_contact(now)) >= self.cfg.quorum_timeout;
        quorum_lost.then_some(Refusal::NoQuorum)
    }

    /// Answers a request with a refusal.
    fn refuse(&mut self, tag: u64, refusal: Refusal) {
        self.out.push(Action::Refused { tag, refusal });
    }

    /// Appends an entry of the current term and reports its position.
    fn append(&mut self, tag: u64, payload: Payload) {
        let position = Position {
            term: self.hard_state.term,
            index: LogIndex(self.log.last().index.0 + 1),
        };
        self.log.push(Entry { position, payload });
        self.out.push(Action::Proposed {
            tag,
            index: position.index,
            term: position.term,
        });
    }

    /// Proposes a command.
    pub(super) fn propose(&mut self, now: Time, tag: u64, command: Box<[u8]>) {
        let waiting = || self.log.bytes_after(self.commit) > self.cfg.max_waiting_bytes;
        let backlog = || waiting().then_some(Refusal::NoQuorum);
        match self.refusal(now).or_else(backlog) {
            Some(refusal) => self.refuse(tag, refusal),
            None => self.append(tag, Payload::Command(command)),
        }
    }

    /// Queues a linearizable read. The read is answered once a quorum has
    /// answered a heartbeat sent after the request, which shows that no later
    /// leader had been elected when the read was requested.
    pub(super) fn read(&mut self, now: Time, tag: u64) {
        if let Some(refusal) = self.refusal(now) {
            return self.refuse(tag, refusal);
        }
        if self.commit < self.leader_state.first {
            return self.refuse(tag, Refusal::NotReady);
        }
        let index = self.commit;
        if self.cfg.mutation == Mutation::ReadWithoutQuorum {
            return self.out.push(Action::ReadReady { tag, index });
        }
        let round = self.leader_state.round + 1;
        self.leader_state
            .reads
            .push_back(PendingRead { tag, index, round });
        self.leader_state.read_pending = true;
    }

    /// Proposes a membership change.
    pub(super) fn change(&mut self, now: Time, tag: u64, change: &MembershipChange) {
        if let Some(refusal) = self
            .refusal(now)
            .or_else(|| self.change_refusal(now, change))
        {
            return self.refuse(tag, refusal);
        }
        match self.log.members().1.with_change(change) {
            Some(members) => {
                self.append(tag, Payload::Members(members));
                self.sync_progress(now);
            }
            None => self.refuse(tag, Refusal::InvalidChange),
        }
    }

    /// Returns the reason to refuse a membership change now, or `None` if the
    /// change may be proposed.
    fn change_refusal(&self, now: Time, change: &MembershipChange) -> Option<Refusal> {
        // The latest membership must be committed, and an entry of the current
        // term too: otherwise two leaders could each change the same
        // membership.
        if self.commit < self.leader_state.first {
            return Some(Refusal::NotReady);
        }
        if self.log.members().0 > self.commit {
            return Some(Refusal::ChangeInProgress);
        }
        match change {
            MembershipChange::Promote(node) if !self.caught_up(now, *node) => {
                Some(Refusal::LearnerBehind)
            }
            _ => None,
        }
    }

    /// Whether a learner is reachable and lacks at most
    /// `Settings::max_promotion_lag` entries.
    fn caught_up(&self, now: Time, node: NodeId) -> bool {
        let progress = self.leader_state.progress.get(&node);
        progress.is_some_and(|progress| {
            self.lacks_few_entries(progress) && now.since(progress.last_heard) < self.cfg.election
        })
    }

    /// Whether a peer lacks at most `Settings::max_promotion_lag` entries.
    fn lacks_few_entries(&self, progress: &Progress) -> bool {
        let lag = self.log.last().index.0.saturating_sub(progress.matched.0);
        lag <= self.cfg.max_promotion_lag
    }

    /// Peers that lack at most `Settings::max_promotion_lag` entries.
    pub(super) fn caught_up_members(&self) -> Vec<NodeId> {
        let peers = self.leader_state.progress.iter();
        let peers = peers.filter(|(_, progress)| self.lacks_few_entries(progress));
        peers.map(|(node, _)| *node).collect()
    }
}
