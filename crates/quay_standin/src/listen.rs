//! Listening sockets with a backlog large enough for bursts of connections.

use {
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::{SocketAddr, TcpListener},
    },
};

/// Maximum number of connections waiting to be accepted. The standard library's
/// backlog of 128 overflows in a burst of 500 connections, which delays some of
/// them by seconds.
const BACKLOG: i32 = 4_096;

/// Binds a socket to `addr` and listens on it.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
