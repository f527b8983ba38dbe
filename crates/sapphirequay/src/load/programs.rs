//! Runs programs of several turns against entries.

use {
    super::{
        DurationHistogram, LoadArgs,
        caller::{CallError, CallOutcome, Target},
    },
    serde_json::{Value, json},
    std::{
        error::Error,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// System prompt of every program. All programs share it, so the prefix cache
/// can serve it across programs.
const SYSTEM_PROMPT: &str = "You draft the replenishment order of a shop. Check stock before you \
    order, never order the same line twice, and ask the shopkeeper where a quantity is unclear. ";

/// Repetitions of the system prompt, which make it span several cache blocks.
const SYSTEM_PROMPT_REPETITIONS: usize = 12;

/// Tokens in a block of the prefix cache; a partial block is never cached.
const BLOCK_TOKENS: u64 = 64;

/// Measurements of a set of programs.
struct Measured {
    program: DurationHistogram,
    turn: DurationHistogram,
    first: DurationHistogram,
    failed: usize,
    prompt: u64,
    cached: u64,
    /// Prompt tokens of earlier turns that were prefilled again.
    wasted: u64,
}

impl Measured {
    fn new() -> Result<Self, CallError> {
        Ok(Self {
            program: DurationHistogram::new()?,
            turn: DurationHistogram::new()?,
            first: DurationHistogram::new()?,
            failed: 0,
            prompt: 0,
            cached: 0,
            wasted: 0,
        })
    }

    /// Adds the measurements of another thread.
    fn add(&mut self, other: &Self) -> Result<(), CallError> {
        self.program.0.add(&other.program.0)?;
        self.turn.0.add(&other.turn.0)?;
        self.first.0.add(&other.first.0)?;
        self.failed += other.failed;
        self.prompt += other.prompt;
        self.cached += other.cached;
        self.wasted += other.wasted;
        Ok(())
    }

    /// Adds one turn. `before` is the number of prompt and output tokens of the
    /// previous turn.
    fn add_turn(&mut self, outcome: &CallOutcome, before: u64) {
        self.turn.add(outcome.whole);
        self.first.add(outcome.first);
        self.prompt += outcome.prompt;
        self.cached += outcome.cached;
        let cacheable = before.min(outcome.prompt) / BLOCK_TOKENS * BLOCK_TOKENS;
        self.wasted += cacheable.saturating_sub(outcome.cached);
    }
}

/// Runs every program and returns the report.
pub fn run(args: &LoadArgs) -> Result<Value, Box<dyn Error>> {
    let next = Arc::new(AtomicUsize::new(0));
    let started = Instant::now();
    let workers: Vec<_> = (0..args.concurrency)
        .map(|_| {
            let (next, plan) = (Arc::clone(&next), LoadPlan::of(args));
            thread::spawn(move || plan.run_programs(&next))
        })
        .collect();
    let mut measured = Measured::new().map_err(|err| err.to_string())?;
    for worker in workers {
        let part = worker.join().map_err(|_| "a worker thread panicked")?;
        let part = part.map_err(|err| err.to_string())?;
        measured.add(&part).map_err(|err| err.to_string())?;
    }
    Ok(json!({
        "programs": args.programs, "failed": measured.failed,
        "seconds": started.elapsed().as_secs_f64(),
        "program": measured.program.json(), "turn": measured.turn.json(),
        "first_token": measured.first.json(),
        "prompt_tokens": measured.prompt, "cached_tokens": measured.cached,
        "wasted_tokens": measured.wasted,
    }))
}

/// Parameters of the programs, one copy per worker thread.
struct LoadPlan {
    targets: Vec<Target>,
    programs: usize,
    turns: usize,
    pause: Duration,
}

impl LoadPlan {
    /// Converts the arguments to a plan.
    fn of(args: &LoadArgs) -> Self {
        let target = |addr: &std::net::SocketAddr| Target {
            addr: *addr,
            key: args.key.as_str().into(),
            model: args.model.as_str().into(),
            max_tokens: args.max_tokens,
        };
        Self {
            targets: args.entry.iter().map(target).collect(),
            programs: args.programs,
            turns: args.turns,
            pause: Duration::from_millis(args.pause_ms),
        }
    }

    /// Runs programs until all have been taken from the shared counter `next`.
    fn run_programs(&self, next: &AtomicUsize) -> Result<Measured, CallError> {
        let mut measured = Measured::new()?;
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= self.programs {
                return Ok(measured);
            }
            let started = Instant::now();
            match self.run_program(number, &mut measured) {
                Ok(()) => measured.program.add(started.elapsed()),
                Err(err) => {
                    eprintln!("program {number} failed: {err}");
                    measured.failed += 1;
                }
            }
        }
    }

    /// Runs one program; its turns go to the entries in rotation.
    fn run_program(&self, number: usize, measured: &mut Measured) -> Result<(), CallError> {
        let agent = Target::agent();
        let id = create_program(&self.targets[number % self.targets.len()], &agent)?;
        let mut messages = vec![json!({
            "role": "system", "content": SYSTEM_PROMPT.repeat(SYSTEM_PROMPT_REPETITIONS),
        })];
        let mut before = 0;
        for turn in 1..=self.turns {
            messages.push(json!({
                "role": "user", "content": format!("Shop {number}, turn {turn}: what now?"),
            }));
            let target = &self.targets[(number + turn) % self.targets.len()];
            let call = turn.to_string();
            let headers = [
                ("sapphirequay-program", id.as_str()),
                ("sapphirequay-call", call.as_str()),
            ];
            let outcome = target.call(&agent, &json!(messages), &headers)?;
            measured.add_turn(&outcome, before);
            before = outcome.prompt + outcome.output;
            messages.push(json!({"role": "assistant", "content": outcome.text}));
            thread::sleep(self.pause);
        }
        let path = format!("/v1/programs/{id}");
        let target = &self.targets[number % self.targets.len()];
        let delete = agent.delete(&format!("http://{}{path}", target.addr));
        delete
            .set("authorization", &format!("Bearer {}", target.key))
            .call()
            .map_err(Box::new)?;
        Ok(())
    }
}

/// Creates a program and returns its id.
fn create_program(target: &Target, agent: &ureq::Agent) -> Result<String, CallError> {
    let response = target.post(agent, "/v1/programs").send_string("{}");
    let text = response.map_err(Box::new)?.into_string()?;
    let body: Value = serde_json::from_str(&text)?;
    let id = body["id"]
        .as_str()
        .ok_or("the response has no program id")?;
    Ok(id.to_owned())
}
