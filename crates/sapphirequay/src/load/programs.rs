//! Programs of several turns against entries.

use {
    super::{
        LoadArgs, Times,
        caller::{Answered, Fault, Target},
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

/// Text of a shop's first message; every program shares it, as agents share
/// their instructions.
const INSTRUCTIONS: &str = "You draft the replenishment order of a shop. Check stock before you \
    order, never order the same line twice, and ask the shopkeeper where a quantity is unclear. ";

/// How often the instructions are repeated, so that they fill some blocks.
const INSTRUCTIONS_REPEATED: usize = 12;

/// Tokens in a block of the prefix cache; a part block is never cached.
const BLOCK_TOKENS: u64 = 64;

/// What was measured of some programs.
struct Measured {
    program: Times,
    turn: Times,
    first: Times,
    failed: usize,
    prompt: u64,
    cached: u64,
    /// Prompt tokens that an earlier turn had and that were prefilled again.
    wasted: u64,
}

impl Measured {
    fn new() -> Result<Self, Fault> {
        Ok(Self {
            program: Times::new()?,
            turn: Times::new()?,
            first: Times::new()?,
            failed: 0,
            prompt: 0,
            cached: 0,
            wasted: 0,
        })
    }

    /// Adds what another thread measured.
    fn add(&mut self, other: &Self) -> Result<(), Fault> {
        self.program.0.add(&other.program.0)?;
        self.turn.0.add(&other.turn.0)?;
        self.first.0.add(&other.first.0)?;
        self.failed += other.failed;
        self.prompt += other.prompt;
        self.cached += other.cached;
        self.wasted += other.wasted;
        Ok(())
    }

    /// Adds one turn; `before` are the tokens that the program had already.
    fn add_turn(&mut self, answered: &Answered, before: u64) {
        self.turn.add(answered.whole);
        self.first.add(answered.first);
        self.prompt += answered.prompt;
        self.cached += answered.cached;
        let known = before.min(answered.prompt) / BLOCK_TOKENS * BLOCK_TOKENS;
        self.wasted += known.saturating_sub(answered.cached);
    }
}

/// Runs every program and reports.
pub fn run(args: &LoadArgs) -> Result<Value, Box<dyn Error>> {
    let next = Arc::new(AtomicUsize::new(0));
    let started = Instant::now();
    let workers: Vec<_> = (0..args.concurrency)
        .map(|_| {
            let (next, plan) = (Arc::clone(&next), Plan::of(args));
            thread::spawn(move || plan.work(&next))
        })
        .collect();
    let mut measured = Measured::new().map_err(|err| err.to_string())?;
    for worker in workers {
        let part = worker.join().map_err(|_| "a worker has panicked")?;
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

/// What every worker does.
struct Plan {
    targets: Vec<Target>,
    programs: usize,
    turns: usize,
    pause: Duration,
}

impl Plan {
    /// The plan that the arguments ask for.
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

    /// Runs programs until none is left.
    fn work(&self, next: &AtomicUsize) -> Result<Measured, Fault> {
        let mut measured = Measured::new()?;
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= self.programs {
                return Ok(measured);
            }
            let started = Instant::now();
            match self.program(number, &mut measured) {
                Ok(()) => measured.program.add(started.elapsed()),
                Err(err) => {
                    eprintln!("program {number}: {err}");
                    measured.failed += 1;
                }
            }
        }
    }

    /// Runs one program: each turn goes to the next entry.
    fn program(&self, number: usize, measured: &mut Measured) -> Result<(), Fault> {
        let agent = Target::agent();
        let id = create(&self.targets[number % self.targets.len()], &agent)?;
        let mut messages = vec![json!({
            "role": "system", "content": INSTRUCTIONS.repeat(INSTRUCTIONS_REPEATED),
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
            let answered = target.call(&agent, &json!(messages), &headers)?;
            measured.add_turn(&answered, before);
            before = answered.prompt + answered.output;
            messages.push(json!({"role": "assistant", "content": answered.text}));
            thread::sleep(self.pause);
        }
        let path = format!("/v1/programs/{id}");
        let target = &self.targets[number % self.targets.len()];
        let end = agent.delete(&format!("http://{}{path}", target.addr));
        end.set("authorization", &format!("Bearer {}", target.key))
            .call()
            .map_err(Box::new)?;
        Ok(())
    }
}

/// Creates a program; its id.
fn create(target: &Target, agent: &ureq::Agent) -> Result<String, Fault> {
    let response = target.post(agent, "/v1/programs").send_string("{}");
    let text = response.map_err(Box::new)?.into_string()?;
    let body: Value = serde_json::from_str(&text)?;
    let id = body["id"].as_str().ok_or("the program has no id")?;
    Ok(id.to_owned())
}
