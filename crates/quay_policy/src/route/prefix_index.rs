//! Which upstreams are believed to hold which blocks of prompts.

use indexmap::IndexMap;

/// Upstreams that one book can tell apart.
pub const MAX_SLOTS: usize = 1_024;

/// Words of a set of slots.
const WORDS: usize = MAX_SLOTS / 64;

/// Leading blocks of a prompt that are all looked at.
const DENSE: usize = 8;

/// Beyond these, one block in so many is looked at.
const STRIDE: usize = 8;

/// Depth from which on only one block in [`WIDE_STRIDE`] is looked at, so that
/// the longest histories cost no more than a few dozen look-ups.
const WIDE_FROM: usize = DENSE + 32 * STRIDE;

/// Stride beyond [`WIDE_FROM`].
const WIDE_STRIDE: usize = 64;

/// Depths that one lookup visits at most below the deepest that is held.
const MAX_PROBES: usize = 24;

/// Place of an upstream in a book.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(pub u16);

/// A set of slots.
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

/// One remembered block.
#[derive(Debug, Default)]
struct Line {
    holders: Holders,
    /// Whether the block was of use since the hand last passed.
    used: bool,
}

/// How complete the events of one upstream are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FeedState {
    /// Nothing was heard.
    #[default]
    NotStarted,
    /// Every event up to this sequence number was heard.
    Complete(u64),
    /// Events are missing before this sequence number; a snapshot is needed.
    Gap(u64),
}

/// A bounded book of prefix blocks and their holders.
///
/// It is fed by what was sent, by what upstreams said they found, and by cache
/// events that come late and with gaps. Being wrong costs a prefill, no more.
#[derive(Debug)]
pub struct PrefixIndex {
    /// At most `max_blocks` lines.
    lines: IndexMap<u64, Line>,
    max_blocks: usize,
    /// Next line that may be forgotten.
    hand: usize,
    feeds: Vec<FeedState>,
}

impl PrefixIndex {
    /// An empty book of at most `max_blocks` blocks.
    #[must_use]
    pub fn new(max_blocks: usize) -> Self {
        Self {
            lines: IndexMap::new(),
            max_blocks: max_blocks.max(1),
            hand: 0,
            feeds: Vec::new(),
        }
    }

    /// Blocks that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    // -----------------------------------------------------------------------
    // What is learned

    /// Notes that an upstream will hold the blocks of a prompt sent to it.
    pub fn record_sent(&mut self, slot: Slot, blocks: &[u64]) {
        for depth in probes(blocks.len()) {
            self.store(slot, blocks[depth]);
        }
    }

    /// Notes that an upstream found only the first `held` blocks of a prompt.
    ///
    /// What it prefilled since then it holds, so only a later lookup by another
    /// prompt is corrected: blocks from `held` to `known` were wrong.
    pub fn record_miss(&mut self, slot: Slot, blocks: &[u64], held: usize, known: usize) {
        let end = known.min(blocks.len());
        for hash in blocks.get(held..end).unwrap_or_default() {
            self.evict(slot, *hash);
        }
    }

    /// Takes an event that says a block is held.
    pub fn apply_stored(&mut self, slot: Slot, sequence: u64, hash: u64) -> FeedState {
        let state = self.advance(slot, sequence);
        if is_new(state, sequence) {
            self.store(slot, hash);
        }
        state
    }

    /// Takes an event that says a block is no longer held.
    pub fn apply_evicted(&mut self, slot: Slot, sequence: u64, hash: u64) -> FeedState {
        let state = self.advance(slot, sequence);
        if is_new(state, sequence) {
            self.evict(slot, hash);
        }
        state
    }

    /// Forgets all that an upstream held, and where its events stood.
    pub fn clear_slot(&mut self, slot: Slot) {
        self.lines.retain(|_, line| {
            line.holders.unset(slot);
            !line.holders.is_empty()
        });
        self.hand = 0;
        if let Some(feed) = self.feeds.get_mut(usize::from(slot.0)) {
            *feed = FeedState::NotStarted;
        }
    }

    /// Takes a snapshot of all that an upstream holds; closes any gap.
    pub fn apply_snapshot(&mut self, slot: Slot, sequence: u64, hashes: &[u64]) {
        self.clear_slot(slot);
        for hash in hashes {
            self.store(slot, *hash);
        }
        *self.feed(slot) = FeedState::Complete(sequence);
    }

    /// How complete the events of an upstream are.
    #[must_use]
    pub fn feed_state(&self, slot: Slot) -> FeedState {
        let feed = self.feeds.get(usize::from(slot.0));
        feed.copied().unwrap_or_default()
    }

    /// Moves a feed on to `sequence`; an old event leaves it as it is.
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
        if !self.lines.contains_key(&hash) && self.lines.len() >= self.max_blocks {
            self.make_room();
        }
        let line = self.lines.entry(hash).or_default();
        line.holders.set(slot);
        line.used = true;
    }

    fn evict(&mut self, slot: Slot, hash: u64) {
        if let Some(line) = self.lines.get_mut(&hash) {
            line.holders.unset(slot);
        }
    }

    /// Forgets the first line, from the hand on, that was of no use of late.
    fn make_room(&mut self) {
        loop {
            if self.hand >= self.lines.len() {
                self.hand = 0;
            }
            let Some((_, line)) = self.lines.get_index_mut(self.hand) else {
                return;
            };
            if !line.used || line.holders.is_empty() {
                self.lines.swap_remove_index(self.hand);
                return;
            }
            line.used = false;
            self.hand += 1;
        }
    }

    // -----------------------------------------------------------------------
    // What is asked

    /// Writes to `depths` how many leading blocks each slot is believed to hold.
    ///
    /// Holders of a block hold what comes before it, so a binary search finds
    /// the deepest block that anybody holds.
    pub fn lookup(&mut self, blocks: &[u64], depths: &mut Vec<u32>, slots: usize) {
        depths.clear();
        depths.resize(slots, 0);
        let grid = Grid(blocks.len());
        let held = partition(grid.len(), |at| {
            self.holders(blocks[Grid::depth(at)]).is_some()
        });
        let mut seen = Holders::default();
        let step = held.div_ceil(MAX_PROBES).max(1);
        for at in (0..held).rev().step_by(step) {
            let depth = Grid::depth(at);
            let Some(line) = self.lines.get_mut(&blocks[depth]) else {
                continue;
            };
            line.used = true;
            for word in 0..WORDS {
                let mut fresh = line.holders.0[word] & !seen.0[word];
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

    /// The line of a block that somebody holds.
    fn holders(&self, hash: u64) -> Option<&Line> {
        self.lines
            .get(&hash)
            .filter(|line| !line.holders.is_empty())
    }
}

/// Whether an event with this number may change the book.
fn is_new(state: FeedState, sequence: u64) -> bool {
    state == FeedState::Complete(sequence) || state == FeedState::Gap(sequence)
}

/// Depths of a prompt of so many blocks that the book looks at.
struct Grid(usize);

impl Grid {
    fn len(&self) -> usize {
        let strided = self.0.min(WIDE_FROM).saturating_sub(DENSE) / STRIDE;
        let wide = self.0.saturating_sub(WIDE_FROM) / WIDE_STRIDE;
        self.0.min(DENSE) + strided + wide
    }

    /// Depth of the block at a place of the grid; the same for every prompt.
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

/// Every depth that the book looks at.
fn probes(len: usize) -> impl Iterator<Item = usize> {
    let grid = Grid(len);
    (0..grid.len()).map(Grid::depth)
}

/// First place in `0..len` at which `holds` is false.
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
