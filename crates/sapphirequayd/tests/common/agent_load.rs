//! Plays the load of agent programs through the decisions of several fronts,
//! before engine models, without a network.

use {
    quay_members::{Directory, MembersSettings},
    quay_policy::{NewProgram, ResponseTimes},
    quay_routes::{BLOCK_TOKENS, CallHead, PromptPart, TurnHead, UpstreamLoad, block_hashes},
    quay_standin::model::{EngineModel, Job, JobEvent, JobId, ModelSettings},
    quay_types::{
        Announcement, Incarnation, Load, ServiceId, Time, UpstreamId, UpstreamKind, UpstreamState,
    },
    sapphirequayd::{Pool, Upstreams},
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

const SERVICE: &str = "llm";

const POOL: Pool<'_> = Pool {
    sticky: true,
    ..Pool::of(SERVICE)
};
/// Tokens of the prompt part that many programs share.
const SHARED_TOKENS: u64 = 12_600;
/// Number of different shared parts.
const SHARED_PARTS: u64 = 6;
const STEP: Duration = Duration::from_micros(758);
const STEP_PER_JOB: Duration = Duration::from_micros(30);
const PREFILL_PER_TOKEN: Duration = Duration::from_nanos(2_700);
/// Output tokens of one event.
const EVENT_TOKENS: u32 = 46;
/// A program is in time within this percentage of its time on an idle engine,
/// plus [`OBJECTIVE`].
const TIME_PERCENT: u32 = 150;
const OBJECTIVE: Duration = Duration::from_millis(200);
/// One of this many turns comes through another front than the one before.
const MOVING_TURNS: u64 = 3;
/// Streams with fewer events are not timed.
const MIN_TIMED_EVENTS: u32 = 4;
const TICK_MS: u64 = 300;

/// A load to play.
pub struct AgentLoad {
    pub fronts: usize,
    pub upstreams: usize,
    /// Programs begun per second outside the burst.
    pub programs_per_second: u64,
    pub seconds: u64,
    /// Seconds in which the burst begins and ends.
    pub burst: (u64, u64),
    /// Rate of the burst in per cent of the normal rate.
    pub burst_percent: u64,
    /// Time of work by engine in percent of the usual, repeated over the engines.
    pub paces: &'static [u32],
    pub seed: u64,
    /// Slots of an engine.
    pub slots: u32,
    /// Number of times that a caller repeats a refused request.
    pub repeats: u32,
    /// Time that a front needs to read and relay a turn; a quarter of it if it refuses.
    pub front_time: Duration,
}

impl AgentLoad {
    /// A load without repeats, before fronts of unbounded speed.
    pub const PLAIN: Self = Self {
        fronts: 1,
        upstreams: 1,
        programs_per_second: 1,
        seconds: 1,
        burst: (0, 0),
        burst_percent: 100,
        seed: 1,
        slots: 8,
        repeats: 0,
        front_time: Duration::ZERO,
        paces: &[100],
    };
}

/// What the caller of one program got.
pub struct ProgramResult {
    pub begun: Time,
    pub in_time: bool,
}

struct Turn {
    input: u64,
    output: u32,
    pause: Duration,
}

struct Program {
    begun: Time,
    deadline: Time,
    turns: Vec<Turn>,
    next: usize,
    shared: u64,
    session_tokens: u64,
    front: usize,
    attempts: u32,
}

struct InFlight {
    program: usize,
    front: usize,
    upstream: usize,
    sent: Time,
    uncached_tokens: u64,
    holds_beginning: bool,
    /// Time until the first event.
    first: Duration,
    load: Option<(u32, u32)>,
}

struct Run<'a> {
    load: &'a AgentLoad,
    draws: u64,
    /// State of the generator of arrivals, if callers repeat: decisions of the
    /// fronts do not change the load then.
    arrival_draws: u64,
    fronts: Vec<Upstreams>,
    engines: Vec<EngineModel>,
    names: Vec<UpstreamId>,
    programs: Vec<Program>,
    /// Programs whose next turn is due, by time and number of the program.
    due: BTreeSet<(Time, usize)>,
    /// Requests that each front has not read yet, and when it reads the next.
    unread: Vec<(VecDeque<(Time, usize)>, Time)>,
    in_flight: HashMap<JobId, InFlight>,
    next_job: u64,
    results: Vec<ProgramResult>,
}

impl AgentLoad {
    /// Plays the load until all programs have ended. Returns the results in the
    /// order in which the programs ended.
    pub fn play(&self) -> Vec<ProgramResult> {
        let mut run = Run::new(self);
        let mut now_ms = 0;
        while now_ms < self.seconds * 1_000 || run.results.len() < run.programs.len() {
            run.step(now_ms);
            now_ms += 1;
        }
        run.results
    }
}

/// Share in per cent of the programs begun in these seconds that were in time.
pub fn percent_in_time(results: &[ProgramResult], seconds: std::ops::Range<u64>) -> usize {
    let begun = results
        .iter()
        .filter(|it| seconds.contains(&(it.begun.as_millis() / 1_000)));
    let in_time: Vec<bool> = begun.map(|it| it.in_time).collect();
    in_time.iter().filter(|it| **it).count() * 100 / in_time.len().max(1)
}

impl<'a> Run<'a> {
    fn new(load: &'a AgentLoad) -> Self {
        let settings = ModelSettings {
            kv_blocks: 2_945,
            max_batch: load.slots,
            step_base: STEP,
            step_per_job: STEP_PER_JOB,
            step_per_block: Duration::ZERO,
            prefill_per_token: PREFILL_PER_TOKEN,
            prefill_chunk: 4_096,
            load_interval: Duration::from_millis(1),
            load_lag: Duration::ZERO,
            ..ModelSettings::default()
        };
        let mut directory = Directory::new(Time::ZERO, 1, MembersSettings::default());
        let mut names = Vec::new();
        for number in 0..load.upstreams {
            let announcement = announcement(number);
            names.push(announcement.upstream());
            directory.announce(Time::ZERO, announcement);
        }
        let fronts = (0..load.fronts).map(|reader| {
            let mut front = Upstreams::new("a");
            let changes = directory.changes(Time::ZERO, &front.next_request(reader as u64));
            front.apply_changes(Time::ZERO, changes);
            front
        });
        let paces = load.paces.iter().cycle();
        let engines = names.iter().zip(paces).map(|(_, pace)| {
            let mut engine = EngineModel::new(settings);
            engine.set_slowdown(*pace);
            engine
        });
        Self {
            load,
            draws: load.seed,
            arrival_draws: load.seed ^ 0x5eed,
            fronts: fronts.collect(),
            engines: engines.collect(),
            names,
            programs: Vec::new(),
            due: BTreeSet::new(),
            unread: vec![(VecDeque::new(), Time::ZERO); load.fronts],
            in_flight: HashMap::new(),
            next_job: 0,
            results: Vec::new(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = Time::from_millis(now_ms);
        if now_ms < self.load.seconds * 1_000 {
            let separate = self.load.repeats > 0;
            if separate {
                std::mem::swap(&mut self.draws, &mut self.arrival_draws);
            }
            let (from, until) = self.load.burst;
            let burst = (from * 1_000..until * 1_000).contains(&now_ms);
            let percent = if burst { self.load.burst_percent } else { 100 };
            if self.draw() % 100_000 < self.load.programs_per_second * percent {
                self.begin_program(now);
            }
            if separate {
                std::mem::swap(&mut self.draws, &mut self.arrival_draws);
            }
        }
        for at in 0..self.engines.len() {
            self.engines[at].advance(now);
            for event in self.engines[at].take_events() {
                self.handle(now, at, event);
            }
        }
        while let Some((at, program)) = self.due.first().copied() {
            if at > now {
                break;
            }
            self.due.pop_first();
            if self.draw().is_multiple_of(MOVING_TURNS) {
                self.programs[program].front = self.draw_index(self.load.fronts);
            }
            let front = self.programs[program].front;
            self.unread[front].0.push_back((now, program));
        }
        for front in 0..self.unread.len() {
            while self.unread[front].1 <= now
                && let Some((arrived, program)) = self.unread[front].0.pop_front()
            {
                let sent = self.send_turn(now, program);
                let time = self.load.front_time / if sent { 1 } else { 4 };
                let (_, free) = &mut self.unread[front];
                *free = (*free).max(arrived) + time;
            }
        }
        if now_ms.is_multiple_of(TICK_MS) {
            for (front, (unread, free)) in self.fronts.iter_mut().zip(&self.unread) {
                let waiting = u32::try_from(unread.len()).unwrap_or(u32::MAX);
                let delay = free.since(now) + self.load.front_time * waiting;
                front.record_host_delay(now, delay);
                front.tick(now);
            }
        }
    }

    fn begin_program(&mut self, now: Time) {
        let turns: Vec<Turn> = (0..2 + self.draw() % 7)
            .map(|_| Turn {
                input: 400 + self.draw() % 1_600,
                output: self.output_tokens(),
                pause: Duration::from_millis(60 + self.draw() % 90),
            })
            .collect();
        let idle: Duration = turns.iter().map(idle_time).sum();
        let program = Program {
            begun: now,
            deadline: now + idle * TIME_PERCENT / 100 + OBJECTIVE,
            turns,
            next: 0,
            shared: self.draw() % SHARED_PARTS,
            session_tokens: 0,
            front: self.draw_index(self.load.fronts),
            attempts: 0,
        };
        self.programs.push(program);
        self.due.insert((now, self.programs.len() - 1));
    }

    /// Most outputs are short, some are up to 12 events long.
    fn output_tokens(&mut self) -> u32 {
        let events = 1 + (self.draw() % 12).min(self.draw() % 12);
        u32::try_from(events).unwrap_or_default() * EVENT_TOKENS
    }

    /// Sends the next turn of a program to an upstream; `false` if the front refuses it.
    fn send_turn(&mut self, now: Time, number: usize) -> bool {
        let draw = self.draw();
        let program = &mut self.programs[number];
        let new = NewProgram {
            objective: OBJECTIVE,
            most_urgent: false,
            draw: if self.load.repeats > 0 {
                // The same for all attempts of a program.
                UpstreamId::of(&format!("program-{number}")).0
            } else {
                draw
            },
        };
        let front = &mut self.fronts[program.front];
        if program.next == 0 && front.refuse_program(now, SERVICE, &new).is_some() {
            program.attempts += 1;
            let delay = Duration::from_millis(250 + draw % 251);
            if program.attempts <= self.load.repeats && delay <= program.deadline.since(now) / 3 {
                self.due.insert((now + delay, number));
                return false;
            }
            self.results.push(ProgramResult {
                begun: program.begun,
                in_time: false,
            });
            return false;
        }
        let turn = &program.turns[program.next];
        program.session_tokens += turn.input;
        let id = self.next_job;
        self.next_job += 1;
        let session = u64::try_from(number).unwrap_or_default() + SHARED_PARTS;
        let head = CallHead {
            id: format!("call-{id}").into(),
            program: Some(format!("program-{number}").into()),
            turn: Some(TurnHead {
                prior: (program.next > 0).then(|| "prior".into()),
                ..TurnHead::default()
            }),
            prompt: vec![
                part(program.shared, SHARED_TOKENS),
                part(session, program.session_tokens),
            ],
            ..CallHead::default()
        };
        let chosen = front.select(now, &POOL, &head, &[], draw);
        let chosen = chosen.expect("an upstream");
        let upstream = self.names.iter().position(|name| *name == chosen.id);
        let upstream = upstream.expect("a known upstream");
        let job = Job {
            id: JobId(id),
            blocks: block_hashes(&head.prompt).into(),
            shared: u32::try_from(SHARED_TOKENS / BLOCK_TOKENS).unwrap_or_default(),
            prompt: u32::try_from(SHARED_TOKENS + program.session_tokens).unwrap_or_default(),
            output: turn.output,
            poison: false,
        };
        let in_flight = InFlight {
            program: number,
            front: program.front,
            upstream,
            sent: now,
            uncached_tokens: chosen.uncached_tokens,
            holds_beginning: chosen.holds_beginning,
            first: Duration::ZERO,
            load: None,
        };
        self.in_flight.insert(job.id, in_flight);
        assert!(self.engines[upstream].submit(now, job));
        true
    }

    fn handle(&mut self, now: Time, engine: usize, event: JobEvent) {
        match event {
            JobEvent::Token { job, index: 0, .. } => {
                let in_flight = self.in_flight.get_mut(&job).expect("in flight");
                let Some(load) = self.engines[engine].load(now) else {
                    return;
                };
                in_flight.load = Some((load.running, load.waiting));
                let front = &mut self.fronts[in_flight.front];
                let wait = now.since(in_flight.sent);
                front.record_wait(now, SERVICE, wait, OBJECTIVE);
                let reported = UpstreamLoad {
                    running: load.running,
                    queued: load.waiting,
                    slots: self.load.slots,
                    slowdown: None,
                };
                front.apply_load_report(now, self.names[engine], reported);
            }
            JobEvent::Token { job, index, .. } if index + 1 == EVENT_TOKENS => {
                let in_flight = self.in_flight.get_mut(&job).expect("in flight");
                in_flight.first = now.since(in_flight.sent);
            }
            JobEvent::Done { job, .. } => self.end_turn(now, job),
            _ => {}
        }
    }

    fn end_turn(&mut self, now: Time, job: JobId) {
        let Some(in_flight) = self.in_flight.remove(&job) else {
            return;
        };
        let program = &mut self.programs[in_flight.program];
        let turn = &program.turns[program.next];
        let front = &mut self.fronts[in_flight.front];
        let id = self.names[in_flight.upstream];
        let events = turn.output / EVENT_TOKENS;
        let took = now.since(in_flight.sent);
        if events >= MIN_TIMED_EVENTS {
            front.record_success(now, id, took / events);
            let times = ResponseTimes {
                uncached_tokens: in_flight.uncached_tokens,
                holds_beginning: in_flight.holds_beginning,
                first: in_flight.first,
                rest: took.saturating_sub(in_flight.first),
                events,
                load: in_flight.load,
            };
            front.record_response(now, id, &times);
        }
        front.record_end(now, id);
        program.session_tokens += u64::from(turn.output);
        program.next += 1;
        if program.next < program.turns.len() {
            self.due.insert((now + turn.pause, in_flight.program));
        } else {
            self.results.push(ProgramResult {
                begun: program.begun,
                in_time: now <= program.deadline,
            });
        }
    }

    /// Next number of a splitmix64 generator.
    fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.draws ^ (self.draws >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    fn draw_index(&mut self, len: usize) -> usize {
        usize::try_from(self.draw()).unwrap_or_default() % len
    }
}

const fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

/// Time of a turn, with its pause, on an idle engine that holds the shared part.
fn idle_time(turn: &Turn) -> Duration {
    let input = u32::try_from(turn.input).unwrap_or_default();
    (STEP + STEP_PER_JOB) * turn.output + PREFILL_PER_TOKEN * input + turn.pause
}

fn announcement(number: usize) -> Announcement {
    Announcement {
        name: format!("upstream-{number}").into(),
        incarnation: Incarnation(1),
        sequence: 1,
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        kind: UpstreamKind::Service {
            service: ServiceId::of(SERVICE),
        },
        state: UpstreamState::Serving,
        load: Load::default(),
    }
}
