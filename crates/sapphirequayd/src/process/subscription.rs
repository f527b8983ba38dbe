//! Polls the control group and puts new configuration into force in the daemon.

use {
    crate::{
        process::{ControlClient, ControlReply, ControlRequest},
        version::{CurrentRules, Rules},
    },
    quay_config::{Subscriber, SubscriberEvent},
    quay_members::Pacer,
    rand::RngExt as _,
    std::{io, sync::Arc, thread, time::Duration},
};

/// Interval at which a daemon polls for the configuration in force.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Subscription of a daemon to the configuration of the control group.
#[derive(Debug)]
pub struct Subscription {
    /// Daemon name sent with each poll.
    pub daemon: Box<str>,
    /// Client of the control group.
    pub client: ControlClient,
    /// Holder of the rules in force, which each new version replaces.
    pub current: CurrentRules,
}

impl Subscription {
    /// Starts a thread that polls until the process ends and calls `changed`
    /// with each new version.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn start(self, changed: impl Fn(&Rules) + Send + 'static) -> io::Result<()> {
        thread::Builder::new()
            .name("config-subscriber".into())
            .spawn(move || self.run(&changed))?;
        Ok(())
    }

    /// Polls in a loop.
    fn run(mut self, changed: &impl Fn(&Rules)) {
        let mut subscriber = Subscriber::default();
        let mut pacer = Pacer::new(POLL_INTERVAL);
        let mut logged_reason = String::new();
        loop {
            let event = self.poll(&mut subscriber);
            pacer.record_outcome(event.is_some());
            if subscriber.blocked_reason() != logged_reason {
                logged_reason = subscriber.blocked_reason().into();
                log::warn!(
                    "event=config_waits index={} cause={logged_reason:?}",
                    subscriber.image().index
                );
                self.publish(&subscriber);
            }
            match event {
                Some(SubscriberEvent::Activated(index)) => {
                    log::info!("event=config_in_force index={index}");
                    changed(&self.publish(&subscriber));
                }
                // Poll again at once: the next reply holds the whole
                // configuration.
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

    /// Polls once; returns `None` if no host sent an update.
    fn poll(&mut self, subscriber: &mut Subscriber) -> Option<SubscriberEvent> {
        let req = ControlRequest::Poll {
            daemon: self.daemon.clone(),
            poll: subscriber.poll(),
        };
        match self.client.request(req) {
            // Hosts send an update only from state that a quorum has confirmed.
            Ok(ControlReply::Update(update)) => Some(subscriber.receive(update, true)),
            Ok(_) => {
                subscriber.record_no_answer("a ledger host sent an unexpected reply");
                None
            }
            Err(error) => {
                subscriber.record_no_answer(error);
                None
            }
        }
    }

    /// Puts the configuration of the subscriber into force in this process.
    fn publish(&self, subscriber: &Subscriber) -> Arc<Rules> {
        let rules = Arc::new(Rules::from_subscriber(subscriber));
        self.current.set(Arc::clone(&rules));
        rules
    }
}
