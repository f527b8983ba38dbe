//! Messages, and the commands that the ledger commits.

use {
    crate::faults::{
        Promise, Score,
        calls::world::{CallWorld, Message, Stream},
        chance::{chance, draw},
    },
    quay_ledger::{Command, Op, Reply},
    quay_quorum::StateMachine as _,
    quay_types::{Epoch, Permit, PermitStatus, Time},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

impl CallWorld {
    /// Sends a message, which may get lost or come late.
    pub(super) fn post(&mut self, message: &Message, rng: &mut ChaCha8Rng) {
        if chance(rng, 20) {
            return;
        }
        let delay = if chance(rng, 20) {
            draw(rng, 8_000)
        } else {
            draw(rng, 30)
        };
        // A command to the ledger may be sent again; streams deliver once.
        let command = matches!(message, Message::Begin(..) | Message::Settle(..));
        let copies = if command && chance(rng, 20) { 2 } else { 1 };
        for copy in 0..copies {
            let due = self.now + Duration::from_millis(delay + copy * draw(rng, 4_000));
            self.wire.push((due, message.clone()));
        }
    }

    /// Delivers what is due; messages to what is frozen wait.
    pub(super) fn deliver_due(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        let now = self.now;
        let due: Vec<_> = self.wire.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, message) in due {
            match self.thaws(&message) {
                Some(until) => self.wire.push((until, message)),
                None => self.receive(message, rng, score),
            }
        }
    }

    /// When the receiver of a message thaws, if it is frozen.
    pub(super) fn thaws(&self, message: &Message) -> Option<Time> {
        let until = match message {
            Message::Begin(..) | Message::Settle(..) => return None,
            Message::Deliver(_, permit)
            | Message::Proceed(_, permit)
            | Message::Inquire(_, permit) => {
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
            | Message::Fate(stream, _) => self.listens(*stream).map(|it| it.frozen_until),
        };
        until.filter(|until| *until > self.now)
    }

    /// Takes one message.
    pub(super) fn receive(&mut self, message: Message, rng: &mut ChaCha8Rng, score: &mut Score) {
        match message {
            Message::Begin(stream, begin) => {
                if let Reply::Begin(reply) = self.apply(Op::Begin(begin)) {
                    self.post(&Message::Begun(stream, reply), rng);
                }
            }
            Message::Settle(stream, settle) => {
                let reply = self.apply(Op::Settle(settle));
                self.post(&Message::Settled(stream, reply), rng);
            }
            Message::Ready(stream, permit) => self.confirm(stream, permit, rng),
            Message::Proceed(stream, permit) => self.proceed(stream, &permit, score),
            Message::Deliver(stream, permit) => self.admit(stream, permit, rng, score),
            Message::Inquire(stream, permit) => self.answer_inquiry(stream, &permit, rng),
            Message::Begun(stream, reply) => self.begun(stream, reply, rng, score),
            Message::Settled(stream, reply) => self.settled(stream, reply, rng, score),
            Message::Ended(stream, outcome) => self.ended(stream, outcome, rng),
            Message::Fate(stream, fate) => self.fate(stream, fate, rng),
        }
    }

    /// A sidecar says what became of a permit.
    pub(super) fn answer_inquiry(&mut self, stream: Stream, permit: &Permit, rng: &mut ChaCha8Rng) {
        let wrong = self.wrong(Promise::NotRun);
        let Some(sidecar) = self
            .sidecars
            .iter_mut()
            .find(|it| it.upstream == permit.upstream)
        else {
            return;
        };
        let fate = if wrong {
            PermitStatus::Refused
        } else {
            sidecar.fate(permit)
        };
        self.post(&Message::Fate(stream, fate), rng);
    }

    /// Commits a command.
    pub(super) fn apply(&mut self, op: Op) -> Reply {
        self.index.0 += 1;
        let command = Command {
            at_ms: self.now.as_millis(),
            op,
        };
        self.ledger.apply(self.index, Epoch(1), command)
    }
}
