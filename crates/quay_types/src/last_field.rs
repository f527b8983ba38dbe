//! Last field of a message, which messages of earlier versions lack.

use serde::{Deserialize, Deserializer};

/// Reads the last field of a message that is encoded by position. Messages of earlier
/// versions end before it and get the default.
///
/// For `#[serde(deserialize_with = "quay_types::last_field::or_default")]`.
///
/// # Errors
///
/// Never fails.
pub fn or_default<'de, D, T>(message: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(message).unwrap_or_default())
}
