//! Who owns a stored turn, and who may go on from it.
//!
//! A turn belongs to the account that stored it, also after its route has become public
//! or there are no accounts any more. Then only a caller who presents the key with which it
//! was stored is known to be the owner. A turn that was stored while there were no
//! accounts belongs to the account that holds its key now; without a key, or if no account
//! holds it, it is no other account's and anyone who knows its name may go on.

use {
    quay_types::{AccountId, KeyMark, TurnId},
    serde::{Deserialize, Serialize},
};

/// Owner of a stored turn; the default owns turns that are nobody's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnOwner {
    /// Account that the turn belongs to.
    pub account: Option<AccountId>,
    /// Key that the caller presented, unless the turn is nobody's.
    pub key: Option<KeyMark>,
}

impl TurnOwner {
    /// Id under which the turn `name` of this owner is stored.
    #[must_use]
    pub fn turn_id(&self, name: &str) -> TurnId {
        match (self.account, self.key) {
            (None, Some(_)) => TurnId::with_key(name),
            (account, _) => TurnId::owned(account, name),
        }
    }

    /// Id of the record that tells callers of other scopes of the owner; `None` if the
    /// turn's own id tells enough.
    #[must_use]
    pub fn record_id(&self, name: &str) -> Option<TurnId> {
        match (self.account, self.key) {
            (Some(_), key) => key.map(TurnId::held_by),
            (None, Some(_)) => Some(TurnId::owner_of(name)),
            (None, None) => None,
        }
    }

    /// The owner, with the account that now holds the key of a turn that was stored
    /// without one.
    #[must_use]
    pub fn with_holder(self, holder: impl FnOnce(KeyMark) -> Option<AccountId>) -> Self {
        Self {
            account: self.account.or_else(|| self.key.and_then(holder)),
            ..self
        }
    }
}

/// What is known of the caller of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnScope {
    /// There are no accounts.
    NoAccounts,
    /// The route is public; holds the account whose key the caller presents, if any.
    Public(Option<AccountId>),
    /// The caller presents the key of an account.
    Account(AccountId),
}

/// Caller of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnCaller {
    /// What is known of the caller by its route and its key.
    pub scope: TurnScope,
    /// Key that the caller presents, valid or not.
    pub key: Option<TurnKey>,
}

/// Digest of a key, from which its mark on each turn is derived.
pub type TurnKey = [u8; 32];

impl TurnCaller {
    fn mark(&self, name: &str) -> Option<KeyMark> {
        self.key.map(|key| KeyMark::of(&key, name))
    }

    /// Ids under which the turn `name` is stored if the caller may go on from it whatever
    /// else is known, with the owner that each shows.
    #[must_use]
    pub fn own_turns(&self, name: &str) -> Vec<(TurnId, TurnOwner)> {
        let key = self.mark(name);
        let nobodys = TurnOwner::default();
        let of_account = |account| TurnOwner { account, key };
        let nobodys_turn = (nobodys.turn_id(name), nobodys);
        // Without accounts names are everyone's, whichever key came with them.
        let with_key = (TurnId::with_key(name), of_account(None));
        let turn_of = |account| {
            let owner = of_account(Some(account));
            (owner.turn_id(name), owner)
        };
        match self.scope {
            TurnScope::NoAccounts if key.is_some() => vec![with_key, nobodys_turn],
            TurnScope::NoAccounts => vec![nobodys_turn, with_key],
            TurnScope::Public(None) => vec![nobodys_turn],
            TurnScope::Public(Some(account)) => vec![nobodys_turn, turn_of(account)],
            TurnScope::Account(account) => vec![turn_of(account), nobodys_turn],
        }
    }

    /// Id of the record that tells who owns the turn `name`, if it is none of
    /// [`own_turns`](Self::own_turns).
    #[must_use]
    pub fn owner_record(&self, name: &str) -> Option<TurnId> {
        match self.scope {
            TurnScope::NoAccounts => self.mark(name).map(TurnId::held_by),
            TurnScope::Public(_) | TurnScope::Account(_) => Some(TurnId::owner_of(name)),
        }
    }

    /// Whether the caller may go on from the turn `name` of `owner`.
    #[must_use]
    pub fn may_continue(&self, name: &str, owner: &TurnOwner) -> bool {
        match (self.scope, owner.account) {
            (_, None) => true,
            (TurnScope::NoAccounts, Some(_)) => owner.key.is_some() && owner.key == self.mark(name),
            (TurnScope::Public(account), Some(_)) => account == owner.account,
            (TurnScope::Account(account), Some(own)) => account == own,
        }
    }

    /// Owner of the turn `name` that the caller stores, which goes on from one of `prior`.
    /// What goes on from an account's turn stays the account's.
    #[must_use]
    pub fn owner_of_next(&self, name: &str, prior: Option<TurnOwner>) -> TurnOwner {
        let inherited = prior.and_then(|prior| prior.account);
        let (account, key) = match self.scope {
            TurnScope::Account(account) => (Some(account), self.mark(name)),
            TurnScope::NoAccounts => (inherited, self.mark(name)),
            TurnScope::Public(_) => (inherited, inherited.and(self.mark(name))),
        };
        TurnOwner { account, key }
    }
}
