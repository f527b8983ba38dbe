//! Parts of a prompt as blocks that caches hold.

/// Tokens in a block.
pub const BLOCK_TOKENS: u64 = 64;

/// One part of a prompt; prompts may share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// Length of a prompt in tokens.
#[must_use]
pub fn token_count(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}

/// The line of calls that a prompt belongs to, and the one that it branched off
/// from, if any. The first part is shared by many lines; the last one is the
/// line's own and grows with each of its calls.
#[must_use]
pub fn branch_ids(parts: &[PromptPart]) -> Vec<u64> {
    let mut chain = 0;
    let chained = parts.iter().map(|part| {
        chain = mix(chain ^ part.id);
        chain
    });
    let mut lines: Vec<u64> = chained.skip(1).collect();
    lines.reverse();
    lines.truncate(2);
    lines
}

/// Chained hashes of the prompt's blocks: a block is only worth something to
/// one who holds all blocks before it.
#[must_use]
pub fn block_hashes(parts: &[PromptPart]) -> Vec<u64> {
    let mut chain = 0;
    let mut hashes = Vec::new();
    for part in parts {
        for block in 0..part.tokens.div_ceil(BLOCK_TOKENS) {
            chain = mix(chain ^ mix(part.id ^ block << 48));
            hashes.push(chain);
        }
    }
    hashes
}

/// The finaliser of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
