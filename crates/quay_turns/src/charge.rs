//! What programs have used of their budgets.

use {
    indexmap::IndexMap,
    quay_types::{AttemptTag, Tokens},
    serde::{Deserialize, Serialize},
};

/// How final a charge is; a later standing replaces an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ChargeStatus {
    /// The attempt may still use as much.
    Reserved,
    /// The attempt has ended.
    Settled,
}

/// What one attempt may cost or has cost its program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Charge {
    /// The attempt.
    pub attempt: AttemptTag,
    /// How final it is.
    pub standing: ChargeStatus,
    /// Tokens charged.
    pub tokens: Tokens,
}

/// Charges of one program, merged from any number of sources.
///
/// Merging is commutative and idempotent: stores may learn charges in any
/// order and any number of times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChargeSet(IndexMap<AttemptTag, (ChargeStatus, Tokens)>);

impl ChargeSet {
    /// Takes a charge; `false` if nothing changed.
    pub fn merge(&mut self, charge: Charge) -> bool {
        let new = (charge.standing, charge.tokens);
        let held = self.0.entry(charge.attempt).or_insert(new);
        let first = *held == new;
        if new > *held {
            *held = new;
            return true;
        }
        first
    }

    /// Whether this very charge, or a later one of its attempt, is held.
    #[must_use]
    pub fn covers(&self, charge: &Charge) -> bool {
        let held = self.0.get(&charge.attempt);
        held.is_some_and(|held| *held >= (charge.standing, charge.tokens))
    }

    /// Every charge.
    pub fn charges(&self) -> impl Iterator<Item = Charge> {
        self.0.iter().map(|(attempt, (standing, tokens))| Charge {
            attempt: *attempt,
            standing: *standing,
            tokens: *tokens,
        })
    }

    /// Tokens charged to all attempts but one.
    #[must_use]
    pub fn total_excluding(&self, attempt: AttemptTag) -> Tokens {
        let others = self.0.iter().filter(|(it, _)| **it != attempt);
        Tokens(others.map(|(_, (_, tokens))| tokens.0).sum())
    }
}
