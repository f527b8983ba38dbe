//! Keeps a daemon's rules up to what the control group has in force.

use {
    crate::{
        process::{ControlClient, ControlReply, ControlRequest},
        version::{Current, Rules},
    },
    quay_config::{Subscriber, SubscriberEvent},
    quay_members::Pacer,
    rand::RngExt as _,
    std::{io, sync::Arc, thread, time::Duration},
};

/// Interval at which a daemon asks for what is in force.
const POLL_EVERY: Duration = Duration::from_secs(1);

/// A daemon that follows the control group.
#[derive(Debug)]
pub struct Subscription {
    /// Name that the daemon reports its index under.
    pub daemon: Box<str>,
    /// The control group.
    pub client: ControlClient,
    /// The rules to replace.
    pub current: Current,
}

impl Subscription {
    /// Follows until the process ends; `changed` hears of each new version.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn start(self, changed: impl Fn(&Rules) + Send + 'static) -> io::Result<()> {
        thread::Builder::new()
            .name("config-subscriber".into())
            .spawn(move || self.follow(&changed))?;
        Ok(())
    }

    /// Asks again and again.
    fn follow(mut self, changed: &impl Fn(&Rules)) {
        let mut subscriber = Subscriber::default();
        let mut pacer = Pacer::new(POLL_EVERY);
        let mut waited = String::new();
        loop {
            let event = self.round(&mut subscriber);
            pacer.record_outcome(event.is_some());
            if subscriber.blocked_reason() != waited {
                waited = subscriber.blocked_reason().into();
                log::warn!(
                    "event=config_waits index={} cause={waited:?}",
                    subscriber.image().index
                );
                self.publish(&subscriber);
            }
            match event {
                Some(SubscriberEvent::Activated(index)) => {
                    log::info!("event=config_in_force index={index}");
                    changed(&self.publish(&subscriber));
                }
                // The next answer comes with everything.
                Some(SubscriberEvent::Resync) => continue,
                Some(SubscriberEvent::Stale(index)) => log::warn!(
                    "event=config_older index={} offered={index}",
                    subscriber.image().index
                ),
                _ => {}
            }
            thread::sleep(pacer.next_wait(rand::rng().random()));
        }
    }

    /// Asks once; `None` if nobody answered.
    fn round(&mut self, subscriber: &mut Subscriber) -> Option<SubscriberEvent> {
        let req = ControlRequest::Poll {
            daemon: self.daemon.clone(),
            poll: subscriber.poll(),
        };
        match self.client.request(req) {
            // The host answers from what a quorum has confirmed, or not at all.
            Ok(ControlReply::Update(update)) => Some(subscriber.receive(update, true)),
            Ok(_) => {
                subscriber.record_no_answer("a ledger host answered something else");
                None
            }
            Err(fault) => {
                subscriber.record_no_answer(fault);
                None
            }
        }
    }

    /// Puts what the subscriber holds into force in this process.
    fn publish(&self, subscriber: &Subscriber) -> Arc<Rules> {
        let rules = Arc::new(Rules::of(subscriber));
        self.current.set(Arc::clone(&rules));
        rules
    }
}
