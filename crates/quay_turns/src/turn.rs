//! Records that store hosts keep.

use {
    crate::Charge,
    bytes::Bytes,
    quay_types::{ProgramTag, TurnId},
    serde::{Deserialize, Serialize},
};

/// A turn whose answer was complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// Identity of the turn.
    pub id: TurnId,
    /// Turn that this turn continues from.
    pub prior: Option<TurnId>,
    /// Retention time in seconds.
    pub retention_s: u32,
    /// New input of the turn.
    pub input: Bytes,
    /// Text that the turn's answer adds to the prompts of later turns.
    pub output: Bytes,
}

/// One record of a store's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A turn.
    Turn(TurnRecord),
    /// A charge of an attempt against its program's budget.
    Charge(ProgramTag, Charge),
    /// The store has seen this epoch and refuses requests of earlier ones.
    Epoch(u64),
    /// The store, which joined in this epoch, accepts writes.
    Open(u64),
    /// The store, which joined in this epoch, has finished copying.
    Whole(u64),
    /// The store, which joined in this epoch, has copied all charges.
    ChargesCopied(u64),
}

impl Record {
    /// Bytes of a turn's input and output; 0 for other records, which are small.
    #[must_use]
    pub fn data_bytes(&self) -> usize {
        match self {
            Self::Turn(turn) => turn.input.len() + turn.output.len(),
            _ => 0,
        }
    }
}
