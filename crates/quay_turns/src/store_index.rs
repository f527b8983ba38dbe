//! In-memory index of one group's records on one store; the record bytes are
//! on disk.

use {
    crate::{Charge, ChargeSet, ListedTurn, Record},
    indexmap::IndexMap,
    quay_types::{ProgramTag, Time, TurnId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of charges in a list from which no further program is added.
const MAX_LISTED_CHARGES: usize = 1 << 16;

/// Location of a record on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLocation {
    /// Number of the segment file.
    pub segment: u64,
    /// Byte offset in the segment file.
    pub offset: u64,
    /// Length in bytes.
    pub len: u32,
}

/// Retention times of a store.
#[derive(Debug, Clone, Copy)]
pub struct StoreIndexSettings {
    /// Time for which a program's charges are kept after its latest charge.
    pub charge_retention: Duration,
    /// Time added to a turn's requested retention, since hosts receive the turn
    /// at different times.
    pub retention_margin: Duration,
}

impl Default for StoreIndexSettings {
    fn default() -> Self {
        Self {
            // Longer than any retention in the routing tables of the
            // deployments (60 s).
            charge_retention: Duration::from_mins(2),
            retention_margin: Duration::from_secs(15),
        }
    }
}

/// A request carried the epoch of an outdated view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleView {
    /// Latest epoch that the store has seen.
    pub seen: u64,
}

/// A turn of a chain, with the size of what it adds to the conversation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainLink {
    /// Identity of the turn.
    pub id: TurnId,
    /// Bytes of its input and output.
    pub bytes: u64,
}

/// Part of a chain, newest turn first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainPart {
    /// Turns that the store holds.
    pub links: Vec<ChainLink>,
    /// The turn before the last of `links`, if there is one: the store does not hold it, or
    /// the part ends there.
    pub next: Option<TurnId>,
}

/// A turn and its predecessors, newest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TurnChain {
    /// Locations of the turns that the store holds.
    pub locations: Vec<(TurnId, RecordLocation)>,
    /// First turn of the chain that the store does not hold, if any.
    pub missing: Option<TurnId>,
}

#[derive(Debug)]
struct HeldTurn {
    /// Insertion number of the turn; increases with every insertion.
    number: u64,
    prior: Option<TurnId>,
    location: RecordLocation,
    /// Bytes of the turn's input and output.
    bytes: u64,
    expires: Time,
}

#[derive(Debug, Default)]
struct HeldCharges {
    /// Insertion number of the program; increases with every insertion.
    number: u64,
    book: ChargeSet,
    expires: Time,
}

/// In-memory index of one group's records on one store; the record bytes are
/// on disk.
#[derive(Debug, Default)]
pub struct StoreIndex {
    cfg: StoreIndexSettings,
    turns: IndexMap<TurnId, HeldTurn>,
    /// Turns that the store lacks although it holds turns that continue from them, with
    /// the latest expiry of those.
    missing: IndexMap<TurnId, Time>,
    programs: IndexMap<ProgramTag, HeldCharges>,
    /// Last insertion number handed out.
    last_number: u64,
    /// Latest epoch seen; never decreases.
    epoch: u64,
    /// Epoch of the join for which the store accepts writes; 0 before.
    open: u64,
    /// Epoch of the join for which the store has finished copying; 0 before.
    whole: u64,
    /// Epoch of the join for which the store has copied all charges; 0 before.
    charges_copied: u64,
    /// Latest expiry time of the records in each segment.
    segments: IndexMap<u64, Time>,
    /// Longest time for which a turn was to be kept.
    longest_turn: Duration,
}

impl StoreIndex {
    /// Creates an empty index.
    #[must_use]
    pub fn new(cfg: StoreIndexSettings) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Adds a record that has been synced to disk at `location`.
    pub fn insert(&mut self, now: Time, record: &Record, location: RecordLocation) {
        let expires = match record {
            Record::Turn(turn) => {
                let keep = Duration::from_secs(turn.retention_s.into()) + self.cfg.retention_margin;
                self.longest_turn = self.longest_turn.max(keep);
                let held = self.turns.get(&turn.id).map(|held| held.expires);
                let needed = self.missing.swap_remove(&turn.id);
                let expires = (now + keep).max(held.max(needed).unwrap_or_default());
                self.last_number += 1;
                let held = HeldTurn {
                    number: self.last_number,
                    prior: turn.prior,
                    location,
                    bytes: record.data_bytes() as u64,
                    expires,
                };
                self.turns.insert(turn.id, held);
                self.extend_chain_expiry(turn.prior, expires);
                expires
            }
            Record::Charge(program, charge) => {
                self.last_number += 1;
                let number = self.last_number;
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
            Record::ChargesCopied(epoch) => {
                self.charges_copied = self.charges_copied.max(*epoch);
                now
            }
        };
        let latest = self.segments.entry(location.segment).or_insert(expires);
        *latest = (*latest).max(expires);
    }

    /// Extends the expiry of a turn and its predecessors to that of a turn that
    /// continues from them, as far as the store holds them. The first one that it lacks
    /// is recorded as missing; the ones before it follow once it is inserted.
    fn extend_chain_expiry(&mut self, last: Option<TurnId>, expires: Time) {
        let mut next = last;
        while let Some(id) = next {
            let Some(held) = self.turns.get_mut(&id) else {
                let until = self.missing.entry(id).or_insert(expires);
                *until = (*until).max(expires);
                return;
            };
            if held.expires >= expires {
                return;
            }
            held.expires = expires;
            next = held.prior;
            if let Some(latest) = self.segments.get_mut(&held.location.segment) {
                *latest = (*latest).max(expires);
            }
        }
    }

    /// Turns that the store lacks although it holds turns that continue from them.
    #[must_use]
    pub fn missing_turns(&self) -> impl ExactSizeIterator<Item = TurnId> {
        self.missing.keys().copied()
    }

    /// Checks that a request does not carry an outdated epoch.
    ///
    /// # Errors
    ///
    /// Returns [`StaleView`] with the latest epoch seen if `epoch` is older.
    pub const fn admit(&self, epoch: u64) -> Result<(), StaleView> {
        if epoch < self.epoch {
            Err(StaleView { seen: self.epoch })
        } else {
            Ok(())
        }
    }

    /// Latest epoch that the store has seen.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Epoch of the join for which the store accepts writes; 0 before.
    #[must_use]
    pub const fn open_epoch(&self) -> u64 {
        self.open
    }

    /// Epoch of the join for which the store has finished copying; 0 before.
    #[must_use]
    pub const fn whole_epoch(&self) -> u64 {
        self.whole
    }

    /// Whether the store, which joined in this epoch, holds every charge that was
    /// acknowledged before. It may still lack turns.
    #[must_use]
    pub const fn holds_charges_since(&self, joined: u64) -> bool {
        self.charges_copied >= joined || self.whole >= joined
    }

    /// Time after which no record that was written before is needed, unless a later one
    /// continues from it: the longest retention of those that the store has seen.
    #[must_use]
    pub fn longest_retention(&self) -> Duration {
        self.longest_turn.max(self.cfg.charge_retention)
    }

    /// Whether the store already holds a record, or a later one that supersedes
    /// it.
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
            Record::ChargesCopied(epoch) => self.charges_copied >= *epoch,
        }
    }

    /// Extends the expiry of the charges of programs as a charge at `now` does.
    pub fn keep_charges(&mut self, now: Time, programs: &[ProgramTag]) {
        let expires = now + self.cfg.charge_retention;
        for program in programs {
            if let Some(held) = self.programs.get_mut(program) {
                held.expires = held.expires.max(expires);
            }
        }
    }

    /// All charges of a program.
    #[must_use]
    pub fn charges(&self, program: ProgramTag) -> Vec<Charge> {
        let held = self.programs.get(&program);
        held.map_or_else(Vec::new, |held| held.book.charges().collect())
    }

    /// Returns a turn and its predecessors, up to the first one that is
    /// missing.
    #[must_use]
    pub fn chain(&self, last: TurnId) -> TurnChain {
        let mut chain = TurnChain::default();
        let mut next = Some(last);
        while let Some(id) = next {
            match self.turns.get(&id) {
                Some(held) if chain.locations.len() < self.turns.len() => {
                    chain.locations.push((id, held.location));
                    next = held.prior;
                }
                // A chain with more turns than the store holds contains a
                // cycle.
                Some(_) | None => {
                    chain.missing = Some(id);
                    return chain;
                }
            }
        }
        chain
    }

    /// Lists a turn and its predecessors, up to the first one that is missing and at most
    /// `limit`.
    #[must_use]
    pub fn chain_part(&self, last: TurnId, limit: usize) -> ChainPart {
        let mut part = ChainPart {
            links: Vec::new(),
            next: Some(last),
        };
        while part.links.len() < limit
            && let Some(id) = part.next
            && let Some(held) = self.turns.get(&id)
        {
            let bytes = held.bytes;
            part.links.push(ChainLink { id, bytes });
            part.next = held.prior;
        }
        part
    }

    /// Turns with insertion numbers above `after` in ascending order, with
    /// their numbers.
    #[must_use]
    pub fn turns_after(&self, after: u64, limit: usize) -> Vec<(u64, TurnId)> {
        let turns = self.turns.iter().filter(|(_, held)| held.number > after);
        turns
            .take(limit)
            .map(|(id, held)| (held.number, *id))
            .collect()
    }

    /// The same turns as [`Self::turns_after`] with their sizes, and the last number.
    #[must_use]
    pub fn list_turns(&self, after: u64, limit: usize) -> (u64, Vec<ListedTurn>) {
        let listed = self.turns_after(after, limit);
        let last = listed.last().map_or(after, |(number, _)| *number);
        let turns = listed.into_iter().filter_map(|(_, id)| {
            let bytes = self.location(id)?.len;
            Some(ListedTurn { id, bytes })
        });
        (last, turns.collect())
    }

    /// Location of a turn, if the store holds it.
    #[must_use]
    pub fn location(&self, turn: TurnId) -> Option<RecordLocation> {
        self.turns.get(&turn).map(|held| held.location)
    }

    /// Charges of the programs with insertion numbers above `after` in
    /// ascending order, and the number of the last program returned; fewer programs than
    /// `limit` if they have very many charges.
    #[must_use]
    pub fn charges_after(&self, after: u64, limit: usize) -> (u64, Vec<(ProgramTag, Charge)>) {
        let mut last = after;
        let mut charges = Vec::new();
        let programs = self.programs.iter().filter(|(_, held)| held.number > after);
        for (program, held) in programs.take(limit) {
            if charges.len() >= MAX_LISTED_CHARGES {
                break;
            }
            last = held.number;
            charges.extend(held.book.charges().map(|charge| (*program, charge)));
        }
        (last, charges)
    }

    /// Number of turns that the store holds.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// Whether a record in a segment has not expired.
    #[must_use]
    pub fn uses_segment(&self, segment: u64) -> bool {
        self.segments.contains_key(&segment)
    }

    /// Removes expired entries. Returns the segments before `open_segment` in
    /// which all records have expired, so that their files can be deleted.
    pub fn expire(&mut self, now: Time, open_segment: u64) -> Vec<u64> {
        self.turns.retain(|_, held| held.expires > now);
        self.missing.retain(|_, expires| *expires > now);
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
