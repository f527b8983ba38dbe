//! Measures the latency that entry and sidecar add to a token, compared with
//! direct calls to the engine, and the CPU time and memory of watched processes.

use {
    super::{
        DurationHistogram, LoadArgs,
        caller::{CallError, CallOutcome, Target},
        watch::WatchedProcesses,
    },
    quay_experiment::capacity::LineFit,
    serde_json::{Value, json},
    std::{
        error::Error,
        net::SocketAddr,
        sync::{Arc, Barrier},
        thread,
        time::Duration,
    },
};

/// Numbers of concurrent streams if the arguments give none.
const DEFAULT_STREAMS: [usize; 4] = [1, 100, 250, 500];

/// Delay from the start of a round until memory is sampled.
const MEMORY_SAMPLE_DELAY: Duration = Duration::from_millis(400);

/// Measurements of one path: direct to the engine or through the entry.
struct PathMeasurements {
    first: DurationHistogram,
    token: DurationHistogram,
    tokens: u64,
    failed: usize,
}

/// Measures both paths for each number of streams and returns the report.
pub fn run(args: &LoadArgs, engine: SocketAddr) -> Result<Value, Box<dyn Error>> {
    let watched = WatchedProcesses::parse(&args.watch)?;
    let streams = if args.streams.is_empty() {
        DEFAULT_STREAMS.to_vec()
    } else {
        args.streams.clone()
    };
    let target = |addr: SocketAddr| Target {
        addr,
        key: args.key.as_str().into(),
        model: args.model.as_str().into(),
        max_tokens: args.max_tokens,
    };
    let mut rows = Vec::new();
    for count in streams {
        rows.push(measure(
            &target(engine),
            &target(args.entry[0]),
            count,
            args.rounds,
            &watched,
        )?);
    }
    let slopes = slopes(&rows);
    Ok(json!({
        "rounds": args.rounds, "tokens": args.max_tokens, "streams": rows, "slopes": slopes,
    }))
}

/// Fits lines to CPU time against tokens and to memory against streams for each
/// watched process; empty for fewer than four numbers of streams.
fn slopes(rows: &[Value]) -> Vec<Value> {
    let processes = rows.first().and_then(|row| row["processes"].as_array());
    let names = processes.into_iter().flatten().enumerate();
    let lines = names.flat_map(|(position, process)| {
        let fit = |name: &str, per: &Value, x: &dyn Fn(&Value) -> Option<f64>, key: &str| {
            let points: Option<Vec<_>> = rows
                .iter()
                .map(|row| Some((x(row)?, row["processes"][position][key].as_f64()?)))
                .collect();
            let fit = LineFit::of(&points?)?;
            Some(json!({"process": process["name"], "of": name, "per": per, "fit": fit}))
        };
        let tokens = |row: &Value| row["entry"]["token"]["count"].as_f64();
        let streams = |row: &Value| row["streams"].as_f64();
        [
            fit("cpu_s", &json!("token"), &tokens, "cpu_s"),
            fit("memory_kib", &json!("stream"), &streams, "most_kib"),
        ]
    });
    lines.flatten().collect()
}

/// Measures one number of streams, alternating between both paths each round.
fn measure(
    direct: &Target,
    entry: &Target,
    count: usize,
    rounds: usize,
    watched: &WatchedProcesses,
) -> Result<Value, Box<dyn Error>> {
    let mut paths = [PathMeasurements::new()?, PathMeasurements::new()?];
    let idle = watched.memory();
    let mut most = idle.clone();
    let before = watched.cpu();
    for _ in 0..rounds {
        for (path, target) in [direct, entry].into_iter().enumerate() {
            let memory = run_round(target, count, &mut paths[path], watched)?;
            for (most, now) in most.iter_mut().zip(memory) {
                *most = (*most).max(now);
            }
        }
    }
    let after = watched.cpu();
    let [direct, entry] = &paths;
    let added = |quantile: f64, pick: fn(&PathMeasurements) -> &DurationHistogram| {
        pick(entry).quantile_ms(quantile) - pick(direct).quantile_ms(quantile)
    };
    Ok(json!({
        "streams": count,
        "direct": direct.json(), "entry": entry.json(),
        "added_first_p50_ms": added(0.50, |path| &path.first),
        "added_first_p99_ms": added(0.99, |path| &path.first),
        "added_token_p50_ms": added(0.50, |path| &path.token),
        "added_token_p99_ms": added(0.99, |path| &path.token),
        "processes": watched.json(&before, &after, &idle, &most, entry.tokens, count),
    }))
}

/// Makes `count` concurrent calls; returns the memory of the watched processes
/// during the calls, in KiB.
fn run_round(
    target: &Target,
    count: usize,
    measured: &mut PathMeasurements,
    watched: &WatchedProcesses,
) -> Result<Vec<u64>, Box<dyn Error>> {
    let start = Arc::new(Barrier::new(count + 1));
    let callers: Vec<_> = (0..count)
        .map(|number| {
            let (target, start) = (target.clone(), Arc::clone(&start));
            thread::spawn(move || call_after_barrier(&target, number, &start))
        })
        .collect();
    start.wait();
    thread::sleep(MEMORY_SAMPLE_DELAY);
    let memory = watched.memory();
    for caller in callers {
        match caller.join().map_err(|_| "a caller thread panicked")? {
            Ok(outcome) => measured.add(&outcome),
            Err(err) => {
                eprintln!("failed call: {err}");
                measured.failed += 1;
            }
        }
    }
    Ok(memory)
}

/// Makes one call, which starts when all threads have reached the barrier.
fn call_after_barrier(
    target: &Target,
    number: usize,
    start: &Barrier,
) -> Result<CallOutcome, CallError> {
    let agent = Target::agent();
    let messages = json!([{"role": "user", "content": format!("caller {number}")}]);
    start.wait();
    target.call(&agent, &messages, &[])
}

impl PathMeasurements {
    fn new() -> Result<Self, Box<dyn Error>> {
        Ok(Self {
            first: DurationHistogram::new().map_err(|err| err.to_string())?,
            token: DurationHistogram::new().map_err(|err| err.to_string())?,
            tokens: 0,
            failed: 0,
        })
    }

    /// Adds the measurements of one call.
    fn add(&mut self, outcome: &CallOutcome) {
        self.first.add(outcome.first);
        self.tokens += outcome.output;
        for age in &outcome.ages {
            self.token.add(*age);
        }
    }

    fn json(&self) -> Value {
        json!({
            "first_token": self.first.json(), "token": self.token.json(),
            "failed": self.failed,
        })
    }
}
