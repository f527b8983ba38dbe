//! Sidecars and upstreams.

use {
    crate::faults::{
        Promise, Score,
        calls::{
            entry::Waits,
            sidecar::Held,
            truth::Told,
            world::{
                BUDGET, CONFIRM_LIMIT, CallWorld, Message, SILENCE, Stream, answer_of, call_of,
            },
        },
        chance::{chance, draw},
    },
    quay_types::{CallEvent, Outcome, Permit, Tokens},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

impl CallWorld {
    /// A permit arrives at its sidecar.
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
        if let Err(event) = self.sidecars[slot].book.admit(Some(&permit)) {
            let outcome = match event {
                CallEvent::Refused(_) => Outcome::NotRun,
                _ => Outcome::Unknown,
            };
            self.post(&Message::Ended(stream, outcome), rng);
            return;
        }
        if chance(rng, 100) {
            // The queue is full, say.
            self.sidecars[slot].book.refuse(permit.id);
            self.post(&Message::Ended(stream, Outcome::NotRun), rng);
            return;
        }
        let Some(call) = call_of(permit.key) else {
            return;
        };
        let ends = self.now + Duration::from_millis(20 + draw(rng, 1_500));
        let attempt = Held {
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
                .push((self.now + SILENCE, attempt));
            self.post(&Message::Ready(stream, permit), rng);
        }
    }

    /// An entry lets its call start, if it still wants it and in time.
    pub(super) fn confirm(&mut self, stream: Stream, permit: Permit, rng: &mut ChaCha8Rng) {
        let Some(request) = self.listens(stream) else {
            return;
        };
        if self.now.since(request.asked) < CONFIRM_LIMIT {
            self.post(&Message::Proceed(stream, permit), rng);
        } else {
            self.settle_as(stream.request, permit, Outcome::NotRun, rng);
        }
    }

    /// A sidecar hears that a call may start.
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
                self.sidecars[slot].book.refuse(attempt.permit.id);
            }
        }
    }

    /// Turns away calls whose entries gave no word.
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
                self.sidecars[slot].book.refuse(attempt.permit.id);
                self.post(&Message::Ended(attempt.stream, Outcome::NotRun), rng);
            }
        }
    }

    /// An upstream starts an attempt.
    pub(super) fn start(&mut self, slot: usize, attempt: Held, score: &mut Score) {
        self.runs(attempt.call, &attempt.permit, score);
        self.sidecars[slot].running.push(attempt);
    }

    /// An upstream begins to run a call: the moment that most promises are about.
    pub(super) fn runs(&mut self, slot: usize, permit: &Permit, score: &mut Score) {
        let call = self.calls[slot].clone();
        let in_order = self.truth.runs(&call);
        // A call that may run again and was given up may run late: its answer
        // goes nowhere, and its caller was told so.
        let in_order = in_order || (call.idempotent && call.told == Told::MayHaveRun);
        self.test(Promise::Order, score, in_order, || {
            format!(
                "call {} of {} first ran after a later one",
                call.number, call.program
            )
        });
        let once = call.idempotent || call.ran.is_empty();
        self.test(Promise::AtMostOnce, score, once, || {
            format!("call {slot} ran twice")
        });
        let told = call.told == Told::NotRun && call.requests == 0;
        self.test(Promise::NotRun, score, !told, || {
            format!("call {slot} ran after it was told not run")
        });
        self.calls[slot].ran.push(permit.id);
    }

    /// Upstreams finish what is due.
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

    /// An upstream finishes one attempt.
    pub(super) fn finish(
        &mut self,
        slot: usize,
        attempt: &Held,
        rng: &mut ChaCha8Rng,
        score: &mut Score,
    ) {
        let most = attempt.permit.reserved.0;
        // The sidecar cuts the answer at its reservation.
        let most = if self.wrong(Promise::Budget) {
            most * 8
        } else {
            most
        };
        let tokens = 1 + draw(rng, most);
        let program = self.calls[attempt.call].program;
        let used = self.truth.uses(program, tokens);
        self.test(Promise::Budget, score, used <= BUDGET.0, || {
            format!("program {program} used {used} tokens of {}", BUDGET.0)
        });
        self.sidecars[slot].book.end(attempt.permit.id, None);
        let outcome = Outcome::Completed {
            prompt: Tokens(0),
            output: Tokens(tokens.min(attempt.permit.reserved.0)),
            answer: answer_of(attempt.permit.id.index),
        };
        self.post(&Message::Ended(attempt.stream, outcome), rng);
    }

    /// An entry hears how its attempt ended.
    pub(super) fn ended(&mut self, stream: Stream, outcome: Outcome, rng: &mut ChaCha8Rng) {
        let id = stream.request;
        let Some(request) = self.listens(stream) else {
            return;
        };
        if let Waits::Attempt(permit) = request.waits {
            self.settle_as(id, permit, outcome, rng);
        }
    }
}
