//! Answers in progress, which outlive the connections that read them.

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

/// Bytes of prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Exit code of an engine that crashed on purpose.
const CRASHED: i32 = 70;

/// Longest wait for a token before a connection looks around.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Answers that are kept after their end, for late resumes.
const KEPT: usize = 4_096;

/// Where an answer stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Tokens generated.
    pub tokens: u64,
    /// Whether it is whole.
    pub done: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether the engine crashed before it was whole.
    pub crashed: bool,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
}

/// One answer.
#[derive(Debug)]
pub struct Stream {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that the answer will have.
    pub tokens: u64,
    /// Whether the request's limit cuts it.
    pub limited: bool,
    standing: Mutex<Standing>,
    moved: Condvar,
    /// Its job, if the engine is modelled.
    job: Mutex<Option<JobId>>,
}

impl Stream {
    /// Locks where the answer stands.
    fn standing(&self) -> MutexGuard<'_, Standing> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for more than `tokens` tokens or the end, for a while.
    pub fn wait_beyond(&self, tokens: u64) -> Standing {
        let standing = self.standing();
        if standing.tokens > tokens || standing.done || standing.cancelled || standing.crashed {
            return *standing;
        }
        let waited = self.moved.wait_timeout(standing, LOOK_EVERY);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Changes where the answer stands and wakes its readers.
    pub fn change(&self, change: impl FnOnce(&mut Standing)) {
        change(&mut self.standing());
        self.moved.notify_all();
    }
}

/// Every answer of one engine.
#[derive(Debug)]
pub struct Streams {
    settings: EngineSettings,
    driver: Option<Arc<Driver>>,
    known: Mutex<IndexMap<Box<str>, Arc<Stream>>>,
    /// Rises when open connections fall silent.
    silence: AtomicU64,
    crashed: AtomicBool,
    started: AtomicU64,
    resumed: AtomicU64,
    cancelled: AtomicU64,
}

impl Streams {
    /// No answers yet.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn new(settings: EngineSettings) -> io::Result<Self> {
        let driver = settings.model.map(Driver::start).transpose()?;
        Ok(Self {
            settings,
            driver,
            known: Mutex::default(),
            silence: AtomicU64::new(0),
            crashed: AtomicBool::new(false),
            started: AtomicU64::new(0),
            resumed: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
        })
    }

    /// Text of the token after `written` others.
    pub fn word(&self, written: u64) -> String {
        if !self.settings.stamps {
            return format!("word{written} ");
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        format!("us{} ", now.unwrap_or_default().as_micros())
    }

    /// The modelled engine, if there is one.
    pub fn driver(&self) -> Option<&Driver> {
        self.driver.as_deref()
    }

    /// Locks the answers.
    fn known(&self) -> MutexGuard<'_, IndexMap<Box<str>, Arc<Stream>>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins an answer, or finds the one that `id` began before.
    pub fn start(self: &Arc<Self>, id: &str, prompt: &str, limit: Option<u64>) -> Arc<Stream> {
        let mut streams = self.known();
        if let Some(stream) = streams.get(id) {
            return Arc::clone(stream);
        }
        let whole = self.settings.answer_tokens;
        let tokens = limit.map_or(whole, |limit| whole.min(limit));
        let stream = Arc::new(Stream {
            prompt: prompt.len().div_ceil(BYTES_PER_TOKEN) as u64,
            tokens,
            limited: tokens < whole,
            standing: Mutex::default(),
            moved: Condvar::new(),
            job: Mutex::default(),
        });
        if streams.len() >= KEPT {
            streams.shift_remove_index(0);
        }
        streams.insert(id.into(), Arc::clone(&stream));
        self.started.fetch_add(1, Ordering::Relaxed);
        drop(streams);
        self.run(&stream, prompt);
        stream
    }

    /// Has the tokens of an answer made.
    fn run(self: &Arc<Self>, stream: &Arc<Stream>, prompt: &str) {
        let poison = self.is_poison(prompt);
        let Some(driver) = &self.driver else {
            let (engine, generated) = (Arc::clone(self), Arc::clone(stream));
            thread::spawn(move || engine.generate(&generated));
            return;
        };
        let job = driver.submit(stream, &block_hashes(prompt.as_bytes()), poison);
        *stream.job.lock().unwrap_or_else(PoisonError::into_inner) = job;
        if job.is_none() {
            stream.change(|standing| standing.cancelled = true);
        }
    }

    /// Whether a prompt crashes the engine.
    fn is_poison(&self, prompt: &str) -> bool {
        let poison = self.settings.poison.as_deref();
        poison.is_some_and(|poison| prompt.contains(poison))
    }

    /// Generates the tokens of one answer.
    fn generate(&self, stream: &Stream) {
        thread::sleep(self.settings.prefill);
        for _ in 0..stream.tokens {
            if self.crashed() || stream.standing().cancelled {
                return;
            }
            stream.change(|standing| standing.tokens += 1);
            if !self.settings.token_gap.is_zero() {
                thread::sleep(self.settings.token_gap);
            }
        }
        stream.change(|standing| standing.done = true);
    }

    /// The answer of an id, for a connection that goes on with it.
    pub fn resume(&self, id: &str) -> Option<Arc<Stream>> {
        self.resumed.fetch_add(1, Ordering::Relaxed);
        self.known().get(id).cloned()
    }

    /// Cancels an answer; whether it was known.
    pub fn cancel(&self, id: &str) -> bool {
        let Some(stream) = self.known().get(id).cloned() else {
            return false;
        };
        let job = *stream.job.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Some(driver), Some(job)) = (&self.driver, job) {
            driver.cancel(job);
        }
        stream.change(|standing| {
            if !standing.done && !standing.cancelled {
                standing.cancelled = true;
                self.cancelled.fetch_add(1, Ordering::Relaxed);
            }
        });
        true
    }

    /// Number that changes when open connections fall silent.
    pub fn silence_number(&self) -> u64 {
        self.silence.load(Ordering::Relaxed)
    }

    /// Makes open connections silent.
    pub fn stall_connections(&self) {
        self.silence.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the engine has crashed.
    pub fn crashed(&self) -> bool {
        self.crashed.load(Ordering::Relaxed)
    }

    /// Crashes the engine.
    pub fn crash(&self) {
        if self.settings.crash_exits {
            process::exit(CRASHED);
        }
        self.crashed.store(true, Ordering::Relaxed);
    }

    /// Crashes if `prompt` is poison.
    pub fn swallow(&self, prompt: &str) {
        if self.is_poison(prompt) {
            self.crash();
        }
    }

    /// What the engine has counted.
    pub fn counts(&self) -> EngineCounts {
        let streams = self.known();
        let running = streams.values().filter(|stream| {
            let standing = stream.standing();
            !standing.done && !standing.cancelled
        });
        EngineCounts {
            started: self.started.load(Ordering::Relaxed),
            resumed: self.resumed.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
            running: running.count() as u64,
        }
    }
}
