//! The ledger role.

use serde::Deserialize;

/// The ledger role.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {}
