//! Parameters of a simulation run.

use serde::Serialize;

/// Deployment that a workload is modelled on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Many similar shops whose prompts share long prefixes; the load peaks at
    /// opening and at the ordering deadline.
    Ordinalia,
    /// An early-morning burst, long pauses for tools, and sub-agents.
    Olivera,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Ordinalia, Self::Olivera];

    /// Name used in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ordinalia => "ordinalia",
            Self::Olivera => "olivera",
        }
    }
}

/// Parameters of one simulation run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// Deployment that the workload is modelled on.
    pub deployment: Deployment,
    /// Offered load in thousandths of the engines' capacity.
    pub load_permille: u32,
    /// Whether faults are injected during the run.
    pub faults: bool,
    /// Whether one account offers five times the load of its account share.
    pub flood: bool,
    /// Whether entries receive the engines' cache events.
    pub events: bool,
    /// Duration of the arrival phase, in seconds.
    pub seconds: u64,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of entries.
    pub entries: usize,
}

/// Default duration of the arrival phase, in seconds.
const DEFAULT_SECONDS: u64 = 180;

impl Scenario {
    /// Returns a full-length run with ten upstreams and three entries.
    #[must_use]
    pub const fn new(deployment: Deployment, load_permille: u32, faults: bool) -> Self {
        Self {
            deployment,
            load_permille,
            faults,
            flood: false,
            events: true,
            seconds: DEFAULT_SECONDS,
            upstreams: 10,
            entries: 3,
        }
    }

    /// Returns the same scenario with 30 entries and no cache events, so that each
    /// entry only knows about its own calls.
    #[must_use]
    pub const fn with_many_entries(self) -> Self {
        Self {
            entries: 30,
            events: false,
            ..self
        }
    }

    /// Name used in reports.
    #[must_use]
    pub fn name(&self) -> String {
        let faults = if self.faults { ", faults" } else { "" };
        let flood = if self.flood { ", flood" } else { "" };
        let many = if self.events { "" } else { ", many entries" };
        let load = f64::from(self.load_permille) / 1_000.0;
        format!("{} {load:.1}{faults}{flood}{many}", self.deployment.name())
    }
}
