//! Which account a request belongs to, by the accounts that the front knows.

use {
    super::{
        host::{FrontHost, MAX_CONTROL_AGE},
        refusal::Refusal,
    },
    quay_routes::{CallHead, Caller, Dialect, KeyPolicy, KeyRefusal, Route, RoutingTable},
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
        let policy = KeyPolicy {
            max_age: MAX_CONTROL_AGE,
            revoke_after: None,
        };
        let age = self.control_age();
        let accounts = &table.accounts;
        let caller = accounts.identify(route.public, &head.credential, age, &policy);
        caller.map_err(|refusal| {
            log::info!(
                "event=key_refused id={} route={:?} cause=\"{refusal}\" revision={} control_age_ms={}",
                head.id,
                route.name,
                table.revision,
                age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)),
            );
            refusal.into()
        })
    }
}
