//! Files that are written whole: new first, then renamed into place.

use crate::{Folder, LogError, LogFile, frame};

/// Ending of a file that is not in place yet.
pub const TEMP_SUFFIX: &str = ".new";

/// Writes all bytes to a file.
pub(crate) fn write_all(file: &mut impl LogFile, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let written = file.write(bytes)?;
        if written == 0 || written > bytes.len() {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Writes a file so that it is seen whole or not at all, whenever the process
/// dies. `number` is repeated when the file is read.
///
/// # Errors
///
/// [`LogError::Io`] names the file.
pub fn write_atomic(
    folder: &impl Folder,
    name: &str,
    number: u64,
    payload: &[u8],
) -> Result<(), LogError> {
    let mut buf = frame::start();
    buf.extend_from_slice(payload);
    frame::seal(&mut buf, number)?;
    let new = format!("{name}{TEMP_SUFFIX}");
    let write = || {
        let mut file = folder.create(&new)?;
        write_all(&mut file, &buf)?;
        file.sync()?;
        folder.rename(&new, name)?;
        folder.sync()
    };
    write().map_err(LogError::io(name))
}

/// Reads a file that [`write_atomic`] wrote.
///
/// # Errors
///
/// [`LogError::Corrupt`] if it is not as it was written.
pub fn read_checked(folder: &impl Folder, name: &str) -> Result<(u64, Vec<u8>), LogError> {
    let bytes = folder.read(name).map_err(LogError::io(name))?;
    match frame::read(&bytes) {
        Some(frame) if frame.bytes() == bytes.len() => Ok((frame.number, frame.payload.into())),
        _ => Err(LogError::Corrupt {
            file: name.into(),
            offset: 0,
            reason: "the checksum does not fit".into(),
        }),
    }
}
