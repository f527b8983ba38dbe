//! Digests of request content and of prompt prefixes.

use {
    crate::{AccountId, ScopedId},
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::fmt,
};

/// First 16 bytes of the SHA-256 of a request's content.
///
/// The quarantine treats requests with equal digests as the same request, even
/// if their keys differ.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ContentDigest([u8; 16]);

impl ContentDigest {
    /// Hashes `parts`. Each part is prefixed with its length, so that moving a
    /// byte from one part to the next changes the digest.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        Self::finish(Self::begin(parts))
    }

    /// Hashes `parts` and one more part, which is given in pieces. The digest is that of
    /// [`of`](Self::of) with the pieces joined.
    #[must_use]
    pub fn with_last(parts: &[&[u8]], last: &[&[u8]]) -> Self {
        let mut hasher = Self::begin(parts);
        let len: usize = last.iter().map(|piece| piece.len()).sum();
        hasher.update((len as u64).to_le_bytes());
        for piece in last {
            hasher.update(piece);
        }
        Self::finish(hasher)
    }

    /// Digest with the same first eight bytes, and others that depend on `scope`.
    fn in_scope(self, scope: &[&[u8]]) -> Self {
        let mut hasher = Self::begin(scope);
        hasher.update(self.0);
        let mut scoped = Self::finish(hasher);
        scoped.0[..8].copy_from_slice(&self.0[..8]);
        scoped
    }

    fn begin(parts: &[&[u8]]) -> Sha256 {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher
    }

    fn finish(hasher: Sha256) -> Self {
        let full = hasher.finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&full[..16]);
        Self(short)
    }

    /// All-zero digest; starts a hash chain and is the digest of no content.
    pub const ZERO: Self = Self([0; 16]);

    /// Digest as a big-endian integer, for use as a key.
    #[must_use]
    pub const fn to_u128(self) -> u128 {
        u128::from_be_bytes(self.0)
    }

    /// First eight bytes as a big-endian integer.
    #[must_use]
    pub const fn to_u64(self) -> u64 {
        #[allow(clippy::cast_possible_truncation)] // Only the upper half is needed.
        let upper = (self.to_u128() >> 64) as u64;
        upper
    }
}

/// Content of a request, as far as it identifies the request: two accounts' requests of the
/// same content are two requests, but the caller's account may change between two sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent {
    /// Digest under which runs of the request are recorded.
    pub own: ContentDigest,
    /// Digest of the content alone.
    content: ContentDigest,
}

impl RequestContent {
    /// A request of an account, or of none. The digests of all requests of a content start
    /// with the same eight bytes.
    #[must_use]
    pub fn new(account: Option<AccountId>, content: ContentDigest) -> Self {
        let own = account.map_or(content, |account| {
            content.in_scope(&[b"content of account", &account.0.to_le_bytes()])
        });
        Self { own, content }
    }

    /// Whether a digest may be that of the same caller's request: the caller's account, or
    /// one of the two has none.
    #[must_use]
    pub fn matches(&self, digest: ContentDigest) -> bool {
        if self.own == self.content {
            digest.to_u64() == self.content.to_u64()
        } else {
            digest == self.own || digest == self.content
        }
    }

    /// Digests under which the origin of the request's stream is recorded and looked up.
    #[must_use]
    pub fn scoped(&self) -> ScopedId<ContentDigest> {
        let any = self.content.in_scope(&[b"content of any account"]);
        ScopedId::new(self.own, self.own != self.content, self.content, any)
    }
}

impl From<ContentDigest> for RequestContent {
    fn from(content: ContentDigest) -> Self {
        Self {
            own: content,
            content,
        }
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.to_u128())
    }
}

/// Bytes of prompt text per prefix cache block: 64 tokens of 4 bytes.
const BLOCK_BYTES: usize = 256;

/// Chained hashes of the complete blocks of a prompt.
///
/// Hash `n` covers blocks `0..=n`, so the number of leading hashes that two
/// prompts share is the number of blocks in their common prefix. A partial
/// last block has no hash.
#[must_use]
pub fn block_hashes(prompt: &[u8]) -> Box<[u64]> {
    let mut previous = 0u64;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            previous = chained_hash(previous, block);
            previous
        })
        .collect()
}

/// FNV-1a hash of `block`, seeded with the hash of the preceding blocks.
fn chained_hash(previous: u64, block: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let seeded = OFFSET ^ previous.wrapping_mul(PRIME);
    block.iter().fold(seeded, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
