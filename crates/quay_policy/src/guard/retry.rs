//! Retry budgets, which keep retries from amplifying an outage.

use {indexmap::IndexMap, quay_types::AccountId};

/// Cost of one retry in budget units.
const RETRY_COST: u32 = 1_000;

/// Maximum number of budgets kept per kind (accounts, groups).
const MAX_BUDGETS: usize = 8_192;

/// Settings of retry budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries allowed per 1,000 first attempts.
    pub share_permille: u32,
    /// Initial and maximum size of a budget, in retries.
    pub burst: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            share_permille: 100,
            burst: 10,
        }
    }
}

/// Retry budgets by account and by group of upstreams.
#[derive(Debug)]
pub struct RetryBudgets {
    cfg: RetrySettings,
    /// Remaining budget in thousandths of a retry; at most `burst` retries.
    accounts: IndexMap<AccountId, u32>,
    groups: IndexMap<u64, u32>,
}

impl RetryBudgets {
    /// Creates budgets that are full.
    #[must_use]
    pub fn new(cfg: RetrySettings) -> Self {
        Self {
            cfg,
            accounts: IndexMap::new(),
            groups: IndexMap::new(),
        }
    }

    /// Records the first attempt of a call, which adds a share of a retry to
    /// both budgets.
    pub fn record_first_attempt(&mut self, account: AccountId, group: u64) {
        let max = self.cfg.burst * RETRY_COST;
        let share = self.cfg.share_permille;
        let credit = |remaining: &mut u32| *remaining = (*remaining + share).min(max);
        credit(budget_for(&mut self.accounts, account, max));
        credit(budget_for(&mut self.groups, group, max));
    }

    /// Takes one retry from both budgets; returns `false` if either is
    /// exhausted.
    pub fn try_retry(&mut self, account: AccountId, group: u64) -> bool {
        let max = self.cfg.burst * RETRY_COST;
        let by_account = budget_for(&mut self.accounts, account, max);
        let by_group = budget_for(&mut self.groups, group, max);
        let allowed = *by_account >= RETRY_COST && *by_group >= RETRY_COST;
        if allowed {
            *by_account -= RETRY_COST;
            *by_group -= RETRY_COST;
        }
        allowed
    }
}

/// Returns the budget of a key, full if it is new. When the maximum number is
/// reached, a new budget replaces the one at index 0 of the map.
fn budget_for<K: std::hash::Hash + Eq>(
    budgets: &mut IndexMap<K, u32>,
    key: K,
    full: u32,
) -> &mut u32 {
    if budgets.len() >= MAX_BUDGETS && !budgets.contains_key(&key) {
        budgets.swap_remove_index(0);
    }
    budgets.entry(key).or_insert(full)
}
