//! Listening socket for callers and its time-outs.
//!
//! `tiny_http` sets no time-outs, so they are set on the listening socket, from
//! which accepted sockets inherit them. The receive time-out also applies to
//! `accept` on the listener, and `tiny_http` stops accepting after such a
//! time-out. [`prevent_accept_timeout`] avoids this by connecting to the
//! listener regularly, and [`serve_forever`] starts a new server if it happens
//! anyway.

use {
    crate::settings::EntrySettings,
    socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type},
    std::{
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        ops::ControlFlow,
        thread,
        time::Duration,
    },
    tiny_http::{Request, Server},
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Idle time after which TCP keep-alive probes are sent to a caller.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);

/// Number of connections made to the listener per receive time-out.
const WAKES_PER_TIMEOUT: u32 = 4;

/// Pause before a server that stopped accepting is replaced.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Connect time-out of the connections made to the listener.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens the listening socket.
pub fn bind(cfg: &EntrySettings) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(cfg.listen),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&cfg.listen.into())?;
    let listener = TcpListener::from(socket);
    set_socket_options(&listener, cfg)?;
    SockRef::from(&listener).listen(BACKLOG)?;
    Ok(listener)
}

/// Sets the socket options that accepted sockets inherit.
fn set_socket_options(listener: &TcpListener, cfg: &EntrySettings) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_read_timeout(Some(cfg.read_timeout()))?;
    socket.set_write_timeout(Some(cfg.send_timeout()))?;
    socket.set_tcp_user_timeout(Some(cfg.send_timeout()))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))?;
    // Each event is a small write that must be sent without delay.
    socket.set_tcp_nodelay(true)
}

/// Connects to the listener at `addr` regularly, so that `accept` does not time
/// out.
pub fn prevent_accept_timeout(addr: SocketAddr, read_timeout: Duration) {
    loop {
        thread::sleep(read_timeout / WAKES_PER_TIMEOUT);
        if let Err(err) = TcpStream::connect_timeout(&addr, WAKE_TIMEOUT) {
            log::warn!("event=edge_wake_failed addr={addr} cause={err:?}");
        }
    }
}

/// Passes every request to `serve` until it returns [`ControlFlow::Break`].
pub fn serve_forever(
    listener: &TcpListener,
    read_timeout: Duration,
    serve: impl Fn(Request) -> ControlFlow<()> + Clone + Send + 'static,
) {
    loop {
        let server = listener
            .try_clone()
            .and_then(|copy| Server::from_listener(copy, None).map_err(io::Error::other));
        match server {
            Ok(server) => match receive_requests(&server, &serve) {
                ControlFlow::Break(()) => return,
                ControlFlow::Continue(err) => {
                    log::warn!("event=edge_restarted cause={err:?}");
                    finish_connections(server, read_timeout, serve.clone());
                }
            },
            Err(err) => log::error!("event=edge_down cause={err:?}"),
        }
        thread::sleep(RESTART_PAUSE);
    }
}

/// Passes requests to `serve` until the server stops accepting or `serve`
/// breaks.
fn receive_requests(
    server: &Server,
    serve: &impl Fn(Request) -> ControlFlow<()>,
) -> ControlFlow<(), io::Error> {
    loop {
        match server.recv() {
            Ok(req) => serve(req)?,
            Err(err) => return ControlFlow::Continue(err),
        }
    }
}

/// Serves the open connections of a server that stopped accepting, until no
/// request has arrived for two receive time-outs.
fn finish_connections(
    server: Server,
    read_timeout: Duration,
    serve: impl Fn(Request) -> ControlFlow<()> + Send + 'static,
) {
    let spawned = thread::Builder::new()
        .name("entry-finish".into())
        .spawn(move || {
            while let Ok(Some(req)) = server.recv_timeout(read_timeout * 2) {
                if serve(req).is_break() {
                    return;
                }
            }
        });
    if let Err(err) = spawned {
        log::error!("event=edge_rest_lost cause={err:?}");
    }
}
