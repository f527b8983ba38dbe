//! Small `Copy` keys for everything that has an identity.

use {
    crate::ContentDigest,
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Declares a number with an identity of its own.
macro_rules! number_key {
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

/// Declares a key that is derived from a configured name.
macro_rules! name_key {
    ($(#[$doc:meta])* $name:ident, $domain:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The key of `name`: the same in every process, with no table.
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

name_key!(
    /// An account of a caller, by its configured name.
    AccountId, b"account"
);
name_key!(
    /// A model that upstreams serve, by its configured name.
    ModelId, b"model"
);
name_key!(
    /// A plain service, by its configured name.
    ServiceId, b"service"
);
name_key!(
    /// An upstream, by the name that its sidecar announces.
    UpstreamId, b"upstream"
);

name_key!(
    /// A kept turn, by the number that its caller gave it.
    TurnId, b"turn"
);
name_key!(
    /// A program whose budget is kept, by the name that its caller gave it.
    ProgramTag, b"program"
);
name_key!(
    /// One attempt of a caller, by the number that the caller gave it.
    AttemptTag, b"attempt"
);

number_key!(
    /// Position of a call within its program, counted from 1.
    CallNumber(u32), ""
);
number_key!(
    /// How often a call has been handed to an upstream, counted from 1.
    Attempt(u32), ""
);
number_key!(
    /// A count of model tokens.
    Tokens(u64), ""
);
number_key!(
    /// One replicated group of the ledger.
    GroupId(u16), "g"
);
number_key!(
    /// A replica's identity; a replica that lost its disk gets a new one.
    NodeId(u64), "n"
);
number_key!(
    /// A leader's term within a ledger group.
    Epoch(u64), ""
);
number_key!(
    /// Position in a replicated log, counted from 1.
    LogIndex(u64), ""
);
number_key!(
    /// Version of the configuration in force; only rises.
    ConfigIndex(u64), ""
);
number_key!(
    /// Rising number that orders to an upstream carry.
    FenceNumber(u64), ""
);
number_key!(
    /// One run of a sidecar process; a later run has a greater number.
    Incarnation(u64), ""
);

/// A program, and whether it is a sub-agent of another.
///
/// Sub-agents share their root's number, so that the ledger group of a whole
/// tree follows from any of its ids.
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
    /// The id of a root program.
    #[must_use]
    pub const fn root(root: u64) -> Self {
        Self { root, branch: 0 }
    }

    /// The id of sub-agent number `branch` of the same root.
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

    /// The ledger group that holds the whole tree, of `groups` groups.
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

/// Why a text is not a program id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseProgramIdError {
    /// The text does not start with `p-`.
    Prefix,
    /// A number in the text is malformed.
    Number(ParseIntError),
}

impl fmt::Display for ParseProgramIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefix => f.write_str("a program id starts with \"p-\""),
            Self::Number(err) => write!(f, "program id: {err}"),
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

/// Identity of a request across resends: the account and its idempotency key.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// The key of an account's `Idempotency-Key` header.
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
