//! Discrete-event simulation of entries, upstreams and programs.

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

/// Interval between the periodic tasks of a sidecar.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which sidecars send load reports and cache events to the entries,
/// in milliseconds; a multiple of [`TICK_INTERVAL`].
const REPORT_INTERVAL_MS: u64 = 500;

/// Delay of a load report in the absence of faults.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Time after the arrival phase within which all programs must end; a run that
/// takes longer has left a program without an outcome.
const MAX_DRAIN_TIME: Duration = Duration::from_mins(10);

/// An event of the simulation; numbers are indices of programs, calls or
/// upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A root program starts.
    Arrive(usize),
    /// The pause after a program's turn has elapsed.
    PauseElapsed(usize),
    /// A call is sent by its caller or resent by its entry.
    Send(usize),
    /// A call arrives at its sidecar.
    Deliver(usize),
    /// An engine completes a step.
    Engine(usize),
    /// A sidecar runs its periodic tasks.
    Tick(usize),
    /// A load report of an upstream arrives at the entries.
    Report(usize),
    /// The deadline of a root program has passed.
    DeadlineExceeded(usize),
    /// A fault is injected.
    Fault(Fault),
}

/// State of a simulation of one policy.
pub struct Simulation<P: Policy> {
    pub cfg: PolicySettings,
    pub now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    pub rng: ChaCha8Rng,
    pub specs: Vec<ProgramSpec>,
    pub states: Vec<ProgramState>,
    pub program_indices: indexmap::IndexMap<ProgramId, usize>,
    pub calls: Vec<Call>,
    pub entries: Vec<Router<P::Score>>,
    pub upstreams: Vec<Upstream<P::Limit>>,
    pub suspects: SuspectRegistry,
    pub budgets: RetryBudgets,
    pub allocator: QuotaAllocator,
    /// Each entry's leases on the concurrency limits of the accounts.
    pub quota_holders: Vec<QuotaHolder>,
    pub counters: Counters,
    /// Hashes of all blocks that an engine has cached at some time.
    pub known_blocks: IndexSet<u64>,
    /// Load reports in transit, with the time at which they were made.
    pending_reports: Vec<(Time, Announcement)>,
    report_delay: Duration,
    pub open_programs: usize,
    end: Time,
    /// Whether entries receive cache events.
    events: bool,
    seconds: u64,
}

impl<P: Policy> Simulation<P> {
    /// Creates a simulation and schedules its first events.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let cfg = P::settings();
        let mut specs = workload::programs(scenario, &mut rng);
        let end = Time::ZERO + Duration::from_secs(scenario.seconds);
        let faults = if scenario.faults {
            faults::schedule(end)
        } else {
            Vec::new()
        };
        for (time, fault) in &faults {
            if *fault == Fault::Poison {
                mark_poison_programs(&mut specs, *time);
            }
        }
        let upstreams = (0..scenario.upstreams).map(|index| {
            Upstream::new(
                index,
                &cfg,
                model_settings(seed ^ index as u64, scenario.faults),
            )
        });
        let entries = (0..scenario.entries).map(|index| Router::new(cfg.route, data_centre(index)));
        let mut simulation = Self {
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            states: vec![ProgramState::default(); specs.len()],
            program_indices: specs
                .iter()
                .zip(0..)
                .map(|(spec, index)| (spec.id, index))
                .collect(),
            calls: Vec::new(),
            entries: entries.collect(),
            upstreams: upstreams.collect(),
            suspects: SuspectRegistry::new(SuspectSettings::default()),
            budgets: RetryBudgets::new(cfg.retry),
            allocator: QuotaAllocator::new(QuotaSettings::default()),
            quota_holders: (0..scenario.entries)
                .map(|_| QuotaHolder::default())
                .collect(),
            counters: Counters::new(),
            known_blocks: IndexSet::new(),
            pending_reports: Vec::new(),
            report_delay: REPORT_DELAY,
            open_programs: 0,
            events: scenario.events,
            seconds: scenario.seconds,
            cfg,
            rng,
            specs,
            end,
        };
        simulation.schedule_initial_events(&faults);
        simulation
    }

    fn schedule_initial_events(&mut self, faults: &[(Time, Fault)]) {
        for index in 0..self.upstreams.len() {
            self.send_report(index);
            let (_, report) = self.pending_reports.remove(0);
            for entry in &mut self.entries {
                entry.apply_announcement(Time::ZERO, &report);
            }
            self.schedule_after(TICK_INTERVAL, Event::Tick(index));
        }
        for index in 0..self.specs.len() {
            let spec = &self.specs[index];
            if spec.parent.is_none() {
                let (arrival, deadline) = (spec.arrival, spec.deadline);
                self.schedule_at(arrival, Event::Arrive(index));
                self.schedule_at(deadline, Event::DeadlineExceeded(index));
            }
        }
        for (time, fault) in faults {
            self.schedule_at(*time, Event::Fault(*fault));
        }
    }

    /// Runs the simulation to its end and returns the measurements.
    pub fn run(mut self) -> Stats {
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            self.now = time;
            self.handle(event);
            let ended = self.open_programs == 0 && self.now > self.end;
            if ended {
                break;
            }
            // Every program must finish or be abandoned at its deadline.
            assert!(
                time < self.end + MAX_DRAIN_TIME,
                "{} programs have not ended 10 min after the last arrival",
                self.open_programs
            );
        }
        assert_eq!(self.open_programs, 0, "programs without an outcome");
        let model = model_settings(0, false);
        self.counters
            .stats(self.seconds, model.prefill_per_token, model.kv_blocks)
    }

    /// Schedules an event at the given time, but not before the current time.
    pub fn schedule_at(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((time.max(self.now), self.sequence, event)));
    }

    /// Schedules an event after the given delay.
    pub fn schedule_after(&mut self, span: Duration, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    /// Returns a random number.
    pub fn draw(&mut self) -> u64 {
        self.rng.random()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::PauseElapsed(program) => self.pause_elapsed(program),
            Event::Send(call) => self.send(call),
            Event::Deliver(call) => self.deliver(call),
            Event::Engine(index) => {
                self.upstreams[index].next_wake = None;
                self.advance_engine(index);
            }
            Event::Tick(index) => self.tick(index),
            Event::Report(index) => self.deliver_report(index),
            Event::DeadlineExceeded(program) => self.expire_program(program),
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    // -----------------------------------------------------------------------
    // Upstreams

    /// Advances an engine to the current time, handles its events and schedules
    /// the end of its next step.
    pub fn advance_engine(&mut self, index: usize) {
        self.upstreams[index].engine.advance(self.now);
        let events = self.upstreams[index].engine.take_events();
        let crashed: Vec<usize> = events
            .iter()
            .filter_map(|event| match event {
                JobEvent::Crashed { job, .. } => usize::try_from(job.0).ok(),
                _ => None,
            })
            .collect();
        if !crashed.is_empty() {
            self.handle_crash(index, &crashed);
        }
        for event in events {
            match event {
                JobEvent::Started { job, cached, .. } => self.call_started(job, cached),
                JobEvent::Token { job, at, .. } => self.call_token(job, at),
                JobEvent::Done { job, .. } => self.call_done(job),
                JobEvent::Crashed { .. } => {}
            }
        }
        let next = self.upstreams[index].engine.next_at();
        let scheduled = self.upstreams[index].next_wake;
        if let Some(next) = next.filter(|next| scheduled.is_none_or(|scheduled| scheduled > *next))
        {
            self.upstreams[index].next_wake = Some(next);
            self.schedule_at(next, Event::Engine(index));
        }
    }

    fn tick(&mut self, index: usize) {
        self.count_idle_blocks(index);
        self.advance_engine(index);
        let now = self.now;
        let upstream = &mut self.upstreams[index];
        upstream.observe(now);
        for action in upstream.retention.tick(now) {
            self.apply_retention(index, &action);
        }
        self.poll_admission(index);
        if now.as_millis().is_multiple_of(REPORT_INTERVAL_MS) {
            self.send_report(index);
        }
        if self.open_programs > 0 || now <= self.end {
            self.schedule_after(TICK_INTERVAL, Event::Tick(index));
        }
    }

    /// Adds the KV memory that was held for programs without a running call since
    /// the last count.
    fn count_idle_blocks(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        let span = self.now.since(upstream.idle_counted_at);
        upstream.idle_counted_at = self.now;
        self.counters.idle_block_us += span.as_micros() * upstream.engine.idle_blocks() as u128;
    }

    /// Carries out a retention action of an upstream.
    pub fn apply_retention(&mut self, index: usize, action: &RetentionAction) {
        let program = match action {
            RetentionAction::QueryEnded(programs) => return self.release_ended(index, programs),
            RetentionAction::Export(id)
            | RetentionAction::Import(id)
            | RetentionAction::Release(id) => *id,
        };
        let Some(program_index) = self.program_indices.get(&program).copied() else {
            return;
        };
        let spec = &self.specs[program_index];
        let shared = spec.shared_tokens / super::program::BLOCK_TOKENS;
        self.upstreams[index].apply_retention(self.now, action, &spec.blocks, shared);
    }

    /// Answers a sidecar's query for ended programs by releasing their KV blocks.
    fn release_ended(&mut self, index: usize, programs: &[ProgramId]) {
        for id in programs {
            let ended = self
                .program_indices
                .get(id)
                .is_none_or(|program| self.states[*program].ended);
            if ended && let Some(action) = self.upstreams[index].retention.program_ended(*id) {
                self.apply_retention(index, &action);
            }
        }
    }

    // -----------------------------------------------------------------------
    // Reports

    /// Sends a load report together with the pending cache events.
    fn send_report(&mut self, index: usize) {
        let report = self.upstreams[index].announcement(self.now);
        self.pending_reports.push((self.now, report));
        if self.now > Time::ZERO {
            self.schedule_after(self.report_delay, Event::Report(index));
        }
    }

    fn deliver_report(&mut self, index: usize) {
        let id = self.upstreams[index].id;
        let is_from_upstream = |(_, report): &(Time, Announcement)| report.upstream() == id;
        if let Some(position) = self.pending_reports.iter().position(is_from_upstream) {
            let (sent_at, report) = self.pending_reports.remove(position);
            for entry in &mut self.entries {
                entry.apply_announcement(sent_at, &report);
            }
        }
        if self.events {
            self.deliver_cache_events(index, id);
        }
    }

    fn deliver_cache_events(&mut self, index: usize, id: UpstreamId) {
        let upstream = &mut self.upstreams[index];
        let events = upstream.engine.cache_events(self.now);
        let mut gap = false;
        for entry in &mut self.entries {
            let Some((prefixes, slot)) = entry.prefix_index(id) else {
                continue;
            };
            for event in &events {
                let state = match event.change {
                    CacheChange::Stored(hash) => prefixes.apply_stored(slot, event.sequence, hash),
                    // Exported blocks can be imported again, so they count as cached.
                    CacheChange::Evicted(hash) if upstream.exported_blocks.contains(&hash) => {
                        prefixes.apply_stored(slot, event.sequence, hash)
                    }
                    CacheChange::Evicted(hash) => {
                        prefixes.apply_evicted(slot, event.sequence, hash)
                    }
                    CacheChange::Cleared => {
                        prefixes.clear_slot(slot);
                        continue;
                    }
                };
                gap |= matches!(state, FeedState::Gap(_));
            }
            // A gap in the event sequence is repaired once per report.
            if gap {
                let snapshot = upstream.engine.cache_snapshot();
                let mut blocks = snapshot.blocks.to_vec();
                blocks.extend(&upstream.exported_blocks);
                prefixes.apply_snapshot(slot, snapshot.sequence, &blocks);
            }
        }
    }

    // -----------------------------------------------------------------------
    // Faults

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(index) => {
                self.upstreams[index].engine.crash(self.now);
                self.advance_engine(index);
                self.schedule_after(faults::RESTART_DELAY, Event::Fault(Fault::Restart(index)));
            }
            Fault::Restart(index) => {
                self.upstreams[index].engine.restart();
                self.upstreams[index].admission.undrain();
            }
            Fault::StallStreams(index) => self.stall_streams(index),
            Fault::Slow(index, per_cent) => self.upstreams[index].engine.set_slowdown(per_cent),
            Fault::ReportDelay(delay) => self.report_delay = delay,
            Fault::Poison => {}
        }
    }

    /// Records the latency and outcome of a root program.
    pub fn record_program_end(&mut self, program: usize, finished: bool) {
        let spec = &self.specs[program];
        let span = self.now.since(spec.arrival);
        record(&mut self.counters.latency, span);
        if !spec.flooding {
            record(&mut self.counters.quiet_latency, span);
        }
        self.counters.finished += u64::from(finished);
        self.open_programs -= 1;
    }
}

/// Marks the first two root programs that arrive at or after `at` as poison.
fn mark_poison_programs(specs: &mut [ProgramSpec], at: Time) {
    let candidates = specs
        .iter_mut()
        .filter(|spec| spec.arrival >= at && spec.parent.is_none());
    for spec in candidates.take(2) {
        spec.poison = true;
    }
}
