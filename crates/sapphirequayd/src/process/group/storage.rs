//! Data folder of a replica: identity, log and snapshots.

use {
    quay_log::{
        DiskFolder, Folder as _, Log, LogEntry, LogError, LogSettings, Recovered, Snapshot,
        read_checked, read_newest_snapshot, save_snapshot, write_atomic,
    },
    quay_quorum::{Entry, HardState, Membership, PersistedState, Position, SnapshotMeta},
    quay_types::{LogIndex, NodeId},
};

/// Name of the file that holds the identity of a host.
const IDENTITY: &str = "identity";

/// Reads the identity of a data folder; `None` if the folder is new.
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

/// Identity, from a random number, of a host that did not bootstrap its groups.
/// The highest bit is set: identities in settings are far smaller.
pub const fn random_node_id(random: u64) -> NodeId {
    NodeId(random | 1 << 63)
}

/// Writes the identity of a new data folder.
pub fn write_identity(folder: &DiskFolder, node: NodeId) -> Result<(), LogError> {
    write_atomic(folder, IDENTITY, node.0, &[])
}

/// Converts a snapshot to its stored form.
pub fn encode_snapshot(meta: &SnapshotMeta, data: Box<[u8]>) -> Result<Snapshot, LogError> {
    let members = postcard::to_stdvec(&meta.members).map_err(LogError::Encode)?;
    Ok(Snapshot {
        index: meta.position.index,
        term: meta.position.term,
        metadata: members.into(),
        data,
    })
}

/// Decodes the metadata of a stored snapshot.
fn decode_meta(snapshot: &Snapshot) -> Result<SnapshotMeta, LogError> {
    let members: Membership = postcard::from_bytes(&snapshot.metadata).map_err(LogError::Encode)?;
    let position = Position {
        term: snapshot.term,
        index: snapshot.index,
    };
    Ok(SnapshotMeta { position, members })
}

/// A snapshot read from a data folder.
#[derive(Debug)]
pub struct StoredSnapshot {
    /// Log position and members at the snapshot.
    pub meta: SnapshotMeta,
    /// The encoded state.
    pub data: Box<[u8]>,
}

/// Reads the newest snapshot of a folder.
pub fn latest_snapshot(folder: &DiskFolder) -> Result<Option<StoredSnapshot>, LogError> {
    match read_newest_snapshot(folder)? {
        Some(snapshot) => Ok(Some(StoredSnapshot {
            meta: decode_meta(&snapshot)?,
            data: snapshot.data,
        })),
        None => Ok(None),
    }
}

/// Initial members and state of a new group.
#[derive(Debug)]
pub struct InitialState {
    /// Initial members.
    pub members: Membership,
    /// The encoded state before any command.
    pub state: Box<[u8]>,
}

/// An opened log with what was recovered from it.
#[derive(Debug)]
pub struct OpenedLog {
    /// The log, open for writing.
    pub log: Log<DiskFolder>,
    /// Persisted state from which the replica restarts.
    pub restart: PersistedState,
    /// Encoded state of the snapshot, if there is one.
    pub state: Option<Box<[u8]>>,
}

impl OpenedLog {
    /// Index of the last entry, or of the snapshot if the log is empty.
    pub fn last_index(&self) -> LogIndex {
        let last = self.restart.entries.last().map(Entry::index);
        last.unwrap_or(self.restart.meta.position.index)
    }
}

/// Opens the log of a replica. A new log starts with `initial`, or without
/// members if `initial` is `None`, as on a host that is to be added as a learner.
pub fn open(folder: &DiskFolder, initial: Option<InitialState>) -> Result<OpenedLog, LogError> {
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
    if let (true, Some(initial)) = (new, initial) {
        let meta = SnapshotMeta {
            position: Position::default(),
            members: initial.members,
        };
        let snapshot = encode_snapshot(&meta, initial.state)?;
        save_snapshot(folder, &snapshot)?;
        recovered.snapshot = Some(snapshot);
    }
    let meta = match &recovered.snapshot {
        Some(snapshot) => decode_meta(snapshot)?,
        None => SnapshotMeta::default(),
    };
    Ok(OpenedLog {
        log,
        restart: persisted_state(&recovered, meta)?,
        state: recovered.snapshot.map(|snapshot| snapshot.data),
    })
}

/// Persisted state from a recovered log and the metadata of its snapshot.
fn persisted_state(recovered: &Recovered, meta: SnapshotMeta) -> Result<PersistedState, LogError> {
    let entries: Result<Vec<Entry>, LogError> =
        recovered.entries.iter().map(decode_entry).collect();
    Ok(PersistedState {
        hard_state: HardState {
            term: recovered.hard_state.term,
            vote: recovered.hard_state.vote,
        },
        meta,
        entries: entries?,
    })
}

/// Decodes a stored entry.
fn decode_entry(stored: &LogEntry) -> Result<Entry, LogError> {
    Ok(Entry {
        position: Position {
            term: stored.term,
            index: stored.index,
        },
        payload: postcard::from_bytes(&stored.body).map_err(LogError::Encode)?,
    })
}
