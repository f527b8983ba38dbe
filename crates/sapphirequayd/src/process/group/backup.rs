//! Backs up the groups of a data folder and restores groups from a backup.

use {
    super::storage,
    quay_log::{
        DiskFolder, Folder as _, HardState, Log, LogError, LogSettings, Record, TEMP_SUFFIX,
        save_snapshot,
    },
    quay_quorum::{Entry, Member, Membership, Payload, SnapshotMeta},
    quay_types::{LogIndex, NodeId},
    rand::Rng as _,
    std::{
        fmt, fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Number of entries per frame when a log is restored.
const RESTORE_BATCH: usize = 1_024;

/// Why a backup or restore failed.
#[derive(Debug)]
pub enum BackupError {
    /// A folder or file could not be read or written.
    Io(PathBuf, io::Error),
    /// The log of a group could not be read or written.
    Log(PathBuf, LogError),
    /// The target folder exists already.
    Exists(PathBuf),
}

impl fmt::Display for BackupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Log(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Exists(path) => write!(f, "{}: target folder already exists", path.display()),
        }
    }
}

impl std::error::Error for BackupError {}

impl BackupError {
    fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |err| Self::Io(path, err)
    }

    fn log(path: &Path) -> impl FnOnce(LogError) -> Self {
        let path = path.into();
        move |err| Self::Log(path, err)
    }
}

/// Summary of the backup of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupBackup {
    /// Name of the group's folder.
    pub name: Box<str>,
    /// Index of the last entry in the backup.
    pub last: LogIndex,
}

/// Backs up every group of a data folder, while its host may be running. The
/// identity file is not copied, since a backup must not act as the same host.
///
/// # Errors
///
/// If a file can't be copied, `to` exists, or the backup can't be opened.
pub fn backup(from: &Path, to: &Path) -> Result<Vec<GroupBackup>, BackupError> {
    let mut copies = Vec::new();
    create_new_folder(to)?;
    for name in group_names(from)? {
        let (source, target) = (from.join(&*name), to.join(&*name));
        create_new_folder(&target)?;
        copy_segments(&source, &target)?;
        // Snapshots are copied after the segments, so that they cover entries
        // that were compacted in the meantime.
        copy_files(&source, &target, "snapshot-")?;
        let last = open_log(&target)?.last_index();
        copies.push(GroupBackup { name, last });
    }
    Ok(copies)
}

/// Restores the groups of a backup, each with a single member: a new host at
/// `addr` with a random identity. Every entry of the backup counts as
/// committed.
///
/// # Errors
///
/// If the backup can't be used or `to` exists.
pub fn restore(
    from: &Path,
    to: &Path,
    addr: SocketAddr,
    data_centre: &str,
) -> Result<NodeId, BackupError> {
    let node = storage::random_node_id(rand::rng().next_u64());
    let members = Membership::from_voters([Member::new(node, addr, data_centre)]);
    create_new_folder(to)?;
    for name in group_names(from)? {
        restore_group(&from.join(&*name), &to.join(&*name), &members)?;
    }
    let folder = DiskFolder::open(to).map_err(BackupError::io(to))?;
    storage::write_identity(&folder, node).map_err(BackupError::log(to))?;
    Ok(node)
}

/// Creates a folder, which must not exist yet.
fn create_new_folder(path: &Path) -> Result<(), BackupError> {
    if path.exists() {
        return Err(BackupError::Exists(path.into()));
    }
    DiskFolder::create(path).map_err(BackupError::io(path))?;
    Ok(())
}

/// Names of the group folders in a data folder, sorted.
fn group_names(dir: &Path) -> Result<Vec<Box<str>>, BackupError> {
    let mut names: Vec<Box<str>> = Vec::new();
    for entry in fs::read_dir(dir).map_err(BackupError::io(dir))? {
        let entry = entry.map_err(BackupError::io(dir))?;
        if entry.path().is_dir() {
            names.push(entry.file_name().to_string_lossy().into());
        }
    }
    names.sort_unstable();
    Ok(names)
}

/// Copies the log segments, oldest first. A segment that disappears meanwhile
/// was covered by a snapshot, and so were all earlier ones: their copies are
/// removed.
fn copy_segments(from: &Path, to: &Path) -> Result<(), BackupError> {
    let folder = DiskFolder::open(from).map_err(BackupError::io(from))?;
    let names = folder.list().map_err(BackupError::io(from))?;
    let mut copied: Vec<PathBuf> = Vec::new();
    for name in names.iter().filter(|name| name.starts_with("segment-")) {
        let target = to.join(&**name);
        match fs::copy(from.join(&**name), &target) {
            Ok(_) => copied.push(target),
            Err(err) if err.kind() == io::ErrorKind::NotFound => {
                for old in copied.drain(..) {
                    fs::remove_file(&old).map_err(BackupError::io(&old))?;
                }
            }
            Err(err) => return Err(BackupError::Io(target, err)),
        }
    }
    Ok(())
}

/// Copies the files whose names start with `prefix`, except temporary files that
/// are still being written.
fn copy_files(from: &Path, to: &Path, prefix: &str) -> Result<(), BackupError> {
    let folder = DiskFolder::open(from).map_err(BackupError::io(from))?;
    let names = folder.list().map_err(BackupError::io(from))?;
    let complete = |name: &str| name.starts_with(prefix) && !name.ends_with(TEMP_SUFFIX);
    for name in names.iter().filter(|name| complete(name)) {
        let target = to.join(&**name);
        match fs::copy(from.join(&**name), &target) {
            // A newer file has replaced this one.
            Err(err) if err.kind() == io::ErrorKind::NotFound => {}
            copied => drop(copied.map_err(BackupError::io(&target))?),
        }
    }
    Ok(())
}

/// Opens the log of a group's folder.
fn open_log(path: &Path) -> Result<storage::OpenedLog, BackupError> {
    let folder = DiskFolder::open(path).map_err(BackupError::io(path))?;
    storage::open(&folder, None).map_err(BackupError::log(path))
}

/// Writes a group with the state and entries of a backup and with new members.
fn restore_group(from: &Path, to: &Path, members: &Membership) -> Result<(), BackupError> {
    let opened = open_log(from)?;
    create_new_folder(to)?;
    let folder = DiskFolder::open(to).map_err(BackupError::io(to))?;
    let meta = SnapshotMeta {
        position: opened.restart.meta.position,
        members: members.clone(),
    };
    let write = || {
        if let Some(state) = opened.state {
            save_snapshot(&folder, &storage::encode_snapshot(&meta, state)?)?;
        }
        let (mut log, _) = Log::open(folder.clone(), LogSettings::default())?;
        let term = opened.restart.hard_state.term;
        log.append(&[Record::HardState(HardState { term, vote: None })])?;
        for entries in opened.restart.entries.chunks(RESTORE_BATCH) {
            let records: Result<Vec<Record>, LogError> =
                entries.iter().map(without_members).collect();
            log.append(&records?)?;
        }
        Ok(())
    };
    write().map_err(BackupError::log(to))
}

/// Encodes an entry as a log record. Membership changes become empty entries, so
/// that they don't replace the new members.
fn without_members(entry: &Entry) -> Result<Record, LogError> {
    let payload = match &entry.payload {
        Payload::Members(_) => &Payload::Empty,
        other => other,
    };
    Ok(Record::Entry {
        index: entry.position.index,
        term: entry.position.term,
        body: postcard::to_stdvec(payload)
            .map_err(LogError::Encode)?
            .into(),
    })
}
