//! Test of the ports that tests take for their processes.

#[path = "common/ports.rs"]
mod ports;

use {
    ports::{free_port, start_process},
    std::{
        net::UdpSocket,
        process::{Command, Stdio},
        sync::atomic::{AtomicUsize, Ordering},
        thread,
    },
};

/// Processes that each of several threads starts.
const STARTS: usize = 200;

/// Threads that start processes.
const STARTERS: usize = 4;

#[test]
fn a_free_port_is_not_held_by_a_process_that_is_being_started() {
    let running = AtomicUsize::new(STARTERS);
    thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                for _ in 0..STARTS {
                    let mut command = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"));
                    let command = command.arg("--help").stdout(Stdio::null());
                    let child = start_process(command);
                    child.expect("process").wait().expect("wait");
                }
                running.fetch_sub(1, Ordering::SeqCst);
            });
        }
        while running.load(Ordering::SeqCst) > 0 {
            let addr = free_port();
            UdpSocket::bind(addr).expect("the port is free");
        }
    });
}
