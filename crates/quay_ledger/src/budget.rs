//! Token budget of one program.

use {
    quay_types::Tokens,
    serde::{Deserialize, Serialize},
};

/// Tokens of a program: its limit, what was used and what is set aside.
///
/// `used + reserved <= limit` at all times, so no order of reservations and
/// charges can exceed the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Most tokens that may ever be used.
    limit: u64,
    /// Tokens used by ended attempts and returned grants.
    used: u64,
    /// Tokens set aside for open or lost attempts and for grants to sub-agents.
    reserved: u64,
}

impl Budget {
    /// A budget of which nothing is used.
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

    /// Tokens set aside.
    #[must_use]
    pub const fn reserved(&self) -> Tokens {
        Tokens(self.reserved)
    }

    /// Limit of the budget.
    #[must_use]
    pub const fn limit(&self) -> Tokens {
        Tokens(self.limit)
    }

    /// Tokens that can still be reserved.
    #[must_use]
    pub const fn free(&self) -> u64 {
        self.limit - self.used - self.reserved
    }

    /// Sets tokens aside; `false` changes nothing.
    #[must_use]
    pub fn reserve(&mut self, tokens: Tokens) -> bool {
        if tokens.0 > self.free() {
            return false;
        }
        self.reserved += tokens.0;
        self.assert_invariant();
        true
    }

    /// Gives a reservation back and charges what was used of it.
    ///
    /// An upstream that counts more than was reserved is charged to what is
    /// left of the budget and never beyond it.
    pub fn charge(&mut self, reservation: Tokens, used: Tokens) {
        assert!(
            reservation.0 <= self.reserved,
            "a reservation is given back once"
        );
        self.reserved -= reservation.0;
        self.used += used.0.min(self.free());
        self.assert_invariant();
    }

    /// Lowers the limit to what is used and set aside; the tokens set free.
    #[must_use]
    pub fn shrink(&mut self) -> Tokens {
        let free = self.free();
        self.limit -= free;
        self.assert_invariant();
        Tokens(free)
    }

    /// Asserts the invariant.
    fn assert_invariant(&self) {
        let held = self.used.checked_add(self.reserved);
        assert!(
            held.is_some_and(|held| held <= self.limit),
            "budget exceeded: {self:?}"
        );
    }
}
