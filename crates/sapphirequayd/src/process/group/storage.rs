//! What a replica keeps in its folder.

use {
    quay_log::{
        DiskFolder, Folder as _, Log, LogEntry, LogError, LogSettings, Recovered, Snapshot,
        read_checked, read_newest_snapshot, save_snapshot, write_atomic,
    },
    quay_quorum::{Entry, HardState, Membership, PersistedState, Position, SnapshotMeta},
    quay_types::{LogIndex, NodeId},
};

/// File that holds the identity of a host.
const IDENTITY: &str = "identity";

/// Reads the identity of a data folder; `None` if it is new.
pub fn read_identity(folder: &DiskFolder) -> Result<Option<NodeId>, LogError> {
    let names = folder.list().map_err(|err| LogError::Io {
        file: "folder".into(),
        err,
    })?;
    if !names.iter().any(|name| &**name == IDENTITY) {
        return Ok(None);
    }
    let (node, _) = read_checked(folder, IDENTITY)?;
    Ok(Some(NodeId(node)))
}

/// The identity of a host that did not start its groups, from a drawn number.
/// Those that settings name are far smaller.
pub const fn draw_node(drawn: u64) -> NodeId {
    NodeId(drawn | 1 << 63)
}

/// Writes the identity of a new data folder.
pub fn write_identity(folder: &DiskFolder, node: NodeId) -> Result<(), LogError> {
    write_atomic(folder, IDENTITY, node.0, &[])
}

/// The stored form of a snapshot.
pub fn snapshot_of(meta: &SnapshotMeta, data: Box<[u8]>) -> Result<Snapshot, LogError> {
    let head = postcard::to_stdvec(&meta.members).map_err(LogError::Encode)?;
    Ok(Snapshot {
        index: meta.position.index,
        term: meta.position.term,
        metadata: head.into(),
        data,
    })
}

/// What a stored snapshot stands for.
fn meta_of(snapshot: &Snapshot) -> Result<SnapshotMeta, LogError> {
    let members: Membership = postcard::from_bytes(&snapshot.metadata).map_err(LogError::Encode)?;
    let position = Position {
        term: snapshot.term,
        index: snapshot.index,
    };
    Ok(SnapshotMeta { position, members })
}

/// A snapshot that was read.
#[derive(Debug)]
pub struct Stored {
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// The encoded state.
    pub data: Box<[u8]>,
}

/// Reads the newest snapshot of a folder.
pub fn latest_snapshot(folder: &DiskFolder) -> Result<Option<Stored>, LogError> {
    match read_newest_snapshot(folder)? {
        Some(snapshot) => Ok(Some(Stored {
            meta: meta_of(&snapshot)?,
            data: snapshot.data,
        })),
        None => Ok(None),
    }
}

/// What a new group starts with.
#[derive(Debug)]
pub struct First {
    /// Its members.
    pub members: Membership,
    /// The encoded state in which nothing has happened.
    pub state: Box<[u8]>,
}

/// A replica's log as it was opened.
#[derive(Debug)]
pub struct Opened {
    /// The log.
    pub log: Log<DiskFolder>,
    /// What the replica starts from.
    pub restart: PersistedState,
    /// Encoded state of the snapshot, if there is one.
    pub state: Option<Box<[u8]>>,
}

impl Opened {
    /// Last entry of the log.
    pub fn restart_last(&self) -> LogIndex {
        let last = self.restart.entries.last().map(Entry::index);
        last.unwrap_or(self.restart.meta.position.index)
    }
}

/// Opens the log of a replica; a new one starts with `first`, or with no
/// members if it is to be made a learner.
pub fn open(folder: &DiskFolder, first: Option<First>) -> Result<Opened, LogError> {
    let (log, mut recovered) = Log::open(folder.clone(), LogSettings::default())?;
    if let Some(cut) = &recovered.cut {
        log::warn!(
            "event=torn_tail_cut file={} offset={} bytes={}",
            cut.file,
            cut.offset,
            cut.bytes
        );
    }
    let new = recovered.snapshot.is_none() && recovered.entries.is_empty();
    if let (true, Some(first)) = (new, first) {
        let meta = SnapshotMeta {
            position: Position::default(),
            members: first.members,
        };
        let snapshot = snapshot_of(&meta, first.state)?;
        save_snapshot(folder, &snapshot)?;
        recovered.snapshot = Some(snapshot);
    }
    let meta = match &recovered.snapshot {
        Some(snapshot) => meta_of(snapshot)?,
        None => SnapshotMeta::default(),
    };
    Ok(Opened {
        log,
        restart: restart_of(&recovered, meta)?,
        state: recovered.snapshot.map(|snapshot| snapshot.data),
    })
}

/// What a replica starts from.
fn restart_of(recovered: &Recovered, meta: SnapshotMeta) -> Result<PersistedState, LogError> {
    let entries: Result<Vec<Entry>, LogError> = recovered.entries.iter().map(entry_of).collect();
    Ok(PersistedState {
        hard_state: HardState {
            term: recovered.hard_state.term,
            vote: recovered.hard_state.vote,
        },
        meta,
        entries: entries?,
    })
}

/// The entry of a stored one.
fn entry_of(stored: &LogEntry) -> Result<Entry, LogError> {
    Ok(Entry {
        position: Position {
            term: stored.term,
            index: stored.index,
        },
        payload: postcard::from_bytes(&stored.body).map_err(LogError::Encode)?,
    })
}
