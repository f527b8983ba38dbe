//! Streams of completions, which outlive the connections that read them.

use {
    crate::{
        engine::{EngineCounts, EngineSettings, driver::Driver},
        model::JobId,
    },
    indexmap::IndexMap,
    quay_types::block_hashes,
    std::{
        io, process,
        sync::{
            Arc, Condvar, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Prompt bytes counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Exit code of a simulated crash.
const CRASH_EXIT_CODE: i32 = 70;

/// Maximum wait for a token before a connection checks for stalls and crashes.
const TOKEN_WAIT: Duration = Duration::from_millis(100);

/// Maximum number of streams kept; completed streams can still be resumed. The
/// oldest stream is evicted first.
const MAX_STREAMS: usize = 4_096;

/// Progress of a completion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tokens generated.
    pub tokens: u64,
    /// Whether all tokens have been generated.
    pub done: bool,
    /// Whether the completion was cancelled.
    pub cancelled: bool,
    /// Whether the engine crashed before the completion was done.
    pub crashed: bool,
    /// Number of prompt tokens found in the prefix cache.
    pub cached: u64,
}

/// One completion.
#[derive(Debug)]
pub struct Stream {
    /// Number of tokens in the prompt.
    pub prompt: u64,
    /// Number of tokens that the completion will have.
    pub tokens: u64,
    /// Whether the request's token limit truncates the completion.
    pub limited: bool,
    progress: Mutex<Progress>,
    changed: Condvar,
    /// Job of the completion, if the engine has a model.
    job: Mutex<Option<JobId>>,
}

impl Stream {
    /// Locks the progress.
    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits, for at most [`TOKEN_WAIT`], until the completion has more than
    /// `tokens` tokens or ends.
    pub fn wait_beyond(&self, tokens: u64) -> Progress {
        let progress = self.progress();
        if progress.tokens > tokens || progress.done || progress.cancelled || progress.crashed {
            return *progress;
        }
        let waited = self.changed.wait_timeout(progress, TOKEN_WAIT);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Updates the progress and wakes waiting readers.
    pub fn update(&self, update: impl FnOnce(&mut Progress)) {
        update(&mut self.progress());
        self.changed.notify_all();
    }
}

/// All streams of one engine.
#[derive(Debug)]
pub struct Streams {
    settings: EngineSettings,
    driver: Option<Arc<Driver>>,
    by_id: Mutex<IndexMap<Box<str>, Arc<Stream>>>,
    /// Incremented to stall all connections that are open at that time.
    stall_epoch: AtomicU64,
    crashed: AtomicBool,
    started: AtomicU64,
    resumed: AtomicU64,
    cancelled: AtomicU64,
}

impl Streams {
    /// Creates an engine without streams, and starts its model if it has one.
    ///
    /// # Errors
    ///
    /// Fails if the model's thread cannot be created.
    pub fn new(settings: EngineSettings) -> io::Result<Self> {
        let driver = settings.model.map(Driver::start).transpose()?;
        Ok(Self {
            settings,
            driver,
            by_id: Mutex::default(),
            stall_epoch: AtomicU64::new(0),
            crashed: AtomicBool::new(false),
            started: AtomicU64::new(0),
            resumed: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
        })
    }

    /// Text of the token at position `written`, from 0.
    pub fn token_text(&self, written: u64) -> String {
        if !self.settings.stamps {
            return format!("word{written} ");
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        format!("us{} ", now.unwrap_or_default().as_micros())
    }

    /// Driver of the engine model, if there is one.
    pub fn driver(&self) -> Option<&Driver> {
        self.driver.as_deref()
    }

    /// Locks the streams.
    fn lock(&self) -> MutexGuard<'_, IndexMap<Box<str>, Arc<Stream>>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a stream, or returns the existing stream with this ID.
    pub fn start(self: &Arc<Self>, id: &str, prompt: &str, limit: Option<u64>) -> Arc<Stream> {
        let mut streams = self.lock();
        if let Some(stream) = streams.get(id) {
            return Arc::clone(stream);
        }
        let full_length = self.settings.answer_tokens;
        let tokens = limit.map_or(full_length, |limit| full_length.min(limit));
        let stream = Arc::new(Stream {
            prompt: prompt.len().div_ceil(BYTES_PER_TOKEN) as u64,
            tokens,
            limited: tokens < full_length,
            progress: Mutex::default(),
            changed: Condvar::new(),
            job: Mutex::default(),
        });
        if streams.len() >= MAX_STREAMS {
            streams.shift_remove_index(0);
        }
        streams.insert(id.into(), Arc::clone(&stream));
        self.started.fetch_add(1, Ordering::Relaxed);
        drop(streams);
        self.start_generation(&stream, prompt);
        stream
    }

    /// Starts generating the tokens of a stream, by the model if there is one.
    fn start_generation(self: &Arc<Self>, stream: &Arc<Stream>, prompt: &str) {
        let poison = self.is_poison(prompt);
        let Some(driver) = &self.driver else {
            let (engine, generated) = (Arc::clone(self), Arc::clone(stream));
            thread::spawn(move || engine.generate(&generated));
            return;
        };
        let job = driver.submit(stream, &block_hashes(prompt.as_bytes()), poison);
        *stream.job.lock().unwrap_or_else(PoisonError::into_inner) = job;
        if job.is_none() {
            stream.update(|progress| progress.cancelled = true);
        }
    }

    /// Whether the prompt crashes the engine.
    fn is_poison(&self, prompt: &str) -> bool {
        let poison = self.settings.poison.as_deref();
        poison.is_some_and(|poison| prompt.contains(poison))
    }

    /// Generates the tokens of one stream without a model.
    fn generate(&self, stream: &Stream) {
        thread::sleep(self.settings.prefill);
        for _ in 0..stream.tokens {
            if self.crashed() || stream.progress().cancelled {
                return;
            }
            stream.update(|progress| progress.tokens += 1);
            if !self.settings.token_gap.is_zero() {
                thread::sleep(self.settings.token_gap);
            }
        }
        stream.update(|progress| progress.done = true);
    }

    /// Finds the stream that a connection resumes, and counts the request.
    pub fn resume(&self, id: &str) -> Option<Arc<Stream>> {
        self.resumed.fetch_add(1, Ordering::Relaxed);
        self.lock().get(id).cloned()
    }

    /// Cancels a stream. Returns whether the ID is known.
    pub fn cancel(&self, id: &str) -> bool {
        let Some(stream) = self.lock().get(id).cloned() else {
            return false;
        };
        let job = *stream.job.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Some(driver), Some(job)) = (&self.driver, job) {
            driver.cancel(job);
        }
        stream.update(|progress| {
            if !progress.done && !progress.cancelled {
                progress.cancelled = true;
                self.cancelled.fetch_add(1, Ordering::Relaxed);
            }
        });
        true
    }

    /// Number that changes when open connections are stalled.
    pub fn stall_epoch(&self) -> u64 {
        self.stall_epoch.load(Ordering::Relaxed)
    }

    /// Stalls all open connections.
    pub fn stall_connections(&self) {
        self.stall_epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the engine has crashed.
    pub fn crashed(&self) -> bool {
        self.crashed.load(Ordering::Relaxed)
    }

    /// Crashes the engine; exits the process if the settings say so.
    pub fn crash(&self) {
        if self.settings.crash_exits {
            process::exit(CRASH_EXIT_CODE);
        }
        self.crashed.store(true, Ordering::Relaxed);
    }

    /// Crashes the engine if the prompt contains the poison text.
    pub fn crash_if_poison(&self, prompt: &str) {
        if self.is_poison(prompt) {
            self.crash();
        }
    }

    /// Current counters of the engine.
    pub fn counts(&self) -> EngineCounts {
        let streams = self.lock();
        let running = streams.values().filter(|stream| {
            let progress = stream.progress();
            !progress.done && !progress.cancelled
        });
        EngineCounts {
            started: self.started.load(Ordering::Relaxed),
            resumed: self.resumed.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
            running: running.count() as u64,
        }
    }
}
