//! Lifecycle of calls: routing, admission, execution, loss and retry.

use {
    super::{
        program::BLOCK_TOKENS,
        simulation::{Event, Simulation},
        stats::record,
        upstream::MODEL,
    },
    quay_policy::{
        Clearance, Policy, RouteRequest, SuspectCommand, SuspectReply, Ticket, TicketId, Verdict,
    },
    quay_standin::model::{Job, JobId},
    quay_types::{CallTarget, ContentDigest, Error, Incarnation, Time, Tokens, UpstreamId},
    std::time::Duration,
};

/// Network delay between an entry and a sidecar.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Number of upstreams that a call is offered to before the caller is told to
/// retry later.
const MAX_OFFERS: usize = 2;

/// Time after which a refused caller retries if the refusal gives no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a caller retries a quarantined request.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Interval at which a suspect request asks for clearance again.
const CLEARANCE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time without data after which a stream is considered lost.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of one call of a program across all attempts.
#[derive(Debug, Clone)]
pub struct Call {
    pub program: usize,
    pub created_at: Time,
    pub entry: usize,
    /// Entry whose quota of the account the call uses.
    pub quota_entry: Option<usize>,
    /// Upstream of the current attempt.
    pub upstream: Option<usize>,
    pub running: bool,
    pub exclusive_run: bool,
    pub enqueued_at: Time,
    pub prompt: u32,
    pub output: u32,
    pub blocks: std::sync::Arc<[u64]>,
    /// Number of blocks that the entry expected in the upstream's cache.
    pub expected_cached_blocks: u32,
    /// Number of uncached prompt tokens that count towards the upstream's backlog.
    pub pending_prefill: u64,
    pub last_token: Option<Time>,
    pub first_token_recorded: bool,
    pub tried: Vec<UpstreamId>,
    pub offers: usize,
    pub digest: ContentDigest,
}

impl<P: Policy> Simulation<P> {
    // -----------------------------------------------------------------------
    // Programs

    pub(super) fn arrive(&mut self, program: usize) {
        self.counters.programs += 1;
        self.open_programs += 1;
        self.start_turn(program);
    }

    /// Creates and sends the call of the program's current turn.
    pub(super) fn start_turn(&mut self, program: usize) {
        let (spec, state) = (&self.specs[program], &mut self.states[program]);
        let turn = &spec.turns[state.turn];
        let prompt = spec.prompt(state.turn);
        let block_count = ((prompt + turn.output) / BLOCK_TOKENS) as usize;
        let digest = ContentDigest::of(&[
            &spec.id.root.to_le_bytes(),
            &spec.id.branch.to_le_bytes(),
            &state.turn.to_le_bytes(),
        ]);
        state.call = Some(self.calls.len());
        let call = Call {
            program,
            created_at: self.now,
            entry: 0,
            quota_entry: None,
            upstream: None,
            running: false,
            exclusive_run: false,
            enqueued_at: self.now,
            prompt,
            output: turn.output,
            blocks: spec.blocks[..block_count.min(spec.blocks.len())].into(),
            expected_cached_blocks: 0,
            pending_prefill: 0,
            last_token: None,
            first_token_recorded: false,
            tried: Vec::new(),
            offers: 0,
            digest,
        };
        self.budgets.record_first_attempt(spec.account, MODEL.0);
        self.calls.push(call);
        self.send(self.calls.len() - 1);
    }

    /// Starts the next turn after the pause if all sub-agents have ended.
    pub(super) fn pause_elapsed(&mut self, program: usize) {
        self.states[program].pause_elapsed = true;
        self.next_turn(program);
    }

    fn next_turn(&mut self, program: usize) {
        let state = &mut self.states[program];
        if state.ended || !state.pause_elapsed || state.open_sub_agents > 0 {
            return;
        }
        state.turn += 1;
        self.start_turn(program);
    }

    /// Ends a turn: finishes the program after its last turn, otherwise schedules
    /// the pause and starts the sub-agents.
    fn turn_completed(&mut self, program: usize) {
        let state = &mut self.states[program];
        let turn = &self.specs[program].turns[state.turn];
        state.attained += u64::from(self.specs[program].prompt(state.turn) + turn.output);
        state.call = None;
        if state.turn + 1 == self.specs[program].turns.len() {
            return self.finish_program(program);
        }
        state.pause_elapsed = false;
        state.open_sub_agents = turn.sub_agents.len();
        let (pause, children) = (turn.pause, turn.sub_agents.clone());
        self.schedule_after(pause, Event::PauseElapsed(program));
        for child in children {
            self.start_turn(child);
        }
    }

    fn finish_program(&mut self, program: usize) {
        self.end_program(program);
        match self.specs[program].parent {
            Some(parent) => {
                let attained = self.states[program].attained;
                let state = &mut self.states[parent];
                state.attained += attained;
                state.open_sub_agents -= 1;
                self.next_turn(parent);
            }
            None => self.record_program_end(program, true),
        }
    }

    /// Marks a program as ended and notifies the upstreams that hold its KV
    /// blocks.
    fn end_program(&mut self, program: usize) {
        let state = &mut self.states[program];
        state.ended = true;
        for index in std::mem::take(&mut state.upstreams) {
            let id = self.specs[program].id;
            if let Some(action) = self.upstreams[index].retention.program_ended(id) {
                self.apply_retention(index, &action);
            }
        }
    }

    /// Abandons a program at its deadline: cancels the open calls of the program
    /// and its sub-agents, including their jobs on the engines.
    pub(super) fn expire_program(&mut self, program: usize) {
        if self.states[program].ended {
            return;
        }
        let root = self.specs[program].id.root;
        let mut tree = vec![program];
        tree.extend(
            (program + 1..self.specs.len()).take_while(|index| self.specs[*index].id.root == root),
        );
        for member in tree {
            if let Some(call) = self.states[member].call.take() {
                self.cancel_call(call);
            }
            if !self.states[member].ended {
                self.end_program(member);
            }
        }
        self.record_program_end(program, false);
    }

    fn cancel_call(&mut self, call: usize) {
        self.release_quota(call);
        let Some(index) = self.calls[call].upstream.take() else {
            return;
        };
        self.leave_upstream(call, index);
        self.upstreams[index]
            .admission
            .cancel(self.now, ticket_id(call));
        self.upstreams[index].engine.cancel(self.now, job_id(call));
        self.suspect_run_ended(call, false);
        self.advance_engine(index);
        self.poll_admission(index);
    }

    // -----------------------------------------------------------------------
    // Sending

    /// Routes a call to an upstream.
    pub(super) fn send(&mut self, call: usize) {
        if self.states[self.calls[call].program].ended {
            return;
        }
        let entries = self.entries.len() as u64;
        let draw = self.draw();
        let now = self.now;
        let open = &mut self.calls[call];
        open.entry = usize::try_from(draw % entries).unwrap_or_default();
        if !self.acquire_quota(call) {
            return self.retry_later(call, DEFAULT_RETRY_AFTER);
        }
        let spec = &self.specs[self.calls[call].program];
        let open = &mut self.calls[call];
        let req = RouteRequest {
            beginning: None,
            target: CallTarget::Model(MODEL),
            program: spec.id,
            has_history: true,
            conversations: &[],
            prompt: Tokens(open.prompt.into()),
            blocks: &open.blocks[..open.blocks.len().min((open.prompt / BLOCK_TOKENS) as usize)],
            tried: &open.tried,
        };
        let Some(choice) = self.entries[open.entry].pick(now, &req, draw / entries) else {
            return self.retry_later(call, DEFAULT_RETRY_AFTER);
        };
        open.expected_cached_blocks = choice.cached_blocks;
        let index = self
            .upstreams
            .iter()
            .position(|upstream| upstream.id == choice.upstream);
        let clearance = self.request_clearance(call, choice.upstream);
        self.calls[call].exclusive_run = clearance == Clearance::Exclusive;
        match clearance {
            Clearance::Quarantined(_) => self.retry_later(call, QUARANTINE_RETRY_AFTER),
            Clearance::Wait => {
                self.entries[self.calls[call].entry].record_end(now, choice.upstream);
                self.schedule_after(CLEARANCE_RETRY_INTERVAL, Event::Send(call));
            }
            Clearance::Unrestricted | Clearance::OnlySuspect | Clearance::Exclusive => {
                self.calls[call].upstream = index;
                self.schedule_after(NETWORK_DELAY, Event::Deliver(call));
            }
        }
    }

    /// Counts the call against its account's quota at the entry; returns false if
    /// the quota is exhausted.
    fn acquire_quota(&mut self, call: usize) -> bool {
        let open = &self.calls[call];
        if self.cfg.account_calls == 0 || open.quota_entry.is_some() {
            return true;
        }
        let (account, entry) = (self.specs[open.program].account, open.entry);
        let state = &self.states[open.program];
        let in_progress = state.attained > 0 || self.specs[open.program].depth > 0;
        let quota = &mut self.quota_holders[entry];
        if quota.needs_lease(self.now, account) {
            let (id, demand) = (entry as u64, quota.demand(account));
            let limit = self.cfg.account_calls;
            let lease = self.allocator.lease(self.now, account, id, demand, limit);
            quota.set_lease(account, lease);
        }
        let granted = quota.begin_call(self.now, account, in_progress);
        self.calls[call].quota_entry = granted.then_some(entry);
        granted
    }

    /// Returns the call's quota to its account.
    fn release_quota(&mut self, call: usize) {
        if let Some(entry) = self.calls[call].quota_entry.take() {
            let account = self.specs[self.calls[call].program].account;
            self.quota_holders[entry].end_call(account);
        }
    }

    /// Requests clearance from the control group if the request is a suspect.
    fn request_clearance(&mut self, call: usize, upstream: UpstreamId) -> Clearance {
        let digest = self.calls[call].digest;
        if !self.suspects.is_suspect(digest) {
            return Clearance::Unrestricted;
        }
        let command = SuspectCommand::RequestClearance {
            at: self.now,
            digest,
            upstream,
        };
        match self.suspects.apply(&command) {
            SuspectReply::Clearance(clearance) => clearance,
            SuspectReply::Done => Clearance::Unrestricted,
        }
    }

    /// Reports the end of a suspect's run to the control group.
    fn suspect_run_ended(&mut self, call: usize, completed: bool) {
        let digest = self.calls[call].digest;
        if self.suspects.is_suspect(digest) {
            self.suspects.apply(&SuspectCommand::Ended {
                at: self.now,
                digest,
                completed,
            });
        }
    }

    /// Refuses the call and schedules the caller's retry after `span`.
    fn retry_later(&mut self, call: usize, span: Duration) {
        self.counters.refusals += 1;
        self.release_quota(call);
        self.calls[call].offers = 0;
        self.calls[call].tried.clear();
        self.schedule_after(span, Event::Send(call));
    }

    /// Adds a call to the admission queue of its sidecar.
    pub(super) fn deliver(&mut self, call: usize) {
        let open = &mut self.calls[call];
        let Some(index) = open.upstream else { return };
        open.enqueued_at = self.now;
        open.pending_prefill = u64::from(
            open.prompt
                .saturating_sub(open.expected_cached_blocks * BLOCK_TOKENS),
        );
        let (spec, state) = (&self.specs[open.program], &self.states[open.program]);
        let ticket = Ticket {
            id: ticket_id(call),
            program: spec.id,
            account: spec.account,
            attained: Tokens(state.attained),
            depth: spec.depth,
            prompt: Tokens(open.prompt.into()),
            deadline: spec.deadline,
            exclusive: open.exclusive_run,
        };
        self.upstreams[index].backlog += open.pending_prefill;
        self.upstreams[index].admission.enqueue(self.now, ticket);
        self.poll_admission(index);
    }

    /// Carries out the admission decisions of a sidecar.
    pub(super) fn poll_admission(&mut self, index: usize) {
        for verdict in self.upstreams[index].admission.poll(self.now) {
            match verdict {
                Verdict::Admit(id) => self.start_admitted(index, call_index(id.0)),
                Verdict::Refuse(id, err) => self.sidecar_refused(index, call_index(id.0), &err),
            }
        }
    }

    fn start_admitted(&mut self, index: usize, call: usize) {
        let open = &mut self.calls[call];
        open.running = true;
        let queue_time = self.now.since(open.enqueued_at);
        self.counters.longest_wait = self.counters.longest_wait.max(queue_time);
        let spec = &self.specs[open.program];
        let job = Job {
            id: job_id(call),
            blocks: open.blocks.clone(),
            shared: spec.shared_tokens / BLOCK_TOKENS,
            prompt: open.prompt,
            output: open.output,
            poison: spec.poison,
        };
        let (program, id) = (open.program, spec.id);
        if !self.states[program].upstreams.contains(&index) {
            self.states[program].upstreams.push(index);
        }
        for action in self.upstreams[index].retention.call_started(self.now, id) {
            self.apply_retention(index, &action);
        }
        if !self.upstreams[index].engine.submit(self.now, job) {
            self.upstreams[index]
                .admission
                .finish(self.now, ticket_id(call));
            return self.handle_loss(call);
        }
        self.advance_engine(index);
    }

    fn sidecar_refused(&mut self, index: usize, call: usize, err: &Error) {
        self.leave_upstream(call, index);
        self.suspect_run_ended(call, false);
        let open = &mut self.calls[call];
        open.upstream = None;
        open.offers += 1;
        open.tried.push(self.upstreams[index].id);
        if open.offers < MAX_OFFERS {
            return self.send(call);
        }
        self.retry_later(call, err.retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
    }

    /// Removes a call from the load that its entry and sidecar account for.
    fn leave_upstream(&mut self, call: usize, index: usize) {
        let open = &mut self.calls[call];
        open.running = false;
        let upstream = &mut self.upstreams[index];
        upstream.backlog -= std::mem::take(&mut open.pending_prefill);
        self.entries[open.entry].record_end(self.now, upstream.id);
    }

    // -----------------------------------------------------------------------
    // Running

    pub(super) fn call_started(&mut self, job: JobId, cached: u32) {
        let call = call_index(job.0);
        let open = &self.calls[call];
        let Some(index) = open.upstream else { return };
        let prompt_blocks = (open.prompt / BLOCK_TOKENS) as usize;
        let cached_blocks = (cached / BLOCK_TOKENS) as usize;
        let missed = open.blocks[cached_blocks.min(prompt_blocks)..prompt_blocks].iter();
        let recomputed = missed
            .filter(|hash| self.known_blocks.contains(*hash))
            .count() as u64;
        self.counters.wasted_tokens += recomputed * u64::from(BLOCK_TOKENS);
        self.known_blocks.extend(open.blocks.iter().copied());
        let id = self.upstreams[index].id;
        let cached_blocks = cached / BLOCK_TOKENS;
        self.entries[open.entry].record_cached(
            id,
            &open.blocks,
            cached_blocks,
            open.expected_cached_blocks,
        );
    }

    pub(super) fn call_token(&mut self, job: JobId, time: Time) {
        let open = &mut self.calls[call_index(job.0)];
        let Some(upstream) = open.upstream else {
            return;
        };
        self.upstreams[upstream].backlog -= std::mem::take(&mut open.pending_prefill);
        match open.last_token {
            Some(last) => record(&mut self.counters.token_gap, time.since(last)),
            None if !open.first_token_recorded => {
                open.first_token_recorded = true;
                record(&mut self.counters.first_token, time.since(open.created_at));
            }
            None => {}
        }
        open.last_token = Some(time);
    }

    pub(super) fn call_done(&mut self, job: JobId) {
        let call = call_index(job.0);
        let Some(index) = self.calls[call].upstream.take() else {
            return;
        };
        self.leave_upstream(call, index);
        self.suspect_run_ended(call, true);
        self.release_quota(call);
        let program = self.calls[call].program;
        let id = self.specs[program].id;
        self.upstreams[index]
            .admission
            .finish(self.now, ticket_id(call));
        if let Some(action) = self.upstreams[index].retention.call_ended(self.now, id) {
            self.apply_retention(index, &action);
        }
        self.turn_completed(program);
        self.poll_admission(index);
    }

    // -----------------------------------------------------------------------
    // Failures

    /// Handles the crash of an engine while it ran these calls.
    pub(super) fn handle_crash(&mut self, index: usize, calls: &[usize]) {
        let poisoned = calls
            .iter()
            .any(|call| self.specs[self.calls[*call].program].poison);
        self.counters.lost_to_poison += u64::from(poisoned);
        if poisoned {
            let restart = super::faults::Fault::Restart(index);
            self.schedule_after(super::faults::RESTART_DELAY, Event::Fault(restart));
        }
        let upstream = &mut self.upstreams[index];
        upstream.crashes += 1;
        upstream.admission.drain();
        upstream.retention.clear();
        upstream.exports.clear();
        upstream.exported_blocks.clear();
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
            self.upstreams[index]
                .admission
                .finish(self.now, ticket_id(*call));
            self.handle_loss(*call);
        }
        self.poll_admission(index);
    }

    /// Stalls the streams of all calls that run on an upstream.
    pub(super) fn stall_streams(&mut self, index: usize) {
        for call in 0..self.calls.len() {
            if self.calls[call].upstream == Some(index) && self.calls[call].running {
                // The entry cancels the call and resends it after the idle time-out.
                self.leave_upstream(call, index);
                self.calls[call].upstream = None;
                self.calls[call].last_token = None;
                self.upstreams[index].engine.cancel(self.now, job_id(call));
                self.upstreams[index]
                    .admission
                    .finish(self.now, ticket_id(call));
                self.schedule_after(STREAM_IDLE_TIMEOUT, Event::Send(call));
            }
        }
    }

    /// Handles the loss of a call's upstream: the entry resends the call if the
    /// retry budget allows it, otherwise the caller retries later.
    fn handle_loss(&mut self, call: usize) {
        if let Some(index) = self.calls[call].upstream.take() {
            self.leave_upstream(call, index);
            let id = self.upstreams[index].id;
            self.calls[call].tried.push(id);
        }
        self.calls[call].last_token = None;
        let account = self.specs[self.calls[call].program].account;
        if self.budgets.try_retry(account, MODEL.0) {
            self.schedule_after(NETWORK_DELAY, Event::Send(call));
        } else {
            self.retry_later(call, DEFAULT_RETRY_AFTER);
        }
    }
}

fn ticket_id(call: usize) -> TicketId {
    TicketId(call as u64)
}

fn job_id(call: usize) -> JobId {
    JobId(call as u64)
}

fn call_index(id: u64) -> usize {
    usize::try_from(id).unwrap_or(usize::MAX)
}
