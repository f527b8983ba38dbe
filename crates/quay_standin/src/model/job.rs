//! Jobs of an engine and their events.

use {quay_types::Time, std::sync::Arc};

/// Job ID, assigned by the caller; unique within one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// One request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// ID of the job.
    pub id: JobId,
    /// Chained hashes of the full blocks of the prompt, and of those of the
    /// output that are known in advance.
    pub blocks: Arc<[u64]>,
    /// Number of leading blocks shared by many programs; not counted by
    /// [`EngineModel::idle_blocks`].
    ///
    /// [`EngineModel::idle_blocks`]: super::EngineModel::idle_blocks
    pub shared: u32,
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Number of tokens to generate.
    pub output: u32,
    /// Whether the job crashes the engine in the first step that it joins.
    pub poison: bool,
}

/// Event of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEvent {
    /// The job joined the batch. Repeated after each preemption.
    Started {
        /// The job.
        job: JobId,
        /// Time of the event.
        at: Time,
        /// Number of prompt tokens found in the cache.
        cached: u32,
    },
    /// A token was generated.
    Token {
        /// The job.
        job: JobId,
        /// Time of the event.
        at: Time,
        /// Position of the token, from 0.
        index: u32,
    },
    /// The job generated its last token.
    Done {
        /// The job.
        job: JobId,
        /// Time of the event.
        at: Time,
    },
    /// The job ended because the engine crashed.
    Crashed {
        /// The job.
        job: JobId,
        /// Time of the event.
        at: Time,
    },
}
