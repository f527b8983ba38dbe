//! Hashes of prompts for prefix caches.

/// Number of tokens in a cache block.
pub const BLOCK_TOKENS: u64 = 64;

/// One part of a prompt. Prompts may share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// Length of a prompt in tokens.
#[must_use]
pub fn token_count(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}

/// Identifiers of the conversation branch that a prompt belongs to and of the
/// branch that it was forked from, if any. The first part of a prompt is shared
/// by many branches. The last part belongs to one branch only and grows with
/// each of its calls.
#[must_use]
pub fn branch_ids(parts: &[PromptPart]) -> Vec<u64> {
    let mut chain = 0;
    let prefixes = parts.iter().map(|part| {
        chain = mix(chain ^ part.id);
        chain
    });
    let mut branches: Vec<u64> = prefixes.skip(1).collect();
    branches.reverse();
    branches.truncate(2);
    branches
}

/// Chained hashes of the prompt's blocks. Each hash covers all blocks before
/// it, since a cached block is usable only together with these.
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
