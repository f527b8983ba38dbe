//! Retries operations while the disk is full.

use std::{io, thread, time::Duration};

/// Pause before an operation on a full disk is retried; short compared with the
/// seconds an operator needs to free space.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs an operation that allocates disk space, retrying it while the disk is
/// full. `operation` names it in the log lines.
///
/// A write that fails with `StorageFull` has written nothing, so retrying it is
/// safe. A full disk thus behaves like a slow one, and the other replicas
/// continue meanwhile.
///
/// # Errors
///
/// Any error but [`io::ErrorKind::StorageFull`].
pub fn retry_while_full<T>(
    operation: &str,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut was_full = false;
    loop {
        match attempt() {
            Err(err) if err.kind() == io::ErrorKind::StorageFull => {
                if !std::mem::replace(&mut was_full, true) {
                    ::log::error!("event=disk_full operation={operation}");
                }
                thread::sleep(RETRY_INTERVAL);
            }
            result => {
                if was_full {
                    ::log::info!("event=disk_has_room operation={operation}");
                }
                return result;
            }
        }
    }
}
