//! Schedule of the faults that are injected into a run.

use {quay_types::Time, std::time::Duration};

/// A fault or the recovery from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The engine crashes.
    Crash(usize),
    /// A crashed engine accepts jobs again.
    Restart(usize),
    /// All open streams of the engine stop sending data without being closed.
    StallStreams(usize),
    /// Sets the duration of the engine's steps to this percentage of the normal
    /// duration.
    Slow(usize, u32),
    /// Sets the delay of load reports.
    ReportDelay(Duration),
    /// Two poison programs arrive.
    Poison,
}

/// Time between the crash and the restart of an engine.
pub const RESTART_DELAY: Duration = Duration::from_secs(10);

/// Returns the faults of a run whose arrival phase ends at `end`.
pub fn schedule(end: Time) -> Vec<(Time, Fault)> {
    let at = |per_cent: u64| Time::from_micros(end.as_micros() * per_cent / 100);
    vec![
        (at(15), Fault::Crash(1)),
        (at(30), Fault::StallStreams(2)),
        (at(40), Fault::ReportDelay(Duration::from_secs(3))),
        (at(50), Fault::ReportDelay(Duration::from_millis(250))),
        (at(50), Fault::Slow(3, 250)),
        (at(65), Fault::Slow(3, 100)),
        (at(70), Fault::Poison),
        (at(85), Fault::Crash(4)),
        (at(85), Fault::Crash(5)),
    ]
}
