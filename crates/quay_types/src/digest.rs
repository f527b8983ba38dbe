//! Digests of request content and of prompt prefixes.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::fmt,
};

/// The first 16 bytes of a SHA-256 over a request's content.
///
/// Two requests with equal digests are the same request to quarantine, even
/// when their keys differ.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ContentDigest([u8; 16]);

impl ContentDigest {
    /// Digests `parts`; each part is framed by its length, so that moving a
    /// byte from one part to the next changes the digest.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let full = hasher.finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&full[..16]);
        Self(short)
    }

    /// The digest of nothing, which no content has.
    pub const ZERO: Self = Self([0; 16]);

    /// The digest as a number, for use as a key.
    #[must_use]
    pub const fn to_u128(self) -> u128 {
        u128::from_be_bytes(self.0)
    }

    /// The first eight bytes as a number.
    #[must_use]
    pub const fn to_u64(self) -> u64 {
        #[allow(clippy::cast_possible_truncation)] // The upper half is what is wanted.
        let upper = (self.to_u128() >> 64) as u64;
        upper
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.to_u128())
    }
}

/// Bytes of prompt text in one block of the prefix cache: 64 tokens of 4 bytes.
const BLOCK_BYTES: usize = 256;

/// Chained hashes of the whole blocks of a prompt.
///
/// Hash `n` covers blocks `0..=n`, so two prompts share a prefix of exactly as
/// many blocks as they share leading hashes. A last part block has no hash.
#[must_use]
pub fn block_hashes(prompt: &[u8]) -> Box<[u64]> {
    let mut previous = 0u64;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            previous = chain(previous, block);
            previous
        })
        .collect()
}

/// FNV-1a over `block`, seeded by the hash of the blocks before it.
fn chain(previous: u64, block: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let seeded = OFFSET ^ previous.wrapping_mul(PRIME);
    block.iter().fold(seeded, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
