//! Files that are replaced atomically: written under a temporary name, synced,
//! then renamed.

use crate::{Folder, IsDiskFull, LogError, LogFile, frame, retry_while_full};

/// Suffix of a file that has not been renamed to its final name yet.
pub const TEMP_SUFFIX: &str = ".new";

/// Writes all bytes to a file, repeating short writes.
pub(crate) fn write_all(file: &mut impl LogFile, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let written = file.write(bytes)?;
        if written == 0 {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        bytes = bytes
            .get(written..)
            .ok_or(std::io::ErrorKind::InvalidData)?;
    }
    Ok(())
}

/// Creates or replaces a file atomically: after a crash at any point, readers
/// see either the previous content or the new one. `number` is stored in the
/// frame header and returned by [`read_checked`]. Waits while the disk is full.
///
/// # Errors
///
/// [`LogError::Io`] with the name of the file.
pub fn write_atomic(
    folder: &impl Folder,
    name: &str,
    number: u64,
    payload: &[u8],
) -> Result<(), LogError> {
    let mut buf = frame::start();
    buf.extend_from_slice(payload);
    frame::seal(&mut buf, number)?;
    replace(folder, name, &buf)
}

/// Creates or replaces a file atomically. Waits while the disk is full.
pub(crate) fn replace(folder: &impl Folder, name: &str, bytes: &[u8]) -> Result<(), LogError> {
    let new = format!("{name}{TEMP_SUFFIX}");
    let write = || {
        let mut file = folder.create(&new)?;
        write_all(&mut file, bytes)?;
        file.sync()?;
        folder.rename(&new, name)?;
        folder.sync()
    };
    let write_or_remove = || {
        let done = write();
        if done.as_ref().is_err_and(IsDiskFull::is_disk_full) {
            // The log may need the space that the partial file takes. There is none if
            // only the sync of its final name failed.
            let _ = folder.remove(&new);
        }
        done
    };
    retry_while_full(name, || folder.wait_for_room(), write_or_remove).map_err(LogError::io(name))
}

/// Removes a file. Waits while the disk is full.
pub(crate) fn remove(folder: &impl Folder, name: &str) -> Result<(), LogError> {
    let wait = || folder.wait_for_room();
    retry_while_full("remove", wait, || folder.remove(name)).map_err(LogError::io(name))
}

/// Reads a file written by [`write_atomic`]; returns its number and payload.
///
/// # Errors
///
/// [`LogError::Corrupt`] if the frame is incomplete or its checksum is wrong.
pub fn read_checked(folder: &impl Folder, name: &str) -> Result<(u64, Vec<u8>), LogError> {
    let bytes = folder.read(name).map_err(LogError::io(name))?;
    match frame::read(&bytes) {
        Some(frame) if frame.bytes() == bytes.len() => Ok((frame.number, frame.payload.into())),
        _ => Err(LogError::Corrupt {
            file: name.into(),
            offset: 0,
            reason: "invalid frame or checksum mismatch".into(),
        }),
    }
}
