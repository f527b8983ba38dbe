//! Fronts that send requests to engines of known speeds, without a network.

use {
    quay_policy::{ExpectedTime, ResponseTimes, RouteRequest, RouteSettings, Router},
    quay_types::{
        Announcement, CallTarget, Incarnation, Load, ProgramId, ServiceId, Time, Tokens,
        UpstreamId, UpstreamKind, UpstreamState,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

pub const SERVICE: &str = "llm";
const SLOTS: u32 = 12;
/// Time for which a machine keeps its speed.
const PHASE_US: u64 = 600_000;
const SLOW_PERCENT: u64 = 250;
const WARM_UP: Time = Time::from_millis(4_000);

/// Times of an engine of the usual speed, in microseconds.
#[derive(Clone, Copy)]
pub struct EngineTimes {
    pub prefill_ns: u64,
    pub event_us: u64,
    pub per_running_us: u64,
}

/// What the fronts know of the engines' speeds.
#[derive(Clone, Copy, PartialEq)]
pub enum Knowledge {
    Nothing,
    Learned,
    /// Learned from undisturbed responses before the first request.
    Known,
}

/// How the slowdown is reported.
#[derive(Clone, Copy, PartialEq)]
pub enum Figures {
    Absent,
    /// With the response of a request, like the load.
    InResponses,
    /// Of all engines for each request, with this age in milliseconds.
    Aged(u64),
}

#[derive(Clone)]
pub struct Fleet {
    pub cfg: RouteSettings,
    pub times: EngineTimes,
    /// Time of work by engine, in percent of the usual.
    pub paces: Vec<u64>,
    /// Share of the phases in which an engine is slow, in percent.
    pub slow_phases: u64,
    /// Engines with a lower number are in another data centre.
    pub remote: usize,
    pub fronts: usize,
    pub per_second: u64,
    pub seconds: u64,
    pub knowledge: Knowledge,
    pub figures: Figures,
    /// Share of the reports that are lost, in percent.
    pub lost: u64,
}

struct Job {
    front: usize,
    sent: u64,
    tokens: u64,
    events: u64,
    /// Requests running and waiting when the request began to run.
    load: (u32, u32),
}

#[derive(Default)]
struct Engine {
    running: u32,
    waiting: VecDeque<Job>,
}

enum Event {
    Arrival,
    First(usize, usize),
    End(usize, Job, u64),
    Tick,
}

/// Result of a run.
pub struct Outcome {
    /// Times of the responses after the warm-up, in ascending order.
    pub times: Vec<Duration>,
    pub remote_percent: usize,
    pub fronts: Vec<Router<ExpectedTime>>,
}

impl Outcome {
    pub fn mean_ms(&self) -> u128 {
        mean_ms(&self.times)
    }

    /// Mean time of the slowest tenth.
    pub fn slowest_ms(&self) -> u128 {
        mean_ms(&self.times[self.times.len() * 9 / 10..])
    }
}

fn mean_ms(times: &[Duration]) -> u128 {
    times.iter().sum::<Duration>().as_millis() / times.len() as u128
}

struct Run<'a> {
    fleet: &'a Fleet,
    fronts: Vec<Router<ExpectedTime>>,
    /// Time of the last load report by front and engine.
    reported: Vec<Vec<Option<u64>>>,
    in_flight: Vec<Vec<u32>>,
    engines: Vec<Engine>,
    events: BTreeMap<(u64, u64), Event>,
    draws: u64,
    times: Vec<Duration>,
    remote: usize,
}

impl Fleet {
    pub fn run(&self) -> Outcome {
        let mut run = Run {
            fleet: self,
            fronts: (0..self.fronts).map(|_| self.front()).collect(),
            reported: vec![vec![None; self.paces.len()]; self.fronts],
            in_flight: vec![vec![0; self.paces.len()]; self.fronts],
            engines: self.paces.iter().map(|_| Engine::default()).collect(),
            events: BTreeMap::new(),
            draws: 1,
            times: Vec::new(),
            remote: 0,
        };
        run.push(0, Event::Arrival);
        run.push(0, Event::Tick);
        while let Some(((now, _), event)) = run.events.pop_first() {
            run.handle(now, event);
        }
        run.times.sort_unstable();
        Outcome {
            remote_percent: run.remote * 100 / run.times.len(),
            times: run.times,
            fronts: run.fronts,
        }
    }

    fn front(&self) -> Router<ExpectedTime> {
        let mut front = Router::new(self.cfg, "a");
        for at in 0..self.paces.len() {
            front.apply_announcement(Time::ZERO, &self.announcement(at, Load::default()));
            front.expire_load(Time::ZERO, Self::id(at), 0);
        }
        if self.knowledge == Knowledge::Known {
            for number in 0..20_000_u64 {
                self.teach(&mut front, number);
            }
            for at in 0..self.paces.len() {
                front.expire_load(Time::ZERO, Self::id(at), 0);
            }
        }
        front
    }

    /// Passes the times of a response that nothing disturbed.
    fn teach(&self, front: &mut Router<ExpectedTime>, number: u64) {
        let at = usize::try_from(number).unwrap_or_default() % self.paces.len();
        let (others, tokens) = (number / 7 % 12, 300 + number * 37 % 3_000);
        let running = u32::try_from(others).unwrap_or_default() + 1;
        let load = Load {
            running,
            ..Load::default()
        };
        front.apply_announcement(Time::ZERO, &self.announcement(at, load));
        let event = self.times.event_us + others * self.times.per_running_us;
        let first = event + tokens * self.times.prefill_ns / 1_000;
        let slow = 100 + self.slow_phases * (SLOW_PERCENT - 100) / 100;
        let paced = |us: u64| Duration::from_micros(us * self.paces[at] / 100 * slow / 100);
        let times = ResponseTimes {
            uncached_tokens: tokens,
            first: paced(first),
            rest: paced(event * 7),
            events: 8,
            holds_beginning: false,
            load: None,
        };
        front.record_response(Time::ZERO, Self::id(at), &times);
    }

    pub fn id(at: usize) -> UpstreamId {
        UpstreamId::of(&format!("engine-{at}"))
    }

    fn announcement(&self, at: usize, load: Load) -> Announcement {
        Announcement {
            name: format!("engine-{at}").into(),
            incarnation: Incarnation(1),
            sequence: 0,
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: if at < self.remote { "b" } else { "a" }.into(),
            kind: UpstreamKind::Service {
                service: ServiceId::of(SERVICE),
            },
            state: UpstreamState::Serving,
            load,
        }
    }

    /// Slowdown of an engine in percent, and the end of the phase.
    fn slowdown(&self, at: usize, now: u64) -> (u64, u64) {
        let offset = mix(at as u64) % PHASE_US;
        let phase = (now + offset) / PHASE_US;
        let slow = mix(phase << 16 | at as u64) % 100 < self.slow_phases;
        let percent = if slow { SLOW_PERCENT } else { 100 };
        (percent, (phase + 1) * PHASE_US - offset)
    }

    /// Time at which `work` is done that an engine begins at `now`.
    fn done(&self, at: usize, mut now: u64, work: u64) -> u64 {
        let mut left = work * self.paces[at] / 100;
        loop {
            let (percent, until) = self.slowdown(at, now);
            let possible = (until - now) * 100 / percent;
            if left <= possible {
                return now + left * percent / 100;
            }
            left -= possible;
            now = until;
        }
    }
}

impl Run<'_> {
    fn push(&mut self, at: u64, event: Event) {
        self.draws += 1;
        self.events.insert((at, self.draws), event);
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        mix(self.draws)
    }

    fn handle(&mut self, now: u64, event: Event) {
        let time = Time::ZERO + Duration::from_micros(now);
        match event {
            Event::Arrival => {
                self.send(now, time);
                let gap = 2_000_000 / self.fleet.per_second;
                let next = now + self.draw() % gap;
                if next < self.fleet.seconds * 1_000_000 {
                    self.push(next, Event::Arrival);
                }
            }
            Event::First(front, at) => self.report(now, time, front, at),
            Event::End(at, job, first) => self.end(now, time, at, &job, first),
            Event::Tick => {
                for front in 0..self.fronts.len() {
                    self.expire(now, time, front);
                }
                if now < self.fleet.seconds * 1_000_000 {
                    self.push(now + 300_000, Event::Tick);
                }
            }
        }
    }

    /// Discards load reports older than 1 s, as a front does.
    fn expire(&mut self, now: u64, time: Time, front: usize) {
        for at in 0..self.engines.len() {
            if self.reported[front][at].is_some_and(|reported| now - reported > 1_000_000) {
                self.reported[front][at] = None;
                let in_flight = self.in_flight[front][at];
                self.fronts[front].expire_load(time, Fleet::id(at), in_flight);
            }
        }
    }

    fn send(&mut self, now: u64, time: Time) {
        let front = usize::try_from(self.draw()).unwrap_or_default() % self.fronts.len();
        let tokens = match self.draw() % 8 {
            0 => 12_000,
            _ => 400 + self.draw() % 1_600,
        };
        let (events, draw) = (4 + self.draw() % 9, self.draw());
        if let Figures::Aged(age) = self.fleet.figures {
            let at = now.saturating_sub(age * 1_000);
            for engine in 0..self.engines.len() {
                let (percent, _) = self.fleet.slowdown(engine, at);
                let percent = u32::try_from(percent).ok();
                let made = Time::ZERO + Duration::from_micros(at);
                self.fronts[front].record_report(made, Fleet::id(engine), SLOTS, percent);
            }
        }
        let req = RouteRequest {
            target: CallTarget::Service(ServiceId::of(SERVICE)),
            program: ProgramId::root(draw),
            has_history: false,
            conversations: &[],
            prompt: Tokens(tokens),
            blocks: &[],
            tried: &[],
        };
        let choice = self.fronts[front]
            .pick(time, &req, draw)
            .expect("an engine");
        let at = (0..self.engines.len()).find(|at| Fleet::id(*at) == choice.upstream);
        let at = at.expect("a known engine");
        self.in_flight[front][at] += 1;
        let job = Job {
            front,
            sent: now,
            tokens,
            events,
            load: (0, 0),
        };
        self.engines[at].waiting.push_back(job);
        self.start(now, at);
    }

    fn start(&mut self, now: u64, at: usize) {
        if self.engines[at].running == SLOTS {
            return;
        }
        let Some(mut job) = self.engines[at].waiting.pop_front() else {
            return;
        };
        let times = &self.fleet.times;
        let event = times.event_us + u64::from(self.engines[at].running) * times.per_running_us;
        let first = self
            .fleet
            .done(at, now, job.tokens * times.prefill_ns / 1_000 + event);
        let end = self.fleet.done(at, first, event * (job.events - 1));
        self.engines[at].running += 1;
        let waiting = u32::try_from(self.engines[at].waiting.len()).unwrap_or(u32::MAX);
        job.load = (self.engines[at].running, waiting);
        self.push(first, Event::First(job.front, at));
        self.push(end, Event::End(at, job, first));
    }

    fn report(&mut self, now: u64, time: Time, front: usize, at: usize) {
        if self.draw() % 100 < self.fleet.lost {
            return;
        }
        let load = Load {
            running: self.engines[at].running,
            queued: u32::try_from(self.engines[at].waiting.len()).unwrap_or(u32::MAX),
            ..Load::default()
        };
        let announcement = self.fleet.announcement(at, load);
        self.fronts[front].apply_announcement(time, &announcement);
        self.reported[front][at] = Some(now);
        let (percent, _) = self.fleet.slowdown(at, now);
        let slowdown = match self.fleet.figures {
            Figures::InResponses => u32::try_from(percent).ok(),
            Figures::Absent => None,
            Figures::Aged(_) => return,
        };
        self.fronts[front].record_report(time, Fleet::id(at), SLOTS, slowdown);
    }

    fn end(&mut self, now: u64, time: Time, at: usize, job: &Job, first: u64) {
        self.engines[at].running -= 1;
        self.start(now, at);
        self.in_flight[job.front][at] -= 1;
        let (id, front) = (Fleet::id(at), &mut self.fronts[job.front]);
        if self.fleet.knowledge == Knowledge::Learned {
            let times = ResponseTimes {
                uncached_tokens: job.tokens,
                first: Duration::from_micros(first - job.sent),
                rest: Duration::from_micros(now - first),
                events: u32::try_from(job.events).unwrap_or_default(),
                holds_beginning: false,
                load: Some(job.load),
            };
            front.record_response(time, id, &times);
        }
        front.record_end(time, id);
        if time > WARM_UP {
            self.times.push(Duration::from_micros(now - job.sent));
            self.remote += usize::from(at < self.fleet.remote);
        }
    }
}

/// Finaliser of the splitmix64 generator.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
