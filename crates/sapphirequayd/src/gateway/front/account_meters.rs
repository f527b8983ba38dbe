//! Counters of requests by account, bounded in number.

use {
    crate::gateway::meters,
    indexmap::{IndexMap, IndexSet},
    quay_types::Time,
    std::{cmp::Reverse, time::Duration},
};

/// Maximum number of accounts that are counted by name until the front restarts:
/// counters that exist are never removed.
const MAX_NAMED: usize = 32;

/// Maximum number of accounts that are named at a time.
const NAMED_AT_ONCE: usize = 4;

/// Number of requests since the last selection from which an account may be named.
const MIN_REQUESTS: u64 = 10;

/// Interval at which accounts are named.
const SELECT_INTERVAL: Duration = Duration::from_secs(10);

/// Counts requests of accounts with a limit: the busiest by name, the others together.
#[derive(Debug, Default)]
pub struct AccountMeters {
    named: IndexSet<Box<str>>,
    /// Requests of other accounts since the last selection.
    recent: IndexMap<Box<str>, u64>,
    selected: Time,
}

impl AccountMeters {
    /// Counts a request that got a permit, or was refused for want of one.
    pub fn record(&mut self, account: &str, refused: bool) {
        let outcome = if refused { "refused" } else { "permitted" };
        let named = self.named.get(account);
        let label = named.map_or("other accounts", |name| &**name);
        meters::record_account(label, outcome);
        if self.named.len() < MAX_NAMED && named.is_none() {
            match self.recent.get_mut(account) {
                Some(count) => *count += 1,
                None => drop(self.recent.insert(account.into(), 1)),
            }
        }
    }

    /// Names the accounts that were busiest since the last selection, if it is time.
    pub fn select(&mut self, now: Time) {
        if now.since(self.selected) < SELECT_INTERVAL {
            return;
        }
        self.selected = now;
        let mut recent: Vec<_> = std::mem::take(&mut self.recent).into_iter().collect();
        recent.retain(|(_, count)| *count >= MIN_REQUESTS);
        recent.sort_by_key(|(_, count)| Reverse(*count));
        let room = MAX_NAMED - self.named.len();
        let busiest = recent.into_iter().take(NAMED_AT_ONCE.min(room));
        self.named.extend(busiest.map(|(name, _)| name));
    }
}
