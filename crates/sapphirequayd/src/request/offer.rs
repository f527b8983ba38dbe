//! Offers one attempt to a sidecar and follows its events.

use {
    crate::{
        request::{Answer, Delivery, RecordedAnswer, Usage},
        wire::LinkRequest,
    },
    quay_link::{LinkError, LinkRole, LinkStream, Links},
    quay_types::{CallEvent, CallRequest, Error, ErrorKind, SidecarRequest, Tokens},
    std::{net::SocketAddr, time::Instant},
};

/// How an attempt ended, as far as its entry knows.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The whole answer is here.
    Whole {
        /// The answer.
        answer: RecordedAnswer,
        /// Tokens that the upstream counted.
        usage: Usage,
    },
    /// Nothing ran, and nothing will under this permit.
    NotRun(Error),
    /// It ran and ended with an error.
    Failed {
        /// The error.
        err: Error,
        /// Tokens used; `None` if only the reservation bounds them.
        used: Option<Tokens>,
    },
    /// It may have run, or may still run.
    Lost(Error),
}

/// Runs one attempt and passes its answer on.
pub fn run_attempt<A: Answer>(
    links: &Links,
    sidecar: SocketAddr,
    request: CallRequest,
    deadline: Instant,
    delivery: &mut Delivery<'_, A>,
) -> AttemptEnd {
    let idempotent = request.idempotent;
    let req = LinkRequest::Sidecar(SidecarRequest::Call(request));
    let mut stream = match links.open(sidecar, LinkRole::Sidecar, &req) {
        Ok(stream) => stream,
        // Nothing was sent, so nothing ran.
        Err(LinkError::Connect(text)) => {
            return AttemptEnd::NotRun(Error::new(ErrorKind::NoUpstream, text));
        }
        Err(LinkError::TooLarge { bytes }) => {
            let text = format!("the request has {bytes} bytes");
            return AttemptEnd::NotRun(Error::new(ErrorKind::TooLarge, text));
        }
        Err(err) => return AttemptEnd::Lost(lost(&err)),
    };
    loop {
        if let Some(end) = next_event(&mut stream, delivery) {
            return end;
        }
        if Instant::now() >= deadline {
            return overdue(idempotent);
        }
    }
}

/// Takes one event; the end of the attempt if it was the last.
fn next_event<A: Answer>(
    stream: &mut LinkStream,
    delivery: &mut Delivery<'_, A>,
) -> Option<AttemptEnd> {
    let event = match stream.recv::<CallEvent>() {
        Ok(event) => event,
        Err(err) => return Some(AttemptEnd::Lost(lost(&err))),
    };
    match event {
        CallEvent::Delta { offset, text, .. } => {
            if !delivery.part(offset, &text) {
                let err = Error::new(
                    ErrorKind::Internal,
                    "the sidecar left out part of the answer",
                );
                return Some(AttemptEnd::Lost(err));
            }
            None
        }
        CallEvent::Heartbeat => {
            delivery.heartbeat();
            None
        }
        CallEvent::Started | CallEvent::Fate(_) => None,
        last => Some(end_of(last, delivery.text())),
    }
}

/// What the last event of an attempt says; `text` is its answer so far.
pub fn end_of(event: CallEvent, text: &str) -> AttemptEnd {
    match event {
        CallEvent::End {
            finish,
            prompt,
            cached,
            output,
        } => AttemptEnd::Whole {
            answer: RecordedAnswer::Text {
                finish,
                text: text.into(),
            },
            usage: Usage {
                prompt,
                cached,
                output,
            },
        },
        CallEvent::Body { status, body } => AttemptEnd::Whole {
            answer: RecordedAnswer::Body { status, body },
            usage: Usage::default(),
        },
        CallEvent::Refused(err) => AttemptEnd::NotRun(err),
        CallEvent::Failed(err) if err.kind == ErrorKind::UpstreamError => AttemptEnd::Failed {
            err,
            used: text.is_empty().then_some(Tokens(0)),
        },
        CallEvent::Failed(err) => AttemptEnd::Lost(err),
        _ => AttemptEnd::Lost(Error::new(ErrorKind::Internal, "unexpected last event")),
    }
}

/// The end of an attempt whose deadline has passed. Dropping its stream cancels
/// it; what a call that may not run twice has done by then is not known.
fn overdue(idempotent: bool) -> AttemptEnd {
    let err = Error::new(
        ErrorKind::DeadlineExceeded,
        "the deadline passed while the call ran",
    );
    if idempotent {
        AttemptEnd::Failed { err, used: None }
    } else {
        AttemptEnd::Lost(err)
    }
}

/// The error for a link that broke while the call may have run.
fn lost(err: &LinkError) -> Error {
    Error::new(ErrorKind::UpstreamLost, format!("sidecar: {err}"))
}
