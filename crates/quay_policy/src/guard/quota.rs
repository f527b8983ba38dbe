//! Account limits, leased in parts to the entries that admit calls.

use {
    indexmap::IndexMap,
    quay_types::{AccountId, Time},
    std::time::Duration,
};

/// Settings of quota leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaSettings {
    /// Time after which a lease expires.
    pub lease_time: Duration,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            lease_time: Duration::from_secs(2),
        }
    }
}

/// A lease of part of an account's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaLease {
    /// Number of concurrent calls that the lease allows.
    pub amount: u32,
    /// Time at which the lease expires.
    pub expires_at: Time,
}

/// Latest request and lease of one holder.
#[derive(Debug, Clone, Copy)]
struct HolderLease {
    wanted: u32,
    lease: QuotaLease,
}

/// Leases parts of account limits to holders.
///
/// The unexpired leases of an account never add up to more than its limit, so
/// that an entry can admit calls without asking the allocator for each one.
#[derive(Debug)]
pub struct QuotaAllocator {
    cfg: QuotaSettings,
    leases: IndexMap<AccountId, IndexMap<u64, HolderLease>>,
}

impl QuotaAllocator {
    /// Creates an allocator without leases.
    #[must_use]
    pub fn new(cfg: QuotaSettings) -> Self {
        Self {
            cfg,
            leases: IndexMap::new(),
        }
    }

    /// Leases up to `wanted` of an account's `limit` to `holder`, replacing its
    /// previous lease.
    ///
    /// A lease is never smaller than the `open` calls that the holder has in
    /// progress, as far as the previous lease covers them: calls in excess of
    /// that lease would otherwise raise the limit permanently. A holder with
    /// calls in progress must renew its lease before it expires.
    pub fn lease(
        &mut self,
        now: Time,
        account: AccountId,
        holder: u64,
        (open, wanted): (u32, u32),
        limit: u32,
    ) -> QuotaLease {
        let leases = self.leases.entry(account).or_default();
        leases.retain(|_, entry| entry.lease.expires_at > now);
        let held = leases.get(&holder).map_or(0, |entry| entry.lease.amount);
        let others = leases.iter().filter(|(id, _)| **id != holder);
        let leased_to_others: u32 = others.clone().map(|(_, entry)| entry.lease.amount).sum();
        let wanted_by_others: u32 = others.map(|(_, entry)| entry.wanted).sum();
        let holders = u32::try_from(leases.len()).unwrap_or(u32::MAX);
        let known = u32::from(leases.contains_key(&holder));
        let fair_share = limit.div_ceil((holders - known + 1).max(1));
        // When the total demand exceeds the limit, each holder gets at most its
        // fair share.
        let max = if wanted_by_others.saturating_add(wanted) > limit {
            fair_share
        } else {
            limit
        };
        let lease = QuotaLease {
            amount: wanted
                .min(max)
                .min(limit.saturating_sub(leased_to_others))
                .max(open.min(held)),
            expires_at: now + self.cfg.lease_time,
        };
        leases.insert(holder, HolderLease { wanted, lease });
        lease
    }

    /// Removes expired leases, and accounts without leases.
    pub fn remove_expired(&mut self, now: Time) {
        self.leases.retain(|_, leases| {
            leases.retain(|_, entry| entry.lease.expires_at > now);
            !leases.is_empty()
        });
    }
}

/// State of one account at a holder.
#[derive(Debug, Default)]
struct AccountUsage {
    open: u32,
    lease: Option<QuotaLease>,
}

/// Calls in progress of each account at one entry, kept within its leases.
#[derive(Debug, Default)]
pub struct QuotaHolder {
    accounts: IndexMap<AccountId, AccountUsage>,
}

impl QuotaHolder {
    /// Returns the calls in progress, and the demand to request: twice as many
    /// plus one, so that a lease can grow.
    #[must_use]
    pub fn demand(&self, account: AccountId) -> (u32, u32) {
        let open = self.accounts.get(&account).map_or(0, |usage| usage.open);
        (open, open * 2 + 1)
    }

    /// Whether a new lease should be requested because there is none or the
    /// present one is fully usage.
    #[must_use]
    pub fn needs_lease(&self, now: Time, account: AccountId) -> bool {
        let usage = self.accounts.get(&account);
        usage.is_none_or(|usage| usage.open >= usage.amount(now))
    }

    /// Stores a lease.
    pub fn set_lease(&mut self, account: AccountId, lease: QuotaLease) {
        self.accounts.entry(account).or_default().lease = Some(lease);
    }

    /// Starts a call if the lease allows it. A call that continues a program is
    /// always allowed, because refusing it would waste the work already done
    /// for the program.
    pub fn begin_call(&mut self, now: Time, account: AccountId, continues_program: bool) -> bool {
        let usage = self.accounts.entry(account).or_default();
        let allowed = continues_program || usage.open < usage.amount(now);
        usage.open += u32::from(allowed);
        allowed
    }

    /// Ends a call; an account without calls in progress is removed.
    pub fn end_call(&mut self, account: AccountId) {
        if let Some(usage) = self.accounts.get_mut(&account) {
            usage.open = usage.open.saturating_sub(1);
            if usage.open == 0 {
                self.accounts.swap_remove(&account);
            }
        }
    }
}

impl AccountUsage {
    /// Number of concurrent calls that the lease allows at `now`.
    fn amount(&self, now: Time) -> u32 {
        let valid = self.lease.filter(|lease| lease.expires_at > now);
        valid.map_or(0, |lease| lease.amount)
    }
}
