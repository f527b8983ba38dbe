//! Programs: sequences of calls with pauses for tools and with sub-agents.

use {
    quay_types::{AccountId, ProgramId, Time},
    std::{sync::Arc, time::Duration},
};

/// Number of tokens in a KV cache block.
pub const BLOCK_TOKENS: u32 = 64;

/// One call of a program and the pause that follows it.
#[derive(Debug, Clone)]
pub struct Turn {
    /// Number of new tokens in the prompt.
    pub input: u32,
    /// Number of tokens in the answer.
    pub output: u32,
    /// Time between the end of this call and the next call.
    pub pause: Duration,
    /// Sub-agents that must end before the next call, as indices into the list of
    /// programs.
    pub sub_agents: Vec<usize>,
}

/// Predetermined course of a program, which is not visible to the policy.
#[derive(Debug, Clone)]
pub struct ProgramSpec {
    /// Unique id.
    pub id: ProgramId,
    /// Account that the program's usage is charged to.
    pub account: AccountId,
    /// Number of levels below the root program.
    pub depth: u8,
    /// Start time; sub-agents start when the parent's turn ends instead.
    pub arrival: Time,
    /// Index of the parent in the list of programs.
    pub parent: Option<usize>,
    /// Number of leading prompt tokens that are shared with other programs.
    pub shared_tokens: u32,
    /// Calls, in order.
    pub turns: Vec<Turn>,
    /// Hashes of all blocks of the history.
    pub blocks: Arc<[u64]>,
    /// Time at which the caller abandons the program.
    pub deadline: Time,
    /// Whether the program's calls crash the engine that runs them.
    pub poison: bool,
    /// Whether the program belongs to the flooding account.
    pub flooding: bool,
}

impl ProgramSpec {
    /// Length of a turn's prompt in tokens, including all earlier turns.
    #[must_use]
    pub fn prompt(&self, turn: usize) -> u32 {
        let before: u32 = self.turns[..turn]
            .iter()
            .map(|turn| turn.input + turn.output)
            .sum();
        self.shared_tokens + before + self.turns[turn].input
    }
}

/// Progress of a program.
#[derive(Debug, Clone, Default)]
pub struct ProgramState {
    /// Index of the current or next turn.
    pub turn: usize,
    /// Number of prompt and output tokens of completed calls.
    pub attained: u64,
    /// Number of sub-agents that have not ended.
    pub open_sub_agents: usize,
    /// Whether the pause after the turn that started the sub-agents has elapsed.
    pub pause_elapsed: bool,
    /// Index of the call in progress.
    pub call: Option<usize>,
    /// Upstreams that hold KV blocks of the program.
    pub upstreams: Vec<usize>,
    /// Whether the program has finished or was abandoned.
    pub ended: bool,
}
