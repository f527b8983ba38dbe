//! The validated configuration, as used by the rest of the system.

use {
    indexmap::IndexMap,
    quay_types::{AccountId, ModelId, ProgramLimits, ServiceId},
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::{fmt, time::Duration},
    subtle::ConstantTimeEq as _,
};

/// SHA-256 of an account's bearer key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a bearer key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 lower-case hexadecimal digits.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = (hex_digit(pair[0])? << 4) | hex_digit(pair[1])?;
        }
        Some(Self(bytes))
    }

    /// The first eight bytes, which serve as the key of the lookup table.
    #[must_use]
    pub fn lookup_prefix(&self) -> u64 {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(prefix)
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The value of a hexadecimal digit.
const fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

/// A model that may be called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Name of the model.
    pub name: Box<str>,
    /// Maximum length of prompt and answer together, in tokens.
    pub context_tokens: u64,
    /// Version that upstreams must load; `None` allows any.
    pub version: Option<Box<str>>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: Box<str>,
    /// Section that defines the account.
    pub section: Box<str>,
    /// Relative share of the capacity under contention; never 0.
    pub weight: u32,
    /// Maximum number of requests per second; `None` sets no limit.
    pub requests_per_s: Option<u32>,
    /// Maximum number of concurrent calls; `None` sets no limit.
    pub concurrent: Option<u32>,
    /// Models that the account may call; empty allows all.
    pub models: Box<[ModelId]>,
    /// Limits of the account's programs.
    pub limits: ProgramLimits,
}

/// A service without a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Paths whose calls must not be repeated; `*` matches all paths.
    pub not_repeatable: Box<[Box<str>]>,
    /// Time-out for an answer of the service.
    pub timeout: Duration,
}

impl Service {
    /// Whether a call to `path` may be repeated.
    #[must_use]
    pub fn repeatable(&self, path: &str) -> bool {
        !self
            .not_repeatable
            .iter()
            .any(|known| &**known == "*" || &**known == path)
    }
}

/// A class of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamClass {
    /// Whether the upstreams reject orders with an old fence number.
    pub checks_fence: bool,
    /// Models that these upstreams serve.
    pub models: Box<[ModelId]>,
}

/// When content that crashes upstreams is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineRules {
    /// Number of crashes after which content is quarantined.
    pub crashes: u32,
    /// Duration of the quarantine.
    pub duration: Duration,
}

/// A validated configuration document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Authors that may change each section.
    pub owners: IndexMap<Box<str>, Box<[Box<str>]>>,
    /// Time for which work under an older index is still accepted.
    pub grace: Duration,
    /// Models by id.
    pub models: IndexMap<ModelId, Model>,
    /// Upstream classes by name.
    pub upstreams: IndexMap<Box<str>, UpstreamClass>,
    /// Rules of the quarantine.
    pub quarantine: QuarantineRules,
    /// Accounts by id.
    pub accounts: IndexMap<AccountId, Account>,
    /// Key digests by [`KeyDigest::lookup_prefix`]; each prefix occurs once.
    pub(crate) keys: IndexMap<u64, (KeyDigest, AccountId)>,
    /// Services by id.
    pub services: IndexMap<ServiceId, Service>,
}

impl Config {
    /// Finds the account of a bearer key; `None` if the key is unknown.
    #[must_use]
    pub fn account_of(&self, bearer: &str) -> Option<AccountId> {
        let digest = KeyDigest::of(bearer);
        let (known, account) = self.keys.get(&digest.lookup_prefix())?;
        known.matches(&digest).then_some(*account)
    }

    /// Whether `author` may change `section`.
    #[must_use]
    pub fn owns(&self, author: &str, section: &str) -> bool {
        self.owners
            .get(section)
            .is_some_and(|owners| owners.iter().any(|owner| &**owner == author))
    }

    /// Whether `author` owns any section.
    #[must_use]
    pub fn is_owner(&self, author: &str) -> bool {
        self.owners.keys().any(|section| self.owns(author, section))
    }
}
