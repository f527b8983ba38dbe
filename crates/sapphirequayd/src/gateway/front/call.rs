//! Handling of one request of a caller.

mod turns;

use {
    super::{
        body_reader::{discard_rest, is_framed, read_body, read_response},
        connections::SendError,
        history::{ForwardedBody, OutgoingBody},
        host::{FrontHost, QuotaPermit, check_take_up},
        in_flight::InFlight,
        refusal::{Refusal, Refused},
        reservation::Reservation,
        stream::{PendingTurn, StreamRelay},
        upstream_outcome::{lacks_seal, mismatch},
        upstreams::{Pool, SelectedUpstream},
    },
    crate::{
        connection::{LimitedBody, is_final_status},
        gateway::{
            http_server::{Body, full},
            meters::{self, Stage},
            request_body::BodyCaller,
        },
    },
    http::{Request, Response, header, request, response},
    hyper::body::Incoming,
    quay_policy::{MemoryHolder, RunEnd, StreamTerms, TurnCaller},
    quay_routes::{
        CallHead, CallIds, Caller, Dialect, Execution, Forwarding, RepeatPolicy, RequestDeadline,
        Route, TurnHead,
    },
    quay_types::{AttemptTag, RequestContent, SoftwareVersion, Time, UpstreamId},
    std::{
        cell::{Cell, OnceCell},
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Number of attempts that end without the request being run after which the
/// request is refused; counted separately from `max_attempts` of the route.
const MAX_NOT_RUN: u32 = 3;

/// Minimum time for one of several attempts of an idempotent request.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(150);

/// Result of one attempt.
enum AttemptResult<D: Dialect> {
    /// A stream to relay to the caller.
    Stream(Box<InFlight<D>>, Box<response::Parts>, LimitedBody),
    /// A complete response for the caller.
    Complete(Response<Body>),
    /// The upstream did not run the request and never will.
    NotRun,
    /// There is no upstream left to try.
    NoUpstream,
    /// The request may have run; holds the cause of the loss.
    Unknown(&'static str),
}

/// Request of a caller with its route.
struct Call<'a, D: Dialect> {
    front: &'a FrontHost<D>,
    head: &'a CallHead,
    parts: &'a request::Parts,
    /// Who sends the request; holds the account, if there is one.
    caller: Caller<'a>,
    /// Identifiers of the state that the request refers to.
    ids: CallIds<'a>,
    /// The caller as the owner of turns, which decides what the request may go on from.
    turn_caller: TurnCaller,
    /// Revision of the accounts by which the caller was last determined.
    checked: Cell<u64>,
    content: RequestContent,
    route: &'a Route,
    arrived: Time,
    deadline: RequestDeadline,
    service: &'a str,
    /// Version of the upstreams at which the stream must go on; `None` if it begins, as
    /// that of a stored turn always does.
    version: Option<SoftwareVersion>,
    /// Whether no other programs of the service are more urgent.
    most_urgent: bool,
    /// Number of tokens that an event of the service counts as.
    event_tokens: u64,
    /// Size of the memory for prompts of an upstream of the service; 0 if unknown.
    memory_tokens: u64,
    /// Hash of the request id, used as the random number for routing and
    /// jitter.
    draw: u64,
    /// Caller for which memory is held.
    holder: Option<MemoryHolder>,
    /// Whether an attempt ended without telling whether the request has run.
    may_have_run: Cell<bool>,
    /// Whether an upstream may have the request, or had it.
    offered: &'a Cell<bool>,
    /// Whether the request begins a program.
    begins: Cell<bool>,
}

/// Serves one request.
pub async fn answer<D: Dialect>(front: FrontHost<D>, req: Request<Incoming>) -> Response<Body> {
    let arrived = front.now();
    let (parts, mut body) = req.into_parts();
    let head = match front.dialect().parse_request(&parts) {
        Ok(head) => head,
        Err(fault) => {
            log::info!("event=call_refused cause=\"{fault}\" uri={}", parts.uri);
            discard_rest(&front, &parts, body, Refusal::BadHead);
            return Refusal::BadHead.response(0);
        }
    };
    let draw = AttemptTag::of(&head.id).0;
    let (account, offered) = (OnceCell::new(), Cell::new(false));
    let routed = route_request(
        &front, arrived, &parts, &head, &mut body, &account, &offered,
    );
    let answered = tokio::select! {
        biased;
        answered = routed => answered,
        () = front.shutdown().ended() => {
            front.shutdown().log_cut(&head.id, arrived);
            Err(cut_off(offered.get()).into())
        }
    };
    let account = account.get().map_or("", String::as_str);
    let duration = front.now().since(arrived);
    let ms = duration.as_millis();
    let mut response = match answered {
        Ok(response) => {
            let status = response.status().as_u16();
            meters::record_call(status, duration);
            log::info!(
                "event=call_answered id={} status={status} ms={ms}{account}",
                head.id
            );
            response
        }
        Err(refused) => {
            let refusal = refused.reason;
            log::info!(
                "event=call_refused id={} kind={} status={} ms={ms}{account}",
                head.id,
                refusal.name(),
                refusal.status()
            );
            meters::record_call(refusal.status(), duration);
            meters::record_refusal(refusal.name());
            discard_rest(&front, &parts, body, refusal);
            let mut response = refused.response(draw);
            front
                .dialect()
                .gateway_response_headers(&head, response.headers_mut());
            response
        }
    };
    if front.draining() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Final answer to a request in progress when the front ends.
const fn cut_off(offered: bool) -> Refusal {
    if offered {
        Refusal::OutcomeUnknown
    } else {
        Refusal::Draining
    }
}

/// Finds the route and the account of a request and runs the request on an upstream.
/// `account` is set to what log lines say of the account, `offered` to whether an upstream
/// may have the request.
async fn route_request<D: Dialect>(
    front: &FrontHost<D>,
    arrived: Time,
    parts: &request::Parts,
    head: &CallHead,
    body: &mut Incoming,
    account: &OnceCell<String>,
    offered: &Cell<bool>,
) -> Result<Response<Body>, Refused> {
    // The route's own time-out is unknown until there is a table.
    let caller_timeout = head.caller_timeout.unwrap_or(Duration::MAX);
    let table = front.wait_for_table(arrived + caller_timeout).await;
    let table = table.ok_or(Refusal::NoTable)?;
    let route = table.find(&head.host, &head.path);
    let unknown = if front.control_is_fresh(arrived) {
        Refusal::NoRoute
    } else {
        Refusal::NoTable
    };
    let route = route.ok_or(unknown)?;
    let caller = front.identify(head, route, &table)?;
    let _ = account.set(front.describe_caller(&caller, &table));
    let ids = caller.ids(head);
    let deadline = RequestDeadline::new(arrived, head.caller_timeout, route.timeout);
    let resumed = head.resumed.as_ref();
    let resumed = resumed.filter(|_| route.repeat.is_stream());
    if let Some(resumed) = resumed {
        check_take_up(head, resumed, stream_terms(route))?;
    }
    check_shutdown(front, route, &deadline)?;
    let drawn = route.target(ids.placement().0);
    let drawn = drawn.ok_or(Refusal::NoUpstream)?;
    let limit = table.limits.body_bytes as usize;
    if let Some(account) = caller.account() {
        front.check_quota(account, AttemptTag::of(&head.id).0)?;
    }
    let sender = BodyCaller::of(parts, caller.account().map(|account| account.id));
    let body = read_body(front, body, limit, &deadline, &sender).await?;
    let pieces: Vec<&[u8]> = body.segments().map(|it| &**it).collect();
    let content = ids.content_in_pieces(&parts.method, &parts.uri, &pieces);
    let ends = deadline.at();
    let (service, version) = if let Some(resumed) = resumed {
        let request = (resumed, content);
        let point = front.resume_point(&ids, request, (route, drawn), ends);
        let (service, version) = point.await?;
        (service, Some(version))
    } else {
        front.wait_for_service(&Pool::of(drawn), ends).await;
        (drawn, None)
    };
    let known = table.service(service);
    let event_tokens = known.map_or(0, |service| service.event_tokens.into());
    let memory_tokens = known.map_or(0, |service| service.memory_tokens);
    let call = Call {
        front,
        head,
        parts,
        caller,
        ids,
        turn_caller: front.turn_caller(head, &caller, &table),
        checked: Cell::new(table.revision),
        content,
        route,
        arrived,
        deadline,
        service,
        version,
        most_urgent: table.is_most_urgent(caller.priority(route), service),
        event_tokens,
        memory_tokens,
        draw: AttemptTag::of(&head.id).0,
        holder: sender.holder,
        may_have_run: Cell::default(),
        offered,
        begins: Cell::default(),
    };
    call.check_quarantine()?;
    match &head.turn {
        Some(turn) if route.repeat.is_stream() => call.run_turn(turn, body).await,
        None if route.stores_turns() => call.run_turn(&TurnHead::default(), body).await,
        _ => call.run(body.into(), None, None).await,
    }
}

/// Terms of the streams of a route.
fn stream_terms(route: &Route) -> StreamTerms {
    StreamTerms {
        resumable: route.repeat == RepeatPolicy::ResumableStream,
        stored: route.stores_turns(),
    }
}

/// Refuses a request that might be cut off by the front's shutdown.
fn check_shutdown<D: Dialect>(
    front: &FrontHost<D>,
    route: &Route,
    deadline: &RequestDeadline,
) -> Result<(), Refusal> {
    let now = front.now();
    let repeatable = route.repeat == RepeatPolicy::Idempotent || stream_terms(route).can_go_on();
    let admitted = front
        .shutdown()
        .admits(now, deadline.remaining(now), repeatable);
    if admitted {
        Ok(())
    } else {
        Err(Refusal::Draining)
    }
}

impl<D: Dialect> Call<'_, D> {
    // -----------------------------------------------------------------------
    // Upstreams

    /// Runs the request on an upstream; retries on others where that is safe.
    async fn run(
        &self,
        body: OutgoingBody,
        pending_turn: Option<PendingTurn>,
        reservation: Option<Reservation>,
    ) -> Result<Response<Body>, Refused> {
        let answered = self.try_upstreams(body, pending_turn, reservation).await;
        answered.map_err(|refused| {
            if self.may_have_run.get() && refused.reason.guarantees_not_run() {
                Refusal::OutcomeUnknown.into()
            } else {
                refused
            }
        })
    }

    /// Makes attempts on upstreams until one is answered or none is left. A refusal
    /// tells only about the last attempt.
    async fn try_upstreams(
        &self,
        body: OutgoingBody,
        pending_turn: Option<PendingTurn>,
        reservation: Option<Reservation>,
    ) -> Result<Response<Body>, Refused> {
        let quota = self.quota_permit().await?;
        let mut tried = Vec::new();
        let (mut attempts, mut not_run) = (0, 0);
        loop {
            let left = self.deadline.remaining(self.front.now());
            if left.is_zero() {
                return Err(Refusal::TooLate.into());
            }
            let (front, checked) = (self.front, &self.checked);
            front.check_caller(self.head, self.route, &self.caller, checked)?;
            let ends = self.deadline.at();
            front.wait_for_checks(self.content, ends).await;
            self.check_quarantine()?;
            check_shutdown(front, self.route, &self.deadline)?;
            let limit = self.attempt_limit(left, attempts);
            let outcome = self
                .attempt_one(&body, limit, &mut tried, quota.as_ref())
                .await;
            if let Some(quota) = &quota
                && matches!(outcome, AttemptResult::NotRun)
                && !self.may_have_run.get()
            {
                quota.unspend();
            }
            if matches!(outcome, AttemptResult::NotRun | AttemptResult::NoUpstream) {
                self.offered.set(self.may_have_run.get());
            }
            match outcome {
                AttemptResult::Complete(response) => return Ok(response),
                AttemptResult::Stream(in_flight, head, incoming) => {
                    let first = in_flight.elapsed();
                    let queue_time = in_flight.started().since(self.arrived);
                    meters::record_stage(Stage::Wait, queue_time);
                    meters::record_stage(Stage::FirstResponse, first);
                    let recorded = self.record_stream_origin(&in_flight);
                    let now = self.front.now();
                    let objective = self.route.objective;
                    self.front
                        .upstreams()
                        .record_wait(now, self.service, first, objective);
                    let relay = StreamRelay {
                        front: self.front.clone(),
                        in_flight: *in_flight,
                        id: self.head.id.clone(),
                        pending_turn,
                        reservation,
                        event_tokens: self.event_tokens,
                        holder: self.holder,
                        recorded,
                        ends: self.deadline.at(),
                        arrived: self.arrived,
                        wait_ms: queue_time.as_millis(),
                        first_ms: first.as_millis(),
                    };
                    let body = relay.start(&head, incoming);
                    return Ok(self.response(&head, body));
                }
                AttemptResult::NotRun => {
                    not_run += 1;
                    if not_run >= MAX_NOT_RUN {
                        return Err(Refusal::UpstreamsFull.into());
                    }
                }
                AttemptResult::NoUpstream => return Err(self.no_upstream(not_run)),
                AttemptResult::Unknown(why) => {
                    attempts += 1;
                    self.may_have_run.set(true);
                    log::info!(
                        "event=attempt_lost id={} content={} cause={why}",
                        self.head.id,
                        self.content.own
                    );
                    meters::record_lost_attempt(why);
                    let idempotent = self.route.repeat == RepeatPolicy::Idempotent;
                    let time_over = self.deadline.remaining(self.front.now()).is_zero();
                    if time_over {
                        return Err(Refusal::TimedOut.into());
                    }
                    if !idempotent || attempts >= self.route.max_attempts {
                        return Err(Refusal::OutcomeUnknown.into());
                    }
                }
            }
        }
    }

    /// Takes a permit if the account has a limit.
    async fn quota_permit(&self) -> Result<Option<QuotaPermit<D>>, Refused> {
        let Some(account) = self.caller.account() else {
            return Ok(None);
        };
        let (begins, ends) = (self.begins.get(), self.deadline.at());
        let permit = self.front.quota_permit(account, begins, ends, self.draw);
        permit.await
    }

    /// Records which upstream began the stream, if another may go on with it.
    /// Returns the end of the recording if the first event must wait for it.
    fn record_stream_origin(&self, in_flight: &InFlight<D>) -> Option<oneshot::Receiver<()>> {
        if !stream_terms(self.route).can_go_on() || self.version.is_some() {
            return None;
        }
        let request = (self.route, self.content);
        self.front
            .record_stream_origin(&self.ids, request, &self.pool(), in_flight)
    }

    /// Upstreams among which one is selected.
    fn pool(&self) -> Pool<'_> {
        Pool {
            service: self.service,
            sticky: self.route.sticky,
            version: self.version,
            memory_tokens: self.memory_tokens,
        }
    }

    /// Refusal of a request for which no upstream is left. If that is since
    /// upstreams are limited, the caller is to return when it is its turn, and
    /// programs that have begun go before new ones.
    fn no_upstream(&self, not_run: u32) -> Refused {
        let now = self.front.now();
        let mut upstreams = self.front.upstreams();
        let retry_after = upstreams.return_delay(now, &self.pool());
        if retry_after.is_some() {
            let objective = self.route.objective;
            upstreams.record_wait(now, self.service, objective, objective);
        }
        let reason = match retry_after {
            Some(_) => Refusal::Limited,
            None if not_run > 0 => Refusal::UpstreamsFull,
            None => Refusal::NoUpstream,
        };
        Refused {
            reason,
            retry_after,
        }
    }

    /// Refuses a request whose content is known to crash upstreams.
    fn check_quarantine(&self) -> Result<(), Refusal> {
        if !self.front.is_quarantined(self.content) {
            return Ok(());
        }
        log::info!(
            "event=call_quarantined id={} content={}",
            self.head.id,
            self.content.own
        );
        Err(Refusal::Quarantined)
    }

    /// Time-out of the next attempt: an idempotent request divides the time
    /// left among its remaining attempts.
    fn attempt_limit(&self, left: Duration, attempts: u32) -> Duration {
        let more = self.route.max_attempts.saturating_sub(attempts).max(1);
        if self.route.repeat == RepeatPolicy::Idempotent && more > 1 {
            (left / more).max(MIN_ATTEMPT_TIME).min(left)
        } else {
            left
        }
    }

    /// Selects an upstream. If all are limited, asks for permits first.
    async fn select_upstream(&self, tried: &[UpstreamId]) -> Option<SelectedUpstream> {
        let pool = self.pool();
        let select = || {
            let now = self.front.now();
            let mut upstreams = self.front.upstreams();
            upstreams.select(now, &pool, self.head, tried, self.draw)
        };
        let selected = select();
        if selected.is_some() {
            self.front.ask_for_permits(&pool);
            return selected;
        }
        if !self.front.wait_for_permits(&pool).await {
            return None;
        }
        select()
    }

    /// Makes one attempt on one upstream.
    async fn attempt_one(
        &self,
        body: &OutgoingBody,
        limit: Duration,
        tried: &mut Vec<UpstreamId>,
        quota: Option<&QuotaPermit<D>>,
    ) -> AttemptResult<D> {
        let Some(upstream) = self.select_upstream(tried).await else {
            return AttemptResult::NoUpstream;
        };
        tried.push(upstream.id);
        let mut in_flight = InFlight::new(self.front, upstream, self.content);
        let exchange = self.exchange(&mut in_flight, body, quota);
        match timeout(limit, exchange).await {
            Ok(Ok((head, incoming))) => {
                // The body has what the head left of the time.
                let left = limit.saturating_sub(in_flight.elapsed());
                self.handle_response(in_flight, head, incoming, left).await
            }
            Ok(Err(AttemptResult::Unknown(_))) | Err(_)
                if in_flight.offered() && in_flight.waits_for_stores() =>
            {
                in_flight.record_abandoned();
                in_flight.end_run(RunEnd::Abandoned);
                AttemptResult::Unknown("history_cut")
            }
            Ok(Err(tried)) => {
                if matches!(tried, AttemptResult::Unknown(_)) {
                    in_flight.record_failure();
                    in_flight.end_run(RunEnd::Lost);
                }
                tried
            }
            Err(_) if !in_flight.offered() => AttemptResult::NotRun,
            Err(_) => {
                in_flight.record_failure();
                in_flight.end_run(RunEnd::Lost);
                AttemptResult::Unknown("upstream_silent")
            }
        }
    }

    /// Sends the request and waits for the head of the response.
    ///
    /// Retries on another connection if a reused one was closed before the
    /// request was written. A stream goes on only on a connection that is known to lead to
    /// the selected incarnation, whose version is that of the stream.
    async fn exchange(
        &self,
        in_flight: &mut InFlight<D>,
        body: &OutgoingBody,
        quota: Option<&QuotaPermit<D>>,
    ) -> Result<(response::Parts, LimitedBody), AttemptResult<D>> {
        loop {
            let mut lease = match self
                .front
                .connections()
                .lease(in_flight.upstream().addr)
                .await
            {
                Ok(lease) => lease,
                Err(err) => {
                    log::info!(
                        "event=upstream_unreachable id={} upstream={} cause=\"{err}\"",
                        self.head.id,
                        in_flight.upstream().name
                    );
                    self.front.record_unreachable(in_flight.upstream(), &err);
                    return Err(AttemptResult::NotRun);
                }
            };
            let reused = lease.reused();
            if self.version.is_some() {
                let upstream = in_flight.upstream();
                match self.front.confirm_lease(upstream, &mut lease).await {
                    Ok(true) => {}
                    Err(SendError::NotSent) if reused => continue,
                    Ok(false) | Err(_) => return Err(AttemptResult::NotRun),
                }
            }
            let req = self.request(in_flight.upstream(), body);
            in_flight.set_body(req.body());
            if let Some(quota) = quota {
                quota.spend();
            }
            in_flight.begin_run();
            self.offered.set(true);
            match lease.send(req).await {
                Ok(response) => {
                    in_flight.begin_response(lease);
                    return Ok(response.into_parts());
                }
                Err(SendError::NotSent) => {
                    in_flight.cancel_run();
                    self.offered.set(self.may_have_run.get());
                    if !reused {
                        return Err(AttemptResult::NotRun);
                    }
                }
                Err(SendError::Unknown(err)) => {
                    log::info!(
                        "event=upstream_lost id={} upstream={} reused={reused} cause=\"{err}\"",
                        self.head.id,
                        in_flight.upstream().name
                    );
                    return Err(AttemptResult::Unknown("connection_lost"));
                }
            }
        }
    }

    /// Creates the request that is forwarded to the upstream.
    fn request(&self, upstream: &SelectedUpstream, body: &OutgoingBody) -> Request<ForwardedBody> {
        let forwarding = Forwarding {
            upstream: &upstream.name,
            time_left: self.deadline.remaining(self.front.now()),
            account: self.caller.forwarded(),
        };
        let headers = self
            .front
            .dialect()
            .forwarded_headers(&self.parts.headers, &forwarding);
        let mut req = Request::new(body.open());
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.parts.uri.clone();
        *req.headers_mut() = headers;
        req
    }

    /// Handles the response of an upstream: a stream, a complete response, or a
    /// failed attempt.
    async fn handle_response(
        &self,
        mut in_flight: InFlight<D>,
        head: response::Parts,
        incoming: LimitedBody,
        limit: Duration,
    ) -> AttemptResult<D> {
        if !is_final_status(head.status) {
            in_flight.record_failure();
            in_flight.end_run(RunEnd::Lost);
            return AttemptResult::Unknown("answer_invalid");
        }
        let answer = self.front.dialect().parse_response(&head);
        let now = self.front.now();
        let not_run = answer.execution != Execution::Possible;
        // A response to another request says nothing of this one, nor of the upstream now.
        if let Some(fault) = mismatch(&self.head.id, &answer) {
            in_flight.record_failure();
            in_flight.end_run(RunEnd::Answered);
            return AttemptResult::Unknown(fault);
        }
        if lacks_seal(head.status, &answer) {
            in_flight.record_failure();
            in_flight.end_run(RunEnd::Lost);
            return AttemptResult::Unknown("answer_unsealed");
        }
        if answer.execution == Execution::Misdirected {
            self.front
                .upstreams()
                .suspend(now, in_flight.upstream().run());
            in_flight.end_run(RunEnd::Answered);
            self.front.record_ended(in_flight.upstream());
        }
        // An upstream that was not meant is another one than the selected one.
        if answer.leaving && answer.execution != Execution::Misdirected {
            self.front.upstreams().record_leaving(in_flight.upstream());
        }
        if answer.execution != Execution::Misdirected {
            let sent = in_flight.started();
            let mut upstreams = self.front.upstreams();
            upstreams.record_limit(now, in_flight.upstream(), sent, answer.limit);
        }
        if let Some(load) = answer.load {
            self.front
                .upstreams()
                .apply_load_report(now, in_flight.upstream().id, load);
        }
        if head.status.is_server_error() && !not_run {
            in_flight.record_failure();
        }
        if self.route.repeat.is_stream() && head.status.is_success() && !not_run {
            return AttemptResult::Stream(Box::new(in_flight), Box::new(head), incoming);
        }
        let mut share = self.front.buffers().share_for(self.holder);
        let body = timeout(limit, read_response(incoming, &mut share)).await;
        let body = match body {
            Ok(Some(body)) => body,
            _ if not_run => {
                in_flight.end_run(RunEnd::Answered);
                return AttemptResult::NotRun;
            }
            _ => {
                in_flight.record_failure();
                in_flight.end_run(RunEnd::Lost);
                return AttemptResult::Unknown("answer_cut");
            }
        };
        if head.status.is_success() {
            in_flight.record_success(in_flight.elapsed());
        }
        in_flight.end_run(if not_run {
            RunEnd::Answered
        } else {
            RunEnd::of_response(head.status.is_success(), is_framed(&head.headers))
        });
        in_flight.return_connection(&head.headers);
        if not_run {
            return AttemptResult::NotRun;
        }
        AttemptResult::Complete(self.response(&head, full(share.deliver(body))))
    }

    /// Creates the response that is sent to the caller.
    fn response(&self, head: &response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.front.dialect().response_headers(&head.headers);
        response
    }
}
