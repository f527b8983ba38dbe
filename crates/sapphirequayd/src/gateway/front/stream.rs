//! Relays event streams from upstreams to callers.

use {
    super::{
        body_reader::is_framed,
        buffer_space::BufferShare,
        events::EventReader,
        host::FrontHost,
        in_flight::InFlight,
        owned_turn::OwnedTurn,
        reservation::Reservation,
        upstream_outcome::{StreamEnd, UPSTREAM_DISCONNECTED, UpstreamOutcome, upstream_outcome},
    },
    crate::{
        connection::LimitedBody,
        gateway::{
            http_server::{Body, BodyAborted, ChannelBody},
            meters::{self, Stage},
            request_body::RequestBody,
        },
    },
    bytes::Bytes,
    http::response,
    http_body_util::BodyExt as _,
    hyper::body::Frame,
    quay_policy::{MemoryHolder, RunEnd},
    quay_routes::Dialect,
    quay_turns::{Record, TurnRecord},
    quay_types::{ProgramTag, Time, TurnId},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Notify, mpsc, oneshot},
        time::{sleep, timeout},
    },
};

/// Number of frames buffered for a caller that reads slowly, without a memory budget.
const MAX_BUFFERED_FRAMES: usize = 16;

/// The same with a budget, which bounds the bytes.
const MAX_BUDGETED_FRAMES: usize = 1_024;

/// Bytes that an upstream may send without completing an event with data.
const MAX_EVENT_BYTES: u64 = 16 << 20;

/// Time after which a paused stream looks again whether memory is still short.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Reason of [`StreamEnd::Broken`] if the front shuts down.
const FRONT_ENDS: &str = "front_ends";

/// Longest time for which the first event waits until the stream's origin is recorded.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(100);

/// Sender of the frames of a response body.
type FrameSender = mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>;

/// Turn that is stored once its stream is complete. Only for a stream that this front relays
/// from its first event: what is stored is what the caller has.
#[derive(Debug)]
pub struct PendingTurn {
    /// Identifier of the turn.
    pub id: TurnId,
    /// Record of the turn's owner and its id, if the turn's id does not tell it.
    pub owner_record: Option<(TurnId, OwnedTurn)>,
    /// Program whose store group stores the turn.
    pub placement: ProgramTag,
    /// Turn that this turn continues.
    pub prior: Option<TurnId>,
    /// Time for which the turn is stored.
    pub retention: Duration,
    /// Conversation before the turn, unless it is too large for the cache.
    pub history: Option<Bytes>,
    /// Input that the turn adds.
    pub input: RequestBody,
}

/// Stream of a request that is relayed to the caller.
pub struct StreamRelay<D: Dialect> {
    /// Front that serves the request.
    pub front: FrontHost<D>,
    /// Request in flight at its upstream.
    pub in_flight: InFlight<D>,
    /// Request id from the caller.
    pub id: Box<str>,
    /// Turn to store, if any.
    pub pending_turn: Option<PendingTurn>,
    /// Reservation of the program's budget, if any.
    pub reservation: Option<Reservation>,
    /// Number of tokens that an event counts as.
    pub event_tokens: u64,
    /// Caller for which the stream's memory is held.
    pub holder: Option<MemoryHolder>,
    /// End of the recording of the stream's origin, if the first event waits for it.
    pub recorded: Option<oneshot::Receiver<()>>,
    /// Time at which the stream is aborted.
    pub ends: Time,
    /// Time at which the request arrived.
    pub arrived: Time,
    /// Milliseconds from the request's arrival until it was sent.
    pub wait_ms: u128,
    /// Milliseconds from then until the head of the upstream's response.
    pub first_ms: u128,
}

impl<D: Dialect> StreamRelay<D> {
    /// Starts the relay task and returns the response body that it fills.
    pub fn start(self, head: &response::Parts, body: LimitedBody) -> Body {
        let max_frames = if self.front.memory().is_limited() {
            MAX_BUDGETED_FRAMES
        } else {
            MAX_BUFFERED_FRAMES
        };
        let (tx, rx) = mpsc::channel(max_frames);
        let headers = head.headers.clone();
        tokio::task::spawn_local(async move { self.relay(headers, body, tx).await });
        ChannelBody::new(rx).boxed_unsync()
    }

    /// Relays the stream, stores its turn and logs its end.
    async fn relay(mut self, headers: http::HeaderMap, mut body: LimitedBody, frames: FrameSender) {
        let mut reader = EventReader::new(self.pending_turn.is_some());
        // Held until the turn is stored.
        let mut share = self.front.buffers().share_for(self.holder);
        if let Some(recorded) = self.recorded.take() {
            let _ = timeout(MAX_RECORD_WAIT, recorded).await;
        }
        let end = self
            .relay_frames(&mut body, &mut reader, &mut share, &frames)
            .await;
        let events = reader.events();
        let read = self.in_flight.elapsed();
        let read_ms = read.as_millis();
        self.rate_upstream(end, &reader, is_framed(&headers));
        let end = match end {
            StreamEnd::Whole if reader.mid_event() => StreamEnd::Broken("upstream_ended_mid_event"),
            StreamEnd::Whole => {
                let front = self.front.clone();
                tokio::select! {
                    biased;
                    end = self.store_turn(reader, &mut share) => end,
                    () = front.shutdown().ended() => StreamEnd::Broken(FRONT_ENDS),
                }
            }
            end => end,
        };
        if end == StreamEnd::Whole {
            self.in_flight.return_connection(&headers);
        }
        if end == StreamEnd::Broken(FRONT_ENDS) {
            self.front.shutdown().log_cut(&self.id, self.arrived);
        }
        let storing = self.in_flight.elapsed().saturating_sub(read);
        let keep_ms = storing.as_millis();
        meters::record_stage(Stage::Stream, read);
        meters::record_stage(Stage::Persist, storing);
        log::info!(
            "event=stream_ended id={} upstream={} run={} events={events} wait_ms={} first_ms={} read_ms={read_ms} keep_ms={keep_ms} end={end:?}",
            self.id,
            self.in_flight.upstream().name,
            self.in_flight.upstream().incarnation,
            self.wait_ms,
            self.first_ms,
        );
        // A caller that reads nothing holds nothing of the upstream and the budget.
        drop((body, share, self));
        if let StreamEnd::Broken(why) | StreamEnd::Flooded(why) = end {
            let _ = frames.send(Err(BodyAborted(why))).await;
        }
    }

    /// Records how the upstream performed, and how the run ended.
    fn rate_upstream(&self, end: StreamEnd, reader: &EventReader, framed: bool) {
        let events = reader.events();
        match upstream_outcome(end, events, reader.mid_event()) {
            UpstreamOutcome::Succeeded => {
                let events = u32::try_from(events).unwrap_or(u32::MAX);
                self.in_flight
                    .record_success(self.in_flight.elapsed() / events);
                self.in_flight.end_run(RunEnd::of_response(true, framed));
            }
            UpstreamOutcome::SucceededUntimed => {
                self.in_flight.record_untimed_success();
                self.in_flight.end_run(RunEnd::of_response(true, framed));
            }
            UpstreamOutcome::Failed => {
                self.in_flight.record_failure();
                self.in_flight.end_run(RunEnd::Lost);
            }
            UpstreamOutcome::Flooded => {
                self.in_flight.record_failure();
                self.in_flight.end_run(RunEnd::Abandoned);
            }
            UpstreamOutcome::Abandoned => {
                self.in_flight.record_abandoned();
                self.in_flight.end_run(RunEnd::Abandoned);
            }
        }
    }

    /// Relays frames until either side ends or the deadline passes.
    async fn relay_frames(
        &self,
        body: &mut LimitedBody,
        reader: &mut EventReader,
        share: &mut BufferShare,
        frames: &FrameSender,
    ) -> StreamEnd {
        let left = self.ends.since(self.front.now());
        let ends = sleep(left);
        let shutdown = self.front.shutdown().ended();
        tokio::pin!(ends, shutdown);
        let taken = Arc::new(Notify::new());
        loop {
            // A stream whose caller reads slowly is not read on from its upstream.
            while !self.front.memory().host().may_read_on(self.holder) {
                tokio::select! {
                    () = taken.notified() => {}
                    () = sleep(PAUSE_CHECK_INTERVAL) => {}
                    () = frames.closed() => return StreamEnd::CallerGone,
                    () = &mut ends => return StreamEnd::Broken("time_over"),
                    () = &mut shutdown => return StreamEnd::Broken(FRONT_ENDS),
                }
            }
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = frames.closed() => return StreamEnd::CallerGone,
                () = &mut ends => return StreamEnd::Broken("time_over"),
                () = &mut shutdown => return StreamEnd::Broken(FRONT_ENDS),
            };
            let data = match frame {
                None => return StreamEnd::Whole,
                Some(Err(err)) => {
                    log::info!("event=stream_broken id={} cause=\"{err}\"", self.id);
                    return StreamEnd::Broken(UPSTREAM_DISCONNECTED);
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            self.in_flight.record_activity();
            reader.feed(&data);
            if reader.unfinished_bytes() > MAX_EVENT_BYTES {
                return StreamEnd::Flooded("no_event");
            }
            if !share.resize(reader.held_bytes()) {
                return StreamEnd::Broken("response_too_large");
            }
            if let Some(reservation) = &self.reservation {
                // An incomplete event counts as sent.
                let events = reader.events() + u64::from(reader.mid_event());
                let tokens = events * self.event_tokens;
                // The last event may hold fewer tokens than it counts as.
                if reservation.is_exceeded_by(tokens, self.event_tokens) {
                    return StreamEnd::Flooded("too_many_tokens");
                }
                reservation.set_used(tokens);
            }
            let memory = self.front.memory().host();
            let data = memory.hold_frame(self.holder, data, &taken);
            tokio::select! {
                sent = frames.send(Ok(Frame::data(data))) => {
                    if sent.is_err() {
                        return StreamEnd::CallerGone;
                    }
                }
                () = &mut ends => return StreamEnd::Broken("time_over"),
                () = &mut shutdown => return StreamEnd::Broken(FRONT_ENDS),
            }
        }
    }

    /// Stores the turn durably, and settles its charge, before the caller sees the
    /// end of the stream.
    async fn store_turn(&mut self, reader: EventReader, share: &mut BufferShare) -> StreamEnd {
        let Some(pending_turn) = self.pending_turn.take() else {
            return StreamEnd::Whole;
        };
        // Of the turn nothing is copied: it counts in the budget as the caller's input and
        // the stream's data until no request to a store holds it.
        let output = share.hold(reader.into_data().into());
        let input: Vec<Bytes> = pending_turn.input.segments().cloned().collect();
        let record = TurnRecord {
            id: pending_turn.id,
            prior: pending_turn.prior,
            retention_s: u32::try_from(pending_turn.retention.as_secs()).unwrap_or(u32::MAX),
            input: Bytes::new(),
            output: output.clone(),
        };
        let left = self.ends.since(self.front.now());
        let owner = pending_turn.owner_record.as_ref();
        let owner = owner.and_then(|(id, owned)| owned.record(*id, record.retention_s));
        let mut others: Vec<Record> = owner.into_iter().map(Record::Turn).collect();
        others.extend(self.reservation.iter().flat_map(Reservation::settlement));
        let written = self
            .front
            .stores()
            .write_turn(pending_turn.placement, (&record, &input), &others, left)
            .await;
        if !written {
            return StreamEnd::Broken("turn_not_kept");
        }
        if let Some(reservation) = &mut self.reservation {
            reservation.mark_settled();
        }
        if let Some(history) = &pending_turn.history {
            let mut parts: Vec<&[u8]> = vec![history];
            parts.extend(input.iter().map(|it| &**it));
            parts.push(&output);
            self.front
                .cache_if_room(pending_turn.placement, pending_turn.id, &parts);
        }
        StreamEnd::Whole
    }
}
