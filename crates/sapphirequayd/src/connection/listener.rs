//! The callers' listening socket and its time limits.
//!
//! `tiny_http` sets no time limits, so they are set on the listening socket,
//! from which accepted sockets inherit them. The receive timeout also ends
//! `accept` on the listener, after which `tiny_http` accepts nothing more: a
//! thread connects to the listener often enough that this does not come to
//! pass, and [`serve_forever`] starts a new server if it does.

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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Idle time after which a caller's host is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);

/// Connections to oneself within one receive timeout.
const WAKES_A_TIMEOUT: u32 = 4;

/// Pause before a new server takes the place of one that stopped accepting.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Longest time to set up a connection to oneself.
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
    limit(&listener, cfg)?;
    SockRef::from(&listener).listen(BACKLOG)?;
    Ok(listener)
}

/// Sets what accepted sockets inherit.
fn limit(listener: &TcpListener, cfg: &EntrySettings) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_read_timeout(Some(cfg.read_timeout()))?;
    socket.set_write_timeout(Some(cfg.send_timeout()))?;
    socket.set_tcp_user_timeout(Some(cfg.send_timeout()))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))?;
    // Each event is a small write that must leave at once.
    socket.set_tcp_nodelay(true)
}

/// Connects to `addr` often enough that accepting never times out.
pub fn keep_awake(addr: SocketAddr, read_timeout: Duration) {
    loop {
        thread::sleep(read_timeout / WAKES_A_TIMEOUT);
        if let Err(err) = TcpStream::connect_timeout(&addr, WAKE_TIMEOUT) {
            log::warn!("event=edge_wake_failed addr={addr} cause={err:?}");
        }
    }
}

/// Hands every request to `serve` until it breaks off.
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
            Ok(server) => match take_requests(&server, &serve) {
                ControlFlow::Break(()) => return,
                ControlFlow::Continue(err) => {
                    log::warn!("event=edge_restarted cause={err:?}");
                    finish(server, read_timeout, serve.clone());
                }
            },
            Err(err) => log::error!("event=edge_down cause={err:?}"),
        }
        thread::sleep(RESTART_PAUSE);
    }
}

/// Takes requests until the server stops accepting.
fn take_requests(
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

/// Serves the connections that a stopped server still has, until they are idle.
fn finish(
    server: Server,
    read_timeout: Duration,
    serve: impl Fn(Request) -> ControlFlow<()> + Send + 'static,
) {
    let spawned = thread::Builder::new()
        .name("edge-rest".into())
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
