//! The loop of a run: events in order of time, entries, upstreams, programs.

use {
    super::{
        calls::Call,
        faults::{self, Fault},
        program::{ProgramSpec, ProgramState},
        scenario::Scenario,
        stats::{Counters, Stats, record},
        upstream::{Upstream, data_centre, model_settings},
        workload,
    },
    indexmap::IndexSet,
    quay_policy::{
        FeedState, Policy, PolicySettings, QuotaAllocator, QuotaHolder, QuotaSettings,
        RetentionAction, RetryBudgets, Router, SuspectRegistry, SuspectSettings,
    },
    quay_standin::model::{CacheChange, JobEvent},
    quay_types::{Announcement, ProgramId, Time, UpstreamId},
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// Interval of a sidecar's ticks.
const TICK: Duration = Duration::from_millis(100);

/// Interval of reports and cache events from sidecars to entries; a multiple of [`TICK`].
const REPORT_EVERY_MS: u64 = 500;

/// Time that a report takes while nothing fails.
const REPORT_LAG: Duration = Duration::from_millis(250);

/// A run that goes on for so long after the last arrival has lost a program.
const LONGEST_TAIL: Duration = Duration::from_mins(10);

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A program begins.
    Arrive(usize),
    /// The pause after a turn is over.
    PauseOver(usize),
    /// A call is sent, by its caller or again by its entry.
    Send(usize),
    /// A call reaches a sidecar.
    Deliver(usize),
    /// An engine's step ends.
    Engine(usize),
    /// A sidecar looks at what is due.
    Tick(usize),
    /// A sidecar's report reaches the entries, by its place in the list.
    Report(usize),
    /// A caller gives up on a program.
    GiveUp(usize),
    /// Something fails.
    Fault(Fault),
}

/// A run of one policy.
pub struct World<P: Policy> {
    pub cfg: PolicySettings,
    pub now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    pub rng: ChaCha8Rng,
    pub specs: Vec<ProgramSpec>,
    pub states: Vec<ProgramState>,
    pub places: indexmap::IndexMap<ProgramId, usize>,
    pub calls: Vec<Call>,
    pub entries: Vec<Router<P::Score>>,
    pub upstreams: Vec<Upstream<P::Limit>>,
    pub suspects: SuspectRegistry,
    pub budgets: RetryBudgets,
    pub allocator: QuotaAllocator,
    /// What each entry holds of the accounts' limits.
    pub slices: Vec<QuotaHolder>,
    pub counters: Counters,
    /// Blocks that were in some cache once.
    pub seen: IndexSet<u64>,
    /// Reports on their way.
    reports: Vec<(Time, Announcement)>,
    report_lag: Duration,
    pub open: usize,
    end: Time,
    /// Whether cache events reach the entries.
    events: bool,
    seconds: u64,
}

impl<P: Policy> World<P> {
    /// A run that has not begun.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let cfg = P::settings();
        let mut specs = workload::programs(scenario, &mut rng);
        let end = Time::ZERO + Duration::from_secs(scenario.seconds);
        let faults = if scenario.faults {
            faults::plan(end)
        } else {
            Vec::new()
        };
        for (at, fault) in &faults {
            if *fault == Fault::Poison {
                poison(&mut specs, *at);
            }
        }
        let upstreams = (0..scenario.upstreams)
            .map(|at| Upstream::new(at, &cfg, model_settings(seed ^ at as u64, scenario.faults)));
        let entries = (0..scenario.entries).map(|at| Router::new(cfg.route, data_centre(at)));
        let mut world = Self {
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            states: vec![ProgramState::default(); specs.len()],
            places: specs
                .iter()
                .zip(0..)
                .map(|(spec, at)| (spec.id, at))
                .collect(),
            calls: Vec::new(),
            entries: entries.collect(),
            upstreams: upstreams.collect(),
            suspects: SuspectRegistry::new(SuspectSettings::default()),
            budgets: RetryBudgets::new(cfg.retry),
            allocator: QuotaAllocator::new(QuotaSettings::default()),
            slices: (0..scenario.entries)
                .map(|_| QuotaHolder::default())
                .collect(),
            counters: Counters::new(),
            seen: IndexSet::new(),
            reports: Vec::new(),
            report_lag: REPORT_LAG,
            open: 0,
            events: scenario.events,
            seconds: scenario.seconds,
            cfg,
            rng,
            specs,
            end,
        };
        world.schedule_first(&faults);
        world
    }

    fn schedule_first(&mut self, faults: &[(Time, Fault)]) {
        for at in 0..self.upstreams.len() {
            self.report(at);
            let (_, report) = self.reports.remove(0);
            for entry in &mut self.entries {
                entry.apply_announcement(Time::ZERO, &report);
            }
            self.after(TICK, Event::Tick(at));
        }
        for at in 0..self.specs.len() {
            let spec = &self.specs[at];
            if spec.parent.is_none() {
                let (arrival, deadline) = (spec.arrival, spec.deadline);
                self.at(arrival, Event::Arrive(at));
                self.at(deadline, Event::GiveUp(at));
            }
        }
        for (at, fault) in faults {
            self.at(*at, Event::Fault(*fault));
        }
    }

    /// Runs to the end and returns what was measured.
    pub fn run(mut self) -> Stats {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            self.handle(event);
            let over = self.open == 0 && self.now > self.end;
            if over {
                break;
            }
            // Each program ends or is told why not; none waits for ever.
            assert!(
                at < self.end + LONGEST_TAIL,
                "{} programs starve",
                self.open
            );
        }
        assert_eq!(self.open, 0, "programs left without an end");
        let model = model_settings(0, false);
        self.counters
            .stats(self.seconds, model.prefill_per_token, model.kv_blocks)
    }

    /// Schedules an event at a time.
    pub fn at(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.sequence, event)));
    }

    /// Schedules an event after a while.
    pub fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    /// A random number for a decision.
    pub fn draw(&mut self) -> u64 {
        self.rng.random()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::PauseOver(program) => self.pause_over(program),
            Event::Send(call) => self.send(call),
            Event::Deliver(call) => self.deliver(call),
            Event::Engine(at) => {
                self.upstreams[at].wake = None;
                self.drive(at);
            }
            Event::Tick(at) => self.tick(at),
            Event::Report(id) => self.deliver_report(id),
            Event::GiveUp(program) => self.give_up(program),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    // -----------------------------------------------------------------------
    // Upstreams

    /// Lets an engine run up to now, handles what it says, and wakes up again
    /// at the end of its next step.
    pub fn drive(&mut self, at: usize) {
        self.upstreams[at].engine.advance(self.now);
        let events = self.upstreams[at].engine.take_events();
        let crashed: Vec<usize> = events
            .iter()
            .filter_map(|event| match event {
                JobEvent::Crashed { job, .. } => usize::try_from(job.0).ok(),
                _ => None,
            })
            .collect();
        if !crashed.is_empty() {
            self.crashed(at, &crashed);
        }
        for event in events {
            match event {
                JobEvent::Started { job, cached, .. } => self.call_started(job, cached),
                JobEvent::Token { job, at, .. } => self.call_token(job, at),
                JobEvent::Done { job, .. } => self.call_done(job),
                JobEvent::Crashed { .. } => {}
            }
        }
        let next = self.upstreams[at].engine.next_at();
        let wake = self.upstreams[at].wake;
        if let Some(next) = next.filter(|next| wake.is_none_or(|wake| wake > *next)) {
            self.upstreams[at].wake = Some(next);
            self.at(next, Event::Engine(at));
        }
    }

    fn tick(&mut self, at: usize) {
        self.count_idle(at);
        self.drive(at);
        let now = self.now;
        let upstream = &mut self.upstreams[at];
        upstream.observe(now);
        for action in upstream.retention.tick(now) {
            self.retain(at, &action);
        }
        self.poll_gate(at);
        if now.as_millis().is_multiple_of(REPORT_EVERY_MS) {
            self.report(at);
        }
        if self.open > 0 || now <= self.end {
            self.after(TICK, Event::Tick(at));
        }
    }

    /// Adds up the memory that is held for nobody who runs.
    fn count_idle(&mut self, at: usize) {
        let upstream = &mut self.upstreams[at];
        let span = self.now.since(upstream.counted);
        upstream.counted = self.now;
        self.counters.idle_block_us += span.as_micros() * upstream.engine.idle_blocks() as u128;
    }

    /// Carries out what an upstream's retention decided.
    pub fn retain(&mut self, at: usize, action: &RetentionAction) {
        let program = match action {
            RetentionAction::QueryEnded(programs) => return self.sweep(at, programs),
            RetentionAction::Export(id)
            | RetentionAction::Import(id)
            | RetentionAction::Release(id) => *id,
        };
        let Some(place) = self.places.get(&program).copied() else {
            return;
        };
        let spec = &self.specs[place];
        let shared = spec.shared / super::program::BLOCK_TOKENS;
        self.upstreams[at].retain(self.now, action, &spec.blocks, shared);
    }

    /// Answers a sidecar that asks which programs have ended.
    fn sweep(&mut self, at: usize, programs: &[ProgramId]) {
        for id in programs {
            let ended = self
                .places
                .get(id)
                .is_none_or(|place| self.states[*place].ended);
            if ended && let Some(action) = self.upstreams[at].retention.program_ended(*id) {
                self.retain(at, &action);
            }
        }
    }

    // -----------------------------------------------------------------------
    // Reports

    /// Sends a report and the cache events on their way.
    fn report(&mut self, at: usize) {
        let report = self.upstreams[at].announcement(self.now);
        self.reports.push((self.now, report));
        if self.now > Time::ZERO {
            self.after(self.report_lag, Event::Report(at));
        }
    }

    fn deliver_report(&mut self, at: usize) {
        let id = self.upstreams[at].id;
        let of_this = |(_, report): &(Time, Announcement)| report.upstream() == id;
        if let Some(place) = self.reports.iter().position(of_this) {
            let (made, report) = self.reports.remove(place);
            for entry in &mut self.entries {
                entry.apply_announcement(made, &report);
            }
        }
        if self.events {
            self.deliver_cache_events(at, id);
        }
    }

    fn deliver_cache_events(&mut self, at: usize, id: UpstreamId) {
        let upstream = &mut self.upstreams[at];
        let events = upstream.engine.cache_events(self.now);
        let mut gap = false;
        for entry in &mut self.entries {
            let Some((index, slot)) = entry.prefix_index(id) else {
                continue;
            };
            for event in &events {
                let state = match event.change {
                    CacheChange::Stored(hash) => index.apply_stored(slot, event.sequence, hash),
                    // What the sidecar has exported is as good as held.
                    CacheChange::Evicted(hash) if upstream.exported.contains(&hash) => {
                        index.apply_stored(slot, event.sequence, hash)
                    }
                    CacheChange::Evicted(hash) => index.apply_evicted(slot, event.sequence, hash),
                    CacheChange::Cleared => {
                        index.clear_slot(slot);
                        continue;
                    }
                };
                gap |= matches!(state, FeedState::Gap(_));
            }
            // One resync for all events of a report.
            if gap {
                let snapshot = upstream.engine.cache_snapshot();
                let mut held = snapshot.blocks.to_vec();
                held.extend(&upstream.exported);
                index.apply_snapshot(slot, snapshot.sequence, &held);
            }
        }
    }

    // -----------------------------------------------------------------------
    // Faults

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(at) => {
                self.upstreams[at].engine.crash(self.now);
                self.drive(at);
                self.after(faults::RESTART, Event::Fault(Fault::Restart(at)));
            }
            Fault::Restart(at) => {
                self.upstreams[at].engine.restart();
                self.upstreams[at].gate.undrain();
            }
            Fault::Silence(at) => self.silence(at),
            Fault::Slow(at, per_cent) => self.upstreams[at].engine.set_slowdown(per_cent),
            Fault::Lag(lag) => self.report_lag = lag,
            Fault::Poison => {}
        }
    }

    /// Records the end of a root program.
    pub fn record_end(&mut self, place: usize, finished: bool) {
        let spec = &self.specs[place];
        let span = self.now.since(spec.arrival);
        record(&mut self.counters.latency, span);
        if !spec.flooding {
            record(&mut self.counters.quiet_latency, span);
        }
        self.counters.finished += u64::from(finished);
        self.open -= 1;
    }
}

/// Makes the first two programs after `at` poison.
fn poison(specs: &mut [ProgramSpec], at: Time) {
    let later = specs
        .iter_mut()
        .filter(|spec| spec.arrival >= at && spec.parent.is_none());
    for spec in later.take(2) {
        spec.poison = true;
    }
}
