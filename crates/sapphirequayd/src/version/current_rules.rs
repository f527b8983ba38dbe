//! The version in force, shared by every thread of the process.

use {
    crate::version::Rules,
    std::sync::{Arc, PoisonError, RwLock},
};

/// Holds the rules in force; a request keeps the ones that it began with.
#[derive(Debug, Clone, Default)]
pub struct CurrentRules(Arc<RwLock<Arc<Rules>>>);

impl CurrentRules {
    /// Puts other rules into force for requests that begin from now on.
    pub fn set(&self, rules: Arc<Rules>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = rules;
    }

    /// The rules in force now.
    #[must_use]
    pub fn get(&self) -> Arc<Rules> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }
}
