//! Admits calls to the upstream of a sidecar.

use {
    crate::process::Actor,
    indexmap::IndexMap,
    quay_policy::{
        AdaptiveLimit, Admission, AdmissionSettings, Observation, Ticket, TicketId, Verdict,
    },
    quay_types::{CallRequest, Error, Load, Time, UpstreamState},
    std::{sync::mpsc::SyncSender, time::Duration},
};

/// Weight of the newest time between tokens in the mean, as a divisor.
const GAP_MEAN: u32 = 16;

/// Takes the verdict on a call: its ticket if it may run.
pub type Waiter = SyncSender<Result<TicketId, Error>>;

/// What the gate is told.
pub enum GateMsg {
    /// A call asks for admission; the answer comes when it may run.
    Admit(Ticket, Waiter),
    /// An admitted call has ended.
    Finish(TicketId),
    /// Tokens came from the upstream this far apart.
    TokenGap(Duration),
    /// An operator's mark to leave was set, or taken away.
    Drain(bool),
    /// Asks for the load to announce.
    Load(SyncSender<(Load, UpstreamState)>),
}

/// What admission needs to know of a call.
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

/// The queue before one upstream.
pub struct Gate {
    admission: Admission<AdaptiveLimit>,
    waiters: IndexMap<TicketId, Waiter>,
    last_ticket: u64,
    token_gap: Duration,
    drained: bool,
}

impl Gate {
    /// An empty queue.
    pub fn new(cfg: AdmissionSettings) -> Self {
        Self {
            admission: Admission::new(cfg),
            waiters: IndexMap::new(),
            last_ticket: 0,
            token_gap: Duration::ZERO,
            drained: false,
        }
    }

    /// Queues a call under a ticket of its own.
    fn enter(&mut self, now: Time, ticket: Ticket, waiter: Waiter) {
        self.last_ticket += 1;
        let id = TicketId(self.last_ticket);
        self.waiters.insert(id, waiter);
        self.admission.enqueue(now, Ticket { id, ..ticket });
    }

    /// Tells the callers of `poll` what was decided.
    fn answer(&mut self, now: Time) {
        loop {
            let verdicts = self.admission.poll(now);
            if verdicts.is_empty() {
                return;
            }
            for verdict in verdicts {
                self.tell(now, verdict);
            }
        }
    }

    fn tell(&mut self, now: Time, verdict: Verdict) {
        let (id, answer) = match verdict {
            Verdict::Admit(id) => (id, Ok(id)),
            Verdict::Refuse(id, err) => (id, Err(err)),
        };
        let waiter = self.waiters.swap_remove(&id);
        let heard = waiter.is_some_and(|waiter| waiter.send(answer).is_ok());
        // A waiter that has gone away takes no place.
        if !heard {
            self.admission.finish(now, id);
        }
    }

    /// Takes no new work, or takes it again. What waits has not run, and is
    /// refused; what runs goes on.
    fn drain(&mut self, drained: bool) {
        self.drained = drained;
        if drained {
            self.admission.drain();
        } else {
            self.admission.undrain();
        }
    }

    /// Takes the time between tokens of one stream into the mean.
    fn token_gap(&mut self, gap: Duration) {
        self.token_gap = if self.token_gap.is_zero() {
            gap
        } else {
            (self.token_gap * (GAP_MEAN - 1) + gap) / GAP_MEAN
        };
    }

    /// The load as it is announced.
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
            GateMsg::Admit(ticket, waiter) => self.enter(now, ticket, waiter),
            GateMsg::Finish(id) => self.admission.finish(now, id),
            GateMsg::TokenGap(gap) => self.token_gap(gap),
            GateMsg::Drain(drained) => self.drain(drained),
            GateMsg::Load(reply) => drop(reply.send((self.load(), self.state()))),
        }
        self.answer(now);
    }

    fn tick(&mut self, now: Time) {
        let seen = Observation {
            token_gap: self.token_gap,
            kv_permille: 0,
        };
        self.admission.observe(now, seen);
        self.answer(now);
    }
}
