//! One request of a caller.

use {
    super::{
        connections::{Lease, SendFault},
        host::FrontHost,
        refusal::Refusal,
        reservation::Reservation,
        stream::{Keeping, Passing},
        upstreams::Chosen,
    },
    crate::gateway::{
        http_server::{Body, full},
        meters::{self, Stage},
        store::{ReserveOutcome, TurnLookup},
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Request, Response, StatusCode, request, response},
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::body::Incoming,
    quay_routes::{
        CallHead, Dialect, Execution, Forwarding, RepeatPolicy, RequestDeadline, Route, TurnHead,
        UpstreamHead,
    },
    quay_turns::{Charge, ChargeStatus},
    quay_types::{AttemptTag, ProgramTag, Time, Tokens, TurnId, UpstreamId},
    std::{cell::Cell, time::Duration},
    tokio::time::timeout,
};

/// Sends of one request that upstreams may answer as not run, beside those
/// that count as attempts.
const MAX_NOT_RUN: u32 = 3;

/// Largest answer that is held in memory, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Silence of an upstream, at the end of a request, that counts as a failure;
/// callers abandon a stream after two seconds of it.
const SILENT: Duration = Duration::from_secs(1);

/// Least time for one of several attempts of an idempotent request.
const LEAST_ATTEMPT: Duration = Duration::from_millis(150);

/// A request at its upstream; the upstream counts as free again when dropped.
pub struct Sent<D: Dialect> {
    front: FrontHost<D>,
    chosen: Chosen,
    /// `None` once the connection was given back.
    lease: Option<Lease>,
    /// Whether the upstream may have got the request.
    offered: bool,
    since: Time,
    /// When the upstream was heard last; when the request was sent, before.
    heard: Cell<Time>,
    /// Whether it is noted how the upstream did.
    rated: Cell<bool>,
}

impl<D: Dialect> Sent<D> {
    /// The answer has come whole: the connection may be used again.
    pub fn whole(&mut self, headers: &HeaderMap) {
        if let Some(lease) = self.lease.take() {
            self.front.connections().give_back(lease, headers);
        }
    }

    /// Name of the upstream.
    pub fn upstream_name(&self) -> &str {
        &self.chosen.name
    }

    /// Time since the request was sent.
    pub fn elapsed(&self) -> Duration {
        self.front.now().since(self.since)
    }

    /// Something came from the upstream.
    pub fn heard(&self) {
        self.heard.set(self.front.now());
    }

    /// The upstream did its work; `took` is the time of one unit of it.
    pub fn served(&self, took: Duration) {
        self.rated.set(true);
        let now = self.front.now();
        self.front.upstreams().served(now, self.chosen.id, took);
    }

    /// The upstream did its work, of which too little is known to say how fast.
    pub fn done(&self) {
        self.rated.set(true);
    }

    /// The request was given up: that is the upstream's fault if it was silent.
    pub fn given_up(&self) {
        self.rated.set(true);
        if self.front.now().since(self.heard.get()) >= SILENT {
            self.failed();
        }
    }

    /// The upstream lost or spoilt the request.
    pub fn failed(&self) {
        self.rated.set(true);
        let now = self.front.now();
        self.front.upstreams().failed(now, self.chosen.id);
    }
}

impl<D: Dialect> Drop for Sent<D> {
    fn drop(&mut self) {
        let now = self.front.now();
        if !self.rated.get() && self.offered {
            self.given_up();
        }
        self.front.upstreams().ended(now, self.chosen.id);
    }
}

/// How one try ended.
enum Tried<D: Dialect> {
    /// An answer for the caller.
    Answer(Box<Sent<D>>, Box<response::Parts>, Incoming),
    /// A whole answer for the caller.
    Whole(Response<Body>),
    /// The upstream did not run it and never will.
    NotRun,
    /// No upstream is left to try.
    NoUpstream,
    /// It may have run.
    Unknown(&'static str),
}

/// One request of a caller, once its route is known.
struct Call<'a, D: Dialect> {
    front: &'a FrontHost<D>,
    head: &'a CallHead,
    parts: &'a request::Parts,
    route: &'a Route,
    arrived: Time,
    allowance: RequestDeadline,
    service: &'a str,
    event_tokens: u64,
    draw: u64,
}

/// Answers one request.
pub async fn answer<D: Dialect>(front: FrontHost<D>, req: Request<Incoming>) -> Response<Body> {
    let arrived = front.now();
    let (parts, body) = req.into_parts();
    let head = match front.dialect().parse_request(&parts) {
        Ok(head) => head,
        Err(fault) => {
            log::info!("event=call_refused cause=\"{fault}\" uri={}", parts.uri);
            return Refusal::BadHead.answer(0);
        }
    };
    let draw = AttemptTag::of(&head.id).0;
    let answered = answer_known(&front, arrived, &parts, &head, body, draw).await;
    let took = front.now().since(arrived);
    let ms = took.as_millis();
    let mut response = match answered {
        Ok(response) => {
            let status = response.status().as_u16();
            meters::record_call(status, took);
            log::info!("event=call_answered id={} status={status} ms={ms}", head.id);
            response
        }
        Err(refusal) => {
            log::info!(
                "event=call_refused id={} kind={} status={} ms={ms}",
                head.id,
                refusal.name(),
                refusal.status()
            );
            meters::record_call(refusal.status(), took);
            meters::record_refusal(refusal.name());
            let mut response = refusal.answer(draw);
            front
                .dialect()
                .gateway_response_headers(&head, response.headers_mut());
            response
        }
    };
    if front.draining() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

async fn answer_known<D: Dialect>(
    front: &FrontHost<D>,
    arrived: Time,
    parts: &request::Parts,
    head: &CallHead,
    body: Incoming,
    draw: u64,
) -> Result<Response<Body>, Refusal> {
    // Without a table the route's own limit is not known yet.
    let patience = head.caller_timeout.unwrap_or(Duration::MAX);
    let table = front.table_soon(arrived + patience).await;
    let table = table.ok_or(Refusal::NoTable)?;
    let route = table.find(&head.host, &head.path);
    let unknown = if front.in_touch(arrived) {
        Refusal::NoRoute
    } else {
        Refusal::NoTable
    };
    let route = route.ok_or(unknown)?;
    let allowance = RequestDeadline::new(arrived, head.caller_timeout, route.timeout);
    let share = ProgramTag::of(head.program.as_deref().unwrap_or(&head.id)).0;
    let service = route.target(share).ok_or(Refusal::NoUpstream)?;
    let known = table.service(service);
    let event_tokens = known.map_or(0, |service| service.event_tokens.into());
    let limit = table.limits.body_bytes as usize;
    let body = read_body(front, body, limit, &allowance).await?;
    front.served_soon(service, allowance.at()).await;
    let call = Call {
        front,
        head,
        parts,
        route,
        arrived,
        allowance,
        service,
        event_tokens,
        draw,
    };
    match &head.turn {
        Some(turn) if route.repeat.is_stream() => call.turn(turn, body).await,
        _ => call.run(body, None, None).await,
    }
}

/// Reads a request's body whole.
async fn read_body<D: Dialect>(
    front: &FrontHost<D>,
    body: Incoming,
    limit: usize,
    allowance: &RequestDeadline,
) -> Result<Bytes, Refusal> {
    let left = allowance.remaining(front.now());
    match timeout(left, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyMissing),
    }
}

impl<D: Dialect> Call<'_, D> {
    // -----------------------------------------------------------------------
    // Turns

    /// Runs a turn of a program: its budget must cover it, and what was said
    /// before comes before its input.
    async fn turn(&self, turn: &TurnHead, input: Bytes) -> Result<Response<Body>, Refusal> {
        let (reserved, before) = tokio::join!(self.reserve(turn), self.before(turn));
        let reservation = reserved?;
        let before = before?;
        let Some(keep) = self.route.retention else {
            return self.run(input, None, reservation).await;
        };
        let body = if before.is_empty() {
            input.clone()
        } else {
            let mut body = BytesMut::with_capacity(before.len() + input.len());
            body.extend_from_slice(&before);
            body.extend_from_slice(&input);
            body.freeze()
        };
        let keeping = Keeping {
            id: TurnId::of(&self.head.id),
            prior: turn.prior.as_deref().map(TurnId::of),
            keep,
            before,
            input,
        };
        self.run(body, Some(keeping), reservation).await
    }

    /// Reserves the most that the turn may use of the program's budget.
    async fn reserve(&self, turn: &TurnHead) -> Result<Option<Reservation>, Refusal> {
        let (Some(budget), Some(program)) = (turn.budget, &self.head.program) else {
            return Ok(None);
        };
        let program = ProgramTag::of(program);
        let attempt = AttemptTag::of(&self.head.id);
        let own = Charge {
            attempt,
            standing: ChargeStatus::Reserved,
            tokens: Tokens(turn.max_tokens),
        };
        let stores = self.front.stores();
        // From here on the reservation is settled whatever happens.
        let reservation = Reservation::new(stores.clone(), program, attempt);
        let left = self.allowance.remaining(self.front.now());
        match stores.reserve(program, own, Tokens(budget), left).await {
            ReserveOutcome::Covered => Ok(Some(reservation)),
            ReserveOutcome::Spent { others } => {
                log::info!(
                    "event=budget_spent id={} others={others} most={} budget={budget}",
                    self.head.id,
                    turn.max_tokens
                );
                Err(Refusal::BudgetSpent)
            }
            ReserveOutcome::Undetermined => Err(Refusal::StoresUnsure),
        }
    }

    /// What was said before the turn.
    async fn before(&self, turn: &TurnHead) -> Result<Bytes, Refusal> {
        let (Some(prior), Some(_)) = (&turn.prior, self.route.retention) else {
            return Ok(Bytes::new());
        };
        let id = TurnId::of(prior);
        if let Some(before) = self.front.chain(id) {
            return Ok(before);
        }
        let left = self.allowance.remaining(self.front.now());
        match self.front.stores().lookup_turns(id, left).await {
            TurnLookup::Found(turns) => {
                let mut before = BytesMut::new();
                for turn in turns {
                    before.extend_from_slice(&turn.input);
                    before.extend_from_slice(&turn.output);
                }
                let before = before.freeze();
                self.front.put_chain(id, before.clone());
                Ok(before)
            }
            TurnLookup::Absent => {
                log::info!("event=turn_absent id={} prior={prior}", self.head.id);
                Err(Refusal::NoTurn)
            }
            TurnLookup::Undetermined => Err(Refusal::StoresUnsure),
        }
    }

    // -----------------------------------------------------------------------
    // Upstreams

    /// Runs the request on an upstream, on another one if that may be.
    async fn run(
        &self,
        body: Bytes,
        keeping: Option<Keeping>,
        reservation: Option<Reservation>,
    ) -> Result<Response<Body>, Refusal> {
        let mut tried = Vec::new();
        let (mut attempts, mut not_run) = (0, 0);
        loop {
            let left = self.allowance.remaining(self.front.now());
            if left.is_zero() {
                return Err(Refusal::TooLate);
            }
            let limit = self.attempt_limit(left, attempts);
            let outcome = self.try_one(&body, limit, &mut tried).await;
            match outcome {
                Tried::Whole(response) => return Ok(response),
                Tried::Answer(sent, head, incoming) => {
                    let first = sent.elapsed();
                    let sent_after = sent.since.since(self.arrived);
                    meters::record_stage(Stage::Wait, sent_after);
                    meters::record_stage(Stage::First, first);
                    let passing = Passing {
                        front: self.front.clone(),
                        sent: *sent,
                        id: self.head.id.clone(),
                        keeping,
                        reservation,
                        event_tokens: self.event_tokens,
                        ends: self.allowance.at(),
                        wait_ms: sent_after.as_millis(),
                        first_ms: first.as_millis(),
                    };
                    let body = passing.start(&head, incoming);
                    return Ok(self.response(&head, body));
                }
                Tried::NotRun => {
                    not_run += 1;
                    if not_run >= MAX_NOT_RUN {
                        return Err(Refusal::UpstreamsFull);
                    }
                }
                Tried::NoUpstream if not_run > 0 => return Err(Refusal::UpstreamsFull),
                Tried::NoUpstream if attempts > 0 => return Err(Refusal::OutcomeUnknown),
                Tried::NoUpstream => return Err(Refusal::NoUpstream),
                Tried::Unknown(why) => {
                    attempts += 1;
                    log::info!("event=attempt_lost id={} cause={why}", self.head.id);
                    meters::record_lost_attempt(why);
                    let idempotent = self.route.repeat == RepeatPolicy::Idempotent;
                    let time_over = self.allowance.remaining(self.front.now()).is_zero();
                    if time_over {
                        return Err(Refusal::TimedOut);
                    }
                    if !idempotent || attempts >= self.route.max_attempts {
                        return Err(Refusal::OutcomeUnknown);
                    }
                }
            }
        }
    }

    /// Time for the next attempt: an idempotent request leaves some for others.
    fn attempt_limit(&self, left: Duration, attempts: u32) -> Duration {
        let more = self.route.max_attempts.saturating_sub(attempts).max(1);
        if self.route.repeat == RepeatPolicy::Idempotent && more > 1 {
            (left / more).max(LEAST_ATTEMPT).min(left)
        } else {
            left
        }
    }

    /// Tries one upstream.
    async fn try_one(
        &self,
        body: &Bytes,
        limit: Duration,
        tried: &mut Vec<UpstreamId>,
    ) -> Tried<D> {
        let now = self.front.now();
        let chosen = self
            .front
            .upstreams()
            .choose(now, self.service, self.head, tried, self.draw);
        let Some(chosen) = chosen else {
            return Tried::NoUpstream;
        };
        tried.push(chosen.id);
        let mut sent = Sent {
            front: self.front.clone(),
            chosen,
            lease: None,
            offered: false,
            since: now,
            heard: Cell::new(now),
            rated: Cell::default(),
        };
        let exchange = self.exchange(&mut sent, body);
        match timeout(limit, exchange).await {
            Ok(Ok((head, incoming))) => self.judge(sent, head, incoming, limit).await,
            Ok(Err(tried)) => {
                if matches!(tried, Tried::Unknown(_)) {
                    sent.failed();
                }
                tried
            }
            Err(_) if !sent.offered => Tried::NotRun,
            Err(_) => {
                sent.failed();
                Tried::Unknown("upstream_silent")
            }
        }
    }

    /// Sends the request and waits for the head of the answer.
    async fn exchange(
        &self,
        sent: &mut Sent<D>,
        body: &Bytes,
    ) -> Result<(response::Parts, Incoming), Tried<D>> {
        loop {
            let mut lease = match self.front.connections().lease(sent.chosen.addr).await {
                Ok(lease) => lease,
                Err(err) => {
                    log::info!(
                        "event=upstream_unreachable id={} upstream={} cause=\"{err}\"",
                        self.head.id,
                        sent.chosen.name
                    );
                    let now = self.front.now();
                    self.front.upstreams().unreachable(now, sent.chosen.id);
                    return Err(Tried::NotRun);
                }
            };
            let reused = lease.reused();
            let req = self.request(&sent.chosen, body);
            sent.offered = true;
            match lease.send(req).await {
                Ok(response) => {
                    sent.lease = Some(lease);
                    sent.heard();
                    return Ok(response.into_parts());
                }
                Err(SendFault::NotSent) => {
                    sent.offered = false;
                    if !reused {
                        return Err(Tried::NotRun);
                    }
                }
                Err(SendFault::Unknown(err)) => {
                    log::info!(
                        "event=upstream_lost id={} upstream={} reused={reused} cause=\"{err}\"",
                        self.head.id,
                        sent.chosen.name
                    );
                    return Err(Tried::Unknown("connection_lost"));
                }
            }
        }
    }

    /// The request as the upstream gets it.
    fn request(&self, chosen: &Chosen, body: &Bytes) -> Request<Full<Bytes>> {
        let forwarding = Forwarding {
            upstream: &chosen.name,
            time_left: self.allowance.remaining(self.front.now()),
        };
        let headers = self
            .front
            .dialect()
            .forwarded_headers(&self.parts.headers, &forwarding);
        let mut req = Request::new(Full::new(body.clone()));
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.parts.uri.clone();
        *req.headers_mut() = headers;
        req
    }

    /// Decides what an answer is to the caller.
    async fn judge(
        &self,
        mut sent: Sent<D>,
        head: response::Parts,
        incoming: Incoming,
        limit: Duration,
    ) -> Tried<D> {
        let answer = self.front.dialect().parse_response(&head);
        let now = self.front.now();
        let not_run = answer.execution != Execution::Possible;
        if answer.execution == Execution::Misdirected {
            self.front.upstreams().unreachable(now, sent.chosen.id);
        }
        if let Some(load) = answer.load {
            self.front.upstreams().reported(now, sent.chosen.id, load);
        }
        if let Some(fault) = self.fault(&answer, not_run) {
            sent.failed();
            return Tried::Unknown(fault);
        }
        if head.status.is_server_error() && !not_run {
            sent.failed();
        }
        if self.route.repeat.is_stream() && head.status == StatusCode::OK && !not_run {
            return Tried::Answer(Box::new(sent), Box::new(head), incoming);
        }
        let body = timeout(limit, Limited::new(incoming, MAX_ANSWER_BYTES).collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            _ if not_run => return Tried::NotRun,
            _ => {
                sent.failed();
                return Tried::Unknown("answer_cut");
            }
        };
        if head.status.is_success() {
            sent.served(sent.elapsed());
        }
        sent.whole(&head.headers);
        if not_run {
            return Tried::NotRun;
        }
        Tried::Whole(self.response(&head, full(body)))
    }

    /// Why an answer is not one to this request, if it is not.
    fn fault(&self, answer: &UpstreamHead, not_run: bool) -> Option<&'static str> {
        if answer.id.as_deref().is_some_and(|id| id != &*self.head.id) {
            Some("answer_to_another")
        } else if answer.id.is_none() && !not_run {
            Some("answer_to_nobody")
        } else if answer.encoded {
            Some("answer_encoded")
        } else {
            None
        }
    }

    /// The answer as the caller gets it.
    fn response(&self, head: &response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.front.dialect().response_headers(&head.headers);
        response
    }
}
