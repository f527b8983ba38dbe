//! Record that tells callers of another account, or of none, who owns a turn.

use {
    bytes::Bytes,
    quay_policy::TurnOwner,
    quay_turns::TurnRecord,
    quay_types::TurnId,
    serde::{Deserialize, Serialize},
};

/// Record of a turn and its owner. The stores keep it as a turn of its own, whose input it
/// is, so that it is copied and expires as turns are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedTurn {
    /// Id under which the turn is stored.
    pub turn: TurnId,
    /// Owner of the turn.
    pub owner: TurnOwner,
}

impl OwnedTurn {
    /// The record under `id`, to be kept for `retention_s` seconds; `None` if it can't be
    /// encoded.
    #[must_use]
    pub fn record(&self, id: TurnId, retention_s: u32) -> Option<TurnRecord> {
        Some(TurnRecord {
            id,
            prior: None,
            retention_s,
            input: postcard::to_stdvec(self).ok()?.into(),
            output: Bytes::new(),
        })
    }

    /// Reads a record; `None` if it is none.
    #[must_use]
    pub fn read(record: &TurnRecord) -> Option<Self> {
        postcard::from_bytes(&record.input).ok()
    }
}
