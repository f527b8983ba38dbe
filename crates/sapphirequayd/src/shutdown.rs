//! Ends the process on a signal without cutting requests off.

use {
    sapphirequayd::{Daemon, Lifecycle},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        io,
        sync::mpsc::{self, Receiver, RecvTimeoutError},
        thread,
        time::{Duration, Instant},
    },
};

/// Interval at which the end of the last request is looked for.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How the process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Every request in progress has ended.
    Whole,
    /// So many requests were cut off.
    Cut(u32),
}

/// Waits for a signal, then for the requests in progress.
///
/// # Errors
///
/// Fails if signals can't be heard.
pub fn wait(daemon: &Daemon, grace: Duration) -> io::Result<Ending> {
    let signals = listen()?;
    let _ = signals.recv();
    let lifecycle = daemon.lifecycle();
    // Counted after the door is shut, so that the count only falls.
    lifecycle.drain();
    let open = lifecycle.in_progress();
    log::info!(
        "event=shutdown_began in_progress={open} grace_s={}",
        grace.as_secs()
    );
    let ending = drain(lifecycle, &signals, Instant::now() + grace);
    // Entries hear that the upstream leaves, so that they ask no more.
    daemon.wait_for_drain_announcement();
    match ending {
        Ending::Whole => log::info!("event=shutdown_ended in_progress=0"),
        Ending::Cut(requests) => log::error!("event=shutdown_cut in_progress={requests}"),
    }
    Ok(ending)
}

/// Hears signals on a thread of its own.
fn listen() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in signals.forever() {
                log::info!("event=signal number={signal}");
                if tx.send(()).is_err() {
                    return;
                }
            }
        })?;
    Ok(rx)
}

/// Waits for the last request, the end of the grace period or another signal.
fn drain(lifecycle: &Lifecycle, signals: &Receiver<()>, until: Instant) -> Ending {
    loop {
        let open = lifecycle.in_progress();
        if open == 0 {
            return Ending::Whole;
        }
        let hurried = signals.recv_timeout(LOOK_EVERY) != Err(RecvTimeoutError::Timeout);
        if hurried || Instant::now() >= until {
            return Ending::Cut(open);
        }
    }
}
