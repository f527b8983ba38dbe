//! Runs the permit registry of a sidecar as an actor.

use {
    crate::process::Actor,
    quay_ledger::PermitRegistry,
    quay_types::{CallEvent, Incarnation, Permit, PermitId, PermitStatus, Time},
    std::{sync::mpsc::SyncSender, time::Duration},
};

/// Messages to the permit registry.
pub enum PermitMsg {
    /// Checks the permit of an attempt. An error is the event to send as the
    /// answer to the attempt.
    Admit(Option<Permit>, SyncSender<Result<PermitId, CallEvent>>),
    /// An admitted attempt was refused before it ran.
    Refuse(PermitId),
    /// An admitted attempt has ended, with its answer if one is to be stored.
    End(PermitId, Option<CallEvent>),
    /// Asks for the status of a permit.
    Query {
        /// Id of the permit.
        id: PermitId,
        /// Incarnation of the sidecar that the permit was issued for.
        incarnation: Incarnation,
        /// Receives the status, and the answer of the attempt if it is stored.
        reply: SyncSender<(PermitStatus, Option<CallEvent>)>,
    },
}

impl Actor for PermitRegistry {
    type Msg = PermitMsg;

    const TICK: Duration = Duration::from_secs(1);

    fn handle(&mut self, _: Time, msg: PermitMsg) {
        match msg {
            PermitMsg::Admit(permit, reply) => drop(reply.send(self.admit(permit.as_ref()))),
            PermitMsg::Refuse(id) => self.refuse(id),
            PermitMsg::End(id, answer) => self.end(id, answer),
            PermitMsg::Query {
                id,
                incarnation,
                reply,
            } => drop(reply.send(self.query(id, incarnation))),
        }
    }

    fn tick(&mut self, _: Time) {}
}
