//! What a leader knows of one peer.

use quay_types::{LogIndex, Time};

/// How entries are sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sending {
    /// One message at a time, until the logs are known to meet.
    Probe,
    /// Many messages at a time.
    Pipeline,
    /// A snapshot was sent at the given time.
    Snapshot(Time),
}

/// What a leader knows of one peer.
#[derive(Debug, Clone)]
pub struct Progress {
    /// Last entry known to be saved there. Only rises within a term.
    pub matched: LogIndex,
    /// Next entry to send; above `matched`.
    pub next: LogIndex,
    /// Messages with entries that are unanswered.
    pub unanswered: u32,
    /// When entries were last sent or answered.
    pub moved: Time,
    /// When the peer last answered.
    pub heard: Time,
    /// Latest round that the peer answered.
    pub round: u64,
    /// How entries are sent.
    pub sending: Sending,
}

impl Progress {
    /// Progress of a peer that nothing is known of.
    pub const fn new(next: LogIndex, now: Time) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            unanswered: 0,
            moved: now,
            heard: now,
            round: 0,
            sending: Sending::Probe,
        }
    }

    /// Takes an answer that the peer holds entries up to `index`.
    pub fn matched(&mut self, index: LogIndex, now: Time) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.moved = now;
        if index >= self.matched {
            self.matched = index;
            self.next = self.next.max(LogIndex(index.0 + 1));
            self.sending = Sending::Pipeline;
        }
    }

    /// Takes an answer that the entry at `prev` is not there.
    pub fn rejected(&mut self, prev: LogIndex, hint: LogIndex) {
        // An honest peer never rejects what it matched: the answer is late.
        if prev <= self.matched {
            return;
        }
        self.restart_from(LogIndex(prev.0.min(hint.0 + 1)));
    }

    /// Sends again from `next` on, one message at a time.
    pub fn restart_from(&mut self, next: LogIndex) {
        self.next = next.max(LogIndex(self.matched.0 + 1));
        self.unanswered = 0;
        self.sending = Sending::Probe;
    }
}
