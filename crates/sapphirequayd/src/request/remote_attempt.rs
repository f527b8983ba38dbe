//! Offers one attempt to a sidecar and follows its events.

use {
    crate::{
        request::{Delivery, RecordedResponse, ResponseWriter, Usage},
        wire::LinkRequest,
    },
    quay_link::{LinkError, LinkRole, LinkStream, Links},
    quay_types::{
        CallEvent, CallRequest, Error, ErrorKind, PermitId, Proceed, SidecarRequest, Tokens,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time from asking for a permit to the last moment at which a call that may
/// not run twice is let run. With the silence limit of links, within which the
/// sidecar must hear of it, this stays below the ledger's `start_limit_ms`.
const CONFIRM_LIMIT: Duration = Duration::from_secs(8);

/// How an attempt ended, as far as its entry knows.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The whole answer is here.
    Completed {
        /// The answer.
        answer: RecordedResponse,
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

/// Runs one attempt and passes its answer on. `asked` is when the ledger was
/// asked for its permit.
pub fn run_attempt<A: ResponseWriter>(
    links: &Links,
    sidecar: SocketAddr,
    request: CallRequest,
    deadline: Instant,
    asked: Instant,
    delivery: &mut Delivery<'_, A>,
) -> AttemptEnd {
    let mut offer = Offer {
        deadline,
        confirm_until: asked + CONFIRM_LIMIT,
        sent: request.idempotent,
        idempotent: request.idempotent,
        permit: request.permit.map(|permit| permit.id),
    };
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
        Err(err) => return offer.lost(&err),
    };
    loop {
        if let Some(end) = offer.next_event(&mut stream, delivery) {
            return end;
        }
        if Instant::now() >= deadline {
            return offer.overdue();
        }
    }
}

/// What an entry knows of an attempt that it has offered.
struct Offer {
    deadline: Instant,
    /// A call that may not run twice is not let run after this.
    confirm_until: Instant,
    /// Whether the attempt may run more than once.
    idempotent: bool,
    /// Whether all was sent that the sidecar needs to run the attempt.
    sent: bool,
    permit: Option<PermitId>,
}

impl Offer {
    /// Takes one event; the end of the attempt if it was the last.
    fn next_event<A: ResponseWriter>(
        &mut self,
        stream: &mut LinkStream,
        delivery: &mut Delivery<'_, A>,
    ) -> Option<AttemptEnd> {
        let event = match stream.recv::<CallEvent>() {
            Ok(event) => event,
            Err(err) => return Some(self.lost(&err)),
        };
        match event {
            CallEvent::Ready => self.proceed(stream),
            CallEvent::Delta { offset, text, .. } => {
                if delivery.part(offset, &text) {
                    return None;
                }
                let err = Error::new(
                    ErrorKind::Internal,
                    "the sidecar left out part of the answer",
                );
                Some(AttemptEnd::Lost(err))
            }
            CallEvent::Heartbeat => {
                delivery.heartbeat();
                None
            }
            CallEvent::Started | CallEvent::PermitStatus(_) => None,
            last => Some(end_of(last, delivery.text())),
        }
    }

    /// Lets a call that may not run twice run, unless its time is over.
    fn proceed(&mut self, stream: &LinkStream) -> Option<AttemptEnd> {
        if Instant::now() >= self.deadline {
            return Some(self.overdue());
        }
        if Instant::now() >= self.confirm_until {
            let text = "the permit is too old to start the call";
            return Some(AttemptEnd::NotRun(Error::new(
                ErrorKind::PermitRefused,
                text,
            )));
        }
        let proceed = Proceed {
            permit: self.permit?,
        };
        self.sent = true;
        stream.send(&proceed).err().map(|err| self.lost(&err))
    }

    /// The end of an attempt whose deadline has passed. Dropping its stream
    /// cancels it; what a call that may not run twice has done by then is not
    /// known.
    fn overdue(&self) -> AttemptEnd {
        if !self.sent {
            return AttemptEnd::NotRun(Error::new(
                ErrorKind::DeadlineNotRun,
                "the deadline passed before the upstream had the call",
            ));
        }
        let err = Error::new(
            ErrorKind::DeadlineExceeded,
            "the deadline passed while the call ran",
        );
        if self.idempotent {
            AttemptEnd::Failed { err, used: None }
        } else {
            AttemptEnd::Lost(err)
        }
    }

    /// The end of an attempt whose link broke: it ran, or may have, only if the
    /// sidecar had all it needs.
    fn lost(&self, err: &LinkError) -> AttemptEnd {
        if self.sent {
            let text = format!("sidecar: {err}");
            AttemptEnd::Lost(Error::new(ErrorKind::UpstreamLost, text))
        } else {
            let text = format!("the call never reached its upstream: {err}");
            AttemptEnd::NotRun(Error::new(ErrorKind::PermitRefused, text))
        }
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
        } => AttemptEnd::Completed {
            answer: RecordedResponse::Text {
                finish,
                text: text.into(),
            },
            usage: Usage {
                prompt,
                cached,
                output,
            },
        },
        CallEvent::Body { status, body } => AttemptEnd::Completed {
            answer: RecordedResponse::Body { status, body },
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
