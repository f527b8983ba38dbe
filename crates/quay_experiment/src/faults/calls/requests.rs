//! Requests on their way through entries.

use {
    crate::faults::{
        Promise, Score,
        calls::{
            entry::{Request, Waits},
            truth::Told,
            world::{
                CallWorld, MAX_ATTEMPTS, Message, PATIENCE, SIDECARS, Stream, account, key_of,
            },
        },
        chance::draw,
    },
    quay_ledger::{Op, Reply},
    quay_types::{
        Attempt, Begin, BeginReply, CallNumber, ConfigIndex, ContentDigest, Epoch, Error,
        ErrorKind, GroupId, LogIndex, Outcome, Permit, PermitId, PermitStatus, Settle, Tokens,
    },
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

impl CallWorld {
    /// Takes the next step of a request if it is due.
    pub(super) fn go_on(&mut self, id: u64, rng: &mut ChaCha8Rng, score: &mut Score) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.frozen_until > self.now {
            return;
        }
        let overdue = self.now >= request.patience;
        match request.waits.clone() {
            Waits::Turn if overdue => self.ask_to_begin(id, rng),
            // The key is the caller's: an earlier request may have run it.
            Waits::Begin if overdue => self.tell(id, &Told::MayHaveRun, score),
            Waits::Attempt(permit) if overdue => self.inquire(id, permit, rng),
            Waits::Inquiry(permit) if overdue => self.settle_as(id, permit, Outcome::Unknown, rng),
            Waits::Settle(permit, outcome) if overdue => self.settle_as(id, permit, outcome, rng),
            _ => {}
        }
    }

    /// Sets what a request waits for.
    pub(super) fn wait(&mut self, id: u64, waits: Waits, patience: Duration) {
        let until = self.now + patience;
        if let Some(request) = self.requests.get_mut(&id) {
            request.waits = waits;
            request.patience = until;
        }
    }

    /// Opens a stream for a question of a request.
    pub(super) fn ask(&mut self, id: u64, waits: Waits) -> Stream {
        self.wait(id, waits, PATIENCE);
        let request = &mut self.requests[&id];
        request.question += 1;
        Stream {
            request: id,
            question: request.question,
        }
    }

    /// The request that a message is for, if it still listens on that stream.
    pub(super) fn listens(&self, stream: Stream) -> Option<&Request> {
        let request = self.requests.get(&stream.request)?;
        (request.question == stream.question).then_some(request)
    }

    /// Asks the ledger for leave to run.
    pub(super) fn ask_to_begin(&mut self, id: u64, rng: &mut ChaCha8Rng) {
        let slot = usize::try_from(draw(rng, SIDECARS)).unwrap_or_default();
        let sidecar = &self.sidecars[slot];
        let upstream = (sidecar.upstream, sidecar.incarnation);
        let call_slot = self.requests[&id].call;
        let call = &self.calls[call_slot];
        let begin = Begin {
            program: call.program,
            account: account(),
            implicit: None,
            number: Some(CallNumber(call.number)),
            key: key_of(call_slot),
            digest: ContentDigest::of(&[&call_slot.to_le_bytes()]),
            reserve: Tokens(call.reserve),
            idempotent: call.idempotent,
            upstream,
            config: ConfigIndex(1),
            prompt: call_slot.to_le_bytes().into(),
        };
        self.requests[&id].asked = self.now;
        let stream = self.ask(id, Waits::Begin);
        self.post(&Message::Begin(stream, begin), rng);
    }

    /// Acts on the ledger's answer to `begin`.
    pub(super) fn begun(
        &mut self,
        stream: Stream,
        reply: BeginReply,
        rng: &mut ChaCha8Rng,
        score: &mut Score,
    ) {
        let id = stream.request;
        let Some(request) = self.listens(stream) else {
            return;
        };
        let lost = request.lost;
        match reply {
            BeginReply::Granted { permit, .. } => self.deliver(id, permit, rng),
            BeginReply::Wait(_) if self.wrong(Promise::Order) => self.forge(id, rng),
            BeginReply::Wait(ms) => {
                self.wait(id, Waits::Turn, Duration::from_millis(u64::from(ms) * 4));
            }
            BeginReply::Replay(Outcome::Completed { answer, .. }) => {
                self.tell(id, &Told::Whole(answer), score);
            }
            BeginReply::Replay(_) => self.tell(id, &Told::MayHaveRun, score),
            BeginReply::Running(permit) => self.inquire(id, permit, rng),
            BeginReply::Refused(err) => self.refused(id, &err, lost, score),
        }
    }

    /// Hands a permit to its sidecar.
    pub(super) fn deliver(&mut self, id: u64, permit: Permit, rng: &mut ChaCha8Rng) {
        let stream = self.ask(id, Waits::Attempt(permit));
        self.post(&Message::Deliver(stream, permit), rng);
    }

    /// Does not wait, and runs without leave: wrong on purpose.
    pub(super) fn forge(&mut self, id: u64, rng: &mut ChaCha8Rng) {
        let call = self.requests[&id].call;
        let sidecar = &self.sidecars[0];
        let permit = Permit {
            id: PermitId {
                group: GroupId(9),
                index: LogIndex(id),
            },
            key: key_of(call),
            attempt: Attempt(0),
            upstream: sidecar.upstream,
            incarnation: sidecar.incarnation,
            epoch: Epoch(1),
            reserved: Tokens(self.calls[call].reserve),
        };
        self.deliver(id, permit, rng);
    }

    /// Tells the caller that the ledger or the upstreams refused.
    pub(super) fn refused(&mut self, id: u64, err: &Error, lost: u32, score: &mut Score) {
        let told = if lost == 0 && err.kind.not_run() {
            Told::NotRun
        } else {
            Told::MayHaveRun
        };
        let call = self.requests[&id].call;
        let give_up = self.requests[&id].refused > 0 || lost > 0;
        if give_up {
            let program = self.calls[call].program;
            self.apply(Op::GiveUp(program, key_of(call)));
        }
        self.tell(id, &told, score);
    }

    /// Asks a sidecar about a permit.
    pub(super) fn inquire(&mut self, id: u64, permit: Permit, rng: &mut ChaCha8Rng) {
        let known = self
            .sidecars
            .iter()
            .any(|it| it.upstream == permit.upstream && it.incarnation == permit.incarnation);
        if known {
            let stream = self.ask(id, Waits::Inquiry(permit));
            self.post(&Message::Inquire(stream, permit), rng);
        } else {
            // The run that held the permit is gone, and its permits with it.
            self.settle_as(id, permit, Outcome::Unknown, rng);
        }
    }

    /// Acts on what a sidecar says of a permit.
    pub(super) fn fate(&mut self, stream: Stream, fate: PermitStatus, rng: &mut ChaCha8Rng) {
        let id = stream.request;
        let Some(request) = self.listens(stream) else {
            return;
        };
        let Waits::Inquiry(permit) = request.waits else {
            return;
        };
        match fate {
            PermitStatus::Refused => self.settle_as(id, permit, Outcome::NotRun, rng),
            PermitStatus::Running => self.wait(id, Waits::Turn, Duration::from_millis(200)),
            PermitStatus::Ended | PermitStatus::Unknown => {
                self.settle_as(id, permit, Outcome::Unknown, rng);
            }
        }
    }

    /// Asks the ledger to record an outcome.
    pub(super) fn settle_as(
        &mut self,
        id: u64,
        permit: Permit,
        outcome: Outcome,
        rng: &mut ChaCha8Rng,
    ) {
        let program = self.calls[self.requests[&id].call].program;
        let settle = Settle {
            program,
            permit,
            outcome: outcome.clone(),
        };
        let stream = self.ask(id, Waits::Settle(permit, outcome));
        self.post(&Message::Settle(stream, settle), rng);
    }

    /// Acts on what the ledger has recorded.
    pub(super) fn settled(
        &mut self,
        stream: Stream,
        reply: Reply,
        rng: &mut ChaCha8Rng,
        score: &mut Score,
    ) {
        let id = stream.request;
        let Some(request) = self.listens(stream) else {
            return;
        };
        let Waits::Settle(_, outcome) = request.waits.clone() else {
            return;
        };
        let idempotent = self.calls[request.call].idempotent;
        let wrong = self.wrong(Promise::WholeAnswer);
        match (outcome, reply) {
            (Outcome::Completed { answer, .. }, Reply::Superseded(_)) if wrong => {
                self.tell(id, &Told::Whole(answer), score);
            }
            (Outcome::Completed { answer, .. }, Reply::Done)
            | (_, Reply::Superseded(Outcome::Completed { answer, .. })) => {
                self.tell(id, &Told::Whole(answer), score);
            }
            (Outcome::NotRun, Reply::Done) => self.try_again(id, 1, 0, rng, score),
            (Outcome::Unknown, Reply::Done) if idempotent => self.try_again(id, 0, 1, rng, score),
            _ => self.tell(id, &Told::MayHaveRun, score),
        }
    }

    /// Tries a request elsewhere after an attempt that was refused or lost.
    pub(super) fn try_again(
        &mut self,
        id: u64,
        refused: u32,
        lost: u32,
        rng: &mut ChaCha8Rng,
        score: &mut Score,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.refused += refused;
        request.lost += lost;
        let (lost, attempts) = (request.lost, request.refused + request.lost);
        if attempts < MAX_ATTEMPTS {
            self.ask_to_begin(id, rng);
        } else {
            let err = Error::new(ErrorKind::PermitRefused, "no attempt is left");
            self.refused(id, &err, lost, score);
        }
    }
}
