//! The rules in force: who may call.

use {crate::settings::AccountSettings, indexmap::IndexMap, quay_types::AccountId};

/// Rules that one version of the configuration sets.
#[derive(Debug, Default)]
pub struct Rules {
    /// Accounts by their bearer keys.
    accounts: IndexMap<Box<str>, AccountId>,
}

impl Rules {
    /// Rules that know the given accounts.
    #[must_use]
    pub fn new(accounts: &[AccountSettings]) -> Self {
        let accounts = accounts
            .iter()
            .map(|account| (account.key.clone(), AccountId::of(&account.name)))
            .collect();
        Self { accounts }
    }

    /// The account of a bearer key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<AccountId> {
        self.accounts.get(key).copied()
    }
}
