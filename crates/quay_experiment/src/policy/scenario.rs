//! What a run is about.

use serde::Serialize;

/// Whose programs run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Many similar shops with long common prefixes; peaks at opening and cut-off.
    Ordinalia,
    /// A burst at dawn, long tool pauses, sub-agents.
    Olivera,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Ordinalia, Self::Olivera];

    /// Name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ordinalia => "ordinalia",
            Self::Olivera => "olivera",
        }
    }
}

/// One run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// Whose programs run.
    pub deployment: Deployment,
    /// Offered load in thousandths of capacity.
    pub load_permille: u32,
    /// Whether things fail meanwhile.
    pub faults: bool,
    /// Whether one account sends five times its share.
    pub flood: bool,
    /// Whether cache events reach the entries.
    pub events: bool,
    /// How long programs arrive, in seconds.
    pub seconds: u64,
    /// Upstreams.
    pub upstreams: usize,
    /// Entries.
    pub entries: usize,
}

/// How long programs arrive in a whole run, in seconds.
const SECONDS: u64 = 180;

impl Scenario {
    /// A whole run over ten upstreams.
    #[must_use]
    pub const fn new(deployment: Deployment, load_permille: u32, faults: bool) -> Self {
        Self {
            deployment,
            load_permille,
            faults,
            flood: false,
            events: true,
            seconds: SECONDS,
            upstreams: 10,
            entries: 3,
        }
    }

    /// The same with so many entries that each hears only of its own calls.
    #[must_use]
    pub const fn with_many_entries(self) -> Self {
        Self {
            entries: 30,
            events: false,
            ..self
        }
    }

    /// Name in reports.
    #[must_use]
    pub fn name(&self) -> String {
        let faults = if self.faults { ", faults" } else { "" };
        let flood = if self.flood { ", flood" } else { "" };
        let many = if self.events { "" } else { ", many entries" };
        let load = f64::from(self.load_permille) / 1_000.0;
        format!("{} {load:.1}{faults}{flood}{many}", self.deployment.name())
    }
}
