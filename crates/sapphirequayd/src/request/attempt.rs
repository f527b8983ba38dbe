//! Serves one attempt of a call on a sidecar: admission, the request to the
//! upstream, and the events sent back to the entry.

use {
    crate::{
        connection::{EngineClient, EngineStream, ServiceClient, StreamId},
        process::{Clock, GateMsg, KvMsg, Lifecycle, Mailbox, PermitMsg, SharedHealth, ticket},
        request::{StreamAction, StreamTracker, StreamTrackerSettings, UpstreamEvent, Usage},
    },
    quay_link::LinkStream,
    quay_policy::TicketId,
    quay_types::{
        CallEvent, CallRequest, CallTarget, Error, ErrorKind, FinishReason, Incarnation, PermitId,
        Proceed, Result, Time,
    },
    std::{
        cell::Cell,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{self, RecvTimeoutError},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Interval of heartbeats to the entry while an attempt waits in the queue or
/// for a plain service.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of tokens over which the mean token interval is averaged before it is
/// reported to the admission gate.
const TOKEN_GAP_WINDOW: u32 = 16;

/// Time past the call's deadline after which a sidecar ends an attempt itself.
/// The entry has more information about the call and should end it first.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// Handles shared by all attempts on one sidecar.
#[derive(Debug, Clone)]
pub struct AttemptContext {
    /// Incarnation of the running sidecar process.
    pub incarnation: Incarnation,
    /// Admission queue in front of the upstream.
    pub gate: Mailbox<GateMsg>,
    /// Decides which KV blocks the engine retains; `None` if the upstream is a
    /// plain service.
    pub kv: Option<Mailbox<KvMsg>>,
    /// Registry of the permits presented to this incarnation.
    pub permits: Mailbox<PermitMsg>,
    /// Client of the upstream, used if it is a model engine.
    pub engine: EngineClient,
    /// Client of the upstream, used if it is a plain service.
    pub service: ServiceClient,
    /// Tracks requests in flight and whether new ones are accepted.
    pub lifecycle: Lifecycle,
    /// Health of the upstream.
    pub health: SharedHealth,
    /// Clock of the process.
    pub clock: Clock,
    /// Number of the next attempt; part of its stream id.
    pub next_attempt: Arc<AtomicU64>,
    /// Bytes of text that a response may have.
    pub max_response_bytes: u64,
}

/// Serves one attempt and sends its events on `stream`.
pub fn serve_attempt(cx: &AttemptContext, stream: &mut LinkStream, call: &CallRequest) {
    let Some(_progress) = cx.lifecycle.begin() else {
        let err = Error::new(ErrorKind::Draining, "the sidecar is draining");
        return drop(stream.send(&CallEvent::Refused(err)));
    };
    let permit = match use_permit(cx, call) {
        Ok(permit) => permit,
        Err(event) => return drop(stream.send(&event)),
    };
    let queued = Instant::now();
    let last = match admit(cx, stream, call) {
        Ok(id) => {
            metrics::histogram!("sapphirequay_queue_seconds").record(queued.elapsed());
            let last = match (confirm(stream, call, permit), call.target) {
                (Err(err), _) => CallEvent::Refused(err),
                (Ok(()), CallTarget::Model(_)) => run_model(cx, stream, call),
                (Ok(()), CallTarget::Service(_)) => run_service(cx, stream, call),
            };
            cx.gate.send(GateMsg::Finish(id));
            last
        }
        Err(err) => CallEvent::Refused(err),
    };
    record_end(&last);
    // The registry learns of the end before the entry does, so that a permit
    // query never returns an older status than the entry has seen.
    cx.permits.send(match &last {
        CallEvent::Refused(_) => PermitMsg::Refuse(permit),
        CallEvent::Body { .. } => PermitMsg::End(permit, Some(last.clone())),
        _ => PermitMsg::End(permit, None),
    });
    let _ = stream.send(&last);
}

/// Runs an admitted model call and reports its outcome to the health tracker.
fn run_model(cx: &AttemptContext, stream: &LinkStream, call: &CallRequest) -> CallEvent {
    if let Some(kv) = &cx.kv {
        kv.send(KvMsg::CallStarted(call.program, call.blocks.clone()));
    }
    let mut run = ModelAttempt::new(cx, stream, call);
    let last = run.run();
    if let Some(kv) = &cx.kv {
        kv.send(KvMsg::CallEnded(call.program));
    }
    if let Some(success) = run.health_outcome(&last) {
        cx.health.record_outcome(success);
    }
    last
}

/// Consumes the call's permit; otherwise returns the event to reply with.
fn use_permit(cx: &AttemptContext, call: &CallRequest) -> std::result::Result<PermitId, CallEvent> {
    let asked = cx.permits.ask(|reply| PermitMsg::Admit(call.permit, reply));
    asked.unwrap_or_else(|| {
        let err = Error::new(ErrorKind::Draining, "the sidecar is shutting down");
        Err(CallEvent::Refused(err))
    })
}

/// Replies to an entry's permit query with the permit's status and, if it is
/// retained, the attempt's last event.
pub fn answer_permit_query(
    cx: &AttemptContext,
    stream: &LinkStream,
    id: PermitId,
    incarnation: Incarnation,
) {
    let known = cx.permits.ask(|reply| PermitMsg::Query {
        id,
        incarnation,
        reply,
    });
    let Some((status, last)) = known else { return };
    let _ = stream.send(&CallEvent::PermitStatus(status));
    if let Some(last) = last {
        let _ = stream.send(&last);
    }
}

/// Updates metrics and the log at the end of an attempt.
fn record_end(last: &CallEvent) {
    let outcome = match last {
        CallEvent::Refused(err) | CallEvent::Failed(err) => err.kind.name(),
        _ => "ok",
    };
    metrics::counter!("sapphirequay_attempts_total", "outcome" => outcome).increment(1);
    match last {
        CallEvent::End { prompt, output, .. } => {
            metrics::counter!("sapphirequay_tokens_total", "kind" => "prompt").increment(prompt.0);
            metrics::counter!("sapphirequay_tokens_total", "kind" => "output").increment(output.0);
        }
        CallEvent::Refused(err) | CallEvent::Failed(err) => {
            log::warn!(
                "event=attempt_ended outcome={outcome} cause={:?}",
                err.message
            );
        }
        _ => {}
    }
}

/// Waits for admission and sends heartbeats to the entry meanwhile.
fn admit(cx: &AttemptContext, stream: &LinkStream, call: &CallRequest) -> Result<TicketId> {
    if call.incarnation != cx.incarnation {
        return Err(Error::new(
            ErrorKind::PermitRefused,
            "the permit was issued for another incarnation of this sidecar",
        ));
    }
    let (tx, rx) = mpsc::sync_channel(1);
    cx.gate
        .send(GateMsg::Admit(ticket(cx.clock.now(), call), tx));
    loop {
        match rx.recv_timeout(HEARTBEAT_INTERVAL) {
            Ok(verdict) => return verdict,
            Err(RecvTimeoutError::Timeout) if stream.send(&CallEvent::Heartbeat).is_ok() => {}
            Err(_) => {
                return Err(Error::new(
                    ErrorKind::Draining,
                    "the sidecar is shutting down or the entry has disconnected",
                ));
            }
        }
    }
}

/// Waits for the entry to confirm a call that is not idempotent. An entry that
/// never received `Ready` can conclude that the call did not run, even if this
/// process crashes.
fn confirm(stream: &mut LinkStream, call: &CallRequest, permit: PermitId) -> Result<()> {
    if call.idempotent {
        return Ok(());
    }
    let asked = stream.send(&CallEvent::Ready);
    let confirmed = asked.and_then(|()| stream.recv::<Proceed>());
    match confirmed {
        Ok(proceed) if proceed.permit == permit => Ok(()),
        other => Err(Error::new(
            ErrorKind::PermitRefused,
            format!("the entry did not confirm the call: {other:?}"),
        )),
    }
}

/// Calls a plain service. The call continues if the entry disconnects: its
/// response is retained for later permit queries.
fn run_service(cx: &AttemptContext, stream: &LinkStream, call: &CallRequest) -> CallEvent {
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
        match rx.recv_timeout(HEARTBEAT_INTERVAL) {
            Ok(last) => {
                cx.health.record_outcome(!matches!(
                    last,
                    CallEvent::Refused(_) | CallEvent::Failed(_)
                ));
                return last;
            }
            Err(RecvTimeoutError::Timeout) => drop(stream.send(&CallEvent::Heartbeat)),
            Err(RecvTimeoutError::Disconnected) => {
                let err = Error::new(
                    ErrorKind::OutcomeUnknown,
                    "the thread calling the service panicked",
                );
                return CallEvent::Failed(err);
            }
        }
    }
}

// ----------------------------------------------------------------------------
// Admitted model calls

/// An admitted attempt of a model call.
struct ModelAttempt<'a> {
    cx: &'a AttemptContext,
    stream: &'a LinkStream,
    call: &'a CallRequest,
    id: StreamId,
    tracker: StreamTracker,
    /// Start of the current token-gap window, and tokens received in it.
    token_window: Cell<(Time, u32)>,
}

impl<'a> ModelAttempt<'a> {
    /// Reports the mean token interval to the admission gate once per window.
    fn record_token_gap(&self, tokens: u32) {
        let now = self.cx.clock.now();
        let (since, count) = self.token_window.get();
        if since == Time::ZERO {
            self.token_window.set((now, 0));
        } else if count + tokens >= TOKEN_GAP_WINDOW {
            let gap = now.since(since) / (count + tokens);
            self.cx.gate.send(GateMsg::TokenGap(gap));
            self.token_window.set((now, 0));
        } else {
            self.token_window.set((since, count + tokens));
        }
    }

    fn new(cx: &'a AttemptContext, stream: &'a LinkStream, call: &'a CallRequest) -> Self {
        let now = cx.clock.now();
        let settings = StreamTrackerSettings {
            idempotent: call.idempotent,
            max_output: call.max_output,
            prompt: call.prompt,
            max_bytes: cx.max_response_bytes,
            deadline: now + Duration::from_millis(call.deadline_ms) + DEADLINE_MARGIN,
            ..StreamTrackerSettings::default()
        };
        Self {
            cx,
            stream,
            call,
            id: StreamId {
                incarnation: cx.incarnation.0,
                attempt: cx.next_attempt.fetch_add(1, Ordering::Relaxed),
            },
            tracker: StreamTracker::new(settings, now),
            token_window: Cell::default(),
        }
    }

    /// Runs the attempt until it ends and returns its last event.
    fn run(&mut self) -> CallEvent {
        let _ = self.stream.send(&CallEvent::Started);
        let mut connection = self.cx.engine.start(self.id, &self.call.body);
        loop {
            let event = match &mut connection {
                Ok(events) => events.next(),
                Err(event) => event.clone(),
            };
            let timed_out = matches!(event, UpstreamEvent::ReadTimeout | UpstreamEvent::Idle);
            let action = self.tracker.handle(self.cx.clock.now(), event);
            // The heartbeat tells the entry that the attempt is alive; a failed
            // send tells the sidecar that the entry has disconnected.
            if timed_out && self.stream.send(&CallEvent::Heartbeat).is_err() {
                return self.cancelled();
            }
            match self.perform(action, connection) {
                Ok(next) => connection = next,
                Err(last) => return last,
            }
        }
    }

    /// Whether the attempt counts as a success for the upstream's health;
    /// `None` if it says nothing about the upstream.
    fn health_outcome(&self, last: &CallEvent) -> Option<bool> {
        match last {
            CallEvent::End { .. } => Some(true),
            CallEvent::Failed(err) if err.kind == ErrorKind::Cancelled => None,
            CallEvent::Failed(_) if self.tracker.request_at_fault() => None,
            CallEvent::Refused(_) | CallEvent::Failed(_) => Some(false),
            _ => None,
        }
    }

    /// Performs an action; returns the connection to read from next, or the
    /// last event of the attempt.
    fn perform(
        &self,
        action: StreamAction,
        connection: Connection,
    ) -> std::result::Result<Connection, CallEvent> {
        match action {
            StreamAction::Read => Ok(connection),
            StreamAction::Forward {
                offset,
                tokens,
                text,
            } => {
                let delta = CallEvent::Delta {
                    offset,
                    tokens,
                    text,
                };
                self.record_token_gap(tokens);
                match self.stream.send(&delta) {
                    Ok(()) => Ok(connection),
                    Err(_) => Err(self.cancelled()),
                }
            }
            StreamAction::Resume(tokens) => {
                metrics::counter!("sapphirequay_stream_resumes_total").increment(1);
                log::info!("event=stream_resumed stream={} tokens={tokens}", self.id);
                drop(connection);
                thread::sleep(self.tracker.resume_delay());
                Ok(self.cx.engine.resume(self.id, tokens))
            }
            StreamAction::Resend => Ok(self.cx.engine.start(self.id, &self.call.body)),
            StreamAction::End(finish, usage) => Err(end_event(finish, usage)),
            StreamAction::Truncate(usage) => {
                let _ = self.cx.engine.cancel(self.id);
                Err(end_event(FinishReason::Length, usage))
            }
            StreamAction::NotRun(err) => Err(CallEvent::Refused(err)),
            StreamAction::Fail(err) => {
                let _ = self.cx.engine.cancel(self.id);
                Err(CallEvent::Failed(err))
            }
        }
    }

    /// Cancels generation on the engine because the entry has disconnected.
    fn cancelled(&self) -> CallEvent {
        let engine_heard = self.cx.engine.cancel(self.id);
        log::info!(
            "event=attempt_cancelled stream={} engine_heard={engine_heard}",
            self.id
        );
        CallEvent::Failed(Error::new(
            ErrorKind::Cancelled,
            "the entry has disconnected",
        ))
    }
}

/// A connection to the upstream, or the event that replaced it.
type Connection = std::result::Result<EngineStream, UpstreamEvent>;

/// The last event of a complete response.
const fn end_event(finish: FinishReason, usage: Usage) -> CallEvent {
    CallEvent::End {
        finish,
        prompt: usage.prompt,
        cached: usage.cached,
        output: usage.output,
    }
}
