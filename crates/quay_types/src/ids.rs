//! Identifiers: small `Copy` types for programs, accounts, upstreams and more.

use {
    crate::ContentDigest,
    serde::{Deserialize, Serialize},
    std::{fmt, iter, num::ParseIntError, str::FromStr},
};

/// Declares a newtype over an integer.
macro_rules! integer_newtype {
    ($(#[$doc:meta])* $name:ident($repr:ty), $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

/// Declares an id that is the hash of a name.
macro_rules! hashed_name_id {
    ($(#[$doc:meta])* $name:ident, $domain:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Id of `name`. The id is a hash, so all processes derive the same
            /// id without sharing a table.
            #[must_use]
            pub fn of(name: &str) -> Self {
                Self(ContentDigest::of(&[$domain, name.as_bytes()]).to_u64())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

hashed_name_id!(
    /// Client account, by its configured name.
    AccountId, b"account"
);
hashed_name_id!(
    /// Model that upstreams serve, by its configured name.
    ModelId, b"model"
);
hashed_name_id!(
    /// Plain service, by its configured name.
    ServiceId, b"service"
);
hashed_name_id!(
    /// Upstream, by the name that its sidecar announces.
    UpstreamId, b"upstream"
);
hashed_name_id!(
    /// Version of an upstream's software, by the name that the upstream announces.
    /// Versions have no order.
    SoftwareVersion, b"software version"
);

/// Declares an id that is the hash of a name which a caller assigned.
macro_rules! owned_name_id {
    ($(#[$doc:meta])* $name:ident, $domain:literal) => {
        hashed_name_id!($(#[$doc])* $name, $domain);

        impl $name {
            /// Id of `name` among the names that an account assigned; without an
            /// account, the same as [`of`](Self::of).
            #[must_use]
            pub fn owned(account: Option<AccountId>, name: &str) -> Self {
                let Some(account) = account else {
                    return Self::of(name);
                };
                let parts: [&[u8]; 3] = [$domain, &account.0.to_le_bytes(), name.as_bytes()];
                Self(ContentDigest::of(&parts).to_u64())
            }

            /// Id of what is recorded under `name` for any account, for callers
            /// without one.
            #[must_use]
            pub fn of_any_account(name: &str) -> Self {
                let parts: [&[u8]; 3] = [$domain, b"of any account", name.as_bytes()];
                Self(ContentDigest::of(&parts).to_u64())
            }

            /// Ids of `name` for a caller whose account may have changed.
            #[must_use]
            pub fn scoped(account: Option<AccountId>, name: &str) -> ScopedId<Self> {
                let (none, any) = (Self::of(name), Self::of_any_account(name));
                let own = Self::owned(account, name);
                ScopedId::new(own, account.is_some(), none, any)
            }
        }
    };
}

/// Ids of one object of a caller who may get an account or lose it while the object is kept.
///
/// With an account the object is recorded under an id of the account and under one that all
/// accounts share, and looked up under the first and under its name alone. Without an account
/// it is recorded under its name alone, and looked up there and under the shared id. So each
/// side of a change finds the records of the other, and no account those of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopedId<T> {
    /// Id of the account, or of the name alone without one.
    pub own: T,
    /// Id that all accounts share; `None` without an account.
    pub shared: Option<T>,
    /// Id of records from the other side of a change: of the name alone with an account,
    /// and the shared one without.
    pub other: T,
}

impl<T> ScopedId<T> {
    /// Ids of an object: its `own`, the one without an account, and that for any account.
    pub(crate) fn new(own: T, has_account: bool, none: T, any: T) -> Self {
        let (shared, other) = if has_account {
            (Some(any), none)
        } else {
            (None, any)
        };
        Self { own, shared, other }
    }

    /// Ids under which the object is recorded.
    pub fn recorded(self) -> impl Iterator<Item = T> {
        iter::once(self.own).chain(self.shared)
    }

    /// Ids under which the object is looked up.
    pub fn counted(self) -> [T; 2] {
        [self.own, self.other]
    }
}

owned_name_id!(
    /// Stored turn, by the number that its caller assigned.
    TurnId, b"turn"
);
/// What a stored turn tells of the key that its caller presented: a hash of the key's digest
/// and the turn's name, which are not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyMark(u128);

impl KeyMark {
    /// Mark of the key with the digest `key` on the turn `name`.
    #[must_use]
    pub fn of(key: &[u8], name: &str) -> Self {
        Self(ContentDigest::of(&[b"key of a turn", name.as_bytes(), key]).to_u128())
    }
}

impl TurnId {
    /// Turn that was stored for a caller with a key, while there were no accounts.
    #[must_use]
    pub fn with_key(name: &str) -> Self {
        Self(ContentDigest::of(&[b"turn with a key", name.as_bytes()]).to_u64())
    }

    /// Record of the owner of a turn that was stored while there were no accounts.
    #[must_use]
    pub fn owner_of(name: &str) -> Self {
        Self(ContentDigest::of(&[b"owner of a turn", name.as_bytes()]).to_u64())
    }

    /// Record of an account's turn that was stored with a key.
    #[must_use]
    pub fn held_by(mark: KeyMark) -> Self {
        let parts: [&[u8]; 2] = [b"turn held by a key", &mark.0.to_le_bytes()];
        Self(ContentDigest::of(&parts).to_u64())
    }
}

owned_name_id!(
    /// Program with a stored budget, by the name that its caller assigned.
    ProgramTag, b"program"
);
owned_name_id!(
    /// Attempt of a caller, by the number that the caller assigned.
    AttemptTag, b"attempt"
);

integer_newtype!(
    /// Position of a call within its program, counted from 1.
    CallNumber(u32), ""
);
integer_newtype!(
    /// Number of an attempt of a call. The ledger counts the attempts of a call
    /// from 0.
    Attempt(u32), ""
);
integer_newtype!(
    /// Number of model tokens.
    Tokens(u64), ""
);
integer_newtype!(
    /// Replicated group of the ledger.
    GroupId(u16), "g"
);
integer_newtype!(
    /// Id of a replica; a replica that lost its disk gets a new id.
    NodeId(u64), "n"
);
integer_newtype!(
    /// Term of a leader within a ledger group.
    Epoch(u64), ""
);
integer_newtype!(
    /// Position in a replicated log, counted from 1.
    LogIndex(u64), ""
);
integer_newtype!(
    /// Version of the configuration in force; never decreases.
    ConfigIndex(u64), ""
);
integer_newtype!(
    /// Fencing token of the orders to an upstream; increases with each order.
    FenceNumber(u64), ""
);
integer_newtype!(
    /// Number of one run of a sidecar process; increases with each restart.
    Incarnation(u64), ""
);

/// Id of a root program or of a sub-agent.
///
/// Sub-agents carry the number of their root, so that the ledger group of a
/// program tree can be computed from any id in it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProgramId {
    /// Number of the root program.
    pub root: u64,
    /// 0 for the root itself; sub-agents count from 1.
    pub branch: u32,
}

impl ProgramId {
    /// Id of a root program.
    #[must_use]
    pub const fn root(root: u64) -> Self {
        Self { root, branch: 0 }
    }

    /// Id of sub-agent number `branch` below the same root.
    #[must_use]
    pub const fn sub_agent(self, branch: u32) -> Self {
        Self {
            root: self.root,
            branch,
        }
    }

    /// Whether this is a root program.
    #[must_use]
    pub const fn is_root(self) -> bool {
        self.branch == 0
    }

    /// Ledger group, out of `groups` groups, that holds the program tree.
    #[must_use]
    pub fn group(self, groups: u16) -> GroupId {
        let slot = self.root % u64::from(groups.max(1));
        GroupId(u16::try_from(slot).unwrap_or_default())
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p-{:016x}", self.root)?;
        if self.branch > 0 {
            write!(f, ".{}", self.branch)?;
        }
        Ok(())
    }
}

/// Error of parsing a program id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseProgramIdError {
    /// The text does not start with `p-`.
    Prefix,
    /// One of the numbers is malformed.
    Number(ParseIntError),
}

impl fmt::Display for ParseProgramIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefix => f.write_str("invalid program id: missing prefix \"p-\""),
            Self::Number(err) => write!(f, "invalid program id: {err}"),
        }
    }
}

impl std::error::Error for ParseProgramIdError {}

impl FromStr for ProgramId {
    type Err = ParseProgramIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text.strip_prefix("p-").ok_or(ParseProgramIdError::Prefix)?;
        let (root, branch) = rest.split_once('.').unwrap_or((rest, "0"));
        Ok(Self {
            root: u64::from_str_radix(root, 16).map_err(ParseProgramIdError::Number)?,
            branch: branch.parse().map_err(ParseProgramIdError::Number)?,
        })
    }
}

/// Identity of a request across resends: a hash of the account and the
/// idempotency key.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Key of a request by its account and its `Idempotency-Key` header.
    #[must_use]
    pub fn of(account: AccountId, header: &str) -> Self {
        let parts: [&[u8]; 3] = [b"request", &account.0.to_le_bytes(), header.as_bytes()];
        Self(ContentDigest::of(&parts).to_u128())
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
