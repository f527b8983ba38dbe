//! Life of one attempt on a sidecar: admission, the upstream, its events.

use {
    crate::{
        connection::{EngineClient, EngineStream, StreamId},
        process::{Clock, GateMsg, Lifecycle, Mailbox, SharedHealth},
        request::{Input, Step, Transcript, TranscriptSettings, Usage},
    },
    quay_link::LinkStream,
    quay_types::{CallEvent, CallRequest, Error, ErrorKind, FinishReason, Incarnation, Result},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{self, RecvTimeoutError},
        },
        time::{Duration, Instant},
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
pub fn serve_attempt(cx: &Attempts, stream: &LinkStream, call: &CallRequest) {
    let Some(_progress) = cx.lifecycle.begin() else {
        let err = Error::new(ErrorKind::Draining, "the sidecar is leaving");
        let _ = stream.send(&CallEvent::Refused(err));
        return;
    };
    let queued = Instant::now();
    let last = match admit(cx, stream, call) {
        Ok(()) => {
            metrics::histogram!("sapphirequay_queue_seconds").record(queued.elapsed());
            let mut run = Run::new(cx, stream, call);
            let last = run.run();
            cx.gate.send(GateMsg::Leave);
            if let Some(good) = run.verdict(&last) {
                cx.health.outcome(good);
            }
            last
        }
        Err(err) => CallEvent::Refused(err),
    };
    report(&last);
    let _ = stream.send(&last);
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

// ----------------------------------------------------------------------------
// An admitted attempt

/// An admitted attempt.
struct Run<'a> {
    cx: &'a Attempts,
    stream: &'a LinkStream,
    call: &'a CallRequest,
    id: StreamId,
    transcript: Transcript,
}

impl<'a> Run<'a> {
    fn new(cx: &'a Attempts, stream: &'a LinkStream, call: &'a CallRequest) -> Self {
        let now = cx.clock.now();
        let settings = TranscriptSettings {
            idempotent: call.idempotent,
            max_output: call.max_output,
            prompt: call.prompt,
            deadline: now + Duration::from_millis(call.deadline_ms),
            ..TranscriptSettings::default()
        };
        Self {
            cx,
            stream,
            call,
            id: StreamId {
                incarnation: cx.incarnation.0,
                attempt: cx.numbers.fetch_add(1, Ordering::Relaxed),
            },
            transcript: Transcript::new(settings, now),
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
                    (input == Input::Silent, input)
                }
                Err(input) => (*input == Input::Silent, input.clone()),
            };
            let step = self.transcript.take(self.cx.clock.now(), input);
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
            CallEvent::Failed(_) if self.transcript.blameless() => None,
            CallEvent::Refused(_) | CallEvent::Failed(_) => Some(false),
            _ => None,
        }
    }

    /// Carries out a step: the connection to read from, or the last event.
    fn carry_out(
        &self,
        step: Step,
        connection: Connection,
    ) -> std::result::Result<Connection, CallEvent> {
        match step {
            Step::Read => Ok(connection),
            Step::Pass {
                offset,
                tokens,
                text,
            } => {
                let delta = CallEvent::Delta {
                    offset,
                    tokens,
                    text,
                };
                match self.stream.send(&delta) {
                    Ok(()) => Ok(connection),
                    Err(_) => Err(self.cancelled()),
                }
            }
            Step::Resume(tokens) => {
                metrics::counter!("sapphirequay_stream_resumes_total").increment(1);
                log::info!("event=stream_resumed stream={} tokens={tokens}", self.id);
                drop(connection);
                Ok(self.cx.engine.resume(self.id, tokens))
            }
            Step::Repeat => Ok(self.cx.engine.start(self.id, &self.call.body)),
            Step::End(finish, usage) => Err(end(finish, usage)),
            Step::Cut(usage) => {
                let _ = self.cx.engine.cancel(self.id);
                Err(end(FinishReason::Length, usage))
            }
            Step::NotRun(err) => Err(CallEvent::Refused(err)),
            Step::Fail(err) => {
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
type Connection = std::result::Result<EngineStream, Input>;

/// The event of a whole answer.
const fn end(finish: FinishReason, usage: Usage) -> CallEvent {
    CallEvent::End {
        finish,
        prompt: usage.prompt,
        cached: usage.cached,
        output: usage.output,
    }
}
