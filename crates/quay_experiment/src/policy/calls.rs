//! Life of the calls of a run: sent, queued, run, lost, sent again.

use {
    super::{
        program::BLOCK_TOKENS,
        stats::record,
        upstream::MODEL,
        world::{Event, World},
    },
    quay_policy::{
        Clearance, Policy, RouteRequest, SuspectCommand, SuspectReply, Ticket, TicketId, Verdict,
    },
    quay_standin::model::{Job, JobId},
    quay_types::{CallTarget, ContentDigest, Error, Incarnation, Time, Tokens, UpstreamId},
    std::time::Duration,
};

/// Time from an entry to a sidecar.
const HOP: Duration = Duration::from_millis(1);

/// Upstreams that one call is offered to before its caller is told to come back.
const OFFERS: usize = 2;

/// A caller without a better hint comes back after this.
const COME_BACK: Duration = Duration::from_secs(1);

/// A caller whose request is in quarantine comes back after this.
const COME_BACK_QUARANTINED: Duration = Duration::from_secs(5);

/// Interval at which a suspect asks again for its turn.
const SUSPECT_RETRY: Duration = Duration::from_millis(200);

/// A stream without a byte for so long is taken for lost.
const SILENCE: Duration = Duration::from_secs(5);

/// One call of a program, over all its attempts.
#[derive(Debug, Clone)]
pub struct Call {
    pub program: usize,
    pub made: Time,
    pub entry: usize,
    /// Entry that counts the call for its account.
    pub counted_at: Option<usize>,
    /// Upstream of the attempt under way.
    pub upstream: Option<usize>,
    pub running: bool,
    pub alone: bool,
    pub entered: Time,
    pub prompt: u32,
    pub output: u32,
    pub blocks: std::sync::Arc<[u64]>,
    /// Blocks that the entry expected the upstream to hold.
    pub held: u32,
    pub missing: u64,
    pub last_token: Option<Time>,
    pub first_token_told: bool,
    pub tried: Vec<UpstreamId>,
    pub offers: usize,
    pub digest: ContentDigest,
}

impl<P: Policy> World<P> {
    // -----------------------------------------------------------------------
    // Programs

    pub(super) fn arrive(&mut self, program: usize) {
        self.counters.programs += 1;
        self.open += 1;
        self.start_turn(program);
    }

    /// Makes the call of a program's turn.
    pub(super) fn start_turn(&mut self, program: usize) {
        let (spec, state) = (&self.specs[program], &mut self.states[program]);
        let turn = &spec.turns[state.turn];
        let prompt = spec.prompt(state.turn);
        let known = ((prompt + turn.output) / BLOCK_TOKENS) as usize;
        let digest = ContentDigest::of(&[
            &spec.id.root.to_le_bytes(),
            &spec.id.branch.to_le_bytes(),
            &state.turn.to_le_bytes(),
        ]);
        state.call = Some(self.calls.len());
        let call = Call {
            program,
            made: self.now,
            entry: 0,
            counted_at: None,
            upstream: None,
            running: false,
            alone: false,
            entered: self.now,
            prompt,
            output: turn.output,
            blocks: spec.blocks[..known.min(spec.blocks.len())].into(),
            held: 0,
            missing: 0,
            last_token: None,
            first_token_told: false,
            tried: Vec::new(),
            offers: 0,
            digest,
        };
        self.budgets.record_first_attempt(spec.account, MODEL.0);
        self.calls.push(call);
        self.send(self.calls.len() - 1);
    }

    /// Goes on once the pause is over and the sub-agents have ended.
    pub(super) fn pause_over(&mut self, program: usize) {
        self.states[program].pause_over = true;
        self.next_turn(program);
    }

    fn next_turn(&mut self, program: usize) {
        let state = &mut self.states[program];
        if state.ended || !state.pause_over || state.open_children > 0 {
            return;
        }
        state.turn += 1;
        self.start_turn(program);
    }

    /// Handles the end of a turn: sub-agents, the pause, or the program's end.
    fn turn_done(&mut self, program: usize) {
        let state = &mut self.states[program];
        let turn = &self.specs[program].turns[state.turn];
        state.attained += u64::from(self.specs[program].prompt(state.turn) + turn.output);
        state.call = None;
        if state.turn + 1 == self.specs[program].turns.len() {
            return self.finish(program);
        }
        state.pause_over = false;
        state.open_children = turn.sub_agents.len();
        let (pause, children) = (turn.pause, turn.sub_agents.clone());
        self.after(pause, Event::PauseOver(program));
        for child in children {
            self.start_turn(child);
        }
    }

    fn finish(&mut self, program: usize) {
        self.end_program(program);
        match self.specs[program].parent {
            Some(parent) => {
                let attained = self.states[program].attained;
                let state = &mut self.states[parent];
                state.attained += attained;
                state.open_children -= 1;
                self.next_turn(parent);
            }
            None => self.record_end(program, true),
        }
    }

    /// Ends a program and tells the upstreams that hold something for it.
    fn end_program(&mut self, program: usize) {
        let state = &mut self.states[program];
        state.ended = true;
        for at in std::mem::take(&mut state.upstreams) {
            let id = self.specs[program].id;
            if let Some(action) = self.upstreams[at].retention.program_ended(id) {
                self.retain(at, &action);
            }
        }
    }

    /// The caller gives up: what is open is cancelled through to the engine.
    pub(super) fn give_up(&mut self, program: usize) {
        if self.states[program].ended {
            return;
        }
        let root = self.specs[program].id.root;
        let mut tree = vec![program];
        tree.extend(
            (program + 1..self.specs.len()).take_while(|at| self.specs[*at].id.root == root),
        );
        for place in tree {
            if let Some(call) = self.states[place].call.take() {
                self.cancel(call);
            }
            if !self.states[place].ended {
                self.end_program(place);
            }
        }
        self.record_end(program, false);
    }

    fn cancel(&mut self, call: usize) {
        self.uncount_call(call);
        let Some(at) = self.calls[call].upstream.take() else {
            return;
        };
        self.left(call, at);
        self.upstreams[at].gate.cancel(self.now, ticket_id(call));
        self.upstreams[at].engine.cancel(self.now, job_id(call));
        self.trial_ended(call, false);
        self.drive(at);
        self.poll_gate(at);
    }

    // -----------------------------------------------------------------------
    // Sending

    /// Chooses an upstream for a call and sends it there.
    pub(super) fn send(&mut self, call: usize) {
        if self.states[self.calls[call].program].ended {
            return;
        }
        let entries = self.entries.len() as u64;
        let draw = self.draw();
        let now = self.now;
        let open = &mut self.calls[call];
        open.entry = usize::try_from(draw % entries).unwrap_or_default();
        if !self.count_call(call) {
            return self.come_back(call, COME_BACK);
        }
        let spec = &self.specs[self.calls[call].program];
        let open = &mut self.calls[call];
        let req = RouteRequest {
            target: CallTarget::Model(MODEL),
            program: spec.id,
            has_history: true,
            conversations: &[],
            prompt: Tokens(open.prompt.into()),
            blocks: &open.blocks[..open.blocks.len().min((open.prompt / BLOCK_TOKENS) as usize)],
            tried: &open.tried,
        };
        let Some(choice) = self.entries[open.entry].pick(now, &req, draw / entries) else {
            return self.come_back(call, COME_BACK);
        };
        open.held = choice.cached_blocks;
        let at = self
            .upstreams
            .iter()
            .position(|upstream| upstream.id == choice.upstream);
        let leave = self.request_clearance(call, choice.upstream);
        self.calls[call].alone = leave == Clearance::Exclusive;
        match leave {
            Clearance::Quarantined(_) => self.come_back(call, COME_BACK_QUARANTINED),
            Clearance::Wait => {
                self.entries[self.calls[call].entry].record_end(now, choice.upstream);
                self.after(SUSPECT_RETRY, Event::Send(call));
            }
            Clearance::Unrestricted | Clearance::OnlySuspect | Clearance::Exclusive => {
                self.calls[call].upstream = at;
                self.after(HOP, Event::Deliver(call));
            }
        }
    }

    /// Counts a call for its account at its entry; false if the account has too many.
    fn count_call(&mut self, call: usize) -> bool {
        let open = &self.calls[call];
        if self.cfg.account_calls == 0 || open.counted_at.is_some() {
            return true;
        }
        let (account, entry) = (self.specs[open.program].account, open.entry);
        let state = &self.states[open.program];
        let under_way = state.attained > 0 || self.specs[open.program].depth > 0;
        let holder = &mut self.slices[entry];
        if holder.needs_lease(self.now, account) {
            let (id, wanted) = (entry as u64, holder.demand(account));
            let limit = self.cfg.account_calls;
            let lease = self.allocator.lease(self.now, account, id, wanted, limit);
            holder.set_lease(account, lease);
        }
        let may = holder.begin_call(self.now, account, under_way);
        self.calls[call].counted_at = may.then_some(entry);
        may
    }

    /// Notes that a call has ended for its account.
    fn uncount_call(&mut self, call: usize) {
        if let Some(entry) = self.calls[call].counted_at.take() {
            let account = self.specs[self.calls[call].program].account;
            self.slices[entry].end_call(account);
        }
    }

    /// Asks for leave if the request is a suspect.
    fn request_clearance(&mut self, call: usize, upstream: UpstreamId) -> Clearance {
        let digest = self.calls[call].digest;
        if !self.suspects.is_suspect(digest) {
            return Clearance::Unrestricted;
        }
        let ask = SuspectCommand::RequestClearance {
            at: self.now,
            digest,
            upstream,
        };
        match self.suspects.apply(&ask) {
            SuspectReply::Clearance(leave) => leave,
            SuspectReply::Done => Clearance::Unrestricted,
        }
    }

    /// Tells the control group that a suspect's run has ended.
    fn trial_ended(&mut self, call: usize, completed: bool) {
        let digest = self.calls[call].digest;
        if self.suspects.is_suspect(digest) {
            self.suspects.apply(&SuspectCommand::Ended {
                at: self.now,
                digest,
                completed,
            });
        }
    }

    /// The caller is refused and comes back after a while.
    fn come_back(&mut self, call: usize, span: Duration) {
        self.counters.refusals += 1;
        self.uncount_call(call);
        self.calls[call].offers = 0;
        self.calls[call].tried.clear();
        self.after(span, Event::Send(call));
    }

    /// A call reaches the queue of a sidecar.
    pub(super) fn deliver(&mut self, call: usize) {
        let open = &mut self.calls[call];
        let Some(at) = open.upstream else { return };
        open.entered = self.now;
        open.missing = u64::from(open.prompt.saturating_sub(open.held * BLOCK_TOKENS));
        let (spec, state) = (&self.specs[open.program], &self.states[open.program]);
        let ticket = Ticket {
            id: ticket_id(call),
            program: spec.id,
            account: spec.account,
            attained: Tokens(state.attained),
            depth: spec.depth,
            prompt: Tokens(open.prompt.into()),
            deadline: spec.deadline,
            exclusive: open.alone,
        };
        self.upstreams[at].backlog += open.missing;
        self.upstreams[at].gate.enqueue(self.now, ticket);
        self.poll_gate(at);
    }

    /// Carries out what a gate decided.
    pub(super) fn poll_gate(&mut self, at: usize) {
        for verdict in self.upstreams[at].gate.poll(self.now) {
            match verdict {
                Verdict::Admit(id) => self.admitted(at, call_of(id.0)),
                Verdict::Refuse(id, err) => self.refused(at, call_of(id.0), &err),
            }
        }
    }

    fn admitted(&mut self, at: usize, call: usize) {
        let open = &mut self.calls[call];
        open.running = true;
        let waited = self.now.since(open.entered);
        self.counters.longest_wait = self.counters.longest_wait.max(waited);
        let spec = &self.specs[open.program];
        let job = Job {
            id: job_id(call),
            blocks: open.blocks.clone(),
            shared: spec.shared / BLOCK_TOKENS,
            prompt: open.prompt,
            output: open.output,
            poison: spec.poison,
        };
        let (program, id) = (open.program, spec.id);
        if !self.states[program].upstreams.contains(&at) {
            self.states[program].upstreams.push(at);
        }
        for action in self.upstreams[at].retention.call_started(self.now, id) {
            self.retain(at, &action);
        }
        if !self.upstreams[at].engine.submit(self.now, job) {
            self.upstreams[at].gate.finish(self.now, ticket_id(call));
            return self.lost(call);
        }
        self.drive(at);
    }

    fn refused(&mut self, at: usize, call: usize, err: &Error) {
        self.left(call, at);
        self.trial_ended(call, false);
        let open = &mut self.calls[call];
        open.upstream = None;
        open.offers += 1;
        open.tried.push(self.upstreams[at].id);
        if open.offers < OFFERS {
            return self.send(call);
        }
        self.come_back(call, err.retry_after.unwrap_or(COME_BACK));
    }

    /// Notes at entry and sidecar that a call is no longer there.
    fn left(&mut self, call: usize, at: usize) {
        let open = &mut self.calls[call];
        open.running = false;
        let upstream = &mut self.upstreams[at];
        upstream.backlog -= std::mem::take(&mut open.missing);
        self.entries[open.entry].record_end(self.now, upstream.id);
    }

    // -----------------------------------------------------------------------
    // Running

    pub(super) fn call_started(&mut self, job: JobId, cached: u32) {
        let call = call_of(job.0);
        let open = &self.calls[call];
        let Some(at) = open.upstream else { return };
        let whole = (open.prompt / BLOCK_TOKENS) as usize;
        let held = (cached / BLOCK_TOKENS) as usize;
        let missed = open.blocks[held.min(whole)..whole].iter();
        let again = missed.filter(|hash| self.seen.contains(*hash)).count() as u64;
        self.counters.wasted_tokens += again * u64::from(BLOCK_TOKENS);
        self.seen.extend(open.blocks.iter().copied());
        let id = self.upstreams[at].id;
        let held = cached / BLOCK_TOKENS;
        self.entries[open.entry].record_cached(id, &open.blocks, held, open.held);
    }

    pub(super) fn call_token(&mut self, job: JobId, at: Time) {
        let open = &mut self.calls[call_of(job.0)];
        let Some(upstream) = open.upstream else {
            return;
        };
        self.upstreams[upstream].backlog -= std::mem::take(&mut open.missing);
        match open.last_token {
            Some(last) => record(&mut self.counters.token_gap, at.since(last)),
            None if !open.first_token_told => {
                open.first_token_told = true;
                record(&mut self.counters.first_token, at.since(open.made));
            }
            None => {}
        }
        open.last_token = Some(at);
    }

    pub(super) fn call_done(&mut self, job: JobId) {
        let call = call_of(job.0);
        let Some(at) = self.calls[call].upstream.take() else {
            return;
        };
        self.left(call, at);
        self.trial_ended(call, true);
        self.uncount_call(call);
        let program = self.calls[call].program;
        let id = self.specs[program].id;
        self.upstreams[at].gate.finish(self.now, ticket_id(call));
        if let Some(action) = self.upstreams[at].retention.call_ended(self.now, id) {
            self.retain(at, &action);
        }
        self.turn_done(program);
        self.poll_gate(at);
    }

    // -----------------------------------------------------------------------
    // Losses

    /// An engine has crashed with these calls on it.
    pub(super) fn crashed(&mut self, at: usize, calls: &[usize]) {
        let poisoned = calls
            .iter()
            .any(|call| self.specs[self.calls[*call].program].poison);
        self.counters.lost_to_poison += u64::from(poisoned);
        if poisoned {
            let restart = super::faults::Fault::Restart(at);
            self.after(super::faults::RESTART, Event::Fault(restart));
        }
        let upstream = &mut self.upstreams[at];
        upstream.crashes += 1;
        upstream.gate.drain();
        upstream.retention.clear();
        upstream.exports.clear();
        upstream.exported.clear();
        if self.cfg.quarantine {
            let running = calls.iter().map(|call| self.calls[*call].digest);
            let command = SuspectCommand::Crashed {
                at: self.now,
                upstream: upstream.id,
                incarnation: Incarnation(1),
                crash: upstream.crashes,
                running: running.collect(),
            };
            self.suspects.apply(&command);
        }
        for call in calls {
            self.upstreams[at].gate.finish(self.now, ticket_id(*call));
            self.lost(*call);
        }
        self.poll_gate(at);
    }

    /// The streams of calls that run at an upstream fall silent for good.
    pub(super) fn silence(&mut self, at: usize) {
        for call in 0..self.calls.len() {
            if self.calls[call].upstream == Some(at) && self.calls[call].running {
                // The entry hears nothing for a while, then cancels and sends again.
                self.left(call, at);
                self.calls[call].upstream = None;
                self.calls[call].last_token = None;
                self.upstreams[at].engine.cancel(self.now, job_id(call));
                self.upstreams[at].gate.finish(self.now, ticket_id(call));
                self.after(SILENCE, Event::Send(call));
            }
        }
    }

    /// A call's upstream is lost: it is sent again if the budgets allow, or by
    /// its caller.
    fn lost(&mut self, call: usize) {
        if let Some(at) = self.calls[call].upstream.take() {
            self.left(call, at);
            let id = self.upstreams[at].id;
            self.calls[call].tried.push(id);
        }
        self.calls[call].last_token = None;
        let account = self.specs[self.calls[call].program].account;
        if self.budgets.try_retry(account, MODEL.0) {
            self.after(HOP, Event::Send(call));
        } else {
            self.come_back(call, COME_BACK);
        }
    }
}

fn ticket_id(call: usize) -> TicketId {
    TicketId(call as u64)
}

fn job_id(call: usize) -> JobId {
    JobId(call as u64)
}

fn call_of(id: u64) -> usize {
    usize::try_from(id).unwrap_or(usize::MAX)
}
