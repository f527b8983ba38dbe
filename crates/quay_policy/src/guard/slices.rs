//! Limits of accounts, lent to entries in slices.

use {
    indexmap::IndexMap,
    quay_types::{AccountId, Time},
    std::time::Duration,
};

/// Knobs of slices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SliceSettings {
    /// How long a slice is good for.
    pub lease: Duration,
}

impl Default for SliceSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(2),
        }
    }
}

/// A slice of an account's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Part of the limit.
    pub amount: u32,
    /// When it ends.
    pub until: Time,
}

/// What one holder asked for and got.
#[derive(Debug, Clone, Copy)]
struct Slice {
    wanted: u32,
    grant: Grant,
}

/// Lends the limits of accounts to holders.
///
/// The slices of one account that have not ended never add up to more than its
/// limit, so no entry needs to ask for each call.
#[derive(Debug)]
pub struct SliceGrantor {
    cfg: SliceSettings,
    slices: IndexMap<AccountId, IndexMap<u64, Slice>>,
}

impl SliceGrantor {
    /// Nothing is lent yet.
    #[must_use]
    pub fn new(cfg: SliceSettings) -> Self {
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
    pub fn ask(
        &mut self,
        now: Time,
        account: AccountId,
        holder: u64,
        (open, wanted): (u32, u32),
        limit: u32,
    ) -> Grant {
        let slices = self.slices.entry(account).or_default();
        slices.retain(|_, slice| slice.grant.until > now);
        let held = slices.get(&holder).map_or(0, |slice| slice.grant.amount);
        let others = slices.iter().filter(|(id, _)| **id != holder);
        let lent: u32 = others.clone().map(|(_, slice)| slice.grant.amount).sum();
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
        let grant = Grant {
            amount: wanted
                .min(most)
                .min(limit.saturating_sub(lent))
                .max(open.min(held)),
            until: now + self.cfg.lease,
        };
        slices.insert(holder, Slice { wanted, grant });
        grant
    }

    /// Forgets accounts of which nothing is lent.
    pub fn tick(&mut self, now: Time) {
        self.slices.retain(|_, slices| {
            slices.retain(|_, slice| slice.grant.until > now);
            !slices.is_empty()
        });
    }
}

/// One account at a holder.
#[derive(Debug, Default)]
struct Used {
    open: u32,
    grant: Option<Grant>,
}

/// Calls in progress of each account at one entry, kept within its slices.
#[derive(Debug, Default)]
pub struct SliceHolder {
    accounts: IndexMap<AccountId, Used>,
}

impl SliceHolder {
    /// Calls in progress, and calls that the account could use now: as many
    /// again, so that a slice can grow.
    #[must_use]
    pub fn wanted(&self, account: AccountId) -> (u32, u32) {
        let open = self.accounts.get(&account).map_or(0, |used| used.open);
        (open, open * 2 + 1)
    }

    /// Whether a new slice should be asked for: there is none, or it is used up.
    #[must_use]
    pub fn needs_slice(&self, now: Time, account: AccountId) -> bool {
        let used = self.accounts.get(&account);
        used.is_none_or(|used| used.open >= used.amount(now))
    }

    /// Takes a slice.
    pub fn granted(&mut self, account: AccountId, grant: Grant) {
        self.accounts.entry(account).or_default().grant = Some(grant);
    }

    /// Begins a call. A call of a program under way always may: to refuse it
    /// would waste what the program was given.
    pub fn enter(&mut self, now: Time, account: AccountId, under_way: bool) -> bool {
        let used = self.accounts.entry(account).or_default();
        let may = under_way || used.open < used.amount(now);
        used.open += u32::from(may);
        may
    }

    /// Ends a call; an account without calls is forgotten.
    pub fn leave(&mut self, account: AccountId) {
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
        let valid = self.grant.filter(|grant| grant.until > now);
        valid.map_or(0, |grant| grant.amount)
    }
}
