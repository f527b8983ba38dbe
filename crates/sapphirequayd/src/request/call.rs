//! Life of one call on an entry: leave of the ledger, attempts on upstreams,
//! settlement, and only then the end of the answer.

use {
    crate::{
        process::{
            AttemptKind, LedgerClient, LedgerClientError, Mailbox, Pick, PickRequest, RouterMsg,
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

/// Tokens in a block of a prompt.
const BLOCK_TOKENS: u64 = 64;

/// AttemptContext of one call at most.
const MAX_ATTEMPTS: usize = 3;

/// Longest wait for the ledger to answer whether a call may run.
const BEGIN_PATIENCE: Duration = Duration::from_secs(4);

/// Longest wait for the ledger to record how an attempt ended.
const SETTLE_PATIENCE: Duration = Duration::from_secs(15);

/// Longest wait for an earlier call of the program; longer than the ledger holds
/// the next call back after one whose outcome is unknown.
const ORDER_PATIENCE: Duration = Duration::from_secs(20);

/// First pause before the ledger is asked again about an attempt of another
/// entry; doubles up to [`MAX_JOIN_PAUSE`].
const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before the ledger is asked again.
const MAX_JOIN_PAUSE: Duration = Duration::from_millis(500);

/// A permit that another entry was given is not asked about sooner: asking marks
/// one that has not arrived yet as refused, and its entry may be on the way.
const INQUIRE_AFTER: Duration = Duration::from_secs(1);

/// An attempt that has ended and that nobody settles for so long is settled by
/// whoever asks about it.
const SETTLE_GRACE: Duration = Duration::from_secs(2);

/// A sidecar that is not announced, or does not answer, for so long is taken
/// for gone. Longer than a directory takes to be rebuilt after its hosts were
/// lost.
const GONE_GRACE: Duration = Duration::from_secs(8);

/// Where the answer goes, in the form that the caller asked for.
pub trait ResponseWriter {
    /// Passes part of the answer on.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn delta(&mut self, text: &str) -> io::Result<()>;

    /// Tells the caller that the answer begins again from nothing.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn restart(&mut self) -> io::Result<()>;

    /// Keeps the caller's connection alive.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn heartbeat(&mut self) -> io::Result<()>;

    /// Marks the end of a whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn end(&mut self, finish: FinishReason, usage: Usage) -> io::Result<()>;

    /// Passes on the whole answer of a plain service.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn body(&mut self, status: u16, body: &[u8]) -> io::Result<()>;
}

/// Tokens that the upstream counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Prompt tokens found in the prefix cache.
    pub cached: Tokens,
    /// Tokens generated.
    pub output: Tokens,
}

/// What calls on one entry share.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// Links to sidecars.
    pub links: Links,
    /// Chooses upstreams.
    pub router: Mailbox<RouterMsg>,
    /// Decides what may run and records how it ended.
    pub ledger: LedgerClient,
}

impl CallContext {
    /// Asks the router for an upstream that was not tried yet.
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

    /// Finds the sidecar of an upstream, if it is announced.
    fn find(&self, upstream: UpstreamId) -> Option<Pick> {
        let asked = self.router.ask(|reply| RouterMsg::Find(upstream, reply));
        asked.flatten()
    }
}

/// A call on its way through an entry.
struct Running<'a, A> {
    cx: &'a CallContext,
    order: &'a CallSpec,
    delivery: Delivery<'a, A>,
    /// Upstreams that refused, failed or lost the call.
    tried: Vec<UpstreamId>,
    /// AttemptContext that may have run without a whole answer.
    lost: usize,
    /// Whether the call may run more than once, as its first send said.
    idempotent: bool,
    /// How many of these the budgets of retries have covered.
    retried: usize,
    /// Whether an upstream was asked for.
    picked: bool,
    /// Why the last attempt was refused.
    refusal: Option<Error>,
    /// Whether an attempt that another entry began may still run.
    joined: bool,
    /// Since when the program's earlier call is waited for.
    waiting_since: Option<Instant>,
    /// The attempt of another entry that was joined last, and since when.
    joined_since: Option<(PermitId, Instant)>,
    /// Since when the attempt of another entry is known to have ended.
    ended_since: Option<Instant>,
    /// Pause before the ledger is asked again.
    join_pause: Duration,
}

/// Runs a call and passes its answer on.
///
/// # Errors
///
/// The error that the caller is told, if no answer was whole.
pub fn run_call(
    cx: &CallContext,
    order: &CallSpec,
    answer: &mut impl ResponseWriter,
) -> Result<()> {
    let mut running = Running {
        cx,
        order,
        delivery: Delivery::new(answer),
        tried: Vec::new(),
        lost: 0,
        idempotent: order.request.idempotent,
        retried: 0,
        picked: false,
        refusal: None,
        joined: false,
        waiting_since: None,
        joined_since: None,
        ended_since: None,
        join_pause: JOIN_PAUSE,
    };
    let ended = running.run();
    if let Err(err) = &ended {
        log::info!(
            "event=call_failed program={} key={} kind={} lost={} cause={:?}",
            order.request.program,
            order.key,
            err.kind,
            running.lost,
            err.message
        );
    }
    ended
}

impl<A: ResponseWriter> Running<'_, A> {
    /// Takes steps until the call has ended.
    fn run(&mut self) -> Result<()> {
        loop {
            if self.step()? {
                return Ok(());
            }
            if self.order.left().is_zero() {
                return Err(self.overdue());
            }
        }
    }

    /// Asks the ledger and does what it says; `true` once the call has ended.
    fn step(&mut self) -> Result<bool> {
        let attempt = match (self.picked, self.lost > self.retried) {
            (false, _) => AttemptKind::First,
            (true, false) => AttemptKind::Reroute,
            (true, true) => AttemptKind::Retry,
        };
        (self.picked, self.retried) = (true, self.lost);
        let pick = self.cx.pick(self.order, &self.tried, attempt);
        let asked = Instant::now();
        let reply = self.begin(pick.as_ref());
        let went = match (reply, &pick) {
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
                self.attempt(pick, permit, attained, asked)
            }
            (Ok(reply), _) => self.heed(reply),
            (Err(fault), _) => Err(self.without_ledger(fault)),
        };
        if let Some(pick) = pick {
            self.cx.router.send(RouterMsg::Done(pick.upstream));
        }
        went
    }

    /// Asks the ledger whether the call may run on the chosen upstream.
    fn begin(&self, pick: Option<&Pick>) -> std::result::Result<BeginReply, LedgerClientError> {
        let upstream = pick.map(|pick| (pick.upstream, pick.incarnation));
        let begin = self.order.begin(upstream.unwrap_or_default());
        let req = LedgerRequest::Begin(begin);
        let patience = BEGIN_PATIENCE.min(self.order.left());
        match self
            .cx
            .ledger
            .request(self.order.request.program, &req, patience)?
        {
            LedgerReply::Begin(reply) => Ok(reply),
            LedgerReply::Refused(err) => Ok(BeginReply::Refused(err)),
            _ => Err(LedgerClientError::Unknown),
        }
    }

    /// Acts on an answer of the ledger that is no leave to run.
    fn heed(&mut self, reply: BeginReply) -> Result<bool> {
        match reply {
            BeginReply::Wait(ms) => self.wait_for_predecessor(Duration::from_millis(ms.into())),
            BeginReply::Replay(outcome) => self.replay(outcome).map(|()| true),
            BeginReply::Running(permit) => self.join(permit),
            BeginReply::Refused(err) => {
                // That no other upstream is left says less than why one refused.
                let refusal = self.refusal.take();
                let refusal = refusal.filter(|_| err.kind == ErrorKind::NoUpstream);
                Err(self.give_up(refusal.unwrap_or(err)))
            }
            BeginReply::Granted { permit, .. } => {
                // Leave was given for no upstream: nothing can run under it.
                self.settle(permit, Outcome::NotRun)?;
                Ok(false)
            }
        }
    }

    /// Waits until the program's earlier call has ended, within a bound.
    fn wait_for_predecessor(&mut self, pause: Duration) -> Result<bool> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= ORDER_PATIENCE {
            return Err(Error::new(
                ErrorKind::PredecessorOpen,
                "the program's earlier call has not ended",
            ));
        }
        let pause = pause.max(since.elapsed() / 4).min(MAX_JOIN_PAUSE);
        thread::sleep(pause.min(self.order.left()));
        self.delivery.heartbeat();
        Ok(false)
    }

    // -----------------------------------------------------------------------
    // AttemptContext

    /// Runs one attempt under its permit and settles it.
    fn attempt(
        &mut self,
        pick: &Pick,
        permit: Permit,
        attained: Tokens,
        asked: Instant,
    ) -> Result<bool> {
        let mut request = self.order.request.clone();
        request.permit = Some(permit);
        request.incarnation = pick.incarnation;
        request.attained = attained;
        request.idempotent = self.idempotent;
        request.deadline_ms = u64::try_from(self.order.left().as_millis()).unwrap_or(u64::MAX);
        self.delivery.next_attempt();
        let end = run_attempt(
            &self.cx.links,
            pick.addr,
            request,
            self.order.deadline,
            asked,
            &mut self.delivery,
        );
        self.tried.push(pick.upstream);
        self.tell_found(*pick, &end);
        self.conclude(permit, end)
    }

    /// Tells the router what the upstream found in its cache, if it says so.
    fn tell_found(&self, pick: Pick, end: &AttemptEnd) {
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

    /// Settles an attempt by how it ended.
    fn conclude(&mut self, permit: Permit, end: AttemptEnd) -> Result<bool> {
        match end {
            AttemptEnd::Completed { answer, usage } => {
                let outcome = answer.outcome(usage.prompt, usage.output);
                if let Some(stands) = self.settle(permit, outcome)? {
                    return self.replay(stands).map(|()| true);
                }
                self.delivery.finish(&answer, usage);
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
                    Some(stands) => self.replay(stands).map(|()| true),
                    None => Err(err),
                }
            }
            AttemptEnd::Lost(err) => self.lost(permit, err),
        }
    }

    /// Deals with an attempt of which the end was not heard.
    fn lost(&mut self, permit: Permit, err: Error) -> Result<bool> {
        log::warn!(
            "event=attempt_lost program={} permit={}/{} cause={:?}",
            self.order.request.program,
            permit.id.group.0,
            permit.id.index,
            err.message
        );
        if let Some(known) = self.ask_sidecar(permit) {
            match known {
                (PermitStatus::Refused, _) => {
                    let text = format!("the call never reached its upstream: {}", err.message);
                    let err = Error::new(ErrorKind::PermitRefused, text);
                    return self.conclude(permit, AttemptEnd::NotRun(err));
                }
                (PermitStatus::Ended, Some(end)) => return self.conclude(permit, end),
                _ => {}
            }
        }
        self.lost += 1;
        if let Some(stands) = self.settle(permit, Outcome::Unknown)? {
            return self.replay(stands).map(|()| true);
        }
        if !self.idempotent {
            return Err(unknown_outcome());
        }
        if self.tried.len() >= MAX_ATTEMPTS {
            return Err(self.give_up(err));
        }
        Ok(false)
    }

    /// Asks the sidecar named in a permit what became of it.
    fn ask_sidecar(&self, permit: Permit) -> Option<(PermitStatus, Option<AttemptEnd>)> {
        let pick = self.cx.find(permit.upstream)?;
        if pick.incarnation != permit.incarnation {
            return Some((PermitStatus::Unknown, None));
        }
        query_permit(&self.cx.links, pick.addr, permit)
    }

    /// Joins an attempt that another entry began, or that an entry began which
    /// has died: waits for its outcome, or finds out that nobody will bring it.
    fn join(&mut self, permit: Permit) -> Result<bool> {
        self.joined = true;
        if !self.may_inquire(permit.id) {
            self.pause_join();
            return Ok(false);
        }
        let known = self.ask_sidecar(permit);
        match known {
            Some((PermitStatus::Refused, _)) => {
                self.joined = false;
                self.settle(permit, Outcome::NotRun)?;
                return Ok(false);
            }
            Some((PermitStatus::Running, _)) => self.ended_since = None,
            // Its entry may still be about to settle it.
            known => {
                let since = *self.ended_since.get_or_insert_with(Instant::now);
                let grace = known.as_ref().map_or(GONE_GRACE, |_| SETTLE_GRACE);
                if since.elapsed() >= grace {
                    self.ended_since = None;
                    return self.settle_for_another(permit, known);
                }
            }
        }
        self.pause_join();
        Ok(false)
    }

    /// Whether a joined attempt has had time to reach its sidecar.
    fn may_inquire(&mut self, id: PermitId) -> bool {
        let joined = self.joined_since.filter(|(known, _)| *known == id);
        let (_, since) = *self
            .joined_since
            .insert(joined.unwrap_or((id, Instant::now())));
        since.elapsed() >= INQUIRE_AFTER
    }

    /// Waits before the ledger is asked again about another entry's attempt.
    fn pause_join(&mut self) {
        thread::sleep(self.join_pause.min(self.order.left()));
        self.join_pause = (self.join_pause * 2).min(MAX_JOIN_PAUSE);
        self.delivery.heartbeat();
    }

    /// Settles an attempt whose entry does not.
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
        // The ledger answers with the recorded outcome, or with the next permit.
        Ok(false)
    }

    // -----------------------------------------------------------------------
    // Endings

    /// The error for a deadline that passed between two steps.
    fn overdue(&self) -> Error {
        if self.joined {
            return Error::new(
                ErrorKind::DeadlineExceeded,
                "the deadline passed while another entry ran the call",
            );
        }
        self.give_up(Error::new(
            ErrorKind::DeadlineNotRun,
            "the deadline passed before an upstream took the call",
        ))
    }

    /// Makes an outcome durable; another outcome that stands is returned.
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
            .request(self.order.request.program, &req, SETTLE_PATIENCE);
        match asked {
            Ok(LedgerReply::Done) => Ok(None),
            Ok(LedgerReply::Superseded(outcome)) => Ok(Some(outcome)),
            _ if may_have_run => Err(unknown_outcome()),
            _ => Err(self.without_ledger(LedgerClientError::Unknown)),
        }
    }

    /// Tells the caller what was recorded.
    fn replay(&mut self, outcome: Outcome) -> Result<()> {
        match outcome {
            Outcome::Completed {
                prompt,
                output,
                answer,
            } => {
                let answer = RecordedResponse::decode(&answer).ok_or_else(|| {
                    Error::new(ErrorKind::Internal, "the recorded answer does not decode")
                })?;
                self.delivery.replay(&answer);
                let usage = Usage {
                    prompt,
                    output,
                    ..Usage::default()
                };
                self.delivery.finish(&answer, usage);
                Ok(())
            }
            Outcome::Failed { kind, message, .. } => Err(Error::new(kind, message)),
            Outcome::NotRun | Outcome::Unknown => Err(unknown_outcome()),
        }
    }

    /// The error where the ledger does not answer.
    fn without_ledger(&self, fault: LedgerClientError) -> Error {
        if self.lost > 0 || self.order.key_supplied {
            fault.unreachable_error()
        } else {
            fault.not_run_error()
        }
    }

    /// Tells the ledger that the caller gets `err`, so that later calls of the
    /// program need not wait; the error as the caller may be told it.
    fn give_up(&self, err: Error) -> Error {
        if !self.tried.is_empty() || self.lost > 0 {
            let (program, key) = (self.order.request.program, self.order.key);
            let req = LedgerRequest::GiveUp(program, key);
            if self
                .cx
                .ledger
                .request(program, &req, BEGIN_PATIENCE)
                .is_err()
            {
                log::warn!("event=give_up_unheard program={program} key={key}");
            }
        }
        if self.lost > 0 && err.not_run() {
            return Error::new(
                ErrorKind::UpstreamLost,
                format!("an attempt was lost, then: {err}"),
            );
        }
        if self.lost > 0 {
            return Error::new(ErrorKind::UpstreamLost, err.message);
        }
        err
    }
}

/// The error for a call that may have run and is never run again.
fn unknown_outcome() -> Error {
    Error::new(
        ErrorKind::OutcomeUnknown,
        "the call may have run, and its answer was lost",
    )
}
