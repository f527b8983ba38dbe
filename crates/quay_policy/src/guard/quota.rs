//! Limits of accounts, lent to entries in slices.

use {
    indexmap::IndexMap,
    quay_types::{AccountId, Time},
    std::time::Duration,
};

/// Knobs of slices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaSettings {
    /// How long a slice is good for.
    pub lease_time: Duration,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            lease_time: Duration::from_secs(2),
        }
    }
}

/// A slice of an account's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaLease {
    /// Part of the limit.
    pub amount: u32,
    /// When it ends.
    pub expires_at: Time,
}

/// What one holder asked for and got.
#[derive(Debug, Clone, Copy)]
struct Slice {
    wanted: u32,
    lease: QuotaLease,
}

/// Lends the limits of accounts to holders.
///
/// The slices of one account that have not ended never add up to more than its
/// limit, so no entry needs to ask for each call.
#[derive(Debug)]
pub struct QuotaAllocator {
    cfg: QuotaSettings,
    slices: IndexMap<AccountId, IndexMap<u64, Slice>>,
}

impl QuotaAllocator {
    /// Nothing is lent yet.
    #[must_use]
    pub fn new(cfg: QuotaSettings) -> Self {
        Self {
            cfg,
            slices: IndexMap::new(),
        }
    }

    /// Lends `holder` up to `wanted` of an account's `limit`; replaces its slice.
    ///
    /// A slice is never smaller than the `open` calls that the holder has in
    /// progress, as far as the old slice covers them: calls beyond it would
    /// raise the limit for good. While it has any it has to ask again before
    /// the slice ends.
    pub fn lease(
        &mut self,
        now: Time,
        account: AccountId,
        holder: u64,
        (open, wanted): (u32, u32),
        limit: u32,
    ) -> QuotaLease {
        let slices = self.slices.entry(account).or_default();
        slices.retain(|_, slice| slice.lease.expires_at > now);
        let held = slices.get(&holder).map_or(0, |slice| slice.lease.amount);
        let others = slices.iter().filter(|(id, _)| **id != holder);
        let lent: u32 = others.clone().map(|(_, slice)| slice.lease.amount).sum();
        let asked: u32 = others.map(|(_, slice)| slice.wanted).sum();
        let holders = u32::try_from(slices.len()).unwrap_or(u32::MAX);
        let known = u32::from(slices.contains_key(&holder));
        let fair = limit.div_ceil((holders - known + 1).max(1));
        // Where all together want more than there is, nobody keeps more than its part.
        let most = if asked.saturating_add(wanted) > limit {
            fair
        } else {
            limit
        };
        let lease = QuotaLease {
            amount: wanted
                .min(most)
                .min(limit.saturating_sub(lent))
                .max(open.min(held)),
            expires_at: now + self.cfg.lease_time,
        };
        slices.insert(holder, Slice { wanted, lease });
        lease
    }

    /// Forgets accounts of which nothing is lent.
    pub fn remove_expired(&mut self, now: Time) {
        self.slices.retain(|_, slices| {
            slices.retain(|_, slice| slice.lease.expires_at > now);
            !slices.is_empty()
        });
    }
}

/// One account at a holder.
#[derive(Debug, Default)]
struct Used {
    open: u32,
    lease: Option<QuotaLease>,
}

/// Calls in progress of each account at one entry, kept within its slices.
#[derive(Debug, Default)]
pub struct QuotaHolder {
    accounts: IndexMap<AccountId, Used>,
}

impl QuotaHolder {
    /// Calls in progress, and calls that the account could use now: as many
    /// again, so that a slice can grow.
    #[must_use]
    pub fn demand(&self, account: AccountId) -> (u32, u32) {
        let open = self.accounts.get(&account).map_or(0, |used| used.open);
        (open, open * 2 + 1)
    }

    /// Whether a new slice should be asked for: there is none, or it is used up.
    #[must_use]
    pub fn needs_lease(&self, now: Time, account: AccountId) -> bool {
        let used = self.accounts.get(&account);
        used.is_none_or(|used| used.open >= used.amount(now))
    }

    /// Takes a slice.
    pub fn set_lease(&mut self, account: AccountId, lease: QuotaLease) {
        self.accounts.entry(account).or_default().lease = Some(lease);
    }

    /// Begins a call. A call of a program under way always may: to refuse it
    /// would waste what the program was given.
    pub fn begin_call(&mut self, now: Time, account: AccountId, has_history: bool) -> bool {
        let used = self.accounts.entry(account).or_default();
        let may = has_history || used.open < used.amount(now);
        used.open += u32::from(may);
        may
    }

    /// Ends a call; an account without calls is forgotten.
    pub fn end_call(&mut self, account: AccountId) {
        if let Some(used) = self.accounts.get_mut(&account) {
            used.open = used.open.saturating_sub(1);
            if used.open == 0 {
                self.accounts.swap_remove(&account);
            }
        }
    }
}

impl Used {
    /// Calls that the slice allows now.
    fn amount(&self, now: Time) -> u32 {
        let valid = self.lease.filter(|lease| lease.expires_at > now);
        valid.map_or(0, |lease| lease.amount)
    }
}
