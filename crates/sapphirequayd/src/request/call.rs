//! Life of one call on an entry: choose an upstream, hand the call over, pass
//! the answer on, try elsewhere if it was truly not run.

use {
    crate::{
        process::{Mailbox, Pick, RouterMsg},
        wire::LinkRequest,
    },
    quay_link::{LinkError, LinkRole, LinkStream, Links},
    quay_types::{
        CallEvent, CallRequest, CallTarget, Error, ErrorKind, FinishReason, Result, SidecarRequest,
        Tokens, UpstreamId,
    },
};

/// Upstreams that one call is offered to at most.
const MAX_ATTEMPTS: usize = 3;

/// Where the answer goes, in the form that the caller asked for.
pub trait Answer {
    /// Passes part of the answer on.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn delta(&mut self, text: &str) -> std::io::Result<()>;

    /// Keeps the caller's connection alive.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn heartbeat(&mut self) -> std::io::Result<()>;

    /// Marks the end of a whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn end(&mut self, finish: FinishReason, usage: Usage) -> std::io::Result<()>;

    /// Passes the whole answer of a plain service on.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    fn body(&mut self, status: u16, body: &[u8]) -> std::io::Result<()>;
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
}

impl CallContext {
    /// Asks the router for an upstream that was not tried yet.
    fn pick(&self, target: CallTarget, tried: &[UpstreamId]) -> Result<Pick> {
        self.router
            .ask(|reply| RouterMsg::Pick {
                target,
                tried: tried.into(),
                reply,
            })
            .flatten()
            .ok_or_else(|| Error::new(ErrorKind::NoUpstream, "no upstream serves this now"))
    }
}

/// How an attempt ended.
enum AttemptEnd {
    /// The caller has the whole answer.
    Whole,
    /// Nothing ran; another upstream may be tried.
    NotRun(Error),
    /// It ran, or may have.
    Failed(Error),
}

/// Runs a call and passes its answer on.
///
/// # Errors
///
/// The error that the caller is told, if no answer was whole.
pub fn run_call(cx: &CallContext, call: &CallRequest, answer: &mut impl Answer) -> Result<()> {
    let mut tried = Vec::new();
    loop {
        let pick = cx.pick(call.target, &tried)?;
        let end = attempt(cx, &pick, call, answer);
        cx.router.send(RouterMsg::Done(pick.upstream));
        match end {
            AttemptEnd::Whole => return Ok(()),
            AttemptEnd::Failed(err) => return Err(err),
            AttemptEnd::NotRun(err) if tried.len() + 1 >= MAX_ATTEMPTS => return Err(err),
            AttemptEnd::NotRun(_) => tried.push(pick.upstream),
        }
    }
}

/// Hands a call to one sidecar and passes its events on.
fn attempt(
    cx: &CallContext,
    pick: &Pick,
    call: &CallRequest,
    answer: &mut impl Answer,
) -> AttemptEnd {
    let call = CallRequest {
        incarnation: pick.incarnation,
        ..call.clone()
    };
    let req = LinkRequest::Sidecar(SidecarRequest::Call(call));
    match cx.links.open(pick.addr, LinkRole::Sidecar, &req) {
        Ok(mut stream) => pass_events(&mut stream, answer),
        // Without a connection nothing was sent, so nothing ran.
        Err(LinkError::Connect(text)) => {
            AttemptEnd::NotRun(Error::new(ErrorKind::NoUpstream, text))
        }
        Err(err) => AttemptEnd::Failed(lost(&err)),
    }
}

/// Passes the events of an attempt on until it ends.
fn pass_events(stream: &mut LinkStream, answer: &mut impl Answer) -> AttemptEnd {
    loop {
        let event = match stream.recv::<CallEvent>() {
            Ok(event) => event,
            Err(err) => return AttemptEnd::Failed(lost(&err)),
        };
        let passed = match event {
            CallEvent::Delta { text, .. } => answer.delta(&text),
            CallEvent::End {
                finish,
                prompt,
                cached,
                output,
            } => {
                let usage = Usage {
                    prompt,
                    cached,
                    output,
                };
                match answer.end(finish, usage) {
                    Ok(()) => return AttemptEnd::Whole,
                    Err(err) => Err(err),
                }
            }
            CallEvent::Body { status, body } => match answer.body(status, &body) {
                Ok(()) => return AttemptEnd::Whole,
                Err(err) => Err(err),
            },
            CallEvent::Refused(err) => return AttemptEnd::NotRun(err),
            CallEvent::Failed(err) => return AttemptEnd::Failed(err),
            CallEvent::Heartbeat => answer.heartbeat(),
            CallEvent::Started | CallEvent::Fate(_) => Ok(()),
        };
        if let Err(err) = passed {
            return AttemptEnd::Failed(Error::new(ErrorKind::Cancelled, format!("caller: {err}")));
        }
    }
}

/// The error for a link that broke while the call may have run.
fn lost(err: &LinkError) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("sidecar: {err}"))
}
