//! Admission gate of a sidecar: queues calls to its upstream and admits them
//! within a concurrency limit.

use {
    crate::process::Actor,
    indexmap::IndexMap,
    quay_policy::{
        AdaptiveLimit, Admission, AdmissionSettings, Observation, Ticket, TicketId, Verdict,
    },
    quay_types::{CallRequest, Error, Load, Time, UpstreamState},
    std::{sync::mpsc::SyncSender, time::Duration},
};

/// Divisor of the moving average of the time between tokens: the newest value
/// has a weight of 1/16.
const TOKEN_GAP_DIVISOR: u32 = 16;

/// Receives the admission decision for a call: its ticket id if it may run.
pub type Waiter = SyncSender<Result<TicketId, Error>>;

/// Messages to the admission gate.
pub enum GateMsg {
    /// Queues a call; the decision is sent when the call is admitted or refused.
    Admit(Ticket, Waiter),
    /// An admitted call has ended and frees its slot.
    Finish(TicketId),
    /// Time between two successive tokens of a stream from the upstream.
    TokenGap(Duration),
    /// An operator has set or cleared the drain mark of the upstream.
    Drain(bool),
    /// Asks for the load and state to announce.
    Load(SyncSender<(Load, UpstreamState)>),
}

/// Returns the admission ticket of a call.
pub fn ticket(now: Time, call: &CallRequest) -> Ticket {
    Ticket {
        program: call.program,
        account: call.account,
        attained: call.attained,
        depth: call.depth,
        prompt: call.prompt,
        deadline: now + Duration::from_millis(call.deadline_ms),
        ..Ticket::default()
    }
}

/// Admission queue of one upstream.
pub struct Gate {
    admission: Admission<AdaptiveLimit>,
    waiters: IndexMap<TicketId, Waiter>,
    last_ticket: u64,
    token_gap: Duration,
    drained: bool,
}

impl Gate {
    /// Creates a gate with an empty queue.
    pub fn new(cfg: AdmissionSettings) -> Self {
        Self {
            admission: Admission::new(cfg),
            waiters: IndexMap::new(),
            last_ticket: 0,
            token_gap: Duration::ZERO,
            drained: false,
        }
    }

    /// Queues a call under a new ticket id.
    fn enqueue(&mut self, now: Time, ticket: Ticket, waiter: Waiter) {
        self.last_ticket += 1;
        let id = TicketId(self.last_ticket);
        self.waiters.insert(id, waiter);
        self.admission.enqueue(now, Ticket { id, ..ticket });
    }

    /// Sends all pending admission decisions to the waiting calls.
    fn send_verdicts(&mut self, now: Time) {
        loop {
            let verdicts = self.admission.poll(now);
            if verdicts.is_empty() {
                return;
            }
            for verdict in verdicts {
                self.send_verdict(now, verdict);
            }
        }
    }

    fn send_verdict(&mut self, now: Time, verdict: Verdict) {
        let (id, answer) = match verdict {
            Verdict::Admit(id) => (id, Ok(id)),
            Verdict::Refuse(id, err) => (id, Err(err)),
        };
        let waiter = self.waiters.swap_remove(&id);
        let delivered = waiter.is_some_and(|waiter| waiter.send(answer).is_ok());
        // A call whose waiter has been dropped must not occupy a slot.
        if !delivered {
            self.admission.finish(now, id);
        }
    }

    /// Starts or stops draining. While draining, new calls and queued calls,
    /// which have not run, are refused; running calls continue.
    fn drain(&mut self, drained: bool) {
        self.drained = drained;
        if drained {
            self.admission.drain();
        } else {
            self.admission.undrain();
        }
    }

    /// Updates the moving average of the time between tokens.
    fn token_gap(&mut self, gap: Duration) {
        self.token_gap = if self.token_gap.is_zero() {
            gap
        } else {
            (self.token_gap * (TOKEN_GAP_DIVISOR - 1) + gap) / TOKEN_GAP_DIVISOR
        };
    }

    /// Load to announce.
    fn load(&self) -> Load {
        Load {
            queued: u32::try_from(self.admission.queued()).unwrap_or(u32::MAX),
            running: u32::try_from(self.admission.running()).unwrap_or(u32::MAX),
            token_gap_us: u32::try_from(self.token_gap.as_micros()).unwrap_or(u32::MAX),
            ..Load::default()
        }
    }

    fn state(&self) -> UpstreamState {
        if self.drained {
            UpstreamState::Draining
        } else {
            UpstreamState::Serving
        }
    }
}

impl Actor for Gate {
    type Msg = GateMsg;

    const TICK: Duration = Duration::from_millis(100);

    fn handle(&mut self, now: Time, msg: GateMsg) {
        match msg {
            GateMsg::Admit(ticket, waiter) => self.enqueue(now, ticket, waiter),
            GateMsg::Finish(id) => self.admission.finish(now, id),
            GateMsg::TokenGap(gap) => self.token_gap(gap),
            GateMsg::Drain(drained) => self.drain(drained),
            GateMsg::Load(reply) => drop(reply.send((self.load(), self.state()))),
        }
        self.send_verdicts(now);
    }

    fn tick(&mut self, now: Time) {
        let observation = Observation {
            token_gap: self.token_gap,
            kv_permille: 0,
        };
        self.admission.observe(now, observation);
        self.send_verdicts(now);
    }
}
