//! Random workloads modelled on the two deployments, generated from a seed.

use {
    super::{
        program::{BLOCK_TOKENS, ProgramSpec, Turn},
        scenario::{Deployment, Scenario},
        upstream::model_settings,
    },
    quay_types::{AccountId, ProgramId, Time},
    rand::{Rng, RngExt as _},
    std::time::Duration,
};

/// Batch size for which an engine's capacity is computed.
const REFERENCE_BATCH: u32 = 32;

/// Deadline of a program as a multiple of its latency on an idle engine.
const DEADLINE_FACTOR: u32 = 3;

/// Minimum time between the arrival and the deadline of a program.
const MIN_DEADLINE: Duration = Duration::from_secs(10);

/// Time between consecutive tokens on an idle engine.
const IDLE_TOKEN_GAP: Duration = Duration::from_millis(10);

/// The flooding account starts as many programs as all other accounts together,
/// divided by this.
const FLOOD_DIVISOR: u64 = 2;

/// Parameters of a deployment's programs; pairs without a description are
/// inclusive ranges.
struct Shape {
    /// Number of prompt prefixes that are common to many accounts, and their length
    /// in tokens; each models the shops of one depot.
    common_prefixes: (u64, u32),
    /// Number of accounts, and the length in tokens of the prefix that an account's
    /// programs share after the common prefix.
    accounts: (u64, u32),
    /// Number of calls of a program.
    turns: (u32, u32),
    /// New prompt tokens of a call.
    input: (u32, u32),
    /// Output tokens of a call.
    output: (u32, u32),
    /// Pause for a tool in milliseconds.
    pause: (u64, u64),
    /// Minimum and maximum pause in milliseconds for a tool that waits for a
    /// person, and its probability in thousandths.
    long_pause: (u64, u64, u32),
    /// Probability that a program starts sub-agents, in thousandths.
    sub_agents: u32,
    /// Consecutive phases of the run: duration in thousandths of the run, and
    /// arrival rate in thousandths of the mean rate.
    rate_profile: &'static [(u32, u32)],
}

const ORDINALIA: Shape = Shape {
    common_prefixes: (3, 2_048),
    accounts: (40, 512),
    turns: (4, 9),
    input: (60, 300),
    output: (60, 200),
    pause: (500, 4_000),
    long_pause: (0, 0, 0),
    sub_agents: 0,
    rate_profile: &[(200, 1_500), (600, 667), (200, 1_500)],
};

const OLIVERA: Shape = Shape {
    common_prefixes: (1, 1_024),
    accounts: (30, 256),
    turns: (5, 12),
    input: (80, 400),
    output: (40, 160),
    pause: (1_000, 5_000),
    long_pause: (10_000, 30_000, 150),
    sub_agents: 400,
    rate_profile: &[(300, 1_600), (700, 743)],
};

impl Deployment {
    const fn shape(self) -> &'static Shape {
        match self {
            Self::Ordinalia => &ORDINALIA,
            Self::Olivera => &OLIVERA,
        }
    }
}

/// Generates the programs of a run; parents precede their sub-agents.
pub fn programs(scenario: &Scenario, rng: &mut impl Rng) -> Vec<ProgramSpec> {
    let shape = scenario.deployment.shape();
    let mean_engine_time: Duration = (0..200)
        .map(|_| {
            let mut list = Vec::new();
            add_program_tree(shape, Time::ZERO, 0, &mut list, rng);
            list.iter().map(engine_time).sum::<Duration>()
        })
        .sum::<Duration>()
        / 200;
    let service_interval = mean_engine_time / u32::try_from(scenario.upstreams).unwrap_or(1);
    let mean_gap = service_interval * 1_000 / scenario.load_permille;
    let mut list = Vec::new();
    let mut now = Time::ZERO;
    let end = Time::ZERO + Duration::from_secs(scenario.seconds);
    loop {
        let part = now.as_micros() * 1_000 / end.as_micros();
        let rate = rate(shape, part);
        // Exponentially distributed inter-arrival times by inverse transform sampling.
        let draw = -rng.random_range(f64::EPSILON..1.0).ln();
        now = now + mean_gap.mul_f64(draw) * 1_000 / rate;
        if now >= end {
            break;
        }
        let account = rng.random_range(0..shape.accounts.0);
        let flooding = scenario.flood && account == 0;
        let copies = if flooding {
            shape.accounts.0 / FLOOD_DIVISOR
        } else {
            1
        };
        for _ in 0..copies {
            let first = list.len();
            add_program_tree(shape, now, account, &mut list, rng);
            list[first].flooding = flooding;
        }
    }
    list
}

/// Returns the arrival rate at `part` thousandths of the run, in thousandths of
/// the mean rate.
fn rate(shape: &Shape, part: u64) -> u32 {
    let mut until = 0;
    for (share, rate) in shape.rate_profile {
        until += u64::from(*share);
        if part < until {
            return *rate;
        }
    }
    1_000
}

/// Adds a root program and its sub-agents to the list.
fn add_program_tree(
    shape: &Shape,
    arrival: Time,
    account: u64,
    list: &mut Vec<ProgramSpec>,
    rng: &mut impl Rng,
) {
    let root_index = list.len();
    let id = ProgramId::root(rng.next_u64());
    let (mut idle_latency, root) = random_program(shape, arrival, account, id, shape.turns, rng);
    list.push(root);
    if rng.random_range(0..1_000) < shape.sub_agents {
        let turn = rng.random_range(0..list[root_index].turns.len() - 1);
        let mut longest = Duration::ZERO;
        for branch in 1..=rng.random_range(1..=3) {
            let (span, child) =
                random_program(shape, arrival, account, id.sub_agent(branch), (2, 4), rng);
            let child = ProgramSpec {
                parent: Some(root_index),
                depth: 1,
                ..child
            };
            longest = longest.max(span);
            let child_index = list.len();
            list[root_index].turns[turn].sub_agents.push(child_index);
            list.push(child);
        }
        idle_latency += longest;
    }
    let deadline = arrival + (idle_latency * DEADLINE_FACTOR).max(MIN_DEADLINE);
    for spec in &mut list[root_index..] {
        spec.deadline = deadline;
    }
}

/// Generates a program; also returns its latency on an idle engine.
fn random_program(
    shape: &Shape,
    arrival: Time,
    account: u64,
    id: ProgramId,
    turns: (u32, u32),
    rng: &mut impl Rng,
) -> (Duration, ProgramSpec) {
    let turns: Vec<Turn> = (0..rng.random_range(turns.0..=turns.1))
        .map(|_| random_turn(shape, rng))
        .collect();
    let shared_tokens = shape.common_prefixes.1 + shape.accounts.1;
    let work = |turn: &Turn| turn.pause + IDLE_TOKEN_GAP * turn.output;
    let idle_latency = turns.iter().map(work).sum();
    let length = shared_tokens
        + turns
            .iter()
            .map(|turn| turn.input + turn.output)
            .sum::<u32>();
    let common_prefix = account % shape.common_prefixes.0;
    let tags = [
        (shape.common_prefixes.1, common_prefix + 1),
        (shared_tokens, (account + 1) << 16),
        (length, id.root ^ u64::from(id.branch) << 40 | 1 << 63),
    ];
    let hash = |depth: u32| {
        let tag = tags
            .iter()
            .find(|(end, _)| (depth + 1) * BLOCK_TOKENS <= *end);
        tag.map_or(0, |(_, tag)| {
            splitmix64(*tag).wrapping_add(u64::from(depth))
        })
    };
    let spec = ProgramSpec {
        id,
        account: AccountId(account),
        depth: 0,
        arrival,
        parent: None,
        shared_tokens,
        turns,
        blocks: (0..length / BLOCK_TOKENS).map(hash).collect(),
        deadline: Time::ZERO,
        poison: false,
        flooding: false,
    };
    (idle_latency, spec)
}

fn random_turn(shape: &Shape, rng: &mut impl Rng) -> Turn {
    let (from, to, probability_permille) = shape.long_pause;
    let pause = if rng.random_range(0..1_000) < probability_permille {
        rng.random_range(from..=to)
    } else {
        rng.random_range(shape.pause.0..=shape.pause.1)
    };
    Turn {
        input: rng.random_range(shape.input.0..=shape.input.1),
        output: rng.random_range(shape.output.0..=shape.output.1),
        pause: Duration::from_millis(pause),
        sub_agents: Vec::new(),
    }
}

/// Returns the engine time of a program if no part of its history is prefilled
/// twice.
fn engine_time(spec: &ProgramSpec) -> Duration {
    let model = model_settings(0, false);
    let turn = |index: usize| {
        let blocks = spec.prompt(index) / BLOCK_TOKENS;
        let step =
            model.step_base / REFERENCE_BATCH + model.step_per_job + model.step_per_block * blocks;
        step * spec.turns[index].output + model.prefill_per_token * spec.turns[index].input
    };
    (0..spec.turns.len()).map(turn).sum()
}

/// One output of the `SplitMix64` generator, used as a hash function.
fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
