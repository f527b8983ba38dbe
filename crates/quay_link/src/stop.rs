//! Stop of an endpoint.

use {
    quinn::{Endpoint, VarInt},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// Time in which peers are told that a stopped endpoint is gone.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Held by the tasks that serve peers, until what they have read is answered.
#[derive(Debug, Clone)]
pub(crate) struct Serving(watch::Receiver<bool>);

impl Serving {
    /// Creates the first holder, and the end that stops all of them.
    pub(crate) fn start() -> (watch::Sender<bool>, Self) {
        let (stopping, serving) = watch::channel(false);
        (stopping, Self(serving))
    }

    /// Waits until the endpoint stops.
    pub(crate) async fn stopped(&mut self) {
        let _ = self.0.wait_for(|stopping| *stopping).await;
    }
}

/// What a stream holds until its peer has all replies; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeldServing(Arc<Mutex<Option<Serving>>>);

impl HeldServing {
    /// Holds `serving`.
    pub(crate) fn new(serving: Serving) -> Self {
        Self(Arc::new(Mutex::new(Some(serving))))
    }

    /// Whether it is held.
    pub(crate) fn is_held(&self) -> bool {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_some()
    }

    /// Lets it go, so that the stop of the endpoint doesn't wait for the stream.
    pub(crate) fn release(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

/// Stops reading requests, waits until those that were read are answered, at most for
/// `limit`, and closes the connections. Returns whether all were answered.
pub(crate) async fn stop(
    endpoint: &Endpoint,
    stopping: &watch::Sender<bool>,
    limit: Duration,
) -> bool {
    stopping.send_replace(true);
    let answered = timeout(limit, stopping.closed()).await.is_ok();
    endpoint.close(VarInt::from_u32(0), b"stopped");
    let _ = timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
    answered
}
