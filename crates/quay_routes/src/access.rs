//! Decision which account a request belongs to, or why it is refused.

use {
    crate::{Account, AccountTable, CallHead, CallIds, Credential, ForwardedAccount, Route},
    quay_types::AccountId,
    std::{fmt, time::Duration},
};

/// Account of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAccount<'a> {
    /// Identifier of the account.
    pub id: AccountId,
    /// Name of the account.
    pub name: &'a str,
    /// Priority of its requests, in place of the route's.
    pub priority: Option<u32>,
}

impl<'a> From<&'a Account> for CallerAccount<'a> {
    fn from(account: &'a Account) -> Self {
        Self {
            id: account.id(),
            name: &account.name,
            priority: account.priority,
        }
    }
}

/// Who sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// There are no accounts.
    Unrestricted,
    /// The route is public; a key that the request carries is ignored.
    Anonymous,
    /// The holder of a valid key.
    Account(CallerAccount<'a>),
}

impl<'a> Caller<'a> {
    /// The account, if there is one.
    #[must_use]
    pub const fn account(&self) -> Option<&CallerAccount<'a>> {
        match self {
            Self::Account(account) => Some(account),
            Self::Unrestricted | Self::Anonymous => None,
        }
    }

    /// Priority of the caller's requests on a route.
    #[must_use]
    pub fn priority(&self, route: &Route) -> u32 {
        let own = self.account().and_then(|account| account.priority);
        own.unwrap_or(route.priority)
    }

    /// Identifiers of the state that a request of the caller refers to.
    #[must_use]
    pub fn ids<'h>(&self, head: &'h CallHead) -> CallIds<'h> {
        CallIds::new(head, self.account().map(|account| account.id))
    }

    /// What an upstream is told of the caller.
    #[must_use]
    pub const fn forwarded(&self) -> ForwardedAccount<'a> {
        match self {
            Self::Unrestricted => ForwardedAccount::Unchanged,
            Self::Anonymous => ForwardedAccount::Anonymous,
            Self::Account(account) => ForwardedAccount::Named(account.name),
        }
    }

    /// Whether a request that was accepted from `self` may run now that its key
    /// belongs to `now`: a lost account does no harm, another one does.
    #[must_use]
    pub fn may_run_as(&self, now: &Caller<'_>) -> bool {
        match (self, now) {
            (_, Caller::Unrestricted) | (Self::Account(_) | Self::Anonymous, Caller::Anonymous) => {
                true
            }
            (Self::Account(own), Caller::Account(other)) => own.id == other.id,
            (Self::Unrestricted | Self::Anonymous, Caller::Account(_))
            | (Self::Unrestricted, Caller::Anonymous) => false,
        }
    }
}

/// Reason for which a request is refused because of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The request carries no key.
    Missing,
    /// The request carries something that is no key.
    Malformed,
    /// No account has the key.
    Unknown,
    /// No account known to this host has the key, but the host may be out of date.
    Outdated,
    /// An account has the key, but the host has been out of contact for so long that
    /// the key may have been revoked.
    Expired,
}

impl fmt::Display for KeyRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "the request carries no key",
            Self::Malformed => "the authorization is malformed",
            Self::Unknown => "no account has the key",
            Self::Outdated => "the accounts may be out of date",
            Self::Expired => "the key may have been revoked",
        })
    }
}

/// Ages of the accounts from which a host decides differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Age from which the accounts may be out of date.
    pub max_age: Duration,
    /// Age from which known keys are refused; `None` if they never are.
    pub revoke_after: Option<Duration>,
}

impl AccountTable {
    /// Decides who sends a request on a route. `age` is the time since the accounts
    /// were last known to be in force, `None` if they never were.
    ///
    /// # Errors
    ///
    /// If the route is not public and the request has no key that is valid.
    pub fn identify(
        &self,
        public: bool,
        credential: &Credential,
        age: Option<Duration>,
        policy: &KeyPolicy,
    ) -> Result<Caller<'_>, KeyRefusal> {
        if self.is_empty() {
            return Ok(Caller::Unrestricted);
        }
        if public {
            return Ok(Caller::Anonymous);
        }
        let (found, refusal) = match credential {
            Credential::Malformed => return Err(KeyRefusal::Malformed),
            Credential::Missing => (None, KeyRefusal::Missing),
            Credential::Key(key) => (self.find(key), KeyRefusal::Unknown),
        };
        let reached = |limit: Duration| age.is_none_or(|age| age >= limit);
        match found {
            Some(_) if policy.revoke_after.is_some_and(reached) => Err(KeyRefusal::Expired),
            Some(account) => Ok(Caller::Account(account.into())),
            None if reached(policy.max_age) => Err(KeyRefusal::Outdated),
            None => Err(refusal),
        }
    }
}
