//! Connections of callers: bytes that are held for each, and how long a caller has made
//! no progress.

use {
    indexmap::IndexMap,
    quay_types::{AccountId, Time},
    std::{cmp::Reverse, time::Duration},
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

/// What a connection is used for at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte has arrived yet.
    #[default]
    Unused,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request has arrived completely and is not answered yet.
    Running,
    /// A request was answered, and the next one has not begun.
    Idle,
}

/// Why a connection is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Its caller takes a response too slowly, and memory is short.
    SlowReader,
    /// Its caller sends a request too slowly, and memory is short.
    SlowSender,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// Another connection takes its place.
    Replaced,
    /// The host shuts down, and no complete request has arrived.
    Shutdown,
}

impl EndReason {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::SlowReader => "slow_reader",
            Self::SlowSender => "slow_sender",
            Self::HeadTimeout => "head_timeout",
            Self::Replaced => "replaced",
            Self::Shutdown => "shutdown",
        }
    }
}

/// A connection that is to be ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedConnection {
    /// The connection.
    pub connection: CallerConnection,
    /// Why it is ended.
    pub reason: EndReason,
    /// What it was used for.
    pub phase: ConnectionPhase,
    /// Bytes that are held for it.
    pub held: u64,
    /// Time for which its caller has made no progress.
    pub stalled: Duration,
}

#[derive(Debug)]
struct Caller {
    /// Bytes of all classes.
    held: u64,
    /// Part of them that the connection itself takes.
    own: u64,
    /// Bytes of a response that the caller has not taken.
    waiting: u64,
    /// Time before which everything is taken; `None` if nothing waits.
    waiting_since: Option<Time>,
    phase: ConnectionPhase,
    /// Time at which the phase began, or at which the body last made progress.
    progressed: Time,
    /// Whether bytes have arrived behind the request that is not answered yet.
    behind: bool,
    /// Whether the connection is open, or only bytes are left that were held for it.
    open: bool,
    /// Whether the connection is to be ended.
    ending: bool,
}

impl Caller {
    const fn new(now: Time, open: bool) -> Self {
        Self {
            held: 0,
            own: 0,
            waiting: 0,
            waiting_since: None,
            phase: ConnectionPhase::Unused,
            progressed: now,
            behind: false,
            open,
            ending: false,
        }
    }

    const fn is_sending(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Head | ConnectionPhase::Body)
    }
}

/// Connections of callers. Invariant: an entry is open, or bytes are held for it.
#[derive(Debug, Default)]
pub struct Callers {
    all: IndexMap<CallerConnection, Caller>,
    /// Number of open connections that are not to be ended.
    open: usize,
    /// Bytes held for connections that are to be ended, which are about to be released.
    ending_bytes: u64,
    /// Part of them that the connections themselves take.
    ending_own: u64,
}

impl Callers {
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Number of open connections that are not to be ended.
    pub const fn open(&self) -> usize {
        self.open
    }

    pub const fn ending_bytes(&self) -> u64 {
        self.ending_bytes
    }

    pub const fn ending_own(&self) -> u64 {
        self.ending_own
    }

    pub fn held(&self, connection: CallerConnection) -> u64 {
        self.all.get(&connection).map_or(0, |it| it.held)
    }

    pub fn waiting(&self, connection: CallerConnection) -> u64 {
        self.all.get(&connection).map_or(0, |it| it.waiting)
    }

    /// Adds an open connection.
    pub fn connect(&mut self, now: Time, connection: CallerConnection) {
        self.all.insert(connection, Caller::new(now, true));
        self.open += 1;
    }

    /// Records that a connection is closed.
    pub fn close(&mut self, connection: CallerConnection) {
        let Some(caller) = self.all.get_mut(&connection) else {
            return;
        };
        if caller.open && !caller.ending {
            self.open -= 1;
        }
        caller.open = false;
        if caller.held == 0 {
            self.all.swap_remove(&connection);
        }
    }

    /// Adds bytes that are held for a connection; `own` tells whether the connection
    /// itself takes them.
    pub fn add(&mut self, connection: CallerConnection, bytes: u64, own: bool) {
        if bytes == 0 {
            return;
        }
        let own = if own { bytes } else { 0 };
        let absent = || Caller::new(Time::ZERO, false);
        let caller = self.all.entry(connection).or_insert_with(absent);
        caller.held += bytes;
        caller.own += own;
        if caller.ending {
            self.ending_bytes += bytes;
            self.ending_own += own;
        }
    }

    /// Removes bytes that [`add`](Self::add) added.
    pub fn remove(&mut self, connection: CallerConnection, bytes: u64, own: bool) {
        let Some(caller) = self.all.get_mut(&connection) else {
            return;
        };
        let own = if own { bytes } else { 0 };
        caller.held = caller.held.saturating_sub(bytes);
        caller.own = caller.own.saturating_sub(own);
        if caller.ending {
            self.ending_bytes = self.ending_bytes.saturating_sub(bytes);
            self.ending_own = self.ending_own.saturating_sub(own);
        }
        if caller.held == 0 && !caller.open {
            self.all.swap_remove(&connection);
        }
    }

    pub fn record_waiting(&mut self, now: Time, connection: CallerConnection, bytes: u64) {
        if let Some(caller) = self.all.get_mut(&connection) {
            caller.waiting += bytes;
            caller.waiting_since.get_or_insert(now);
        }
    }

    pub fn record_taken(&mut self, ready: Time, connection: CallerConnection, bytes: u64) {
        if let Some(caller) = self.all.get_mut(&connection) {
            caller.waiting = caller.waiting.saturating_sub(bytes);
            caller.waiting_since = (caller.waiting > 0).then_some(ready);
        }
    }

    /// Records that a phase of a connection begins, or that the body in it made progress.
    pub fn record_phase(
        &mut self,
        now: Time,
        connection: CallerConnection,
        phase: ConnectionPhase,
    ) {
        if let Some(caller) = self.all.get_mut(&connection) {
            caller.phase = phase;
            caller.progressed = now;
            caller.behind = false;
        }
    }

    /// Records that bytes have arrived behind the request that is not answered yet.
    pub fn record_behind(&mut self, connection: CallerConnection) {
        if let Some(caller) = self.all.get_mut(&connection) {
            caller.behind = true;
        }
    }

    // -----------------------------------------------------------------------
    // Who goes

    /// Ends the reader whose oldest byte has waited longest, and at least `slow_after`.
    /// Among equal ones it is the one for which the most bytes are held.
    pub fn end_slowest_reader(
        &mut self,
        now: Time,
        slow_after: Duration,
    ) -> Option<EndedConnection> {
        self.end_worst(EndReason::SlowReader, |caller| {
            let stalled = now.since(caller.waiting_since?);
            (stalled >= slow_after).then_some((stalled, stalled, caller.held))
        })
    }

    /// Ends the sender that has made no progress for at least `slow_after` and for which
    /// the most is held for the longest: the product of bytes and time decides.
    pub fn end_slowest_sender(
        &mut self,
        now: Time,
        slow_after: Duration,
    ) -> Option<EndedConnection> {
        self.end_worst(EndReason::SlowSender, |caller| {
            let stalled = now.since(caller.progressed);
            let slow = caller.is_sending() && stalled >= slow_after;
            slow.then(|| (stalled, u128::from(caller.held) * stalled.as_millis(), 0))
        })
    }

    /// Ends the connection whose head has been arriving for longest, and longer than
    /// `time_out`.
    pub fn end_late_head(&mut self, now: Time, time_out: Duration) -> Option<EndedConnection> {
        self.end_worst(EndReason::HeadTimeout, |caller| {
            let stalled = now.since(caller.progressed);
            let late = caller.phase == ConnectionPhase::Head && stalled > time_out;
            late.then_some((stalled, stalled, 0))
        })
    }

    /// Ends a connection of which nothing is lost but a request that has stood still for
    /// at least `slow_after`. Idle ones close by themselves, once their last response is
    /// written.
    pub fn end_unused(&mut self, now: Time, slow_after: Duration) -> Option<EndedConnection> {
        self.end_worst(EndReason::Shutdown, |caller| {
            let stalled = now.since(caller.progressed);
            let waits = !matches!(
                caller.phase,
                ConnectionPhase::Running | ConnectionPhase::Idle
            );
            (waits && stalled >= slow_after).then_some((stalled, stalled, 0))
        })
    }

    /// Ends the connection that another one replaces: a slow sender, else one that has
    /// sent nothing or a part of a head, else the one that has been idle for longest,
    /// else one that sends on before its request is answered. `None` if all others carry
    /// requests.
    pub fn end_replaced(&mut self, now: Time, slow_after: Duration) -> Option<EndedConnection> {
        self.end_worst(EndReason::Replaced, |caller| {
            let stalled = now.since(caller.progressed);
            let rank = match caller.phase {
                ConnectionPhase::Head | ConnectionPhase::Body if stalled >= slow_after => 4,
                ConnectionPhase::Unused => 3,
                ConnectionPhase::Head => 2,
                ConnectionPhase::Idle => 1,
                ConnectionPhase::Running if caller.behind => 0,
                ConnectionPhase::Body | ConnectionPhase::Running => return None,
            };
            Some((stalled, rank, stalled.as_millis()))
        })
    }

    /// Ends the connection with the highest rank, which `judge` returns with the time for
    /// which the caller has made no progress. Among equal ones it is the oldest.
    fn end_worst<R: Ord, S: Ord>(
        &mut self,
        reason: EndReason,
        judge: impl Fn(&Caller) -> Option<(Duration, R, S)>,
    ) -> Option<EndedConnection> {
        let staying = self.all.iter().filter(|(_, it)| !it.ending);
        let judged = staying.filter_map(|(connection, caller)| {
            let (stalled, first, second) = judge(caller)?;
            Some(((first, second, Reverse(*connection)), stalled))
        });
        let ((_, _, Reverse(connection)), stalled) = judged.max_by(|a, b| a.0.cmp(&b.0))?;
        let caller = self.all.get_mut(&connection)?;
        caller.ending = true;
        self.ending_bytes += caller.held;
        self.ending_own += caller.own;
        if caller.open {
            self.open -= 1;
        }
        Some(EndedConnection {
            connection,
            reason,
            phase: caller.phase,
            held: caller.held,
            stalled,
        })
    }
}
