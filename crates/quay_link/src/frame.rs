//! Frames: a length and one `postcard` value.

use {
    crate::LinkError,
    serde::{Serialize, de::DeserializeOwned},
};

/// Largest frame that a peer may send.
pub const MAX_FRAME_BYTES: usize = 32 << 20;

/// Bytes of the length before each frame.
pub(crate) const HEAD_BYTES: usize = 4;

/// The bytes of one received value, not yet decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(pub(crate) Box<[u8]>);

impl Frame {
    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// [`LinkError::Decode`] if the bytes are no `T` or are followed by others.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, LinkError> {
        let (value, rest) = postcard::take_from_bytes(&self.0).map_err(LinkError::Decode)?;
        if rest.is_empty() {
            Ok(value)
        } else {
            Err(LinkError::Decode(postcard::Error::DeserializeBadEncoding))
        }
    }
}

/// Encodes `value` with its length in front.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, LinkError> {
    let buf = postcard::to_extend(value, vec![0; HEAD_BYTES]).map_err(LinkError::Decode)?;
    seal(buf)
}

/// Writes the length into the first bytes of `buf`.
fn seal(mut buf: Vec<u8>) -> Result<Vec<u8>, LinkError> {
    let bytes = buf.len() - HEAD_BYTES;
    if bytes > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge { bytes });
    }
    let head = u32::try_from(bytes).map_err(|_| LinkError::TooLarge { bytes })?;
    buf[..HEAD_BYTES].copy_from_slice(&head.to_le_bytes());
    Ok(buf)
}

/// Reads the length in front of a frame.
pub(crate) fn body_bytes(head: [u8; HEAD_BYTES]) -> Result<usize, LinkError> {
    let bytes = u32::from_le_bytes(head) as usize;
    if bytes > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge { bytes });
    }
    Ok(bytes)
}
