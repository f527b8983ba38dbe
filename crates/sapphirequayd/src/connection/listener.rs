//! Listening sockets, and the threads that serve them.

use {
    crate::settings::EntrySettings,
    socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type},
    std::{future::Future, io, net::TcpListener, thread, time::Duration},
    tokio::task::LocalSet,
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Idle time after which TCP keep-alive probes are sent to a caller.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);

/// Opens the listening socket of an entry.
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
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Sets the socket options that accepted sockets inherit.
fn set_socket_options(listener: &TcpListener, cfg: &EntrySettings) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_tcp_user_timeout(Some(cfg.send_timeout()))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))?;
    // Each event is a small write that must be sent without delay.
    socket.set_tcp_nodelay(true)
}

/// Runs a server on a thread of its own, with a runtime, for as long as it serves.
/// `server` is called on that thread.
///
/// # Errors
///
/// If the thread or the runtime can't be created.
pub fn serve_on_thread<F: Future<Output = ()>>(
    name: &'static str,
    server: impl FnOnce() -> F + Send + 'static,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let spawned = thread::Builder::new().name(name.into());
    spawned.spawn(move || LocalSet::new().block_on(&runtime, server()))?;
    Ok(())
}
