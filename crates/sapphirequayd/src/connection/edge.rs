//! The callers' HTTP interface.

use {
    crate::{
        connection::{
            answer::{BodyAnswer, EventAnswer, WholeAnswer, write_error, write_json},
            programs::{self, CallContent, CallHeaders, PROGRAMS, serve_programs},
        },
        process::Clock,
        request::{CallContext, Completion, run_call},
        version::Current,
    },
    quay_types::{AccountId, CallTarget, Error, ErrorKind, Result, ServiceId},
    serde_json::json,
    std::{
        io::{self, Read as _},
        net::{SocketAddr, TcpListener},
        thread,
    },
    tiny_http::{Method, Request, Server},
};

/// Largest body that a caller may send.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Stack of the thread that serves one request.
const REQUEST_STACK_BYTES: usize = 256 << 10;

/// Start of the path of a plain service.
const SERVICES: &str = "/v1/services/";

/// What requests on one entry share.
#[derive(Debug, Clone)]
pub struct EntryContext {
    /// What calls share.
    pub calls: CallContext,
    /// Rules in force.
    pub rules: Current,
}

/// The listener for callers.
#[derive(Debug)]
pub struct Edge {
    local: SocketAddr,
}

impl Edge {
    /// Starts to serve callers on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener is unusable.
    pub fn start(listener: TcpListener, cx: EntryContext) -> io::Result<Self> {
        let local = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        thread::Builder::new()
            .name("edge".into())
            .spawn(move || accept(&server, &cx))?;
        Ok(Self { local })
    }

    /// Address that callers reach.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

/// Gives each request a thread of its own.
fn accept(server: &Server, cx: &EntryContext) {
    while let Ok(req) = server.recv() {
        let cx = cx.clone();
        let spawned = thread::Builder::new()
            .name("request".into())
            .stack_size(REQUEST_STACK_BYTES)
            .spawn(move || serve(&cx, req));
        if let Err(err) = spawned {
            log::error!("event=request_dropped cause={err:?}");
        }
    }
}

/// Serves one request.
fn serve(cx: &EntryContext, mut req: Request) {
    let path: Box<str> = req.url().split('?').next().unwrap_or_default().into();
    let served = match (req.method(), &*path) {
        (Method::Get, "/healthz") => {
            write_json(&mut req.into_writer(), 200, "", &json!({"status": "ok"}))
        }
        (Method::Post, "/v1/chat/completions") => match admit(cx, &mut req) {
            Ok((account, body)) => complete(cx, account, &body, req),
            Err(err) => write_error(&mut req.into_writer(), &err),
        },
        (Method::Post, path) if path.starts_with(SERVICES) => match admit(cx, &mut req) {
            Ok((account, body)) => call_service(cx, account, &path[SERVICES.len()..], &body, req),
            Err(err) => write_error(&mut req.into_writer(), &err),
        },
        (_, path) if path.starts_with(PROGRAMS) => {
            let served = admit(cx, &mut req)
                .and_then(|(account, body)| serve_programs(cx, account, &req, path, &body));
            let mut out = req.into_writer();
            match served {
                Ok((status, body)) => write_json(&mut out, status, "", &body),
                Err(err) => write_error(&mut out, &err),
            }
        }
        _ => {
            let err = Error::new(ErrorKind::NotFound, format!("no such path: {path}"));
            write_error(&mut req.into_writer(), &err)
        }
    };
    if let Err(err) = served {
        log::info!("event=caller_gone path={path} cause={err:?}");
    }
}

/// Checks the key and reads the body.
fn admit(cx: &EntryContext, req: &mut Request) -> Result<(AccountId, Vec<u8>)> {
    let key = header(req, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
    let account = cx.rules.get().account(key.unwrap_or_default())?;
    let mut body = Vec::new();
    let read = req
        .as_reader()
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut body);
    read.map_err(|err| Error::new(ErrorKind::BadRequest, format!("body: {err}")))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(Error::new(
            ErrorKind::TooLarge,
            format!("the body is over {MAX_BODY_BYTES} bytes"),
        ));
    }
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
fn complete(cx: &EntryContext, account: AccountId, body: &[u8], req: Request) -> io::Result<()> {
    let parsed = CallHeaders::of(&req).and_then(|headers| Ok((headers, Completion::parse(body)?)));
    let mut out = req.into_writer();
    let (headers, completion) = match parsed {
        Ok(parsed) => parsed,
        Err(err) => return write_error(&mut out, &err),
    };
    let content = CallContent {
        target: CallTarget::Model(completion.model_id()),
        sent: body,
        body: completion.upstream_body(),
        history: completion.new_part().into(),
        prompt: completion.prompt_tokens(),
        max_output: completion.max_output(),
        blocks: completion.blocks(),
    };
    let rules = cx.rules.get();
    let order = programs::order(account, &headers, content, rules.index());
    if let Err(err) = rules.runs(order.digest, Clock::wall_ms()) {
        return write_error(&mut out, &err);
    }
    let id = order.request.program.to_string();
    if completion.stream {
        let mut answer = EventAnswer::new(out, id, completion.model);
        run_call(&cx.calls, &order, &mut answer).or_else(|err| answer.fail(&err))
    } else {
        let mut answer = WholeAnswer::new(out, id, completion.model);
        run_call(&cx.calls, &order, &mut answer).or_else(|err| answer.fail(&err))
    }
}

/// Serves a request to a plain service.
fn call_service(
    cx: &EntryContext,
    account: AccountId,
    name: &str,
    body: &[u8],
    req: Request,
) -> io::Result<()> {
    let headers = CallHeaders::of(&req);
    let mut out = req.into_writer();
    let rules = cx.rules.get();
    let headers = match headers {
        Ok(headers) => CallHeaders {
            idempotent: headers.idempotent && rules.repeatable(ServiceId::of(name)),
            ..headers
        },
        Err(err) => return write_error(&mut out, &err),
    };
    let content = CallContent::service(name, body);
    let order = programs::order(account, &headers, content, rules.index());
    if let Err(err) = rules.runs(order.digest, Clock::wall_ms()) {
        return write_error(&mut out, &err);
    }
    let mut answer = BodyAnswer::new(out);
    run_call(&cx.calls, &order, &mut answer).or_else(|err| answer.fail(&err))
}
