//! Runs a decision machine as an actor on a thread of its own.

use {
    crate::process::Clock,
    quay_types::Time,
    stakker::{CX, Stakker, actor, after, call, ret_nop},
    std::{
        fmt, io,
        sync::mpsc::{self, RecvTimeoutError},
        thread,
        time::{Duration, Instant},
    },
};

/// A machine that decides: messages and time go in, answers leave through
/// channels that the messages carry. It must not block.
pub trait Actor: Send + 'static {
    /// What the machine is told.
    type Msg: Send + 'static;

    /// Interval between ticks.
    const TICK: Duration;

    /// Takes one message.
    fn handle(&mut self, now: Time, msg: Self::Msg);

    /// Does what is due.
    fn tick(&mut self, now: Time);

    /// Finishes a burst of messages, or a tick.
    fn after_batch(&mut self, _now: Time) {}
}

/// Sends messages to a machine; clones reach the same machine.
pub struct Mailbox<M>(mpsc::Sender<M>);

impl<M> fmt::Debug for Mailbox<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Mailbox")
    }
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<M> Mailbox<M> {
    /// Sends a message. A machine that has stopped drops it.
    pub fn send(&self, msg: M) {
        let _ = self.0.send(msg);
    }

    /// Sends a message that carries an answer channel and waits for the answer.
    ///
    /// `None` if the machine has stopped.
    pub fn ask<T>(&self, msg: impl FnOnce(mpsc::SyncSender<T>) -> M) -> Option<T> {
        let (tx, rx) = mpsc::sync_channel(1);
        self.send(msg(tx));
        rx.recv().ok()
    }
}

/// The actor around a machine.
struct Shell<A> {
    machine: A,
    clock: Clock,
}

impl<A: Actor> Shell<A> {
    #[allow(clippy::unnecessary_wraps)] // `actor!` expects an option.
    fn init(cx: CX![], machine: A, clock: Clock) -> Option<Self> {
        after!(A::TICK, [cx], tick());
        Some(Self { machine, clock })
    }

    fn handle(&mut self, _: CX![], msg: A::Msg) {
        self.machine.handle(self.clock.now(), msg);
    }

    fn after_batch(&mut self, _: CX![]) {
        self.machine.after_batch(self.clock.now());
    }

    fn tick(&mut self, cx: CX![]) {
        self.machine.tick(self.clock.now());
        self.machine.after_batch(self.clock.now());
        after!(A::TICK, [cx], tick());
    }
}

/// Starts a machine on a new thread, which ends when its last mailbox is dropped.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn spawn<A: Actor>(name: &str, clock: Clock, machine: A) -> io::Result<Mailbox<A::Msg>> {
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name(name.into())
        .spawn(move || run(clock, machine, &rx))?;
    Ok(Mailbox(tx))
}

/// Turns the actor system until the mailbox closes.
fn run<A: Actor>(clock: Clock, machine: A, inbox: &mpsc::Receiver<A::Msg>) {
    let mut stakker = Stakker::new(Instant::now());
    let shell = actor!(stakker, <Shell<A>>::init(machine, clock), ret_nop!());
    loop {
        stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), A::TICK, false);
        match inbox.recv_timeout(wait) {
            Ok(msg) => {
                call!([shell], handle(msg));
                // A burst is handled in one turn of the actor system.
                while let Ok(msg) = inbox.try_recv() {
                    call!([shell], handle(msg));
                }
                call!([shell], after_batch());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
