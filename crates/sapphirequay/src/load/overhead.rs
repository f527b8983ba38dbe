//! What entry and sidecar add to a token, side by side with the engine itself.

use {
    super::{
        LoadArgs, Times,
        caller::{Answered, Fault, Target},
        watch::Watched,
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

/// Streams at a time where the arguments name none.
const DEFAULT_STREAMS: [usize; 4] = [1, 100, 250, 500];

/// Time after the start of a round at which memory is read.
const MEMORY_AFTER: Duration = Duration::from_millis(400);

/// What one way of calling gave.
struct Measured {
    first: Times,
    token: Times,
    tokens: u64,
    failed: usize,
}

/// Measures both ways in turn and reports.
pub fn run(args: &LoadArgs, engine: SocketAddr) -> Result<Value, Box<dyn Error>> {
    let watched = Watched::parse(&args.watch)?;
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

/// Lines through the processor time against tokens and the memory against
/// streams of each watched process; none for fewer than four numbers of streams.
fn slopes(rows: &[Value]) -> Vec<Value> {
    let processes = rows.first().and_then(|row| row["processes"].as_array());
    let names = processes.into_iter().flatten().enumerate();
    let lines = names.flat_map(|(place, process)| {
        let fit = |name: &str, per: &Value, x: &dyn Fn(&Value) -> Option<f64>, key: &str| {
            let points: Option<Vec<_>> = rows
                .iter()
                .map(|row| Some((x(row)?, row["processes"][place][key].as_f64()?)))
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

/// Measures one number of streams: both ways, one round after the other.
fn measure(
    direct: &Target,
    entry: &Target,
    count: usize,
    rounds: usize,
    watched: &Watched,
) -> Result<Value, Box<dyn Error>> {
    let mut ways = [Measured::new()?, Measured::new()?];
    let idle = watched.memory();
    let mut most = idle.clone();
    let before = watched.cpu();
    for _ in 0..rounds {
        for (way, target) in [direct, entry].into_iter().enumerate() {
            let memory = round(target, count, &mut ways[way], watched)?;
            for (most, now) in most.iter_mut().zip(memory) {
                *most = (*most).max(now);
            }
        }
    }
    let after = watched.cpu();
    let [direct, entry] = &ways;
    let added = |quantile: f64, pick: fn(&Measured) -> &Times| {
        pick(entry).quantile_ms(quantile) - pick(direct).quantile_ms(quantile)
    };
    Ok(json!({
        "streams": count,
        "direct": direct.json(), "entry": entry.json(),
        "added_first_p50_ms": added(0.50, |way| &way.first),
        "added_first_p99_ms": added(0.99, |way| &way.first),
        "added_token_p50_ms": added(0.50, |way| &way.token),
        "added_token_p99_ms": added(0.99, |way| &way.token),
        "processes": watched.json(&before, &after, &idle, &most, entry.tokens, count),
    }))
}

/// Makes `count` calls at a time; memory of the watched processes meanwhile.
fn round(
    target: &Target,
    count: usize,
    measured: &mut Measured,
    watched: &Watched,
) -> Result<Vec<u64>, Box<dyn Error>> {
    let start = Arc::new(Barrier::new(count + 1));
    let callers: Vec<_> = (0..count)
        .map(|number| {
            let (target, start) = (target.clone(), Arc::clone(&start));
            thread::spawn(move || one_call(&target, number, &start))
        })
        .collect();
    start.wait();
    thread::sleep(MEMORY_AFTER);
    let memory = watched.memory();
    for caller in callers {
        match caller.join().map_err(|_| "a caller has panicked")? {
            Ok(answered) => measured.add(&answered),
            Err(err) => {
                eprintln!("call: {err}");
                measured.failed += 1;
            }
        }
    }
    Ok(memory)
}

/// One call that starts together with the others.
fn one_call(target: &Target, number: usize, start: &Barrier) -> Result<Answered, Fault> {
    let agent = Target::agent();
    let messages = json!([{"role": "user", "content": format!("caller {number}")}]);
    start.wait();
    target.call(&agent, &messages, &[])
}

impl Measured {
    fn new() -> Result<Self, Box<dyn Error>> {
        Ok(Self {
            first: Times::new().map_err(|err| err.to_string())?,
            token: Times::new().map_err(|err| err.to_string())?,
            tokens: 0,
            failed: 0,
        })
    }

    /// Adds one call.
    fn add(&mut self, answered: &Answered) {
        self.first.add(answered.first);
        self.tokens += answered.output;
        for age in &answered.ages {
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
