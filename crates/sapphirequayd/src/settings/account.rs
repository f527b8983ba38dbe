//! Accounts of callers.

use serde::Deserialize;

/// An account that may call.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSettings {
    /// Name of the account.
    pub name: Box<str>,
    /// Bearer key of the account.
    pub key: Box<str>,
}
