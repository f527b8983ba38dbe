//! The callers' HTTP interface.

use {
    crate::{
        connection::answer::{EventAnswer, WholeAnswer, write_error, write_json},
        request::{CallContext, Completion, run_call},
        version::Current,
    },
    quay_types::{
        AccountId, CallRequest, CallTarget, Error, ErrorKind, Incarnation, ProgramId, Result,
        Tokens,
    },
    rand::Rng as _,
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

/// Deadline of a call where the caller names none.
const DEFAULT_DEADLINE_MS: u64 = 600_000;

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
    let account = key.and_then(|key| cx.rules.get().account(key));
    let account = account.ok_or_else(|| {
        Error::new(
            ErrorKind::Unauthorized,
            "the bearer key is missing or unknown",
        )
    })?;
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
    let mut out = req.into_writer();
    let completion = match Completion::parse(body) {
        Ok(completion) => completion,
        Err(err) => return write_error(&mut out, &err),
    };
    let program = ProgramId::root(rand::rng().next_u64());
    let call = call_of(&completion, account, program);
    let id = program.to_string();
    if completion.stream {
        let mut answer = EventAnswer::new(out, id, completion.model);
        run_call(&cx.calls, &call, &mut answer).or_else(|err| answer.fail(&err))
    } else {
        let mut answer = WholeAnswer::new(out, id, completion.model);
        run_call(&cx.calls, &call, &mut answer).or_else(|err| answer.fail(&err))
    }
}

/// The call that a completion asks for.
fn call_of(completion: &Completion, account: AccountId, program: ProgramId) -> CallRequest {
    CallRequest {
        permit: None,
        incarnation: Incarnation::default(),
        program,
        account,
        target: CallTarget::Model(completion.model_id()),
        body: completion.upstream_body(),
        idempotent: true,
        deadline_ms: DEFAULT_DEADLINE_MS,
        prompt: completion.prompt_tokens(),
        max_output: completion.max_output(),
        attained: Tokens(0),
        depth: 0,
        blocks: completion.blocks(),
        resume_at: 0,
    }
}
