//! `sapphirequay experiment gateway`: callers, fronts and upstreams of a gateway under
//! bursts and outages, with mechanisms of the fronts switched on or off.

use {
    gumdrop::Options,
    quay_experiment::gateway::{
        Burst, EngineSettings, LoadSettings, Span, WorldReport, WorldSettings, plot, simulate,
    },
    sapphirequayd::DecisionTable,
    std::{error::Error, fs, path::PathBuf, time::Duration},
};

/// Arguments of `experiment gateway`.
#[derive(Debug, Options)]
pub struct GatewayArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of every random choice", default = "1")]
    seed: u64,
    #[options(help = "number of runs with consecutive seeds", default = "1")]
    runs: u64,
    #[options(help = "number of fronts", default = "4")]
    fronts: usize,
    #[options(help = "number of upstreams", default = "12")]
    upstreams: usize,
    #[options(
        help = "requests that an upstream runs at the same time",
        default = "16"
    )]
    slots: usize,
    #[options(help = "tokens that an upstream's memory holds", default = "400000")]
    memory: u64,
    #[options(help = "seconds of traffic", default = "30")]
    seconds: u64,
    #[options(help = "programs that begin in a second", default = "25")]
    rate: f64,
    #[options(help = "factor on the rate in the burst", default = "1")]
    burst: f64,
    #[options(help = "start of the burst, in seconds", default = "10")]
    burst_at: f64,
    #[options(help = "duration of the burst, in seconds", default = "5")]
    burst_for: f64,
    #[options(help = "start of the outage of all fronts, in seconds", default = "20")]
    outage_at: f64,
    #[options(help = "duration of the outage, in seconds; 0 for none", default = "0")]
    outage_for: f64,
    #[options(help = "start of the time in which fronts stand still", default = "10")]
    freeze_at: f64,
    #[options(help = "duration of that time, in seconds; 0 for none", default = "0")]
    freeze_for: f64,
    #[options(
        help = "share of turns that come through another front than the turn before",
        default = "0.33"
    )]
    moves: f64,
    #[options(
        help = "number of prompt beginnings that programs share",
        default = "16"
    )]
    shared_parts: usize,
    #[options(help = "processor time of a turn at a front, in ms", default = "1")]
    turn_cpu: f64,
    #[options(
        help = "settings of [front.decisions] in TOML, one line for each run to compare",
        meta = "TOML"
    )]
    with: Vec<String>,
    #[options(help = "print JSON instead of tables")]
    json: bool,
    #[options(help = "print a line for each run instead of a table")]
    brief: bool,
    #[options(help = "write a plot to this SVG file", meta = "FILE")]
    plot: Option<PathBuf>,
}

/// Runs the experiment and prints its reports.
pub fn run(args: &GatewayArgs) -> Result<(), Box<dyn Error>> {
    let defaults = [String::new()];
    let variants = if args.with.is_empty() {
        &defaults
    } else {
        &*args.with
    };
    let mut reports = Vec::new();
    for text in variants {
        let decisions = DecisionTable::parse(&text.replace(',', "\n"));
        let decisions = decisions.map_err(|problem| problem.to_string())?;
        for seed in args.seed..args.seed + args.runs {
            let report = simulate(&world(args, seed, decisions));
            let name = if text.is_empty() { "default" } else { text };
            print_report(args, name, seed, &report)?;
            reports.push((format!("{name}, seed {seed}").into(), report));
        }
    }
    if let Some(path) = &args.plot {
        fs::write(path, plot(&reports)?)?;
    }
    Ok(())
}

fn world(args: &GatewayArgs, seed: u64, decisions: DecisionTable) -> WorldSettings {
    let span = |at_s, for_s| Span { at_s, for_s };
    let (load, bursts) = (LoadSettings::default(), args.burst > 1.0);
    WorldSettings {
        seed,
        fronts: args.fronts,
        upstreams: args.upstreams,
        seconds: args.seconds,
        programs_per_s: args.rate,
        burst: Burst {
            span: span(args.burst_at, if bursts { args.burst_for } else { 0.0 }),
            factor: args.burst,
        },
        outage: span(args.outage_at, args.outage_for),
        freeze: span(args.freeze_at, args.freeze_for),
        turn_cpu: Duration::from_secs_f64(args.turn_cpu.max(0.0) / 1e3),
        load: LoadSettings {
            moves: args.moves,
            shared_parts: (args.shared_parts, load.shared_parts.1),
            ..load
        },
        engine: EngineSettings {
            slots: args.slots,
            queue: args.slots * 3,
            memory_tokens: args.memory,
            ..EngineSettings::default()
        },
        decisions,
        ..WorldSettings::default()
    }
}

fn print_report(
    args: &GatewayArgs,
    name: &str,
    seed: u64,
    report: &WorldReport,
) -> Result<(), Box<dyn Error>> {
    if args.json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else if args.brief {
        let total = &report.total;
        println!(
            "{name:<40} seed {seed} worth {:.3} in_time {} late {} refused {} failed {} shared_k {} again_k {} busiest {:.2} after_burst_s {:?} after_outage_s {:?}",
            total.worth(),
            total.in_time,
            total.late,
            total.refused,
            total.failed,
            report.shared_tokens / 1_000,
            report.again_tokens / 1_000,
            report.busiest,
            report.after_burst_s,
            report.after_outage_s,
        );
    } else {
        println!("{name}, seed {seed}");
        print!("{report}");
    }
    Ok(())
}
