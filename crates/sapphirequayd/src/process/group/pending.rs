//! Pending requests: proposals that wait for their commit, and reads that wait
//! for a quorum.

use {
    super::{GroupError, MembershipChangeError},
    indexmap::IndexMap,
    quay_quorum::StateMachine,
    quay_types::{Epoch, LogIndex},
    std::{collections::VecDeque, sync::mpsc::SyncSender},
};

/// Reply channel of a proposal.
pub enum Waiter<M: StateMachine> {
    /// The proposal is a command.
    Command(SyncSender<Result<M::Reply, GroupError>>),
    /// The proposal is a membership change.
    Change(SyncSender<Result<(), MembershipChangeError>>),
}

impl<M: StateMachine> Waiter<M> {
    /// Replies that the proposal may still be committed.
    fn reply_unknown(self) {
        match self {
            Self::Command(reply) => drop(reply.send(Err(GroupError::Unknown))),
            Self::Change(reply) => drop(reply.send(Err(MembershipChangeError::Unknown))),
        }
    }
}

/// A proposal that is not committed yet.
struct Proposal<M: StateMachine> {
    index: LogIndex,
    term: Epoch,
    waiter: Waiter<M>,
}

/// A read that no quorum has confirmed yet.
struct Read<M: StateMachine> {
    query: M::Query,
    reply: SyncSender<Result<M::Answer, GroupError>>,
}

/// Requests of a replica that are not answered yet.
pub struct PendingRequests<M: StateMachine> {
    /// In ascending order of log index.
    proposals: VecDeque<Proposal<M>>,
    /// By tag.
    reads: IndexMap<u64, Read<M>>,
}

impl<M: StateMachine> Default for PendingRequests<M> {
    fn default() -> Self {
        Self {
            proposals: VecDeque::new(),
            reads: IndexMap::new(),
        }
    }
}

impl<M: StateMachine> PendingRequests<M> {
    /// Adds a proposal that was appended to the log at `index` in `term`.
    pub fn add_proposal(&mut self, index: LogIndex, term: Epoch, waiter: Waiter<M>) {
        self.proposals.push_back(Proposal {
            index,
            term,
            waiter,
        });
    }

    /// Adds a read that waits for confirmation by a quorum.
    pub fn add_read(
        &mut self,
        tag: u64,
        query: M::Query,
        reply: SyncSender<Result<M::Answer, GroupError>>,
    ) {
        self.reads.insert(tag, Read { query, reply });
    }

    /// Removes and returns the waiter for the entry committed at `index`, if the
    /// entry was proposed here.
    pub fn take_committed(&mut self, index: LogIndex, term: Epoch) -> Option<Waiter<M>> {
        let next = self
            .proposals
            .pop_front_if(|proposal| proposal.index <= index)?;
        (next.index == index && next.term == term).then_some(next.waiter)
    }

    /// Answers a read that a quorum has confirmed.
    pub fn confirm_read(&mut self, tag: u64, machine: &M) {
        if let Some(read) = self.reads.swap_remove(&tag) {
            let _ = read.reply.send(Ok(machine.query(&read.query)));
        }
    }

    /// Answers a read that the replica refused.
    pub fn refuse_read(&mut self, tag: u64, err: GroupError) {
        if let Some(read) = self.reads.swap_remove(&tag) {
            let _ = read.reply.send(Err(err));
        }
    }

    /// Fails all pending requests: proposals as unknown, since another leader
    /// may still commit them, and reads with `read_error`.
    pub fn fail_all(&mut self, read_error: GroupError) {
        for proposal in self.proposals.drain(..) {
            proposal.waiter.reply_unknown();
        }
        for (_, read) in self.reads.drain(..) {
            let _ = read.reply.send(Err(read_error));
        }
    }
}
