//! Life of one attempt on a sidecar: admission, the upstream, its events.

use {
    crate::{
        connection::{EngineClient, EngineEvent, ServiceClient},
        process::{GateMsg, Mailbox, PermitMsg},
    },
    quay_link::LinkStream,
    quay_types::{
        CallEvent, CallRequest, CallTarget, Error, ErrorKind, Incarnation, PermitId, Result,
    },
    std::{
        sync::mpsc::{self, RecvTimeoutError},
        thread,
        time::Duration,
    },
};

/// Interval of heartbeats while an attempt waits in the queue.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// What attempts on one sidecar share.
#[derive(Debug, Clone)]
pub struct Attempts {
    /// This run of the sidecar.
    pub incarnation: Incarnation,
    /// Queue before the upstream.
    pub gate: Mailbox<GateMsg>,
    /// Permits that this run was shown.
    pub permits: Mailbox<PermitMsg>,
    /// The upstream, if it is a model engine.
    pub engine: EngineClient,
    /// The upstream, if it is a plain service.
    pub service: ServiceClient,
}

/// Serves one attempt and reports its events on `stream`.
pub fn serve_attempt(cx: &Attempts, stream: &LinkStream, call: &CallRequest) {
    let permit = match use_permit(cx, call) {
        Ok(permit) => permit,
        Err(event) => return drop(stream.send(&event)),
    };
    let last = match admit(cx, stream, call) {
        Ok(()) => {
            let end = match call.target {
                CallTarget::Model(_) => run(cx, stream, call).unwrap_or_else(CallEvent::Failed),
                CallTarget::Service(_) => run_service(cx, stream, call),
            };
            cx.gate.send(GateMsg::Leave);
            end
        }
        Err(err) => CallEvent::Refused(err),
    };
    // Whoever asks hears of the end no later than the entry does.
    cx.permits.send(match &last {
        CallEvent::Refused(_) => PermitMsg::Refuse(permit),
        CallEvent::Body { .. } => PermitMsg::End(permit, Some(last.clone())),
        _ => PermitMsg::End(permit, None),
    });
    let _ = stream.send(&last);
}

/// Uses the call's permit, or says why it can't be used.
fn use_permit(cx: &Attempts, call: &CallRequest) -> std::result::Result<PermitId, CallEvent> {
    let asked = cx.permits.ask(|reply| PermitMsg::Admit(call.permit, reply));
    asked.unwrap_or_else(|| {
        let err = Error::new(ErrorKind::Draining, "the sidecar stops");
        Err(CallEvent::Refused(err))
    })
}

/// Tells an entry what became of a permit, and the kept answer if there is one.
pub fn answer_inquiry(cx: &Attempts, stream: &LinkStream, id: PermitId, incarnation: Incarnation) {
    let known = cx.permits.ask(|reply| PermitMsg::Inquire {
        id,
        incarnation,
        reply,
    });
    let Some((fate, answer)) = known else { return };
    let _ = stream.send(&CallEvent::Fate(fate));
    if let Some(answer) = answer {
        let _ = stream.send(&answer);
    }
}

/// Waits for admission; the entry hears heartbeats meanwhile.
fn admit(cx: &Attempts, stream: &LinkStream, call: &CallRequest) -> Result<()> {
    if call.incarnation != cx.incarnation {
        return Err(Error::new(
            ErrorKind::PermitRefused,
            "the permit is for another run of this sidecar",
        ));
    }
    let (tx, rx) = mpsc::sync_channel(1);
    cx.gate.send(GateMsg::Enter(tx));
    loop {
        match rx.recv_timeout(HEARTBEAT) {
            Ok(verdict) => return verdict,
            Err(RecvTimeoutError::Timeout) if stream.send(&CallEvent::Heartbeat).is_ok() => {}
            Err(_) => {
                return Err(Error::new(
                    ErrorKind::Draining,
                    "the sidecar or the entry has gone",
                ));
            }
        }
    }
}

/// Calls a plain service. It goes on when the entry has gone: its answer is
/// kept for whoever asks.
fn run_service(cx: &Attempts, stream: &LinkStream, call: &CallRequest) -> CallEvent {
    let _ = stream.send(&CallEvent::Started);
    let (tx, rx) = mpsc::sync_channel(1);
    let (service, body) = (cx.service.clone(), call.body.clone());
    let timeout = Duration::from_millis(call.deadline_ms);
    let spawned = thread::Builder::new()
        .name("service".into())
        .spawn(move || tx.send(service.call(&body, timeout)));
    if let Err(err) = spawned {
        return CallEvent::Refused(Error::new(ErrorKind::Overloaded, format!("thread: {err}")));
    }
    loop {
        match rx.recv_timeout(HEARTBEAT) {
            Ok(end) => return end,
            Err(RecvTimeoutError::Timeout) => drop(stream.send(&CallEvent::Heartbeat)),
            Err(RecvTimeoutError::Disconnected) => {
                let err = Error::new(ErrorKind::OutcomeUnknown, "the call of the service broke");
                return CallEvent::Failed(err);
            }
        }
    }
}

/// Runs an admitted attempt; the result is its last event.
fn run(cx: &Attempts, stream: &LinkStream, call: &CallRequest) -> Result<CallEvent> {
    let _ = stream.send(&CallEvent::Started);
    let mut offset = 0;
    for event in cx.engine.complete(&call.body)? {
        match event? {
            EngineEvent::Delta(text) => {
                let next = offset + text.len() as u64;
                let sent = stream.send(&CallEvent::Delta {
                    offset,
                    tokens: 1,
                    text,
                });
                sent.map_err(|err| Error::new(ErrorKind::Cancelled, format!("entry: {err}")))?;
                offset = next;
            }
            EngineEvent::End {
                finish,
                prompt,
                cached,
                output,
            } => {
                return Ok(CallEvent::End {
                    finish,
                    prompt,
                    cached,
                    output,
                });
            }
        }
    }
    Err(Error::new(
        ErrorKind::OutcomeUnknown,
        "the upstream closed the stream before its end",
    ))
}
