//! Bytes held for each connection of a caller, and how long they have waited.

use {
    indexmap::IndexMap,
    quay_types::{AccountId, Time},
    std::time::Duration,
};

/// Number of a caller's connection, unique in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerConnection(pub u64);

/// For whom bytes are held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryHolder {
    /// Connection of the caller.
    pub connection: CallerConnection,
    /// Account of the caller, if any.
    pub account: Option<AccountId>,
}

/// A reader to be disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowReader {
    /// Its connection.
    pub connection: CallerConnection,
    /// Bytes that are held for it.
    pub held: u64,
    /// Time for which its oldest untaken byte has waited.
    pub stalled: Duration,
}

#[derive(Debug, Default)]
struct Caller {
    /// Bytes of all classes.
    held: u64,
    /// Bytes of a response that the caller has not taken.
    waiting: u64,
    /// Time before which everything is taken; `None` if nothing waits.
    waiting_since: Option<Time>,
    disconnected: bool,
}

/// Connections for which bytes are held.
#[derive(Debug, Default)]
pub struct Callers {
    callers: IndexMap<CallerConnection, Caller>,
    /// Bytes held for disconnected callers, which are about to be released.
    disconnected_bytes: u64,
}

impl Callers {
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    pub const fn disconnected_bytes(&self) -> u64 {
        self.disconnected_bytes
    }

    pub fn held(&self, connection: CallerConnection) -> u64 {
        self.callers.get(&connection).map_or(0, |it| it.held)
    }

    pub fn waiting(&self, connection: CallerConnection) -> u64 {
        self.callers.get(&connection).map_or(0, |it| it.waiting)
    }

    pub fn add(&mut self, connection: CallerConnection, bytes: u64) {
        if bytes == 0 {
            return;
        }
        let caller = self.callers.entry(connection).or_default();
        caller.held += bytes;
        if caller.disconnected {
            self.disconnected_bytes += bytes;
        }
    }

    pub fn remove(&mut self, connection: CallerConnection, bytes: u64) {
        let Some(caller) = self.callers.get_mut(&connection) else {
            return;
        };
        caller.held = caller.held.saturating_sub(bytes);
        if caller.disconnected {
            self.disconnected_bytes = self.disconnected_bytes.saturating_sub(bytes);
        }
        if caller.held == 0 {
            self.callers.swap_remove(&connection);
        }
    }

    pub fn record_waiting(&mut self, now: Time, connection: CallerConnection, bytes: u64) {
        if let Some(caller) = self.callers.get_mut(&connection) {
            caller.waiting += bytes;
            caller.waiting_since.get_or_insert(now);
        }
    }

    pub fn record_taken(&mut self, ready: Time, connection: CallerConnection, bytes: u64) {
        if let Some(caller) = self.callers.get_mut(&connection) {
            caller.waiting = caller.waiting.saturating_sub(bytes);
            caller.waiting_since = (caller.waiting > 0).then_some(ready);
        }
    }

    /// Marks the caller whose oldest byte has waited longest as disconnected. Among
    /// equal ones it is the caller for which the most bytes are held.
    pub fn disconnect_slowest(&mut self, now: Time, slow_after: Duration) -> Option<SlowReader> {
        let connected = self.callers.iter_mut().filter(|(_, it)| !it.disconnected);
        let stalled = connected.filter_map(|(connection, caller)| {
            let stalled = now.since(caller.waiting_since?);
            (stalled >= slow_after).then_some((stalled, caller.held, *connection, caller))
        });
        let slowest = stalled.max_by_key(|(stalled, held, connection, _)| {
            (*stalled, *held, std::cmp::Reverse(*connection))
        });
        let (stalled, held, connection, caller) = slowest?;
        caller.disconnected = true;
        self.disconnected_bytes += held;
        Some(SlowReader {
            connection,
            held,
            stalled,
        })
    }
}
