//! The world of calls and its faults.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        calls::{
            entry::{Request, Waits},
            sidecar::{Held, Sidecar},
            truth::{Call, Told, Truth},
        },
    },
    indexmap::IndexMap,
    quay_ledger::{Answer, Command, Ledger, LedgerLimits, MemoryHistory, Op, Query, Reply},
    quay_quorum::StateMachine as _,
    quay_types::{
        AccountId, Attempt, Begin, BeginReply, CallNumber, ConfigIndex, ContentDigest, Epoch,
        Error, ErrorKind, GroupId, LogIndex, NewProgram, Outcome, Permit, PermitFate, PermitId,
        ProgramId, ProgramLimits, RequestKey, Settle, Time, Tokens,
    },
    rand::Rng as _,
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Sidecars of a world.
const SIDECARS: u64 = 4;

/// Programs under way at a time.
const PROGRAMS: usize = 6;

/// Calls of a program at most.
const CALLS: u32 = 6;

/// Budget of a root program.
const BUDGET: Tokens = Tokens(2_000);

/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 3;

/// How long a request waits for one answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Time from asking for a permit within which an entry lets a call start.
const CONFIRM_LIMIT: Duration = Duration::from_secs(8);

/// How long a sidecar waits for an entry's word.
const SILENCE: Duration = Duration::from_secs(5);

/// Longest time that something stands still, in milliseconds.
const LONGEST_FREEZE_MS: u64 = 20_000;

/// The stream that a message belongs to: answers to an earlier question of the
/// same request are not heard any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Stream {
    /// The request.
    pub request: u64,
    /// Counts the request's questions.
    pub question: u32,
}

/// A message under way.
#[derive(Debug, Clone)]
enum Message {
    /// To the ledger.
    Begin(Stream, Begin),
    /// To the ledger.
    Settle(Stream, Settle),
    /// To the sidecar in the permit.
    Deliver(Stream, Permit),
    /// To the sidecar in the permit: the call may start.
    Proceed(Stream, Permit),
    /// To the sidecar in the permit.
    Inquire(Stream, Permit),
    /// To an entry: its call waits for its word.
    Ready(Stream, Permit),
    /// To an entry: what the ledger says.
    Begun(Stream, BeginReply),
    /// To an entry: what the ledger has recorded.
    Settled(Stream, Reply),
    /// To an entry: how its attempt ended.
    Ended(Stream, Outcome),
    /// To an entry: what a sidecar says of a permit.
    Fate(Stream, PermitFate),
}

/// Callers, entries, a ledger and sidecars.
pub struct CallWorld {
    promise: Promise,
    mutated: bool,
    now: Time,
    ledger: Ledger<MemoryHistory>,
    index: LogIndex,
    sidecars: Vec<Sidecar>,
    wire: Vec<(Time, Message)>,
    requests: IndexMap<u64, Request>,
    next_request: u64,
    calls: Vec<Call>,
    /// Programs under way, with the slots of their calls.
    programs: IndexMap<ProgramId, Vec<usize>>,
    next_root: u64,
    truth: Truth,
}

impl Trial for CallWorld {
    fn new(promise: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        Self {
            promise,
            mutated: decisions == Decisions::Mutated,
            now: Time::from_millis(1),
            ledger: Ledger::new(GroupId(1), limits(promise, decisions)),
            index: LogIndex(0),
            sidecars: (0..SIDECARS).map(Sidecar::new).collect(),
            wire: Vec::new(),
            requests: IndexMap::new(),
            next_request: 0,
            calls: Vec::new(),
            programs: IndexMap::new(),
            next_root: 0,
            truth: Truth::default(),
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + Duration::from_millis(1 + rng.next_u64() % 40);
        self.callers(rng);
        self.faults(rng, score);
        self.turn(rng, score);
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        // Nothing new; all that is frozen thaws, all that is late arrives.
        for _ in 0..2_000 {
            self.now = self.now + Duration::from_millis(50);
            self.turn(rng, score);
        }
        self.ledger.check_all();
        self.test_histories(score);
    }
}

impl CallWorld {
    /// Lets messages arrive, upstreams finish and requests go on.
    fn turn(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.finish_attempts(rng, score);
        self.refuse_unconfirmed(rng);
        self.deliver_due(rng, score);
        let ids: Vec<u64> = self.requests.keys().copied().collect();
        for id in ids {
            self.go_on(id, rng, score);
        }
    }

    /// Counts a test of `promise` if it is the one of this run.
    fn test(&self, promise: Promise, score: &mut Score, held: bool, what: impl FnOnce() -> String) {
        if self.promise == promise {
            score.test(held, || {
                format!("at {} ms: {}", self.now.as_millis(), what())
            });
        }
    }

    /// Whether the decision that carries `promise` is wrong on purpose.
    fn wrong(&self, promise: Promise) -> bool {
        self.mutated && self.promise == promise
    }

    // -----------------------------------------------------------------------
    // Callers

    /// Callers start programs, make calls and send them again.
    fn callers(&mut self, rng: &mut ChaCha8Rng) {
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
    fn final_answer(&self, call: usize) -> bool {
        matches!(self.calls[call].told, Told::Whole(_) | Told::MayHaveRun)
    }

    /// Creates a program; some are sub-agents of one that is under way.
    fn start_program(&mut self, rng: &mut ChaCha8Rng) {
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
    fn end_program(&mut self, program: ProgramId) {
        self.apply(Op::End(program, account()));
        self.programs.retain(|id, _| {
            id.root != program.root || (id.branch != program.branch && program.branch != 0)
        });
    }

    /// Makes a program's next call.
    fn next_call(&mut self, program: ProgramId, count: u32, rng: &mut ChaCha8Rng) {
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
    fn send(&mut self, call: usize) {
        self.calls[call].requests += 1;
        self.calls[call].told = Told::Nothing;
        self.next_request += 1;
        self.requests
            .insert(self.next_request, Request::new(call, self.now));
    }

    /// Tells the caller the end of a request.
    fn tell(&mut self, id: u64, told: &Told, score: &mut Score) {
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

    // -----------------------------------------------------------------------
    // Requests on entries

    /// Takes the next step of a request if it is due.
    fn go_on(&mut self, id: u64, rng: &mut ChaCha8Rng, score: &mut Score) {
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
    fn wait(&mut self, id: u64, waits: Waits, patience: Duration) {
        let until = self.now + patience;
        if let Some(request) = self.requests.get_mut(&id) {
            request.waits = waits;
            request.patience = until;
        }
    }

    /// Opens a stream for a question of a request.
    fn ask(&mut self, id: u64, waits: Waits) -> Stream {
        self.wait(id, waits, PATIENCE);
        let request = &mut self.requests[&id];
        request.question += 1;
        Stream {
            request: id,
            question: request.question,
        }
    }

    /// The request that a message is for, if it still listens on that stream.
    fn listens(&self, stream: Stream) -> Option<&Request> {
        let request = self.requests.get(&stream.request)?;
        (request.question == stream.question).then_some(request)
    }

    /// Asks the ledger for leave to run.
    fn ask_to_begin(&mut self, id: u64, rng: &mut ChaCha8Rng) {
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
    fn begun(
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
            BeginReply::Go { permit, .. } => self.deliver(id, permit, rng),
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
    fn deliver(&mut self, id: u64, permit: Permit, rng: &mut ChaCha8Rng) {
        let stream = self.ask(id, Waits::Attempt(permit));
        self.post(&Message::Deliver(stream, permit), rng);
    }

    /// Does not wait, and runs without leave: wrong on purpose.
    fn forge(&mut self, id: u64, rng: &mut ChaCha8Rng) {
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
    fn refused(&mut self, id: u64, err: &Error, lost: u32, score: &mut Score) {
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
    fn inquire(&mut self, id: u64, permit: Permit, rng: &mut ChaCha8Rng) {
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
    fn fate(&mut self, stream: Stream, fate: PermitFate, rng: &mut ChaCha8Rng) {
        let id = stream.request;
        let Some(request) = self.listens(stream) else {
            return;
        };
        let Waits::Inquiry(permit) = request.waits else {
            return;
        };
        match fate {
            PermitFate::Refused => self.settle_as(id, permit, Outcome::NotRun, rng),
            PermitFate::Running => self.wait(id, Waits::Turn, Duration::from_millis(200)),
            PermitFate::Ended | PermitFate::Unknown => {
                self.settle_as(id, permit, Outcome::Unknown, rng);
            }
        }
    }

    /// Asks the ledger to record an outcome.
    fn settle_as(&mut self, id: u64, permit: Permit, outcome: Outcome, rng: &mut ChaCha8Rng) {
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
    fn settled(&mut self, stream: Stream, reply: Reply, rng: &mut ChaCha8Rng, score: &mut Score) {
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
    fn try_again(
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

    // -----------------------------------------------------------------------
    // Sidecars and upstreams

    /// A permit arrives at its sidecar.
    fn admit(&mut self, stream: Stream, permit: Permit, rng: &mut ChaCha8Rng, score: &mut Score) {
        let Some(slot) = self
            .sidecars
            .iter()
            .position(|it| it.upstream == permit.upstream)
        else {
            return;
        };
        if let Err(event) = self.sidecars[slot].book.admit(Some(&permit)) {
            let outcome = match event {
                quay_types::CallEvent::Refused(_) => Outcome::NotRun,
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
    fn confirm(&mut self, stream: Stream, permit: Permit, rng: &mut ChaCha8Rng) {
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
    fn proceed(&mut self, stream: Stream, permit: &Permit, score: &mut Score) {
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
    fn refuse_unconfirmed(&mut self, rng: &mut ChaCha8Rng) {
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
    fn start(&mut self, slot: usize, attempt: Held, score: &mut Score) {
        self.runs(attempt.call, &attempt.permit, score);
        self.sidecars[slot].running.push(attempt);
    }

    /// An upstream begins to run a call: the moment that most promises are about.
    fn runs(&mut self, slot: usize, permit: &Permit, score: &mut Score) {
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
    fn finish_attempts(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
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
    fn finish(&mut self, slot: usize, attempt: &Held, rng: &mut ChaCha8Rng, score: &mut Score) {
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
    fn ended(&mut self, stream: Stream, outcome: Outcome, rng: &mut ChaCha8Rng) {
        let id = stream.request;
        let Some(request) = self.listens(stream) else {
            return;
        };
        if let Waits::Attempt(permit) = request.waits {
            self.settle_as(id, permit, outcome, rng);
        }
    }

    // -----------------------------------------------------------------------
    // Messages

    /// Sends a message, which may get lost or come late.
    fn post(&mut self, message: &Message, rng: &mut ChaCha8Rng) {
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
    fn deliver_due(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
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
    fn thaws(&self, message: &Message) -> Option<Time> {
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
    fn receive(&mut self, message: Message, rng: &mut ChaCha8Rng, score: &mut Score) {
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
    fn answer_inquiry(&mut self, stream: Stream, permit: &Permit, rng: &mut ChaCha8Rng) {
        let wrong = self.wrong(Promise::NotRun);
        let Some(sidecar) = self
            .sidecars
            .iter_mut()
            .find(|it| it.upstream == permit.upstream)
        else {
            return;
        };
        let fate = if wrong {
            PermitFate::Refused
        } else {
            sidecar.fate(permit)
        };
        self.post(&Message::Fate(stream, fate), rng);
    }

    /// Commits a command.
    fn apply(&mut self, op: Op) -> Reply {
        self.index.0 += 1;
        let command = Command {
            at_ms: self.now.as_millis(),
            op,
        };
        self.ledger.apply(self.index, Epoch(1), command)
    }

    // -----------------------------------------------------------------------
    // Faults

    /// Something goes wrong, now and then two things at once.
    fn faults(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        while chance(rng, 25) {
            score.fault();
            match draw(rng, 4) {
                0 => self.restart_sidecar(rng),
                1 => {
                    let slot = usize::try_from(draw(rng, SIDECARS)).unwrap_or_default();
                    self.sidecars[slot].frozen_until = self.now + freeze(rng);
                }
                2 => self.strike_request(rng),
                _ => self.replace_ledger(),
            }
        }
    }

    /// A sidecar process dies and starts again.
    fn restart_sidecar(&mut self, rng: &mut ChaCha8Rng) {
        let slot = usize::try_from(draw(rng, SIDECARS)).unwrap_or_default();
        if self.wrong(Promise::AtMostOnce) {
            self.sidecars[slot].forget();
            return;
        }
        self.sidecars[slot].restart();
        // Its streams die with it.
        let upstream = self.sidecars[slot].upstream;
        self.wire.retain(|(_, message)| match message {
            Message::Deliver(_, permit) | Message::Proceed(_, permit) => {
                permit.upstream != upstream
            }
            _ => true,
        });
    }

    /// An entry dies with a request, or stands still; its caller goes elsewhere.
    fn strike_request(&mut self, rng: &mut ChaCha8Rng) {
        if self.requests.is_empty() {
            return;
        }
        let slot = usize::try_from(draw(rng, self.requests.len() as u64)).unwrap_or_default();
        if chance(rng, 500) {
            let until = self.now + freeze(rng);
            self.requests[slot].frozen_until = until;
        } else if let Some((_, request)) = self.requests.shift_remove_index(slot) {
            self.calls[request.call].requests -= 1;
        }
    }

    /// The ledger's leader is replaced by one that starts from a snapshot.
    fn replace_ledger(&mut self) {
        let snapshot = self.ledger.snapshot();
        let mut next = Ledger::new(GroupId(1), LedgerLimits::default());
        next.restore(snapshot);
        self.ledger = next;
    }

    // -----------------------------------------------------------------------
    // In the end

    /// Every answer that a caller has is in its program's history, and nobody
    /// else's is.
    fn test_histories(&mut self, score: &mut Score) {
        let mut by_program: IndexMap<ProgramId, Vec<usize>> = IndexMap::new();
        for (slot, call) in self.calls.iter().enumerate() {
            by_program.entry(call.program).or_default().push(slot);
        }
        for (program, slots) in by_program {
            let shown = self.ledger.query(&Query::Show(program, account()));
            let Answer::Program(status) = shown else {
                continue;
            };
            for record in &status.calls {
                let prompt = <[u8; 8]>::try_from(&*record.prompt).map(usize::from_le_bytes);
                let own = prompt.is_ok_and(|slot| slots.contains(&slot));
                self.test(Promise::History, score, own, || {
                    format!("{program} holds a prompt of another program")
                });
            }
            for slot in slots {
                let Told::Whole(answer) = &self.calls[slot].told else {
                    continue;
                };
                let number = CallNumber(self.calls[slot].number);
                let record = status.calls.iter().find(|record| record.number == number);
                let kept = record.and_then(|record| record.outcome.as_ref());
                let held =
                    matches!(kept, Some(Outcome::Completed { answer: kept, .. }) if kept == answer);
                self.test(Promise::History, score, held, || {
                    format!("{program} lost the answer of call {number}")
                });
            }
        }
    }
}

/// Bounds of the ledger; wrong ones let a later call start while one whose
/// outcome is unknown may still start.
fn limits(promise: Promise, decisions: Decisions) -> LedgerLimits {
    let wrong = promise == Promise::Order && decisions == Decisions::Mutated;
    let limits = LedgerLimits::default();
    LedgerLimits {
        start_limit_ms: if wrong { 0 } else { limits.start_limit_ms },
        ..limits
    }
}

/// The account of every caller here.
fn account() -> AccountId {
    AccountId(1)
}

/// Key of the call in a slot.
fn key_of(slot: usize) -> RequestKey {
    // Distinct in the upper half too, which the ledger keeps fingerprints of.
    RequestKey((slot as u128 + 1) << 64 | slot as u128)
}

/// Slot of the call with a key.
fn call_of(key: RequestKey) -> Option<usize> {
    usize::try_from(key.0 & u128::from(u64::MAX)).ok()
}

/// The answer of the attempt that a log entry gave leave for.
fn answer_of(index: LogIndex) -> Box<[u8]> {
    index.0.to_le_bytes().into()
}

/// A number below `limit`.
fn draw(rng: &mut ChaCha8Rng, limit: u64) -> u64 {
    rng.next_u64() % limit.max(1)
}

/// Whether something that happens `permille` times in a thousand happens.
fn chance(rng: &mut ChaCha8Rng, permille: u64) -> bool {
    draw(rng, 1_000) < permille
}

/// How long something stands still.
fn freeze(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(draw(rng, LONGEST_FREEZE_MS))
}
