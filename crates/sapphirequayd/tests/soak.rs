//! Seeded soak of a gateway: signals, restarts and changes of the configuration come in
//! series and overlap, while clients use their connections until the process is gone.
//!
//! By hand: `SOAK_SEEDS=1..50 SOAK_FRONTS=8 SOAK_LOGS=DIR cargo test -p sapphirequayd --test soak -- --nocapture`

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;
#[path = "common/scripted_upstream.rs"]
mod scripted_upstream;
#[path = "common/soak_traffic.rs"]
mod soak_traffic;

use {
    gateway::{Gateway, Role, header},
    ports::free_port,
    rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _},
    soak_traffic::{Attempt, Client, End, KINDS, Operators, Run, Runs, Script},
    std::{
        env,
        fmt::Write as _,
        fs,
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Seeds that CI plays.
const SEEDS: [u64; 2] = [1, 2];

/// Time for which signals are sent.
const PLAY_TIME: Duration = Duration::from_secs(10);

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Time after a SIGKILL, SIGSTOP or SIGCONT in which a connection may end in any way.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time within which a request that is not passed on may be crossed by a close.
const CROSSING_TIME: Duration = Duration::from_secs(1);

/// Longest time after SIGTERM in which a front serves connections as before.
const LINGER: Duration = Duration::from_millis(2_500);

/// Part of the grace period before its end in which the upstream of a request that is cut
/// was at work: a front keeps half of it for its last answers.
const LAST_WORK: Duration = Duration::from_millis(1_300);

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 5] = [402, 408, 421, 429, 503];

const CLIENTS: u64 = 60;

fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// What happened to a process, and between which times: the name of a signal, `start` or
/// `end`.
type Event = (Instant, Instant, Role, &'static str);

fn is_unplanned(event: &str) -> bool {
    matches!(event, "KILL" | "STOP" | "CONT")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    Stopping,
    /// Stands still until then; whether it was told to stop meanwhile.
    Paused(Instant, bool),
    DownUntil(Instant),
}

struct Soak {
    seed: u64,
    gateway: Gateway,
    rng: StdRng,
    processes: Vec<(Role, State)>,
    events: Vec<Event>,
    runs: Runs,
    operators: Arc<Operators>,
    grace: Duration,
    began: Instant,
}

// ---------------------------------------------------------------------------
// Signals

impl Soak {
    fn start(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gateway = Gateway::prepare(3, "");
        let fronts = env::var("SOAK_FRONTS").map_or(3, |it| it.parse().expect("a number"));
        while gateway.fronts.len() < fronts {
            gateway.fronts.push(free_port());
            gateway.front_links.push(free_port());
        }
        let grace = rng.random_range(3..6);
        gateway.process_settings = format!("grace_s = {grace}");
        gateway.run_all();
        let runs = Runs::default();
        let running = gateway.running().into_iter();
        Self {
            seed,
            rng,
            processes: running.map(|role| (role, State::Up)).collect(),
            events: Vec::new(),
            operators: Operators::start(seed, &gateway.controls, &runs),
            gateway,
            runs,
            grace: Duration::from_secs(grace),
            began: Instant::now(),
        }
    }

    fn signal(&mut self, role: Role, name: &'static str) {
        let from = Instant::now();
        match name {
            "KILL" | "end" => self.gateway.kill(role),
            "start" => self.gateway.run(role, false),
            _ => self.gateway.signal(role, name),
        }
        self.events.push((from, Instant::now(), role, name));
    }

    fn soon(&mut self, millis: u64) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(0..=millis))
    }

    /// Restarts what has ended, and continues what stood still long enough.
    fn tick(&mut self) {
        let now = Instant::now();
        for slot in 0..self.processes.len() {
            let (role, state) = self.processes[slot];
            let next = match state {
                State::Up => {
                    assert!(self.gateway.is_running(role), "{role:?} ended by itself");
                    state
                }
                State::Stopping if !self.gateway.is_running(role) => {
                    self.signal(role, "end");
                    let late = self.rng.random_bool(0.3);
                    State::DownUntil(self.soon(if late { 2_500 } else { 0 }))
                }
                State::Paused(until, stops) if until <= now => {
                    self.signal(role, "CONT");
                    if stops { State::Stopping } else { State::Up }
                }
                State::DownUntil(until) if until <= now => {
                    self.signal(role, "start");
                    State::Up
                }
                _ => state,
            };
            self.processes[slot].1 = next;
        }
    }

    fn tick_until(&mut self, until: Instant) {
        while Instant::now() < until {
            self.tick();
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends one signal to some processes, of one role or of all, with gaps.
    fn disturb(&mut self) {
        let kinds = [
            "TERM", "TERM", "TERM", "TERM", "TERM", "HUP", "KILL", "STOP",
        ];
        let kind = *kinds.choose(&mut self.rng).expect("kinds");
        let part = self.rng.random_range(0..5);
        let fits = |(role, _): &(Role, State)| match role {
            Role::Control(_) => [1, 4].contains(&part),
            Role::Store(_) => [2, 4].contains(&part),
            Role::Front(_) => [0, 3, 4].contains(&part),
        };
        let slots = 0..self.processes.len();
        let slots: Vec<usize> = slots.filter(|it| fits(&self.processes[*it])).collect();
        let planned = matches!(kind, "TERM" | "HUP");
        let most = if planned {
            self.rng.random_range(1..=slots.len())
        } else {
            1
        };
        let gap = [0, 50, 400, 1_000][self.rng.random_range(0..4)];
        for slot in slots.sample(&mut self.rng, most).copied() {
            // What ended since then can't be signalled.
            self.tick();
            let (role, state) = self.processes[slot];
            let next = match (kind, state) {
                (_, State::DownUntil(_)) | ("KILL" | "STOP", State::Stopping) => continue,
                ("KILL", _) => State::DownUntil(self.soon(1_500)),
                ("STOP", State::Up) => State::Paused(self.soon(1_800), false),
                ("STOP", _) => continue,
                ("TERM", State::Paused(until, _)) => State::Paused(until, true),
                ("TERM", _) => State::Stopping,
                _ => state,
            };
            self.signal(role, kind);
            self.processes[slot].1 = next;
            let next = self.soon(gap);
            self.tick_until(next);
        }
    }

    /// Waits until each front serves each route and each control host reads a new
    /// configuration back. Returns the requests.
    fn wait_for_service(&mut self) -> Vec<Attempt> {
        let operators = Arc::clone(&self.operators);
        let version = operators.next_version();
        let mut attempts = Vec::new();
        wait_until("the configuration is acknowledged", || {
            self.tick();
            operators.put(operators.controls[0], version)
        });
        for control in &operators.controls {
            wait_until("the configuration is read back", || {
                self.tick();
                operators.get(*control).is_some_and(|it| it >= version)
            });
        }
        for front in 0..self.gateway.fronts.len() {
            let name = format!("check{version}f{front}");
            let mut client = Client::new(name, 0, self.gateway.fronts.clone());
            client.varies = false;
            for kind in KINDS {
                wait_until(&format!("front {front} serves {kind}"), || {
                    self.tick();
                    let got = client.call(front, Script::new(kind, 2, 5));
                    attempts.extend(got);
                    attempts
                        .last()
                        .is_some_and(|it| it.script.kind == kind && it.is_served())
                });
            }
        }
        attempts
    }

    /// Plays the seed. Returns what was broken.
    fn play(mut self) -> Vec<String> {
        let mut attempts = self.wait_for_service();
        let clients = (0..CLIENTS).map(|number| {
            let (name, seed) = (format!("s{}c{number}", self.seed), self.seed << 8 | number);
            let client = Client::new(name, seed, self.gateway.fronts.clone());
            let operators = Arc::clone(&self.operators);
            thread::spawn(move || client.play(&operators.stop))
        });
        let clients: Vec<_> = clients.collect();
        let played = Instant::now();
        while played.elapsed() < PLAY_TIME {
            self.disturb();
            let next = self.soon(800);
            self.tick_until(next);
        }
        wait_until("all processes run", || {
            self.tick();
            self.processes.iter().all(|(_, state)| *state == State::Up)
        });
        self.operators.stop.store(true, Ordering::SeqCst);
        for client in clients {
            attempts.extend(client.join().expect("client"));
        }
        attempts.extend(self.wait_for_service());
        self.operators.end.store(true, Ordering::SeqCst);
        self.report(&attempts)
    }
}

// ---------------------------------------------------------------------------
// Invariants

impl Soak {
    fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("lock");
        runs.get(id).cloned().unwrap_or_default()
    }

    /// Says what is wrong with a request, if anything.
    fn judge(&self, it: &Attempt) -> Result<(), &'static str> {
        let runs = self.runs_of(&it.id);
        let once = !it.script.repeatable();
        if once && runs.len() > 1 {
            return Err("ran more than once");
        }
        if runs.iter().any(|run| run.body != it.sees) {
            return Err("ran with another body");
        }
        let Some(got) = it.response() else {
            return self.judge_cut(it, &runs);
        };
        if once && NOT_RUN.contains(&got.status) && !runs.is_empty() {
            return Err("was refused and has run");
        }
        let field = |name: &str| header(&got.head, name).unwrap_or_default().to_owned();
        let seal = field("x-sapphirequay-response-seal");
        let due = [200, 408, 429, 502, 503, 504].contains(&got.status);
        let whole = it.script.body(it.from);
        match (got.status, got.complete) {
            _ if !due => Err("a refusal or failure that was never due"),
            (200, _) if field("x-sapphirequay-request-id") != it.id => Err("another's answer"),
            (200, _) if seal != format!("of-{}", it.id) => Err("another seal"),
            (200, true) if got.body == whole => Ok(()),
            // A client of HTTP/1.0 can't tell the end of a process from that of a stream.
            (200, true) if it.end == End::Closed && self.is_disturbed(it) => Ok(()),
            (200, true) => Err("looks complete and is not"),
            (200, false) if !whole.starts_with(&got.body) => Err("other pieces than due"),
            (_, false) => self.judge_cut(it, &runs),
            (_, true) if seal.is_empty() => Ok(()),
            (_, true) => Err("a seal that the upstream did not give"),
        }
    }

    /// Whether something unplanned happened shortly before or during a request.
    fn is_disturbed(&self, it: &Attempt) -> bool {
        let since = it.sent.unwrap_or(it.connected);
        // A turn needs the stores, and these the control hosts.
        let of_turn = |role| it.script.kind == "turn" && !matches!(role, Role::Front(_));
        let mut events = self.events.iter();
        events.any(|(from, to, role, event)| {
            let near = since < *to + CONTACT_TIME && *from < it.ended;
            near && (is_unplanned(event) || of_turn(*role))
        })
    }

    /// Says whether a request may have ended without a complete answer.
    fn judge_cut(&self, it: &Attempt, runs: &[Run]) -> Result<(), &'static str> {
        if it.end == End::Silent {
            return Err("never answered");
        }
        let Some(sent) = it.sent.filter(|_| !self.is_disturbed(it)) else {
            return Ok(());
        };
        let took = it.ended - sent;
        let Some(run) = runs.last() else {
            let crossed = took < CROSSING_TIME;
            return crossed.then_some(()).ok_or("held and not answered");
        };
        if (it.ended - it.began) * 10 > it.deadline * 9 {
            return Ok(());
        }
        let own = |(_, _, role, _): &&Event| *role == Role::Front(it.front);
        let mut earlier = self.events.iter().filter(own);
        let began = earlier.rfind(|(from, .., event)| *from <= it.connected && *event == "start");
        let began = began.map_or(self.began, |(from, ..)| *from);
        let mut own = self.events.iter().filter(own);
        let stop = own.find(|(from, .., event)| began < *from && *event == "TERM");
        let Some((from, to, ..)) = stop.filter(|(from, ..)| *from < it.ended) else {
            return Err("cut although its front was not told to stop");
        };
        let early = sent < *to + LINGER.min(self.grace * 9 / 20);
        match early && run.ends + LAST_WORK > *from + self.grace {
            true => Ok(()),
            false if early => Err("cut although it could have ended"),
            false => Err("taken late in a stop and cut"),
        }
    }

    /// All that is known of a request.
    fn history(&self, it: &Attempt, logs: &str) -> String {
        let at = |time: Instant| time.saturating_duration_since(self.began).as_secs_f64();
        let mut text = format!(
            "seed {}, id {}, front {}: connected {:.3}, sent {:.3?}, ended {:.3} ({:?}), deadline {:?}\n{:?}\n{:?}\n",
            self.seed,
            it.id,
            it.front,
            at(it.connected),
            it.sent.map(at),
            at(it.ended),
            it.end,
            it.deadline,
            it.script,
            it.got,
        );
        for run in self.runs_of(&it.id) {
            let _ = writeln!(text, "run until {:.3} with {:?}", at(run.ends), run.body);
        }
        for (time, _, role, event) in &self.events {
            if *role == Role::Front(it.front) {
                let _ = writeln!(text, "{:.3} {role:?} {event}", at(*time));
            }
        }
        let field = format!("id={} ", it.id);
        let lines = logs
            .lines()
            .filter(|line| format!("{line} ").contains(&field));
        lines.fold(text, |text, line| text + line + "\n")
    }

    /// Prints and returns what was broken.
    fn report(&self, attempts: &[Attempt]) -> Vec<String> {
        let logs = self.gateway.logs();
        let mut broken = self.operators.broken.lock().expect("lock").clone();
        for attempt in attempts {
            if let Err(cause) = self.judge(attempt) {
                broken.push(format!("{cause}: {}", self.history(attempt, &logs)));
            }
        }
        let responses: Vec<u16> = attempts
            .iter()
            .filter_map(|it| Some(it.response()?.status))
            .collect();
        let count = |wanted: &[u16]| responses.iter().filter(|it| wanted.contains(it)).count();
        println!(
            "seed {}: {} events, {} requests, {} accepted, {} refused, {} failed, {} broken",
            self.seed,
            self.events.len(),
            attempts.len(),
            count(&[200]),
            count(&NOT_RUN),
            count(&[500, 502, 504]),
            broken.len(),
        );
        let at = |time: &Instant| time.saturating_duration_since(self.began).as_secs_f64();
        let events = self.events.iter();
        let events =
            events.map(|(time, _, role, event)| format!("{:.3} {role:?} {event}", at(time)));
        let events = events.collect::<Vec<_>>().join("\n");
        for what in &broken {
            println!("BROKEN: {what}");
        }
        if !broken.is_empty() {
            println!("{events}");
        }
        if let (false, Ok(folder)) = (broken.is_empty(), env::var("SOAK_LOGS")) {
            let file = format!("{folder}/seed-{}.log", self.seed);
            let requests: Vec<String> = attempts.iter().map(|it| self.history(it, "")).collect();
            let text = format!(
                "{}\n{events}\n{}\n{logs}",
                broken.join("\n"),
                requests.join("\n")
            );
            fs::write(file, text).expect("logs");
        }
        broken
    }
}

/// Seeds to play: `SOAK_SEEDS` is a number, or the first and last of several.
fn seeds() -> Vec<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else {
        return SEEDS.into();
    };
    let (first, last) = text.split_once("..").unwrap_or((&text, &text));
    let number = |it: &str| it.parse::<u64>().expect("a number");
    (number(first)..=number(last)).collect()
}

#[test]
fn requests_survive_series_of_stops_kills_and_changes() {
    let broken = seeds()
        .into_iter()
        .flat_map(|seed| Soak::start(seed).play());
    assert_eq!(broken.count(), 0, "printed above");
}
