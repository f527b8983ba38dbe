//! Prefix cache in a bounded number of blocks, with eviction of the least recently used.

use {
    super::ModelSettings,
    indexmap::IndexMap,
    quay_types::Time,
    std::collections::{BTreeSet, VecDeque},
};

/// Cache events that are kept for publishing at most.
const MAX_EVENTS: usize = 65_536;

/// A change of the cache's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block with this hash is held now.
    Stored(u64),
    /// The block with this hash is no longer held.
    Evicted(u64),
    /// Nothing is held any more.
    Cleared,
}

/// A published change; a missing sequence number is a lost event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Rises by one with each change, published or not.
    pub sequence: u64,
    /// When the change happened.
    pub at: Time,
    /// The change.
    pub change: CacheChange,
}

/// The whole content of the cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// Sequence number of the last change that is in the snapshot.
    pub sequence: u64,
    /// Hashes that are held.
    pub blocks: Box<[u64]>,
}

/// KV content taken out of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvExport {
    /// Leading hashes of a prompt, in order.
    pub blocks: Box<[u64]>,
}

/// One held block.
#[derive(Debug, Clone, Copy)]
struct Block {
    /// Running jobs that read the block.
    refs: u32,
    /// Position in the prompt; of two equally old blocks the later one goes first.
    depth: u32,
    last_used: Time,
    shared: bool,
}

impl Block {
    /// Order of eviction: oldest first, then the end of a prefix before its start.
    fn rank(&self, hash: u64) -> (Time, u32, u64) {
        (self.last_used, u32::MAX - self.depth, hash)
    }
}

/// The cache.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Blocks in use that have no hash.
    anonymous: usize,
    blocks: IndexMap<u64, Block>,
    /// Blocks that no running job reads, in order of eviction.
    unused: BTreeSet<(Time, u32, u64)>,
    /// How many of `unused` are not shared among programs.
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

    /// Leading hashes that are held.
    pub(super) fn matched(&self, hashes: &[u64]) -> usize {
        let held = |hash: &&u64| self.blocks.contains_key(*hash);
        hashes.iter().take_while(held).count()
    }

    /// Blocks that a job could still get.
    pub(super) fn available(&self) -> usize {
        let held = self.blocks.len() + self.anonymous - self.unused.len();
        self.capacity.saturating_sub(held)
    }

    /// Blocks that running jobs read, in thousandths of the memory.
    pub(super) fn used_permille(&self) -> u16 {
        let used = self.capacity - self.available();
        u16::try_from(used * 1_000 / self.capacity.max(1)).unwrap_or(u16::MAX)
    }

    /// Unshared blocks that no running job reads.
    pub(super) const fn idle(&self) -> usize {
        self.idle
    }

    /// Notes that a running job reads a block that is held.
    pub(super) fn pin(&mut self, hash: u64) {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return;
        };
        if block.refs == 0 {
            self.unused.remove(&block.rank(hash));
            self.idle -= usize::from(!block.shared);
        }
        block.refs += 1;
    }

    /// Notes that a running job has done with a block.
    pub(super) fn unpin(&mut self, now: Time, hash: u64) {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return;
        };
        block.refs = block.refs.saturating_sub(1);
        block.last_used = now;
        if block.refs == 0 {
            self.unused.insert(block.rank(hash));
            self.idle += usize::from(!block.shared);
        }
    }

    /// Takes a block for a running job; false if the memory is full of blocks in use.
    pub(super) fn take(&mut self, now: Time, hash: u64, depth: u32, shared: bool) -> bool {
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
        self.note(now, CacheChange::Stored(hash));
        true
    }

    /// Takes a block without a hash.
    pub(super) fn take_anonymous(&mut self, now: Time) -> bool {
        let room = self.make_room(now);
        self.anonymous += usize::from(room);
        room
    }

    /// Gives blocks without a hash back.
    pub(super) fn give_anonymous(&mut self, count: usize) {
        self.anonymous = self.anonymous.saturating_sub(count);
    }

    /// Drops those of `hashes` that no running job reads.
    pub(super) fn release(&mut self, now: Time, hashes: &[u64]) {
        for hash in hashes {
            let unused = self.blocks.get(hash).is_some_and(|block| block.refs == 0);
            if unused {
                self.drop_block(now, *hash);
            }
        }
    }

    /// Drops everything.
    pub(super) fn clear(&mut self, now: Time) {
        self.blocks.clear();
        self.unused.clear();
        self.anonymous = 0;
        self.idle = 0;
        self.note(now, CacheChange::Cleared);
    }

    /// Frees one block if none is free.
    fn make_room(&mut self, now: Time) -> bool {
        if self.blocks.len() + self.anonymous < self.capacity {
            return true;
        }
        let Some((.., hash)) = self.unused.first().copied() else {
            return false;
        };
        self.drop_block(now, hash);
        true
    }

    /// Drops a block that no running job reads.
    fn drop_block(&mut self, now: Time, hash: u64) {
        let Some(block) = self.blocks.swap_remove(&hash) else {
            return;
        };
        self.unused.remove(&block.rank(hash));
        self.idle -= usize::from(!block.shared);
        self.note(now, CacheChange::Evicted(hash));
    }

    // -----------------------------------------------------------------------
    // Events

    /// Records a change, unless it is one of those that get lost.
    fn note(&mut self, at: Time, change: CacheChange) {
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

    /// Takes the events that happened at `until` or before.
    pub(super) fn take_events(&mut self, until: Time) -> Vec<CacheEvent> {
        let ripe = self.events.partition_point(|event| event.at <= until);
        self.events.drain(..ripe).collect()
    }

    /// Everything that is held now.
    pub(super) fn snapshot(&self) -> CacheSnapshot {
        CacheSnapshot {
            sequence: self.sequence,
            blocks: self.blocks.keys().copied().collect(),
        }
    }
}

/// The finaliser of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
