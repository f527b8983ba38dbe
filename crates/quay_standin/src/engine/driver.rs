//! Runs the engine model in real time and forwards its events to the streams.

use {
    crate::{
        engine::stream::Stream,
        model::{EngineModel, Job, JobEvent, JobId, ModelSettings},
    },
    indexmap::IndexMap,
    quay_types::Time,
    std::{
        io,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak},
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum sleep of the driver thread, after which it checks whether the driver
/// still exists.
const MAX_SLEEP: Duration = Duration::from_millis(200);

/// The model, and the streams of the jobs in progress.
#[derive(Debug)]
struct DriverState {
    model: EngineModel,
    jobs: IndexMap<JobId, Arc<Stream>>,
    last_id: u64,
}

/// Runs an [`EngineModel`] in real time.
#[derive(Debug)]
pub struct Driver {
    state: Mutex<DriverState>,
    changed: Condvar,
    origin: Instant,
}

impl Driver {
    /// Starts the driver thread with a new model.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn start(settings: ModelSettings) -> io::Result<Arc<Self>> {
        let driver = Arc::new(Self {
            state: Mutex::new(DriverState {
                model: EngineModel::new(settings),
                jobs: IndexMap::new(),
                last_id: 0,
            }),
            changed: Condvar::new(),
            origin: Instant::now(),
        });
        let weak = Arc::downgrade(&driver);
        thread::Builder::new()
            .name("engine-model".into())
            .spawn(move || run_driver(&weak))?;
        Ok(driver)
    }

    /// Time since the driver started.
    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Submits a request to the model. Returns its job, or `None` if the engine is
    /// down or the request exceeds the engine's KV memory.
    pub fn submit(&self, stream: &Arc<Stream>, blocks: &[u64], poison: bool) -> Option<JobId> {
        let saturate = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let mut state = self.lock();
        state.last_id += 1;
        let id = JobId(state.last_id);
        let job = Job {
            id,
            blocks: blocks.into(),
            shared: 0,
            prompt: saturate(stream.prompt),
            output: saturate(stream.tokens),
            poison,
        };
        if !state.model.submit(self.now(), job) {
            return None;
        }
        state.jobs.insert(id, Arc::clone(stream));
        self.changed.notify_all();
        Some(id)
    }

    /// Cancels a job.
    pub fn cancel(&self, id: JobId) {
        let mut state = self.lock();
        state.model.cancel(self.now(), id);
        state.jobs.shift_remove(&id);
    }

    /// Calls `f` with the model and the current time.
    pub fn with_model<T>(&self, f: impl FnOnce(&mut EngineModel, Time) -> T) -> T {
        let now = self.now();
        let result = f(&mut self.lock().model, now);
        self.changed.notify_all();
        result
    }

    /// Runs the steps that are due, then waits for the next step or a change.
    fn run_due_steps(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.model.advance(now);
        for event in state.model.take_events() {
            state.forward(event);
        }
        let until = state.model.next_at();
        let sleep = until.map_or(MAX_SLEEP, |at| at.since(now).min(MAX_SLEEP));
        let waited = self.changed.wait_timeout(state, sleep);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

impl DriverState {
    /// Forwards an event of a job to its stream.
    fn forward(&mut self, event: JobEvent) {
        match event {
            JobEvent::Started { job, cached, .. } => {
                if let Some(stream) = self.jobs.get(&job) {
                    stream.update(|progress| progress.cached = u64::from(cached));
                }
            }
            JobEvent::Token { job, index, .. } => {
                if let Some(stream) = self.jobs.get(&job) {
                    stream.update(|progress| progress.tokens = u64::from(index) + 1);
                }
            }
            JobEvent::Done { job, .. } => {
                if let Some(stream) = self.jobs.shift_remove(&job) {
                    stream.update(|progress| progress.done = true);
                }
            }
            JobEvent::Crashed { job, .. } => {
                if let Some(stream) = self.jobs.shift_remove(&job) {
                    stream.update(|progress| progress.crashed = true);
                }
            }
        }
    }
}

/// Body of the driver thread; returns once the driver is dropped.
fn run_driver(driver: &Weak<Driver>) {
    while let Some(driver) = driver.upgrade() {
        driver.run_due_steps();
    }
}
