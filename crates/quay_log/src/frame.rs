//! Frames: a header with length, number and checksum, followed by a payload.

use crate::LogError;

/// First bytes of each frame.
const MAGIC: [u8; 4] = *b"QLF1";

/// Size of the header in bytes: magic, length, checksum, number.
pub(crate) const HEADER_BYTES: usize = 20;

/// Maximum payload in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// A decoded frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    /// Frame number; consecutive frames have consecutive numbers.
    pub(crate) number: u64,
    pub(crate) payload: &'a [u8],
}

impl Frame<'_> {
    /// Size of the header and the payload in bytes.
    pub(crate) const fn bytes(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// CRC-32 over length, number and payload.
fn checksum(length: u32, number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Starts a frame with a zeroed header, which [`seal`] fills in.
pub(crate) fn start() -> Vec<u8> {
    vec![0; HEADER_BYTES]
}

/// Fills in the header of a frame whose payload is complete.
pub(crate) fn seal(buf: &mut [u8], number: u64) -> Result<(), LogError> {
    let bytes = buf.len() - HEADER_BYTES;
    let length = u32::try_from(bytes).map_err(|_| LogError::TooLarge(bytes))?;
    if bytes > MAX_PAYLOAD_BYTES {
        return Err(LogError::TooLarge(bytes));
    }
    let sum = checksum(length, number, &buf[HEADER_BYTES..]);
    buf[..4].copy_from_slice(&MAGIC);
    buf[4..8].copy_from_slice(&length.to_le_bytes());
    buf[8..12].copy_from_slice(&sum.to_le_bytes());
    buf[12..HEADER_BYTES].copy_from_slice(&number.to_le_bytes());
    Ok(())
}

/// Reads the frame at the start of `bytes`; `None` if no complete frame with a
/// valid checksum starts there.
pub(crate) fn read(bytes: &[u8]) -> Option<Frame<'_>> {
    let header = bytes.first_chunk::<HEADER_BYTES>()?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let sum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let number = u64::from_le_bytes(header[12..].try_into().ok()?);
    let end = HEADER_BYTES.checked_add(usize::try_from(length).ok()?)?;
    let payload = bytes.get(HEADER_BYTES..end)?;
    (checksum(length, number, payload) == sum).then_some(Frame { number, payload })
}

/// Offset in `bytes` of the first valid frame whose number is above `number`.
pub(crate) fn find_after(bytes: &[u8], number: u64) -> Option<usize> {
    let starts = bytes.windows(MAGIC.len()).enumerate();
    starts
        .filter(|(_, window)| *window == MAGIC)
        .map(|(offset, _)| offset)
        .find(|offset| read(&bytes[*offset..]).is_some_and(|frame| frame.number > number))
}
