//! Operations on calls: order, permits, replay of outcomes and settlement.

use {
    crate::{
        History, Ledger, OpenCall, Reply, StoredCall, ledger::LogPosition, program::fingerprint,
        refusal,
    },
    quay_types::{
        Attempt, Begin, BeginReply, CallNumber, Error, ErrorKind, Incarnation, NewProgram, Outcome,
        Permit, PermitId, ProgramId, RequestKey, Result, Settle, Tokens, UpstreamId,
    },
};

/// Result of looking up the key of a [`Begin`].
enum Lookup {
    /// The program has no call with this key.
    Absent,
    /// The call has ended with this outcome.
    Closed(Outcome),
    /// The call is the open call.
    Open,
}

impl<H: History> Ledger<H> {
    /// Handles a request for a permit to run a call.
    pub(crate) fn begin(&mut self, at: LogPosition, begin: Begin) -> BeginReply {
        self.try_begin(at, begin)
            .unwrap_or_else(BeginReply::Refused)
    }

    /// Implements [`Ledger::begin`]. An error leaves the state of all calls
    /// unchanged.
    fn try_begin(&mut self, at: LogPosition, begin: Begin) -> Result<BeginReply> {
        if begin.number == Some(CallNumber(0)) {
            return Err(refusal(ErrorKind::BadRequest, "calls are numbered from 1"));
        }
        let id = begin.program;
        if let (Some(limits), None) = (begin.implicit, self.state.programs.get(&id)) {
            self.check_entry(&begin)?;
            if limits.turns == 0 || begin.reserve > limits.budget {
                return Err(refusal(
                    ErrorKind::BudgetExceeded,
                    "the call exceeds the limits of a program for a standalone call",
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
        match self.lookup(&begin)? {
            Lookup::Closed(outcome) => Ok(BeginReply::Replay(outcome)),
            Lookup::Open => self
                .next_attempt(at, &begin)
                .map_err(|err| self.replace_not_run_error(id, err)),
            Lookup::Absent => self.next_call(at, begin),
        }
    }

    /// Looks up the call with the key of `begin`. Other content under the same
    /// key is a conflict.
    fn lookup(&self, begin: &Begin) -> Result<Lookup> {
        let program = &self.state.programs[&begin.program];
        if program.implicit && program.key != begin.key {
            return Err(conflict(
                "the program belongs to a standalone call with another key",
            ));
        }
        if let Some(open) = program.open.as_ref().filter(|open| open.key == begin.key) {
            check_same_call(begin, program.last_call(), open.digest == begin.digest)?;
            return Ok(Lookup::Open);
        }
        for number in program.candidates(begin.key) {
            let call = self.history.read(begin.program, number);
            let Some(call) = call.filter(|call| call.key == begin.key) else {
                continue;
            };
            check_same_call(begin, number, call.digest == begin.digest)?;
            // The open call was handled above, so this call has ended.
            if let Some(outcome) = call.outcome {
                return Ok(Lookup::Closed(outcome));
            }
        }
        Ok(Lookup::Absent)
    }

    /// Opens the program's next call if its turn has come.
    fn next_call(&mut self, at: LogPosition, begin: Begin) -> Result<BeginReply> {
        let program = &self.state.programs[&begin.program];
        let given_up = program.open.as_ref().is_some_and(|open| open.given_up);
        let withdrawn = given_up && !program.open_may_have_run();
        let call_count = program.last_call().0 - u32::from(withdrawn);
        let next = CallNumber(call_count + 1);
        if begin.number.is_some_and(|number| number < next) {
            return Err(conflict(
                "the call number was already used with another key",
            ));
        }
        if program.ended_ms.is_some() {
            return Err(refusal(ErrorKind::ProgramEnded, "the program has ended"));
        }
        if call_count >= program.limits.turns {
            return Err(refusal(
                ErrorKind::ProgramLimit,
                "the program has reached its limit of turns",
            ));
        }
        let predecessor_open = program.open.is_some() && !given_up;
        let before_next_start = self.state.now_ms < program.next_start_ms;
        if predecessor_open || before_next_start || begin.number.is_some_and(|number| number > next)
        {
            return Ok(BeginReply::Wait(self.state.limits.wait_ms));
        }
        self.check_entry(&begin)?;
        self.reserve_tokens(&begin)?;
        if given_up {
            self.resolve_given_up(begin.program);
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
        let reply = self.issue_permit(at, &begin);
        let call = StoredCall {
            key: begin.key,
            digest: begin.digest,
            prompt: begin.prompt,
            outcome: None,
        };
        self.history.append(begin.program, call);
        Ok(reply)
    }

    /// Replaces an error that claims "not run" if the open call may have run.
    fn replace_not_run_error(&self, id: ProgramId, err: Error) -> Error {
        if !err.kind.not_run() || !self.state.programs[&id].open_may_have_run() {
            return err;
        }
        let text = format!(
            "an attempt was lost, and no further attempt is possible: {}",
            err.message
        );
        refusal(ErrorKind::UpstreamLost, text)
    }

    /// Returns the running attempt of the open call, or issues the next permit.
    fn next_attempt(&mut self, at: LogPosition, begin: &Begin) -> Result<BeginReply> {
        let program = &self.state.programs[&begin.program];
        if let Some(active) = program.open.as_ref().and_then(|open| open.active_permit) {
            return Ok(BeginReply::Running(active));
        }
        if program.ended_ms.is_some() {
            return Err(refusal(ErrorKind::ProgramEnded, "the program has ended"));
        }
        if !program.can_lose_attempt() {
            return Err(refusal(
                ErrorKind::ProgramLimit,
                "the program has reached its limit of lost attempts",
            ));
        }
        self.check_entry(begin)?;
        self.reserve_tokens(begin)?;
        Ok(self.issue_permit(at, begin))
    }

    /// Refuses an entry that has an outdated configuration or no upstream for
    /// the call.
    fn check_entry(&self, begin: &Begin) -> Result<()> {
        if begin.config < self.state.config_floor {
            return Err(refusal(
                ErrorKind::ConfigStale,
                "the configuration of the entry is out of date",
            ));
        }
        if begin.upstream == (UpstreamId::default(), Incarnation::default()) {
            return Err(refusal(
                ErrorKind::NoUpstream,
                "no upstream is available for the call",
            ));
        }
        Ok(())
    }

    /// Reserves the call's tokens in the program's budget.
    fn reserve_tokens(&mut self, begin: &Begin) -> Result<()> {
        let budget = &mut self.state.programs[&begin.program].budget;
        if budget.reserve(begin.reserve) {
            return Ok(());
        }
        Err(refusal(
            ErrorKind::BudgetExceeded,
            format!(
                "the call may need {} tokens, but the program's budget has {} left",
                begin.reserve.0,
                budget.free()
            ),
        ))
    }

    /// Issues a permit for the open call, whose tokens are already reserved.
    fn issue_permit(&mut self, at: LogPosition, begin: &Begin) -> BeginReply {
        let program = &mut self.state.programs[&begin.program];
        let (number, attained) = (program.last_call(), program.budget.used());
        let Some(open) = program.open.as_mut() else {
            unreachable!("permits are issued only for open calls");
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
    // Settlement

    /// Records the end of an attempt. A resend changes nothing.
    pub(crate) fn settle(&mut self, settle: Settle) -> Reply {
        let id = settle.program;
        let Some(program) = self.state.programs.get(&id) else {
            return reply_without_record(&settle.outcome);
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

    /// Settles the attempt of the active permit.
    fn settle_active(&mut self, id: ProgramId, outcome: Outcome) {
        let program = &mut self.state.programs[&id];
        let Some(open) = program.open.as_mut() else {
            return;
        };
        let (idempotent, issued_ms) = (open.idempotent, open.issued_ms);
        match (charged_tokens(&outcome), open.active_permit) {
            (Some(used), Some(permit)) => {
                open.active_permit = None;
                program.budget.charge(permit.reserved, used);
            }
            // The upstream may still run the attempt, so its tokens stay
            // reserved.
            _ => program.mark_active_lost(),
        }
        let closes = match outcome {
            Outcome::NotRun => false,
            Outcome::Unknown => !idempotent,
            Outcome::Completed { .. } | Outcome::Failed { .. } => true,
        };
        if closes && outcome == Outcome::Unknown {
            // The sidecar may not have received the attempt yet, and may still
            // start it.
            let program = &mut self.state.programs[&id];
            program.next_start_ms = issued_ms + u64::from(self.state.limits.start_limit_ms);
        }
        if closes {
            self.close(id, outcome);
        }
    }

    /// Marks the open call as given up, if it has this key and no active
    /// permit.
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
        // The program of a standalone call that did not run has no outcome to
        // retain.
        if program.implicit && !program.open_may_have_run() {
            self.remove_tree(id);
        }
    }

    /// Resolves the given-up open call so that the next call can start: closes
    /// it if it may have run, removes it otherwise.
    fn resolve_given_up(&mut self, id: ProgramId) {
        let program = &mut self.state.programs[&id];
        if program.open_may_have_run() {
            self.close(id, Outcome::Unknown);
            return;
        }
        program.open = None;
        program.calls.pop();
        self.history.remove_last(id);
    }

    /// Closes the open call. An attempt that is still running becomes lost, and
    /// its tokens stay reserved until it is settled.
    fn close(&mut self, id: ProgramId, outcome: Outcome) {
        self.history.record_outcome(id, outcome);
        let program = &mut self.state.programs[&id];
        program.mark_active_lost();
        program.open = None;
        if program.implicit {
            self.end(id);
        }
    }

    /// Settles an attempt whose permit is no longer active.
    ///
    /// Charges the attempt's tokens. The first final outcome of any attempt
    /// closes the call; the recorded outcome of a closed call does not change.
    fn settle_late(&mut self, settle: Settle) -> Reply {
        let Some(call) = self.stored_call(settle.program, settle.permit.key) else {
            return reply_without_record(&settle.outcome);
        };
        let was_lost = self.settle_lost(settle.program, settle.permit.id, &settle.outcome);
        match (call.outcome, &settle.outcome) {
            (Some(recorded), outcome) if recorded == *outcome => Reply::Done,
            (Some(recorded), _) => Reply::Superseded(recorded),
            (None, Outcome::NotRun | Outcome::Unknown) => Reply::Done,
            (None, _) if was_lost => {
                self.close(settle.program, settle.outcome);
                Reply::Done
            }
            (None, _) => reply_without_record(&settle.outcome),
        }
    }

    /// Stored call with this key.
    fn stored_call(&self, id: ProgramId, key: RequestKey) -> Option<StoredCall> {
        let mut numbers = self.state.programs[&id].candidates(key);
        numbers.find_map(|number| {
            let call = self.history.read(id, number)?;
            (call.key == key).then_some(call)
        })
    }

    /// Charges the tokens of a lost attempt if its usage is known. Returns
    /// `false` if the attempt is not among the lost ones.
    fn settle_lost(&mut self, id: ProgramId, permit: PermitId, outcome: &Outcome) -> bool {
        let program = &mut self.state.programs[&id];
        let slot = program.lost.iter().position(|lost| lost.permit == permit);
        let Some(slot) = slot else { return false };
        if let Some(used) = charged_tokens(outcome) {
            let lost = program.lost.remove(slot);
            program.budget.charge(lost.reserved, used);
        }
        true
    }
}

/// Reply to the settlement of an attempt whose call is no longer stored or
/// whose permit was returned unused. Its answer must not reach a caller.
fn reply_without_record(outcome: &Outcome) -> Reply {
    match outcome {
        Outcome::NotRun | Outcome::Unknown => Reply::Done,
        Outcome::Completed { .. } | Outcome::Failed { .. } => Reply::Refused(refusal(
            ErrorKind::Internal,
            "the permit was returned unused, or its program was removed",
        )),
    }
}

/// Tokens to charge for an outcome; `None` if the usage is unknown.
fn charged_tokens(outcome: &Outcome) -> Option<Tokens> {
    match outcome {
        Outcome::Completed { prompt, output, .. } => {
            Some(Tokens(prompt.0.saturating_add(output.0)))
        }
        Outcome::Failed { used, .. } => Some(*used),
        Outcome::NotRun => Some(Tokens(0)),
        Outcome::Unknown => None,
    }
}

/// Refuses other content or another call number under a known key.
fn check_same_call(begin: &Begin, number: CallNumber, same_digest: bool) -> Result<()> {
    if !same_digest {
        return Err(conflict("the key was already used with other content"));
    }
    if begin.number.is_some_and(|asked| asked != number) {
        return Err(conflict(
            "the key was already used with another call number",
        ));
    }
    Ok(())
}

/// Error for a request that conflicts with a recorded call.
fn conflict(text: &str) -> Error {
    refusal(ErrorKind::Conflict, text)
}
