//! Life of one attempt on a sidecar: admission, the upstream, its events.

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

/// Interval of heartbeats while an attempt waits in the queue.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Tokens over which their mean distance is told to the gate.
const METERED_TOKENS: u32 = 16;

/// Time beyond the deadline after which a sidecar ends an attempt by itself:
/// its entry, which knows more, should do so first.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// What attempts on one sidecar share.
#[derive(Debug, Clone)]
pub struct AttemptContext {
    /// This run of the sidecar.
    pub incarnation: Incarnation,
    /// Queue before the upstream.
    pub gate: Mailbox<GateMsg>,
    /// Decides what the engine keeps; `None` before a plain service.
    pub kv: Option<Mailbox<KvMsg>>,
    /// Permits that this run was shown.
    pub permits: Mailbox<PermitMsg>,
    /// The upstream, if it is a model engine.
    pub engine: EngineClient,
    /// The upstream, if it is a plain service.
    pub service: ServiceClient,
    /// Whether requests are taken.
    pub lifecycle: Lifecycle,
    /// Health of the upstream.
    pub health: SharedHealth,
    /// Time of the process.
    pub clock: Clock,
    /// Number of the last attempt.
    pub numbers: Arc<AtomicU64>,
}

/// Serves one attempt and reports its events on `stream`.
pub fn serve_attempt(cx: &AttemptContext, stream: &mut LinkStream, call: &CallRequest) {
    let Some(_progress) = cx.lifecycle.begin() else {
        let err = Error::new(ErrorKind::Draining, "the sidecar is leaving");
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
    report(&last);
    // Whoever asks hears of the end no later than the entry does.
    cx.permits.send(match &last {
        CallEvent::Refused(_) => PermitMsg::Refuse(permit),
        CallEvent::Body { .. } => PermitMsg::End(permit, Some(last.clone())),
        _ => PermitMsg::End(permit, None),
    });
    let _ = stream.send(&last);
}

/// Runs an admitted call of a model and tells the upstream's health of it.
fn run_model(cx: &AttemptContext, stream: &LinkStream, call: &CallRequest) -> CallEvent {
    if let Some(kv) = &cx.kv {
        kv.send(KvMsg::CallStarted(call.program, call.blocks.clone()));
    }
    let mut run = Run::new(cx, stream, call);
    let last = run.run();
    if let Some(kv) = &cx.kv {
        kv.send(KvMsg::CallEnded(call.program));
    }
    if let Some(good) = run.verdict(&last) {
        cx.health.record_outcome(good);
    }
    last
}

/// Uses the call's permit, or says why it can't be used.
fn use_permit(cx: &AttemptContext, call: &CallRequest) -> std::result::Result<PermitId, CallEvent> {
    let asked = cx.permits.ask(|reply| PermitMsg::Admit(call.permit, reply));
    asked.unwrap_or_else(|| {
        let err = Error::new(ErrorKind::Draining, "the sidecar stops");
        Err(CallEvent::Refused(err))
    })
}

/// Tells an entry what became of a permit, and the kept answer if there is one.
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
    let Some((fate, answer)) = known else { return };
    let _ = stream.send(&CallEvent::PermitStatus(fate));
    if let Some(answer) = answer {
        let _ = stream.send(&answer);
    }
}

/// Counts and logs the end of an attempt.
fn report(last: &CallEvent) {
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

/// Waits for admission; the entry hears heartbeats meanwhile.
fn admit(cx: &AttemptContext, stream: &LinkStream, call: &CallRequest) -> Result<TicketId> {
    if call.incarnation != cx.incarnation {
        return Err(Error::new(
            ErrorKind::PermitRefused,
            "the permit is for another run of this sidecar",
        ));
    }
    let (tx, rx) = mpsc::sync_channel(1);
    cx.gate
        .send(GateMsg::Admit(ticket(cx.clock.now(), call), tx));
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

/// Has the entry confirm a call that may not run twice. An entry that never
/// heard that the call was ready knows by that that it did not run, also when
/// this process dies.
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

/// Calls a plain service. It goes on when the entry has gone: its answer is
/// kept for whoever asks.
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
        match rx.recv_timeout(HEARTBEAT) {
            Ok(last) => {
                cx.health.record_outcome(!matches!(
                    last,
                    CallEvent::Refused(_) | CallEvent::Failed(_)
                ));
                return last;
            }
            Err(RecvTimeoutError::Timeout) => drop(stream.send(&CallEvent::Heartbeat)),
            Err(RecvTimeoutError::Disconnected) => {
                let err = Error::new(ErrorKind::OutcomeUnknown, "the call of the service broke");
                return CallEvent::Failed(err);
            }
        }
    }
}

// ----------------------------------------------------------------------------
// An admitted call of a model

/// An admitted attempt.
struct Run<'a> {
    cx: &'a AttemptContext,
    stream: &'a LinkStream,
    call: &'a CallRequest,
    id: StreamId,
    tracker: StreamTracker,
    /// Since when tokens are counted, and how many came.
    metered: Cell<(Time, u32)>,
}

impl<'a> Run<'a> {
    /// Tells the gate from time to time how far apart tokens are.
    fn meter(&self, tokens: u32) {
        let now = self.cx.clock.now();
        let (since, count) = self.metered.get();
        if since == Time::ZERO {
            self.metered.set((now, 0));
        } else if count + tokens >= METERED_TOKENS {
            let gap = now.since(since) / (count + tokens);
            self.cx.gate.send(GateMsg::TokenGap(gap));
            self.metered.set((now, 0));
        } else {
            self.metered.set((since, count + tokens));
        }
    }

    fn new(cx: &'a AttemptContext, stream: &'a LinkStream, call: &'a CallRequest) -> Self {
        let now = cx.clock.now();
        let settings = StreamTrackerSettings {
            idempotent: call.idempotent,
            max_output: call.max_output,
            prompt: call.prompt,
            deadline: now + Duration::from_millis(call.deadline_ms) + DEADLINE_MARGIN,
            ..StreamTrackerSettings::default()
        };
        Self {
            cx,
            stream,
            call,
            id: StreamId {
                incarnation: cx.incarnation.0,
                attempt: cx.numbers.fetch_add(1, Ordering::Relaxed),
            },
            tracker: StreamTracker::new(settings, now),
            metered: Cell::default(),
        }
    }

    /// Runs the attempt to its last event.
    fn run(&mut self) -> CallEvent {
        let _ = self.stream.send(&CallEvent::Started);
        let mut connection = self.cx.engine.start(self.id, &self.call.body);
        loop {
            let (silent, input) = match &mut connection {
                Ok(events) => {
                    let input = events.next();
                    (input == UpstreamEvent::ReadTimeout, input)
                }
                Err(input) => (*input == UpstreamEvent::ReadTimeout, input.clone()),
            };
            let step = self.tracker.handle(self.cx.clock.now(), input);
            // The entry hears that the attempt lives, and this side whether the
            // entry does.
            if silent && self.stream.send(&CallEvent::Heartbeat).is_err() {
                return self.cancelled();
            }
            match self.carry_out(step, connection) {
                Ok(next) => connection = next,
                Err(last) => return last,
            }
        }
    }

    /// What the end of the attempt says of the upstream; `None` if nothing.
    fn verdict(&self, last: &CallEvent) -> Option<bool> {
        match last {
            CallEvent::End { .. } => Some(true),
            CallEvent::Failed(err) if err.kind == ErrorKind::Cancelled => None,
            CallEvent::Failed(_) if self.tracker.blameless() => None,
            CallEvent::Refused(_) | CallEvent::Failed(_) => Some(false),
            _ => None,
        }
    }

    /// Carries out a step: the connection to read from, or the last event.
    fn carry_out(
        &self,
        step: StreamAction,
        connection: Connection,
    ) -> std::result::Result<Connection, CallEvent> {
        match step {
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
                self.meter(tokens);
                match self.stream.send(&delta) {
                    Ok(()) => Ok(connection),
                    Err(_) => Err(self.cancelled()),
                }
            }
            StreamAction::Resume(tokens) => {
                metrics::counter!("sapphirequay_stream_resumes_total").increment(1);
                log::info!("event=stream_resumed stream={} tokens={tokens}", self.id);
                drop(connection);
                Ok(self.cx.engine.resume(self.id, tokens))
            }
            StreamAction::Resend => Ok(self.cx.engine.start(self.id, &self.call.body)),
            StreamAction::End(finish, usage) => Err(end(finish, usage)),
            StreamAction::Truncate(usage) => {
                let _ = self.cx.engine.cancel(self.id);
                Err(end(FinishReason::Length, usage))
            }
            StreamAction::NotRun(err) => Err(CallEvent::Refused(err)),
            StreamAction::Fail(err) => {
                let _ = self.cx.engine.cancel(self.id);
                Err(CallEvent::Failed(err))
            }
        }
    }

    /// Stops the engine because nobody waits for the answer.
    fn cancelled(&self) -> CallEvent {
        let heard = self.cx.engine.cancel(self.id);
        log::info!(
            "event=attempt_cancelled stream={} engine_heard={heard}",
            self.id
        );
        CallEvent::Failed(Error::new(ErrorKind::Cancelled, "the entry has gone"))
    }
}

/// A connection to the upstream, or what it said instead.
type Connection = std::result::Result<EngineStream, UpstreamEvent>;

/// The event of a whole answer.
const fn end(finish: FinishReason, usage: Usage) -> CallEvent {
    CallEvent::End {
        finish,
        prompt: usage.prompt,
        cached: usage.cached,
        output: usage.output,
    }
}
