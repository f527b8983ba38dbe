//! Programs, generated from a seed.

use {
    super::settings::{EngineSettings, WorldSettings},
    quay_types::Time,
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// A turn of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnSpec {
    /// New prompt tokens.
    pub input: u64,
    /// Tokens to generate.
    pub answer: u32,
    /// Time of tools and caller after it.
    pub pause: Duration,
    /// Whether two sub-agents run after it.
    pub fans: bool,
    /// Random number that tells through which front it comes.
    pub draw: u64,
    /// Whether it comes through another front than the turn before.
    pub moves: bool,
}

/// A program.
#[derive(Debug, Clone)]
pub struct ProgramSpec {
    /// When it begins.
    pub begins: Time,
    /// Whether it is one of the long and urgent ones.
    pub long: bool,
    /// Shared part that its prompts begin with, and its length in tokens.
    pub shared: (u64, u64),
    /// Its turns.
    pub turns: Vec<TurnSpec>,
    /// Time by which it is to end.
    pub aim: Duration,
}

/// Number of turns of a sub-agent.
pub const SUB_TURNS: usize = 2;

/// Draws around `mean`: a sum of two uniform numbers, never below a fifth of it.
fn around(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let sum: f64 = rng.random::<f64>() + rng.random::<f64>();
    mean * (0.2 + 0.8 * sum)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Positive and small.
fn count(of: f64) -> u64 {
    of.round().max(1.0) as u64
}

/// Generates all programs in order of their beginnings.
pub fn programs(cfg: &WorldSettings) -> Vec<ProgramSpec> {
    let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed);
    let (parts, tokens) = cfg.load.shared_parts;
    let parts: Vec<(u64, u64, f64)> = (0..parts.max(1))
        .map(|rank| {
            let weight = 1.0 / (1.0 + rank as f64).powf(cfg.load.part_skew);
            (rng.random(), count(around(&mut rng, tokens)), weight)
        })
        .collect();
    let mut programs = Vec::new();
    let mut at = 0.0;
    loop {
        let factor = if cfg.burst.span.contains(at) {
            cfg.burst.factor
        } else {
            1.0
        };
        let gap: f64 = -(1.0 - rng.random::<f64>()).ln();
        at += gap / (cfg.programs_per_s * factor).max(1e-3);
        if at >= cfg.seconds as f64 {
            return programs;
        }
        programs.push(program(cfg, &mut rng, at, &parts));
    }
}

fn program(
    cfg: &WorldSettings,
    rng: &mut ChaCha8Rng,
    at: f64,
    parts: &[(u64, u64, f64)],
) -> ProgramSpec {
    let load = &cfg.load;
    let long = rng.random::<f64>() < load.long_share;
    let kind = usize::from(long);
    let number = count(around(rng, load.turns[kind]));
    let turns: Vec<TurnSpec> = (0..number)
        .map(|_| TurnSpec {
            input: count(around(rng, load.input_tokens[kind])),
            answer: u32::try_from(count(around(rng, load.answer_tokens))).unwrap_or(u32::MAX),
            pause: load.pause.mul_f64(around(rng, 1.0)),
            fans: rng.random::<f64>() < load.fan,
            draw: rng.random(),
            moves: rng.random::<f64>() < load.moves,
        })
        .collect();
    let mut left = rng.random::<f64>() * parts.iter().map(|it| it.2).sum::<f64>();
    let shared = parts.iter().find(|(_, _, weight)| {
        left -= weight;
        left <= 0.0
    });
    let idle: Duration = turns
        .iter()
        .map(|it| idle_time(&cfg.engine, cfg.hop, it))
        .sum();
    ProgramSpec {
        begins: Time::ZERO + Duration::from_secs_f64(at),
        long,
        shared: shared.map_or((0, 1), |(id, tokens, _)| (*id, *tokens)),
        turns,
        aim: idle.mul_f64(load.aim_factor) + load.objective,
    }
}

/// Time of a turn on an idle upstream that holds what came before, with the pause
/// after it.
fn idle_time(engine: &EngineSettings, hop: Duration, turn: &TurnSpec) -> Duration {
    let reading = turn.input as f64 / engine.read_per_ms / 1e3;
    let steps = f64::from(turn.answer) * engine.step_us / 1e6;
    let own = Duration::from_secs_f64(reading + steps) + hop * 4 + turn.pause;
    if turn.fans {
        own * u32::try_from(1 + SUB_TURNS).unwrap_or(1)
    } else {
        own
    }
}
