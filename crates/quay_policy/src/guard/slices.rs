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
    /// A holder has to keep to the smaller of its old and new slice until the
    /// old one ends, which the grantor counts in the meantime.
    pub fn ask(
        &mut self,
        now: Time,
        account: AccountId,
        holder: u64,
        wanted: u32,
        limit: u32,
    ) -> Grant {
        let slices = self.slices.entry(account).or_default();
        slices.retain(|_, slice| slice.grant.until > now);
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
            amount: wanted.min(most).min(limit.saturating_sub(lent)),
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
