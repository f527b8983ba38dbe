//! Passes a stream of events on as it comes.

use {
    super::{
        call::Sent,
        events::EventReader,
        host::FrontHost,
        reservation::Reservation,
        upstream_outcome::{StreamEnd, UPSTREAM_DISCONNECTED, UpstreamOutcome, upstream_outcome},
    },
    crate::gateway::{
        http_server::{Body, BrokenOff},
        meters::{self, Stage},
    },
    bytes::Bytes,
    http::response,
    http_body_util::BodyExt as _,
    hyper::body::{Body as HttpBody, Frame, Incoming},
    quay_routes::Dialect,
    quay_turns::{Record, TurnRecord},
    quay_types::{Time, TurnId},
    std::{
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Frames that wait for a caller who reads slowly.
const WINDOW_FRAMES: usize = 16;

/// Frames for a caller.
type Frames = mpsc::Sender<Result<Frame<Bytes>, BrokenOff>>;

/// Body that is filled while the upstream works.
#[derive(Debug)]
struct Passed(mpsc::Receiver<Result<Frame<Bytes>, BrokenOff>>);

impl HttpBody for Passed {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        self.0.poll_recv(cx)
    }
}

/// A turn that is kept once it is whole.
#[derive(Debug)]
pub struct Keeping {
    /// The turn.
    pub id: TurnId,
    /// The turn that it continues from.
    pub prior: Option<TurnId>,
    /// How long it is kept.
    pub keep: Duration,
    /// What was said before.
    pub before: Bytes,
    /// Its new input.
    pub input: Bytes,
}

/// A stream that is passed on.
pub struct Passing<D: Dialect> {
    /// The front.
    pub front: FrontHost<D>,
    /// The request at its upstream.
    pub sent: Sent<D>,
    /// Number that the caller gave the request.
    pub id: Box<str>,
    /// What is kept of it, if anything.
    pub keeping: Option<Keeping>,
    /// What it costs the program.
    pub reservation: Option<Reservation>,
    /// Tokens that an event stands for.
    pub event_tokens: u64,
    /// When the request is given up.
    pub ends: Time,
    /// Milliseconds from the request's arrival until it was sent.
    pub wait_ms: u128,
    /// Milliseconds from then until the upstream's first answer.
    pub first_ms: u128,
}

impl<D: Dialect> Passing<D> {
    /// Starts to pass the stream on; the answer's body is filled from now on.
    pub fn start(self, head: &response::Parts, body: Incoming) -> Body {
        let (tx, rx) = mpsc::channel(WINDOW_FRAMES);
        let headers = head.headers.clone();
        tokio::task::spawn_local(async move { self.pass(headers, body, tx).await });
        Passed(rx).boxed_unsync()
    }

    async fn pass(mut self, headers: http::HeaderMap, mut body: Incoming, frames: Frames) {
        let mut reader = EventReader::new(self.keeping.is_some());
        let end = self.pass_frames(&mut body, &mut reader, &frames).await;
        let events = reader.events();
        let read = self.sent.elapsed();
        let read_ms = read.as_millis();
        self.rate_upstream(end, &reader);
        let end = match end {
            StreamEnd::Whole if reader.mid_event() => StreamEnd::Broken("upstream_ended_mid_event"),
            StreamEnd::Whole => self.keep(reader).await,
            end => end,
        };
        match end {
            StreamEnd::Whole => self.sent.whole(&headers),
            StreamEnd::CallerGone => {}
            StreamEnd::Broken(why) => drop(frames.send(Err(BrokenOff(why))).await),
        }
        let kept = self.sent.elapsed().saturating_sub(read);
        let keep_ms = kept.as_millis();
        meters::record_stage(Stage::Stream, read);
        meters::record_stage(Stage::Keep, kept);
        log::info!(
            "event=stream_ended id={} upstream={} events={events} wait_ms={} first_ms={} read_ms={read_ms} keep_ms={keep_ms} end={end:?}",
            self.id,
            self.sent.upstream_name(),
            self.wait_ms,
            self.first_ms,
        );
    }

    /// Notes how the upstream did its work.
    fn rate_upstream(&self, end: StreamEnd, reader: &EventReader) {
        let events = reader.events();
        match upstream_outcome(end, events, reader.mid_event()) {
            UpstreamOutcome::Succeeded => {
                let events = u32::try_from(events).unwrap_or(u32::MAX);
                self.sent.served(self.sent.elapsed() / events);
            }
            UpstreamOutcome::SucceededUntimed => self.sent.done(),
            UpstreamOutcome::Failed => self.sent.failed(),
            UpstreamOutcome::Abandoned => self.sent.given_up(),
        }
    }

    /// Passes frames on until one side ends.
    async fn pass_frames(
        &self,
        body: &mut Incoming,
        reader: &mut EventReader,
        frames: &Frames,
    ) -> StreamEnd {
        let left = self.ends.since(self.front.now());
        let ends = sleep(left);
        tokio::pin!(ends);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = frames.closed() => return StreamEnd::CallerGone,
                () = &mut ends => return StreamEnd::Broken("time_over"),
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
            self.sent.heard();
            reader.feed(&data);
            if let Some(reservation) = &self.reservation {
                // What has begun to pass counts as handed out.
                let events = reader.events() + u64::from(reader.mid_event());
                reservation.used(events * self.event_tokens);
            }
            tokio::select! {
                sent = frames.send(Ok(Frame::data(data))) => {
                    if sent.is_err() {
                        return StreamEnd::CallerGone;
                    }
                }
                () = &mut ends => return StreamEnd::Broken("time_over"),
            }
        }
    }

    /// Makes the turn durable before the caller sees its end.
    async fn keep(&mut self, reader: EventReader) -> StreamEnd {
        let Some(keeping) = self.keeping.take() else {
            return StreamEnd::Whole;
        };
        let output = reader.into_data();
        let record = TurnRecord {
            id: keeping.id,
            prior: keeping.prior,
            retention_s: u32::try_from(keeping.keep.as_secs()).unwrap_or(u32::MAX),
            input: keeping.input[..].into(),
            output: output.clone().into(),
        };
        let left = self.ends.since(self.front.now());
        let writing = self.front.stores().write(Record::Turn(record), left);
        if timeout(left, writing).await != Ok(true) {
            return StreamEnd::Broken("turn_not_kept");
        }
        let mut whole =
            Vec::with_capacity(keeping.before.len() + keeping.input.len() + output.len());
        whole.extend_from_slice(&keeping.before);
        whole.extend_from_slice(&keeping.input);
        whole.extend_from_slice(&output);
        self.front.put_chain(keeping.id, Bytes::from(whole));
        StreamEnd::Whole
    }
}
