//! Callers that start programs, make calls and retry them.

use {
    crate::faults::{
        Promise, Score,
        calls::{
            entry::Request,
            ground_truth::{Call, CallerResult},
            world::{BUDGET, CallWorld, MAX_CALLS, MAX_PROGRAMS, account, answer_of},
        },
        random::{chance, draw},
    },
    quay_ledger::{Op, Reply},
    quay_types::{NewProgram, ProgramId, ProgramLimits, RequestKey, Tokens},
    rand_chacha::ChaCha8Rng,
};

impl CallWorld {
    /// Starts programs, makes calls and retries calls on behalf of the callers.
    pub(super) fn run_callers(&mut self, rng: &mut ChaCha8Rng) {
        if self.programs.len() < MAX_PROGRAMS && chance(rng, 100) {
            self.start_program(rng);
        }
        if self.programs.is_empty() || !chance(rng, 300) {
            return;
        }
        let slot = draw(rng, self.programs.len() as u64);
        let slot = usize::try_from(slot).unwrap_or_default();
        let Some((program, calls)) = self.programs.get_index(slot) else {
            return;
        };
        let (program, last) = (*program, calls.last().copied());
        let count = u32::try_from(calls.len()).unwrap_or(u32::MAX);
        match last {
            // Retries a call without a final result.
            Some(call) if !self.has_final_result(call) && !chance(rng, 100) => {
                if self.calls[call].requests == 0 || chance(rng, 100) {
                    self.send(call);
                }
            }
            _ if count >= MAX_CALLS => self.end_program(program),
            // Sometimes makes a call before the previous call is answered.
            _ => self.next_call(program, count, rng),
        }
    }

    /// Returns whether the caller has a final result and will not retry.
    pub(super) fn has_final_result(&self, call: usize) -> bool {
        matches!(
            self.calls[call].told,
            CallerResult::Complete(_) | CallerResult::MayHaveRun
        )
    }

    /// Creates a program; some are sub-agents of an open program.
    pub(super) fn start_program(&mut self, rng: &mut ChaCha8Rng) {
        let parent = self
            .programs
            .keys()
            .next()
            .copied()
            .filter(|_| chance(rng, 400));
        self.next_root += 1;
        let new = NewProgram {
            account: account(),
            key: RequestKey(u128::from(self.next_root)),
            program: parent.unwrap_or(ProgramId::root(self.next_root)),
            sub_agent: parent.is_some(),
            limits: ProgramLimits {
                budget: if parent.is_some() {
                    Tokens(BUDGET.0 / 4)
                } else {
                    BUDGET
                },
                ..ProgramLimits::default()
            },
        };
        if let Reply::Created(id) = self.apply(Op::Create(new)) {
            self.programs.insert(id, Vec::new());
        }
    }

    /// Ends a program; its calls in progress continue.
    pub(super) fn end_program(&mut self, program: ProgramId) {
        self.apply(Op::End(program, account()));
        self.programs.retain(|id, _| {
            id.root != program.root || (id.branch != program.branch && program.branch != 0)
        });
    }

    /// Makes a program's next call.
    pub(super) fn next_call(&mut self, program: ProgramId, count: u32, rng: &mut ChaCha8Rng) {
        let call = Call {
            program,
            number: count + 1,
            idempotent: chance(rng, 500),
            reserve: 20 + draw(rng, 400),
            told: CallerResult::Pending,
            requests: 0,
            ran: Vec::new(),
        };
        self.calls.push(call);
        let slot = self.calls.len() - 1;
        if let Some(calls) = self.programs.get_mut(&program) {
            calls.push(slot);
        }
        self.send(slot);
    }

    /// Sends a request for a call to an entry.
    pub(super) fn send(&mut self, call: usize) {
        self.calls[call].requests += 1;
        self.calls[call].told = CallerResult::Pending;
        self.next_request += 1;
        self.requests
            .insert(self.next_request, Request::new(call, self.now));
    }

    /// Reports the result of a request to its caller.
    pub(super) fn report_result(&mut self, id: u64, told: &CallerResult, score: &mut Score) {
        let Some(request) = self.requests.shift_remove(&id) else {
            return;
        };
        let call = &mut self.calls[request.call];
        call.requests -= 1;
        let before = std::mem::replace(&mut call.told, told.clone());
        let call = &self.calls[request.call];
        match (told, &before) {
            (CallerResult::NotRun, _) => {
                // Another request for the same call may have run the call.
                let held =
                    call.ran.is_empty() || call.requests > 0 || before != CallerResult::Pending;
                let ran = call.ran.len();
                self.check(Promise::NotRun, score, held, || {
                    format!("call {} told not run, ran {ran} times", request.call)
                });
            }
            (CallerResult::Complete(answer), _) => {
                let known = call
                    .ran
                    .iter()
                    .any(|permit| **answer == *answer_of(permit.index));
                self.check(Promise::WholeAnswer, score, known, || {
                    "an answer of no attempt of this call".into()
                });
                if let CallerResult::Complete(first) = &before {
                    let same = first == answer;
                    self.check(Promise::WholeAnswer, score, same, || {
                        "two requests of a call got two answers".into()
                    });
                }
            }
            _ => {}
        }
        // A complete answer is kept: a later request may return less
        // information.
        if matches!(before, CallerResult::Complete(_)) {
            self.calls[request.call].told = before;
        }
    }
}
