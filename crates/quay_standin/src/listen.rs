//! Listening sockets that bear a burst of connections.

use {
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::{SocketAddr, TcpListener},
    },
};

/// Connections that may wait to be accepted. With the 128 of the standard
/// library a burst of 500 overflows, and its callers connect seconds late.
const BACKLOG: i32 = 4_096;

/// Listens on `addr`.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
