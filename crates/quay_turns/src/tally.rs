//! What a front makes of the answers of stores.

use {
    crate::{Charge, ChargeSet, StoreView},
    indexmap::IndexSet,
    quay_types::{AttemptTag, Tokens},
};

/// How a write stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteVerdict {
    /// More answers are needed.
    Pending,
    /// A write quorum has synced it.
    Durable,
    /// Too few members are left that could sync it.
    Failed,
}

/// Counts the members that have synced a write.
#[derive(Debug)]
pub struct WriteTally {
    members: usize,
    needed: usize,
    synced: IndexSet<u64>,
    failed: IndexSet<u64>,
}

impl WriteTally {
    /// A write to the members of a view.
    #[must_use]
    pub fn new(view: &StoreView) -> Self {
        Self {
            members: view.members.len(),
            needed: view.write_quorum(),
            synced: IndexSet::new(),
            failed: IndexSet::new(),
        }
    }

    /// A member has synced the write.
    pub fn synced(&mut self, identity: u64) {
        self.synced.insert(identity);
    }

    /// A member did not answer, or refused.
    pub fn failed(&mut self, identity: u64) {
        self.failed.insert(identity);
    }

    /// How the write stands.
    #[must_use]
    pub fn verdict(&self) -> WriteVerdict {
        if self.members > 0 && self.synced.len() >= self.needed {
            WriteVerdict::Durable
        } else if self.members - self.failed.len() < self.needed || self.members == 0 {
            WriteVerdict::Failed
        } else {
            WriteVerdict::Pending
        }
    }
}

/// How a reservation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeVerdict {
    /// More answers are needed.
    Pending,
    /// The reservation is durable and the budget covers it.
    Covered,
    /// The budget does not cover it.
    Spent {
        /// Tokens charged to other attempts.
        others: Tokens,
    },
    /// Too few members have answered to be sure.
    Undetermined,
}

/// Counts the answers to a reservation.
///
/// Of two reservations that are made at the same time at least one sees the
/// other, since the quorums in which they were written meet.
#[derive(Debug)]
pub struct ChargeTally {
    write: WriteTally,
    whole: IndexSet<u64>,
    whole_members: IndexSet<u64>,
    needed_whole: usize,
    book: ChargeSet,
    own: Charge,
    budget: Tokens,
}

impl ChargeTally {
    /// A reservation `own` against a budget.
    #[must_use]
    pub fn new(view: &StoreView, own: Charge, budget: Tokens) -> Self {
        let whole = view.members.iter().filter(|it| it.whole);
        let mut book = ChargeSet::default();
        book.merge(own);
        Self {
            write: WriteTally::new(view),
            whole: IndexSet::new(),
            whole_members: whole.map(|it| it.identity).collect(),
            needed_whole: view.read_quorum(),
            book,
            own,
            budget,
        }
    }

    /// A member has synced the reservation and tells all charges it holds.
    pub fn synced(&mut self, identity: u64, charges: impl IntoIterator<Item = Charge>) {
        for charge in charges {
            self.book.merge(charge);
        }
        self.write.synced(identity);
        if self.whole_members.contains(&identity) {
            self.whole.insert(identity);
        }
    }

    /// A member did not answer, or refused.
    pub fn failed(&mut self, identity: u64) {
        self.write.failed(identity);
        self.whole_members.shift_remove(&identity);
    }

    /// The attempt that reserves.
    #[must_use]
    pub const fn attempt(&self) -> AttemptTag {
        self.own.attempt
    }

    /// How the reservation stands.
    #[must_use]
    pub fn verdict(&self) -> ChargeVerdict {
        let others = self.book.total_excluding(self.own.attempt);
        // Charges only add up: what some members know is a lower bound.
        if others.0 + self.own.tokens.0 > self.budget.0 && self.seen() {
            return ChargeVerdict::Spent { others };
        }
        if self.write.verdict() == WriteVerdict::Failed
            || self.whole_members.len() < self.needed_whole
        {
            return ChargeVerdict::Undetermined;
        }
        if self.write.verdict() == WriteVerdict::Durable && self.seen() {
            ChargeVerdict::Covered
        } else {
            ChargeVerdict::Pending
        }
    }

    /// Whether every charge that was made before has been seen.
    fn seen(&self) -> bool {
        self.whole.len() >= self.needed_whole
    }
}

/// What is known of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupVerdict {
    /// More answers are needed.
    Pending,
    /// No member has it, and none may.
    Absent,
    /// Too few members have answered to be sure.
    Undetermined,
}

/// Counts the members that do not hold a turn.
#[derive(Debug)]
pub struct LookupTally {
    needed: usize,
    candidates: IndexSet<u64>,
    not_found: IndexSet<u64>,
    waiting: IndexSet<u64>,
}

impl LookupTally {
    /// A question to every member of a view.
    #[must_use]
    pub fn new(view: &StoreView) -> Self {
        let whole = view.members.iter().filter(|it| it.whole);
        Self {
            needed: view.read_quorum(),
            candidates: whole.map(|it| it.identity).collect(),
            not_found: IndexSet::new(),
            waiting: view.members.iter().map(|it| it.identity).collect(),
        }
    }

    /// A member does not hold it.
    pub fn not_found(&mut self, identity: u64) {
        self.waiting.shift_remove(&identity);
        if self.candidates.contains(&identity) {
            self.not_found.insert(identity);
        }
    }

    /// A member did not answer, or refused.
    pub fn failed(&mut self, identity: u64) {
        self.waiting.shift_remove(&identity);
    }

    /// What is known.
    #[must_use]
    pub fn verdict(&self) -> LookupVerdict {
        if !self.waiting.is_empty() {
            LookupVerdict::Pending
        } else if self.needed > 0 && self.not_found.len() >= self.needed {
            LookupVerdict::Absent
        } else {
            LookupVerdict::Undetermined
        }
    }
}
