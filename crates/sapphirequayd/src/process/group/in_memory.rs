//! A group with a single replica in memory, for demos and tests.

use {
    super::{GroupMsg, MembershipChangeError},
    crate::process::Actor,
    quay_quorum::StateMachine,
    quay_types::{Epoch, LogIndex, Time},
    std::time::Duration,
};

/// Actor of a group with a single replica in memory. Every command commits at
/// once; the state is lost when the process ends.
pub struct InMemoryGroup<M> {
    machine: M,
    index: LogIndex,
}

impl<M: StateMachine> InMemoryGroup<M> {
    /// Creates a group with the initial state `machine`.
    pub const fn new(machine: M) -> Self {
        Self {
            machine,
            index: LogIndex(0),
        }
    }
}

impl<M: StateMachine> Actor for InMemoryGroup<M> {
    type Msg = GroupMsg<M>;

    const TICK: Duration = Duration::from_millis(20);

    fn handle(&mut self, _: Time, msg: GroupMsg<M>) {
        match msg {
            GroupMsg::Propose { command, reply } => {
                self.index.0 += 1;
                let _ = reply.send(Ok(self.machine.apply(self.index, Epoch(1), command)));
            }
            GroupMsg::Read { query, reply } => drop(reply.send(Ok(self.machine.query(&query)))),
            GroupMsg::Change { reply, .. } => {
                let _ = reply.send(Err(MembershipChangeError::Refused(
                    "the group is in memory".into(),
                )));
            }
            GroupMsg::Status(reply) => drop(reply.send(None)),
            GroupMsg::Stop | GroupMsg::Event(_) => {}
        }
    }

    fn tick(&mut self, _: Time) {}
}
