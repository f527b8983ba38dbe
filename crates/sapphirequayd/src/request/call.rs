//! Runs one call on an entry: obtains a permit from the ledger, makes attempts
//! on upstreams, settles the outcome, and only then ends the response.

use {
    crate::{
        process::{
            AttemptKind, LedgerClient, LedgerClientError, Lifecycle, Mailbox, Pick, PickRequest,
            RouterMsg,
        },
        request::{
            AttemptEnd, CallSpec, Delivery, RecordedResponse, permit_query::query_permit,
            run_attempt,
        },
    },
    quay_link::Links,
    quay_types::{
        BeginReply, Error, ErrorKind, FinishReason, LedgerReply, LedgerRequest, Outcome, Permit,
        PermitId, PermitStatus, Result, Settle, Tokens, UpstreamId,
    },
    rand::RngExt as _,
    std::{
        io, thread,
        time::{Duration, Instant},
    },
};

/// Tokens per prompt block.
const BLOCK_TOKENS: u64 = 64;

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: usize = 3;

/// Longest wait for the ledger to decide whether a call may run.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest wait for the ledger to record the outcome of an attempt.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest wait for an earlier call of the program. Longer than the time for
/// which the ledger delays the next call after one with an unknown outcome.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_secs(20);

/// First back-off before the ledger is polled again about an attempt of another
/// entry; doubles up to [`MAX_JOIN_BACKOFF`].
const MIN_JOIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest back-off before the ledger is polled again.
const MAX_JOIN_BACKOFF: Duration = Duration::from_millis(500);

/// Time before a sidecar is queried about a permit of another entry. A query
/// marks a permit that has not arrived yet as refused, and that entry's request
/// may still be on its way.
const QUERY_DELAY: Duration = Duration::from_secs(1);

/// Time after which an attempt that has ended but is not settled by its own
/// entry is settled by an entry that joined it.
const SETTLE_GRACE: Duration = Duration::from_secs(2);

/// Time after which a sidecar that is not announced or does not answer is
/// considered lost. Longer than it takes to rebuild a directory whose hosts
/// were lost.
const SIDECAR_LOST_GRACE: Duration = Duration::from_secs(8);

/// Writes a response to the caller in the format that the caller requested.
pub trait ResponseWriter {
    /// Counts `bytes` of a response that are held for it in all. Returns `false` if there
    /// is no room.
    fn hold(&mut self, bytes: usize) -> bool;

    /// Writes part of the response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    fn delta(&mut self, text: &str) -> io::Result<()>;

    /// Tells the caller to discard the text received so far and start again.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    fn restart(&mut self) -> io::Result<()>;

    /// Keeps the caller's connection open, in formats that allow it.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    fn heartbeat(&mut self) -> io::Result<()>;

    /// Marks the end of a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    fn end(&mut self, finish: FinishReason, usage: Usage) -> io::Result<()>;

    /// Writes the complete response of a plain service.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    fn body(&mut self, status: u16, body: &[u8]) -> io::Result<()>;
}

/// Token counts reported by the upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Prompt tokens found in the prefix cache.
    pub cached: Tokens,
    /// Tokens generated.
    pub output: Tokens,
}

/// Handles shared by all calls on one entry.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// Links to sidecars.
    pub links: Links,
    /// Router that chooses upstreams.
    pub router: Mailbox<RouterMsg>,
    /// Client of the ledger, which permits calls and records their outcomes.
    pub ledger: LedgerClient,
    /// Shutdown of the process.
    pub lifecycle: Lifecycle,
}

impl CallContext {
    /// Asks the router for an upstream that was not tried yet, if there is one.
    fn pick(&self, order: &CallSpec, tried: &[UpstreamId], attempt: AttemptKind) -> Option<Pick> {
        let request = &order.request;
        let req = PickRequest {
            target: request.target,
            account: request.account,
            program: request.program,
            has_history: order.implicit.is_none(),
            prompt: request.prompt,
            blocks: request.blocks.clone(),
            tried: tried.into(),
            attempt,
            random: rand::rng().random(),
        };
        let asked = self.router.ask(|reply| RouterMsg::Pick(req, reply));
        asked.flatten()
    }

    /// Looks up the sidecar of an upstream, if it is announced.
    fn find(&self, upstream: UpstreamId) -> Option<Pick> {
        let asked = self.router.ask(|reply| RouterMsg::Find(upstream, reply));
        asked.flatten()
    }
}

/// State of a call in progress on an entry.
struct ActiveCall<'a, A> {
    cx: &'a CallContext,
    order: &'a CallSpec,
    delivery: Delivery<'a, A>,
    /// Upstreams that refused, failed or lost the call.
    tried: Vec<UpstreamId>,
    /// Number of attempts that may have run without a complete response.
    lost: usize,
    /// Whether the call may run more than once, as stated by its first send.
    idempotent: bool,
    /// Number of `lost` attempts already charged to the retry budgets.
    charged_retries: usize,
    /// Whether the router was asked for an upstream before.
    picked: bool,
    /// Error of the last attempt that did not run.
    refusal: Option<Error>,
    /// Whether an attempt of another entry may still be running.
    joined: bool,
    /// Start of the wait for the program's earlier call.
    waiting_since: Option<Instant>,
    /// Permit of the last joined attempt of another entry, and when it was
    /// joined.
    joined_since: Option<(PermitId, Instant)>,
    /// Time since which the joined attempt is no longer known to be running.
    not_running_since: Option<Instant>,
    /// Back-off before the ledger is polled again about the joined attempt.
    join_backoff: Duration,
}

/// Runs a call and writes its response.
///
/// # Errors
///
/// Returns the error for the caller if no complete response was obtained.
pub fn run_call(
    cx: &CallContext,
    order: &CallSpec,
    writer: &mut impl ResponseWriter,
) -> Result<()> {
    let mut active = ActiveCall {
        cx,
        order,
        delivery: Delivery::new(writer),
        tried: Vec::new(),
        lost: 0,
        idempotent: order.request.idempotent,
        charged_retries: 0,
        picked: false,
        refusal: None,
        joined: false,
        waiting_since: None,
        joined_since: None,
        not_running_since: None,
        join_backoff: MIN_JOIN_BACKOFF,
    };
    let result = active.run();
    if let Err(err) = &result {
        log::info!(
            "event=call_failed program={} key={} kind={} lost={} cause={:?}",
            order.request.program,
            order.key,
            err.kind,
            active.lost,
            err.message
        );
    }
    result
}

impl<A: ResponseWriter> ActiveCall<'_, A> {
    /// Repeats steps until the call has ended.
    fn run(&mut self) -> Result<()> {
        loop {
            if self.step()? {
                return Ok(());
            }
            if self.order.time_left().is_zero() {
                return Err(self.deadline_exceeded());
            }
            if self.cx.lifecycle.has_ended() {
                let text = "this entry is shutting down; retry on another entry";
                return Err(self.give_up(Error::new(ErrorKind::Draining, text)));
            }
        }
    }

    /// Requests a permit and acts on the ledger's reply; returns `true` once
    /// the call has ended.
    fn step(&mut self) -> Result<bool> {
        let attempt = match (self.picked, self.lost > self.charged_retries) {
            (false, _) => AttemptKind::First,
            (true, false) => AttemptKind::Reroute,
            (true, true) => AttemptKind::Retry,
        };
        (self.picked, self.charged_retries) = (true, self.lost);
        let pick = self.cx.pick(self.order, &self.tried, attempt);
        let requested_at = Instant::now();
        let reply = self.begin(pick.as_ref());
        let result = match (reply, &pick) {
            (
                Ok(BeginReply::Granted {
                    permit,
                    attained,
                    idempotent,
                    ..
                }),
                Some(pick),
            ) => {
                self.idempotent = idempotent;
                self.attempt(pick, permit, attained, requested_at)
            }
            (Ok(reply), _) => self.handle_reply(reply),
            (Err(fault), _) => Err(self.ledger_error(fault)),
        };
        if let Some(pick) = pick {
            self.cx.router.send(RouterMsg::Done(pick.upstream));
        }
        result
    }

    /// Requests a permit from the ledger to run the call on the chosen
    /// upstream.
    fn begin(&self, pick: Option<&Pick>) -> std::result::Result<BeginReply, LedgerClientError> {
        let upstream = pick.map(|pick| (pick.upstream, pick.incarnation));
        let begin = self.order.begin(upstream.unwrap_or_default());
        let req = LedgerRequest::Begin(begin);
        let timeout = BEGIN_TIMEOUT.min(self.order.time_left());
        match self
            .cx
            .ledger
            .request(self.order.request.program, &req, timeout)?
        {
            LedgerReply::Begin(reply) => Ok(reply),
            LedgerReply::Refused(err) => Ok(BeginReply::Refused(err)),
            _ => Err(LedgerClientError::Unknown),
        }
    }

    /// Acts on a reply of the ledger that grants no usable permit.
    fn handle_reply(&mut self, reply: BeginReply) -> Result<bool> {
        match reply {
            BeginReply::Wait(ms) => self.wait_for_predecessor(Duration::from_millis(ms.into())),
            BeginReply::Replay(outcome) => self.replay(outcome).map(|()| true),
            BeginReply::Running(permit) => self.join(permit),
            BeginReply::Refused(err) => {
                // The earlier refusal of an upstream tells the caller more than
                // the fact that no other upstream is left.
                let refusal = self.refusal.take();
                let refusal = refusal.filter(|_| err.kind == ErrorKind::NoUpstream);
                Err(self.give_up(refusal.unwrap_or(err)))
            }
            BeginReply::Granted { permit, .. } => {
                // The permit names no upstream, so nothing can run under it.
                self.settle(permit, Outcome::NotRun)?;
                Ok(false)
            }
        }
    }

    /// Waits for the program's earlier call to end, up to
    /// [`PREDECESSOR_TIMEOUT`].
    fn wait_for_predecessor(&mut self, pause: Duration) -> Result<bool> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= PREDECESSOR_TIMEOUT {
            return Err(Error::new(
                ErrorKind::PredecessorOpen,
                "the program's earlier call has not ended",
            ));
        }
        let pause = pause.max(since.elapsed() / 4).min(MAX_JOIN_BACKOFF);
        thread::sleep(pause.min(self.order.time_left()));
        self.delivery.heartbeat();
        Ok(false)
    }

    // -----------------------------------------------------------------------
    // Attempts

    /// Runs one attempt under its permit and settles its outcome.
    fn attempt(
        &mut self,
        pick: &Pick,
        permit: Permit,
        attained: Tokens,
        requested_at: Instant,
    ) -> Result<bool> {
        let mut request = self.order.request.clone();
        request.permit = Some(permit);
        request.incarnation = pick.incarnation;
        request.attained = attained;
        request.idempotent = self.idempotent;
        request.deadline_ms = u64::try_from(self.order.time_left().as_millis()).unwrap_or(u64::MAX);
        self.delivery.next_attempt();
        let end = run_attempt(
            &self.cx.links,
            pick.addr,
            request,
            (self.order.deadline, &self.cx.lifecycle),
            requested_at,
            &mut self.delivery,
        );
        self.tried.push(pick.upstream);
        self.report_cached_blocks(*pick, &end);
        self.conclude(permit, end)
    }

    /// Reports to the router how many blocks the upstream found in its prefix
    /// cache.
    fn report_cached_blocks(&self, pick: Pick, end: &AttemptEnd) {
        let AttemptEnd::Completed { usage, .. } = end else {
            return;
        };
        if usage.cached.0 > 0 {
            let cached_blocks = u32::try_from(usage.cached.0 / BLOCK_TOKENS).unwrap_or(u32::MAX);
            let blocks = self.order.request.blocks.clone();
            self.cx.router.send(RouterMsg::CacheObserved {
                pick,
                blocks,
                cached_blocks,
            });
        }
    }

    /// Settles an attempt according to how it ended.
    fn conclude(&mut self, permit: Permit, end: AttemptEnd) -> Result<bool> {
        match end {
            AttemptEnd::Completed { response, usage } => {
                let outcome = response.outcome(usage.prompt, usage.output);
                if let Some(recorded) = self.settle(permit, outcome)? {
                    return self.replay(recorded).map(|()| true);
                }
                self.delivery.finish(&response, usage);
                Ok(true)
            }
            AttemptEnd::NotRun(err) => {
                self.settle(permit, Outcome::NotRun)?;
                if self.tried.len() >= MAX_ATTEMPTS {
                    return Err(self.give_up(err));
                }
                self.refusal = Some(err);
                Ok(false)
            }
            AttemptEnd::Failed { err, used } => {
                let outcome = Outcome::Failed {
                    kind: err.kind,
                    message: err.message.clone(),
                    used: used.unwrap_or(permit.reserved),
                };
                match self.settle(permit, outcome)? {
                    Some(recorded) => self.replay(recorded).map(|()| true),
                    None => Err(err),
                }
            }
            AttemptEnd::Lost(err) => self.handle_lost(permit, err),
        }
    }

    /// Handles an attempt whose end was not received.
    fn handle_lost(&mut self, permit: Permit, err: Error) -> Result<bool> {
        log::warn!(
            "event=attempt_lost program={} permit={}/{} cause={:?}",
            self.order.request.program,
            permit.id.group.0,
            permit.id.index,
            err.message
        );
        if let Some(known) = self.query_sidecar(permit) {
            match known {
                (PermitStatus::Refused, _) => {
                    let text = format!("the call was not sent to the upstream: {}", err.message);
                    let err = Error::new(ErrorKind::PermitRefused, text);
                    return self.conclude(permit, AttemptEnd::NotRun(err));
                }
                (PermitStatus::Ended, Some(end)) => return self.conclude(permit, end),
                _ => {}
            }
        }
        self.lost += 1;
        if let Some(recorded) = self.settle(permit, Outcome::Unknown)? {
            return self.replay(recorded).map(|()| true);
        }
        if !self.idempotent {
            return Err(unknown_outcome());
        }
        if self.tried.len() >= MAX_ATTEMPTS {
            return Err(self.give_up(err));
        }
        Ok(false)
    }

    /// Queries the sidecar named in a permit for the permit's status.
    fn query_sidecar(&self, permit: Permit) -> Option<(PermitStatus, Option<AttemptEnd>)> {
        let pick = self.cx.find(permit.upstream)?;
        if pick.incarnation != permit.incarnation {
            return Some((PermitStatus::Unknown, None));
        }
        query_permit(&self.cx.links, pick.addr, permit)
    }

    /// Joins an attempt started by another entry: waits for its outcome, and
    /// settles the attempt if that entry does not, for example because it
    /// crashed.
    fn join(&mut self, permit: Permit) -> Result<bool> {
        self.joined = true;
        if !self.may_query(permit.id) {
            self.back_off();
            return Ok(false);
        }
        let known = self.query_sidecar(permit);
        match known {
            Some((PermitStatus::Refused, _)) => {
                self.joined = false;
                self.settle(permit, Outcome::NotRun)?;
                return Ok(false);
            }
            Some((PermitStatus::Running, _)) => self.not_running_since = None,
            // The attempt's own entry may still be about to settle it.
            known => {
                let since = *self.not_running_since.get_or_insert_with(Instant::now);
                let grace = known.as_ref().map_or(SIDECAR_LOST_GRACE, |_| SETTLE_GRACE);
                if since.elapsed() >= grace {
                    self.not_running_since = None;
                    return self.settle_for_another(permit, known);
                }
            }
        }
        self.back_off();
        Ok(false)
    }

    /// Whether a joined attempt has had enough time to reach its sidecar.
    fn may_query(&mut self, id: PermitId) -> bool {
        let joined = self.joined_since.filter(|(known, _)| *known == id);
        let (_, since) = *self
            .joined_since
            .insert(joined.unwrap_or((id, Instant::now())));
        since.elapsed() >= QUERY_DELAY
    }

    /// Backs off before the ledger is polled again about another entry's
    /// attempt.
    fn back_off(&mut self) {
        thread::sleep(self.join_backoff.min(self.order.time_left()));
        self.join_backoff = (self.join_backoff * 2).min(MAX_JOIN_BACKOFF);
        self.delivery.heartbeat();
    }

    /// Settles an attempt that its own entry did not settle.
    fn settle_for_another(
        &mut self,
        permit: Permit,
        known: Option<(PermitStatus, Option<AttemptEnd>)>,
    ) -> Result<bool> {
        if let Some((PermitStatus::Ended, Some(end))) = known {
            return self.conclude(permit, end);
        }
        self.lost += 1;
        self.joined = false;
        self.settle(permit, Outcome::Unknown)?;
        // The next step gets the recorded outcome or a new permit from the
        // ledger.
        Ok(false)
    }

    // -----------------------------------------------------------------------
    // Settlement and errors

    /// Error for a deadline that passed between two steps.
    fn deadline_exceeded(&self) -> Error {
        if self.joined {
            return Error::new(
                ErrorKind::DeadlineExceeded,
                "the deadline passed while another entry was running the call",
            );
        }
        self.give_up(Error::new(
            ErrorKind::DeadlineNotRun,
            "the deadline passed before an upstream accepted the call",
        ))
    }

    /// Records an outcome in the ledger. Returns the outcome that was recorded
    /// before, if there is one; that outcome takes precedence.
    fn settle(&self, permit: Permit, outcome: Outcome) -> Result<Option<Outcome>> {
        let may_have_run = outcome != Outcome::NotRun;
        let settle = Settle {
            program: self.order.request.program,
            permit,
            outcome,
        };
        let req = LedgerRequest::Settle(settle);
        let asked = self
            .cx
            .ledger
            .request(self.order.request.program, &req, SETTLE_TIMEOUT);
        match asked {
            Ok(LedgerReply::Done) => Ok(None),
            Ok(LedgerReply::Superseded(outcome)) => Ok(Some(outcome)),
            _ if may_have_run => Err(unknown_outcome()),
            _ => Err(self.ledger_error(LedgerClientError::Unknown)),
        }
    }

    /// Sends the recorded outcome to the caller.
    fn replay(&mut self, outcome: Outcome) -> Result<()> {
        match outcome {
            Outcome::Completed {
                prompt,
                output,
                answer,
            } => {
                let response = RecordedResponse::decode(&answer).ok_or_else(|| {
                    Error::new(
                        ErrorKind::Internal,
                        "the recorded response could not be decoded",
                    )
                })?;
                self.delivery.replay(&response);
                let usage = Usage {
                    prompt,
                    output,
                    ..Usage::default()
                };
                self.delivery.finish(&response, usage);
                Ok(())
            }
            Outcome::Failed { kind, message, .. } => Err(Error::new(kind, message)),
            Outcome::NotRun | Outcome::Unknown => Err(unknown_outcome()),
        }
    }

    /// Error for a ledger that did not answer. The call is reported as not run
    /// only if no attempt was lost and no earlier send of it can exist.
    fn ledger_error(&self, fault: LedgerClientError) -> Error {
        if self.lost > 0 || self.order.key_supplied {
            fault.unreachable_error()
        } else {
            fault.not_run_error()
        }
    }

    /// Tells the ledger that the call is given up, so that later calls of the
    /// program do not wait for it. Returns the error for the caller, which does
    /// not claim that the call did not run if an attempt was lost.
    fn give_up(&self, err: Error) -> Error {
        if !self.tried.is_empty() || self.lost > 0 {
            let (program, key) = (self.order.request.program, self.order.key);
            let req = LedgerRequest::GiveUp(program, key);
            if self
                .cx
                .ledger
                .request(program, &req, BEGIN_TIMEOUT)
                .is_err()
            {
                log::warn!("event=give_up_unheard program={program} key={key}");
            }
        }
        if self.lost > 0 && err.not_run() {
            return Error::new(
                ErrorKind::UpstreamLost,
                format!("an earlier attempt was lost, and the call then failed: {err}"),
            );
        }
        if self.lost > 0 {
            return Error::new(ErrorKind::UpstreamLost, err.message);
        }
        err
    }
}

/// Error for a call that may have run and must not run again.
fn unknown_outcome() -> Error {
    Error::new(
        ErrorKind::OutcomeUnknown,
        "the call may have run, but its response was lost",
    )
}
