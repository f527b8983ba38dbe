//! Replication progress of one peer, tracked by the leader.

use {
    crate::Settings,
    quay_types::{LogIndex, Time},
};

/// Mode in which entries are sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sending {
    /// One message at a time, until the position at which the logs match is
    /// known.
    Probe,
    /// Several messages in flight.
    Pipeline,
    /// A snapshot is on its way and not acknowledged yet.
    Snapshot(SnapshotTransfer),
}

/// A snapshot that a peer has not acknowledged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotTransfer {
    /// Time at which sending was requested.
    requested: Time,
    /// Latest heartbeat round at the time at which the snapshot was queued for the
    /// peer; `None` before. Later rounds are queued behind it.
    queued_at_round: Option<u64>,
    /// Time at which the peer answered a later round: messages arrive in order, so
    /// the snapshot has arrived by then or is lost.
    overtaken: Option<Time>,
}

impl SnapshotTransfer {
    /// Creates the transfer of a snapshot that is not queued yet.
    pub const fn new(now: Time) -> Self {
        Self {
            requested: now,
            queued_at_round: None,
            overtaken: None,
        }
    }

    /// Records that the snapshot was queued for the peer, behind heartbeat `round`.
    pub const fn record_queued(&mut self, round: u64) {
        self.queued_at_round = Some(round);
    }

    /// Records that the peer answered heartbeat `round`.
    fn record_round(&mut self, now: Time, round: u64) {
        if self.overtaken.is_none() && self.queued_at_round.is_some_and(|queued| queued < round) {
            self.overtaken = Some(now);
        }
    }

    /// Whether the snapshot counts as lost.
    pub fn is_overdue(&self, now: Time, cfg: &Settings) -> bool {
        now.since(self.requested) >= cfg.snapshot_resend
            || self
                .overtaken
                .is_some_and(|at| now.since(at) >= cfg.snapshot_ack)
    }
}

/// Replication progress of one peer.
#[derive(Debug, Clone)]
pub struct Progress {
    /// Last entry known to be persisted at the peer. Never decreases within a
    /// term.
    pub matched: LogIndex,
    /// Next entry to send; always greater than `matched`.
    pub next: LogIndex,
    /// Number of append messages that are not acknowledged yet.
    pub in_flight: u32,
    /// Time at which entries were last sent or acknowledged.
    pub last_activity: Time,
    /// Time at which the peer last answered any message.
    pub last_heard: Time,
    /// Latest heartbeat round that the peer answered.
    pub round: u64,
    /// Mode in which entries are sent.
    pub sending: Sending,
}

impl Progress {
    /// Creates the progress of a peer whose log is not known yet.
    pub const fn new(next: LogIndex, now: Time) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            in_flight: 0,
            last_activity: now,
            last_heard: now,
            round: 0,
            sending: Sending::Probe,
        }
    }

    /// Records that the peer answered a heartbeat round.
    pub fn record_round(&mut self, round: u64, now: Time) {
        self.round = self.round.max(round);
        if let Sending::Snapshot(transfer) = &mut self.sending {
            transfer.record_round(now, round);
        }
    }

    /// Records that the peer has persisted the entries up to `index`.
    pub fn record_match(&mut self, index: LogIndex, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_activity = now;
        if index >= self.matched {
            self.matched = index;
            self.next = self.next.max(LogIndex(index.0 + 1));
            self.sending = Sending::Pipeline;
        }
    }

    /// Handles a rejection: the peer's log does not match at `prev`.
    pub fn handle_rejection(&mut self, prev: LogIndex, hint: LogIndex) {
        // A peer never rejects an entry that it has acknowledged, so this
        // answer is outdated.
        if prev <= self.matched {
            return;
        }
        self.restart_from(LogIndex(prev.0.min(hint.0 + 1)));
    }

    /// Restarts sending at `next`, one message at a time.
    pub fn restart_from(&mut self, next: LogIndex) {
        self.next = next.max(LogIndex(self.matched.0 + 1));
        self.in_flight = 0;
        self.sending = Sending::Probe;
    }
}
