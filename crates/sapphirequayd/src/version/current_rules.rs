//! Rules in force, shared by all threads of the process.

use {
    crate::version::Rules,
    std::sync::{Arc, PoisonError, RwLock},
};

/// Shared holder of the rules in force. A request keeps using the rules that it
/// started with.
#[derive(Debug, Clone, Default)]
pub struct CurrentRules(Arc<RwLock<Arc<Rules>>>);

impl CurrentRules {
    /// Replaces the rules for requests that start from now on.
    pub fn set(&self, rules: Arc<Rules>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = rules;
    }

    /// Returns the rules in force.
    #[must_use]
    pub fn get(&self) -> Arc<Rules> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }
}
