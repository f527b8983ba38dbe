//! What lives for one version of the configuration.

mod current;
mod rules;

pub use {current::Current, rules::Rules};
