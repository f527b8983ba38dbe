//! The checked configuration as the rest of the system uses it.

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
    /// Digests a bearer key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads 64 hexadecimal digits.
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

    /// The first eight bytes, by which digests are looked up.
    #[must_use]
    pub fn lookup_prefix(&self) -> u64 {
        let mut slot = [0; 8];
        slot.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(slot)
    }

    /// Compares in a time that does not depend on where the digests differ.
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
    /// Its name.
    pub name: Box<str>,
    /// Longest prompt and answer together, in tokens.
    pub context_tokens: u64,
    /// Version that upstreams are to load, if it matters.
    pub version: Option<Box<str>>,
}

/// An account of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: Box<str>,
    /// Section that it stands in.
    pub section: Box<str>,
    /// Share under contention, relative to other accounts; never 0.
    pub weight: u32,
    /// Requests a second; `None` sets no limit.
    pub requests_per_s: Option<u32>,
    /// Calls at a time; `None` sets no limit.
    pub concurrent: Option<u32>,
    /// Models that it may call; empty allows all.
    pub models: Box<[ModelId]>,
    /// Bounds of its programs.
    pub limits: ProgramLimits,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Box<str>,
    /// Paths whose calls may not be repeated; `*` stands for all.
    pub not_repeatable: Box<[Box<str>]>,
    /// Longest wait for its answer.
    pub timeout: Duration,
}

impl Service {
    /// Whether a call of `path` may be repeated.
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
    /// Whether its upstreams refuse orders with an old fence number.
    pub checks_fence: bool,
    /// Models that belong on it.
    pub models: Box<[ModelId]>,
}

/// When content that crashes upstreams is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineRules {
    /// Crashes after which content is quarantined.
    pub crashes: u32,
    /// How long it stays so.
    pub duration: Duration,
}

/// A document that passed every check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Authors that may change each section.
    pub owners: IndexMap<Box<str>, Box<[Box<str>]>>,
    /// How long work under an older index is still taken.
    pub grace: Duration,
    /// Models by key.
    pub models: IndexMap<ModelId, Model>,
    /// Classes of upstreams by name.
    pub upstreams: IndexMap<Box<str>, UpstreamClass>,
    /// Quarantine.
    pub quarantine: QuarantineRules,
    /// Accounts by key.
    pub accounts: IndexMap<AccountId, Account>,
    /// Key digests by [`KeyDigest::lookup_prefix`]; each slot occurs once.
    pub(crate) keys: IndexMap<u64, (KeyDigest, AccountId)>,
    /// Plain services by key.
    pub services: IndexMap<ServiceId, Service>,
}

impl Config {
    /// The account of a bearer key.
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
