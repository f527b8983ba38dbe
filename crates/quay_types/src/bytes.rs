//! Encodes byte strings with one copy, for `#[serde(with = "quay_types::bytes")]`.
//!
//! The encoded form equals that of a sequence of `u8`; only the per-byte calls
//! to the serializer are avoided.

use {
    serde::{Deserializer, Serializer, de::Visitor},
    std::fmt,
};

/// Encodes a byte string.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Decodes a byte string.
///
/// # Errors
///
/// Returns the deserializer's error.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Box<[u8]>, D::Error> {
    deserializer.deserialize_bytes(BytesVisitor)
}

/// Copies the borrowed bytes of a deserializer into a box.
struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Box<[u8]>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Box<[u8]>, E> {
        Ok(bytes.into())
    }
}
