//! What store hosts keep.

use {
    crate::Charge,
    quay_types::{ProgramTag, TurnId},
    serde::{Deserialize, Serialize},
};

/// A turn that was answered whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn.
    pub id: TurnId,
    /// The turn that it continues from.
    pub prior: Option<TurnId>,
    /// Seconds for which it is kept.
    pub retention_s: u32,
    /// New input of the turn.
    #[serde(with = "quay_types::bytes")]
    pub input: Box<[u8]>,
    /// What the turn adds to the prompts of those that continue from it.
    #[serde(with = "quay_types::bytes")]
    pub output: Box<[u8]>,
}

/// One record of a store's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A turn.
    Turn(TurnRecord),
    /// What an attempt may cost or has cost its program.
    Charge(ProgramTag, Charge),
    /// The store has seen this epoch and refuses earlier ones.
    Epoch(u64),
    /// The store takes writes since it joined in this epoch.
    Open(u64),
    /// The store has copied all that it needs since it joined in this epoch.
    Whole(u64),
}
