//! Timeouts and limits of a replica.

use std::time::Duration;

/// A deliberate protocol error, with which tests show that the safety checks
/// detect it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mutation {
    /// Correct protocol.
    #[default]
    None,
    /// Replies before entries and votes are persisted.
    ReplyBeforePersist,
    /// Answers reads without confirmation by a quorum.
    ReadWithoutQuorum,
    /// Grants votes to candidates whose logs are less up to date.
    IgnoreLogCompleteness,
}

/// Timeouts and limits of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Interval between heartbeats of a leader.
    pub heartbeat: Duration,
    /// Minimum election timeout: the actual time without a leader after which a
    /// replica starts a pre-vote is drawn between this and twice this value. A
    /// leader that hears from no quorum for this long steps down.
    pub election: Duration,
    /// Minimum election timeout of a replica that has not heard from a leader
    /// since it started. May be shorter: the pre-vote prevents the replica from
    /// disturbing a live leader, and after a restart of all replicas there is
    /// no leader to wait for.
    pub startup_election: Duration,
    /// Time without contact to a quorum after which a leader refuses new
    /// requests.
    pub quorum_timeout: Duration,
    /// Time after which unacknowledged entries are sent again.
    pub resend: Duration,
    /// Time after which an unacknowledged snapshot is sent again, whatever the
    /// peer answers.
    pub snapshot_resend: Duration,
    /// Time for which a snapshot may stay unacknowledged after the peer has answered
    /// a message that was sent later; covers the write to the peer's disk.
    pub snapshot_ack: Duration,
    /// Maximum size of the entries in one message, in bytes. A larger single
    /// entry is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum number of unacknowledged append messages per peer.
    pub max_in_flight: u32,
    /// Number of entries covered by a snapshot that stay in memory, so that
    /// peers that lag slightly need no snapshot.
    pub keep_entries: u64,
    /// Size of these entries at most, in bytes. A snapshot is smaller than the entries of
    /// a peer that lags by more.
    pub keep_bytes: u64,
    /// Maximum number of entries that a learner may lack when it is promoted.
    pub max_promotion_lag: u64,
    /// Size of the entries that may wait in a leader's memory, in bytes. While more wait
    /// for a quorum, it refuses commands; if more wait for its own disk, it steps down.
    pub max_waiting_bytes: u64,
    /// Deliberate protocol error; only for tests of the safety checks.
    pub mutation: Mutation,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(500),
            // Longer than the round trip of a vote including its disk sync.
            startup_election: Duration::from_millis(150),
            quorum_timeout: Duration::from_millis(350),
            resend: Duration::from_millis(300),
            snapshot_resend: Duration::from_secs(10),
            snapshot_ack: Duration::from_secs(1),
            max_batch_bytes: 256 << 10,
            max_in_flight: 8,
            keep_entries: 4_096,
            keep_bytes: 8 << 20,
            max_promotion_lag: 64,
            max_waiting_bytes: 16 << 20,
            mutation: Mutation::None,
        }
    }
}
