//! HTTP server for `/metrics` and `/healthz` on the monitoring address, in
//! addition to those that an entry serves to callers.

use {
    crate::{
        connection::listener::serve_on_thread,
        gateway::{Body, HostLimits, HostMemory, ServerLimits, full, serve_http},
        process::{Clock, Lifecycle, telemetry},
    },
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{convert::Infallible, io, net::SocketAddr, net::TcpListener},
};

/// What readers of the metrics may take: their number is small, and known.
const LIMITS: HostLimits = HostLimits {
    budget: Some(8 << 20),
    stated: true,
    connections: 64,
};

/// HTTP server for metrics and health checks.
#[derive(Debug)]
pub struct MonitorServer {
    local: SocketAddr,
}

impl MonitorServer {
    /// Starts the server on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or a thread can't be created.
    pub fn start(listen: SocketAddr, lifecycle: Lifecycle) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let local = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        serve_on_thread("monitor", move || async move {
            let limits = ServerLimits {
                memory: HostMemory::new(Clock::start(), LIMITS),
                ..ServerLimits::default()
            };
            let handler = move |req: Request<Incoming>| {
                let response = respond(&req, &lifecycle);
                async move { Ok::<_, Infallible>(response) }
            };
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => serve_http(listener, handler, &limits).await,
                Err(err) => log::error!("event=edge_down cause={err:?}"),
            }
        })?;
        Ok(Self { local })
    }

    /// Address that the server listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

/// Responds to one request.
fn respond(req: &Request<Incoming>, lifecycle: &Lifecycle) -> Response<Body> {
    let (status, text) = match (req.method(), req.uri().path()) {
        (&Method::GET, "/metrics") => (StatusCode::OK, telemetry::render()),
        (&Method::GET, "/healthz") if lifecycle.draining() => {
            (StatusCode::SERVICE_UNAVAILABLE, "draining\n".into())
        }
        (&Method::GET, "/healthz") => (StatusCode::OK, "ok\n".into()),
        _ => (
            StatusCode::NOT_FOUND,
            "only GET /metrics and GET /healthz are available\n".into(),
        ),
    };
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = status;
    response
}
