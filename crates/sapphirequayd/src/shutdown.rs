//! Graceful shutdown on a signal: waits for the requests in progress.

use {
    sapphirequayd::{Daemon, Lifecycle},
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        flag,
        iterator::Signals,
    },
    std::{
        io,
        sync::{
            Arc,
            mpsc::{self, Receiver, RecvTimeoutError},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Interval at which the number of requests in progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest part of the grace period in which calls that are still in progress get their
/// final answer: a call notices within the interval of heartbeats, and then settles its
/// outcome.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(5);

/// Divisor of the grace period that bounds the same for short ones.
const MAX_ANSWER_SHARE: u32 = 2;

/// Longest time in which callers take the rest of their responses after all calls have
/// ended, and connections that were not used are waited for.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(5);

/// Result of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All requests in progress have ended.
    Completed,
    /// Number of requests that were still in progress.
    Interrupted(u32),
}

/// Waits for a signal, then for the requests in progress, for at most `grace`.
pub fn wait(daemon: &Daemon, signals: &Receiver<()>, grace: Duration) -> ShutdownOutcome {
    let _ = signals.recv();
    let lifecycle = daemon.lifecycle();
    let began = Instant::now();
    let ends_at = began + grace;
    // Draining starts before the requests are counted, so that the number
    // can only decrease.
    lifecycle.drain();
    daemon.leave();
    let in_progress = lifecycle.in_progress();
    log::info!(
        "event=shutdown_began in_progress={in_progress} grace_s={}",
        grace.as_secs()
    );
    let answer_time = MAX_ANSWER_TIME.min(grace / MAX_ANSWER_SHARE);
    let answers_at = began + grace.saturating_sub(answer_time);
    let mut outcome = drain(lifecycle, signals, answers_at);
    if let ShutdownOutcome::Interrupted(left) = outcome
        && Instant::now() >= answers_at
    {
        log::warn!("event=shutdown_ends in_progress={left}");
        lifecycle.end();
        outcome = drain(lifecycle, signals, ends_at);
    }
    // Entries learn that the upstream is draining and stop sending calls to it.
    daemon.wait_for_drain_announcement();
    // Refusals aren't counted, nor what callers haven't taken of their responses.
    let left = match outcome {
        ShutdownOutcome::Completed => ends_at.saturating_duration_since(Instant::now()),
        ShutdownOutcome::Interrupted(_) => Duration::ZERO,
    };
    let closed = daemon.close(left.min(MAX_CLOSE_TIME));
    log::info!("event=shutdown_closed complete={closed}");
    match outcome {
        ShutdownOutcome::Completed => log::info!("event=shutdown_ended in_progress=0"),
        ShutdownOutcome::Interrupted(left) => log::error!("event=shutdown_cut in_progress={left}"),
    }
    outcome
}

/// Ignores SIGHUP until it is received, which ends a process that does nothing about it.
///
/// # Errors
///
/// Fails if the signal handler can't be installed.
pub fn ignore_hangups() -> io::Result<()> {
    flag::register(SIGHUP, Arc::default()).map(drop)
}

/// Starts a thread that receives signals. SIGHUP changes nothing: files are watched.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub fn receive_signals() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in signals.forever() {
                log::info!("event=signal number={signal}");
                if signal != SIGHUP && tx.send(()).is_err() {
                    return;
                }
            }
        })?;
    Ok(rx)
}

/// Waits until no request is in progress, the grace period ends or another
/// signal arrives.
fn drain(lifecycle: &Lifecycle, signals: &Receiver<()>, deadline: Instant) -> ShutdownOutcome {
    loop {
        let in_progress = lifecycle.in_progress();
        if in_progress == 0 {
            return ShutdownOutcome::Completed;
        }
        let second_signal = signals.recv_timeout(POLL_INTERVAL) != Err(RecvTimeoutError::Timeout);
        if second_signal || Instant::now() >= deadline {
            return ShutdownOutcome::Interrupted(in_progress);
        }
    }
}
