//! Request handling in the entries.

use {
    crate::faults::{
        Promise, Score,
        calls::{
            entry::{Request, Wait},
            ground_truth::CallerResult,
            world::{
                CallWorld, MAX_ATTEMPTS, Message, REPLY_TIMEOUT, SIDECARS, Stream, account, key_of,
            },
        },
        random::draw,
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
    /// Advances a request whose current wait has expired.
    pub(super) fn advance_request(&mut self, id: u64, rng: &mut ChaCha8Rng, score: &mut Score) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.frozen_until > self.now {
            return;
        }
        let overdue = self.now >= request.wait_deadline;
        match request.waits_for.clone() {
            Wait::Retry if overdue => self.request_permit(id, rng),
            // The caller's key is shared by its retries, so an earlier request
            // may have run the call.
            Wait::Begin if overdue => self.report_result(id, &CallerResult::MayHaveRun, score),
            Wait::Attempt(permit) if overdue => self.query_permit(id, permit, rng),
            Wait::Status(permit) if overdue => self.settle_as(id, permit, Outcome::Unknown, rng),
            Wait::Settle(permit, outcome) if overdue => self.settle_as(id, permit, outcome, rng),
            _ => {}
        }
    }

    /// Sets the event that a request waits for, and the time-out.
    pub(super) fn wait(&mut self, id: u64, waits_for: Wait, timeout: Duration) {
        let until = self.now + timeout;
        if let Some(request) = self.requests.get_mut(&id) {
            request.waits_for = waits_for;
            request.wait_deadline = until;
        }
    }

    /// Opens a stream for a new exchange of a request.
    pub(super) fn open_exchange(&mut self, id: u64, waits_for: Wait) -> Stream {
        self.wait(id, waits_for, REPLY_TIMEOUT);
        let request = &mut self.requests[&id];
        request.exchange += 1;
        Stream {
            request: id,
            exchange: request.exchange,
        }
    }

    /// Returns the request that a message belongs to, if the stream is the
    /// current one of the request.
    pub(super) fn current_request(&self, stream: Stream) -> Option<&Request> {
        let request = self.requests.get(&stream.request)?;
        (request.exchange == stream.exchange).then_some(request)
    }

    /// Requests a permit from the ledger.
    pub(super) fn request_permit(&mut self, id: u64, rng: &mut ChaCha8Rng) {
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
        self.requests[&id].requested_at = self.now;
        let stream = self.open_exchange(id, Wait::Begin);
        self.send_message(&Message::Begin(stream, begin), rng);
    }

    /// Handles the reply of the ledger to `begin`.
    pub(super) fn handle_begin_reply(
        &mut self,
        stream: Stream,
        reply: BeginReply,
        rng: &mut ChaCha8Rng,
        score: &mut Score,
    ) {
        let id = stream.request;
        let Some(request) = self.current_request(stream) else {
            return;
        };
        let lost = request.lost;
        match reply {
            BeginReply::Granted { permit, .. } => self.deliver(id, permit, rng),
            BeginReply::Wait(_) if self.is_mutated(Promise::Order) => self.forge_permit(id, rng),
            BeginReply::Wait(ms) => {
                self.wait(id, Wait::Retry, Duration::from_millis(u64::from(ms) * 4));
            }
            BeginReply::Replay(Outcome::Completed { answer, .. }) => {
                self.report_result(id, &CallerResult::Complete(answer), score);
            }
            BeginReply::Replay(_) => self.report_result(id, &CallerResult::MayHaveRun, score),
            BeginReply::Running(permit) => self.query_permit(id, permit, rng),
            BeginReply::Refused(err) => self.report_refusal(id, &err, lost, score),
        }
    }

    /// Sends a permit to its sidecar.
    pub(super) fn deliver(&mut self, id: u64, permit: Permit, rng: &mut ChaCha8Rng) {
        let stream = self.open_exchange(id, Wait::Attempt(permit));
        self.send_message(&Message::Deliver(stream, permit), rng);
    }

    /// Runs the call with a forged permit instead of waiting; deliberately
    /// wrong.
    pub(super) fn forge_permit(&mut self, id: u64, rng: &mut ChaCha8Rng) {
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

    /// Reports to the caller that the ledger or the upstreams refused the call.
    pub(super) fn report_refusal(&mut self, id: u64, err: &Error, lost: u32, score: &mut Score) {
        let told = if lost == 0 && err.kind.not_run() {
            CallerResult::NotRun
        } else {
            CallerResult::MayHaveRun
        };
        let call = self.requests[&id].call;
        let give_up = self.requests[&id].refused > 0 || lost > 0;
        if give_up {
            let program = self.calls[call].program;
            self.apply(Op::GiveUp(program, key_of(call)));
        }
        self.report_result(id, &told, score);
    }

    /// Queries the status of a permit at its sidecar.
    pub(super) fn query_permit(&mut self, id: u64, permit: Permit, rng: &mut ChaCha8Rng) {
        let known = self
            .sidecars
            .iter()
            .any(|it| it.upstream == permit.upstream && it.incarnation == permit.incarnation);
        if known {
            let stream = self.open_exchange(id, Wait::Status(permit));
            self.send_message(&Message::QueryPermit(stream, permit), rng);
        } else {
            // The sidecar has restarted and lost the permits of its earlier
            // run.
            self.settle_as(id, permit, Outcome::Unknown, rng);
        }
    }

    /// Handles the permit status returned by a sidecar.
    pub(super) fn handle_permit_status(
        &mut self,
        stream: Stream,
        status: PermitStatus,
        rng: &mut ChaCha8Rng,
    ) {
        let id = stream.request;
        let Some(request) = self.current_request(stream) else {
            return;
        };
        let Wait::Status(permit) = request.waits_for else {
            return;
        };
        match status {
            PermitStatus::Refused => self.settle_as(id, permit, Outcome::NotRun, rng),
            PermitStatus::Running => self.wait(id, Wait::Retry, Duration::from_millis(200)),
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
        let stream = self.open_exchange(id, Wait::Settle(permit, outcome));
        self.send_message(&Message::Settle(stream, settle), rng);
    }

    /// Handles the reply of the ledger to `settle`.
    pub(super) fn handle_settle_reply(
        &mut self,
        stream: Stream,
        reply: Reply,
        rng: &mut ChaCha8Rng,
        score: &mut Score,
    ) {
        let id = stream.request;
        let Some(request) = self.current_request(stream) else {
            return;
        };
        let Wait::Settle(_, outcome) = request.waits_for.clone() else {
            return;
        };
        let idempotent = self.calls[request.call].idempotent;
        let mutated = self.is_mutated(Promise::WholeAnswer);
        match (outcome, reply) {
            (Outcome::Completed { answer, .. }, Reply::Superseded(_)) if mutated => {
                self.report_result(id, &CallerResult::Complete(answer), score);
            }
            (Outcome::Completed { answer, .. }, Reply::Done)
            | (_, Reply::Superseded(Outcome::Completed { answer, .. })) => {
                self.report_result(id, &CallerResult::Complete(answer), score);
            }
            (Outcome::NotRun, Reply::Done) => self.retry(id, 1, 0, rng, score),
            (Outcome::Unknown, Reply::Done) if idempotent => self.retry(id, 0, 1, rng, score),
            _ => self.report_result(id, &CallerResult::MayHaveRun, score),
        }
    }

    /// Retries a request at a random sidecar after an attempt was refused or
    /// lost.
    pub(super) fn retry(
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
            self.request_permit(id, rng);
        } else {
            let err = Error::new(
                ErrorKind::PermitRefused,
                "attempt limit of the request reached",
            );
            self.report_refusal(id, &err, lost, score);
        }
    }
}
