//! Which blocks of an upstream's cache belong to which program.

use {
    indexmap::{IndexMap, IndexSet},
    quay_types::ProgramId,
};

/// Who holds a block.
#[derive(Debug, Clone, Copy, Default)]
struct Holders {
    /// Programs that hold it; never 0 for a block in the book.
    count: u32,
    /// Whether more than one program has held it.
    shared: bool,
}

/// Blocks of the prompts that one upstream has run, by program.
///
/// A block that several programs had in their prompts, such as a common system
/// prompt, is no program's own: it stays under the upstream's own eviction.
#[derive(Debug, Default)]
pub struct ProgramBlocks {
    programs: IndexMap<ProgramId, IndexSet<u64>>,
    blocks: IndexMap<u64, Holders>,
}

impl ProgramBlocks {
    /// Notes the blocks of a program's prompt.
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

    /// Forgets a program; its own blocks, which the upstream may drop.
    pub fn remove(&mut self, program: ProgramId) -> Box<[u64]> {
        let held = self.programs.swap_remove(&program).unwrap_or_default();
        let own = held.into_iter().filter(|block| self.release(*block));
        own.collect()
    }

    /// Takes a holder off a block; `true` if it was the only one ever.
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

    /// Blocks in the book.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the book is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
