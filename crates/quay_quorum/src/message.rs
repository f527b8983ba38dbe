//! Messages between the replicas of a group.

use {
    crate::{Entry, Position, SnapshotMeta},
    quay_types::{Epoch, LogIndex},
    serde::{Deserialize, Serialize},
};

/// How a follower took entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log is saved and equal to the leader's up to this index.
    Matched(LogIndex),
    /// The entry before the new ones is another or missing.
    Rejected {
        /// Index of the entry before the new ones.
        prev: LogIndex,
        /// The logs may be equal up to here; not after it.
        hint: LogIndex,
    },
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted; changes nothing at the receiver.
    PreVote {
        /// Term that the sender would campaign in.
        term: Epoch,
        /// Last entry of the sender.
        last: Position,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// The term that was asked for; if refused, the receiver's own.
        term: Epoch,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term of the candidate.
        term: Epoch,
        /// Last entry of the candidate.
        last: Position,
    },
    /// Answer to [`Message::Vote`], sent once the vote is saved.
    VoteReply {
        /// Term of the voter.
        term: Epoch,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries from the leader.
    Append {
        /// Term of the leader.
        term: Epoch,
        /// Entry before the new ones.
        prev: Position,
        /// New entries, in order.
        entries: Vec<Entry>,
        /// Last entry that the leader knows as committed.
        commit: LogIndex,
    },
    /// Answer to [`Message::Append`] and [`Message::Snapshot`], sent once the
    /// entries are saved.
    AppendReply {
        /// Term of the follower.
        term: Epoch,
        /// How it took the entries.
        outcome: AppendOutcome,
    },
    /// The leader is alive.
    Heartbeat {
        /// Term of the leader.
        term: Epoch,
        /// Last committed entry that the receiver is known to hold.
        commit: LogIndex,
        /// Number that the answer repeats; confirms reads.
        round: u64,
    },
    /// Answer to [`Message::Heartbeat`].
    HeartbeatReply {
        /// Term of the follower.
        term: Epoch,
        /// Number of the heartbeat.
        round: u64,
    },
    /// State for a follower that lacks entries which are no longer kept.
    Snapshot {
        /// Term of the leader.
        term: Epoch,
        /// What the snapshot stands for.
        meta: SnapshotMeta,
        /// The encoded state.
        #[serde(with = "quay_types::bytes")]
        data: Box<[u8]>,
    },
}

impl Message {
    /// Term of the sender, or the term that a pre-vote is about.
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
