//! Encodes byte strings in one piece, for `#[serde(with = "quay_types::bytes")]`.
//!
//! The encoding is that of a sequence of bytes, but it is copied at once.

use {
    serde::{Deserializer, Serializer, de::Visitor},
    std::fmt,
};

/// Encodes bytes.
///
/// # Errors
///
/// As the serializer.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Decodes bytes.
///
/// # Errors
///
/// As the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Box<[u8]>, D::Error> {
    deserializer.deserialize_bytes(Bytes)
}

/// Copies the bytes that a deserializer shows.
struct Bytes;

impl Visitor<'_> for Bytes {
    type Value = Box<[u8]>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Box<[u8]>, E> {
        Ok(bytes.into())
    }
}
