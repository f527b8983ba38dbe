//! What a log holds.

use {
    crate::LogError,
    quay_types::{Epoch, LogIndex, NodeId},
    serde::{Deserialize, Serialize},
};

/// Term and vote of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: Epoch,
    /// Whom it voted for in that term.
    pub vote: Option<NodeId>,
}

/// One entry of a replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Its index.
    pub index: LogIndex,
    /// Its term.
    pub term: Epoch,
    /// What it carries, encoded by the user of the log.
    pub body: Box<[u8]>,
}

/// One record. Later records win over earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Term and vote.
    HardState(HardState),
    /// An entry; it replaces those that were saved from its index on.
    Entry {
        /// Its index.
        index: LogIndex,
        /// Its term.
        term: Epoch,
        /// What it carries.
        #[serde(with = "quay_types::bytes")]
        body: Box<[u8]>,
    },
    /// Every entry is dropped, because a snapshot has replaced them.
    Reset,
}

impl Record {
    /// Index of an entry.
    pub(crate) const fn index(&self) -> Option<LogIndex> {
        match self {
            Self::Entry { index, .. } => Some(*index),
            Self::HardState(_) | Self::Reset => None,
        }
    }
}

/// Adds encoded records to a frame.
pub(crate) fn encode<'a>(
    mut buf: Vec<u8>,
    records: impl IntoIterator<Item = &'a Record>,
) -> Result<Vec<u8>, LogError> {
    for record in records {
        buf = postcard::to_extend(record, buf).map_err(LogError::Encode)?;
    }
    Ok(buf)
}

/// Reads the records of a payload; `None` if it holds anything else.
pub(crate) fn decode(mut payload: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let (record, rest) = postcard::take_from_bytes(payload).ok()?;
        records.push(record);
        payload = rest;
    }
    Some(records)
}
