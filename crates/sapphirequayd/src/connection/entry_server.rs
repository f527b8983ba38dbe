//! The callers' HTTP interface.

use {
    crate::{
        connection::{
            body::{read_body, refuse},
            listener,
            programs::{self, CallContent, CallHeaders, serve_programs},
            response::{AnswerHead, BodyAnswer, EventAnswer, WholeAnswer, write_body, write_json},
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

/// Stack of the thread that serves one request.
const REQUEST_STACK_BYTES: usize = 256 << 10;

/// Receive timeouts that a whole body may take.
const BODY_TIMEOUTS: u32 = 3;

/// What requests on one entry share.
#[derive(Debug, Clone)]
pub struct EntryContext {
    /// What calls share.
    pub calls: CallContext,
    /// Rules in force.
    pub rules: CurrentRules,
    /// Whether new requests are taken.
    pub lifecycle: Lifecycle,
    /// Limits of the callers' interface.
    pub settings: EntrySettings,
}

/// The listener for callers.
#[derive(Debug)]
pub struct EntryServer {
    local: SocketAddr,
}

impl EntryServer {
    /// Starts to serve callers on the address of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn start(cx: EntryContext) -> io::Result<Self> {
        let listener = listener::bind(&cx.settings)?;
        let local = listener.local_addr()?;
        let read_timeout = cx.settings.read_timeout();
        thread::Builder::new()
            .name("edge-wake".into())
            .spawn(move || listener::keep_awake(local, read_timeout))?;
        let numbers = Arc::new(AtomicU64::new(1));
        thread::Builder::new().name("edge".into()).spawn(move || {
            listener::serve_forever(&listener, read_timeout, move |req| {
                accept(&cx, &numbers, req);
                ControlFlow::Continue(())
            });
        })?;
        Ok(Self { local })
    }

    /// Address that callers reach.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

/// Gives a request a number and a thread.
fn accept(cx: &EntryContext, numbers: &AtomicU64, req: Request) {
    let number = numbers.fetch_add(1, Ordering::Relaxed);
    let cx = cx.clone();
    let spawned = thread::Builder::new()
        .name("request".into())
        .stack_size(REQUEST_STACK_BYTES)
        .spawn(move || serve(&cx, number, req));
    if let Err(err) = spawned {
        log::error!("event=request_dropped req={number} cause={err:?}");
    }
}

/// How a request was answered.
type Served = io::Result<Result<()>>;

/// Serves one request and reports how it went.
fn serve(cx: &EntryContext, number: u64, req: Request) {
    let started = Instant::now();
    let route = Route::of(req.method().as_str(), req.url());
    let name = route.as_ref().map_or("none", |route| route.name());
    let served = match route {
        Ok(route) => serve_route(cx, number, route, req),
        Err(err) => refuse(req, number, &err).map(|()| Err(err)),
    };
    report(number, name, started, &served);
}

/// Logs and counts a served request.
fn report(number: u64, route: &'static str, started: Instant, served: &Served) {
    let outcome = match served {
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
    match served {
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

/// Serves a request whose path is known.
fn serve_route(cx: &EntryContext, number: u64, route: Route, req: Request) -> Served {
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

/// Says whether the process takes new requests.
fn health(cx: &EntryContext, number: u64, req: Request) -> io::Result<()> {
    let (status, word) = if cx.lifecycle.draining() {
        (503, "draining")
    } else if cx.rules.get().config().is_none() {
        (503, "waiting for a configuration")
    } else {
        (200, "ok")
    };
    let body = json!({"status": word, "in_progress": cx.lifecycle.in_progress()});
    write_json(&mut req.into_writer(), status, number, "", &body)
}

/// Serves a request that runs a call, if the process takes it.
fn serve_call(
    cx: &EntryContext,
    number: u64,
    mut req: Request,
    serve: impl FnOnce(&EntryContext, u64, AccountId, &[u8], Request) -> Served,
) -> Served {
    let Some(_progress) = cx.lifecycle.begin() else {
        let err = Error::new(ErrorKind::Draining, "this entry is leaving; ask another");
        return refuse(req, number, &err).map(|()| Err(err));
    };
    let admitted = room(cx).and_then(|()| admit(cx, &mut req));
    match admitted {
        Ok((account, body)) => serve(cx, number, account, &body, req),
        Err(err) => refuse(req, number, &err).map(|()| Err(err)),
    }
}

/// Whether one more request may be in progress.
fn room(cx: &EntryContext) -> Result<()> {
    let open = cx.lifecycle.in_progress();
    metrics::gauge!("sapphirequay_requests_in_progress").set(f64::from(open));
    if open > cx.settings.max_requests {
        return Err(Error::new(
            ErrorKind::Overloaded,
            format!("{open} requests are in progress here"),
        ));
    }
    Ok(())
}

/// Checks the key and reads the body.
fn admit(cx: &EntryContext, req: &mut Request) -> Result<(AccountId, Vec<u8>)> {
    let key = header(req, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
    let account = cx.rules.get().authenticate(key.unwrap_or_default())?;
    let patience = cx.settings.read_timeout() * BODY_TIMEOUTS;
    let body = read_body(req, cx.settings.max_body_bytes, patience)?;
    Ok((account, body))
}

/// The value of a header.
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
) -> Served {
    let parsed =
        CallHeaders::of(&req).and_then(|headers| Ok((headers, CompletionRequest::parse(body)?)));
    let (headers, completion) = match parsed {
        Ok(parsed) => parsed,
        Err(err) => return refuse(req, number, &err).map(|()| Err(err)),
    };
    let rules = cx.rules.get();
    if let Err(err) = rules.check_model_access(account, &completion.model) {
        return refuse(req, number, &err).map(|()| Err(err));
    }
    let (model, stream) = (completion.model.clone(), completion.stream);
    let usage_event = completion.wants_usage();
    let prompt = completion.prompt();
    let content = CallContent {
        target: CallTarget::Model(completion.model_id()),
        sent: body,
        history: completion.new_messages().into(),
        prompt: prompt.tokens,
        max_output: completion.max_output(),
        blocks: prompt.blocks,
        body: completion.into_upstream_body(),
    };
    let order = programs::order(account, &headers, content, rules.index());
    if let Err(err) = rules.check_quarantine(order.digest, Clock::wall_ms()) {
        return refuse(req, number, &err).map(|()| Err(err));
    }
    let out = req.into_writer();
    let head = AnswerHead {
        number,
        id: format!("chatcmpl-{}", order.request.program).into(),
        usage_event,
        model,
    };
    log::info!(
        "event=call req={number} program={} key={}",
        order.request.program,
        order.key
    );
    if stream {
        let mut answer = EventAnswer::new(out, head);
        let ran = run_call(&cx.calls, &order, &mut answer);
        told(ran, |err| answer.fail(err))
    } else {
        let mut answer = WholeAnswer::new(out, head);
        let ran = run_call(&cx.calls, &order, &mut answer);
        told(ran, |err| answer.fail(err))
    }
}

/// Tells the caller how a call failed, if it did.
fn told(ran: Result<()>, fail: impl FnOnce(&Error) -> io::Result<()>) -> Served {
    match ran {
        Ok(()) => Ok(Ok(())),
        Err(err) => fail(&err).map(|()| Err(err)),
    }
}

/// Serves a request to a plain service.
fn call_service(
    cx: &EntryContext,
    number: u64,
    account: AccountId,
    body: &[u8],
    req: Request,
) -> Served {
    let rules = cx.rules.get();
    let name: Box<str> = Route::service(req.url()).into();
    let headers = match CallHeaders::of(&req) {
        Ok(headers) => CallHeaders {
            idempotent: headers.idempotent && rules.is_repeatable(ServiceId::of(&name)),
            ..headers
        },
        Err(err) => return refuse(req, number, &err).map(|()| Err(err)),
    };
    let content = CallContent::service(&name, body);
    let order = programs::order(account, &headers, content, rules.index());
    if let Err(err) = rules.check_quarantine(order.digest, Clock::wall_ms()) {
        return refuse(req, number, &err).map(|()| Err(err));
    }
    let mut answer = BodyAnswer::new(req.into_writer(), number);
    let ran = run_call(&cx.calls, &order, &mut answer);
    told(ran, |err| answer.fail(err))
}

/// Serves a request about programs.
fn call_programs(
    cx: &EntryContext,
    number: u64,
    account: AccountId,
    body: &[u8],
    req: Request,
) -> Served {
    let path: Box<str> = Route::path(req.url()).into();
    match serve_programs(cx, account, &req, &path, body) {
        Ok((status, body)) => write_json(&mut req.into_writer(), status, number, "", &body).map(Ok),
        Err(err) => refuse(req, number, &err).map(|()| Err(err)),
    }
}
