//! HTTP server of the entry role.

use {
    crate::{
        connection::{
            body::{read_body, respond_with_error},
            listener,
            programs::{self, CallContent, CallHeaders, serve_programs},
            response::{
                EventStreamResponse, JsonResponse, ResponseInfo, ServiceResponse, write_body,
                write_json,
            },
            route::Route,
        },
        process::{Clock, Lifecycle, telemetry},
        request::{CallContext, CompletionRequest, run_call},
        settings::EntrySettings,
        version::CurrentRules,
    },
    quay_types::{AccountId, CallTarget, Error, ErrorKind, Result, ServiceId},
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        ops::ControlFlow,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Instant,
    },
    tiny_http::Request,
};

/// Stack size of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 256 << 10;

/// Time in which a whole body must be received, as a multiple of the receive
/// time-out.
const BODY_READ_TIMEOUTS: u32 = 3;

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
        let read_timeout = cx.settings.read_timeout();
        thread::Builder::new()
            .name("entry-wake".into())
            .spawn(move || listener::prevent_accept_timeout(local, read_timeout))?;
        let next_number = Arc::new(AtomicU64::new(1));
        thread::Builder::new()
            .name("entry-server".into())
            .spawn(move || {
                listener::serve_forever(&listener, read_timeout, move |req| {
                    spawn_request(&cx, &next_number, req);
                    ControlFlow::Continue(())
                });
            })?;
        Ok(Self { local })
    }

    /// Address that the server listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

/// Assigns a number to a request and serves it on a new thread.
fn spawn_request(cx: &EntryContext, next_number: &AtomicU64, req: Request) {
    let number = next_number.fetch_add(1, Ordering::Relaxed);
    let cx = cx.clone();
    let spawned = thread::Builder::new()
        .name("request".into())
        .stack_size(REQUEST_STACK_BYTES)
        .spawn(move || serve(&cx, number, req));
    if let Err(err) = spawned {
        log::error!("event=request_dropped req={number} cause={err:?}");
    }
}

/// Result of serving a request: the outer error means that the caller
/// disconnected, the inner error was sent to the caller.
type ServeResult = io::Result<Result<()>>;

/// Serves one request and records the result.
fn serve(cx: &EntryContext, number: u64, req: Request) {
    let started = Instant::now();
    let route = Route::of(req.method().as_str(), req.url());
    let name = route.as_ref().map_or("none", |route| route.name());
    let result = match route {
        Ok(route) => serve_route(cx, number, route, req),
        Err(err) => respond_with_error(req, number, &err).map(|()| Err(err)),
    };
    record_result(number, name, started, &result);
}

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

/// Serves a request to a known route.
fn serve_route(cx: &EntryContext, number: u64, route: Route, req: Request) -> ServeResult {
    match route {
        Route::Health => health(cx, number, req).map(Ok),
        Route::Metrics => {
            let headers = "content-type: text/plain; version=0.0.4\r\n";
            let text = telemetry::render();
            write_body(
                &mut req.into_writer(),
                200,
                number,
                headers,
                text.as_bytes(),
            )
            .map(Ok)
        }
        Route::Completion => serve_call(cx, number, req, complete),
        Route::Service => serve_call(cx, number, req, call_service),
        Route::Programs => serve_call(cx, number, req, call_programs),
    }
}

/// Serves `/healthz`: whether the process accepts new requests.
fn health(cx: &EntryContext, number: u64, req: Request) -> io::Result<()> {
    let (status, status_text) = if cx.lifecycle.draining() {
        (503, "draining")
    } else if cx.rules.get().config().is_none() {
        (503, "waiting for a configuration")
    } else {
        (200, "ok")
    };
    let body = json!({"status": status_text, "in_progress": cx.lifecycle.in_progress()});
    write_json(&mut req.into_writer(), status, number, "", &body)
}

/// Serves an authenticated request, unless the process is draining or at its
/// limit of requests.
fn serve_call(
    cx: &EntryContext,
    number: u64,
    mut req: Request,
    serve: impl FnOnce(&EntryContext, u64, AccountId, &[u8], Request) -> ServeResult,
) -> ServeResult {
    let Some(_progress) = cx.lifecycle.begin() else {
        let err = Error::new(
            ErrorKind::Draining,
            "this entry is draining; retry on another entry",
        );
        return respond_with_error(req, number, &err).map(|()| Err(err));
    };
    let admitted = check_capacity(cx).and_then(|()| authenticate_and_read(cx, &mut req));
    match admitted {
        Ok((account, body)) => serve(cx, number, account, &body, req),
        Err(err) => respond_with_error(req, number, &err).map(|()| Err(err)),
    }
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

/// Authenticates the caller by its bearer key and reads the body.
fn authenticate_and_read(cx: &EntryContext, req: &mut Request) -> Result<(AccountId, Vec<u8>)> {
    let key = header(req, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
    let account = cx.rules.get().authenticate(key.unwrap_or_default())?;
    let timeout = cx.settings.read_timeout() * BODY_READ_TIMEOUTS;
    let body = read_body(req, cx.settings.max_body_bytes, timeout)?;
    Ok((account, body))
}

/// Returns the value of a header.
fn header<'a>(req: &'a Request, name: &'static str) -> Option<&'a str> {
    req.headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str())
}

/// Serves a chat completion.
fn complete(
    cx: &EntryContext,
    number: u64,
    account: AccountId,
    body: &[u8],
    req: Request,
) -> ServeResult {
    let parsed = CallHeaders::from_request(&req)
        .and_then(|headers| Ok((headers, CompletionRequest::parse(body)?)));
    let (headers, completion) = match parsed {
        Ok(parsed) => parsed,
        Err(err) => return respond_with_error(req, number, &err).map(|()| Err(err)),
    };
    let rules = cx.rules.get();
    if let Err(err) = rules.check_model_access(account, &completion.model) {
        return respond_with_error(req, number, &err).map(|()| Err(err));
    }
    let (model, stream) = (completion.model.clone(), completion.stream);
    let usage_event = completion.wants_usage();
    let prompt = completion.prompt();
    let content = CallContent {
        target: CallTarget::Model(completion.model_id()),
        original_body: body,
        history: completion.new_messages().into(),
        prompt: prompt.tokens,
        max_output: completion.max_output(),
        blocks: prompt.blocks,
        body: completion.into_upstream_body(),
    };
    let spec = programs::build_call_spec(account, &headers, content, rules.index());
    if let Err(err) = rules.check_quarantine(spec.digest, Clock::wall_ms()) {
        return respond_with_error(req, number, &err).map(|()| Err(err));
    }
    let out = req.into_writer();
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
fn call_service(
    cx: &EntryContext,
    number: u64,
    account: AccountId,
    body: &[u8],
    req: Request,
) -> ServeResult {
    let rules = cx.rules.get();
    let name: Box<str> = Route::service_name(req.url()).into();
    let headers = match CallHeaders::from_request(&req) {
        Ok(headers) => CallHeaders {
            idempotent: headers.idempotent && rules.is_repeatable(ServiceId::of(&name)),
            ..headers
        },
        Err(err) => return respond_with_error(req, number, &err).map(|()| Err(err)),
    };
    let content = CallContent::service(&name, body);
    let spec = programs::build_call_spec(account, &headers, content, rules.index());
    if let Err(err) = rules.check_quarantine(spec.digest, Clock::wall_ms()) {
        return respond_with_error(req, number, &err).map(|()| Err(err));
    }
    let mut response = ServiceResponse::new(req.into_writer(), number);
    let result = run_call(&cx.calls, &spec, &mut response);
    send_failure(result, |err| response.fail(err))
}

/// Serves a request to a program endpoint.
fn call_programs(
    cx: &EntryContext,
    number: u64,
    account: AccountId,
    body: &[u8],
    req: Request,
) -> ServeResult {
    let path: Box<str> = Route::path(req.url()).into();
    match serve_programs(cx, account, &req, &path, body) {
        Ok((status, body)) => write_json(&mut req.into_writer(), status, number, "", &body).map(Ok),
        Err(err) => respond_with_error(req, number, &err).map(|()| Err(err)),
    }
}
