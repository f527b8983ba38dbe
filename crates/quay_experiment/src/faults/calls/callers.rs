//! Callers start programs, make calls and send them again.

use {
    crate::faults::{
        Promise, Score,
        calls::{
            entry::Request,
            truth::{Call, Told},
            world::{BUDGET, CALLS, CallWorld, PROGRAMS, account, answer_of},
        },
        chance::{chance, draw},
    },
    quay_ledger::{Op, Reply},
    quay_types::{NewProgram, ProgramId, ProgramLimits, RequestKey, Tokens},
    rand_chacha::ChaCha8Rng,
};

impl CallWorld {
    /// Callers start programs, make calls and send them again.
    pub(super) fn callers(&mut self, rng: &mut ChaCha8Rng) {
        if self.programs.len() < PROGRAMS && chance(rng, 100) {
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
            // An answer that is not final is asked for again.
            Some(call) if !self.final_answer(call) && !chance(rng, 100) => {
                if self.calls[call].requests == 0 || chance(rng, 100) {
                    self.send(call);
                }
            }
            _ if count >= CALLS => self.end_program(program),
            // Now and then a call goes out before the one before it is answered.
            _ => self.next_call(program, count, rng),
        }
    }

    /// Whether the caller will not ask again.
    pub(super) fn final_answer(&self, call: usize) -> bool {
        matches!(self.calls[call].told, Told::Whole(_) | Told::MayHaveRun)
    }

    /// Creates a program; some are sub-agents of one that is under way.
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

    /// Ends a program; calls of it that are under way go on.
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
            told: Told::Nothing,
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

    /// Sends a request for a call to some entry.
    pub(super) fn send(&mut self, call: usize) {
        self.calls[call].requests += 1;
        self.calls[call].told = Told::Nothing;
        self.next_request += 1;
        self.requests
            .insert(self.next_request, Request::new(call, self.now));
    }

    /// Tells the caller the end of a request.
    pub(super) fn tell(&mut self, id: u64, told: &Told, score: &mut Score) {
        let Some(request) = self.requests.shift_remove(&id) else {
            return;
        };
        let call = &mut self.calls[request.call];
        call.requests -= 1;
        let before = std::mem::replace(&mut call.told, told.clone());
        let call = &self.calls[request.call];
        match (told, &before) {
            (Told::NotRun, _) => {
                // Another request of the same call may have run it.
                let held = call.ran.is_empty() || call.requests > 0 || before != Told::Nothing;
                let ran = call.ran.len();
                self.test(Promise::NotRun, score, held, || {
                    format!("call {} told not run, ran {ran} times", request.call)
                });
            }
            (Told::Whole(answer), _) => {
                let known = call
                    .ran
                    .iter()
                    .any(|permit| **answer == *answer_of(permit.index));
                self.test(Promise::WholeAnswer, score, known, || {
                    "an answer of no attempt of this call".into()
                });
                if let Told::Whole(first) = &before {
                    let same = first == answer;
                    self.test(Promise::WholeAnswer, score, same, || {
                        "two requests of a call got two answers".into()
                    });
                }
            }
            _ => {}
        }
        // What was told once stands: a later request may know less.
        if matches!(before, Told::Whole(_)) {
            self.calls[request.call].told = before;
        }
    }
}
