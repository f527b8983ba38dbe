//! Records of the log.

use {
    crate::LogError,
    quay_types::{Epoch, LogIndex, NodeId},
    serde::{Deserialize, Serialize},
};

/// Persistent election state of a replica: its latest term and its vote.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: Epoch,
    /// Replica that received the vote in that term, if any.
    pub vote: Option<NodeId>,
}

/// One entry of a replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term in which the entry was proposed.
    pub term: Epoch,
    /// Payload, encoded by the caller.
    pub body: Box<[u8]>,
}

/// One record. Later records override earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Latest term and vote.
    HardState(HardState),
    /// An entry; it replaces all earlier entries with this or a higher index.
    Entry {
        /// Index of the entry.
        index: LogIndex,
        /// Term in which the entry was proposed.
        term: Epoch,
        /// Payload, encoded by the caller.
        #[serde(with = "quay_types::bytes")]
        body: Box<[u8]>,
    },
    /// Discards all earlier entries, because a snapshot replaces them.
    Reset,
}

impl Record {
    /// Index, if the record is an entry.
    pub(crate) const fn index(&self) -> Option<LogIndex> {
        match self {
            Self::Entry { index, .. } => Some(*index),
            Self::HardState(_) | Self::Reset => None,
        }
    }
}

/// Appends encoded records to a frame.
pub(crate) fn encode<'a>(
    mut buf: Vec<u8>,
    records: impl IntoIterator<Item = &'a Record>,
) -> Result<Vec<u8>, LogError> {
    for record in records {
        buf = postcard::to_extend(record, buf).map_err(LogError::Encode)?;
    }
    Ok(buf)
}

/// Decodes the records of a payload; `None` if the payload is malformed.
pub(crate) fn decode(mut payload: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let (record, rest) = postcard::take_from_bytes(payload).ok()?;
        records.push(record);
        payload = rest;
    }
    Some(records)
}
