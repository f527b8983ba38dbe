//! Settings of the simulated world.

use {sapphirequayd::DecisionTable, std::time::Duration};

/// A time at which something lasts, in seconds from the start of traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Span {
    /// Start.
    pub at_s: f64,
    /// Duration; 0 if it does not happen.
    pub for_s: f64,
}

impl Span {
    /// End, in seconds from the start of traffic.
    #[must_use]
    pub fn end_s(&self) -> f64 {
        self.at_s + self.for_s
    }

    /// Whether a second of the traffic is in the span.
    #[must_use]
    pub fn contains(&self, second: f64) -> bool {
        second >= self.at_s && second < self.end_s()
    }
}

/// Many callers at the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Burst {
    /// When.
    pub span: Span,
    /// Factor on the number of programs that begin.
    pub factor: f64,
}

/// Programs and their turns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSettings {
    /// Share of programs that are long; these are the more urgent ones.
    pub long_share: f64,
    /// Mean number of turns of a short and of a long program.
    pub turns: [f64; 2],
    /// Mean number of new prompt tokens of a turn, likewise.
    pub input_tokens: [f64; 2],
    /// Mean number of tokens that a turn generates.
    pub answer_tokens: f64,
    /// Number of prompt beginnings that programs share, and their length in tokens.
    pub shared_parts: (usize, f64),
    /// Exponent with which the use of the shared parts falls with their rank.
    pub part_skew: f64,
    /// Share of turns after which two sub-agents of two turns each run.
    pub fan: f64,
    /// Mean time of tools and of the caller between two turns.
    pub pause: Duration,
    /// Share of turns that come through another front than the turn before.
    pub moves: f64,
    /// A program's objective is this multiple of its time on idle upstreams, plus the
    /// objective of a turn.
    pub aim_factor: f64,
    /// Objective of a turn: time to its first token.
    pub objective: Duration,
    /// Time after which a caller gives a turn up.
    pub timeout: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            long_share: 0.25,
            turns: [4.0, 11.0],
            input_tokens: [1_500.0, 900.0],
            answer_tokens: 250.0,
            shared_parts: (16, 12_000.0),
            part_skew: 0.7,
            fan: 0.1,
            pause: Duration::from_millis(100),
            moves: 0.33,
            aim_factor: 1.8,
            objective: Duration::from_millis(250),
            timeout: Duration::from_secs(3),
        }
    }
}

/// Upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSettings {
    /// Number of requests that run at the same time.
    pub slots: usize,
    /// Number of requests that may wait.
    pub queue: usize,
    /// Memory for prompts, in tokens.
    pub memory_tokens: u64,
    /// Duration of a step, which generates a token of each request.
    pub step_us: f64,
    /// Additional duration for each 1,000 tokens of the running requests.
    pub context_us: f64,
    /// Number of prompt tokens that are read in a millisecond.
    pub read_per_ms: f64,
    /// Additional milliseconds to read a prompt, for each million pairs of tokens.
    pub pairs_ms: f64,
    /// Largest number of prompt tokens that are read in a step.
    pub chunk: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 48,
            memory_tokens: 400_000,
            step_us: 1_000.0,
            context_us: 2.0,
            read_per_ms: 250.0,
            pairs_ms: 0.15,
            chunk: 4_096,
        }
    }
}

/// Settings of a simulated gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct WorldSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of fronts.
    pub fronts: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Seconds in which programs begin.
    pub seconds: u64,
    /// Mean number of programs that begin in a second, without bursts.
    pub programs_per_s: f64,
    /// Burst of programs.
    pub burst: Burst,
    /// Loss of power of all fronts and of the control group.
    pub outage: Span,
    /// Time in which some fronts stand still.
    pub freeze: Span,
    /// Share of the fronts that stand still then.
    pub frozen: f64,
    /// Interval of the upstreams' heartbeats.
    pub heartbeat: Duration,
    /// One way between two hosts.
    pub hop: Duration,
    /// Time for which a turn occupies a front's processor.
    pub turn_cpu: Duration,
    /// Programs and their turns.
    pub load: LoadSettings,
    /// Upstreams.
    pub engine: EngineSettings,
    /// Mechanisms of the fronts.
    pub decisions: DecisionTable,
}

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            fronts: 4,
            upstreams: 12,
            seconds: 30,
            programs_per_s: 25.0,
            burst: Burst::default(),
            outage: Span::default(),
            freeze: Span::default(),
            frozen: 0.3,
            heartbeat: Duration::from_millis(1_200),
            hop: Duration::from_micros(1_200),
            turn_cpu: Duration::from_millis(1),
            load: LoadSettings::default(),
            engine: EngineSettings::default(),
            decisions: DecisionTable::default(),
        }
    }
}
