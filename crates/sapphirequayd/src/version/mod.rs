//! What lives for one version of the configuration.

mod rules;

pub use rules::Rules;
