//! Budgets of retries, so that an outage is not multiplied.

use {indexmap::IndexMap, quay_types::AccountId};

/// Cost of one retry, in the unit of deposits.
const RETRY_COST: u32 = 1_000;

/// Budgets that are remembered of each sort.
const MAX_BUDGETS: usize = 8_192;

/// Knobs of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries allowed for each 1,000 first tries.
    pub share_permille: u32,
    /// Retries that a budget starts with and can save up.
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

/// Budgets of retries by account and by group of upstreams.
#[derive(Debug)]
pub struct RetryBudgets {
    cfg: RetrySettings,
    /// Thousandths of a retry that are left; at most `burst` retries.
    accounts: IndexMap<AccountId, u32>,
    groups: IndexMap<u64, u32>,
}

impl RetryBudgets {
    /// Full budgets.
    #[must_use]
    pub fn new(cfg: RetrySettings) -> Self {
        Self {
            cfg,
            accounts: IndexMap::new(),
            groups: IndexMap::new(),
        }
    }

    /// Notes the first try of a call, which earns a share of a retry.
    pub fn record_first_attempt(&mut self, account: AccountId, group: u64) {
        let most = self.cfg.burst * RETRY_COST;
        let share = self.cfg.share_permille;
        let earn = |left: &mut u32| *left = (*left + share).min(most);
        earn(slot(&mut self.accounts, account, most));
        earn(slot(&mut self.groups, group, most));
    }

    /// Takes a retry out of both budgets; false if either is used up.
    pub fn try_retry(&mut self, account: AccountId, group: u64) -> bool {
        let most = self.cfg.burst * RETRY_COST;
        let by_account = slot(&mut self.accounts, account, most);
        let by_group = slot(&mut self.groups, group, most);
        let covered = *by_account >= RETRY_COST && *by_group >= RETRY_COST;
        if covered {
            *by_account -= RETRY_COST;
            *by_group -= RETRY_COST;
        }
        covered
    }
}

/// A budget, full if it is new; the oldest gives way.
fn slot<K: std::hash::Hash + Eq>(budgets: &mut IndexMap<K, u32>, key: K, full: u32) -> &mut u32 {
    if budgets.len() >= MAX_BUDGETS && !budgets.contains_key(&key) {
        budgets.swap_remove_index(0);
    }
    budgets.entry(key).or_insert(full)
}
