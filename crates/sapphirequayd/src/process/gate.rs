//! Admits calls to the upstream of a sidecar.

use {
    crate::process::Machine,
    quay_types::{Error, ErrorKind, Load, Time, UpstreamState},
    std::{collections::VecDeque, sync::mpsc::SyncSender, time::Duration},
};

/// Calls that may wait before the upstream.
const MAX_QUEUED: usize = 1_000;

/// What the gate is told.
pub enum GateMsg {
    /// A call asks for admission; the answer comes when it may run.
    Enter(SyncSender<Result<(), Error>>),
    /// An admitted call has ended.
    Leave,
    /// An operator's mark to leave was set, or taken away.
    Drain(bool),
    /// Asks for the load to announce.
    Load(SyncSender<(Load, UpstreamState)>),
}

/// The queue before one upstream.
pub struct Gate {
    queue: VecDeque<SyncSender<Result<(), Error>>>,
    running: u32,
    concurrency: u32,
    state: UpstreamState,
}

impl Gate {
    /// A gate that admits `concurrency` calls at a time.
    pub fn new(concurrency: u32) -> Self {
        Self {
            queue: VecDeque::new(),
            running: 0,
            concurrency,
            state: UpstreamState::Serving,
        }
    }

    /// Admits from the queue while there is room.
    fn admit(&mut self) {
        while self.running < self.concurrency {
            let Some(waiter) = self.queue.pop_front() else {
                return;
            };
            // A waiter that has gone away takes no place.
            if waiter.send(Ok(())).is_ok() {
                self.running += 1;
            }
        }
    }

    /// Queues a call, or refuses it if the upstream leaves or the queue is full.
    fn enter(&mut self, waiter: SyncSender<Result<(), Error>>) {
        let refusal = match self.state {
            UpstreamState::Draining => {
                Some(Error::new(ErrorKind::Draining, "the upstream is leaving"))
            }
            _ if self.queue.len() >= MAX_QUEUED => {
                Some(Error::new(ErrorKind::Overloaded, "the queue is full"))
            }
            _ => None,
        };
        match refusal {
            Some(err) => drop(waiter.send(Err(err))),
            None => self.queue.push_back(waiter),
        }
    }

    /// Takes no new work, or takes it again. What waits has not run, and is
    /// refused; what runs goes on.
    fn drain(&mut self, drained: bool) {
        if !drained {
            self.state = UpstreamState::Serving;
            return;
        }
        self.state = UpstreamState::Draining;
        for waiter in std::mem::take(&mut self.queue) {
            let err = Error::new(ErrorKind::Draining, "the upstream is leaving");
            let _ = waiter.send(Err(err));
        }
    }

    /// The load as it is announced.
    fn load(&self) -> Load {
        Load {
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            running: self.running,
            ..Load::default()
        }
    }
}

impl Machine for Gate {
    type Msg = GateMsg;

    const TICK: Duration = Duration::from_millis(100);

    fn handle(&mut self, _: Time, msg: GateMsg) {
        match msg {
            GateMsg::Enter(waiter) => self.enter(waiter),
            GateMsg::Leave => self.running = self.running.saturating_sub(1),
            GateMsg::Drain(drained) => self.drain(drained),
            GateMsg::Load(reply) => drop(reply.send((self.load(), self.state))),
        }
        self.admit();
    }

    fn tick(&mut self, _: Time) {
        self.admit();
    }
}
