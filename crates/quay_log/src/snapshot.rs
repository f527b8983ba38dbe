//! Snapshots of the state machine, each in its own file.

use {
    crate::{
        Folder, LogError,
        atomic_file::{TEMP_SUFFIX, remove},
        read_checked, write_atomic,
    },
    quay_types::{Epoch, LogIndex},
};

/// Prefix of snapshot file names.
const PREFIX: &str = "snapshot-";

/// State of the state machine after an entry was applied.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry covered by the snapshot.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Epoch,
    /// Data that the caller stores beside the state, such as the members.
    pub metadata: Box<[u8]>,
    /// The encoded state.
    pub data: Box<[u8]>,
}

/// File name of the snapshot that covers the entries up to `index`.
fn name(index: LogIndex) -> Box<str> {
    format!("{PREFIX}{:016x}", index.0).into()
}

/// Saves a snapshot, then removes the older ones.
///
/// # Errors
///
/// [`LogError::Io`] with the name of the file. If saving failed, the older
/// snapshots still exist.
pub fn save_snapshot(folder: &impl Folder, snapshot: &Snapshot) -> Result<(), LogError> {
    let header = (snapshot.term, &snapshot.metadata);
    let mut payload = postcard::to_stdvec(&header).map_err(LogError::Encode)?;
    payload.extend_from_slice(&snapshot.data);
    let file = name(snapshot.index);
    write_atomic(folder, &file, snapshot.index.0, &payload)?;
    for old in list(folder)?.into_iter().filter(|old| *old < file) {
        remove(folder, &old)?;
    }
    Ok(())
}

/// File names of the snapshots, oldest first.
pub(crate) fn list(folder: &impl Folder) -> Result<Vec<Box<str>>, LogError> {
    let mut names = folder.list().map_err(LogError::io("folder"))?;
    names.retain(|name| name.starts_with(PREFIX) && !name.ends_with(TEMP_SUFFIX));
    names.sort_unstable();
    Ok(names)
}

/// Reads the snapshot in a file.
pub(crate) fn read(folder: &impl Folder, file: &str) -> Result<Snapshot, LogError> {
    let (index, payload) = read_checked(folder, file)?;
    let corrupt = |reason: &str| LogError::Corrupt {
        file: file.into(),
        offset: 0,
        reason: reason.into(),
    };
    let (header, data): ((Epoch, Box<[u8]>), &[u8]) =
        postcard::take_from_bytes(&payload).map_err(|_| corrupt("the header can't be decoded"))?;
    let index = LogIndex(index);
    if *name(index) != *file {
        return Err(corrupt(
            "the file name differs from the index in the content",
        ));
    }
    Ok(Snapshot {
        index,
        term: header.0,
        metadata: header.1,
        data: data.into(),
    })
}

/// Removes temporary files left by a crash and reads the newest snapshot.
///
/// A corrupt snapshot is an error, because the entries that it covers may
/// already have been removed.
pub(crate) fn recover(folder: &impl Folder) -> Result<Option<Snapshot>, LogError> {
    let names = folder.list().map_err(LogError::io("folder"))?;
    for temp in names.iter().filter(|name| name.ends_with(TEMP_SUFFIX)) {
        remove(folder, temp)?;
    }
    read_newest_snapshot(folder)
}

/// Reads the newest snapshot; `None` if there is none.
///
/// # Errors
///
/// [`LogError::Corrupt`] if the snapshot fails its checks.
pub fn read_newest_snapshot(folder: &impl Folder) -> Result<Option<Snapshot>, LogError> {
    match list(folder)?.last() {
        Some(newest) => read(folder, newest).map(Some),
        None => Ok(None),
    }
}
