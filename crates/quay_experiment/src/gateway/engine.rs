//! An upstream: slots, batches of steps, and memory for prompts.

use {
    super::settings::EngineSettings,
    indexmap::IndexMap,
    quay_routes::PromptPart,
    std::{collections::VecDeque, time::Duration},
};

/// A request at an upstream.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identifier that the world gave it.
    pub id: u64,
    /// Parts of the prompt.
    pub prompt: Vec<PromptPart>,
    /// Number of prompt tokens that no upstream has read before.
    pub input: u64,
    /// Tokens to generate.
    pub answer: u32,
}

#[derive(Debug)]
struct Running {
    job: Job,
    /// Prompt tokens that are still to be read.
    unread: u64,
    /// Prompt tokens in memory.
    read: u64,
    generated: u32,
}

/// A part of a prompt in memory.
#[derive(Debug, Default)]
struct Kept {
    tokens: u64,
    used: u64,
    users: u32,
}

/// Tokens read, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokensRead {
    /// Of prompts' shared beginnings.
    pub shared: u64,
    /// Of conversations that some upstream had read or generated before.
    pub again: u64,
    /// Others.
    pub new: u64,
}

/// What happened in a step.
#[derive(Debug, Default)]
pub struct StepResult {
    /// Requests that generated their first token.
    pub first: Vec<u64>,
    /// Requests that generated their last token.
    pub ended: Vec<u64>,
}

/// A simulated upstream.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineSettings,
    queue: VecDeque<Job>,
    running: Vec<Running>,
    kept: IndexMap<u64, Kept>,
    kept_tokens: u64,
    clock: u64,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Tokens read so far.
    pub tokens: TokensRead,
    /// Number of requests that arrived.
    pub arrivals: u64,
}

impl Engine {
    pub fn new(cfg: EngineSettings) -> Self {
        Self {
            cfg,
            queue: VecDeque::new(),
            running: Vec::new(),
            kept: IndexMap::new(),
            kept_tokens: 0,
            clock: 0,
            stepping: false,
            tokens: TokensRead::default(),
            arrivals: 0,
        }
    }

    /// Number of requests that run and that wait.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// Takes a request. Returns `false` if the queue is full.
    pub fn push(&mut self, job: Job) -> bool {
        self.arrivals += 1;
        let room = self.queue.len() < self.cfg.queue;
        if room {
            self.queue.push_back(job);
        }
        room
    }

    /// Ends a request early.
    pub fn cancel(&mut self, id: u64) {
        self.queue.retain(|job| job.id != id);
        if let Some(at) = self.running.iter().position(|it| it.job.id == id) {
            let ended = self.running.remove(at);
            self.release(&ended.job);
        }
    }

    /// Begins a step. Returns its duration; `None` if there is nothing to run.
    pub fn begin_step(&mut self) -> Option<Duration> {
        while self.running.len() < self.cfg.slots {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            if let Err(job) = self.admit(job) {
                self.queue.push_front(job);
                break;
            }
        }
        if self.running.is_empty() {
            return None;
        }
        let context: u64 = self.running.iter().map(|it| it.read).sum();
        let mut us = self.cfg.step_us + self.cfg.context_us * context as f64 / 1e3;
        if let Some(reader) = self.running.iter_mut().find(|it| it.unread > 0) {
            let chunk = reader.unread.min(self.cfg.chunk);
            reader.unread -= chunk;
            reader.read += chunk;
            let pairs = chunk as f64 * reader.read as f64 / 1e6;
            us += 1e3 * (chunk as f64 / self.cfg.read_per_ms + pairs * self.cfg.pairs_ms);
        }
        self.stepping = true;
        Some(Duration::from_secs_f64(us / 1e6))
    }

    /// Ends the step in progress.
    pub fn end_step(&mut self) -> StepResult {
        self.stepping = false;
        let mut result = StepResult::default();
        for it in self.running.iter_mut().filter(|it| it.unread == 0) {
            it.generated += 1;
            it.read += 1;
            if it.generated == 1 {
                result.first.push(it.job.id);
            }
        }
        let done = |it: &Running| it.generated >= it.job.answer;
        let ended: Vec<Running> = self.running.extract_if(.., |it| done(it)).collect();
        for it in &ended {
            result.ended.push(it.job.id);
            self.release(&it.job);
            self.keep_answer(it);
        }
        result
    }

    /// Runs a request, if there is memory for its prompt and answer.
    fn admit(&mut self, job: Job) -> Result<(), Job> {
        self.clock += 1;
        let mut found = true;
        let mut unread = Vec::new();
        for part in &job.prompt {
            let kept = self.kept.get(&part.id).map_or(0, |it| it.tokens);
            let have = if found { kept.min(part.tokens) } else { 0 };
            found &= have == part.tokens;
            unread.push(part.tokens - have);
        }
        let missing: u64 = unread.iter().sum();
        // The request's own parts must not be evicted to make room for it.
        self.touch(&job, 1);
        if !self.make_room(missing + u64::from(job.answer)) {
            self.touch(&job, -1);
            return Err(job);
        }
        for part in &job.prompt {
            let kept = self.kept.entry(part.id).or_default();
            self.kept_tokens += part.tokens.saturating_sub(kept.tokens);
            kept.tokens = kept.tokens.max(part.tokens);
        }
        let shared = unread.first().copied().unwrap_or_default();
        let new = (missing - shared).min(job.input);
        self.tokens.shared += shared;
        self.tokens.new += new;
        self.tokens.again += missing - shared - new;
        let total: u64 = job.prompt.iter().map(|part| part.tokens).sum();
        self.running.push(Running {
            job,
            unread: missing.max(1),
            read: total - missing,
            generated: 0,
        });
        Ok(())
    }

    /// Marks the parts of a prompt as used, and changes the number of their users.
    fn touch(&mut self, job: &Job, users: i32) {
        for part in &job.prompt {
            let kept = self.kept.entry(part.id).or_default();
            kept.used = self.clock;
            kept.users = kept.users.saturating_add_signed(users);
        }
    }

    fn release(&mut self, job: &Job) {
        self.clock += 1;
        self.touch(job, -1);
    }

    /// Keeps the answer with the last part of the prompt.
    fn keep_answer(&mut self, ended: &Running) {
        let answer = u64::from(ended.job.answer);
        if let Some(part) = ended.job.prompt.last()
            && let Some(kept) = self.kept.get_mut(&part.id)
        {
            kept.tokens += answer;
            self.kept_tokens += answer;
        }
    }

    /// Evicts the parts that were not used for the longest time.
    fn make_room(&mut self, tokens: u64) -> bool {
        while self.kept_tokens + tokens > self.cfg.memory_tokens {
            let unused = self.kept.iter().filter(|(_, it)| it.users == 0);
            let oldest = unused.min_by_key(|(_, it)| it.used).map(|(id, _)| *id);
            let Some(evicted) = oldest.and_then(|id| self.kept.swap_remove(&id)) else {
                return false;
            };
            self.kept_tokens -= evicted.tokens;
        }
        true
    }
}
