//! Request headers of a call, and the `/v1/programs` endpoints.

use {
    crate::{connection::entry_server::EntryContext, request::CallSpec},
    http::{HeaderMap, Method},
    quay_types::{
        AccountId, CallNumber, CallRequest, CallTarget, ConfigIndex, ContentDigest, Error,
        ErrorKind, Incarnation, LedgerReply, LedgerRequest, NewProgram, Outcome, ProgramId,
        ProgramLimits, ProgramStatus, RequestKey, Result, ServiceId, Tokens,
    },
    rand::Rng as _,
    serde::Deserialize,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// Path of the program endpoints.
pub const PROGRAMS: &str = "/v1/programs";

/// Default deadline of a call, and the longest that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_mins(10);

/// Time for which an implicit program stays open after its call's deadline, in
/// seconds.
const IMPLICIT_GRACE_S: u64 = 60;

/// Time-out of a ledger request from the program endpoints.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(4);

/// Names of the request headers of a call.
const CALL_HEADERS: [&str; 5] = [
    "Sapphirequay-Program",
    "Sapphirequay-Call",
    "Sapphirequay-Idempotent",
    "Sapphirequay-Deadline-Ms",
    "Idempotency-Key",
];

/// Parsed request headers of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeaders {
    /// Program of the call; `None` creates an implicit program for this call.
    pub program: Option<ProgramId>,
    /// Position of the call in its program, from 1.
    pub number: Option<CallNumber>,
    /// Idempotency key supplied by the caller.
    pub key: Option<Box<str>>,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Time for which the caller waits for the response.
    pub deadline: Duration,
}

impl CallHeaders {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] with the invalid header and the reason.
    pub fn from_headers(headers: &HeaderMap) -> Result<Self> {
        let unreadable = |name: &&str| headers.get(*name).is_some_and(|it| it.to_str().is_err());
        if let Some(name) = CALL_HEADERS.into_iter().find(unreadable) {
            return Err(header_error(name, "must be visible ASCII"));
        }
        let header = |name| headers.get(name)?.to_str().ok().map(str::trim);
        Self::parse(header)
    }

    /// Parses the headers, looked up by name with `header`.
    fn parse<'a>(header: impl Fn(&'static str) -> Option<&'a str>) -> Result<Self> {
        let program = header("Sapphirequay-Program").map(parse_program);
        let number = header("Sapphirequay-Call").map(parse_number);
        let idempotent = header("Sapphirequay-Idempotent").map(parse_idempotent);
        let deadline = header("Sapphirequay-Deadline-Ms").map(parse_deadline);
        let key = header("Idempotency-Key");
        if key == Some("") {
            return Err(header_error("Idempotency-Key", "must not be empty"));
        }
        let headers = Self {
            program: program.transpose()?,
            number: number.transpose()?,
            key: key.map(Into::into),
            idempotent: idempotent.transpose()?.unwrap_or(true),
            deadline: deadline.transpose()?.unwrap_or(MAX_DEADLINE),
        };
        if headers.program.is_none() && headers.number.is_some_and(|number| number.0 > 1) {
            return Err(header_error(
                "Sapphirequay-Call",
                "a call number above 1 needs a Sapphirequay-Program header",
            ));
        }
        Ok(headers)
    }
}

/// Creates the error for an invalid header.
fn header_error(header: &str, cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::BadRequest, format!("{header}: {cause}"))
}

fn parse_program(text: &str) -> Result<ProgramId> {
    text.parse()
        .map_err(|err| header_error("Sapphirequay-Program", err))
}

/// Parses a call number, which must not be 0.
fn parse_number(text: &str) -> Result<CallNumber> {
    match text.parse() {
        Ok(0) => Err(header_error(
            "Sapphirequay-Call",
            "calls are numbered from 1",
        )),
        Ok(number) => Ok(CallNumber(number)),
        Err(err) => Err(header_error("Sapphirequay-Call", err)),
    }
}

/// Parses the flag for calls that may be executed more than once.
fn parse_idempotent(text: &str) -> Result<bool> {
    text.parse()
        .map_err(|_| header_error("Sapphirequay-Idempotent", "must be true or false"))
}

/// Parses a deadline in milliseconds, capped at [`MAX_DEADLINE`].
fn parse_deadline(text: &str) -> Result<Duration> {
    match text.parse() {
        Ok(0) => Err(header_error("Sapphirequay-Deadline-Ms", "must be positive")),
        Ok(ms) => Ok(Duration::from_millis(ms).min(MAX_DEADLINE)),
        Err(err) => Err(header_error("Sapphirequay-Deadline-Ms", err)),
    }
}

// ---------------------------------------------------------------------------
// Calls

/// Content of a call, taken from its request body.
#[derive(Debug)]
pub struct CallContent<'a> {
    /// Model or service to call.
    pub target: CallTarget,
    /// Request body as received from the caller.
    pub original_body: &'a [u8],
    /// Request body to send to the upstream.
    pub body: Box<[u8]>,
    /// Messages new in this call, for the program's history.
    pub history: Box<[u8]>,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Maximum length of the output.
    pub max_output: Tokens,
    /// Chained hashes of the prompt's blocks, for the prefix index.
    pub blocks: Box<[u64]>,
}

impl<'a> CallContent<'a> {
    /// Creates the content of a request to a service other than a model engine.
    #[must_use]
    pub fn service(name: &str, body: &'a [u8]) -> Self {
        Self {
            target: CallTarget::Service(ServiceId::of(name)),
            original_body: body,
            body: body.into(),
            history: body.into(),
            prompt: Tokens(0),
            max_output: Tokens(0),
            blocks: Box::default(),
        }
    }
}

/// Builds the specification of a call of `account`.
pub fn build_call_spec(
    account: AccountId,
    headers: &CallHeaders,
    content: CallContent<'_>,
    config: ConfigIndex,
) -> CallSpec {
    let key_text = headers.key.clone().unwrap_or_else(random_key);
    let key = RequestKey::of(account, &key_text);
    let program = headers.program.unwrap_or_else(|| derive_program_id(key));
    let implicit = headers
        .program
        .is_none()
        .then(|| implicit_limits(headers, &content));
    let target = match content.target {
        CallTarget::Model(model) => model.0,
        CallTarget::Service(service) => service.0,
    };
    let digest = ContentDigest::of(&[&target.to_le_bytes(), content.original_body]);
    CallSpec {
        request: CallRequest {
            permit: None,
            incarnation: Incarnation::default(),
            program,
            account,
            target: content.target,
            body: content.body,
            idempotent: headers.idempotent,
            deadline_ms: 0,
            prompt: content.prompt,
            max_output: content.max_output,
            attained: Tokens(0),
            // Depth 1 for every sub-agent: its parent waits for the sub-agent
            // regardless of the nesting level.
            depth: u8::from(!program.is_root()),
            blocks: content.blocks,
            resume_offset: 0,
        },
        number: headers.number,
        key,
        key_supplied: headers.key.is_some(),
        digest,
        implicit,
        prompt: content.history,
        config,
        deadline: Instant::now() + headers.deadline,
    }
}

/// Generates a unique key for a request without an idempotency key.
fn random_key() -> Box<str> {
    let (upper, lower) = (rand::rng().next_u64(), rand::rng().next_u64());
    format!("entry-{upper:016x}{lower:016x}").into()
}

/// Derives a program's id from the request key, so that a resend through any
/// entry refers to the same program.
fn derive_program_id(key: RequestKey) -> ProgramId {
    ProgramId::root(ContentDigest::of(&[b"program", &key.0.to_le_bytes()]).to_u64())
}

/// Limits of an implicit program, which holds a single call.
fn implicit_limits(headers: &CallHeaders, content: &CallContent<'_>) -> ProgramLimits {
    let lifetime_s = headers.deadline.as_secs() + IMPLICIT_GRACE_S;
    ProgramLimits {
        budget: Tokens(content.prompt.0.saturating_add(content.max_output.0)),
        turns: 1,
        lifetime_s: u32::try_from(lifetime_s).unwrap_or(u32::MAX),
        sub_agents: 0,
        depth: 0,
    }
}

// ---------------------------------------------------------------------------
// Programs

/// Body of `POST /v1/programs`. Omitted limits default to those of the account.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CreateBody {
    /// Parent program, if the new program is a sub-agent.
    parent: Option<Box<str>>,
    /// Token budget; a sub-agent's is reserved from its parent's budget.
    budget_tokens: Option<u64>,
    turns: Option<u32>,
    lifetime_s: Option<u32>,
    sub_agents: Option<u32>,
    depth: Option<u8>,
}

/// Serves a request to a program endpoint and returns the status and body of
/// the response.
///
/// # Errors
///
/// Returns the error to send to the caller.
pub fn serve_programs(
    cx: &EntryContext,
    account: AccountId,
    (method, headers): (&Method, &HeaderMap),
    path: &str,
    body: &[u8],
) -> Result<(u16, Value)> {
    let id = path.strip_prefix(PROGRAMS).unwrap_or_default();
    match (method.as_str(), id.strip_prefix('/')) {
        ("POST", None) => create(cx, account, CallHeaders::from_headers(headers)?.key, body),
        ("GET", Some(id)) => show(cx, account, parse_path_id(id)?),
        ("DELETE", Some(id)) => end(cx, account, parse_path_id(id)?),
        (method, _) => Err(Error::new(
            ErrorKind::MethodNotAllowed,
            format!("{method} is not allowed on {path}"),
        )),
    }
}

/// Parses the program id in a request path.
fn parse_path_id(id: &str) -> Result<ProgramId> {
    id.parse()
        .map_err(|err| Error::new(ErrorKind::NotFound, format!("{err}")))
}

/// Creates a root program or a sub-agent.
fn create(
    cx: &EntryContext,
    account: AccountId,
    key: Option<Box<str>>,
    body: &[u8],
) -> Result<(u16, Value)> {
    let body = if body.is_empty() { b"{}" } else { body };
    let body: CreateBody = serde_json::from_slice(body)
        .map_err(|err| Error::new(ErrorKind::BadRequest, format!("body: {err}")))?;
    let key_supplied = key.is_some();
    let key = RequestKey::of(account, &key.unwrap_or_else(random_key));
    let parent = body.parent.as_deref().map(|id| {
        id.parse::<ProgramId>()
            .map_err(|err| Error::new(ErrorKind::BadRequest, format!("parent: {err}")))
    });
    let parent = parent.transpose()?;
    let new = NewProgram {
        account,
        key,
        program: parent.unwrap_or_else(|| derive_program_id(key)),
        sub_agent: parent.is_some(),
        limits: requested_limits(&body, &cx.rules.get().program_limits(account))?,
    };
    let program = new.program;
    match ledger_request(cx, program, &LedgerRequest::Create(new), key_supplied)? {
        LedgerReply::Created(id) => Ok((201, json!({"id": id.to_string()}))),
        reply => Err(unexpected_reply(&reply)),
    }
}

/// Returns the requested limits, with those of the account as defaults and as
/// maximum.
fn requested_limits(body: &CreateBody, account: &ProgramLimits) -> Result<ProgramLimits> {
    let limits = ProgramLimits {
        budget: body.budget_tokens.map_or(account.budget, Tokens),
        turns: body.turns.unwrap_or(account.turns),
        lifetime_s: body.lifetime_s.unwrap_or(account.lifetime_s),
        sub_agents: body.sub_agents.unwrap_or(account.sub_agents),
        depth: body.depth.unwrap_or(account.depth),
    };
    let requested = [
        ("budget_tokens", limits.budget.0, account.budget.0),
        ("turns", limits.turns.into(), account.turns.into()),
        (
            "lifetime_s",
            limits.lifetime_s.into(),
            account.lifetime_s.into(),
        ),
        (
            "sub_agents",
            limits.sub_agents.into(),
            account.sub_agents.into(),
        ),
        ("depth", limits.depth.into(), account.depth.into()),
    ];
    if let Some((name, requested, max)) = requested
        .into_iter()
        .find(|(_, requested, max)| requested > max)
    {
        let message = format!("{name}: {requested} is over the account's limit of {max}");
        return Err(Error::new(ErrorKind::ProgramLimit, message));
    }
    if limits.budget.0 == 0 || limits.turns == 0 || limits.lifetime_s == 0 {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "budget_tokens, turns and lifetime_s must be positive",
        ));
    }
    Ok(limits)
}

/// Returns the state and history of a program.
fn show(cx: &EntryContext, account: AccountId, id: ProgramId) -> Result<(u16, Value)> {
    match ledger_request(cx, id, &LedgerRequest::Show(id, account), false)? {
        LedgerReply::Program(status) => Ok((200, status_json(&status))),
        reply => Err(unexpected_reply(&reply)),
    }
}

/// Ends a program and its sub-agents.
fn end(cx: &EntryContext, account: AccountId, id: ProgramId) -> Result<(u16, Value)> {
    match ledger_request(cx, id, &LedgerRequest::End(id, account), true)? {
        LedgerReply::Done => Ok((200, json!({"id": id.to_string(), "ended": true}))),
        reply => Err(unexpected_reply(&reply)),
    }
}

/// Sends a request to the ledger; a refusal or a failed request is an error.
///
/// `sent_before` means that an earlier attempt of the same request may have
/// taken effect, so that a failure must not be reported as not run.
fn ledger_request(
    cx: &EntryContext,
    program: ProgramId,
    req: &LedgerRequest,
    sent_before: bool,
) -> Result<LedgerReply> {
    match cx.calls.ledger.request(program, req, LEDGER_TIMEOUT) {
        Ok(LedgerReply::Refused(err)) => Err(err),
        Ok(reply) => Ok(reply),
        Err(fault) if sent_before => Err(fault.unreachable_error()),
        Err(fault) => Err(fault.not_run_error()),
    }
}

/// Creates the error for a reply of the wrong type.
fn unexpected_reply(reply: &LedgerReply) -> Error {
    log::error!("event=unexpected_ledger_reply reply={reply:?}");
    Error::new(ErrorKind::Internal, "unexpected reply from the ledger")
}

/// Encodes the state of a program as JSON.
fn status_json(status: &ProgramStatus) -> Value {
    let limits = &status.limits;
    let calls = status.calls.iter().map(|call| {
        json!({
            "number": call.number.0,
            "prompt": String::from_utf8_lossy(&call.prompt),
            "outcome": call.outcome.as_ref().map(outcome_json),
        })
    });
    json!({
        "id": status.program.to_string(),
        "ended": status.ended,
        "budget_tokens": limits.budget.0,
        "used_tokens": status.used.0,
        "reserved_tokens": status.reserved.0,
        "turns": limits.turns,
        "lifetime_s": limits.lifetime_s,
        "sub_agents": limits.sub_agents,
        "depth": limits.depth,
        "calls": calls.collect::<Vec<_>>(),
    })
}

/// Encodes the outcome of a call as JSON.
fn outcome_json(outcome: &Outcome) -> Value {
    match outcome {
        Outcome::Completed { prompt, output, .. } => json!({
            "state": "completed", "prompt_tokens": prompt.0, "completion_tokens": output.0,
        }),
        Outcome::Failed { kind, message, .. } => {
            json!({"state": "failed", "kind": kind.name(), "message": message})
        }
        Outcome::NotRun => json!({"state": "not_run"}),
        Outcome::Unknown => json!({"state": "unknown"}),
    }
}
