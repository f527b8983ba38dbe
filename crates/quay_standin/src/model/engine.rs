//! Engine model with continuous batching and a prefix cache.

use {
    super::{
        CacheEvent, CacheSnapshot, EngineRole, Job, JobEvent, JobId, KvExport, LoadReport,
        ModelSettings, Order, OrderError, cache::PrefixCache, load::LoadReports, order::Orders,
    },
    quay_types::{ModelId, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Reciprocal of the latest step's weight in the moving average of step
/// durations.
const STEP_MEAN_DIVISOR: u32 = 16;

/// Slowdown factor, in per cent, of an engine at its normal speed.
const PER_CENT: u32 = 100;

/// A job in the batch.
#[derive(Debug)]
struct Running {
    job: Job,
    /// Number of tokens to prefill before the next token can be generated: the
    /// prompt, and after a preemption also the tokens generated before it.
    target: u32,
    /// Number of tokens whose KV content is in memory.
    held: u32,
    /// Number of tokens generated.
    output: u32,
    /// Number of blocks acquired, with and without a hash.
    blocks: u32,
    /// Number of acquired blocks without a hash.
    anonymous: u32,
    /// Number of prompt tokens prefilled by the step in progress.
    chunk: u32,
}

/// Engine with continuous batching that admits jobs in order of arrival, without
/// priorities.
#[derive(Debug)]
pub struct EngineModel {
    settings: ModelSettings,
    cache: PrefixCache,
    /// Jobs before admission, with the number of tokens generated before a
    /// preemption.
    waiting: VecDeque<(Job, u32)>,
    running: Vec<Running>,
    /// End of the step in progress.
    step_end: Option<Time>,
    /// Moving average of step durations.
    mean_step: Duration,
    /// Import time to add to the next step.
    pending_import_time: Duration,
    slowdown_per_cent: u32,
    down: bool,
    events: Vec<JobEvent>,
    reports: LoadReports,
    orders: Orders,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    #[must_use]
    pub fn new(settings: ModelSettings) -> Self {
        Self {
            cache: PrefixCache::new(&settings),
            waiting: VecDeque::new(),
            running: Vec::new(),
            step_end: None,
            mean_step: Duration::ZERO,
            pending_import_time: Duration::ZERO,
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

    /// Queues a job. Returns false if the engine is down or the job needs as many
    /// blocks as the whole KV memory, or more.
    pub fn submit(&mut self, now: Time, job: Job) -> bool {
        self.advance(now);
        let max_blocks = (job.prompt + job.output).div_ceil(self.settings.block_tokens);
        if self.down || max_blocks >= self.settings.kv_blocks {
            return false;
        }
        self.waiting.push_back((job, 0));
        self.start_step(now);
        true
    }

    /// Cancels a job at once; its blocks that have a hash stay cached.
    pub fn cancel(&mut self, now: Time, id: JobId) {
        self.advance(now);
        self.waiting.retain(|(job, _)| job.id != id);
        if let Some(at) = self.running.iter().position(|running| running.job.id == id) {
            let running = self.running.remove(at);
            self.release_blocks(now, &running);
        }
    }

    /// Time at which the step in progress ends; `None` if the engine is idle.
    #[must_use]
    pub const fn next_at(&self) -> Option<Time> {
        self.step_end
    }

    /// Runs all steps that end at or before `now`.
    pub fn advance(&mut self, now: Time) {
        while let Some(end) = self.step_end.filter(|end| *end <= now) {
            self.finish_step(end);
            self.start_step(end);
        }
        self.sample(now);
    }

    /// Removes and returns the job events since the last call.
    pub fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// Number of running and waiting jobs.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    // -----------------------------------------------------------------------
    // Faults

    /// Ends all jobs and clears the cache; the engine stays down until
    /// [`EngineModel::restart`].
    pub fn crash(&mut self, now: Time) {
        let lost = self.running.drain(..).map(|running| running.job.id);
        let lost = lost.chain(self.waiting.drain(..).map(|(job, _)| job.id));
        self.events
            .extend(lost.map(|job| JobEvent::Crashed { job, at: now }));
        self.cache.clear(now);
        self.step_end = None;
        self.down = true;
    }

    /// Restarts the engine after a crash.
    pub fn restart(&mut self) {
        self.down = false;
    }

    /// Whether the engine has crashed and has not been restarted.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Sets the duration of all later steps to `per_cent` of the normal duration.
    pub fn set_slowdown(&mut self, per_cent: u32) {
        self.slowdown_per_cent = per_cent;
    }

    // -----------------------------------------------------------------------
    // Cache

    /// Removes and returns the cache events published by `now`, without the lost
    /// ones.
    pub fn cache_events(&mut self, now: Time) -> Vec<CacheEvent> {
        self.cache.take_events(now - self.settings.event_lag)
    }

    /// Current content of the cache.
    #[must_use]
    pub fn cache_snapshot(&self) -> CacheSnapshot {
        self.cache.snapshot()
    }

    /// Exports the leading blocks that are cached.
    #[must_use]
    pub fn export(&self, blocks: &[u64]) -> KvExport {
        KvExport {
            blocks: blocks[..self.cache.matched(blocks)].into(),
        }
    }

    /// Imports exported blocks, the first `shared` of which are shared among
    /// programs. Returns how many fitted into the cache.
    pub fn import(&mut self, now: Time, export: &KvExport, shared: u32) -> usize {
        self.advance(now);
        let mut imported = 0;
        for (hash, depth) in export.blocks.iter().zip(0..) {
            let cached = self.cache.matched(&[*hash]) == 1;
            if !self.cache.acquire(now, *hash, depth, depth < shared) {
                break;
            }
            if !cached {
                self.pending_import_time += self.settings.import_per_block;
            }
            imported += 1;
        }
        for hash in &export.blocks[..imported] {
            self.cache.unpin(now, *hash);
        }
        imported
    }

    /// Evicts those of `blocks` that no running job uses.
    pub fn release(&mut self, now: Time, blocks: &[u64]) {
        self.cache.release(now, blocks);
    }

    /// Number of cached blocks that no running job uses, without those shared
    /// among programs.
    #[must_use]
    pub const fn idle_blocks(&self) -> usize {
        self.cache.idle()
    }

    // -----------------------------------------------------------------------
    // Load and orders

    /// Latest load report published by `now`.
    pub fn load(&mut self, now: Time) -> Option<LoadReport> {
        self.sample(now);
        self.reports.newest(now)
    }

    /// Applies an order.
    ///
    /// # Errors
    ///
    /// [`OrderError::StaleFence`] if the fence number is stale and the settings
    /// enable the check.
    pub fn order(&mut self, now: Time, order: Order) -> Result<(), OrderError> {
        self.orders.apply(now, order)
    }

    /// Models loaded by orders that can serve at `now`.
    pub fn models(&self, now: Time) -> impl Iterator<Item = ModelId> {
        self.orders.serving(now)
    }

    /// Role set by the latest role order.
    #[must_use]
    pub const fn role(&self) -> EngineRole {
        self.orders.role()
    }

    fn sample(&mut self, now: Time) {
        let report = LoadReport {
            at: now,
            running: saturating_u32(self.running.len()),
            waiting: saturating_u32(self.waiting.len()),
            kv_permille: self.cache.used_permille(),
            token_gap_us: u32::try_from(self.mean_step.as_micros()).unwrap_or(u32::MAX),
        };
        self.reports.sample(now, || report);
    }

    // -----------------------------------------------------------------------
    // Steps

    /// Starts the next step unless a step is in progress or there are no jobs.
    fn start_step(&mut self, now: Time) {
        if self.step_end.is_some() || self.down {
            return;
        }
        self.admit(now);
        if self.running.is_empty() {
            return;
        }
        let duration = self.plan_step();
        self.mean_step = (self.mean_step * (STEP_MEAN_DIVISOR - 1) + duration) / STEP_MEAN_DIVISOR;
        self.step_end = Some(now + duration);
    }

    /// Admits waiting jobs to the batch in order of arrival.
    fn admit(&mut self, now: Time) {
        while self.running.len() < self.settings.max_batch as usize {
            let Some((job, output)) = self.waiting.front() else {
                return;
            };
            let (target, output) = (job.prompt + output, *output);
            let hits = self.cached_blocks(job, target);
            let needed = target.div_ceil(self.settings.block_tokens) - hits;
            let fits = self.cache.available() > needed as usize;
            // If the batch is empty, the job is admitted even if it does not fit,
            // as it would otherwise wait for ever.
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
                blocks: hits,
                anonymous: 0,
                chunk: 0,
            });
        }
    }

    /// Number of leading blocks found in the cache. The last token is always
    /// computed, so its block never counts.
    fn cached_blocks(&self, job: &Job, target: u32) -> u32 {
        let full_blocks = target.saturating_sub(1) / self.settings.block_tokens;
        let known = job.blocks.len().min(full_blocks as usize);
        saturating_u32(self.cache.matched(&job.blocks[..known]))
    }

    /// Distributes the prefill tokens of the next step. Returns its duration.
    fn plan_step(&mut self) -> Duration {
        let mut prefill_left = self.settings.prefill_chunk;
        let (mut decoding, mut context_blocks) = (0, 0);
        for running in &mut self.running {
            let remaining = running.target.saturating_sub(running.held);
            running.chunk = remaining.min(prefill_left);
            prefill_left -= running.chunk;
            decoding += u32::from(remaining == 0);
            context_blocks += running.blocks;
        }
        let prefilled = self.settings.prefill_chunk - prefill_left;
        let duration = self.settings.step_base
            + self.settings.step_per_job * decoding
            + self.settings.step_per_block * context_blocks
            + self.settings.prefill_per_token * prefilled
            + std::mem::take(&mut self.pending_import_time);
        duration * self.slowdown_per_cent / PER_CENT
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
            if !self.advance_job(now, at) {
                // The KV memory is full: preempt the job admitted last.
                if self.preempt(now) == at {
                    break;
                }
                continue;
            }
            if self.running[at].output >= self.running[at].job.output {
                let running = self.running.remove(at);
                self.release_blocks(now, &running);
                self.events.push(JobEvent::Done {
                    job: running.job.id,
                    at: now,
                });
            } else {
                at += 1;
            }
        }
    }

    /// Applies the step to one job. Returns false if the KV memory is full.
    fn advance_job(&mut self, now: Time, at: usize) -> bool {
        let running = &mut self.running[at];
        let generates = running.held + running.chunk >= running.target;
        let held = if running.chunk > 0 {
            running.held + running.chunk
        } else if generates {
            running.held.max(running.target) + 1
        } else {
            return true;
        };
        while running.blocks < held.div_ceil(self.settings.block_tokens) {
            let depth = running.blocks;
            let known = running.job.blocks.get(depth as usize).copied();
            let acquired = match known {
                Some(hash) => self
                    .cache
                    .acquire(now, hash, depth, depth < running.job.shared),
                None => self.cache.acquire_anonymous(now),
            };
            if !acquired {
                return false;
            }
            running.anonymous += u32::from(known.is_none());
            running.blocks += 1;
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

    /// Moves the job admitted last back to the head of the queue. Returns its
    /// former index in the batch.
    fn preempt(&mut self, now: Time) -> usize {
        let Some(running) = self.running.pop() else {
            return 0;
        };
        self.release_blocks(now, &running);
        self.waiting.push_front((running.job, running.output));
        self.running.len()
    }

    /// Releases the blocks of a job; those with a hash stay cached.
    fn release_blocks(&mut self, now: Time, running: &Running) {
        let known = running.job.blocks.len().min(running.blocks as usize);
        for hash in &running.job.blocks[..known] {
            self.cache.unpin(now, *hash);
        }
        self.cache.free_anonymous(running.anonymous as usize);
    }
}

/// Converts a length to `u32`, saturating.
fn saturating_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
