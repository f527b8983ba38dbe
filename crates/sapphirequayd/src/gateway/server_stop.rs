//! Stop of an HTTP server whose requests take little time.

use {
    super::http_server::{self, Body, ServerLimits},
    http::{HeaderValue, Request, Response, header},
    hyper::body::Incoming,
    std::{convert::Infallible, future::Future, time::Duration},
    tokio::{net::TcpListener, sync::watch, time::sleep},
};

/// Time for which connections stay open after a stop begins, so that callers learn from
/// a response that they close.
const LINGER: Duration = Duration::from_millis(500);

/// Steps of the lingering: requests that arrive while the process stands still are read
/// in the next one.
const LINGER_STEPS: u32 = 10;

/// Time for which connections are accepted after idle ones are closed, so that none waits
/// in the queue of the listener.
const LAST_ACCEPTS: Duration = Duration::from_millis(20);

/// How far the stop of a server is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It serves.
    #[default]
    Serving,
    /// Connections are closed after their next response, for a while at least.
    Leaving,
    /// Idle connections are closed, and no further ones accepted.
    Closing,
    /// Requests in progress get their final answer.
    Ending,
    /// All connections are closed.
    Closed,
}

/// Stop of a server, for the server and for those who stop it; clones share the phase.
#[derive(Debug, Clone, Default)]
pub struct ServerStop(watch::Sender<StopPhase>);

impl ServerStop {
    /// How far the stop is.
    pub fn phase(&self) -> StopPhase {
        *self.0.borrow()
    }

    /// Goes on to a phase, unless the stop is further already.
    pub fn enter(&self, phase: StopPhase) {
        self.0.send_if_modified(|now| {
            let later = *now < phase;
            *now = phase.max(*now);
            later
        });
    }

    /// Waits until the stop has reached a phase.
    pub async fn reached(&self, phase: StopPhase) {
        let _ = self.0.subscribe().wait_for(|now| *now >= phase).await;
    }
}

/// Accepts connections and serves their requests until the server is stopped and all
/// connections are closed.
pub async fn serve_until_stopped<F, R>(
    listener: TcpListener,
    handler: F,
    limits: &ServerLimits,
    stop: &ServerStop,
) where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    let leaving = stop.clone();
    let handler = move |req| {
        let (answered, stop) = (handler(req), leaving.clone());
        async move {
            let Ok(mut response) = answered.await;
            if stop.phase() >= StopPhase::Leaving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    };
    let closing = async {
        stop.reached(StopPhase::Leaving).await;
        for _ in 0..LINGER_STEPS {
            sleep(LINGER / LINGER_STEPS).await;
        }
        stop.reached(StopPhase::Closing).await;
        limits.closing.begin();
        sleep(LAST_ACCEPTS).await;
    };
    tokio::select! {
        biased;
        () = http_server::serve(listener, handler, limits) => {}
        () = closing => {}
    }
    limits.closing.all_closed().await;
    stop.enter(StopPhase::Closed);
}
