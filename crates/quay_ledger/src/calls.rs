//! Calls: permits, order, replay, settlement.

use {
    crate::{
        History, Ledger, OpenCall, Reply, StoredCall, ledger::Position, program::fingerprint,
        refuse,
    },
    quay_types::{
        Attempt, Begin, BeginReply, CallNumber, Error, ErrorKind, Incarnation, NewProgram, Outcome,
        Permit, PermitId, ProgramId, RequestKey, Result, Settle, Tokens, UpstreamId,
    },
};

/// What the ledger finds under the key of a [`Begin`].
enum Found {
    /// No call has this key.
    Nothing,
    /// A call that has ended.
    Closed(Outcome),
    /// The open call.
    Open,
}

impl<H: History> Ledger<H> {
    /// Answers a request to run a call.
    pub(crate) fn begin(&mut self, at: Position, begin: Begin) -> BeginReply {
        self.try_begin(at, begin)
            .unwrap_or_else(BeginReply::Refused)
    }

    /// As [`Ledger::begin`]; an error changes nothing that matters to a call.
    fn try_begin(&mut self, at: Position, begin: Begin) -> Result<BeginReply> {
        if begin.number == Some(CallNumber(0)) {
            return Err(refuse(ErrorKind::BadRequest, "calls are numbered from 1"));
        }
        let id = begin.program;
        if let (Some(limits), None) = (begin.implicit, self.state.programs.get(&id)) {
            self.may_run(&begin)?;
            if limits.turns == 0 || begin.reserve > limits.budget {
                return Err(refuse(
                    ErrorKind::BudgetExceeded,
                    "the call needs more than a program of its own may have",
                ));
            }
            self.create_root(&NewProgram {
                account: begin.account,
                key: begin.key,
                program: id,
                sub_agent: false,
                limits,
            })?;
            self.state.programs[&id].implicit = true;
        }
        self.owned(id, begin.account)?;
        match self.find(&begin)? {
            Found::Closed(outcome) => Ok(BeginReply::Replay(outcome)),
            Found::Open => self
                .next_attempt(at, &begin)
                .map_err(|err| self.not_again(id, err)),
            Found::Nothing => self.next_call(at, begin),
        }
    }

    /// Finds the call of a key; other content under the same key conflicts.
    fn find(&self, begin: &Begin) -> Result<Found> {
        let program = &self.state.programs[&begin.program];
        if program.implicit && program.key != begin.key {
            return Err(conflict("the program has one call, and this is another"));
        }
        if let Some(open) = program.open.as_ref().filter(|open| open.key == begin.key) {
            same_call(begin, program.last_call(), open.digest == begin.digest)?;
            return Ok(Found::Open);
        }
        for number in program.candidates(begin.key) {
            let chunk = self.history.read(begin.program, number);
            let Some(chunk) = chunk.filter(|chunk| chunk.key == begin.key) else {
                continue;
            };
            same_call(begin, number, chunk.digest == begin.digest)?;
            // The open call was dealt with above, so this one has ended.
            if let Some(outcome) = chunk.outcome {
                return Ok(Found::Closed(outcome));
            }
        }
        Ok(Found::Nothing)
    }

    /// Takes the program's next call, in order.
    fn next_call(&mut self, at: Position, begin: Begin) -> Result<BeginReply> {
        let program = &self.state.programs[&begin.program];
        let given_up = program.open.as_ref().is_some_and(|open| open.given_up);
        let withdrawn = given_up && !program.open_may_have_run();
        let made = program.last_call().0 - u32::from(withdrawn);
        let next = CallNumber(made + 1);
        if begin.number.is_some_and(|number| number < next) {
            return Err(conflict("the call number was used before with another key"));
        }
        if program.ended_ms.is_some() {
            return Err(refuse(ErrorKind::ProgramEnded, "the program has ended"));
        }
        if made >= program.limits.turns {
            return Err(refuse(
                ErrorKind::ProgramLimit,
                "the program has no turn left",
            ));
        }
        let predecessor_open = program.open.is_some() && !given_up;
        let barred = self.state.now_ms < program.next_start_ms;
        if predecessor_open || barred || begin.number.is_some_and(|number| number > next) {
            return Ok(BeginReply::Wait(self.state.limits.wait_ms));
        }
        self.may_run(&begin)?;
        self.afford(&begin)?;
        if given_up {
            self.abandon(begin.program);
        }
        let program = &mut self.state.programs[&begin.program];
        program.calls.push(fingerprint(begin.key));
        program.open = Some(Box::new(OpenCall {
            key: begin.key,
            digest: begin.digest,
            idempotent: begin.idempotent,
            attempts: 0,
            issued_ms: 0,
            active_permit: None,
            given_up: false,
        }));
        let reply = self.issue(at, &begin);
        let chunk = StoredCall {
            key: begin.key,
            digest: begin.digest,
            prompt: begin.prompt,
            outcome: None,
        };
        self.history.append(begin.program, chunk);
        Ok(reply)
    }

    /// Takes the promise "not run" out of a refusal of a call that may have run.
    fn not_again(&self, id: ProgramId, err: Error) -> Error {
        if !err.kind.not_run() || !self.state.programs[&id].open_may_have_run() {
            return err;
        }
        let text = format!(
            "an attempt was lost, and there is no other: {}",
            err.message
        );
        refuse(ErrorKind::UpstreamLost, text)
    }

    /// Joins the running attempt of the open call, or issues the next permit.
    fn next_attempt(&mut self, at: Position, begin: &Begin) -> Result<BeginReply> {
        let program = &self.state.programs[&begin.program];
        if let Some(active) = program.open.as_ref().and_then(|open| open.active_permit) {
            return Ok(BeginReply::Running(active));
        }
        if program.ended_ms.is_some() {
            return Err(refuse(ErrorKind::ProgramEnded, "the program has ended"));
        }
        if !program.can_lose_attempt() {
            return Err(refuse(
                ErrorKind::ProgramLimit,
                "too many attempts were lost",
            ));
        }
        self.may_run(begin)?;
        self.afford(begin)?;
        Ok(self.issue(at, begin))
    }

    /// Whether the asking entry may be given any permit.
    fn may_run(&self, begin: &Begin) -> Result<()> {
        if begin.config < self.state.config_floor {
            return Err(refuse(
                ErrorKind::ConfigStale,
                "the entry's configuration is too old",
            ));
        }
        if begin.upstream == (UpstreamId::default(), Incarnation::default()) {
            return Err(refuse(ErrorKind::NoUpstream, "no upstream serves this now"));
        }
        Ok(())
    }

    /// Sets the call's tokens aside.
    fn afford(&mut self, begin: &Begin) -> Result<()> {
        let budget = &mut self.state.programs[&begin.program].budget;
        if budget.reserve(begin.reserve) {
            return Ok(());
        }
        Err(refuse(
            ErrorKind::BudgetExceeded,
            format!(
                "the call may need {} tokens, the program has {} left",
                begin.reserve.0,
                budget.free()
            ),
        ))
    }

    /// Issues a permit for the open call, whose tokens are set aside.
    fn issue(&mut self, at: Position, begin: &Begin) -> BeginReply {
        let program = &mut self.state.programs[&begin.program];
        let (number, attained) = (program.last_call(), program.budget.used());
        let Some(open) = program.open.as_mut() else {
            unreachable!("permits are issued for open calls only");
        };
        let permit = Permit {
            id: PermitId {
                group: self.state.group,
                index: at.index,
            },
            key: begin.key,
            attempt: Attempt(open.attempts),
            upstream: begin.upstream.0,
            incarnation: begin.upstream.1,
            epoch: at.epoch,
            reserved: begin.reserve,
        };
        let idempotent = open.idempotent;
        open.attempts += 1;
        open.issued_ms = self.state.now_ms;
        open.active_permit = Some(permit);
        open.given_up = false;
        self.assert_program_invariants(begin.program);
        BeginReply::Granted {
            permit,
            number,
            attained,
            idempotent,
        }
    }

    // -----------------------------------------------------------------------
    // Settling

    /// Closes an attempt, once; a resend changes nothing.
    pub(crate) fn settle(&mut self, settle: Settle) -> Reply {
        let id = settle.program;
        let Some(program) = self.state.programs.get(&id) else {
            return unrecorded(&settle.outcome);
        };
        let active = program.open.as_ref().and_then(|open| open.active_permit);
        let reply = if active.is_some_and(|active| active.id == settle.permit.id) {
            self.settle_active(id, settle.outcome);
            Reply::Done
        } else {
            self.settle_late(settle)
        };
        self.return_grant(id);
        self.assert_program_invariants(id);
        reply
    }

    /// Closes the attempt in use.
    fn settle_active(&mut self, id: ProgramId, outcome: Outcome) {
        let program = &mut self.state.programs[&id];
        let Some(open) = program.open.as_mut() else {
            return;
        };
        let (idempotent, issued_ms) = (open.idempotent, open.issued_ms);
        match (charged(&outcome), open.active_permit) {
            (Some(used), Some(permit)) => {
                open.active_permit = None;
                program.budget.charge(permit.reserved, used);
            }
            // The upstream may still run it, so its tokens stay set aside.
            _ => program.mark_active_lost(),
        }
        let closes = match outcome {
            Outcome::NotRun => false,
            Outcome::Unknown => !idempotent,
            Outcome::Completed { .. } | Outcome::Failed { .. } => true,
        };
        if closes && outcome == Outcome::Unknown {
            // Its sidecar may not have seen it yet, and may still start it.
            let program = &mut self.state.programs[&id];
            program.next_start_ms = issued_ms + u64::from(self.state.limits.start_limit_ms);
        }
        if closes {
            self.close(id, outcome);
        }
    }

    /// Marks the open call as given up, if it has this key and no attempt runs.
    pub(crate) fn give_up(&mut self, id: ProgramId, key: RequestKey) {
        let Some(program) = self.state.programs.get_mut(&id) else {
            return;
        };
        let Some(open) = program.open.as_mut() else {
            return;
        };
        if open.key != key || open.active_permit.is_some() {
            return;
        }
        open.given_up = true;
        // A program of one call that never ran leaves nothing to remember.
        if program.implicit && !program.open_may_have_run() {
            self.forget(id);
        }
    }

    /// Clears the way for the call after one that was given up: one that never
    /// ran is withdrawn, any other is closed.
    fn abandon(&mut self, id: ProgramId) {
        let program = &mut self.state.programs[&id];
        if program.open_may_have_run() {
            self.close(id, Outcome::Unknown);
            return;
        }
        program.open = None;
        program.calls.pop();
        self.history.remove_last(id);
    }

    /// Closes the open call. An attempt that still runs is of no more use, and
    /// its tokens stay set aside until it is heard of.
    fn close(&mut self, id: ProgramId, outcome: Outcome) {
        self.history.record_outcome(id, outcome);
        let program = &mut self.state.programs[&id];
        program.mark_active_lost();
        program.open = None;
        if program.implicit {
            self.end(id);
        }
    }

    /// Takes news of an attempt that is not in use any more.
    ///
    /// Its tokens are settled. The first whole answer of any attempt closes the
    /// call; once closed, the recorded outcome stands.
    fn settle_late(&mut self, settle: Settle) -> Reply {
        let Some(chunk) = self.recorded(settle.program, settle.permit.key) else {
            return unrecorded(&settle.outcome);
        };
        let was_lost = self.settle_lost(settle.program, settle.permit.id, &settle.outcome);
        match (chunk.outcome, &settle.outcome) {
            (Some(stands), outcome) if stands == *outcome => Reply::Done,
            (Some(stands), _) => Reply::Superseded(stands),
            (None, Outcome::NotRun | Outcome::Unknown) => Reply::Done,
            (None, _) if was_lost => {
                self.close(settle.program, settle.outcome);
                Reply::Done
            }
            (None, _) => unrecorded(&settle.outcome),
        }
    }

    /// The chunk of a key's call.
    fn recorded(&self, id: ProgramId, key: RequestKey) -> Option<StoredCall> {
        let mut numbers = self.state.programs[&id].candidates(key);
        numbers.find_map(|number| {
            let chunk = self.history.read(id, number)?;
            (chunk.key == key).then_some(chunk)
        })
    }

    /// Settles the tokens of a lost attempt; `false` if it was not lost.
    fn settle_lost(&mut self, id: ProgramId, permit: PermitId, outcome: &Outcome) -> bool {
        let program = &mut self.state.programs[&id];
        let slot = program.lost.iter().position(|lost| lost.permit == permit);
        let Some(slot) = slot else { return false };
        if let Some(used) = charged(outcome) {
            let lost = program.lost.remove(slot);
            program.budget.charge(lost.reserved, used);
        }
        true
    }
}

/// Answers for an attempt whose call is not there any more, or whose permit was
/// given back: an answer of it is never told to a caller.
fn unrecorded(outcome: &Outcome) -> Reply {
    match outcome {
        Outcome::NotRun | Outcome::Unknown => Reply::Done,
        Outcome::Completed { .. } | Outcome::Failed { .. } => Reply::Refused(refuse(
            ErrorKind::Internal,
            "the permit was given back, or its program was forgotten",
        )),
    }
}

/// Tokens to charge for an outcome; `None` if nobody knows.
fn charged(outcome: &Outcome) -> Option<Tokens> {
    match outcome {
        Outcome::Completed { prompt, output, .. } => {
            Some(Tokens(prompt.0.saturating_add(output.0)))
        }
        Outcome::Failed { used, .. } => Some(*used),
        Outcome::NotRun => Some(Tokens(0)),
        Outcome::Unknown => None,
    }
}

/// Refuses other content or another number under a known key.
fn same_call(begin: &Begin, number: CallNumber, same_digest: bool) -> Result<()> {
    if !same_digest {
        return Err(conflict("the key was used before for other content"));
    }
    if begin.number.is_some_and(|asked| asked != number) {
        return Err(conflict("the key was used before for another call number"));
    }
    Ok(())
}

/// A conflict with what is recorded.
fn conflict(text: &str) -> Error {
    refuse(ErrorKind::Conflict, text)
}
