//! Times and limits of a replica.

use std::time::Duration;

/// A decision that is wrong on purpose, so that a test can show that the
/// checks see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mutation {
    /// Every decision is right.
    #[default]
    None,
    /// Answers before entries and votes are saved.
    ReplyBeforePersist,
    /// Answers reads without asking a quorum.
    ReadWithoutQuorum,
    /// Grants votes to candidates with less complete logs.
    IgnoreLogCompleteness,
}

/// Times and limits of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Interval between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Least time without a leader after which a replica asks for votes; the
    /// actual time is drawn between this and twice this. A leader that hears no
    /// quorum for so long steps down.
    pub election: Duration,
    /// The same for a replica that has heard no leader since it started. Shorter:
    /// the pre-vote keeps it from disturbing one that lives, and after a restart
    /// of all nobody has one.
    pub startup_election: Duration,
    /// A leader that has heard no quorum for so long refuses new work.
    pub quorum_timeout: Duration,
    /// Time after which unanswered entries are sent again.
    pub resend: Duration,
    /// Time after which an unanswered snapshot is sent again.
    pub snapshot_resend: Duration,
    /// Bytes of entries in one message.
    pub max_batch_bytes: usize,
    /// Messages with entries that may be unanswered by one peer.
    pub max_in_flight: u32,
    /// Entries that stay in memory behind a snapshot, for peers that lag a little.
    pub keep_entries: u64,
    /// Entries that a learner may lack when it is promoted.
    pub max_promotion_lag: u64,
    /// A wrong decision, for tests of the checks only.
    pub mutation: Mutation,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(500),
            // Longer than a vote takes, with its sync.
            startup_election: Duration::from_millis(150),
            quorum_timeout: Duration::from_millis(350),
            resend: Duration::from_millis(300),
            snapshot_resend: Duration::from_secs(10),
            max_batch_bytes: 256 << 10,
            max_in_flight: 8,
            keep_entries: 4_096,
            max_promotion_lag: 64,
            mutation: Mutation::None,
        }
    }
}
