//! Quorum decisions of a gateway front over the replies of stores.

use {
    crate::{Charge, ChargeSet, StoreView},
    indexmap::{IndexMap, IndexSet},
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
/// write quorums intersect. A joining member counts like a whole one once it holds all
/// charges, even if it still copies turns.
#[derive(Debug)]
pub struct ChargeTally {
    write: WriteTally,
    /// Members that are whole in the view.
    whole: IndexSet<u64>,
    /// Members that hold all earlier charges, or may turn out to do so.
    candidates: IndexSet<u64>,
    /// Members that replied and hold all earlier charges.
    complete_replies: IndexSet<u64>,
    read_quorum: usize,
    /// Charges of all members that replied.
    book: ChargeSet,
    /// Charges that each member that synced the reservation holds.
    held: IndexMap<u64, ChargeSet>,
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
            whole: whole.map(|it| it.identity).collect(),
            candidates: view.members.iter().map(|it| it.identity).collect(),
            complete_replies: IndexSet::new(),
            read_quorum: view.read_quorum(),
            book,
            held: IndexMap::new(),
            own,
            budget,
        }
    }

    /// Records that a member has synced the reservation, with all charges of
    /// the program that the member holds. `all_copied` tells whether a member that is
    /// joining holds every charge that was acknowledged before it joined.
    pub fn synced(
        &mut self,
        identity: u64,
        charges: impl IntoIterator<Item = Charge>,
        all_copied: bool,
    ) {
        let held = self.held.entry(identity).or_default();
        held.merge(self.own);
        for charge in charges {
            self.book.merge(charge);
            held.merge(charge);
        }
        self.write.synced(identity);
        if all_copied || self.whole.contains(&identity) {
            self.complete_replies.insert(identity);
        } else {
            self.candidates.shift_remove(&identity);
        }
    }

    /// Records that a member did not reply or refused the request.
    pub fn failed(&mut self, identity: u64) {
        self.write.failed(identity);
        self.candidates.shift_remove(&identity);
    }

    /// Charges that members lack which synced the reservation, by member. A store drops
    /// the charges of a program some time after the latest one that it got. So the
    /// members that have the latest one must have all others as well: any quorum of the
    /// next reservation then contains a member that still holds them.
    #[must_use]
    pub fn lacking(&self) -> Vec<(u64, Vec<Charge>)> {
        let lacking = self.held.iter().map(|(identity, held)| {
            let all = self.book.charges();
            (*identity, all.filter(|it| !held.covers(it)).collect())
        });
        lacking
            .filter(|(_, charges): &(u64, Vec<Charge>)| !charges.is_empty())
            .collect()
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
        if self.write.verdict() == WriteVerdict::Failed || self.candidates.len() < self.read_quorum
        {
            return ChargeVerdict::Undetermined;
        }
        if self.write.verdict() == WriteVerdict::Durable && self.prior_charges_seen() {
            ChargeVerdict::Covered { others }
        } else {
            ChargeVerdict::Pending
        }
    }

    /// Whether enough members that hold all earlier charges have replied, so that every
    /// charge acknowledged earlier has been seen.
    fn prior_charges_seen(&self) -> bool {
        self.complete_replies.len() >= self.read_quorum
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
