//! Retries operations while the disk is full.

use {
    crate::LogError,
    std::{io, time::Duration},
};

/// Pause before an operation on a full disk is retried; short compared with the
/// seconds an operator needs to free space.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Whether an operation failed for want of disk space. It may succeed later.
pub trait IsDiskFull {
    /// Whether the disk, a quota on it or the limit on the size of files is exhausted.
    fn is_disk_full(&self) -> bool;
}

impl IsDiskFull for io::Error {
    fn is_disk_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        matches!(self.kind(), StorageFull | QuotaExceeded | FileTooLarge)
    }
}

impl IsDiskFull for LogError {
    fn is_disk_full(&self) -> bool {
        matches!(self, Self::Io { err, .. } if err.is_disk_full())
    }
}

/// Runs an operation that allocates disk space, and repeats it after `wait` while
/// the disk is full. `operation` names it in the log lines.
///
/// The operation must be safe to repeat as a whole. A sync is not: after a failed
/// one, the bytes may be lost although the next one succeeds. They have to be
/// written again, to another file.
///
/// # Errors
///
/// Any error that doesn't mean that the disk is full.
pub fn retry_while_full<T, E: IsDiskFull>(
    operation: &str,
    wait: impl Fn(),
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut was_full = false;
    loop {
        match attempt() {
            Err(err) if err.is_disk_full() => {
                if !std::mem::replace(&mut was_full, true) {
                    ::log::error!("event=disk_full operation={operation}");
                }
                wait();
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
