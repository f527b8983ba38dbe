//! Quorum decisions of a gateway front over the replies of stores.

use {
    crate::{Charge, ChargeSet, StoreView},
    indexmap::IndexSet,
    quay_types::{AttemptTag, Tokens},
};

/// State of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteVerdict {
    /// More replies are needed.
    Pending,
    /// A write quorum has synced the write.
    Durable,
    /// A write quorum can no longer be reached.
    Failed,
}

/// Counts the members that have synced a write.
#[derive(Debug)]
pub struct WriteTally {
    members: usize,
    write_quorum: usize,
    synced: IndexSet<u64>,
    failed: IndexSet<u64>,
}

impl WriteTally {
    /// Starts counting a write to the members of a view.
    #[must_use]
    pub fn new(view: &StoreView) -> Self {
        Self {
            members: view.members.len(),
            write_quorum: view.write_quorum(),
            synced: IndexSet::new(),
            failed: IndexSet::new(),
        }
    }

    /// Records that a member has synced the write.
    pub fn synced(&mut self, identity: u64) {
        self.synced.insert(identity);
    }

    /// Records that a member did not reply or refused the request.
    pub fn failed(&mut self, identity: u64) {
        self.failed.insert(identity);
    }

    /// State of the write.
    #[must_use]
    pub fn verdict(&self) -> WriteVerdict {
        if self.members > 0 && self.synced.len() >= self.write_quorum {
            WriteVerdict::Durable
        } else if self.members - self.failed.len() < self.write_quorum || self.members == 0 {
            WriteVerdict::Failed
        } else {
            WriteVerdict::Pending
        }
    }
}

/// State of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeVerdict {
    /// More replies are needed.
    Pending,
    /// The reservation is durable and the budget covers it.
    Covered {
        /// Tokens charged to other attempts.
        others: Tokens,
    },
    /// The budget does not cover the reservation.
    Spent {
        /// Tokens charged to other attempts.
        others: Tokens,
    },
    /// Too few members have replied to decide.
    Undetermined,
}

/// Counts the replies to a budget reservation.
///
/// Of two concurrent reservations at least one sees the other, since their
/// write quorums intersect.
#[derive(Debug)]
pub struct ChargeTally {
    write: WriteTally,
    whole_replies: IndexSet<u64>,
    whole_members: IndexSet<u64>,
    read_quorum: usize,
    book: ChargeSet,
    own: Charge,
    budget: Tokens,
}

impl ChargeTally {
    /// Starts counting the reservation `own` against a budget.
    #[must_use]
    pub fn new(view: &StoreView, own: Charge, budget: Tokens) -> Self {
        let whole = view.members.iter().filter(|it| it.whole);
        let mut book = ChargeSet::default();
        book.merge(own);
        Self {
            write: WriteTally::new(view),
            whole_replies: IndexSet::new(),
            whole_members: whole.map(|it| it.identity).collect(),
            read_quorum: view.read_quorum(),
            book,
            own,
            budget,
        }
    }

    /// Records that a member has synced the reservation, with all charges of
    /// the program that the member holds.
    pub fn synced(&mut self, identity: u64, charges: impl IntoIterator<Item = Charge>) {
        for charge in charges {
            self.book.merge(charge);
        }
        self.write.synced(identity);
        if self.whole_members.contains(&identity) {
            self.whole_replies.insert(identity);
        }
    }

    /// Records that a member did not reply or refused the request.
    pub fn failed(&mut self, identity: u64) {
        self.write.failed(identity);
        self.whole_members.shift_remove(&identity);
    }

    /// Attempt that makes the reservation.
    #[must_use]
    pub const fn attempt(&self) -> AttemptTag {
        self.own.attempt
    }

    /// State of the reservation.
    #[must_use]
    pub fn verdict(&self) -> ChargeVerdict {
        let others = self.book.total_excluding(self.own.attempt);
        // Charges of further members can only raise the total, so the charges
        // seen so far are a lower bound.
        if others.0 + self.own.tokens.0 > self.budget.0 && self.prior_charges_seen() {
            return ChargeVerdict::Spent { others };
        }
        if self.write.verdict() == WriteVerdict::Failed
            || self.whole_members.len() < self.read_quorum
        {
            return ChargeVerdict::Undetermined;
        }
        if self.write.verdict() == WriteVerdict::Durable && self.prior_charges_seen() {
            ChargeVerdict::Covered { others }
        } else {
            ChargeVerdict::Pending
        }
    }

    /// Whether enough whole members have replied that every charge acknowledged
    /// earlier has been seen.
    fn prior_charges_seen(&self) -> bool {
        self.whole_replies.len() >= self.read_quorum
    }
}

/// State of the lookup of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupVerdict {
    /// More replies are needed.
    Pending,
    /// A read quorum of whole members does not hold the turn, so the turn was
    /// not acknowledged or has expired.
    Absent,
    /// Too few members have replied to decide.
    Undetermined,
}

/// Counts the members that report that they do not hold a turn.
#[derive(Debug)]
pub struct LookupTally {
    read_quorum: usize,
    candidates: IndexSet<u64>,
    not_found: IndexSet<u64>,
    waiting: IndexSet<u64>,
}

impl LookupTally {
    /// Starts counting a lookup at every member of a view.
    #[must_use]
    pub fn new(view: &StoreView) -> Self {
        let whole = view.members.iter().filter(|it| it.whole);
        Self {
            read_quorum: view.read_quorum(),
            candidates: whole.map(|it| it.identity).collect(),
            not_found: IndexSet::new(),
            waiting: view.members.iter().map(|it| it.identity).collect(),
        }
    }

    /// Records that a member does not hold the turn.
    pub fn not_found(&mut self, identity: u64) {
        self.waiting.shift_remove(&identity);
        if self.candidates.contains(&identity) {
            self.not_found.insert(identity);
        }
    }

    /// Records that a member did not reply or refused the request.
    pub fn failed(&mut self, identity: u64) {
        self.waiting.shift_remove(&identity);
    }

    /// State of the lookup.
    #[must_use]
    pub fn verdict(&self) -> LookupVerdict {
        if !self.waiting.is_empty() {
            LookupVerdict::Pending
        } else if self.read_quorum > 0 && self.not_found.len() >= self.read_quorum {
            LookupVerdict::Absent
        } else {
            LookupVerdict::Undetermined
        }
    }
}
