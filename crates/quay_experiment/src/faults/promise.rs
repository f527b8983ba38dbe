//! The ten promises that the fault trials check.

use {serde::Serialize, std::fmt};

/// A guarantee that must hold under every fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// Calls of one program run in the order in which the program made them.
    Order,
    /// A program's history is neither lost nor mixed with another program's.
    History,
    /// A program's budget is not exceeded.
    Budget,
    /// Upstream memory held for a program is released after the program ends.
    Release,
    /// Each caller receives the complete answer to its own call.
    WholeAnswer,
    /// A call reported as "not run" has not run and never will.
    NotRun,
    /// A call that is not idempotent runs at most once.
    AtMostOnce,
    /// A draining upstream receives no new work after a few seconds.
    Leaving,
    /// A graceful shutdown interrupts no call in progress.
    Shutdown,
    /// An accepted configuration is in force on every daemon within seconds and
    /// is never replaced by an older one.
    Configuration,
}

impl Promise {
    /// Every promise, in the order of the reports.
    pub const ALL: [Self; 10] = [
        Self::Order,
        Self::History,
        Self::Budget,
        Self::Release,
        Self::WholeAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::Shutdown,
        Self::Configuration,
    ];

    /// Name in reports and on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Order => "order",
            Self::History => "history",
            Self::Budget => "budget",
            Self::Release => "release",
            Self::WholeAnswer => "whole_answer",
            Self::NotRun => "not_run",
            Self::AtMostOnce => "at_most_once",
            Self::Leaving => "leaving",
            Self::Shutdown => "shutdown",
            Self::Configuration => "configuration",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
