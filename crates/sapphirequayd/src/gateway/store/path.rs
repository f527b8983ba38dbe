//! Path from a front to the store hosts: direct, or relayed by another front.
//!
//! A network partition may cut one front off from the control group and the
//! stores while other fronts still reach them. Relaying serves a data centre
//! whose only front is cut off: its callers have no other front to fail over to.

use {
    quay_types::Time,
    std::{net::SocketAddr, time::Duration},
};

/// Time without a reply from any store after which other fronts are probed as
/// relays: several times the duration of a disk sync.
const SILENCE_BEFORE_RELAY: Duration = Duration::from_millis(400);

/// Interval between probes of relays, which are probed one at a time.
const RELAY_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between probes of the direct path while a relay is in use.
const DIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Path to probe next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathProbe {
    /// Through the front at this address.
    Relay(SocketAddr),
    /// From this front to the stores.
    Direct,
}

/// Selects the path from a front to the stores.
#[derive(Debug, Default)]
pub struct StorePath {
    /// Other fronts, which can act as relays.
    peers: Vec<SocketAddr>,
    /// Index, modulo the number of peers, of the peer to probe next.
    next_peer: usize,
    /// Front that relays requests to the stores; `None` for the direct path.
    relay: Option<SocketAddr>,
    /// Time of the first request since the last reply of any store.
    unanswered_since: Option<Time>,
    /// Time of the latest probe.
    last_probe: Option<Time>,
}

impl StorePath {
    /// Replaces the other fronts. An empty list is ignored, so that the known
    /// relays stay usable.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        if !peers.is_empty() {
            self.peers = peers;
        }
    }

    /// Front that relays requests to the stores; `None` for the direct path.
    #[must_use]
    pub const fn relay(&self) -> Option<SocketAddr> {
        self.relay
    }

    /// Records that a request was sent to a store.
    pub fn record_request(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a store replied.
    pub fn record_reply(&mut self) {
        self.unanswered_since = None;
    }

    /// Path to probe now, if a probe is due.
    pub fn next_probe(&mut self, now: Time) -> Option<PathProbe> {
        let since = |span: Duration| self.last_probe.is_none_or(|at| now.since(at) >= span);
        let silent = self
            .unanswered_since
            .is_some_and(|at| now.since(at) >= SILENCE_BEFORE_RELAY);
        let probe = match self.relay {
            Some(_) if silent => {
                // The relay no longer reaches the stores either.
                self.relay = None;
                self.next_peer()?
            }
            Some(_) if since(DIRECT_PROBE_INTERVAL) => PathProbe::Direct,
            None if silent && since(RELAY_PROBE_INTERVAL) => self.next_peer()?,
            _ => return None,
        };
        self.last_probe = Some(now);
        Some(probe)
    }

    fn next_peer(&mut self) -> Option<PathProbe> {
        let peer = self
            .peers
            .get(self.next_peer % self.peers.len().max(1))
            .copied()?;
        self.next_peer = self.next_peer.wrapping_add(1);
        Some(PathProbe::Relay(peer))
    }

    /// Records that a probe reached a store, and selects its path. Returns
    /// `true` if the path changed.
    pub fn record_success(&mut self, probe: PathProbe) -> bool {
        let relay = match probe {
            PathProbe::Relay(peer) => Some(peer),
            PathProbe::Direct => None,
        };
        self.unanswered_since = None;
        std::mem::replace(&mut self.relay, relay) != relay
    }
}
