//! Snapshots: the state after an entry, each in a file of its own.

use {
    crate::{Folder, LogError, atomic_file::TEMP_SUFFIX, read_checked, write_atomic},
    quay_types::{Epoch, LogIndex},
};

/// Start of the names of snapshots.
const PREFIX: &str = "snapshot-";

/// The state after an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Epoch,
    /// What the user of the log keeps beside the state, such as the members.
    pub metadata: Box<[u8]>,
    /// The encoded state.
    pub data: Box<[u8]>,
}

/// Name of the snapshot that covers entries up to `index`.
fn name(index: LogIndex) -> Box<str> {
    format!("{PREFIX}{:016x}", index.0).into()
}

/// Saves a snapshot, then removes older ones.
///
/// # Errors
///
/// [`LogError::Io`] names the file; the older snapshots are still there.
pub fn save_snapshot(folder: &impl Folder, snapshot: &Snapshot) -> Result<(), LogError> {
    let head = (snapshot.term, &snapshot.metadata);
    let mut payload = postcard::to_stdvec(&head).map_err(LogError::Encode)?;
    payload.extend_from_slice(&snapshot.data);
    let kept = name(snapshot.index);
    write_atomic(folder, &kept, snapshot.index.0, &payload)?;
    for old in list(folder)?.into_iter().filter(|old| *old < kept) {
        folder.remove(&old).map_err(LogError::io(&old))?;
    }
    Ok(())
}

/// Names of the snapshots, oldest first.
pub(crate) fn list(folder: &impl Folder) -> Result<Vec<Box<str>>, LogError> {
    let mut names = folder.list().map_err(LogError::io("folder"))?;
    names.retain(|name| name.starts_with(PREFIX) && !name.ends_with(TEMP_SUFFIX));
    names.sort_unstable();
    Ok(names)
}

/// Reads a snapshot.
pub(crate) fn read(folder: &impl Folder, file: &str) -> Result<Snapshot, LogError> {
    let (index, payload) = read_checked(folder, file)?;
    let corrupt = |reason: &str| LogError::Corrupt {
        file: file.into(),
        offset: 0,
        reason: reason.into(),
    };
    let (head, data): ((Epoch, Box<[u8]>), &[u8]) =
        postcard::take_from_bytes(&payload).map_err(|_| corrupt("the head does not decode"))?;
    let index = LogIndex(index);
    if *name(index) != *file {
        return Err(corrupt("the name does not fit the content"));
    }
    Ok(Snapshot {
        index,
        term: head.0,
        metadata: head.1,
        data: data.into(),
    })
}

/// Reads the newest snapshot and removes what a crash left half done.
///
/// A damaged one is an error: the entries that it covers may be gone.
pub(crate) fn recover(folder: &impl Folder) -> Result<Option<Snapshot>, LogError> {
    let names = folder.list().map_err(LogError::io("folder"))?;
    for half in names.iter().filter(|name| name.ends_with(TEMP_SUFFIX)) {
        folder.remove(half).map_err(LogError::io(half))?;
    }
    read_newest_snapshot(folder)
}

/// Reads the newest snapshot.
///
/// # Errors
///
/// [`LogError::Corrupt`] if it is not as it was written.
pub fn read_newest_snapshot(folder: &impl Folder) -> Result<Option<Snapshot>, LogError> {
    match list(folder)?.last() {
        Some(newest) => read(folder, newest).map(Some),
        None => Ok(None),
    }
}
