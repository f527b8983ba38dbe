//! Free ports for processes that a test starts.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
    process::{self, Child, Command},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
};

/// Port range below the system's ephemeral ports, so that no outgoing connection
/// takes a port between its allocation and its use, or while its process is
/// down.
const PORT_RANGE: Range<u16> = 20_000..32_000;

/// Number of ports per test process; more than any test file allocates.
const PORTS_PER_PROCESS: u32 = 500;

static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// Held while a port is probed and while a process is started: until it executes its
/// program, a new process holds copies of all open sockets.
static PROBE_OR_START: Mutex<()> = Mutex::new(());

/// Allocates a port that is free for both TCP and UDP and that no other test of
/// this process gets.
pub fn free_port() -> SocketAddr {
    let span = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    loop {
        let allocated = u32::from(ALLOCATED.fetch_add(1, Ordering::Relaxed));
        // Concurrent test processes start at different offsets.
        let offset = (process::id() % 24 * PORTS_PER_PROCESS + allocated) % span;
        let port = PORT_RANGE.start + u16::try_from(offset).expect("within the range");
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _guard = PROBE_OR_START
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if UdpSocket::bind(addr).is_ok() && TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Starts a process. Tests that use [`free_port`] start all their processes so.
#[allow(dead_code)] // Some test files start processes through others only.
pub fn start_process(command: &mut Command) -> io::Result<Child> {
    let _guard = PROBE_OR_START
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}
