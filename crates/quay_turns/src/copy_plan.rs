//! Order in which a joining store copies turns from the other members of its group.

use {
    indexmap::{IndexMap, IndexSet},
    quay_types::TurnId,
    serde::{Deserialize, Serialize},
};

/// A turn that a source holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTurn {
    /// Identity of the turn.
    pub id: TurnId,
    /// Size of its record in bytes; 0 if unknown.
    pub bytes: u32,
}

/// Limits of one request for turns.
#[derive(Debug, Clone, Copy)]
pub struct BatchLimits {
    /// Maximum number of turns.
    pub turns: usize,
    /// Maximum size of the turns in bytes, unless one turn alone is larger.
    pub bytes: u64,
}

/// What a joining store does next with a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyStep {
    /// Request these turns from the source.
    Fetch(Vec<TurnId>),
    /// Wait: all that the source could give is being requested from other sources.
    Wait,
    /// The store holds every turn that the source listed.
    Done,
}

/// Selects the turns that a joining store requests next from each source.
///
/// Turns that one source alone listed come first, since the loss of that source would
/// lose them, and small ones before large ones: what a second loss during the copy takes
/// is then as few turns as possible.
#[derive(Debug, Default)]
pub struct CopyPlan {
    /// Turns that each source listed and that were not requested from it, the next one
    /// last.
    sources: IndexMap<u64, Vec<ListedTurn>>,
    /// Number of sources that listed a turn.
    copies: IndexMap<TurnId, u32>,
    /// Turns that are requested from some source.
    requested: IndexSet<TurnId>,
}

impl CopyPlan {
    /// Sets the turns that a source holds. They replace what the source listed before.
    pub fn set_list(&mut self, source: u64, turns: Vec<ListedTurn>) {
        self.sources.insert(source, turns);
        self.copies.clear();
        for turn in self.sources.values().flatten() {
            *self.copies.entry(turn.id).or_default() += 1;
        }
        for turns in self.sources.values_mut() {
            turns.sort_by_key(|turn| std::cmp::Reverse((self.copies[&turn.id], turn.bytes)));
        }
    }

    /// The next step for a source. `held` tells which turns the store holds.
    pub fn next(
        &mut self,
        source: u64,
        limits: BatchLimits,
        held: impl Fn(TurnId) -> bool,
    ) -> CopyStep {
        let Some(turns) = self.sources.get_mut(&source) else {
            return CopyStep::Done;
        };
        let (mut batch, mut bytes) = (Vec::new(), 0);
        let mut elsewhere = Vec::new();
        while batch.len() < limits.turns
            && let Some(turn) = turns.pop()
        {
            if held(turn.id) {
                continue;
            }
            if self.requested.contains(&turn.id) {
                elsewhere.push(turn);
                continue;
            }
            bytes += u64::from(turn.bytes);
            if bytes > limits.bytes && !batch.is_empty() {
                turns.push(turn);
                break;
            }
            batch.push(turn.id);
        }
        let waits = !elsewhere.is_empty();
        turns.extend(elsewhere.into_iter().rev());
        if !batch.is_empty() {
            self.requested.extend(&batch);
            CopyStep::Fetch(batch)
        } else if waits {
            CopyStep::Wait
        } else {
            CopyStep::Done
        }
    }

    /// Records that a request for turns has ended. Those that did not arrive are
    /// requested from other sources that listed them.
    pub fn end_request(&mut self, turns: &[TurnId]) {
        self.requested.retain(|id| !turns.contains(id));
    }
}
