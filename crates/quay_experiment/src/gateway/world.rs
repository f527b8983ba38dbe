//! Events of the simulated world, in order of their time.

use {
    super::{
        engine::{Engine, Job, TokensRead},
        front::{DATA_CENTRES, Front, SERVICE, Turn},
        report::{Counts, WorldReport},
        settings::{Span, WorldSettings},
        workload::{ProgramSpec, SUB_TURNS, TurnSpec, programs},
    },
    indexmap::IndexMap,
    quay_members::{Directory, MembersSettings},
    quay_routes::{PromptPart, UpstreamLoad},
    quay_types::{
        Announcement, Incarnation, Load, ServiceId, Time, UpstreamId, UpstreamKind, UpstreamState,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Interval of a front's regular tasks.
const TICK: Duration = Duration::from_millis(300);

/// Time after which a caller that was refused, or whose turn was lost, comes back; up to
/// twice that.
const RETURN_DELAY: Duration = Duration::from_millis(250);

/// Time from the start of a front in which requests wait for upstreams.
const STARTUP: Duration = Duration::from_secs(2);

/// Interval at which a request looks for an upstream meanwhile.
const STARTUP_POLL: Duration = Duration::from_millis(10);

/// Time from the end of an outage until the control group has a leader.
const ELECTION: Duration = Duration::from_millis(100);

/// Number of times that a caller sends a turn again.
const TURN_RETRIES: u32 = 2;

/// Number of upstreams that a turn is sent to if they are full.
const MAX_FULL: u32 = 3;

#[derive(Debug, Clone, Copy)]
enum Event {
    Begin(usize),
    /// A turn of a line reaches its front, in the given attempt.
    Arrive(usize, u32),
    Decide(usize, u32),
    /// A request reaches its upstream.
    Reach(u64),
    Step(usize),
    Head(u64, UpstreamLoad),
    End(u64),
    GiveUp(usize, u32),
    Heartbeat(usize),
    Tick(usize),
    OutageBegins,
    OutageEnds,
}

/// A sequence of turns: a program's own, or those of a sub-agent.
#[derive(Debug)]
struct Line {
    program: usize,
    turns: Vec<TurnSpec>,
    /// Turn that runs now.
    at: usize,
    prompt: Vec<PromptPart>,
    parent: Option<usize>,
    /// Sub-agents that the line waits for.
    children: u32,
    front: usize,
    /// Incremented with each attempt; events of earlier ones are ignored.
    attempt: u32,
    retries: u32,
    full: u32,
    job: Option<u64>,
    over: bool,
}

/// A request in flight.
#[derive(Debug)]
struct InFlight {
    line: usize,
    attempt: u32,
    upstream: usize,
    sent: Time,
}

struct World<'a> {
    cfg: &'a WorldSettings,
    now: Time,
    sequence: u64,
    events: BTreeMap<(Time, u64), Event>,
    programs: Vec<ProgramSpec>,
    /// Whether each program was refused once.
    refused: Vec<bool>,
    lines: Vec<Line>,
    jobs: IndexMap<u64, InFlight>,
    next_job: u64,
    fronts: Vec<Front>,
    engines: Vec<Engine>,
    directory: Directory,
    up: bool,
    report: WorldReport,
}

/// Runs a world until all programs have ended.
#[must_use]
pub fn simulate(cfg: &WorldSettings) -> WorldReport {
    let mut world = World::new(cfg);
    while let Some(((at, _), event)) = world.events.pop_first() {
        world.now = at;
        world.handle(event);
        if world.report.total.asked as usize == world.programs.len() {
            break;
        }
    }
    world.finish()
}

/// Name of an upstream.
fn name(index: usize) -> Box<str> {
    format!("upstream-{index}").into()
}

impl<'a> World<'a> {
    fn new(cfg: &'a WorldSettings) -> Self {
        let programs = programs(cfg);
        let seconds = usize::try_from(cfg.seconds).unwrap_or_default();
        let mut world = Self {
            now: Time::ZERO,
            sequence: 0,
            events: BTreeMap::new(),
            refused: vec![false; programs.len()],
            lines: Vec::new(),
            jobs: IndexMap::new(),
            next_job: 0,
            fronts: (0..cfg.fronts)
                .map(|index| Front::new(cfg, index, Time::ZERO))
                .collect(),
            engines: (0..cfg.upstreams)
                .map(|_| Engine::new(cfg.engine))
                .collect(),
            directory: Directory::new(Time::ZERO, 1, MembersSettings::default()),
            up: true,
            report: WorldReport {
                by_second: vec![Counts::default(); seconds],
                ..WorldReport::default()
            },
            programs,
            cfg,
        };
        for index in 0..world.programs.len() {
            world.schedule(world.programs[index].begins, Event::Begin(index));
        }
        for index in 0..cfg.upstreams {
            world.announce(index);
            let phase = cfg.heartbeat * index_u32(index) / index_u32(cfg.upstreams.max(1));
            world.schedule(Time::ZERO + phase, Event::Heartbeat(index));
        }
        world.follow_all();
        for index in 0..cfg.fronts {
            world.start_tasks(index);
        }
        let at = |second| Time::ZERO + Duration::from_secs_f64(second);
        if cfg.outage.for_s > 0.0 {
            world.schedule(at(cfg.outage.at_s), Event::OutageBegins);
            world.schedule(at(cfg.outage.end_s()), Event::OutageEnds);
        }
        world
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// Schedules the regular tasks of a front, each with its own phase.
    fn start_tasks(&mut self, front: usize) {
        let phase = TICK * index_u32(front) / index_u32(self.cfg.fronts.max(1));
        self.after(phase, Event::Tick(front));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin(program) => self.begin(program),
            Event::Arrive(line, attempt) => self.arrive(line, attempt),
            Event::Decide(line, attempt) => self.decide(line, attempt),
            Event::Reach(job) => self.reach(job),
            Event::Step(engine) => self.step(engine),
            Event::Head(job, load) => self.head(job, load),
            Event::End(job) => self.end(job),
            Event::GiveUp(line, attempt) => {
                if self.lines[line].attempt == attempt && !self.lines[line].over {
                    self.lose(line);
                }
            }
            Event::Heartbeat(upstream) => {
                self.after(self.cfg.heartbeat, Event::Heartbeat(upstream));
                if self.up {
                    self.announce(upstream);
                    self.follow_all();
                }
            }
            Event::Tick(front) => {
                self.fronts[front].tick(self.now);
                self.after(TICK, Event::Tick(front));
            }
            Event::OutageBegins => {
                self.up = false;
                for line in 0..self.lines.len() {
                    if !self.lines[line].over && self.lines[line].children == 0 {
                        self.lose(line);
                    }
                }
            }
            Event::OutageEnds => {
                self.up = true;
                let ready = self.now + ELECTION;
                self.directory = Directory::new(ready, 2, MembersSettings::default());
                for index in 0..self.fronts.len() {
                    self.fronts[index] = Front::new(self.cfg, index, self.now);
                }
            }
        }
    }

    // -----------------------------------------------------------------------
    // Directory

    fn announce(&mut self, upstream: usize) {
        let name = name(upstream);
        let announcement = Announcement {
            name,
            incarnation: Incarnation(1),
            sequence: self.sequence + 1,
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: DATA_CENTRES[upstream % DATA_CENTRES.len()].into(),
            kind: UpstreamKind::Service {
                service: ServiceId::of(SERVICE),
            },
            state: UpstreamState::Serving,
            load: Load::default(),
        };
        self.sequence += 1;
        self.directory.announce(self.now, announcement);
    }

    fn follow_all(&mut self) {
        for front in &mut self.fronts {
            front.follow(self.now, &mut self.directory);
        }
    }

    fn is_frozen(&self, front: usize) -> bool {
        let second = self.now.since(Time::ZERO).as_secs_f64();
        let frozen = self.cfg.frozen * self.fronts.len() as f64;
        self.cfg.freeze.contains(second) && (front as f64) < frozen
    }

    // -----------------------------------------------------------------------
    // Programs

    fn begin(&mut self, program: usize) {
        let spec = &self.programs[program];
        let shared = PromptPart {
            id: spec.shared.0,
            tokens: spec.shared.1,
        };
        let turns = spec.turns.clone();
        let front = self.draw_front(turns.first().map_or(0, |it| it.draw));
        let own = PromptPart {
            id: line_part(self.lines.len()),
            tokens: 0,
        };
        self.lines.push(Line {
            program,
            turns,
            at: 0,
            prompt: vec![shared, own],
            parent: None,
            children: 0,
            front,
            attempt: 0,
            retries: 0,
            full: 0,
            job: None,
            over: false,
        });
        self.begin_turn(self.lines.len() - 1, Duration::ZERO);
    }

    fn draw_front(&self, draw: u64) -> usize {
        usize::try_from(draw % self.fronts.len().max(1) as u64).unwrap_or_default()
    }

    /// Sends the next turn of a line after `delay`.
    fn begin_turn(&mut self, line: usize, delay: Duration) {
        let it = &self.lines[line];
        let turn = it.turns[it.at];
        let front = if turn.moves {
            self.draw_front(turn.draw)
        } else {
            it.front
        };
        let it = &mut self.lines[line];
        it.front = front;
        it.retries = 0;
        if let Some(own) = it.prompt.last_mut() {
            own.tokens += turn.input;
        }
        self.attempt(line, delay);
    }

    /// Sends the turn of a line, once more after `delay`.
    fn attempt(&mut self, line: usize, delay: Duration) {
        let it = &mut self.lines[line];
        it.attempt += 1;
        it.full = 0;
        let attempt = it.attempt;
        self.after(delay + self.cfg.hop, Event::Arrive(line, attempt));
        let gives_up = delay + self.cfg.load.timeout;
        self.after(gives_up, Event::GiveUp(line, attempt));
    }

    fn arrive(&mut self, line: usize, attempt: u32) {
        if self.lines[line].attempt != attempt {
            return;
        }
        if !self.up {
            // The connection is refused.
            self.return_later(line);
            return;
        }
        let front = self.lines[line].front;
        if self.is_frozen(front) {
            let thaws = Time::ZERO + Duration::from_secs_f64(self.cfg.freeze.end_s());
            self.schedule(thaws, Event::Arrive(line, attempt));
            return;
        }
        let done = self.fronts[front].run(self.now, self.cfg.turn_cpu);
        self.schedule(done, Event::Decide(line, attempt));
    }

    /// Has the caller send a turn that was not run again, while it can still end.
    fn return_later(&mut self, line: usize) {
        let program = self.lines[line].program;
        let draw = self.lines[line].turns[self.lines[line].at].draw;
        let jitter = RETURN_DELAY.mul_f64((draw % 1_000) as f64 / 1e3);
        if self.elapsed(program) > self.programs[program].aim * 2 {
            self.end_program(program, |it| it.failed += 1);
        } else {
            self.attempt(line, RETURN_DELAY + jitter);
        }
    }

    fn elapsed(&self, program: usize) -> Duration {
        self.now.since(self.programs[program].begins)
    }

    fn decide(&mut self, line: usize, attempt: u32) {
        let it = &self.lines[line];
        if it.attempt != attempt || it.over || !self.up {
            return;
        }
        let (program, turn) = (it.program, it.turns[it.at]);
        let (front, begins) = (it.front, it.at == 0 && it.parent.is_none());
        let urgent = self.programs[program].long;
        let draw = self.programs[program].shared.0 ^ turn.draw;
        if begins && self.fronts[front].refuses(self.now, self.cfg, urgent, draw) {
            if self.refused[program] {
                self.end_program(program, |it| it.refused += 1);
            } else {
                self.refused[program] = true;
                self.return_later(line);
            }
            return;
        }
        let it = &self.lines[line];
        let turn_view = Turn {
            program,
            prompt: &it.prompt,
            continues: it.at > 0,
            draw: turn.draw ^ u64::from(attempt),
        };
        let Some(selected) = self.fronts[front].select(self.now, self.cfg, turn_view) else {
            if self.now.since(self.fronts[front].started) < STARTUP {
                self.after(STARTUP_POLL, Event::Decide(line, attempt));
            } else {
                self.return_later(line);
            }
            return;
        };
        let upstream = (0..self.engines.len()).find(|it| UpstreamId::of(&name(*it)) == selected.id);
        self.next_job += 1;
        let job = self.next_job;
        let in_flight = InFlight {
            line,
            attempt,
            upstream: upstream.unwrap_or_default(),
            sent: self.now,
        };
        self.jobs.insert(job, in_flight);
        self.lines[line].job = Some(job);
        self.after(self.cfg.hop, Event::Reach(job));
    }

    // -----------------------------------------------------------------------
    // Upstreams

    fn reach(&mut self, job: u64) {
        let Some(it) = self.jobs.get(&job) else {
            return;
        };
        let (line, upstream, attempt) = (it.line, it.upstream, it.attempt);
        let turn = self.lines[line].turns[self.lines[line].at];
        let request = Job {
            id: job,
            prompt: self.lines[line].prompt.clone(),
            input: turn.input,
            answer: turn.answer,
        };
        if self.engines[upstream].push(request) {
            if !self.engines[upstream].stepping {
                self.begin_step(upstream);
            }
            return;
        }
        // The upstream says that it is full.
        self.forget(job);
        self.lines[line].full += 1;
        if self.lines[line].full < MAX_FULL {
            self.after(self.cfg.hop, Event::Decide(line, attempt));
        } else {
            self.return_later(line);
        }
    }

    fn begin_step(&mut self, upstream: usize) {
        if let Some(duration) = self.engines[upstream].begin_step() {
            self.after(duration, Event::Step(upstream));
        }
    }

    fn step(&mut self, upstream: usize) {
        let result = self.engines[upstream].end_step();
        let (running, queued) = self.engines[upstream].load();
        let load = UpstreamLoad {
            running: index_u32(running),
            queued: index_u32(queued),
            slots: index_u32(self.cfg.engine.slots),
            slowdown: None,
        };
        for job in result.first {
            self.after(self.cfg.hop, Event::Head(job, load));
        }
        for job in result.ended {
            self.after(self.cfg.hop, Event::End(job));
        }
        self.begin_step(upstream);
    }

    fn head(&mut self, job: u64, load: UpstreamLoad) {
        let Some(it) = self.jobs.get(&job) else {
            return;
        };
        let front = self.lines[it.line].front;
        let id = UpstreamId::of(&name(it.upstream));
        let wait = self.now.since(it.sent);
        self.fronts[front].record_head(self.now, self.cfg, (id, load), wait);
    }

    fn end(&mut self, job: u64) {
        let Some(it) = self.jobs.get(&job) else {
            return;
        };
        let (line, sent) = (it.line, it.sent);
        let front = self.lines[line].front;
        let id = UpstreamId::of(&name(it.upstream));
        let turn = self.lines[line].turns[self.lines[line].at];
        let token_time = self.now.since(sent) / turn.answer.max(1);
        self.fronts[front].record_end(self.now, id, Some(token_time));
        self.jobs.swap_remove(&job);
        let it = &mut self.lines[line];
        it.job = None;
        it.attempt += 1;
        if let Some(own) = it.prompt.last_mut() {
            own.tokens += u64::from(turn.answer);
        }
        if turn.fans && it.parent.is_none() {
            self.fan_out(line, turn);
        } else {
            self.continue_line(line, turn.pause);
        }
    }

    /// Removes a request that its front gave up.
    fn forget(&mut self, job: u64) {
        let Some(it) = self.jobs.swap_remove(&job) else {
            return;
        };
        let front = self.lines[it.line].front;
        let id = UpstreamId::of(&name(it.upstream));
        self.fronts[front].record_end(self.now, id, None);
        self.engines[it.upstream].cancel(job);
        self.lines[it.line].job = None;
    }

    /// Handles a turn that its caller lost.
    fn lose(&mut self, line: usize) {
        if let Some(job) = self.lines[line].job {
            self.forget(job);
        }
        self.lines[line].retries += 1;
        if self.lines[line].retries > TURN_RETRIES {
            let program = self.lines[line].program;
            self.end_program(program, |it| it.failed += 1);
        } else {
            self.return_later(line);
        }
    }

    // -----------------------------------------------------------------------
    // Ends

    /// Runs the sub-agents of a line.
    fn fan_out(&mut self, line: usize, turn: TurnSpec) {
        self.lines[line].children = 2;
        for child in 0..2 {
            let it = &self.lines[line];
            let (program, front) = (it.program, it.front);
            let mut prompt = it.prompt.clone();
            prompt.push(PromptPart {
                id: line_part(self.lines.len()),
                tokens: 0,
            });
            let spec = TurnSpec {
                fans: false,
                draw: turn.draw.rotate_left(17 + child),
                ..turn
            };
            self.lines.push(Line {
                program,
                turns: vec![spec; SUB_TURNS],
                at: 0,
                prompt,
                parent: Some(line),
                children: 0,
                front,
                attempt: 0,
                retries: 0,
                full: 0,
                job: None,
                over: false,
            });
            self.begin_turn(self.lines.len() - 1, Duration::ZERO);
        }
    }

    /// Continues a line after one of its turns, or ends it.
    fn continue_line(&mut self, line: usize, pause: Duration) {
        let it = &mut self.lines[line];
        it.at += 1;
        if it.at < it.turns.len() {
            self.begin_turn(line, pause);
            return;
        }
        it.over = true;
        let (program, parent) = (it.program, it.parent);
        let Some(parent) = parent else {
            let (elapsed, aim) = (self.elapsed(program), self.programs[program].aim);
            if elapsed <= aim {
                self.end_program(program, |it| it.in_time += 1);
            } else if elapsed <= aim * 2 {
                self.end_program(program, |it| it.late += 1);
            } else {
                self.end_program(program, |it| it.failed += 1);
            }
            return;
        };
        self.lines[parent].children -= 1;
        if self.lines[parent].children == 0 {
            self.continue_line(parent, pause);
        }
    }

    /// Counts the outcome of a program and ends its lines.
    fn end_program(&mut self, program: usize, count: impl Fn(&mut Counts)) {
        let begins = self.programs[program].begins.since(Time::ZERO).as_secs();
        let second = usize::try_from(begins).unwrap_or_default();
        for counts in [&mut self.report.total, &mut self.report.by_second[second]] {
            counts.asked += 1;
            count(counts);
        }
        for line in 0..self.lines.len() {
            if self.lines[line].program != program {
                continue;
            }
            self.lines[line].over = true;
            self.lines[line].attempt += 1;
            if let Some(job) = self.lines[line].job {
                self.forget(job);
            }
        }
    }

    fn finish(mut self) -> WorldReport {
        let mut tokens = TokensRead::default();
        for engine in &self.engines {
            tokens.shared += engine.tokens.shared;
            tokens.again += engine.tokens.again;
            tokens.new += engine.tokens.new;
        }
        self.report.set_tokens(tokens);
        let arrivals = self.engines.iter().map(|it| it.arrivals);
        let (most, all) = (arrivals.clone().max().unwrap_or(0), arrivals.sum::<u64>());
        self.report.busiest = most as f64 * self.engines.len() as f64 / (all.max(1) as f64);
        let recovery =
            |span: Span| (span.for_s > 0.0).then(|| self.report.recovery_s(span.end_s()));
        let (burst, outage) = (recovery(self.cfg.burst.span), recovery(self.cfg.outage));
        self.report.after_burst_s = burst;
        self.report.after_outage_s = outage;
        self.report
    }
}

/// Identifier of the part of the prompts that belongs to one line.
const fn line_part(line: usize) -> u64 {
    // Shared parts have random identifiers.
    line as u64 + 1
}

fn index_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
