//! Call handling in sidecars and upstreams.

use {
    crate::faults::{
        Promise, Score,
        calls::{
            entry::Wait,
            ground_truth::CallerResult,
            sidecar::HeldAttempt,
            world::{
                BUDGET, CONFIRM_LIMIT, CONFIRMATION_TIMEOUT, CallWorld, Message, Stream, answer_of,
                call_of,
            },
        },
        random::{chance, draw},
    },
    quay_types::{CallEvent, Outcome, Permit, Tokens},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

impl CallWorld {
    /// Handles a permit that arrives at its sidecar.
    pub(super) fn admit(
        &mut self,
        stream: Stream,
        permit: Permit,
        rng: &mut ChaCha8Rng,
        score: &mut Score,
    ) {
        let Some(slot) = self
            .sidecars
            .iter()
            .position(|it| it.upstream == permit.upstream)
        else {
            return;
        };
        if let Err(event) = self.sidecars[slot].registry.admit(Some(&permit)) {
            let outcome = match event {
                CallEvent::Refused(_) => Outcome::NotRun,
                _ => Outcome::Unknown,
            };
            self.send_message(&Message::Ended(stream, outcome), rng);
            return;
        }
        if chance(rng, 100) {
            // Simulates a refusal such as a full queue.
            self.sidecars[slot].registry.refuse(permit.id);
            self.send_message(&Message::Ended(stream, Outcome::NotRun), rng);
            return;
        }
        let Some(call) = call_of(permit.key) else {
            return;
        };
        let ends = self.now + Duration::from_millis(20 + draw(rng, 1_500));
        let attempt = HeldAttempt {
            permit,
            call,
            stream,
            ends,
        };
        if self.calls[call].idempotent {
            self.start(slot, attempt, score);
        } else {
            self.sidecars[slot]
                .ready
                .push((self.now + CONFIRMATION_TIMEOUT, attempt));
            self.send_message(&Message::Ready(stream, permit), rng);
        }
    }

    /// Confirms the start of a call if its request still waits and the time
    /// limit has not passed.
    pub(super) fn confirm(&mut self, stream: Stream, permit: Permit, rng: &mut ChaCha8Rng) {
        let Some(request) = self.current_request(stream) else {
            return;
        };
        if self.now.since(request.requested_at) < CONFIRM_LIMIT {
            self.send_message(&Message::Proceed(stream, permit), rng);
        } else {
            self.settle_as(stream.request, permit, Outcome::NotRun, rng);
        }
    }

    /// Starts a call that its entry has confirmed, or refuses it if the
    /// confirmation came too late.
    pub(super) fn proceed(&mut self, stream: Stream, permit: &Permit, score: &mut Score) {
        let upstream = permit.upstream;
        let Some(slot) = self.sidecars.iter().position(|it| it.upstream == upstream) else {
            return;
        };
        let ready = &mut self.sidecars[slot].ready;
        let waiting = ready.iter().position(|(_, it)| it.stream == stream);
        if let Some(waiting) = waiting {
            let (until, attempt) = ready.remove(waiting);
            if until > self.now {
                self.start(slot, attempt, score);
            } else {
                self.sidecars[slot].registry.refuse(attempt.permit.id);
            }
        }
    }

    /// Refuses calls that their entries did not confirm in time.
    pub(super) fn refuse_unconfirmed(&mut self, rng: &mut ChaCha8Rng) {
        let now = self.now;
        for slot in 0..self.sidecars.len() {
            let sidecar = &mut self.sidecars[slot];
            if sidecar.frozen_until > now {
                continue;
            }
            let late: Vec<_> = sidecar
                .ready
                .extract_if(.., |(until, _)| *until <= now)
                .collect();
            for (_, attempt) in late {
                self.sidecars[slot].registry.refuse(attempt.permit.id);
                self.send_message(&Message::Ended(attempt.stream, Outcome::NotRun), rng);
            }
        }
    }

    /// Starts an attempt on an upstream.
    pub(super) fn start(&mut self, slot: usize, attempt: HeldAttempt, score: &mut Score) {
        self.record_start(attempt.call, &attempt.permit, score);
        self.sidecars[slot].running.push(attempt);
    }

    /// Records that an upstream starts to run a call, and checks the promises
    /// on order, repeated runs and results already reported.
    pub(super) fn record_start(&mut self, slot: usize, permit: &Permit, score: &mut Score) {
        let call = self.calls[slot].clone();
        let in_order = self.ground_truth.record_start(&call);
        // An idempotent call that was abandoned may run late: its answer is
        // discarded, and its caller was told that the call may have run.
        let in_order = in_order || (call.idempotent && call.told == CallerResult::MayHaveRun);
        self.check(Promise::Order, score, in_order, || {
            format!(
                "call {} of {} first ran after a later one",
                call.number, call.program
            )
        });
        let once = call.idempotent || call.ran.is_empty();
        self.check(Promise::AtMostOnce, score, once, || {
            format!("call {slot} ran twice")
        });
        let reported_not_run = call.told == CallerResult::NotRun && call.requests == 0;
        self.check(Promise::NotRun, score, !reported_not_run, || {
            format!("call {slot} ran after it was told not run")
        });
        self.calls[slot].ran.push(permit.id);
    }

    /// Completes the attempts that are due.
    pub(super) fn finish_attempts(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        for slot in 0..self.sidecars.len() {
            if self.sidecars[slot].frozen_until > self.now {
                continue;
            }
            let now = self.now;
            let done: Vec<_> = self.sidecars[slot]
                .running
                .extract_if(.., |it| it.ends <= now)
                .collect();
            for attempt in done {
                self.finish(slot, &attempt, rng, score);
            }
        }
    }

    /// Completes one attempt on an upstream.
    pub(super) fn finish(
        &mut self,
        slot: usize,
        attempt: &HeldAttempt,
        rng: &mut ChaCha8Rng,
        score: &mut Score,
    ) {
        let max_tokens = attempt.permit.reserved.0;
        // The sidecar truncates the answer at the token reservation.
        let max_tokens = if self.is_mutated(Promise::Budget) {
            max_tokens * 8
        } else {
            max_tokens
        };
        let tokens = 1 + draw(rng, max_tokens);
        let program = self.calls[attempt.call].program;
        let used = self.ground_truth.record_tokens(program, tokens);
        self.check(Promise::Budget, score, used <= BUDGET.0, || {
            format!("program {program} used {used} tokens of {}", BUDGET.0)
        });
        self.sidecars[slot].registry.end(attempt.permit.id, None);
        let outcome = Outcome::Completed {
            prompt: Tokens(0),
            output: Tokens(tokens.min(attempt.permit.reserved.0)),
            answer: answer_of(attempt.permit.id.index),
        };
        self.send_message(&Message::Ended(attempt.stream, outcome), rng);
    }

    /// Handles the outcome of an attempt at its entry.
    pub(super) fn handle_attempt_ended(
        &mut self,
        stream: Stream,
        outcome: Outcome,
        rng: &mut ChaCha8Rng,
    ) {
        let id = stream.request;
        let Some(request) = self.current_request(stream) else {
            return;
        };
        if let Wait::Attempt(permit) = request.waits_for {
            self.settle_as(id, permit, outcome, rng);
        }
    }
}
