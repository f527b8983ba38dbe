//! Which account a request belongs to, by the accounts that the front knows.

use {
    super::{
        host::{FrontHost, MAX_CONTROL_AGE},
        refusal::Refusal,
    },
    quay_policy::{TurnCaller, TurnScope},
    quay_routes::{
        Account, CallHead, Caller, Credential, Dialect, KeyPolicy, KeyRefusal, Route, RoutingTable,
    },
    quay_types::{AccountId, KeyMark},
    std::cell::Cell,
};

impl From<KeyRefusal> for Refusal {
    fn from(refusal: KeyRefusal) -> Self {
        match refusal {
            KeyRefusal::Missing => Self::KeyMissing,
            KeyRefusal::Malformed => Self::KeyMalformed,
            KeyRefusal::Unknown => Self::KeyUnknown,
            KeyRefusal::Outdated => Self::KeysOutdated,
            KeyRefusal::Expired => Self::KeysExpired,
        }
    }
}

impl<D: Dialect> FrontHost<D> {
    /// Decides who sends a request on a route of a table.
    pub fn identify<'a>(
        &self,
        head: &CallHead,
        route: &Route,
        table: &'a RoutingTable,
    ) -> Result<Caller<'a>, Refusal> {
        let policy = self.key_policy();
        let age = self.control_age();
        let accounts = &table.accounts;
        let caller = accounts.identify(route.public, &head.credential, age, &policy);
        caller.map_err(|refusal| {
            log::info!(
                "event=key_refused id={} route={:?} cause=\"{refusal}\" {}",
                head.id,
                route.name,
                self.describe_state(table),
            );
            refusal.into()
        })
    }

    /// The caller of a turn. On a public route a key that is valid names an account, whose
    /// turns the caller may go on from.
    pub fn turn_caller(
        &self,
        head: &CallHead,
        caller: &Caller<'_>,
        table: &RoutingTable,
    ) -> TurnCaller {
        let scope = match caller {
            Caller::Unrestricted => TurnScope::NoAccounts,
            Caller::Account(account) => TurnScope::Account(account.id),
            Caller::Anonymous => {
                let policy = self.key_policy();
                let age = self.control_age();
                let accounts = &table.accounts;
                let holder = accounts.identify(false, &head.credential, age, &policy);
                TurnScope::Public(holder.ok().and_then(|it| it.account().map(|it| it.id)))
            }
        };
        let key = match &head.credential {
            Credential::Key(key) => Some(key.bytes()),
            Credential::Missing | Credential::Malformed => None,
        };
        TurnCaller { scope, key }
    }

    /// The account that holds the key with this mark on a turn, if there are accounts.
    pub fn holder_of(&self, name: &str, mark: KeyMark) -> Option<AccountId> {
        let table = self.table()?;
        let mut accounts = table.accounts.iter();
        let holds = |account: &&Account| {
            let mut keys = account.keys.iter();
            keys.any(|key| KeyMark::of(&key.bytes(), name) == mark)
        };
        accounts.find(holds).map(Account::id)
    }

    fn key_policy(&self) -> KeyPolicy {
        KeyPolicy {
            max_age: MAX_CONTROL_AGE,
            revoke_after: self.revoke_after(),
        }
    }

    /// Revision of the accounts and time since they were last known to be in force.
    fn describe_state(&self, table: &RoutingTable) -> String {
        let age = self.control_age().map(|age| age.as_millis().to_string());
        let age = age.as_deref().unwrap_or("none");
        format!("revision={} control_age_ms={age}", table.revision)
    }

    /// Fields of log lines about a request's caller, each after a space; empty if there
    /// are no accounts.
    pub fn describe_caller(&self, caller: &Caller<'_>, table: &RoutingTable) -> String {
        let state = || self.describe_state(table);
        match caller {
            Caller::Unrestricted => String::new(),
            Caller::Anonymous => format!(" account=none {}", state()),
            Caller::Account(account) => format!(" account={:?} {}", account.name, state()),
        }
    }

    /// Determines the caller of a waiting request again if the accounts have changed
    /// since revision `checked`, or if their age alone can make its key invalid.
    pub fn check_caller(
        &self,
        head: &CallHead,
        route: &Route,
        caller: &Caller<'_>,
        checked: &Cell<u64>,
    ) -> Result<(), Refusal> {
        let Some(table) = self.table() else {
            return Ok(());
        };
        let expires = self.revoke_after().is_some() && caller.account().is_some();
        if checked.replace(table.revision) == table.revision && !expires {
            return Ok(());
        }
        let route = table.find(&head.host, &head.path).unwrap_or(route);
        let now = self.identify(head, route, &table)?;
        if caller.may_run_as(&now) {
            return Ok(());
        }
        let name = |caller: &Caller<'_>| caller.account().map(|it| it.name.to_owned());
        log::info!(
            "event=account_changed id={} was={:?} is={:?} {}",
            head.id,
            name(caller),
            name(&now),
            self.describe_state(&table),
        );
        Err(Refusal::AccountChanged)
    }
}
