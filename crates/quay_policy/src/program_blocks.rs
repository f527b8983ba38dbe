//! Tracks which cached prompt blocks of an upstream belong to which program.

use {
    indexmap::{IndexMap, IndexSet},
    quay_types::ProgramId,
};

/// Programs that hold a block.
#[derive(Debug, Clone, Copy, Default)]
struct Holders {
    /// Number of programs that hold the block; never 0 for a stored block.
    count: u32,
    /// Whether more than one program has ever held the block.
    shared: bool,
}

/// Prompt blocks that one upstream has processed, by program.
///
/// A block that appeared in the prompts of several programs, such as a common
/// system prompt, belongs to none of them and is left to the upstream's own
/// eviction.
#[derive(Debug, Default)]
pub struct ProgramBlocks {
    programs: IndexMap<ProgramId, IndexSet<u64>>,
    blocks: IndexMap<u64, Holders>,
}

impl ProgramBlocks {
    /// Records the blocks of a program's prompt.
    pub fn record(&mut self, program: ProgramId, blocks: &[u64]) {
        let held = self.programs.entry(program).or_default();
        for block in blocks {
            if held.insert(*block) {
                let holders = self.blocks.entry(*block).or_default();
                holders.count += 1;
                holders.shared |= holders.count > 1;
            }
        }
    }

    /// Removes a program and returns the blocks that only this program held,
    /// which the upstream may release.
    pub fn remove(&mut self, program: ProgramId) -> Box<[u64]> {
        let held = self.programs.swap_remove(&program).unwrap_or_default();
        let own = held.into_iter().filter(|block| self.release(*block));
        own.collect()
    }

    /// Removes one holder from a block; returns `true` if no other program has
    /// ever held the block.
    fn release(&mut self, block: u64) -> bool {
        let Some(holders) = self.blocks.get_mut(&block) else {
            return false;
        };
        holders.count -= 1;
        let own = holders.count == 0 && !holders.shared;
        if holders.count == 0 {
            self.blocks.swap_remove(&block);
        }
        own
    }

    /// Number of blocks that are tracked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no blocks are tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
