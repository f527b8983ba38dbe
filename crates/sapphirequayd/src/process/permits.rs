//! The actor that holds a sidecar's permits.

use {
    crate::process::Actor,
    quay_ledger::PermitRegistry,
    quay_types::{CallEvent, Incarnation, Permit, PermitId, PermitStatus, Time},
    std::{sync::mpsc::SyncSender, time::Duration},
};

/// What the holder of permits is told.
pub enum PermitMsg {
    /// An attempt shows its permit; an error is the event to answer with.
    Admit(Option<Permit>, SyncSender<Result<PermitId, CallEvent>>),
    /// An admitted attempt was turned away before it ran.
    Refuse(PermitId),
    /// An admitted attempt has ended.
    End(PermitId, Option<CallEvent>),
    /// Somebody asks what became of a permit.
    Query {
        /// The permit.
        id: PermitId,
        /// Run of the sidecar that it was for.
        incarnation: Incarnation,
        /// Takes the answer.
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
