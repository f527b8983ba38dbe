//! Requests that wait for a commit or a quorum.

use {
    super::{GroupError, MembershipChangeError},
    indexmap::IndexMap,
    quay_quorum::StateMachine,
    quay_types::{Epoch, LogIndex},
    std::{collections::VecDeque, sync::mpsc::SyncSender},
};

/// Who waits for a proposal.
pub enum Waiter<M: StateMachine> {
    /// Someone who proposed a command.
    Command(SyncSender<Result<M::Reply, GroupError>>),
    /// Someone who changes the members.
    Change(SyncSender<Result<(), MembershipChangeError>>),
}

impl<M: StateMachine> Waiter<M> {
    /// The proposal may yet be carried out.
    fn unknown(self) {
        match self {
            Self::Command(reply) => drop(reply.send(Err(GroupError::Unknown))),
            Self::Change(reply) => drop(reply.send(Err(MembershipChangeError::Unknown))),
        }
    }
}

/// A proposal that is not committed.
struct Proposal<M: StateMachine> {
    index: LogIndex,
    term: Epoch,
    waiter: Waiter<M>,
}

/// A read that is not confirmed.
struct Read<M: StateMachine> {
    query: M::Query,
    reply: SyncSender<Result<M::Answer, GroupError>>,
}

/// Requests that wait.
pub struct Waiting<M: StateMachine> {
    /// In the order of their indices.
    proposals: VecDeque<Proposal<M>>,
    reads: IndexMap<u64, Read<M>>,
}

impl<M: StateMachine> Default for Waiting<M> {
    fn default() -> Self {
        Self {
            proposals: VecDeque::new(),
            reads: IndexMap::new(),
        }
    }
}

impl<M: StateMachine> Waiting<M> {
    /// A proposal has its place.
    pub fn propose(&mut self, index: LogIndex, term: Epoch, waiter: Waiter<M>) {
        self.proposals.push_back(Proposal {
            index,
            term,
            waiter,
        });
    }

    /// A read waits for its quorum.
    pub fn read(
        &mut self,
        tag: u64,
        query: M::Query,
        reply: SyncSender<Result<M::Answer, GroupError>>,
    ) {
        self.reads.insert(tag, Read { query, reply });
    }

    /// Who proposed the entry that was committed at `index`.
    pub fn committed(&mut self, index: LogIndex, term: Epoch) -> Option<Waiter<M>> {
        let next = self
            .proposals
            .pop_front_if(|proposal| proposal.index <= index)?;
        (next.index == index && next.term == term).then_some(next.waiter)
    }

    /// A read is confirmed.
    pub fn confirmed(&mut self, tag: u64, machine: &M) {
        if let Some(read) = self.reads.swap_remove(&tag) {
            let _ = read.reply.send(Ok(machine.query(&read.query)));
        }
    }

    /// A read is refused.
    pub fn refused(&mut self, tag: u64, err: GroupError) {
        if let Some(read) = self.reads.swap_remove(&tag) {
            let _ = read.reply.send(Err(err));
        }
    }

    /// The replica no longer leads: proposals may yet commit elsewhere.
    pub fn give_up(&mut self, read_error: GroupError) {
        for proposal in self.proposals.drain(..) {
            proposal.waiter.unknown();
        }
        for (_, read) in self.reads.drain(..) {
            let _ = read.reply.send(Err(read_error));
        }
    }
}
