//! Wire format of frames: a length prefix, then one value encoded by `postcard`.

use {
    crate::LinkError,
    bytes::Bytes,
    serde::{Serialize, de::DeserializeOwned},
};

/// Maximum size of a frame's body in bytes, for sending and receiving.
pub const MAX_FRAME_BYTES: usize = 32 << 20;

/// Size of the length prefix in bytes, a little-endian `u32`.
pub(crate) const LENGTH_PREFIX_BYTES: usize = 4;

/// Body of one received frame, not yet decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(pub(crate) Bytes);

impl Frame {
    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// [`LinkError::Decode`] if the bytes are not a valid `T` or bytes are left
    /// over.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, LinkError> {
        let (value, rest) = postcard::take_from_bytes(&self.0).map_err(LinkError::Decode)?;
        if rest.is_empty() {
            Ok(value)
        } else {
            Err(LinkError::Decode(postcard::Error::DeserializeBadEncoding))
        }
    }
}

/// Encodes `value` as a frame with its length prefix.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, LinkError> {
    let buf =
        postcard::to_extend(value, vec![0; LENGTH_PREFIX_BYTES]).map_err(LinkError::Decode)?;
    write_length_prefix(buf)
}

/// Fills in the length prefix at the start of `buf`.
fn write_length_prefix(mut buf: Vec<u8>) -> Result<Vec<u8>, LinkError> {
    let bytes = buf.len() - LENGTH_PREFIX_BYTES;
    if bytes > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge { bytes });
    }
    let prefix = u32::try_from(bytes).map_err(|_| LinkError::TooLarge { bytes })?;
    buf[..LENGTH_PREFIX_BYTES].copy_from_slice(&prefix.to_le_bytes());
    Ok(buf)
}

/// Decodes a length prefix and checks it against the limit.
pub(crate) fn body_bytes(prefix: [u8; LENGTH_PREFIX_BYTES]) -> Result<usize, LinkError> {
    let bytes = u32::from_le_bytes(prefix) as usize;
    if bytes > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge { bytes });
    }
    Ok(bytes)
}
