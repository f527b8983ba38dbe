//! What fails in a run with faults, and when.

use {quay_types::Time, std::time::Duration};

/// Something that goes wrong, or gets well again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An engine crashes.
    Crash(usize),
    /// A crashed engine takes work again.
    Restart(usize),
    /// Streams that are open to an engine fall silent.
    Silence(usize),
    /// An engine's steps take this many per cent of their time.
    Slow(usize, u32),
    /// Reports come this late.
    Lag(Duration),
    /// Two poison programs come.
    Poison,
}

/// How long a crashed engine is down.
pub const RESTART: Duration = Duration::from_secs(10);

/// The faults of a run in which programs arrive until `end`.
pub fn plan(end: Time) -> Vec<(Time, Fault)> {
    let at = |per_cent: u64| Time::from_micros(end.as_micros() * per_cent / 100);
    vec![
        (at(15), Fault::Crash(1)),
        (at(30), Fault::Silence(2)),
        (at(40), Fault::Lag(Duration::from_secs(3))),
        (at(50), Fault::Lag(Duration::from_millis(250))),
        (at(50), Fault::Slow(3, 250)),
        (at(65), Fault::Slow(3, 100)),
        (at(70), Fault::Poison),
        (at(85), Fault::Crash(4)),
        (at(85), Fault::Crash(5)),
    ]
}
