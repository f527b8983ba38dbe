//! Client accounts, their keys and quotas.

use {
    crate::TableError,
    indexmap::IndexMap,
    quay_types::{AccountId, RequestRate},
    ring::digest,
    serde::{Deserialize, Serialize},
    std::{collections::HashSet, fmt},
    subtle::ConstantTimeEq as _,
};

/// SHA-256 of an API key.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let mut bytes = [0; 32];
        bytes.copy_from_slice(digest::digest(&digest::SHA256, key.as_bytes()).as_ref());
        Self(bytes)
    }

    /// The digest. It is not for logs: short keys could be guessed from it.
    #[must_use]
    pub const fn bytes(&self) -> [u8; 32] {
        self.0
    }

    /// Bits by which digests are indexed.
    fn index(&self) -> u64 {
        let mut start = [0; 8];
        start.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(start)
    }
}

impl PartialEq for KeyDigest {
    /// Compares in constant time, so that response times do not tell how much of
    /// a digest was right.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    /// Shows nothing of the digest, from which short keys could be guessed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Limit on an account's requests over all fronts: in any period, the requests of
/// `rate` in that period and `burst` more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Rate of requests.
    pub rate: RequestRate,
    /// Number of requests that may exceed the rate.
    pub burst: u64,
}

/// A client account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name, which upstreams and operators see.
    pub name: Box<str>,
    /// Digests of its API keys.
    pub keys: Box<[KeyDigest]>,
    /// Priority of its requests, in place of the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

impl Account {
    /// Id of the account.
    #[must_use]
    pub fn id(&self) -> AccountId {
        AccountId::of(&self.name)
    }

    /// Whether the account has a key. Compares with all of its keys, so that response
    /// times do not tell which one it is.
    fn holds(&self, key: &KeyDigest) -> bool {
        let equal = self.keys.iter().map(|held| held == key);
        equal.fold(false, |found, equal| found | equal)
    }
}

/// The accounts of one version of the configuration.
///
/// Requests need no key while there are no accounts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTable {
    accounts: Box<[Account]>,
    /// Positions in `accounts` by the start of each key's digest. Digests that start
    /// alike share an entry.
    by_key: IndexMap<u64, Box<[u32]>>,
    /// Highest priority of an account that has one of its own.
    top_priority: Option<u32>,
    /// Whether an account has no priority of its own.
    has_default_priority: bool,
}

impl AccountTable {
    /// Creates a table; [`check`](Self::check) validates it.
    #[must_use]
    pub fn new(accounts: impl Into<Box<[Account]>>) -> Self {
        let accounts = accounts.into();
        let mut by_key: IndexMap<u64, Box<[u32]>> = IndexMap::new();
        for (at, account) in (0..).zip(&accounts) {
            for key in &account.keys {
                let holders = by_key.entry(key.index()).or_default();
                *holders = [&**holders, &[at]].concat().into();
            }
        }
        Self {
            top_priority: accounts.iter().filter_map(|it| it.priority).min(),
            has_default_priority: accounts.iter().any(|it| it.priority.is_none()),
            accounts,
            by_key,
        }
    }

    /// Whether there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// All accounts, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter()
    }

    /// The account that holds a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Account> {
        let holders = self.by_key.get(&key.index())?.iter();
        let mut accounts = holders.filter_map(|at| self.accounts.get(*at as usize));
        accounts.find(|account| account.holds(key))
    }

    /// Highest priority that a request of an account can have on a route that is not
    /// public, given the route's own priority.
    #[must_use]
    pub fn highest_priority(&self, of_route: u32) -> u32 {
        match self.top_priority {
            Some(top) if self.has_default_priority => top.min(of_route),
            Some(top) => top,
            None => of_route,
        }
    }

    /// Validates the table.
    ///
    /// # Errors
    ///
    /// If two accounts have the same name or share a key, or a name is empty.
    pub fn check(&self) -> Result<(), TableError> {
        let mut names = HashSet::new();
        for account in &self.accounts {
            if account.name.is_empty() || !names.insert(&account.name) {
                return Err(TableError::AccountName(account.name.clone()));
            }
            for key in &account.keys {
                let holder = self.find(key);
                if let Some(other) = holder.filter(|other| other.name != account.name) {
                    return Err(TableError::SharedKey {
                        accounts: [other.name.clone(), account.name.clone()],
                    });
                }
            }
        }
        Ok(())
    }
}
