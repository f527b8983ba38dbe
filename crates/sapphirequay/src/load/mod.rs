//! `sapphirequay load`: sends load to running entries and measures latencies.

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
        help = "address of an entry for callers; may be repeated",
        meta = "ADDR"
    )]
    entry: Vec<SocketAddr>,
    #[options(no_short, help = "bearer key", default = "demo-key", meta = "KEY")]
    key: String,
    #[options(no_short, help = "model", default = "demo-model", meta = "NAME")]
    model: String,
    #[options(
        no_short,
        help = "number of programs to run",
        default = "40",
        meta = "N"
    )]
    programs: usize,
    #[options(
        no_short,
        help = "programs run concurrently",
        default = "8",
        meta = "N"
    )]
    concurrency: usize,
    #[options(no_short, help = "model calls per program", default = "4", meta = "N")]
    turns: usize,
    #[options(no_short, help = "pause after each turn", default = "100", meta = "MS")]
    pause_ms: u64,
    #[options(
        no_short,
        help = "maximum tokens per answer",
        default = "64",
        meta = "N"
    )]
    max_tokens: u64,
    #[options(
        no_short,
        help = "measure the latency that the entry adds to this engine, instead of running programs",
        meta = "ADDR"
    )]
    direct: Option<SocketAddr>,
    #[options(
        no_short,
        help = "concurrent streams for --direct; may be repeated",
        meta = "N"
    )]
    streams: Vec<usize>,
    #[options(
        no_short,
        help = "rounds of calls per number of streams for --direct",
        default = "4",
        meta = "N"
    )]
    rounds: usize,
    #[options(
        no_short,
        help = "process whose CPU time and memory are reported; may be repeated",
        meta = "NAME=PID"
    )]
    watch: Vec<String>,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

/// Runs programs, or the overhead measurement if `--direct` is given, and
/// prints the report.
pub fn run(args: &LoadArgs) -> Result<(), Box<dyn Error>> {
    if args.entry.is_empty() {
        return Err("missing option: --entry ADDR".into());
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

/// Histogram of durations, in microseconds.
struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    /// Creates an empty histogram with three significant digits.
    fn new() -> Result<Self, Box<dyn Error + Send + Sync>> {
        Ok(Self(Histogram::new(3)?))
    }

    /// Records one duration.
    fn add(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        if self.0.record(micros).is_err() {
            eprintln!("duration of {micros} µs is out of range of the histogram");
        }
    }

    /// Duration at a quantile, in milliseconds.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        milliseconds(self.0.value_at_quantile(quantile))
    }

    /// Summary with count, mean, quantiles and maximum.
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

/// Converts microseconds to milliseconds.
#[allow(clippy::cast_precision_loss)] // Durations stay far below 2^52 µs.
fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
