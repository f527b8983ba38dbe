//! Continuous batching over a prefix cache.

use {
    super::{
        CacheEvent, CacheSnapshot, EngineRole, Job, JobEvent, JobId, KvExport, LoadReport,
        ModelSettings, Order, OrderError, cache::PrefixCache, load::LoadReports, order::Orders,
    },
    quay_types::{ModelId, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Weight of the newest step in the mean, as a divisor.
const STEP_MEAN: u32 = 16;

/// Parts in one of the slowdown factor.
const PER_CENT: u32 = 100;

/// A job in the batch.
#[derive(Debug)]
struct Running {
    job: Job,
    /// Tokens to read before the first new one: the prompt, and after a
    /// preemption what had been generated.
    target: u32,
    /// Tokens whose KV is held.
    held: u32,
    /// Tokens generated.
    output: u32,
    /// Blocks taken, with and without a hash.
    taken: u32,
    /// Blocks taken that have no hash.
    anonymous: u32,
    /// Prompt tokens that the step under way prefills.
    chunk: u32,
}

/// An engine that batches continuously, admits in order of arrival and knows
/// no priorities.
#[derive(Debug)]
pub struct EngineModel {
    settings: ModelSettings,
    cache: PrefixCache,
    waiting: VecDeque<(Job, u32)>,
    running: Vec<Running>,
    /// End of the step under way.
    step_end: Option<Time>,
    /// Mean duration of recent steps.
    mean_step: Duration,
    /// Time of imports that the next step has to bear.
    import_debt: Duration,
    slowdown_per_cent: u32,
    down: bool,
    events: Vec<JobEvent>,
    reports: LoadReports,
    orders: Orders,
}

impl EngineModel {
    /// An idle engine with an empty cache.
    #[must_use]
    pub fn new(settings: ModelSettings) -> Self {
        Self {
            cache: PrefixCache::new(&settings),
            waiting: VecDeque::new(),
            running: Vec::new(),
            step_end: None,
            mean_step: Duration::ZERO,
            import_debt: Duration::ZERO,
            slowdown_per_cent: PER_CENT,
            down: false,
            events: Vec::new(),
            reports: LoadReports::new(&settings),
            orders: Orders::new(settings.check_fence),
            settings,
        }
    }

    // -----------------------------------------------------------------------
    // Jobs

    /// Hands a job over; it joins the batch when there is room. False if the
    /// engine is down or its whole memory could not hold the job.
    pub fn submit(&mut self, now: Time, job: Job) -> bool {
        self.advance(now);
        let most = (job.prompt + job.output).div_ceil(self.settings.block_tokens);
        if self.down || most >= self.settings.kv_blocks {
            return false;
        }
        self.waiting.push_back((job, 0));
        self.start_step(now);
        true
    }

    /// Takes a job out at once; its whole blocks stay in the cache.
    pub fn cancel(&mut self, now: Time, id: JobId) {
        self.advance(now);
        self.waiting.retain(|(job, _)| job.id != id);
        if let Some(at) = self.running.iter().position(|running| running.job.id == id) {
            let running = self.running.remove(at);
            self.give_back(now, &running);
        }
    }

    /// When the step under way ends; `None` if there is nothing to do.
    #[must_use]
    pub const fn next_at(&self) -> Option<Time> {
        self.step_end
    }

    /// Runs every step that ends at `now` or before.
    pub fn advance(&mut self, now: Time) {
        while let Some(end) = self.step_end.filter(|end| *end <= now) {
            self.finish_step(end);
            self.start_step(end);
        }
        self.sample(now);
    }

    /// Takes what happened to jobs since the last call.
    pub fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// Jobs in the batch and before it.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    // -----------------------------------------------------------------------
    // Faults

    /// Ends every job and empties the cache; the engine stays down.
    pub fn crash(&mut self, now: Time) {
        let lost = self.running.drain(..).map(|running| running.job.id);
        let lost = lost.chain(self.waiting.drain(..).map(|(job, _)| job.id));
        self.events
            .extend(lost.map(|job| JobEvent::Crashed { job, at: now }));
        self.cache.clear(now);
        self.step_end = None;
        self.down = true;
    }

    /// Takes work again after a crash.
    pub fn restart(&mut self) {
        self.down = false;
    }

    /// Whether the engine has crashed and was not restarted.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Makes every step take `per_cent` of its usual time from now on.
    pub fn set_slowdown(&mut self, per_cent: u32) {
        self.slowdown_per_cent = per_cent;
    }

    // -----------------------------------------------------------------------
    // Cache

    /// Cache events that are old enough to be known, less those that got lost.
    pub fn cache_events(&mut self, now: Time) -> Vec<CacheEvent> {
        self.cache.take_events(now - self.settings.event_lag)
    }

    /// Everything that the cache holds now.
    #[must_use]
    pub fn cache_snapshot(&self) -> CacheSnapshot {
        self.cache.snapshot()
    }

    /// Copies the leading blocks that are held out of the engine.
    #[must_use]
    pub fn export(&self, blocks: &[u64]) -> KvExport {
        KvExport {
            blocks: blocks[..self.cache.matched(blocks)].into(),
        }
    }

    /// Puts exported blocks back; returns how many found room.
    pub fn import(&mut self, now: Time, export: &KvExport, shared: u32) -> usize {
        self.advance(now);
        let mut taken = 0;
        for (hash, depth) in export.blocks.iter().zip(0..) {
            let known = self.cache.matched(&[*hash]) == 1;
            if !self.cache.take(now, *hash, depth, depth < shared) {
                break;
            }
            if !known {
                self.import_debt += self.settings.import_per_block;
            }
            taken += 1;
        }
        for hash in &export.blocks[..taken] {
            self.cache.unpin(now, *hash);
        }
        taken
    }

    /// Drops those of `blocks` that no job uses.
    pub fn release(&mut self, now: Time, blocks: &[u64]) {
        self.cache.release(now, blocks);
    }

    /// Blocks held for no running job, less those that programs share.
    #[must_use]
    pub const fn idle_blocks(&self) -> usize {
        self.cache.idle()
    }

    // -----------------------------------------------------------------------
    // Load and orders

    /// The newest load report that is old enough to be known.
    pub fn load(&mut self, now: Time) -> Option<LoadReport> {
        self.sample(now);
        self.reports.newest(now)
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// Refuses an old fence number, if the settings have it checked.
    pub fn order(&mut self, now: Time, order: Order) -> Result<(), OrderError> {
        self.orders.carry_out(now, order)
    }

    /// Models that were loaded by orders and can serve now.
    pub fn models(&self, now: Time) -> impl Iterator<Item = ModelId> {
        self.orders.serving(now)
    }

    /// Role that the engine was ordered to take.
    #[must_use]
    pub const fn role(&self) -> EngineRole {
        self.orders.role()
    }

    fn sample(&mut self, now: Time) {
        let report = LoadReport {
            at: now,
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            kv_permille: self.cache.used_permille(),
            token_gap_us: u32::try_from(self.mean_step.as_micros()).unwrap_or(u32::MAX),
        };
        self.reports.sample(now, || report);
    }

    // -----------------------------------------------------------------------
    // Steps

    /// Starts the next step unless one is under way or nothing is to do.
    fn start_step(&mut self, now: Time) {
        if self.step_end.is_some() || self.down {
            return;
        }
        self.admit(now);
        if self.running.is_empty() {
            return;
        }
        let span = self.plan();
        self.mean_step = (self.mean_step * (STEP_MEAN - 1) + span) / STEP_MEAN;
        self.step_end = Some(now + span);
    }

    /// Fills the batch in order of arrival.
    fn admit(&mut self, now: Time) {
        while self.running.len() < self.settings.max_batch as usize {
            let Some((job, output)) = self.waiting.front() else {
                return;
            };
            let (target, output) = (job.prompt + output, *output);
            let hits = self.hits(job, target);
            let needed = target.div_ceil(self.settings.block_tokens) - hits;
            let fits = self.cache.available() > needed as usize;
            // A job that can never fit runs alone rather than wait for ever.
            if !fits && !self.running.is_empty() {
                return;
            }
            let Some((job, _)) = self.waiting.pop_front() else {
                return;
            };
            for hash in &job.blocks[..hits as usize] {
                self.cache.pin(*hash);
            }
            let cached = hits * self.settings.block_tokens;
            self.events.push(JobEvent::Started {
                job: job.id,
                at: now,
                cached,
            });
            self.running.push(Running {
                job,
                target,
                held: cached,
                output,
                taken: hits,
                anonymous: 0,
                chunk: 0,
            });
        }
    }

    /// Blocks of the prompt that the cache spares; the last token is always read.
    fn hits(&self, job: &Job, target: u32) -> u32 {
        let whole = target.saturating_sub(1) / self.settings.block_tokens;
        let known = job.blocks.len().min(whole as usize);
        count(self.cache.matched(&job.blocks[..known]))
    }

    /// Decides what the next step does; returns how long it takes.
    fn plan(&mut self) -> Duration {
        let mut room = self.settings.prefill_chunk;
        let (mut decoding, mut context) = (0, 0);
        for running in &mut self.running {
            let left = running.target.saturating_sub(running.held);
            running.chunk = left.min(room);
            room -= running.chunk;
            decoding += u32::from(left == 0);
            context += running.taken;
        }
        let prefilled = self.settings.prefill_chunk - room;
        let span = self.settings.step_base
            + self.settings.step_per_job * decoding
            + self.settings.step_per_block * context
            + self.settings.prefill_per_token * prefilled
            + std::mem::take(&mut self.import_debt);
        span * self.slowdown_per_cent / PER_CENT
    }

    /// Applies the step that ends at `now`.
    fn finish_step(&mut self, now: Time) {
        self.step_end = None;
        if self.running.iter().any(|running| running.job.poison) {
            self.crash(now);
            return;
        }
        let mut at = 0;
        while at < self.running.len() {
            if !self.progress(now, at) {
                // Memory is full: the latest job goes back to the queue.
                if self.preempt(now) == at {
                    break;
                }
                continue;
            }
            if self.running[at].output >= self.running[at].job.output {
                let running = self.running.remove(at);
                self.give_back(now, &running);
                self.events.push(JobEvent::Done {
                    job: running.job.id,
                    at: now,
                });
            } else {
                at += 1;
            }
        }
    }

    /// Moves one job on by its part of the step; false if it finds no memory.
    fn progress(&mut self, now: Time, at: usize) -> bool {
        let running = &mut self.running[at];
        let generates = running.held + running.chunk >= running.target;
        let held = if running.chunk > 0 {
            running.held + running.chunk
        } else if generates {
            running.held.max(running.target) + 1
        } else {
            return true;
        };
        while running.taken < held.div_ceil(self.settings.block_tokens) {
            let depth = running.taken;
            let known = running.job.blocks.get(depth as usize).copied();
            let taken = match known {
                Some(hash) => self
                    .cache
                    .take(now, hash, depth, depth < running.job.shared),
                None => self.cache.take_anonymous(now),
            };
            if !taken {
                return false;
            }
            running.anonymous += u32::from(known.is_none());
            running.taken += 1;
        }
        running.held = held;
        running.chunk = 0;
        if generates {
            running.target = held;
            self.events.push(JobEvent::Token {
                job: running.job.id,
                at: now,
                index: running.output,
            });
            running.output += 1;
        }
        true
    }

    /// Puts the latest job back to the head of the queue; returns its place.
    fn preempt(&mut self, now: Time) -> usize {
        let Some(running) = self.running.pop() else {
            return 0;
        };
        self.give_back(now, &running);
        self.waiting.push_front((running.job, running.output));
        self.running.len()
    }

    /// Gives the blocks of a job back; those with a hash stay cached.
    fn give_back(&mut self, now: Time, running: &Running) {
        let known = running.job.blocks.len().min(running.taken as usize);
        for hash in &running.job.blocks[..known] {
            self.cache.unpin(now, *hash);
        }
        self.cache.give_anonymous(running.anonymous as usize);
    }
}

/// A count that fits 32 bits.
fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
