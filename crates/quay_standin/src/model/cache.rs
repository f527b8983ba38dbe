//! Prefix cache with a bounded number of blocks and LRU eviction.

use {
    super::ModelSettings,
    indexmap::IndexMap,
    quay_types::Time,
    std::collections::{BTreeSet, VecDeque},
};

/// Maximum number of cache events kept until they are taken; the oldest are
/// dropped first.
const MAX_EVENTS: usize = 65_536;

/// A change to the cache's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block with this hash was stored.
    Stored(u64),
    /// The block with this hash was evicted.
    Evicted(u64),
    /// All blocks were removed.
    Cleared,
}

/// A published change. A gap in the sequence numbers means lost events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the change; increases by one with each change, published or
    /// not.
    pub sequence: u64,
    /// Time of the change.
    pub at: Time,
    /// The change.
    pub change: CacheChange,
}

/// Snapshot of the cache's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// Sequence number of the last change included in the snapshot.
    pub sequence: u64,
    /// Hashes of the cached blocks.
    pub blocks: Box<[u64]>,
}

/// KV blocks exported from an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvExport {
    /// Hashes of the leading blocks of a prompt, in order.
    pub blocks: Box<[u64]>,
}

/// A cached block.
#[derive(Debug, Clone, Copy)]
struct Block {
    /// Number of running jobs that use the block.
    refs: u32,
    /// Position in the prompt. Of two blocks last used at the same time, the
    /// one with the greater depth is evicted first.
    depth: u32,
    last_used: Time,
    shared: bool,
}

impl Block {
    /// Sort key for eviction: least recently used first, then the end of a prefix
    /// before its start.
    fn eviction_key(&self, hash: u64) -> (Time, u32, u64) {
        (self.last_used, u32::MAX - self.depth, hash)
    }
}

/// Prefix cache of an engine.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Number of blocks without a hash, which running jobs use.
    anonymous: usize,
    blocks: IndexMap<u64, Block>,
    /// Cached blocks that no running job uses, in order of eviction.
    unused: BTreeSet<(Time, u32, u64)>,
    /// Number of blocks in `unused` that are not shared among programs.
    idle: usize,
    events: VecDeque<CacheEvent>,
    sequence: u64,
    loss_permille: u64,
    seed: u64,
}

impl PrefixCache {
    pub(super) fn new(settings: &ModelSettings) -> Self {
        Self {
            capacity: settings.kv_blocks as usize,
            anonymous: 0,
            blocks: IndexMap::new(),
            unused: BTreeSet::new(),
            idle: 0,
            events: VecDeque::new(),
            sequence: 0,
            loss_permille: u64::from(settings.event_loss_permille),
            seed: settings.seed,
        }
    }

    /// Number of leading hashes whose blocks are cached.
    pub(super) fn matched(&self, hashes: &[u64]) -> usize {
        let cached = |hash: &&u64| self.blocks.contains_key(*hash);
        hashes.iter().take_while(cached).count()
    }

    /// Number of blocks that are free or evictable.
    pub(super) fn available(&self) -> usize {
        let in_use = self.blocks.len() + self.anonymous - self.unused.len();
        self.capacity.saturating_sub(in_use)
    }

    /// Share of the capacity that running jobs use, in thousandths.
    pub(super) fn used_permille(&self) -> u16 {
        let used = self.capacity - self.available();
        u16::try_from(used * 1_000 / self.capacity.max(1)).unwrap_or(u16::MAX)
    }

    /// Number of blocks that no running job uses and that are not shared among
    /// programs.
    pub(super) const fn idle(&self) -> usize {
        self.idle
    }

    /// Adds a running job's reference to a cached block.
    pub(super) fn pin(&mut self, hash: u64) {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return;
        };
        if block.refs == 0 {
            self.unused.remove(&block.eviction_key(hash));
            self.idle -= usize::from(!block.shared);
        }
        block.refs += 1;
    }

    /// Removes a running job's reference to a block.
    pub(super) fn unpin(&mut self, now: Time, hash: u64) {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return;
        };
        block.refs = block.refs.saturating_sub(1);
        block.last_used = now;
        if block.refs == 0 {
            self.unused.insert(block.eviction_key(hash));
            self.idle += usize::from(!block.shared);
        }
    }

    /// Stores a block, or reuses the cached one, and adds a running job's
    /// reference. Returns false if running jobs use all blocks.
    pub(super) fn acquire(&mut self, now: Time, hash: u64, depth: u32, shared: bool) -> bool {
        if self.blocks.contains_key(&hash) {
            self.pin(hash);
            return true;
        }
        if !self.make_room(now) {
            return false;
        }
        let block = Block {
            refs: 1,
            depth,
            last_used: now,
            shared,
        };
        self.blocks.insert(hash, block);
        self.record(now, CacheChange::Stored(hash));
        true
    }

    /// Allocates a block without a hash. Returns false if running jobs use all
    /// blocks.
    pub(super) fn acquire_anonymous(&mut self, now: Time) -> bool {
        let allocated = self.make_room(now);
        self.anonymous += usize::from(allocated);
        allocated
    }

    /// Frees blocks without a hash.
    pub(super) fn free_anonymous(&mut self, count: usize) {
        self.anonymous = self.anonymous.saturating_sub(count);
    }

    /// Evicts those of `hashes` that no running job uses.
    pub(super) fn release(&mut self, now: Time, hashes: &[u64]) {
        for hash in hashes {
            let unused = self.blocks.get(hash).is_some_and(|block| block.refs == 0);
            if unused {
                self.evict(now, *hash);
            }
        }
    }

    /// Removes all blocks.
    pub(super) fn clear(&mut self, now: Time) {
        self.blocks.clear();
        self.unused.clear();
        self.anonymous = 0;
        self.idle = 0;
        self.record(now, CacheChange::Cleared);
    }

    /// Evicts a block if the cache is full. Returns false if running jobs use all
    /// blocks.
    fn make_room(&mut self, now: Time) -> bool {
        if self.blocks.len() + self.anonymous < self.capacity {
            return true;
        }
        let Some((.., hash)) = self.unused.first().copied() else {
            return false;
        };
        self.evict(now, hash);
        true
    }

    /// Evicts a block that no running job uses.
    fn evict(&mut self, now: Time, hash: u64) {
        let Some(block) = self.blocks.swap_remove(&hash) else {
            return;
        };
        self.unused.remove(&block.eviction_key(hash));
        self.idle -= usize::from(!block.shared);
        self.record(now, CacheChange::Evicted(hash));
    }

    // -----------------------------------------------------------------------
    // Events

    /// Records a change; a share of `loss_permille` is lost instead.
    fn record(&mut self, at: Time, change: CacheChange) {
        self.sequence += 1;
        if mix(self.seed ^ self.sequence) % 1_000 < self.loss_permille {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            at,
            change,
        });
    }

    /// Removes and returns the events up to and including `until`.
    pub(super) fn take_events(&mut self, until: Time) -> Vec<CacheEvent> {
        let due = self.events.partition_point(|event| event.at <= until);
        self.events.drain(..due).collect()
    }

    /// Current content of the cache.
    pub(super) fn snapshot(&self) -> CacheSnapshot {
        CacheSnapshot {
            sequence: self.sequence,
            blocks: self.blocks.keys().copied().collect(),
        }
    }
}

/// Finaliser of the splitmix64 generator, which selects the lost events.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
