//! What one store holds, without the bytes.

use {
    crate::{Charge, ChargeSet, Record},
    indexmap::IndexMap,
    quay_types::{ProgramTag, Time, TurnId},
    std::time::Duration,
};

/// Where the bytes of a record are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLocation {
    /// File.
    pub segment: u64,
    /// First byte.
    pub offset: u64,
    /// Bytes.
    pub len: u32,
}

/// How long a store keeps what it holds.
#[derive(Debug, Clone, Copy)]
pub struct StoreIndexSettings {
    /// Time for which charges are kept after the latest of their program.
    pub charge_retention: Duration,
    /// Time added to what a turn asks for, since hosts learn of it at
    /// different times.
    pub retention_margin: Duration,
}

impl Default for StoreIndexSettings {
    fn default() -> Self {
        Self {
            // Longer than any retention in the deployments' tables (60 s).
            charge_retention: Duration::from_mins(2),
            retention_margin: Duration::from_secs(15),
        }
    }
}

/// A request was made under a view that is no longer in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleView {
    /// Epoch that the store has seen.
    pub seen: u64,
}

/// Turns of a chain, newest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TurnChain {
    /// Places of the turns that are held.
    pub locations: Vec<(TurnId, RecordLocation)>,
    /// The turn at which the chain breaks off, if it does.
    pub missing: Option<TurnId>,
}

#[derive(Debug)]
struct HeldTurn {
    /// Rises with each turn that is taken.
    number: u64,
    prior: Option<TurnId>,
    place: RecordLocation,
    expires: Time,
}

#[derive(Debug, Default)]
struct HeldCharges {
    /// Rises with each program that is taken.
    number: u64,
    book: ChargeSet,
    expires: Time,
}

/// What one store holds, without the bytes.
#[derive(Debug, Default)]
pub struct StoreIndex {
    cfg: StoreIndexSettings,
    turns: IndexMap<TurnId, HeldTurn>,
    programs: IndexMap<ProgramTag, HeldCharges>,
    /// Turns and programs that were ever taken.
    taken: u64,
    /// Latest epoch seen; only rises.
    epoch: u64,
    /// Epoch in which the store joined and since when it takes writes; 0 before.
    open: u64,
    /// Epoch in which it joined and since when it is whole; 0 before.
    whole: u64,
    /// Latest expiry of what a segment holds.
    segments: IndexMap<u64, Time>,
}

impl StoreIndex {
    /// An empty shelf.
    #[must_use]
    pub fn new(cfg: StoreIndexSettings) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Takes that a record is synced at a place.
    pub fn insert(&mut self, now: Time, record: &Record, place: RecordLocation) {
        let expires = match record {
            Record::Turn(turn) => {
                let keep = Duration::from_secs(turn.retention_s.into()) + self.cfg.retention_margin;
                let expires = now + keep;
                self.taken += 1;
                let held = HeldTurn {
                    number: self.taken,
                    prior: turn.prior,
                    place,
                    expires,
                };
                self.turns.insert(turn.id, held);
                self.keep_chain(turn.prior, expires);
                expires
            }
            Record::Charge(program, charge) => {
                self.taken += 1;
                let number = self.taken;
                let held = self
                    .programs
                    .entry(*program)
                    .or_insert_with(|| HeldCharges {
                        number,
                        ..HeldCharges::default()
                    });
                held.book.merge(*charge);
                held.expires = now + self.cfg.charge_retention;
                held.expires
            }
            Record::Epoch(epoch) => {
                self.epoch = self.epoch.max(*epoch);
                now
            }
            Record::Open(epoch) => {
                self.open = self.open.max(*epoch);
                self.epoch = self.epoch.max(*epoch);
                now
            }
            Record::Whole(epoch) => {
                self.whole = self.whole.max(*epoch);
                now
            }
        };
        let latest = self.segments.entry(place.segment).or_insert(expires);
        *latest = (*latest).max(expires);
    }

    /// Keeps a turn and all before it as long as one that continues from it.
    fn keep_chain(&mut self, last: Option<TurnId>, expires: Time) {
        let mut next = last;
        while let Some(held) = next.and_then(|id| self.turns.get_mut(&id)) {
            if held.expires >= expires {
                return;
            }
            held.expires = expires;
            next = held.prior;
            if let Some(latest) = self.segments.get_mut(&held.place.segment) {
                *latest = (*latest).max(expires);
            }
        }
    }

    /// Checks that a request comes under a view that is in force.
    ///
    /// # Errors
    ///
    /// Tells the later epoch that was seen.
    pub const fn admit(&self, epoch: u64) -> Result<(), StaleView> {
        if epoch < self.epoch {
            Err(StaleView { seen: self.epoch })
        } else {
            Ok(())
        }
    }

    /// Latest epoch seen.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Epoch in which the store joined and since when it takes writes; 0 before.
    #[must_use]
    pub const fn open_epoch(&self) -> u64 {
        self.open
    }

    /// Epoch in which the store joined and since when it is whole; 0 before.
    #[must_use]
    pub const fn whole_epoch(&self) -> u64 {
        self.whole
    }

    /// Whether a record is held already.
    #[must_use]
    pub fn holds(&self, record: &Record) -> bool {
        match record {
            Record::Turn(turn) => self.turns.contains_key(&turn.id),
            Record::Charge(program, charge) => {
                let held = self.programs.get(program);
                held.is_some_and(|held| held.book.covers(charge))
            }
            Record::Epoch(epoch) => self.epoch >= *epoch,
            Record::Open(epoch) => self.open >= *epoch,
            Record::Whole(epoch) => self.whole >= *epoch,
        }
    }

    /// Every charge of a program.
    #[must_use]
    pub fn charges(&self, program: ProgramTag) -> Vec<Charge> {
        let held = self.programs.get(&program);
        held.map_or_else(Vec::new, |held| held.book.charges().collect())
    }

    /// A turn and all before it, as far as they are held.
    #[must_use]
    pub fn chain(&self, last: TurnId) -> TurnChain {
        let mut chain = TurnChain::default();
        let mut next = Some(last);
        while let Some(id) = next {
            match self.turns.get(&id) {
                Some(held) if chain.locations.len() < self.turns.len() => {
                    chain.locations.push((id, held.place));
                    next = held.prior;
                }
                // A chain longer than all turns runs in a circle.
                Some(_) | None => {
                    chain.missing = Some(id);
                    return chain;
                }
            }
        }
        chain
    }

    /// Turns with numbers above `after`, lowest first, with their numbers.
    #[must_use]
    pub fn turns_after(&self, after: u64, limit: usize) -> Vec<(u64, TurnId)> {
        let turns = self.turns.iter().filter(|(_, held)| held.number > after);
        turns
            .take(limit)
            .map(|(id, held)| (held.number, *id))
            .collect()
    }

    /// Where a turn is, if it is held.
    #[must_use]
    pub fn location(&self, turn: TurnId) -> Option<RecordLocation> {
        self.turns.get(&turn).map(|held| held.place)
    }

    /// Charges of the programs with numbers above `after`, lowest first, with
    /// the number of the last program.
    #[must_use]
    pub fn charges_after(&self, after: u64, limit: usize) -> (u64, Vec<(ProgramTag, Charge)>) {
        let mut last = after;
        let mut charges = Vec::new();
        let programs = self.programs.iter().filter(|(_, held)| held.number > after);
        for (program, held) in programs.take(limit) {
            last = held.number;
            charges.extend(held.book.charges().map(|charge| (*program, charge)));
        }
        (last, charges)
    }

    /// Turns that are held.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// Drops what has expired; tells the segments before `open_segment` that
    /// hold nothing more.
    pub fn expire(&mut self, now: Time, open_segment: u64) -> Vec<u64> {
        self.turns.retain(|_, held| held.expires > now);
        self.programs.retain(|_, held| held.expires > now);
        let empty: Vec<u64> = self
            .segments
            .iter()
            .filter(|(segment, expires)| **segment < open_segment && **expires <= now)
            .map(|(segment, _)| *segment)
            .collect();
        self.segments.retain(|segment, _| !empty.contains(segment));
        empty
    }
}
