//! `sapphirequay load`: programs against running entries, measured.

mod caller;
mod overhead;
mod programs;
mod watch;

use {
    gumdrop::Options,
    hdrhistogram::Histogram,
    serde_json::{Value, json},
    std::{error::Error, net::SocketAddr, time::Duration},
};

/// Arguments of `load`.
#[derive(Debug, Options)]
pub struct LoadArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "callers' address of an entry; may be given again",
        meta = "ADDR"
    )]
    entry: Vec<SocketAddr>,
    #[options(no_short, help = "bearer key", default = "demo-key", meta = "KEY")]
    key: String,
    #[options(no_short, help = "model", default = "demo-model", meta = "NAME")]
    model: String,
    #[options(no_short, help = "programs in all", default = "40", meta = "N")]
    programs: usize,
    #[options(no_short, help = "programs at a time", default = "8", meta = "N")]
    concurrency: usize,
    #[options(no_short, help = "turns of a program", default = "4", meta = "N")]
    turns: usize,
    #[options(
        no_short,
        help = "pause between two turns",
        default = "100",
        meta = "MS"
    )]
    pause_ms: u64,
    #[options(
        no_short,
        help = "most tokens of an answer",
        default = "64",
        meta = "N"
    )]
    max_tokens: u64,
    #[options(
        no_short,
        help = "measure what the entry adds to this engine, in place of programs",
        meta = "ADDR"
    )]
    direct: Option<SocketAddr>,
    #[options(
        no_short,
        help = "streams at a time for --direct; may be given again",
        meta = "N"
    )]
    streams: Vec<usize>,
    #[options(
        no_short,
        help = "calls of each stream for --direct",
        default = "4",
        meta = "N"
    )]
    rounds: usize,
    #[options(
        no_short,
        help = "process whose time and memory are told; may be given again",
        meta = "NAME=PID"
    )]
    watch: Vec<String>,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

/// Runs the load that was asked for and prints what was measured.
pub fn run(args: &LoadArgs) -> Result<(), Box<dyn Error>> {
    if args.entry.is_empty() {
        return Err("--entry ADDR is needed".into());
    }
    let report = match args.direct {
        Some(engine) => overhead::run(args, engine)?,
        None => programs::run(args)?,
    };
    if args.json {
        println!("{report}");
    } else {
        println!("{report:#}");
    }
    Ok(())
}

/// Times of one kind, in microseconds.
struct Times(Histogram<u64>);

impl Times {
    /// No times yet.
    fn new() -> Result<Self, Box<dyn Error + Send + Sync>> {
        Ok(Self(Histogram::new(3)?))
    }

    /// Adds one time.
    fn add(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        if self.0.record(micros).is_err() {
            eprintln!("a time of {micros} µs is out of range");
        }
    }

    /// A quantile in milliseconds.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        milliseconds(self.0.value_at_quantile(quantile))
    }

    /// The usual figures.
    fn json(&self) -> Value {
        json!({
            "count": self.0.len(),
            "mean_ms": (self.0.mean()).round() / 1_000.0,
            "p50_ms": self.quantile_ms(0.50),
            "p95_ms": self.quantile_ms(0.95),
            "p99_ms": self.quantile_ms(0.99),
            "max_ms": milliseconds(self.0.max()),
        })
    }
}

/// Microseconds as milliseconds.
#[allow(clippy::cast_precision_loss)] // Times stay far below 2^52 µs.
fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
