//! Runs one attempt on a remote sidecar, seen from the entry.

use {
    crate::{
        process::Lifecycle,
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

/// Time after the permit request within which a call that is not idempotent may
/// be confirmed. Together with the idle time-out of links, within which the
/// sidecar must receive the confirmation, it stays below the ledger's
/// `start_limit_ms`.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(8);

/// How an attempt ended, as far as the entry knows.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The complete response arrived.
    Completed {
        /// The response.
        response: RecordedResponse,
        /// Token counts reported by the upstream.
        usage: Usage,
    },
    /// The call did not run and never will under this permit.
    NotRun(Error),
    /// The call ran and ended with an error.
    Failed {
        /// The error.
        err: Error,
        /// Tokens used; `None` if unknown, in which case the reservation is the
        /// upper bound.
        used: Option<Tokens>,
    },
    /// The call may have run, or may still be running.
    Lost(Error),
}

/// Runs one attempt on `sidecar` and forwards its response, until its deadline or the
/// end of the process. `requested_at` is the time at which the permit was requested from
/// the ledger.
pub fn run_attempt<A: ResponseWriter>(
    links: &Links,
    sidecar: SocketAddr,
    request: CallRequest,
    (deadline, lifecycle): (Instant, &Lifecycle),
    requested_at: Instant,
    delivery: &mut Delivery<'_, A>,
) -> AttemptEnd {
    let mut attempt = RemoteAttempt {
        deadline,
        confirm_until: requested_at + CONFIRM_TIMEOUT,
        sent: request.idempotent,
        idempotent: request.idempotent,
        permit: request.permit.map(|permit| permit.id),
    };
    let req = LinkRequest::Sidecar(SidecarRequest::Call(request));
    let mut stream = match links.open(sidecar, LinkRole::Sidecar, &req) {
        Ok(stream) => stream,
        // Nothing was sent, so the call did not run.
        Err(LinkError::Connect(text)) => {
            return AttemptEnd::NotRun(Error::new(ErrorKind::NoUpstream, text));
        }
        Err(LinkError::TooLarge { bytes }) => {
            let text = format!("the request of {bytes} bytes exceeds the link's frame limit");
            return AttemptEnd::NotRun(Error::new(ErrorKind::TooLarge, text));
        }
        Err(err) => return attempt.lost(&err),
    };
    loop {
        if let Some(end) = attempt.next_event(&mut stream, delivery) {
            return end;
        }
        if Instant::now() >= deadline {
            return attempt.deadline_exceeded();
        }
        if lifecycle.has_ended() {
            return attempt.cut_off();
        }
    }
}

/// State that the entry keeps of an attempt on a sidecar.
struct RemoteAttempt {
    deadline: Instant,
    /// Time after which a call that is not idempotent is not confirmed any
    /// more.
    confirm_until: Instant,
    /// Whether the call may run more than once.
    idempotent: bool,
    /// Whether the sidecar was sent everything that it needs to run the
    /// attempt: the request and, if the call is not idempotent, the
    /// confirmation.
    sent: bool,
    permit: Option<PermitId>,
}

impl RemoteAttempt {
    /// Handles one event; returns how the attempt ended if it was the last.
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
            CallEvent::Ready => self.confirm(stream),
            CallEvent::Delta { text, .. } if !delivery.make_room(&text) => {
                let text = "this entry has no memory for the response";
                Some(AttemptEnd::Lost(Error::new(ErrorKind::UpstreamLost, text)))
            }
            CallEvent::Delta { offset, text, .. } => {
                if delivery.write_part(offset, &text) {
                    return None;
                }
                let err = Error::new(
                    ErrorKind::Internal,
                    "the sidecar skipped part of the response",
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

    /// Confirms a call that is not idempotent, unless its permit is too old or
    /// the deadline has passed.
    fn confirm(&mut self, stream: &LinkStream) -> Option<AttemptEnd> {
        if Instant::now() >= self.deadline {
            return Some(self.deadline_exceeded());
        }
        if Instant::now() >= self.confirm_until {
            let text = "the permit expired before the call was confirmed";
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

    /// The end of an attempt whose deadline has passed. Dropping the stream
    /// cancels the attempt; the outcome of a call that is not idempotent is
    /// then unknown.
    fn deadline_exceeded(&self) -> AttemptEnd {
        if !self.sent {
            return AttemptEnd::NotRun(Error::new(
                ErrorKind::DeadlineNotRun,
                "the deadline passed before the call was sent to the upstream",
            ));
        }
        let err = Error::new(
            ErrorKind::DeadlineExceeded,
            "the deadline passed while the call was running",
        );
        if self.idempotent {
            AttemptEnd::Failed { err, used: None }
        } else {
            AttemptEnd::Lost(err)
        }
    }

    /// The end of an attempt that is still running when the entry ends. Dropping the
    /// stream cancels the attempt.
    fn cut_off(&self) -> AttemptEnd {
        let text = "this entry shut down before the call had ended";
        if self.sent {
            AttemptEnd::Lost(Error::new(ErrorKind::UpstreamLost, text))
        } else {
            AttemptEnd::NotRun(Error::new(ErrorKind::Draining, text))
        }
    }

    /// The end of an attempt whose link failed. The call can have run only if
    /// the sidecar was sent everything that it needs.
    fn lost(&self, err: &LinkError) -> AttemptEnd {
        if self.sent {
            let text = format!("sidecar: {err}");
            AttemptEnd::Lost(Error::new(ErrorKind::UpstreamLost, text))
        } else {
            let text = format!("the call was not sent to the upstream: {err}");
            AttemptEnd::NotRun(Error::new(ErrorKind::PermitRefused, text))
        }
    }
}

/// Converts the last event of an attempt; `text` is the response received
/// before.
pub fn end_of(event: CallEvent, text: &str) -> AttemptEnd {
    match event {
        CallEvent::End {
            finish,
            prompt,
            cached,
            output,
        } => AttemptEnd::Completed {
            response: RecordedResponse::Text {
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
            response: RecordedResponse::Body { status, body },
            usage: Usage::default(),
        },
        CallEvent::Refused(err) => AttemptEnd::NotRun(err),
        CallEvent::Failed(err) if err.kind == ErrorKind::UpstreamError => AttemptEnd::Failed {
            err,
            used: text.is_empty().then_some(Tokens(0)),
        },
        CallEvent::Failed(err) => AttemptEnd::Lost(err),
        _ => AttemptEnd::Lost(Error::new(
            ErrorKind::Internal,
            "unexpected event at the end of an attempt",
        )),
    }
}
