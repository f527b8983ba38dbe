//! Token budget of one program.

use {
    quay_types::Tokens,
    serde::{Deserialize, Serialize},
};

/// Token budget of a program: limit, tokens used and tokens reserved.
///
/// `used + reserved <= limit` holds at all times, so no order of reservations
/// and charges can exceed the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Maximum number of tokens that the program may use.
    limit: u64,
    /// Tokens used by ended attempts and by sub-agents whose grants were
    /// returned.
    used: u64,
    /// Tokens reserved for open or lost attempts and for grants to sub-agents.
    reserved: u64,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub const fn new(limit: Tokens) -> Self {
        Self {
            limit: limit.0,
            used: 0,
            reserved: 0,
        }
    }

    /// Tokens used.
    #[must_use]
    pub const fn used(&self) -> Tokens {
        Tokens(self.used)
    }

    /// Tokens reserved.
    #[must_use]
    pub const fn reserved(&self) -> Tokens {
        Tokens(self.reserved)
    }

    /// Maximum number of tokens.
    #[must_use]
    pub const fn limit(&self) -> Tokens {
        Tokens(self.limit)
    }

    /// Tokens that can still be reserved.
    #[must_use]
    pub const fn free(&self) -> u64 {
        self.limit - self.used - self.reserved
    }

    /// Reserves tokens. Returns `false` and changes nothing if the budget does
    /// not cover them.
    #[must_use]
    pub fn reserve(&mut self, tokens: Tokens) -> bool {
        if tokens.0 > self.free() {
            return false;
        }
        self.reserved += tokens.0;
        self.assert_invariant();
        true
    }

    /// Releases a reservation and charges the tokens that were used.
    ///
    /// If an upstream counts more tokens than were reserved, the excess is
    /// charged up to the limit of the budget and not beyond.
    pub fn charge(&mut self, reservation: Tokens, used: Tokens) {
        assert!(
            reservation.0 <= self.reserved,
            "released more tokens than are reserved"
        );
        self.reserved -= reservation.0;
        self.used += used.0.min(self.free());
        self.assert_invariant();
    }

    /// Lowers the limit to the tokens used and reserved. Returns the number of
    /// tokens by which the limit was lowered.
    #[must_use]
    pub fn shrink(&mut self) -> Tokens {
        let free = self.free();
        self.limit -= free;
        self.assert_invariant();
        Tokens(free)
    }

    /// Asserts that `used + reserved <= limit`.
    fn assert_invariant(&self) {
        let held = self.used.checked_add(self.reserved);
        assert!(
            held.is_some_and(|held| held <= self.limit),
            "budget exceeded: {self:?}"
        );
    }
}
