//! Life of one attempt on a sidecar: admission, the upstream, its events.

use {
    crate::{
        connection::{EngineClient, EngineEvent},
        process::{GateMsg, Mailbox},
    },
    quay_link::LinkStream,
    quay_types::{CallEvent, CallRequest, Error, ErrorKind, Incarnation, Result},
    std::{
        sync::mpsc::{self, RecvTimeoutError},
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
    /// The upstream.
    pub engine: EngineClient,
}

/// Serves one attempt and reports its events on `stream`.
pub fn serve_attempt(cx: &Attempts, stream: &LinkStream, call: &CallRequest) {
    let last = match admit(cx, stream, call) {
        Ok(()) => {
            let end = run(cx, stream, call);
            cx.gate.send(GateMsg::Leave);
            end.unwrap_or_else(CallEvent::Failed)
        }
        Err(err) => CallEvent::Refused(err),
    };
    let _ = stream.send(&last);
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
