//! Token charges against the budgets of programs.

use {
    indexmap::IndexMap,
    quay_types::{AttemptTag, Tokens},
    serde::{Deserialize, Serialize},
};

/// Whether a charge is final. A charge with a later status replaces one of the
/// same attempt with an earlier status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ChargeStatus {
    /// Upper bound while the attempt runs.
    Reserved,
    /// Final amount; the attempt has ended.
    Settled,
}

/// Tokens that one attempt has reserved or used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Charge {
    /// Attempt that is charged.
    pub attempt: AttemptTag,
    /// Whether the charge is reserved or settled.
    pub standing: ChargeStatus,
    /// Tokens charged.
    pub tokens: Tokens,
}

/// Charges of one program, merged from any number of stores.
///
/// Merging is commutative and idempotent: stores may receive charges in any
/// order and any number of times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChargeSet(IndexMap<AttemptTag, (ChargeStatus, Tokens)>);

impl ChargeSet {
    /// Merges a charge. Returns `false` if the set already holds a later charge
    /// of the attempt.
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

    /// Whether the set holds this charge or a later one of its attempt.
    #[must_use]
    pub fn covers(&self, charge: &Charge) -> bool {
        let held = self.0.get(&charge.attempt);
        held.is_some_and(|held| *held >= (charge.standing, charge.tokens))
    }

    /// All charges, one per attempt.
    pub fn charges(&self) -> impl Iterator<Item = Charge> {
        self.0.iter().map(|(attempt, (standing, tokens))| Charge {
            attempt: *attempt,
            standing: *standing,
            tokens: *tokens,
        })
    }

    /// Tokens charged to all attempts except `attempt`.
    #[must_use]
    pub fn total_excluding(&self, attempt: AttemptTag) -> Tokens {
        let others = self.0.iter().filter(|(it, _)| **it != attempt);
        Tokens(others.map(|(_, (_, tokens))| tokens.0).sum())
    }
}
