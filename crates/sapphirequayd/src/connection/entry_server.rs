//! HTTP server of the entry role.

use {
    crate::{
        connection::{
            listener,
            programs::{self, CallContent, CallHeaders, serve_programs},
            responder::{Responder, ResponderContext},
            response::{
                EventStreamResponse, JsonResponse, ResponseInfo, ServiceResponse, error_response,
                write_body, write_error, write_json,
            },
            route::Route,
        },
        gateway::{
            Body, BodyAborted, BodyCaller, BodyError, DiscardLimits, HostMemory, MemoryGuard,
            ServerLimits, ServerStop, StopPhase, discard, read_request_body, serve_until_stopped,
        },
        process::{Clock, InProgressGuard, Lifecycle, telemetry},
        request::{CallContext, CompletionRequest, run_call},
        settings::EntrySettings,
        version::CurrentRules,
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, header, request},
    http_body_util::BodyExt as _,
    hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint},
    quay_policy::MemoryClass,
    quay_types::{AccountId, CallTarget, Error, ErrorKind, Result, ServiceId},
    serde_json::json,
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        runtime::Handle,
        task::{spawn_local, yield_now},
        time::sleep,
    },
};

/// Stack size of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 256 << 10;

/// Time in which a whole body must be received, as a multiple of the receive
/// time-out.
const BODY_READ_TIMEOUTS: u32 = 3;

/// Copies of a request's body that its call makes, at least.
pub const BODY_COPIES: usize = 2;

/// Interval at which callers are disconnected that are too slow.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(300);

/// Size line of a chunk that is too large for any reader: an error for the caller's
/// client, which takes the body for incomplete.
const ABORT_MARK: &[u8] = b"fffffffffffffffff\r\n";

/// State shared by all requests of an entry.
#[derive(Debug, Clone)]
pub struct EntryContext {
    /// State shared by all calls.
    pub calls: CallContext,
    /// Configuration rules in force.
    pub rules: CurrentRules,
    /// Whether new requests are accepted, and the number in progress.
    pub lifecycle: Lifecycle,
    /// Limits and time-outs of the server.
    pub settings: EntrySettings,
}

/// HTTP server for callers.
#[derive(Debug)]
pub struct EntryServer {
    local: SocketAddr,
    stop: ServerStop,
}

impl EntryServer {
    /// Starts the server on the listen address in the settings.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or a thread can't be created.
    pub fn start(cx: EntryContext) -> io::Result<Self> {
        let listener = listener::bind(&cx.settings)?;
        let local = listener.local_addr()?;
        let stop = ServerStop::default();
        let stopped = stop.clone();
        listener::serve_on_thread("entry-server", move || serve_callers(listener, cx, stopped))?;
        Ok(Self { local, stop })
    }

    /// Has each connection closed after its next response.
    pub fn leave(&self) {
        self.stop.enter(StopPhase::Leaving);
    }

    /// Closes idle connections and accepts no further ones; the others close when their
    /// responses are delivered.
    pub fn close(&self) {
        self.stop.enter(StopPhase::Closing);
    }

    /// Whether all connections are closed.
    pub fn is_closed(&self) -> bool {
        self.stop.phase() == StopPhase::Closed
    }

    /// Address that the server listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

/// Serves callers until the server is stopped.
async fn serve_callers(listener: std::net::TcpListener, cx: EntryContext, stop: ServerStop) {
    let memory = HostMemory::new(Clock::start(), cx.settings.limits());
    let head_timeout = cx.settings.read_timeout();
    let limits = ServerLimits {
        memory: memory.clone(),
        abort_mark: ABORT_MARK,
        ..ServerLimits::default()
    };
    limits.idle.set(head_timeout);
    let head_bytes = limits.head_bytes.get() as u64;
    memory.set_limits(head_bytes, cx.settings.max_body_bytes, head_timeout);
    let maintained = memory.clone();
    spawn_local(async move {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            // A connection that writes the rest of a response counts as unused, so that a
            // shutdown ends none early.
            maintained.tick(false);
        }
    });
    let server = Rc::new(Server {
        cx,
        memory,
        next_number: AtomicU64::new(1),
    });
    let handler = move |req| {
        let server = Rc::clone(&server);
        async move { Ok::<_, Infallible>(server.answer(req).await) }
    };
    match TcpListener::from_std(listener) {
        Ok(listener) => serve_until_stopped(listener, handler, &limits, &stop).await,
        Err(err) => log::error!("event=edge_down cause={err:?}"),
    }
}

/// State of the server, on its thread.
struct Server {
    cx: EntryContext,
    memory: HostMemory,
    next_number: AtomicU64,
}

/// A request that has arrived, on the thread that serves it.
struct ArrivedRequest {
    number: u64,
    account: AccountId,
    parts: request::Parts,
    body: Bytes,
    /// Counts the copies of the body.
    _copies: MemoryGuard,
}

/// Serves the request of a call.
type ServeCall = fn(&EntryContext, &ArrivedRequest, Responder) -> ServeResult;

impl Server {
    /// Answers one request.
    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let started = Instant::now();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (parts, body) = req.into_parts();
        let route = Route::of(parts.method.as_str(), &target(&parts));
        let name = route.as_ref().map_or("none", |route| route.name());
        let serve: Result<ServeCall> = route.map(|route| match route {
            Route::Health => health,
            Route::Metrics => metrics,
            Route::Completion => complete,
            Route::Service => call_service,
            Route::Programs => call_programs,
        });
        let admitted = match (serve, name) {
            (Ok(serve), "healthz" | "metrics") => Ok((serve, None)),
            (Ok(serve), _) => {
                let admitted = self.admit(&parts).map(|admitted| (serve, Some(admitted)));
                admitted.map_err(|err| error_for_resend(&parts, &err))
            }
            (Err(err), _) => Err(err),
        };
        let (serve, admitted) = match admitted {
            Ok(admitted) => admitted,
            Err(err) => return self.refuse(number, (name, started), &parts, body, &err),
        };
        let read = match admitted {
            Some(_) => self.read_body(&parts, body).await,
            None => Ok((Bytes::new(), MemoryGuard::default())),
        };
        let (account, progress) = admitted.unzip();
        let progress = progress.map(Arc::new);
        let (body, copies) = match read {
            Ok(read) => read,
            Err((err, rest)) => {
                let err = error_for_resend(&parts, &err);
                return self.refuse(number, (name, started), &parts, rest, &err);
            }
        };
        let holder = BodyCaller::of(&parts, account).holder;
        let (responder, response) = Responder::new(ResponderContext {
            runtime: Handle::current(),
            memory: self.memory.clone(),
            holder,
            send_timeout: self.cx.settings.send_timeout(),
        });
        let arrived = ArrivedRequest {
            number,
            account: account.unwrap_or_default(),
            parts,
            body,
            _copies: copies,
        };
        let (cx, called) = (self.cx.clone(), progress.clone());
        let spawned = thread::Builder::new()
            .name("request".into())
            .stack_size(REQUEST_STACK_BYTES)
            .spawn(move || {
                let _called = called;
                let result = serve(&cx, &arrived, responder);
                record_result(number, name, started, &result);
            });
        if let Err(err) = spawned {
            log::error!("event=request_dropped req={number} cause={err:?}");
            let err = Error::new(ErrorKind::Overloaded, "no thread for the request");
            return error_response(number, &err);
        }
        let response = response.await.unwrap_or_else(|_| {
            let err = Error::new(
                ErrorKind::UpstreamError,
                "the call ended without a response",
            );
            error_response(number, &err)
        });
        response.map(|body| DeliveredBody { body, progress }.boxed_unsync())
    }

    /// Checks whether a call is admitted, and whose it is. It is in progress until the
    /// guard is dropped.
    fn admit(&self, parts: &request::Parts) -> Result<(AccountId, InProgressGuard)> {
        let cx = &self.cx;
        let Some(progress) = cx.lifecycle.begin() else {
            return Err(Error::new(
                ErrorKind::Draining,
                "this entry is draining; retry on another entry",
            ));
        };
        check_capacity(cx)?;
        let authorization = parts.headers.get(header::AUTHORIZATION);
        let authorization = authorization.and_then(|value| value.to_str().ok());
        let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
        let account = cx.rules.get().authenticate(key.unwrap_or_default())?;
        Ok((account, progress))
    }

    /// Reads the body of a call, and reserves memory for the copies that the call makes.
    /// An error comes with what is left of the body.
    async fn read_body(
        &self,
        parts: &request::Parts,
        mut body: Incoming,
    ) -> std::result::Result<(Bytes, MemoryGuard), (Error, Incoming)> {
        let pause = self.cx.settings.read_timeout();
        let caller = BodyCaller {
            pause: Some(pause),
            ..BodyCaller::of(parts, None)
        };
        let limit = self.cx.settings.max_body_bytes;
        let bytes = usize::try_from(limit).unwrap_or(usize::MAX);
        let read = read_request_body(&self.memory, &mut body, bytes, &caller);
        let read = tokio::time::timeout(pause * BODY_READ_TIMEOUTS, read).await;
        let read = read.unwrap_or(Err(BodyError::TooSlow)).and_then(|read| {
            let read = read.into_bytes(&self.memory)?;
            let (class, copies) = (MemoryClass::Requests, read.len() * BODY_COPIES);
            let copies = self.memory.reserve(class, None, copies as u64, |_| 0);
            Ok((read, copies.map_err(|_| BodyError::NoMemory)?))
        });
        read.map_err(|err| (body_error(err, limit), body))
    }

    /// Refuses a request whose body may be unread.
    fn refuse(
        &self,
        number: u64,
        (route, started): (&'static str, Instant),
        parts: &request::Parts,
        body: Incoming,
        err: &Error,
    ) -> Response<Body> {
        let mut response = error_response(number, err);
        if !body.is_end_stream() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            let limits = DiscardLimits {
                bytes: self.cx.settings.max_body_bytes,
                time: self.cx.settings.read_timeout() * BODY_READ_TIMEOUTS,
            };
            discard(body, &BodyCaller::of(parts, None), limits);
        }
        record_result(number, route, started, &Ok(Err(err.clone())));
        response
    }
}

/// Body of a response, whose request is in progress until it is delivered.
struct DeliveredBody {
    body: Body,
    progress: Option<Arc<InProgressGuard>>,
}

impl HttpBody for DeliveredBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for DeliveredBody {
    fn drop(&mut self) {
        // The connection writes what it has of the body before its task waits again.
        let progress = self.progress.take();
        spawn_local(async move {
            yield_now().await;
            drop(progress);
        });
    }
}

/// Target of a request: its path and query.
fn target(parts: &request::Parts) -> String {
    let target = parts.uri.path_and_query();
    target.map_or_else(String::new, |target| target.as_str().into())
}

/// Error for a body that was not read.
fn body_error(err: BodyError, limit: u64) -> Error {
    match err {
        BodyError::TooLarge => Error::new(
            ErrorKind::TooLarge,
            format!("the body is over {limit} bytes"),
        ),
        BodyError::NoMemory => Error::new(
            ErrorKind::Overloaded,
            "this entry has no memory for the body; retry on another entry",
        ),
        BodyError::TooSlow => Error::new(
            ErrorKind::RequestTimeout,
            "the body was not received in time",
        ),
        BodyError::Incomplete => Error::new(
            ErrorKind::BadRequest,
            "the body is incomplete or its transfer coding is invalid",
        ),
    }
}

/// Adapts an error to a request that may be a resend. Temporary refusals are
/// sent before the ledger is queried, so an earlier request with the same
/// idempotency key may have run.
fn error_for_resend(parts: &request::Parts, err: &Error) -> Error {
    let key_supplied = parts.headers.contains_key("idempotency-key");
    if key_supplied && err.kind.retry_after_s().is_some() {
        return err.clone().with_may_have_run();
    }
    err.clone()
}

/// Result of serving a request: the outer error means that the caller
/// disconnected, the inner error was sent to the caller.
type ServeResult = io::Result<Result<()>>;

/// Records the result of a request in the log and the metrics.
fn record_result(number: u64, route: &'static str, started: Instant, result: &ServeResult) {
    let outcome = match result {
        Ok(Ok(())) => "ok",
        Ok(Err(err)) => err.kind.name(),
        Err(_) => "caller_gone",
    };
    let elapsed = started.elapsed();
    metrics::counter!("sapphirequay_requests_total", "route" => route, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("sapphirequay_request_seconds", "route" => route)
        .record(elapsed.as_secs_f64());
    let ms = elapsed.as_millis();
    match result {
        Ok(Ok(())) => log::info!("event=request req={number} route={route} outcome=ok ms={ms}"),
        Ok(Err(err)) => log::info!(
            "event=request req={number} route={route} outcome={outcome} ms={ms} cause={:?}",
            err.message
        ),
        Err(err) => log::info!(
            "event=request req={number} route={route} outcome={outcome} ms={ms} cause={err:?}"
        ),
    }
}

/// Serves `/metrics`.
fn metrics(_: &EntryContext, req: &ArrivedRequest, mut out: Responder) -> ServeResult {
    let content_type = "text/plain; version=0.0.4";
    write_body(&mut out, 200, req.number, content_type, telemetry::render()).map(Ok)
}

/// Serves `/healthz`: whether the process accepts new requests.
fn health(cx: &EntryContext, req: &ArrivedRequest, mut out: Responder) -> ServeResult {
    let (status, status_text) = if cx.lifecycle.draining() {
        (503, "draining")
    } else if cx.rules.get().config().is_none() {
        (503, "waiting for a configuration")
    } else {
        (200, "ok")
    };
    let body = json!({"status": status_text, "in_progress": cx.lifecycle.in_progress()});
    write_json(&mut out, status, req.number, &body).map(Ok)
}

/// Checks the limit of requests in progress.
fn check_capacity(cx: &EntryContext) -> Result<()> {
    let in_progress = cx.lifecycle.in_progress();
    metrics::gauge!("sapphirequay_requests_in_progress").set(f64::from(in_progress));
    if in_progress > cx.settings.max_requests {
        return Err(Error::new(
            ErrorKind::Overloaded,
            format!("too many requests in progress on this entry: {in_progress}"),
        ));
    }
    Ok(())
}

/// Serves a chat completion.
fn complete(cx: &EntryContext, req: &ArrivedRequest, mut out: Responder) -> ServeResult {
    let (number, account) = (req.number, req.account);
    let parsed = CallHeaders::from_headers(&req.parts.headers)
        .and_then(|headers| Ok((headers, CompletionRequest::parse(&req.body)?)));
    let (headers, completion) = match parsed {
        Ok(parsed) => parsed,
        Err(err) => return refuse_call(&mut out, number, err),
    };
    let rules = cx.rules.get();
    if let Err(err) = rules.check_model_access(account, &completion.model) {
        return refuse_call(&mut out, number, err);
    }
    let (model, stream) = (completion.model.clone(), completion.stream);
    let usage_event = completion.wants_usage();
    let prompt = completion.prompt();
    let content = CallContent {
        target: CallTarget::Model(completion.model_id()),
        original_body: &req.body,
        history: completion.new_messages().into(),
        prompt: prompt.tokens,
        max_output: completion.max_output(),
        blocks: prompt.blocks,
        body: completion.into_upstream_body(),
    };
    let spec = programs::build_call_spec(account, &headers, content, rules.index());
    if let Err(err) = rules.check_quarantine(spec.digest, Clock::wall_ms()) {
        return refuse_call(&mut out, number, err);
    }
    let info = ResponseInfo {
        number,
        id: format!("chatcmpl-{}", spec.request.program).into(),
        usage_event,
        model,
    };
    log::info!(
        "event=call req={number} program={} key={}",
        spec.request.program,
        spec.key
    );
    if stream {
        let mut response = EventStreamResponse::new(out, info);
        let result = run_call(&cx.calls, &spec, &mut response);
        send_failure(result, |err| response.fail(err))
    } else {
        let mut response = JsonResponse::new(out, info);
        let result = run_call(&cx.calls, &spec, &mut response);
        send_failure(result, |err| response.fail(err))
    }
}

/// Sends the error of a failed call to the caller.
fn send_failure(result: Result<()>, fail: impl FnOnce(&Error) -> io::Result<()>) -> ServeResult {
    match result {
        Ok(()) => Ok(Ok(())),
        Err(err) => fail(&err).map(|()| Err(err)),
    }
}

/// Serves a request to a service other than a model engine.
fn call_service(cx: &EntryContext, req: &ArrivedRequest, mut out: Responder) -> ServeResult {
    let (number, account) = (req.number, req.account);
    let rules = cx.rules.get();
    let name: Box<str> = Route::service_name(&target(&req.parts)).into();
    let headers = match CallHeaders::from_headers(&req.parts.headers) {
        Ok(headers) => CallHeaders {
            idempotent: headers.idempotent && rules.is_repeatable(ServiceId::of(&name)),
            ..headers
        },
        Err(err) => return refuse_call(&mut out, number, err),
    };
    let content = CallContent::service(&name, &req.body);
    let spec = programs::build_call_spec(account, &headers, content, rules.index());
    if let Err(err) = rules.check_quarantine(spec.digest, Clock::wall_ms()) {
        return refuse_call(&mut out, number, err);
    }
    let mut response = ServiceResponse::new(out, number);
    let result = run_call(&cx.calls, &spec, &mut response);
    send_failure(result, |err| response.fail(err))
}

/// Serves a request to a program endpoint.
fn call_programs(cx: &EntryContext, req: &ArrivedRequest, mut out: Responder) -> ServeResult {
    let target = target(&req.parts);
    let request = (&req.parts.method, &req.parts.headers);
    match serve_programs(cx, req.account, request, Route::path(&target), &req.body) {
        Ok((status, body)) => write_json(&mut out, status, req.number, &body).map(Ok),
        Err(err) => refuse_call(&mut out, req.number, err),
    }
}

/// Sends the error of a call that did not begin.
fn refuse_call(out: &mut Responder, number: u64, err: Error) -> ServeResult {
    write_error(out, number, &err).map(|()| Err(err))
}
