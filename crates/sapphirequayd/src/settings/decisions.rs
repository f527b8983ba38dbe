//! Which mechanisms take part in a front's decisions.

use {
    crate::settings::Problem,
    quay_policy::{NewProgramSettings, RouteSettings},
    serde::Deserialize,
    std::time::Duration,
};

/// TOML table `[front.decisions]`. Each mechanism can be switched off by itself, to
/// measure what it is worth; what keeps promises to callers has no switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(clippy::struct_excessive_bools)] // Independent switches.
pub struct DecisionTable {
    /// Refuses new programs while a service is overloaded.
    pub new_program_gate: bool,
    /// Wait for a response from which some new programs are refused, in thousandths of
    /// the route's objective.
    pub refuse_from: u64,
    /// Wait from which all new programs are refused, in the same unit.
    pub refuse_all: u64,
    /// Keeps the calls of a conversation at the upstream that ran the last one. Only the
    /// front that sent it knows that upstream; without it all fronts send the next call
    /// to the program's home.
    pub conversations: bool,
    /// Prefers upstreams that were sent a prompt with the same beginning.
    pub prefix_index: bool,
    /// Gives a program a home upstream, the same at all fronts, where a front has not
    /// seen the program before.
    pub homes: bool,
    /// Begins programs at their home upstream.
    pub begin_at_home: bool,
    /// Part of an upstream's memory that shared beginnings of prompts may take, in
    /// thousandths, before each has its homes at a part of the upstreams only; 0 disables
    /// the limit.
    pub beginnings_share: u64,
    /// Avoids upstreams that are slower or fail more often than their peers.
    pub peer_ratings: bool,
    /// Adds a front's own calls since the last load report to the reported load.
    pub own_calls: bool,
    /// Age from which a load report is discarded, in milliseconds; 0 keeps it.
    pub report_expiry_ms: u64,
    /// Cost up to which upstreams are as good as the best one, in microseconds.
    pub spread_us: u64,
}

impl Default for DecisionTable {
    fn default() -> Self {
        Self {
            new_program_gate: true,
            refuse_from: 250,
            refuse_all: 500,
            conversations: false,
            prefix_index: true,
            homes: true,
            begin_at_home: true,
            beginnings_share: 400,
            peer_ratings: true,
            own_calls: true,
            report_expiry_ms: 1_000,
            spread_us: 1_000,
        }
    }
}

impl DecisionTable {
    /// Parses settings, as the table has them in a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first [`Problem`] and its key.
    pub fn parse(text: &str) -> Result<Self, Problem> {
        let table: Self =
            toml::from_str(text).map_err(|err| Problem::from_toml_error(text, &err))?;
        table.check()?;
        Ok(table)
    }

    /// Settings of routing at a front.
    #[must_use]
    pub fn routes(&self) -> RouteSettings {
        let base = RouteSettings {
            // Speeds of the engines in the deployments' tables: 368 tokens are
            // prefilled per ms, a step takes 0.76 ms plus 0.03 ms per running
            // request, a response has about 260 tokens.
            prefill_us: 3,
            // A prefill delays each running request by the prefill's duration.
            prefix_per_running: 1_000,
            per_running_us: 30,
            answer_tokens: 260,
            token_gap_us: 760,
            spread: Duration::from_micros(self.spread_us),
            // Expiry is left to the directory, which has its own leases.
            silent_after: Duration::from_hours(1),
            stale_after: Duration::from_hours(1),
            stale_cost: Duration::ZERO,
            correct_load: self.own_calls,
            beginnings_share: self.beginnings_share,
            begin_at_home: self.begin_at_home,
            ..RouteSettings::default()
        };
        RouteSettings {
            max_conversations: if self.conversations {
                base.max_conversations
            } else {
                0
            },
            max_index_blocks: if self.prefix_index {
                base.max_index_blocks
            } else {
                0
            },
            home_weight: if self.homes { base.home_weight } else { 0 },
            rate_peers: self.peer_ratings,
            ..base
        }
    }

    /// Settings of the refusal of new programs.
    #[must_use]
    pub fn new_programs(&self) -> NewProgramSettings {
        NewProgramSettings {
            refuse_from: self.refuse_from,
            refuse_all: self.refuse_all,
            ..NewProgramSettings::default()
        }
    }

    /// Age from which a load report is discarded.
    #[must_use]
    pub fn report_expiry(&self) -> Duration {
        match self.report_expiry_ms {
            0 => Duration::MAX,
            age => Duration::from_millis(age),
        }
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the problem and its key.
    pub fn check(&self) -> Result<(), Problem> {
        let problem = |key, message| Err(Problem::new("front.decisions", key, message));
        if self.refuse_from >= self.refuse_all {
            return problem("refuse_from", "must be less than refuse_all");
        }
        if self.beginnings_share > 1_000 {
            return problem("beginnings_share", "must be at most 1000");
        }
        Ok(())
    }
}
