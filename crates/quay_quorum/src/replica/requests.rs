//! Proposals, reads and changes of members.

use {
    super::{OpenRead, Replica, Role},
    crate::{Action, Entry, MembershipChange, Mutation, Payload, Position, Refusal},
    quay_types::{LogIndex, NodeId, Time},
};

impl Replica {
    /// Why a request can't be taken now, if so.
    fn refusal(&self, now: Time) -> Option<Refusal> {
        if self.role != Role::Leader {
            return Some(Refusal::NotLeader(self.leader));
        }
        let silent = now.since(self.quorum_heard(now)) >= self.cfg.quorum_timeout;
        silent.then_some(Refusal::NoQuorum)
    }

    /// Refuses a request.
    fn refuse(&mut self, tag: u64, refusal: Refusal) {
        self.out.push(Action::Refused { tag, refusal });
    }

    /// Adds an entry of this term and tells its place.
    fn add(&mut self, tag: u64, payload: Payload) {
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

    /// Takes a command.
    pub(super) fn propose(&mut self, now: Time, tag: u64, command: Box<[u8]>) {
        match self.refusal(now) {
            Some(refusal) => self.refuse(tag, refusal),
            None => self.add(tag, Payload::Command(command)),
        }
    }

    /// Takes a read: it is answered once a quorum has shown after this moment
    /// that it knows no later leader.
    pub(super) fn read(&mut self, now: Time, tag: u64) {
        if let Some(refusal) = self.refusal(now) {
            return self.refuse(tag, refusal);
        }
        if self.commit < self.lead.first {
            return self.refuse(tag, Refusal::NotReady);
        }
        let index = self.commit;
        if self.cfg.mutation == Mutation::ReadWithoutQuorum {
            return self.out.push(Action::ReadReady { tag, index });
        }
        let round = self.lead.round + 1;
        self.lead.reads.push_back(OpenRead { tag, index, round });
        self.lead.read_pending = true;
    }

    /// Takes a change of the members.
    pub(super) fn change(&mut self, now: Time, tag: u64, change: &MembershipChange) {
        if let Some(refusal) = self
            .refusal(now)
            .or_else(|| self.change_refusal(now, change))
        {
            return self.refuse(tag, refusal);
        }
        match self.log.members().1.with_change(change) {
            Some(members) => {
                self.add(tag, Payload::Members(members));
                self.sync_progress(now);
            }
            None => self.refuse(tag, Refusal::InvalidChange),
        }
    }

    /// Why a change can't be taken now, if so.
    fn change_refusal(&self, now: Time, change: &MembershipChange) -> Option<Refusal> {
        // The latest members must be committed, by an entry of this term:
        // otherwise two leaders could change the same members.
        if self.commit < self.lead.first {
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

    /// Whether a learner answers and holds nearly every entry.
    fn caught_up(&self, now: Time, node: NodeId) -> bool {
        self.lead.progress.get(&node).is_some_and(|progress| {
            let lag = self.log.last().index.0.saturating_sub(progress.matched.0);
            lag <= self.cfg.max_promotion_lag && now.since(progress.heard) < self.cfg.election
        })
    }
}
