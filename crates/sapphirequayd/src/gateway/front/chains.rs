//! Conversations that this front has seen, as the next turn needs them.

use {bytes::Bytes, indexmap::IndexMap, quay_types::TurnId};

/// Conversations up to a turn; those used longest ago are dropped first.
#[derive(Debug)]
pub struct Chains {
    max_bytes: usize,
    bytes: usize,
    held: IndexMap<TurnId, Bytes>,
}

impl Chains {
    /// A cache of at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            held: IndexMap::new(),
        }
    }

    /// The conversation up to a turn.
    pub fn get(&mut self, turn: TurnId) -> Option<Bytes> {
        let place = self.held.get_index_of(&turn)?;
        let last = self.held.len() - 1;
        self.held.move_index(place, last);
        self.held.get(&turn).cloned()
    }

    /// Takes a conversation up to a turn.
    pub fn put(&mut self, turn: TurnId, conversation: Bytes) {
        self.bytes += conversation.len();
        if let Some(old) = self.held.insert(turn, conversation) {
            self.bytes -= old.len();
        }
        while self.bytes > self.max_bytes {
            let Some((_, old)) = self.held.shift_remove_index(0) else {
                return;
            };
            self.bytes -= old.len();
        }
    }
}
