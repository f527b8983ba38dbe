//! Waits for room on a disk.

use std::{io, thread, time::Duration};

/// Pause before a disk that was full is tried again.
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
pub fn with_room<T>(what: &str, operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    with_room_after(AGAIN_AFTER, what, operation)
}

/// [`with_room`] with another pause.
///
/// # Errors
///
/// As [`with_room`].
pub fn with_room_after<T>(
    pause: Duration,
    what: &str,
    mut operation: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut waits = false;
    loop {
        match operation() {
            Err(err) if err.kind() == io::ErrorKind::StorageFull => {
                if !std::mem::replace(&mut waits, true) {
                    ::log::error!("event=disk_full operation={what}");
                }
                thread::sleep(pause);
            }
            done => {
                if waits {
                    ::log::info!("event=disk_has_room operation={what}");
                }
                return done;
            }
        }
    }
}
