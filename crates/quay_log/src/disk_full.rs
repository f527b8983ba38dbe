//! Waits for room on a disk.

use std::{io, thread, time::Duration};

/// Pause before a disk that was full is tried again: short against the seconds
/// in which an operator makes room.
const AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Does something that takes room, again and again while the disk is full.
///
/// A write that was refused for want of room has written nothing, so nothing is
/// unknown: a full disk is as good as one that is slow, and the other replicas go
/// on meanwhile.
///
/// # Errors
///
/// Any error but [`io::ErrorKind::StorageFull`].
pub fn retry_while_full<T>(
    operation: &str,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut waits = false;
    loop {
        match attempt() {
            Err(err) if err.kind() == io::ErrorKind::StorageFull => {
                if !std::mem::replace(&mut waits, true) {
                    ::log::error!("event=disk_full operation={operation}");
                }
                thread::sleep(AGAIN_AFTER);
            }
            done => {
                if waits {
                    ::log::info!("event=disk_has_room operation={operation}");
                }
                return done;
            }
        }
    }
}
