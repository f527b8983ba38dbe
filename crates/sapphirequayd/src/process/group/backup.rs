//! Copies the groups of a data folder, and starts groups again from a copy.

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

/// Entries that a restored log takes in one frame.
const RESTORE_BATCH: usize = 1_024;

/// Why a copy could not be made or used.
#[derive(Debug)]
pub enum BackupError {
    /// A folder or file can't be used.
    Io(PathBuf, io::Error),
    /// The log of a group can't be used.
    Log(PathBuf, LogError),
    /// The folder that is to be written exists.
    Exists(PathBuf),
}

impl fmt::Display for BackupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Log(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Exists(path) => write!(f, "{}: it exists already", path.display()),
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

/// What a copy of one group holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupBackup {
    /// Name of the group's folder.
    pub name: Box<str>,
    /// Last entry in it.
    pub last: LogIndex,
}

/// Copies every group of a data folder, whose host may run meanwhile. The
/// identity is left out: a copy is not the host.
///
/// # Errors
///
/// If a file can't be copied or the copy does not open.
pub fn backup(from: &Path, to: &Path) -> Result<Vec<GroupBackup>, BackupError> {
    let mut copies = Vec::new();
    make(to)?;
    for name in group_names(from)? {
        let (source, target) = (from.join(&*name), to.join(&*name));
        make(&target)?;
        copy_segments(&source, &target)?;
        // The snapshot comes last: it covers what was dropped meanwhile.
        copy_named(&source, &target, "snapshot-")?;
        let last = open(&target)?.restart_last();
        copies.push(GroupBackup { name, last });
    }
    Ok(copies)
}

/// Starts the groups of a copy again, each with one member: a new host at
/// `addr`. Its identity is drawn. Every entry of the copy counts as committed.
///
/// # Errors
///
/// If the copy can't be used or `to` exists.
pub fn restore(
    from: &Path,
    to: &Path,
    addr: SocketAddr,
    data_centre: &str,
) -> Result<NodeId, BackupError> {
    let node = storage::draw_node(rand::rng().next_u64());
    let members = Membership::from_voters([Member::new(node, addr, data_centre)]);
    make(to)?;
    for name in group_names(from)? {
        restore_group(&from.join(&*name), &to.join(&*name), &members)?;
    }
    let folder = DiskFolder::open(to).map_err(BackupError::io(to))?;
    storage::write_identity(&folder, node).map_err(BackupError::log(to))?;
    Ok(node)
}

/// Makes a folder that must not exist.
fn make(path: &Path) -> Result<(), BackupError> {
    if path.exists() {
        return Err(BackupError::Exists(path.into()));
    }
    DiskFolder::create(path).map_err(BackupError::io(path))?;
    Ok(())
}

/// Names of the folders of groups, in order.
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

/// Copies the segments, oldest first. One that is gone was covered by a
/// snapshot, and so were those before it.
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

/// Copies files whose names start with `prefix`; those in the making are left
/// out.
fn copy_named(from: &Path, to: &Path, prefix: &str) -> Result<(), BackupError> {
    let folder = DiskFolder::open(from).map_err(BackupError::io(from))?;
    let names = folder.list().map_err(BackupError::io(from))?;
    let whole = |name: &str| name.starts_with(prefix) && !name.ends_with(TEMP_SUFFIX);
    for name in names.iter().filter(|name| whole(name)) {
        let target = to.join(&**name);
        match fs::copy(from.join(&**name), &target) {
            // A newer one has replaced it.
            Err(err) if err.kind() == io::ErrorKind::NotFound => {}
            copied => drop(copied.map_err(BackupError::io(&target))?),
        }
    }
    Ok(())
}

/// Opens the log of a group's folder.
fn open(path: &Path) -> Result<storage::Opened, BackupError> {
    let folder = DiskFolder::open(path).map_err(BackupError::io(path))?;
    storage::open(&folder, None).map_err(BackupError::log(path))
}

/// Writes a group with new members and the state and entries of a copy.
fn restore_group(from: &Path, to: &Path, members: &Membership) -> Result<(), BackupError> {
    let opened = open(from)?;
    make(to)?;
    let folder = DiskFolder::open(to).map_err(BackupError::io(to))?;
    let meta = SnapshotMeta {
        position: opened.restart.meta.position,
        members: members.clone(),
    };
    let write = || {
        if let Some(state) = opened.state {
            save_snapshot(&folder, &storage::snapshot_of(&meta, state)?)?;
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

/// The stored form of an entry; a change of the old members is left empty.
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
