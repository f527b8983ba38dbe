//! Messages between the replicas of a group.

use {
    crate::{Entry, Position, SnapshotMeta},
    quay_types::{Epoch, LogIndex},
    serde::{Deserialize, Serialize},
};

/// Result of a [`Message::Append`] or [`Message::Snapshot`] at the follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower's log is persisted and equal to the leader's up to this
    /// index.
    Matched(LogIndex),
    /// The follower's entry before the new ones is missing or has another term.
    Rejected {
        /// Index of the entry before the new ones.
        prev: LogIndex,
        /// Last index up to which the logs may be equal.
        hint: LogIndex,
    },
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted; does not change the receiver's
    /// state.
    PreVote {
        /// Term in which the sender would campaign.
        term: Epoch,
        /// Position of the sender's last entry.
        last: Position,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// Requested term if the vote would be granted, otherwise the current
        /// term of the replying replica.
        term: Epoch,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Term of the candidate.
        term: Epoch,
        /// Position of the candidate's last entry.
        last: Position,
    },
    /// Answer to [`Message::Vote`], sent once the vote is persisted.
    VoteReply {
        /// Term of the voter.
        term: Epoch,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader.
    Append {
        /// Term of the leader.
        term: Epoch,
        /// Position of the entry before the new ones.
        prev: Position,
        /// New entries, in index order; may be empty.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
    },
    /// Answer to [`Message::Append`] and [`Message::Snapshot`], sent once the
    /// entries or the snapshot are persisted.
    AppendReply {
        /// Term of the follower.
        term: Epoch,
        /// Result of the append.
        outcome: AppendOutcome,
    },
    /// Periodic message that asserts leadership.
    Heartbeat {
        /// Term of the leader.
        term: Epoch,
        /// Index of the last committed entry that the receiver is known to
        /// have.
        commit: LogIndex,
        /// Heartbeat round, repeated in the answer to confirm reads.
        round: u64,
    },
    /// Answer to [`Message::Heartbeat`].
    HeartbeatReply {
        /// Term of the follower.
        term: Epoch,
        /// Round of the heartbeat that is answered.
        round: u64,
    },
    /// Snapshot for a follower that lacks entries which the leader has
    /// compacted.
    Snapshot {
        /// Term of the leader.
        term: Epoch,
        /// Position and membership that the snapshot covers.
        meta: SnapshotMeta,
        /// The encoded state.
        #[serde(with = "quay_types::bytes")]
        data: Box<[u8]>,
    },
}

impl Message {
    /// Term of the sender; for pre-vote messages, the term of the prospective
    /// election or, in a refusal, of the sender.
    #[must_use]
    pub const fn term(&self) -> Epoch {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::Snapshot { term, .. } => *term,
        }
    }
}
