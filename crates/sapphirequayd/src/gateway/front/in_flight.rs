//! Request in flight at an upstream.

use {
    super::{
        connections::Lease, history::ForwardedBody, host::FrontHost, upstreams::SelectedUpstream,
    },
    http::HeaderMap,
    quay_policy::RunEnd,
    quay_routes::Dialect,
    quay_types::{RequestContent, Time},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Silence of an upstream before an abandoned request ends that counts as the
/// upstream's failure; callers abandon a stream after 2 s of silence.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Request in flight at an upstream; dropping it records the end of the
/// request.
pub struct InFlight<D: Dialect> {
    front: FrontHost<D>,
    upstream: SelectedUpstream,
    /// Content of the request.
    content: RequestContent,
    /// `None` before the response and once the connection is back in the pool.
    lease: Option<Lease>,
    /// Whether the upstream may have received the request and its end is not
    /// recorded.
    running: Cell<bool>,
    /// Whether the upstream may have received the request.
    offered: bool,
    started: Time,
    /// Time at which the connection was set up on which the response began; until then
    /// the start of the attempt.
    connected: Time,
    /// Time of the last data from the upstream, initially the start of the
    /// attempt.
    last_activity: Cell<Time>,
    /// Whether the upstream's performance is recorded.
    recorded: Cell<bool>,
    /// Whether the body of the request waits for the stores.
    waits_for_stores: Rc<Cell<bool>>,
}

impl<D: Dialect> InFlight<D> {
    /// Creates an attempt that begins now.
    pub fn new(front: &FrontHost<D>, upstream: SelectedUpstream, content: RequestContent) -> Self {
        let now = front.now();
        Self {
            front: front.clone(),
            upstream,
            content,
            lease: None,
            running: Cell::default(),
            offered: false,
            started: now,
            connected: now,
            last_activity: Cell::new(now),
            recorded: Cell::default(),
            waits_for_stores: Rc::default(),
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub fn return_connection(&mut self, headers: &HeaderMap) {
        if let Some(lease) = self.lease.take() {
            self.front.connections().give_back(lease, headers);
        }
    }

    /// The upstream.
    pub const fn upstream(&self) -> &SelectedUpstream {
        &self.upstream
    }

    /// Time at which the attempt started.
    pub const fn started(&self) -> Time {
        self.started
    }

    /// Time at which the connection of the response was set up.
    pub const fn connected(&self) -> Time {
        self.connected
    }

    /// Whether the upstream may have received the request.
    pub const fn offered(&self) -> bool {
        self.offered
    }

    /// Time since the start of the attempt.
    pub fn elapsed(&self) -> Duration {
        self.front.now().since(self.started)
    }

    /// Sets the body that is sent.
    pub fn set_body(&mut self, body: &ForwardedBody) {
        self.waits_for_stores = body.waits_for_stores();
    }

    /// Whether the upstream got only a part of the request, since the stores did not send
    /// the rest.
    pub fn waits_for_stores(&self) -> bool {
        self.waits_for_stores.get()
    }

    /// Records that data came from the upstream.
    pub fn record_activity(&self) {
        let now = self.front.now();
        self.last_activity.set(now);
        let mut upstreams = self.front.upstreams();
        upstreams.crashes().hear(now, self.upstream.run());
    }

    /// Records that the request is being sent.
    pub fn begin_run(&mut self) {
        self.offered = true;
        self.running.set(true);
        self.front.begin_run(&self.upstream, self.content.own);
    }

    /// Records that the request was not sent after all.
    pub fn cancel_run(&mut self) {
        self.offered = false;
        self.end_run(RunEnd::Answered);
    }

    /// Records that the response began on a connection, which is held until the
    /// response is complete.
    pub fn begin_response(&mut self, lease: Lease) {
        self.connected = lease.connected();
        self.lease = Some(lease);
        self.record_activity();
        let mut upstreams = self.front.upstreams();
        let run = self.upstream.run();
        upstreams
            .crashes()
            .record_answer(run, self.connected, self.started);
    }

    /// Records how the run ended; later calls have no effect.
    pub fn end_run(&self, end: RunEnd) {
        if self.running.replace(false) {
            self.front.end_run(&self.upstream, self.content, end);
        }
    }

    /// Records a success; `duration` is the time per unit of work.
    pub fn record_success(&self, duration: Duration) {
        self.recorded.set(true);
        let now = self.front.now();
        self.front
            .upstreams()
            .record_success(now, self.upstream.id, duration);
    }

    /// Records a success with too little data to measure the upstream's speed.
    pub fn record_untimed_success(&self) {
        self.recorded.set(true);
    }

    /// Records an abandoned request, as a failure if the upstream was silent
    /// for `SILENCE_LIMIT`.
    pub fn record_abandoned(&self) {
        self.recorded.set(true);
        if self.front.now().since(self.last_activity.get()) >= SILENCE_LIMIT {
            self.record_failure();
        }
    }

    /// Records that the upstream failed the request.
    pub fn record_failure(&self) {
        self.recorded.set(true);
        let now = self.front.now();
        self.front.upstreams().record_failure(now, self.upstream.id);
    }
}

impl<D: Dialect> Drop for InFlight<D> {
    fn drop(&mut self) {
        let now = self.front.now();
        if !self.recorded.get() && self.offered {
            self.record_abandoned();
        }
        self.end_run(RunEnd::Abandoned);
        let mut upstreams = self.front.upstreams();
        upstreams.record_end(now, self.upstream.id);
    }
}
