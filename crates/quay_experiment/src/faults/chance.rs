//! Draws that the trials share.

use {rand::Rng as _, rand_chacha::ChaCha8Rng, std::time::Duration};

/// A number below `limit`.
pub(super) fn draw(rng: &mut ChaCha8Rng, limit: u64) -> u64 {
    rng.next_u64() % limit.max(1)
}

/// A slot of something with `len` parts.
pub(super) fn draw_slot(rng: &mut ChaCha8Rng, len: usize) -> usize {
    usize::try_from(draw(rng, len as u64)).unwrap_or_default()
}

/// Whether something that happens `permille` times in a thousand happens.
pub(super) fn chance(rng: &mut ChaCha8Rng, permille: u64) -> bool {
    draw(rng, 1_000) < permille
}

/// A time below `limit`, in milliseconds.
pub(super) fn draw_ms(rng: &mut ChaCha8Rng, limit: u64) -> Duration {
    Duration::from_millis(draw(rng, limit))
}
