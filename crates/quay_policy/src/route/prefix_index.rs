//! Index of the upstreams that are believed to hold given prompt blocks.

use indexmap::IndexMap;

/// Maximum number of upstreams in one index.
pub const MAX_SLOTS: usize = 1_024;

/// Number of 64-bit words in a bit set of slots.
const WORDS: usize = MAX_SLOTS / 64;

/// Leading blocks of a prompt that are all indexed.
const DENSE: usize = 8;

/// Beyond these, one block in `STRIDE` is indexed.
const STRIDE: usize = 8;

/// Depth from which only one block in [`WIDE_STRIDE`] is indexed, so that the
/// longest prompts need no more than a few dozen look-ups.
const WIDE_FROM: usize = DENSE + 32 * STRIDE;

/// Stride beyond [`WIDE_FROM`].
const WIDE_STRIDE: usize = 64;

/// Maximum number of depths that one lookup visits, starting at the deepest
/// block held.
const MAX_PROBES: usize = 24;

/// Position of an upstream in an index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(pub u16);

/// A bit set of slots.
#[derive(Debug, Clone, Copy, Default)]
struct Holders([u64; WORDS]);

impl Holders {
    fn set(&mut self, slot: Slot) {
        self.0[usize::from(slot.0) / 64] |= 1 << (slot.0 % 64);
    }

    fn unset(&mut self, slot: Slot) {
        self.0[usize::from(slot.0) / 64] &= !(1 << (slot.0 % 64));
    }

    fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }
}

/// An indexed block.
#[derive(Debug, Default)]
struct Entry {
    holders: Holders,
    /// Whether the block was used since the clock hand last passed.
    used: bool,
}

/// How complete the received cache events of one upstream are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FeedState {
    /// No event was received.
    #[default]
    NotStarted,
    /// All events up to this sequence number were received.
    Complete(u64),
    /// Events before this sequence number are missing; a snapshot is needed.
    Gap(u64),
}

/// Bounded index from prefix blocks to their holders.
///
/// Its sources are the calls sent, the cache hits that upstreams report, and
/// cache events, which arrive late and with gaps. A wrong entry costs an
/// unnecessary prefill and nothing else.
#[derive(Debug)]
pub struct PrefixIndex {
    /// At most `max_blocks` entries.
    entries: IndexMap<u64, Entry>,
    max_blocks: usize,
    /// Clock hand: the next entry to consider for eviction.
    hand: usize,
    feeds: Vec<FeedState>,
}

impl PrefixIndex {
    /// Creates an empty index of at most `max_blocks` blocks.
    #[must_use]
    pub fn new(max_blocks: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            max_blocks: max_blocks.max(1),
            hand: 0,
            feeds: Vec::new(),
        }
    }

    /// Number of indexed blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no blocks are indexed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    // -----------------------------------------------------------------------
    // Updates

    /// Records that an upstream will hold the blocks of a prompt sent to it.
    pub fn record_sent(&mut self, slot: Slot, blocks: &[u64]) {
        for depth in sampled_depths(blocks.len()) {
            self.store(slot, blocks[depth]);
        }
    }

    /// Records that an upstream held only the first `held` blocks of a prompt.
    ///
    /// Removes the blocks from `held` to `known`. The upstream holds them once
    /// it has prefilled them, so the removal affects only lookups of later
    /// prompts.
    pub fn record_miss(&mut self, slot: Slot, blocks: &[u64], held: usize, known: usize) {
        let end = known.min(blocks.len());
        for hash in blocks.get(held..end).unwrap_or_default() {
            self.evict(slot, *hash);
        }
    }

    /// Applies a cache event that reports a block as stored.
    pub fn apply_stored(&mut self, slot: Slot, sequence: u64, hash: u64) -> FeedState {
        let state = self.advance(slot, sequence);
        if is_new(state, sequence) {
            self.store(slot, hash);
        }
        state
    }

    /// Applies a cache event that reports a block as evicted.
    pub fn apply_evicted(&mut self, slot: Slot, sequence: u64, hash: u64) -> FeedState {
        let state = self.advance(slot, sequence);
        if is_new(state, sequence) {
            self.evict(slot, hash);
        }
        state
    }

    /// Removes all blocks of an upstream and resets its event sequence.
    pub fn clear_slot(&mut self, slot: Slot) {
        self.entries.retain(|_, entry| {
            entry.holders.unset(slot);
            !entry.holders.is_empty()
        });
        self.hand = 0;
        if let Some(feed) = self.feeds.get_mut(usize::from(slot.0)) {
            *feed = FeedState::NotStarted;
        }
    }

    /// Replaces the blocks of an upstream by a snapshot, which closes any gap.
    pub fn apply_snapshot(&mut self, slot: Slot, sequence: u64, hashes: &[u64]) {
        self.clear_slot(slot);
        for hash in hashes {
            self.store(slot, *hash);
        }
        *self.feed(slot) = FeedState::Complete(sequence);
    }

    /// How complete the received events of an upstream are.
    #[must_use]
    pub fn feed_state(&self, slot: Slot) -> FeedState {
        let feed = self.feeds.get(usize::from(slot.0));
        feed.copied().unwrap_or_default()
    }

    /// Advances a feed to `sequence`; an old event leaves the feed unchanged.
    fn advance(&mut self, slot: Slot, sequence: u64) -> FeedState {
        let feed = self.feed(slot);
        *feed = match *feed {
            FeedState::NotStarted if sequence == 1 => FeedState::Complete(1),
            FeedState::Complete(last) if sequence == last + 1 => FeedState::Complete(sequence),
            FeedState::Complete(last) | FeedState::Gap(last) if sequence <= last => *feed,
            _ => FeedState::Gap(sequence),
        };
        *feed
    }

    fn feed(&mut self, slot: Slot) -> &mut FeedState {
        let at = usize::from(slot.0);
        if at >= self.feeds.len() {
            self.feeds.resize(at + 1, FeedState::NotStarted);
        }
        &mut self.feeds[at]
    }

    fn store(&mut self, slot: Slot, hash: u64) {
        if !self.entries.contains_key(&hash) && self.entries.len() >= self.max_blocks {
            self.evict_entry();
        }
        let entry = self.entries.entry(hash).or_default();
        entry.holders.set(slot);
        entry.used = true;
    }

    fn evict(&mut self, slot: Slot, hash: u64) {
        if let Some(entry) = self.entries.get_mut(&hash) {
            entry.holders.unset(slot);
        }
    }

    /// Evicts one entry by the clock (second-chance) algorithm: the first entry
    /// from the hand on that has no holders or was not used since the last
    /// pass.
    fn evict_entry(&mut self) {
        loop {
            if self.hand >= self.entries.len() {
                self.hand = 0;
            }
            let Some((_, entry)) = self.entries.get_index_mut(self.hand) else {
                return;
            };
            if !entry.used || entry.holders.is_empty() {
                self.entries.swap_remove_index(self.hand);
                return;
            }
            entry.used = false;
            self.hand += 1;
        }
    }

    // -----------------------------------------------------------------------
    // Lookup

    /// Writes to `depths` how many leading blocks each slot is believed to
    /// hold.
    ///
    /// A holder of a block also holds the blocks before it, so a binary search
    /// finds the deepest block that any upstream holds.
    pub fn lookup(&mut self, blocks: &[u64], depths: &mut Vec<u32>, slots: usize) {
        depths.clear();
        depths.resize(slots, 0);
        let grid = SampleGrid(blocks.len());
        let held = partition(grid.len(), |at| {
            self.held_entry(blocks[SampleGrid::depth(at)]).is_some()
        });
        let mut seen = Holders::default();
        let step = held.div_ceil(MAX_PROBES).max(1);
        for at in (0..held).rev().step_by(step) {
            let depth = SampleGrid::depth(at);
            let Some(entry) = self.entries.get_mut(&blocks[depth]) else {
                continue;
            };
            entry.used = true;
            for word in 0..WORDS {
                let mut fresh = entry.holders.0[word] & !seen.0[word];
                seen.0[word] |= fresh;
                while fresh != 0 {
                    let slot = word * 64 + fresh.trailing_zeros() as usize;
                    if let Some(found) = depths.get_mut(slot) {
                        *found = u32::try_from(depth + 1).unwrap_or(u32::MAX);
                    }
                    fresh &= fresh - 1;
                }
            }
        }
    }

    /// Returns the entry of a block that has at least one holder.
    fn held_entry(&self, hash: u64) -> Option<&Entry> {
        self.entries
            .get(&hash)
            .filter(|entry| !entry.holders.is_empty())
    }
}

/// Whether an event with this sequence number may change the index.
fn is_new(state: FeedState, sequence: u64) -> bool {
    state == FeedState::Complete(sequence) || state == FeedState::Gap(sequence)
}

/// Depths that are indexed in a prompt of the given number of blocks.
struct SampleGrid(usize);

impl SampleGrid {
    fn len(&self) -> usize {
        let strided = self.0.min(WIDE_FROM).saturating_sub(DENSE) / STRIDE;
        let wide = self.0.saturating_sub(WIDE_FROM) / WIDE_STRIDE;
        self.0.min(DENSE) + strided + wide
    }

    /// Depth of the block at a position of the grid; the same for all prompts.
    fn depth(at: usize) -> usize {
        let strided = DENSE + (WIDE_FROM - DENSE) / STRIDE;
        if at < DENSE {
            at
        } else if at < strided {
            DENSE + (at - DENSE + 1) * STRIDE - 1
        } else {
            WIDE_FROM + (at - strided + 1) * WIDE_STRIDE - 1
        }
    }
}

/// Returns all indexed depths.
fn sampled_depths(len: usize) -> impl Iterator<Item = usize> {
    let grid = SampleGrid(len);
    (0..grid.len()).map(SampleGrid::depth)
}

/// Returns the first position in `0..len` at which `holds` is false.
fn partition(len: usize, holds: impl Fn(usize) -> bool) -> usize {
    let (mut low, mut high) = (0, len);
    while low < high {
        let middle = low.midpoint(high);
        if holds(middle) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    low
}
