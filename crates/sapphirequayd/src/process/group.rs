//! One replicated group as the rest of the daemon sees it.
//!
//! Only a single copy in memory so far: every command commits at once.

use {
    crate::process::Machine,
    quay_quorum::StateMachine,
    quay_types::{Epoch, LogIndex, Time},
    std::{net::SocketAddr, sync::mpsc::SyncSender, time::Duration},
};

/// Why a group did not carry out a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupError {
    /// Another replica leads; nothing happened here.
    NotLeader(Option<SocketAddr>),
    /// There is no quorum; nothing happened.
    Unavailable,
    /// The command was proposed, and may yet be carried out.
    Unknown,
}

/// What a group is told.
pub enum GroupMsg<M: StateMachine> {
    /// Carry out a command; the answer comes once it is durable on a quorum.
    Propose {
        /// The command.
        command: M::Command,
        /// Takes the answer.
        reply: SyncSender<Result<M::Reply, GroupError>>,
    },
    /// Answer a query from state that a quorum has confirmed as current.
    Read {
        /// The query.
        query: M::Query,
        /// Takes the answer.
        reply: SyncSender<Result<M::Answer, GroupError>>,
    },
}

/// A replica of a group.
pub struct Group<M> {
    machine: M,
    index: LogIndex,
}

impl<M: StateMachine> Group<M> {
    /// A group that starts with `machine`.
    pub const fn new(machine: M) -> Self {
        Self {
            machine,
            index: LogIndex(0),
        }
    }
}

impl<M: StateMachine> Machine for Group<M> {
    type Msg = GroupMsg<M>;

    const TICK: Duration = Duration::from_millis(20);

    fn handle(&mut self, _: Time, msg: GroupMsg<M>) {
        match msg {
            GroupMsg::Propose { command, reply } => {
                self.index.0 += 1;
                let _ = reply.send(Ok(self.machine.apply(self.index, Epoch(1), command)));
            }
            GroupMsg::Read { query, reply } => drop(reply.send(Ok(self.machine.query(&query)))),
        }
    }

    fn tick(&mut self, _: Time) {}
}
