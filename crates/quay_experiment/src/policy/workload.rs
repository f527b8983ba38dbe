//! Seeded workloads of the shape of both deployments.

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

/// Batch at which an engine's capacity is counted.
const REFERENCE_BATCH: u32 = 32;

/// A caller gives up after this many times the time that a program takes on an idle engine.
const PATIENCE: u32 = 3;

/// Least time that a caller waits.
const LEAST_PATIENCE: Duration = Duration::from_secs(10);

/// Time between tokens on an idle engine.
const IDLE_GAP: Duration = Duration::from_millis(10);

/// A flooding account sends one part in so many of what all others send.
const FLOOD_DIVISOR: u64 = 2;

/// Sizes of one deployment's programs.
struct Shape {
    /// Prefixes that all shops of a depot share: how many, and their length.
    depots: (u64, u32),
    /// Accounts, and the length of the prefix that an account's programs share.
    accounts: (u64, u32),
    turns: (u32, u32),
    input: (u32, u32),
    output: (u32, u32),
    /// Tool pauses in milliseconds.
    pause: (u64, u64),
    /// Pauses of a tool that waits for a person, and how often they come, in thousandths.
    long_pause: (u64, u64, u32),
    /// How often a program starts sub-agents, in thousandths.
    sub_agents: u32,
    /// Parts of the time with their rate in thousandths of the mean.
    peaks: &'static [(u32, u32)],
}

const ORDINALIA: Shape = Shape {
    depots: (3, 2_048),
    accounts: (40, 512),
    turns: (4, 9),
    input: (60, 300),
    output: (60, 200),
    pause: (500, 4_000),
    long_pause: (0, 0, 0),
    sub_agents: 0,
    peaks: &[(200, 1_500), (600, 667), (200, 1_500)],
};

const OLIVERA: Shape = Shape {
    depots: (1, 1_024),
    accounts: (30, 256),
    turns: (5, 12),
    input: (80, 400),
    output: (40, 160),
    pause: (1_000, 5_000),
    long_pause: (10_000, 30_000, 150),
    sub_agents: 400,
    peaks: &[(300, 1_600), (700, 743)],
};

impl Deployment {
    const fn shape(self) -> &'static Shape {
        match self {
            Self::Ordinalia => &ORDINALIA,
            Self::Olivera => &OLIVERA,
        }
    }
}

/// Makes the programs of a run, parents before their sub-agents.
pub fn programs(scenario: &Scenario, rng: &mut impl Rng) -> Vec<ProgramSpec> {
    let shape = scenario.deployment.shape();
    let sample: Duration = (0..200)
        .map(|_| {
            let mut list = Vec::new();
            add_tree(shape, Time::ZERO, 0, &mut list, rng);
            list.iter().map(cost).sum::<Duration>()
        })
        .sum::<Duration>()
        / 200;
    let capacity = sample / u32::try_from(scenario.upstreams).unwrap_or(1);
    let gap = capacity * 1_000 / scenario.load_permille;
    let mut list = Vec::new();
    let mut now = Time::ZERO;
    let end = Time::ZERO + Duration::from_secs(scenario.seconds);
    loop {
        let part = now.as_micros() * 1_000 / end.as_micros();
        let rate = rate(shape, part);
        // Exponential gaps, drawn by inversion.
        let draw = -rng.random_range(f64::EPSILON..1.0).ln();
        now = now + gap.mul_f64(draw) * 1_000 / rate;
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
            add_tree(shape, now, account, &mut list, rng);
            list[first].flooding = flooding;
        }
    }
    list
}

/// Rate at a thousandth of the run, in thousandths of the mean.
fn rate(shape: &Shape, part: u64) -> u32 {
    let mut until = 0;
    for (share, rate) in shape.peaks {
        until += u64::from(*share);
        if part < until {
            return *rate;
        }
    }
    1_000
}

/// Adds a program and its sub-agents.
fn add_tree(
    shape: &Shape,
    arrival: Time,
    account: u64,
    list: &mut Vec<ProgramSpec>,
    rng: &mut impl Rng,
) {
    let at = list.len();
    let id = ProgramId::root(rng.next_u64());
    let (mut ideal, root) = program(shape, arrival, account, id, shape.turns, rng);
    list.push(root);
    if rng.random_range(0..1_000) < shape.sub_agents {
        let turn = rng.random_range(0..list[at].turns.len() - 1);
        let mut longest = Duration::ZERO;
        for branch in 1..=rng.random_range(1..=3) {
            let (span, child) = program(shape, arrival, account, id.sub_agent(branch), (2, 4), rng);
            let child = ProgramSpec {
                parent: Some(at),
                depth: 1,
                ..child
            };
            longest = longest.max(span);
            let place = list.len();
            list[at].turns[turn].sub_agents.push(place);
            list.push(child);
        }
        ideal += longest;
    }
    let deadline = arrival + (ideal * PATIENCE).max(LEAST_PATIENCE);
    for spec in &mut list[at..] {
        spec.deadline = deadline;
    }
}

/// A program, and how long it takes on an idle engine.
fn program(
    shape: &Shape,
    arrival: Time,
    account: u64,
    id: ProgramId,
    turns: (u32, u32),
    rng: &mut impl Rng,
) -> (Duration, ProgramSpec) {
    let turns: Vec<Turn> = (0..rng.random_range(turns.0..=turns.1))
        .map(|_| turn(shape, rng))
        .collect();
    let shared = shape.depots.1 + shape.accounts.1;
    let work = |turn: &Turn| turn.pause + IDLE_GAP * turn.output;
    let ideal = turns.iter().map(work).sum();
    let length = shared
        + turns
            .iter()
            .map(|turn| turn.input + turn.output)
            .sum::<u32>();
    let depot = account % shape.depots.0;
    let tags = [
        (shape.depots.1, depot + 1),
        (shared, (account + 1) << 16),
        (length, id.root ^ u64::from(id.branch) << 40 | 1 << 63),
    ];
    let hash = |depth: u32| {
        let tag = tags
            .iter()
            .find(|(end, _)| (depth + 1) * BLOCK_TOKENS <= *end);
        tag.map_or(0, |(_, tag)| mix(*tag).wrapping_add(u64::from(depth)))
    };
    let spec = ProgramSpec {
        id,
        account: AccountId(account),
        depth: 0,
        arrival,
        parent: None,
        shared,
        turns,
        blocks: (0..length / BLOCK_TOKENS).map(hash).collect(),
        deadline: Time::ZERO,
        poison: false,
        flooding: false,
    };
    (ideal, spec)
}

fn turn(shape: &Shape, rng: &mut impl Rng) -> Turn {
    let (from, to, often) = shape.long_pause;
    let pause = if rng.random_range(0..1_000) < often {
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

/// Engine time that a program needs if its history is never prefilled twice.
fn cost(spec: &ProgramSpec) -> Duration {
    let model = model_settings(0, false);
    let turn = |at: usize| {
        let blocks = spec.prompt(at) / BLOCK_TOKENS;
        let step =
            model.step_base / REFERENCE_BATCH + model.step_per_job + model.step_per_block * blocks;
        step * spec.turns[at].output + model.prefill_per_token * spec.turns[at].input
    };
    (0..spec.turns.len()).map(turn).sum()
}

/// The finaliser of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
