//! Programs: chains of turns that pause for tools and start sub-agents.

use {
    quay_types::{AccountId, ProgramId, Time},
    std::{sync::Arc, time::Duration},
};

/// Tokens in a block.
pub const BLOCK_TOKENS: u32 = 64;

/// One call of a program.
#[derive(Debug, Clone)]
pub struct Turn {
    /// New tokens of the prompt.
    pub input: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Time until the next call.
    pub pause: Duration,
    /// Programs that have to end before the next call, by their place in the list.
    pub sub_agents: Vec<usize>,
}

/// A program as it will run; its scheduler doesn't know.
#[derive(Debug, Clone)]
pub struct ProgramSpec {
    /// Its id.
    pub id: ProgramId,
    /// Account that pays.
    pub account: AccountId,
    /// Depth below the root.
    pub depth: u8,
    /// When it begins; sub-agents begin with their parent's turn.
    pub arrival: Time,
    /// Place of the parent in the list.
    pub parent: Option<usize>,
    /// Leading tokens that other programs share.
    pub shared: u32,
    /// Its calls.
    pub turns: Vec<Turn>,
    /// Hashes of its whole history.
    pub blocks: Arc<[u64]>,
    /// When its caller gives up.
    pub deadline: Time,
    /// Whether its first call crashes engines.
    pub poison: bool,
    /// Whether it belongs to the account that floods.
    pub flooding: bool,
}

impl ProgramSpec {
    /// Length of the prompt of a turn.
    #[must_use]
    pub fn prompt(&self, turn: usize) -> u32 {
        let before: u32 = self.turns[..turn]
            .iter()
            .map(|turn| turn.input + turn.output)
            .sum();
        self.shared + before + self.turns[turn].input
    }
}

/// Where a program stands.
#[derive(Debug, Clone, Default)]
pub struct ProgramState {
    /// Next or open turn.
    pub turn: usize,
    /// Tokens that it was given.
    pub attained: u64,
    /// Sub-agents that have not ended.
    pub open_children: usize,
    /// Whether the turn that they belong to has paused long enough.
    pub pause_over: bool,
    /// Its open call.
    pub call: Option<usize>,
    /// Upstreams that hold something for it.
    pub upstreams: Vec<usize>,
    /// Whether it has ended, well or not.
    pub ended: bool,
}
