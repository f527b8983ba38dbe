//! State that belongs to one version of the configuration.

mod current_rules;
mod rules;

pub use {current_rules::CurrentRules, rules::Rules};
