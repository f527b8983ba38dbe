//! Name and place of the process.

use serde::Deserialize;

/// Name and place of the process.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name in logs and audit records.
    pub name: Box<str>,
    /// Data centre that the host is in.
    #[serde(default)]
    pub data_centre: Box<str>,
}
