//! Message delivery, and the commands that the ledger commits.

use {
    crate::faults::{
        Promise, Score,
        calls::world::{CallWorld, Message, Stream},
        random::{chance, draw},
    },
    quay_ledger::{Command, Op, Reply},
    quay_quorum::StateMachine as _,
    quay_types::{Epoch, Permit, PermitStatus, Time},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

impl CallWorld {
    /// Sends a message, which may be lost or delayed.
    pub(super) fn send_message(&mut self, message: &Message, rng: &mut ChaCha8Rng) {
        if chance(rng, 20) {
            return;
        }
        let delay = if chance(rng, 20) {
            draw(rng, 8_000)
        } else {
            draw(rng, 30)
        };
        // A command to the ledger may be duplicated; streams deliver at most
        // once.
        let command = matches!(message, Message::Begin(..) | Message::Settle(..));
        let copies = if command && chance(rng, 20) { 2 } else { 1 };
        for copy in 0..copies {
            let due = self.now + Duration::from_millis(delay + copy * draw(rng, 4_000));
            self.in_flight.push((due, message.clone()));
        }
    }

    /// Delivers due messages; messages to a frozen receiver are postponed.
    pub(super) fn deliver_due(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        let now = self.now;
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |(due, _)| *due <= now)
            .collect();
        for (_, message) in due {
            match self.frozen_receiver_until(&message) {
                Some(until) => self.in_flight.push((until, message)),
                None => self.receive(message, rng, score),
            }
        }
    }

    /// Returns the time at which the receiver of a message unfreezes, or `None`
    /// if the receiver is not frozen.
    pub(super) fn frozen_receiver_until(&self, message: &Message) -> Option<Time> {
        let until = match message {
            Message::Begin(..) | Message::Settle(..) => return None,
            Message::Deliver(_, permit)
            | Message::Proceed(_, permit)
            | Message::QueryPermit(_, permit) => {
                let sidecar = self
                    .sidecars
                    .iter()
                    .find(|it| it.upstream == permit.upstream);
                sidecar.map(|it| it.frozen_until)
            }
            Message::Ready(stream, _)
            | Message::Begun(stream, _)
            | Message::Settled(stream, _)
            | Message::Ended(stream, _)
            | Message::PermitStatus(stream, _) => {
                self.current_request(*stream).map(|it| it.frozen_until)
            }
        };
        until.filter(|until| *until > self.now)
    }

    /// Dispatches a message to its handler.
    pub(super) fn receive(&mut self, message: Message, rng: &mut ChaCha8Rng, score: &mut Score) {
        match message {
            Message::Begin(stream, begin) => {
                if let Reply::Begin(reply) = self.apply(Op::Begin(begin)) {
                    self.send_message(&Message::Begun(stream, reply), rng);
                }
            }
            Message::Settle(stream, settle) => {
                let reply = self.apply(Op::Settle(settle));
                self.send_message(&Message::Settled(stream, reply), rng);
            }
            Message::Ready(stream, permit) => self.confirm(stream, permit, rng),
            Message::Proceed(stream, permit) => self.proceed(stream, &permit, score),
            Message::Deliver(stream, permit) => self.admit(stream, permit, rng, score),
            Message::QueryPermit(stream, permit) => self.answer_permit_query(stream, &permit, rng),
            Message::Begun(stream, reply) => self.handle_begin_reply(stream, reply, rng, score),
            Message::Settled(stream, reply) => self.handle_settle_reply(stream, reply, rng, score),
            Message::Ended(stream, outcome) => self.handle_attempt_ended(stream, outcome, rng),
            Message::PermitStatus(stream, status) => self.handle_permit_status(stream, status, rng),
        }
    }

    /// Answers a permit query at its sidecar.
    pub(super) fn answer_permit_query(
        &mut self,
        stream: Stream,
        permit: &Permit,
        rng: &mut ChaCha8Rng,
    ) {
        let mutated = self.is_mutated(Promise::NotRun);
        let Some(sidecar) = self
            .sidecars
            .iter_mut()
            .find(|it| it.upstream == permit.upstream)
        else {
            return;
        };
        let status = if mutated {
            PermitStatus::Refused
        } else {
            sidecar.permit_status(permit)
        };
        self.send_message(&Message::PermitStatus(stream, status), rng);
    }

    /// Applies a command to the ledger.
    pub(super) fn apply(&mut self, op: Op) -> Reply {
        self.index.0 += 1;
        let command = Command {
            at_ms: self.now.as_millis(),
            op,
        };
        self.ledger.apply(self.index, Epoch(1), command)
    }
}
