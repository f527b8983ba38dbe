//! Random draws shared by the trials.

use {rand::Rng as _, rand_chacha::ChaCha8Rng, std::time::Duration};

/// Returns a random number below `limit`.
pub(super) fn draw(rng: &mut ChaCha8Rng, limit: u64) -> u64 {
    rng.next_u64() % limit.max(1)
}

/// Returns a random index into a collection of `len` elements.
pub(super) fn draw_slot(rng: &mut ChaCha8Rng, len: usize) -> usize {
    usize::try_from(draw(rng, len as u64)).unwrap_or_default()
}

/// Returns `true` with a probability of `permille` in 1,000.
pub(super) fn chance(rng: &mut ChaCha8Rng, permille: u64) -> bool {
    draw(rng, 1_000) < permille
}

/// Returns a random duration below `limit` milliseconds.
pub(super) fn draw_ms(rng: &mut ChaCha8Rng, limit: u64) -> Duration {
    Duration::from_millis(draw(rng, limit))
}
