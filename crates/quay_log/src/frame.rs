//! Frames: a head with length, number and checksum, and a payload.

use crate::LogError;

/// First bytes of each frame.
const MAGIC: [u8; 4] = *b"QLF1";

/// Bytes before the payload: magic, length, checksum, number.
pub(crate) const HEAD_BYTES: usize = 20;

/// Largest payload.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// One frame that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    /// Number of the frame; each is one above the frame before.
    pub(crate) number: u64,
    /// What it holds.
    pub(crate) payload: &'a [u8],
}

impl Frame<'_> {
    /// Bytes of the whole frame.
    pub(crate) const fn bytes(&self) -> usize {
        HEAD_BYTES + self.payload.len()
    }
}

/// Checksum over length, number and payload.
fn checksum(length: u32, number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Starts a frame: room for the head, which [`seal`] fills in.
pub(crate) fn start() -> Vec<u8> {
    vec![0; HEAD_BYTES]
}

/// Fills in the head of a frame.
pub(crate) fn seal(buf: &mut [u8], number: u64) -> Result<(), LogError> {
    let bytes = buf.len() - HEAD_BYTES;
    let length = u32::try_from(bytes).map_err(|_| LogError::TooLarge(bytes))?;
    if bytes > MAX_PAYLOAD_BYTES {
        return Err(LogError::TooLarge(bytes));
    }
    let sum = checksum(length, number, &buf[HEAD_BYTES..]);
    buf[..4].copy_from_slice(&MAGIC);
    buf[4..8].copy_from_slice(&length.to_le_bytes());
    buf[8..12].copy_from_slice(&sum.to_le_bytes());
    buf[12..HEAD_BYTES].copy_from_slice(&number.to_le_bytes());
    Ok(())
}

/// Reads the frame at the start of `bytes`; `None` if there is no whole one.
pub(crate) fn read(bytes: &[u8]) -> Option<Frame<'_>> {
    let head = bytes.first_chunk::<HEAD_BYTES>()?;
    if head[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(head[4..8].try_into().ok()?);
    let sum = u32::from_le_bytes(head[8..12].try_into().ok()?);
    let number = u64::from_le_bytes(head[12..].try_into().ok()?);
    let end = HEAD_BYTES.checked_add(usize::try_from(length).ok()?)?;
    let payload = bytes.get(HEAD_BYTES..end)?;
    (checksum(length, number, payload) == sum).then_some(Frame { number, payload })
}

/// Where a whole frame with a number above `number` starts in `bytes`, if any.
pub(crate) fn find_after(bytes: &[u8], number: u64) -> Option<usize> {
    let starts = bytes.windows(MAGIC.len()).enumerate();
    starts
        .filter(|(_, window)| *window == MAGIC)
        .map(|(offset, _)| offset)
        .find(|offset| read(&bytes[*offset..]).is_some_and(|frame| frame.number > number))
}
