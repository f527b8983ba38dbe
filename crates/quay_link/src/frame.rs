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
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Frame(pub(crate) Bytes);

impl Frame {
    /// Number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

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

/// Encoded value in chunks, which clones share.
///
/// ```
/// use quay_link::Encoded;
///
/// let mut encoded = Encoded::of(&(1_u8, 2_u8)).expect("encodes");
/// encoded.push(vec![3].into());
/// assert_eq!(encoded, Encoded::of(&[1_u8, 2, 3]).expect("encodes"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Encoded {
    chunks: Vec<Bytes>,
    /// Bytes of all chunks.
    len: usize,
}

impl Encoded {
    /// Encodes a value into a buffer of just its size.
    ///
    /// # Errors
    ///
    /// [`LinkError::Decode`] if the value can't be encoded.
    pub fn of(value: &impl Serialize) -> Result<Self, LinkError> {
        let buf = Vec::with_capacity(encoded_len(value)?);
        let buf = postcard::to_extend(value, buf).map_err(LinkError::Decode)?;
        Ok(Self::from(Bytes::from(buf)))
    }

    /// Number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a chunk, without a copy.
    pub fn push(&mut self, chunk: Bytes) {
        self.len += chunk.len();
        self.chunks.push(chunk);
    }

    /// Appends the chunks of another value, without a copy.
    pub fn append(&mut self, other: &Self) {
        self.len += other.len;
        self.chunks.extend_from_slice(&other.chunks);
    }

    /// Removes all bytes after the first `len`.
    pub fn truncate(&mut self, len: usize) {
        while self.len > len
            && let Some(mut last) = self.chunks.pop()
        {
            self.len -= last.len();
            last.truncate(len.saturating_sub(self.len));
            if !last.is_empty() {
                self.push(last);
            }
        }
    }

    /// The chunks, in order.
    pub(crate) fn chunks(&self) -> &[Bytes] {
        &self.chunks
    }

    /// The chunks of the frame, with its length prefix.
    pub(crate) fn into_frame(self) -> Result<Vec<Bytes>, LinkError> {
        let bytes = self.len;
        if bytes > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge { bytes });
        }
        let prefix = u32::try_from(bytes).map_err(|_| LinkError::TooLarge { bytes })?;
        let mut frame = Vec::with_capacity(self.chunks.len() + 1);
        frame.push(Bytes::copy_from_slice(&prefix.to_le_bytes()));
        frame.extend(self.chunks);
        Ok(frame)
    }
}

impl From<Bytes> for Encoded {
    fn from(chunk: Bytes) -> Self {
        Self {
            len: chunk.len(),
            chunks: vec![chunk],
        }
    }
}

impl PartialEq for Encoded {
    fn eq(&self, other: &Self) -> bool {
        let bytes = |it: &Self| it.chunks.concat();
        self.len == other.len && bytes(self) == bytes(other)
    }
}

impl Eq for Encoded {}

/// Number of bytes that a value is encoded in.
pub(crate) fn encoded_len(value: &impl Serialize) -> Result<usize, LinkError> {
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(value, size).map_err(LinkError::Decode)
}

/// Decodes a length prefix and checks it against the limit.
pub(crate) fn body_bytes(prefix: [u8; LENGTH_PREFIX_BYTES]) -> Result<usize, LinkError> {
    let bytes = u32::from_le_bytes(prefix) as usize;
    if bytes > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge { bytes });
    }
    Ok(bytes)
}
