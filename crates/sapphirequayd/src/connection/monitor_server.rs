//! HTTP server for `/metrics` and `/healthz` on the monitoring address, in
//! addition to those that an entry serves to callers.

use {
    crate::process::{Lifecycle, telemetry},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        thread,
    },
    tiny_http::{Method, Request, Response, Server},
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
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        thread::Builder::new()
            .name("monitor".into())
            .spawn(move || {
                while let Ok(req) = server.recv() {
                    if let Err(err) = respond(req, &lifecycle) {
                        log::debug!("event=monitor_caller_gone cause={err:?}");
                    }
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
fn respond(req: Request, lifecycle: &Lifecycle) -> io::Result<()> {
    let (status, text) = match (req.method(), req.url()) {
        (Method::Get, "/metrics") => (200, telemetry::render()),
        (Method::Get, "/healthz") if lifecycle.draining() => (503, "draining\n".into()),
        (Method::Get, "/healthz") => (200, "ok\n".into()),
        _ => (
            404,
            "only GET /metrics and GET /healthz are available\n".into(),
        ),
    };
    req.respond(Response::from_string(text).with_status_code(status))
}
