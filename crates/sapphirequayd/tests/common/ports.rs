//! Ports for processes that a test starts.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports below those that the system gives to outgoing connections, so that
/// none is taken between its draw and its use, or while its owner is down.
const PORTS: Range<u16> = 20_000..32_000;

/// More than one run of a test file draws.
const PORTS_OF_A_RUN: u32 = 500;

static DRAWN: AtomicU16 = AtomicU16::new(0);

/// A port, of TCP and UDP, that no other test of this run draws and nobody else
/// has bound.
pub fn free_port() -> SocketAddr {
    let span = u32::from(PORTS.end - PORTS.start);
    loop {
        let drawn = u32::from(DRAWN.fetch_add(1, Ordering::Relaxed));
        // Runs at the same time start at places far from each other.
        let offset = (process::id() % 24 * PORTS_OF_A_RUN + drawn) % span;
        let port = PORTS.start + u16::try_from(offset).expect("within the range");
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if UdpSocket::bind(addr).is_ok() && TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
