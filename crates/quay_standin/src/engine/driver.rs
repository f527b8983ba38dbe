//! Drives the engine model by the clock and hands its tokens to the answers.

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

/// Longest sleep of the driver.
const MAX_SLEEP: Duration = Duration::from_millis(200);

/// The model and the answers that wait for its tokens.
#[derive(Debug)]
struct Driven {
    model: EngineModel,
    jobs: IndexMap<JobId, Arc<Stream>>,
    next: u64,
}

/// A modelled engine in real time.
#[derive(Debug)]
pub struct Driver {
    driven: Mutex<Driven>,
    changed: Condvar,
    origin: Instant,
}

impl Driver {
    /// Starts the thread that drives a new model.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn start(settings: ModelSettings) -> io::Result<Arc<Self>> {
        let driver = Arc::new(Self {
            driven: Mutex::new(Driven {
                model: EngineModel::new(settings),
                jobs: IndexMap::new(),
                next: 0,
            }),
            changed: Condvar::new(),
            origin: Instant::now(),
        });
        let weak = Arc::downgrade(&driver);
        thread::Builder::new()
            .name("engine-model".into())
            .spawn(move || drive(&weak))?;
        Ok(driver)
    }

    /// Time since the engine started.
    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Locks the model.
    fn lock(&self) -> MutexGuard<'_, Driven> {
        self.driven.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a request over; its number, or `None` if it never fits.
    pub fn submit(&self, stream: &Arc<Stream>, blocks: &[u64], poison: bool) -> Option<JobId> {
        let narrow = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let mut driven = self.lock();
        driven.next += 1;
        let id = JobId(driven.next);
        let job = Job {
            id,
            blocks: blocks.into(),
            shared: 0,
            prompt: narrow(stream.prompt),
            output: narrow(stream.tokens),
            poison,
        };
        if !driven.model.submit(self.now(), job) {
            return None;
        }
        driven.jobs.insert(id, Arc::clone(stream));
        self.changed.notify_all();
        Some(id)
    }

    /// Takes a request out.
    pub fn cancel(&self, id: JobId) {
        let mut driven = self.lock();
        driven.model.cancel(self.now(), id);
        driven.jobs.shift_remove(&id);
    }

    /// Asks the model something.
    pub fn ask<T>(&self, ask: impl FnOnce(&mut EngineModel, Time) -> T) -> T {
        let now = self.now();
        let answer = ask(&mut self.lock().model, now);
        self.changed.notify_all();
        answer
    }

    /// Runs the steps that are due, then sleeps until the next.
    fn turn(&self) {
        let now = self.now();
        let mut driven = self.lock();
        driven.model.advance(now);
        for event in driven.model.take_events() {
            driven.tell(event);
        }
        let until = driven.model.next_at();
        let sleep = until.map_or(MAX_SLEEP, |at| at.since(now).min(MAX_SLEEP));
        let waited = self.changed.wait_timeout(driven, sleep);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

impl Driven {
    /// Tells an answer what happened to its job.
    fn tell(&mut self, event: JobEvent) {
        match event {
            JobEvent::Started { job, cached, .. } => {
                if let Some(stream) = self.jobs.get(&job) {
                    stream.change(|standing| standing.cached = u64::from(cached));
                }
            }
            JobEvent::Token { job, index, .. } => {
                if let Some(stream) = self.jobs.get(&job) {
                    stream.change(|standing| standing.tokens = u64::from(index) + 1);
                }
            }
            JobEvent::Done { job, .. } => {
                if let Some(stream) = self.jobs.shift_remove(&job) {
                    stream.change(|standing| standing.done = true);
                }
            }
            JobEvent::Crashed { job, .. } => {
                if let Some(stream) = self.jobs.shift_remove(&job) {
                    stream.change(|standing| standing.crashed = true);
                }
            }
        }
    }
}

/// Drives a model until its engine is dropped.
fn drive(driver: &Weak<Driver>) {
    while let Some(driver) = driver.upgrade() {
        driver.turn();
    }
}
