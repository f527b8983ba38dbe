//! The clock of the daemon and the kernel's.

use {
    sapphirequayd::Clock,
    std::{fs, time::Duration},
};

/// Time since the host started, according to the kernel. It includes the time
/// for which the host was suspended.
fn kernel_uptime() -> Duration {
    let text = fs::read_to_string("/proc/uptime").expect("uptime");
    let seconds = text.split_whitespace().next().expect("a figure");
    Duration::from_secs_f64(seconds.parse().expect("seconds"))
}

/// A clock that stands still while the host is suspended lags behind the
/// kernel's time since the start.
#[test]
fn the_clock_counts_the_time_for_which_the_host_was_suspended() {
    // The kernel rounds its figure to hundredths of a second.
    let rounding = Duration::from_millis(10);
    let before = kernel_uptime();
    let own = Clock::uptime();
    let after = kernel_uptime();
    assert!(own + rounding >= before, "{own:?}, kernel {before:?}");
    assert!(own <= after + rounding, "{own:?}, kernel {after:?}");
}
