//! Callers' headers of a call, and `/v1/programs`.

use {
    crate::{connection::entry_server::EntryContext, request::CallSpec},
    quay_types::{
        AccountId, CallNumber, CallRequest, CallTarget, ConfigIndex, ContentDigest, Error,
        ErrorKind, Incarnation, LedgerReply, LedgerRequest, NewProgram, Outcome, ProgramId,
        ProgramLimits, ProgramStatus, RequestKey, Result, ServiceId, Tokens,
    },
    rand::Rng as _,
    serde::Deserialize,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tiny_http::Request,
};

/// Path of programs.
pub const PROGRAMS: &str = "/v1/programs";

/// Deadline of a call where the caller names none, and the longest it may name.
const MAX_DEADLINE: Duration = Duration::from_mins(10);

/// Time beyond its deadline for which a program of one call is kept open.
const IMPLICIT_GRACE_S: u64 = 60;

/// Longest wait for the ledger in a request about a program.
const LEDGER_PATIENCE: Duration = Duration::from_secs(4);

/// What the headers say of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeaders {
    /// Program of the call; `None` if it is one of its own.
    pub program: Option<ProgramId>,
    /// Position in the program.
    pub number: Option<CallNumber>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time that the caller waits.
    pub deadline: Duration,
}

impl CallHeaders {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] names the header and what is wrong with it.
    pub fn of(req: &Request) -> Result<Self> {
        let header = |name: &'static str| {
            let mut headers = req.headers().iter();
            headers
                .find(|header| header.field.equiv(name))
                .map(|header| header.value.as_str().trim())
        };
        Self::parse(header)
    }

    /// Reads the headers that `header` finds by name.
    fn parse<'a>(header: impl Fn(&'static str) -> Option<&'a str>) -> Result<Self> {
        let program = header("Sapphirequay-Program").map(parse_program);
        let number = header("Sapphirequay-Call").map(parse_number);
        let idempotent = header("Sapphirequay-Idempotent").map(parse_idempotent);
        let deadline = header("Sapphirequay-Deadline-Ms").map(parse_deadline);
        let key = header("Idempotency-Key");
        if key == Some("") {
            return Err(bad("Idempotency-Key", "it is empty"));
        }
        let headers = Self {
            program: program.transpose()?,
            number: number.transpose()?,
            key: key.map(Into::into),
            idempotent: idempotent.transpose()?.unwrap_or(true),
            deadline: deadline.transpose()?.unwrap_or(MAX_DEADLINE),
        };
        if headers.program.is_none() && headers.number.is_some_and(|number| number.0 > 1) {
            return Err(bad("Sapphirequay-Call", "the call has no program"));
        }
        Ok(headers)
    }
}

/// An error about a header.
fn bad(header: &str, cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::BadRequest, format!("{header}: {cause}"))
}

/// Parses a program id.
fn parse_program(text: &str) -> Result<ProgramId> {
    text.parse().map_err(|err| bad("Sapphirequay-Program", err))
}

/// Parses a call number.
fn parse_number(text: &str) -> Result<CallNumber> {
    match text.parse() {
        Ok(0) => Err(bad("Sapphirequay-Call", "calls are numbered from 1")),
        Ok(number) => Ok(CallNumber(number)),
        Err(err) => Err(bad("Sapphirequay-Call", err)),
    }
}

/// Parses whether a call may run more than once.
fn parse_idempotent(text: &str) -> Result<bool> {
    text.parse()
        .map_err(|_| bad("Sapphirequay-Idempotent", "it is neither true nor false"))
}

/// Parses a deadline.
fn parse_deadline(text: &str) -> Result<Duration> {
    match text.parse() {
        Ok(0) => Err(bad("Sapphirequay-Deadline-Ms", "it is 0")),
        Ok(ms) => Ok(Duration::from_millis(ms).min(MAX_DEADLINE)),
        Err(err) => Err(bad("Sapphirequay-Deadline-Ms", err)),
    }
}

// ---------------------------------------------------------------------------
// Calls

/// What a call is about, as its body says.
#[derive(Debug)]
pub struct CallContent<'a> {
    /// What to run.
    pub target: CallTarget,
    /// Body as the caller sent it.
    pub sent: &'a [u8],
    /// Body for the upstream.
    pub body: Box<[u8]>,
    /// New part of the prompt, for the history.
    pub history: Box<[u8]>,
    /// Estimate of the prompt's length.
    pub prompt: Tokens,
    /// Most tokens that the answer may have.
    pub max_output: Tokens,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Box<[u64]>,
}

impl<'a> CallContent<'a> {
    /// A request to a plain service.
    #[must_use]
    pub fn service(name: &str, body: &'a [u8]) -> Self {
        Self {
            target: CallTarget::Service(ServiceId::of(name)),
            sent: body,
            body: body.into(),
            history: body.into(),
            prompt: Tokens(0),
            max_output: Tokens(0),
            blocks: Box::default(),
        }
    }
}

/// The order for a call of `account`.
pub fn order(
    account: AccountId,
    headers: &CallHeaders,
    content: CallContent<'_>,
    config: ConfigIndex,
) -> CallSpec {
    let key_text = headers.key.clone().unwrap_or_else(random_key);
    let key = RequestKey::of(account, &key_text);
    let program = headers.program.unwrap_or_else(|| program_of(key));
    let implicit = headers
        .program
        .is_none()
        .then(|| implicit_limits(headers, &content));
    let target = match content.target {
        CallTarget::Model(model) => model.0,
        CallTarget::Service(service) => service.0,
    };
    let digest = ContentDigest::of(&[&target.to_le_bytes(), content.sent]);
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
            // A sub-agent's parent waits for it, however deep it is.
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

/// A key that no other request has.
fn random_key() -> Box<str> {
    let (upper, lower) = (rand::rng().next_u64(), rand::rng().next_u64());
    format!("entry-{upper:016x}{lower:016x}").into()
}

/// The program of a request that has none: a resend at any entry finds the same.
fn program_of(key: RequestKey) -> ProgramId {
    ProgramId::root(ContentDigest::of(&[b"program", &key.0.to_le_bytes()]).to_u64())
}

/// Limits of a program of one call.
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

/// Body of `POST /v1/programs`; what is left out has a default.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CreateBody {
    /// Program that the new one is a sub-agent of.
    parent: Option<Box<str>>,
    /// Tokens; a sub-agent's are carved from its parent's.
    budget_tokens: Option<u64>,
    turns: Option<u32>,
    lifetime_s: Option<u32>,
    sub_agents: Option<u32>,
    depth: Option<u8>,
}

/// Serves a request about programs: the status and body of the answer.
///
/// # Errors
///
/// The error that the caller is told.
pub fn serve_programs(
    cx: &EntryContext,
    account: AccountId,
    req: &Request,
    path: &str,
    body: &[u8],
) -> Result<(u16, Value)> {
    let id = path.strip_prefix(PROGRAMS).unwrap_or_default();
    match (req.method().as_str(), id.strip_prefix('/')) {
        ("POST", None) => create(cx, account, CallHeaders::of(req)?.key, body),
        ("GET", Some(id)) => show(cx, account, find(id)?),
        ("DELETE", Some(id)) => end(cx, account, find(id)?),
        (method, _) => Err(Error::new(
            ErrorKind::MethodNotAllowed,
            format!("{method} does not fit {path}"),
        )),
    }
}

/// Parses the id of a path.
fn find(id: &str) -> Result<ProgramId> {
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
    let key_named = key.is_some();
    let key = RequestKey::of(account, &key.unwrap_or_else(random_key));
    let parent = body.parent.as_deref().map(|id| {
        id.parse::<ProgramId>()
            .map_err(|err| Error::new(ErrorKind::BadRequest, format!("parent: {err}")))
    });
    let parent = parent.transpose()?;
    let new = NewProgram {
        account,
        key,
        program: parent.unwrap_or_else(|| program_of(key)),
        sub_agent: parent.is_some(),
        limits: limits(&body, &cx.rules.get().program_limits(account))?,
    };
    let program = new.program;
    match ask(cx, program, &LedgerRequest::Create(new), key_named)? {
        LedgerReply::Created(id) => Ok((201, json!({"id": id.to_string()}))),
        reply => Err(unexpected(&reply)),
    }
}

/// The limits that a body asks for; the account's where it asks for none.
fn limits(body: &CreateBody, account: &ProgramLimits) -> Result<ProgramLimits> {
    let limits = ProgramLimits {
        budget: body.budget_tokens.map_or(account.budget, Tokens),
        turns: body.turns.unwrap_or(account.turns),
        lifetime_s: body.lifetime_s.unwrap_or(account.lifetime_s),
        sub_agents: body.sub_agents.unwrap_or(account.sub_agents),
        depth: body.depth.unwrap_or(account.depth),
    };
    let asked = [
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
    if let Some((name, asked, most)) = asked.into_iter().find(|(_, asked, most)| asked > most) {
        let message = format!("{name}: {asked} is over the account's limit of {most}");
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

/// Tells a program's state and history.
fn show(cx: &EntryContext, account: AccountId, id: ProgramId) -> Result<(u16, Value)> {
    match ask(cx, id, &LedgerRequest::Show(id, account), false)? {
        LedgerReply::Program(status) => Ok((200, status_json(&status))),
        reply => Err(unexpected(&reply)),
    }
}

/// Ends a program and its sub-agents.
fn end(cx: &EntryContext, account: AccountId, id: ProgramId) -> Result<(u16, Value)> {
    match ask(cx, id, &LedgerRequest::End(id, account), true)? {
        LedgerReply::Done => Ok((200, json!({"id": id.to_string(), "ended": true}))),
        reply => Err(unexpected(&reply)),
    }
}

/// Asks the ledger; refusals and faults are errors.
fn ask(
    cx: &EntryContext,
    program: ProgramId,
    req: &LedgerRequest,
    sent_before: bool,
) -> Result<LedgerReply> {
    match cx.calls.ledger.request(program, req, LEDGER_PATIENCE) {
        Ok(LedgerReply::Refused(err)) => Err(err),
        Ok(reply) => Ok(reply),
        Err(fault) if sent_before => Err(fault.unreachable_error()),
        Err(fault) => Err(fault.not_run_error()),
    }
}

/// The error for a reply that does not fit its request.
fn unexpected(reply: &LedgerReply) -> Error {
    log::error!("event=unexpected_ledger_reply reply={reply:?}");
    Error::new(ErrorKind::Internal, "unexpected reply of the ledger")
}

/// The JSON form of a program.
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

/// The JSON form of an outcome.
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
