//! Jobs and what an engine says of them.

use {quay_types::Time, std::sync::Arc};

/// A job of one engine; the caller gives each a number of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// One request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Number of the job.
    pub id: JobId,
    /// Chained hashes of the whole blocks of the prompt, and of the answer as
    /// far as it is known beforehand.
    pub blocks: Arc<[u64]>,
    /// Leading blocks that many programs share; left out of [`EngineModel::idle_blocks`].
    ///
    /// [`EngineModel::idle_blocks`]: super::EngineModel::idle_blocks
    pub shared: u32,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens to generate.
    pub output: u32,
    /// Whether the job crashes the engine once it runs.
    pub poison: bool,
}

/// What an engine says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEvent {
    /// The job joined the batch; once more after each preemption.
    Started {
        /// The job.
        job: JobId,
        /// When.
        at: Time,
        /// Prompt tokens that were found in the cache.
        cached: u32,
    },
    /// A token was generated.
    Token {
        /// The job.
        job: JobId,
        /// When.
        at: Time,
        /// Position of the token, from 0.
        index: u32,
    },
    /// The job ended after its last token.
    Done {
        /// The job.
        job: JobId,
        /// When.
        at: Time,
    },
    /// The job ended because the engine crashed.
    Crashed {
        /// The job.
        job: JobId,
        /// When.
        at: Time,
    },
}
