//! `/metrics` and `/healthz` of a process without the entry role.

use {
    crate::process::{Lifecycle, telemetry},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        thread,
    },
    tiny_http::{Method, Request, Response, Server},
};

/// The listener for whoever watches the process.
#[derive(Debug)]
pub struct MonitorServer {
    local: SocketAddr,
}

impl MonitorServer {
    /// Starts to answer on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn start(listen: SocketAddr, lifecycle: Lifecycle) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let local = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        thread::Builder::new()
            .name("monitor".into())
            .spawn(move || {
                while let Ok(req) = server.recv() {
                    if let Err(err) = answer(req, &lifecycle) {
                        log::debug!("event=monitor_caller_gone cause={err:?}");
                    }
                }
            })?;
        Ok(Self { local })
    }

    /// Address that it answers on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

/// Answers one request.
fn answer(req: Request, lifecycle: &Lifecycle) -> io::Result<()> {
    let (status, text) = match (req.method(), req.url()) {
        (Method::Get, "/metrics") => (200, telemetry::render()),
        (Method::Get, "/healthz") if lifecycle.draining() => (503, "draining\n".into()),
        (Method::Get, "/healthz") => (200, "ok\n".into()),
        _ => (404, "only GET /metrics and /healthz are here\n".into()),
    };
    req.respond(Response::from_string(text).with_status_code(status))
}
