//! When a front reaches the stores through another front.
//!
//! A front may be cut off from control group and stores alone: other fronts
//! still reach them. The load that this answers is a data centre whose only
//! front is cut off; its callers have nowhere else to go.

use {
    quay_types::Time,
    std::{net::SocketAddr, time::Duration},
};

/// Time for which stores leave every question without an answer until another
/// front is tried: several times what a sync takes.
const SILENT: Duration = Duration::from_millis(400);

/// Interval at which other fronts are tried, one by one.
const TRY_EVERY: Duration = Duration::from_millis(200);

/// Interval at which the straight way is tried while there is a detour.
const STRAIGHT_EVERY: Duration = Duration::from_millis(500);

/// What to try next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trial {
    /// Whether this front reaches the stores.
    Through(SocketAddr),
    /// Whether the straight way leads there again.
    Straight,
}

/// The way from a front to the stores.
#[derive(Debug, Default)]
pub struct Detour {
    /// Other fronts.
    peers: Vec<SocketAddr>,
    /// The next one to try.
    next: usize,
    /// The front through which the stores are reached, if not straight.
    through: Option<SocketAddr>,
    /// Since when no store has answered, though one was asked.
    unanswered: Option<Time>,
    /// When something was tried last.
    tried: Option<Time>,
}

impl Detour {
    /// Learns other fronts.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        if !peers.is_empty() {
            self.peers = peers;
        }
    }

    /// The front through which stores are to be asked; `None` for straight.
    #[must_use]
    pub const fn through(&self) -> Option<SocketAddr> {
        self.through
    }

    /// A store was asked.
    pub fn asked(&mut self, now: Time) {
        self.unanswered.get_or_insert(now);
    }

    /// A store has answered.
    pub fn answered(&mut self) {
        self.unanswered = None;
    }

    /// What to try now, if anything.
    pub fn due(&mut self, now: Time) -> Option<Trial> {
        let since = |span: Duration| self.tried.is_none_or(|at| now.since(at) >= span);
        let silent = self.unanswered.is_some_and(|at| now.since(at) >= SILENT);
        let trial = match self.through {
            Some(_) if silent => {
                // That front has lost its way as well.
                self.through = None;
                self.peer()?
            }
            Some(_) if since(STRAIGHT_EVERY) => Trial::Straight,
            None if silent && since(TRY_EVERY) => self.peer()?,
            _ => return None,
        };
        self.tried = Some(now);
        Some(trial)
    }

    fn peer(&mut self) -> Option<Trial> {
        let peer = self
            .peers
            .get(self.next % self.peers.len().max(1))
            .copied()?;
        self.next = self.next.wrapping_add(1);
        Some(Trial::Through(peer))
    }

    /// A trial has reached a store; `true` if the way is another one now.
    pub fn reached(&mut self, trial: Trial) -> bool {
        let through = match trial {
            Trial::Through(peer) => Some(peer),
            Trial::Straight => None,
        };
        self.unanswered = None;
        std::mem::replace(&mut self.through, through) != through
    }
}
