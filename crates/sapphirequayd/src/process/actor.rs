//! Actors: state owned by a dedicated thread and driven by messages and ticks.

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

/// State driven by messages and ticks. Replies are sent through the channels
/// that the messages carry. No method may block, since all messages to an actor
/// are handled by one thread.
pub trait Actor: Send + 'static {
    /// Messages that the actor handles.
    type Msg: Send + 'static;

    /// Interval between ticks.
    const TICK: Duration;

    /// Handles one message.
    fn handle(&mut self, now: Time, msg: Self::Msg);

    /// Performs the work that is due at `now`; called every [`Actor::TICK`].
    fn tick(&mut self, now: Time);

    /// Called after each batch of messages and after each tick.
    fn after_batch(&mut self, _now: Time) {}
}

/// Sends messages to an actor; clones reach the same actor.
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
    /// Sends a message. The message is dropped if the actor has stopped.
    pub fn send(&self, msg: M) {
        let _ = self.0.send(msg);
    }

    /// Sends a message that carries a reply channel and waits for the reply.
    ///
    /// Returns `None` if the actor has stopped.
    pub fn ask<T>(&self, msg: impl FnOnce(mpsc::SyncSender<T>) -> M) -> Option<T> {
        let (tx, rx) = mpsc::sync_channel(1);
        self.send(msg(tx));
        rx.recv().ok()
    }
}

/// Adapts an [`Actor`] to the Stakker runtime.
struct StakkerActor<A> {
    state: A,
    clock: Clock,
}

impl<A: Actor> StakkerActor<A> {
    #[allow(clippy::unnecessary_wraps)] // `actor!` expects an `Option`.
    fn init(cx: CX![], state: A, clock: Clock) -> Option<Self> {
        after!(A::TICK, [cx], tick());
        Some(Self { state, clock })
    }

    fn handle(&mut self, _: CX![], msg: A::Msg) {
        self.state.handle(self.clock.now(), msg);
    }

    fn after_batch(&mut self, _: CX![]) {
        self.state.after_batch(self.clock.now());
    }

    fn tick(&mut self, cx: CX![]) {
        self.state.tick(self.clock.now());
        self.state.after_batch(self.clock.now());
        after!(A::TICK, [cx], tick());
    }
}

/// Starts an actor on a new thread, which ends when the last mailbox is dropped.
///
/// # Errors
///
/// Fails if the thread cannot be created.
pub fn spawn<A: Actor>(name: &str, clock: Clock, state: A) -> io::Result<Mailbox<A::Msg>> {
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name(name.into())
        .spawn(move || run(clock, state, &rx))?;
    Ok(Mailbox(tx))
}

/// Runs the Stakker event loop until every mailbox is dropped.
fn run<A: Actor>(clock: Clock, state: A, inbox: &mpsc::Receiver<A::Msg>) {
    let mut stakker = Stakker::new(Instant::now());
    let stakker_actor = actor!(stakker, <StakkerActor<A>>::init(state, clock), ret_nop!());
    loop {
        stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), A::TICK, false);
        match inbox.recv_timeout(wait) {
            Ok(msg) => {
                call!([stakker_actor], handle(msg));
                // Queued messages are handled in one run of the event loop.
                while let Ok(msg) = inbox.try_recv() {
                    call!([stakker_actor], handle(msg));
                }
                call!([stakker_actor], after_batch());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
