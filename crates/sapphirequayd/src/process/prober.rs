//! Probes a failing upstream, and shares its health between attempts, announcer
//! and prober.

use {
    crate::{
        connection::{HeadWait, UpstreamClient},
        process::{Clock, Health, HealthSettings},
    },
    http::Request,
    quay_types::UpstreamState,
    std::{
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
};

/// Interval at which the prober checks whether a probe is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time-out of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Path that is probed.
const PATH: &str = "/healthz";

/// Health of the upstream; clones share it.
#[derive(Debug, Clone)]
pub struct SharedHealth {
    health: Arc<Mutex<Health>>,
    clock: Clock,
}

impl SharedHealth {
    /// Creates the health of an upstream with no recorded outcomes.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let health = Health::new(HealthSettings::default());
        Self {
            health: Arc::new(Mutex::new(health)),
            clock,
        }
    }

    /// Locks the health.
    fn lock(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&self, good: bool) {
        self.lock().record_outcome(self.clock.now(), good);
    }

    /// State to announce, given the state reported by the admission gate.
    #[must_use]
    pub fn state(&self, gate: UpstreamState) -> UpstreamState {
        match gate {
            UpstreamState::Serving => self.lock().state(),
            other => other,
        }
    }

    /// Starts the thread that probes the upstream while it is failing.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn start_prober(&self, client: UpstreamClient) -> io::Result<()> {
        let health = self.clone();
        thread::Builder::new()
            .name("prober".into())
            .spawn(move || {
                loop {
                    thread::sleep(DUE_CHECK_INTERVAL);
                    let due = health.lock().probe_due(health.clock.now());
                    if due {
                        let good = probe(&client);
                        log::info!("event=probe good={good}");
                        health.lock().record_probe(health.clock.now(), good);
                    }
                }
            })?;
        Ok(())
    }
}

/// Probes the upstream: any response with a status below 500 counts as success.
fn probe(client: &UpstreamClient) -> bool {
    let sent = client.send(Request::get(PATH), &[], HeadWait::of(PROBE_TIMEOUT));
    sent.is_ok_and(|response| !response.status.is_server_error())
}
