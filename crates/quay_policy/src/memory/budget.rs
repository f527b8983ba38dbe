//! Byte budget of a host.
//!
//! The load that this addresses: hosts of 88 to 220 MB that are killed above their
//! limit, hundreds of callers that read 1 kB/s, bodies of the largest allowed size on
//! all connections at once, and thousands of callers whose requests don't end.

use {
    super::callers::{CallerConnection, Callers, ConnectionPhase, EndedConnection, MemoryHolder},
    indexmap::IndexMap,
    quay_types::{AccountId, Time},
    std::time::Duration,
};

/// Kind of data that a host holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryClass {
    /// Bodies of requests, until the upstream has taken them.
    Requests,
    /// Responses that are collected, or that callers have not taken yet.
    Responses,
    /// Conversations, cached or in use.
    Conversations,
    /// Open connections of callers.
    Connections,
    /// Bodies of requests that still arrive.
    Uploads,
}

impl MemoryClass {
    /// All classes, in the order of their declaration.
    pub const ALL: [Self; 5] = [
        Self::Requests,
        Self::Responses,
        Self::Conversations,
        Self::Connections,
        Self::Uploads,
    ];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Conversations => "conversations",
            Self::Connections => "connections",
            Self::Uploads => "uploads",
        }
    }
}

/// Size of a budget and its division.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemorySettings {
    /// Bytes that all data may take.
    pub total: u64,
    /// Part up to which requests are admitted, in percent. The rest is for the
    /// responses of requests that already run, which can't be refused without loss.
    pub admit_percent: u64,
    /// Part up to which bodies that still arrive are admitted, in percent. Below
    /// `admit_percent`, so that requests that have arrived find room beside them.
    pub upload_percent: u64,
    /// Part that connections may take, in percent.
    pub connections_percent: u64,
    /// Number of connections that may be open.
    pub max_connections: usize,
    /// Bytes that count for an open connection.
    pub connection_bytes: u64,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Part above which memory is short, in percent: slow readers are disconnected
    /// and conversations are not cached. Below `admit_percent`, so that slow readers
    /// are disconnected before requests are refused.
    pub short_percent: u64,
    /// Part that one connection of a caller may hold, in percent.
    pub caller_percent: u64,
    /// Bytes that one connection, or all of an account, may hold in any case: a body of
    /// the largest allowed size and a response.
    pub caller_least: u64,
    /// Part that all connections of one account may hold, in percent.
    pub account_percent: u64,
    /// Bytes that may wait for one caller while memory is short.
    pub short_waiting: u64,
    /// Time without progress from which a caller is slow: the age of the oldest byte that
    /// it has not read, or the time since the request that it sends has last grown. Below
    /// the seconds after which an upstream aborts a response that stays unread.
    pub slow_after: Duration,
}

/// Bytes of a response that are held beside the body of its request.
const RESPONSE_BYTES: u64 = 1 << 20;

/// Default limit of a request's body, in bytes.
const BODY_BYTES: u64 = 4 << 20;

/// Part of the budget's size that the system's receive buffers of all connections may
/// take besides, in percent.
const RECEIVE_PERCENT: u64 = 25;

/// Smallest and largest receive buffer of a connection, in bytes. Within a round trip of
/// 20 ms between data centres the largest takes 2.4 MB/s.
const RECEIVE_BUFFER_BYTES: (u64, u64) = (2_304, 32 << 10);

impl MemorySettings {
    /// Settings for a budget of `total` bytes.
    #[must_use]
    pub const fn of(total: u64) -> Self {
        Self {
            total,
            admit_percent: 75,
            upload_percent: 65,
            connections_percent: 50,
            max_connections: usize::MAX,
            connection_bytes: 12 << 10,
            head_timeout: Duration::from_secs(3),
            short_percent: 50,
            caller_percent: 25,
            caller_least: BODY_BYTES + RESPONSE_BYTES,
            account_percent: 50,
            short_waiting: 16 << 10,
            slow_after: Duration::from_secs(1),
        }
    }

    /// Bytes that requests may take if there is nothing else.
    #[must_use]
    pub const fn admitted(&self) -> u64 {
        self.part(self.admit_percent)
    }

    const fn part(&self, percent: u64) -> u64 {
        self.total / 100 * percent
    }
}

/// What there is no room in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The share of the caller's connection.
    Caller,
    /// The share of the account.
    Account,
    /// The budget of the host.
    Host,
}

/// Decision on a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryDecision {
    /// The bytes are reserved.
    Granted,
    /// Nothing is reserved; evict at least this many bytes of cached conversations
    /// and ask again.
    Evict(u64),
    /// Nothing is reserved; end this connection and ask again. Its bytes count as free
    /// from now on.
    End(EndedConnection),
    /// There is no room.
    Refused(Shortage),
}

/// Decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectDecision {
    /// The connection is counted.
    Admitted,
    /// Nothing is counted; end this connection and ask again.
    End(EndedConnection),
    /// All connections carry requests.
    Refused,
}

/// Byte budget of a host. Invariant: the sum over classes equals what is reserved
/// and not released, and callers and accounts without bytes have no entry.
#[derive(Debug)]
pub struct MemoryBudget {
    cfg: MemorySettings,
    used: [u64; 5],
    callers: Callers,
    accounts: IndexMap<AccountId, u64>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(cfg: MemorySettings) -> Self {
        Self {
            cfg,
            used: [0; 5],
            callers: Callers::default(),
            accounts: IndexMap::new(),
        }
    }

    /// Sets the limit of a request's body, of which one fits into the share of a caller,
    /// and the time-out of a head.
    pub fn set_limits(&mut self, body_bytes: u64, head_timeout: Duration) {
        self.cfg.caller_least = body_bytes + RESPONSE_BYTES;
        self.cfg.head_timeout = head_timeout;
    }

    /// Whether a body of the largest allowed size has room if there is nothing else.
    #[must_use]
    pub const fn holds_largest_body(&self) -> bool {
        self.cfg.caller_least <= self.cfg.part(self.cfg.upload_percent)
    }

    /// Reserves bytes. `cached` is the size of the cached conversations, which are
    /// evicted first; then slow senders are disconnected, and for a response slow
    /// readers as well; then the reservation is refused.
    pub fn reserve(
        &mut self,
        now: Time,
        class: MemoryClass,
        holder: Option<MemoryHolder>,
        bytes: u64,
        cached: u64,
    ) -> MemoryDecision {
        if let Some(shortage) = holder.and_then(|it| self.share_exceeded(it, bytes)) {
            return MemoryDecision::Refused(shortage);
        }
        let limit = match class {
            MemoryClass::Requests => self.cfg.part(self.cfg.admit_percent),
            MemoryClass::Uploads => self.cfg.part(self.cfg.upload_percent),
            MemoryClass::Conversations if holder.is_none() => self.cfg.part(self.cfg.short_percent),
            _ => self.cfg.total,
        };
        let over = (self.occupied() + bytes).saturating_sub(limit);
        if over == 0 {
            self.charge(class, holder, bytes);
            return MemoryDecision::Granted;
        }
        // Nothing is evicted for a reservation that can't succeed.
        if cached > 0 && bytes <= limit {
            return MemoryDecision::Evict(over.min(cached));
        }
        let ended = match class {
            MemoryClass::Requests | MemoryClass::Uploads => self.end_slowest_sender(now),
            MemoryClass::Responses => self.end_slowest(now),
            MemoryClass::Conversations | MemoryClass::Connections => None,
        };
        ended.map_or(MemoryDecision::Refused(Shortage::Host), MemoryDecision::End)
    }

    fn share_exceeded(&self, holder: MemoryHolder, bytes: u64) -> Option<Shortage> {
        let least = self.cfg.caller_least;
        let caller = self.callers.held(holder.connection) + bytes;
        if caller > self.cfg.part(self.cfg.caller_percent).max(least) {
            return Some(Shortage::Caller);
        }
        let account = holder.account?;
        let held = self.accounts.get(&account).copied().unwrap_or_default();
        let exceeded = held + bytes > self.cfg.part(self.cfg.account_percent).max(least);
        exceeded.then_some(Shortage::Account)
    }

    /// Counts bytes that are held whether or not there is room.
    pub fn charge(&mut self, class: MemoryClass, holder: Option<MemoryHolder>, bytes: u64) {
        self.used[class as usize] += bytes;
        let Some(holder) = holder else { return };
        let own = class == MemoryClass::Connections;
        self.callers.add(holder.connection, bytes, own);
        if let Some(account) = holder.account.filter(|_| bytes > 0) {
            *self.accounts.entry(account).or_default() += bytes;
        }
    }

    /// Returns bytes that were reserved or charged.
    pub fn release(&mut self, class: MemoryClass, holder: Option<MemoryHolder>, bytes: u64) {
        let used = &mut self.used[class as usize];
        *used = used.saturating_sub(bytes);
        let Some(holder) = holder else { return };
        let own = class == MemoryClass::Connections;
        self.callers.remove(holder.connection, bytes, own);
        if let Some(account) = holder.account
            && let Some(held) = self.accounts.get_mut(&account)
        {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.accounts.swap_remove(&account);
            }
        }
    }

    /// Records that `bytes` of a response wait for a caller to take them. They are
    /// reserved apart from this.
    pub fn record_waiting(&mut self, now: Time, holder: MemoryHolder, bytes: u64) {
        self.callers.record_waiting(now, holder.connection, bytes);
    }

    /// Records that a caller took bytes that had waited since `ready`.
    pub fn record_taken(&mut self, ready: Time, holder: MemoryHolder, bytes: u64) {
        self.callers.record_taken(ready, holder.connection, bytes);
    }

    /// Whether a stream to a caller is read on from its upstream: always if the caller
    /// has taken everything, so that readers in time are served on a full host.
    #[must_use]
    pub fn may_read_on(&self, holder: MemoryHolder) -> bool {
        let limit = if self.occupied() >= self.cfg.total {
            0
        } else if self.is_short() {
            self.cfg.short_waiting
        } else {
            // The other half is for the next frame and for what is collected.
            self.cfg.part(self.cfg.caller_percent) / 2
        };
        let waiting = self.callers.waiting(holder.connection);
        waiting == 0 || waiting < limit
    }

    /// While memory is short, ends the slowest sender or reader; its bytes count as free
    /// from now on.
    pub fn end_if_short(&mut self, now: Time) -> Option<EndedConnection> {
        if !self.is_short() {
            return None;
        }
        self.end_slowest(now)
    }

    /// Ends the slowest sender, whose request has not run, or the slowest reader.
    fn end_slowest(&mut self, now: Time) -> Option<EndedConnection> {
        self.end_slowest_sender(now)
            .or_else(|| self.callers.end_slowest_reader(now, self.cfg.slow_after))
    }

    fn end_slowest_sender(&mut self, now: Time) -> Option<EndedConnection> {
        self.callers.end_slowest_sender(now, self.cfg.slow_after)
    }

    /// Whether memory is short.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.occupied() > self.cfg.part(self.cfg.short_percent)
    }

    /// Bytes in use, without those of connections that are to be ended.
    fn occupied(&self) -> u64 {
        let used: u64 = self.used.iter().sum();
        used.saturating_sub(self.callers.ending_bytes())
    }

    // -----------------------------------------------------------------------
    // Connections

    /// Counts a new connection. If there is no room for it, a connection without a
    /// complete request is ended in its place.
    pub fn connect(&mut self, now: Time, connection: CallerConnection) -> ConnectDecision {
        let bytes = self.cfg.connection_bytes;
        let free = self.callers.open() < self.cfg.max_connections;
        if free && self.connections_fit(bytes) {
            self.callers.connect(now, connection);
            self.charge(MemoryClass::Connections, Some(own(connection)), bytes);
            return ConnectDecision::Admitted;
        }
        let ended = self.end_replaced(now);
        ended.map_or(ConnectDecision::Refused, ConnectDecision::End)
    }

    /// Counts bytes that a connection takes besides, for the request that arrives on it.
    /// Returns a connection that is ended for it.
    pub fn grow(
        &mut self,
        now: Time,
        connection: CallerConnection,
        bytes: u64,
    ) -> Option<EndedConnection> {
        self.charge(MemoryClass::Connections, Some(own(connection)), bytes);
        if self.connections_fit(0) {
            return None;
        }
        self.end_replaced(now)
    }

    /// Returns bytes that [`grow`](Self::grow) counted.
    pub fn shrink(&mut self, connection: CallerConnection, bytes: u64) {
        self.release(MemoryClass::Connections, Some(own(connection)), bytes);
    }

    /// Returns what a connection took that is closed now. What is held for its caller is
    /// released apart from this.
    pub fn close(&mut self, connection: CallerConnection) {
        let bytes = self.cfg.connection_bytes;
        self.release(MemoryClass::Connections, Some(own(connection)), bytes);
        self.callers.close(connection);
    }

    /// Ends a connection without a complete request, so that another one can be opened.
    pub fn end_replaced(&mut self, now: Time) -> Option<EndedConnection> {
        self.callers.end_replaced(now, self.cfg.slow_after)
    }

    /// Records that a phase of a connection begins, or that the body in it made progress.
    pub fn record_phase(
        &mut self,
        now: Time,
        connection: CallerConnection,
        phase: ConnectionPhase,
    ) {
        self.callers.record_phase(now, connection, phase);
    }

    /// Records that bytes have arrived behind a request that is not answered yet.
    pub fn record_behind(&mut self, connection: CallerConnection) {
        self.callers.record_behind(connection);
    }

    /// Ends a connection whose head has not arrived in time.
    pub fn end_late_head(&mut self, now: Time) -> Option<EndedConnection> {
        self.callers.end_late_head(now, self.cfg.head_timeout)
    }

    /// Ends a connection for a shutdown, unless a request on it has arrived or still
    /// makes progress.
    pub fn end_unused(&mut self, now: Time) -> Option<EndedConnection> {
        self.callers.end_unused(now, self.cfg.slow_after)
    }

    /// Size of the receive buffer of the next connection, in bytes. It is smaller the more
    /// connections there are, so that the sum of all buffers is bounded.
    #[must_use]
    pub fn receive_buffer(&self) -> u64 {
        let (least, most) = RECEIVE_BUFFER_BYTES;
        let connections = self.callers.open().next_power_of_two() as u64;
        (self.cfg.part(RECEIVE_PERCENT) / connections).clamp(least, most)
    }

    /// Whether the connections that stay and `more` bytes fit into their part.
    fn connections_fit(&self, more: u64) -> bool {
        let used = self.used[MemoryClass::Connections as usize];
        let staying = used.saturating_sub(self.callers.ending_own());
        staying + more <= self.cfg.part(self.cfg.connections_percent)
    }

    // -----------------------------------------------------------------------

    /// Bytes in use of a class.
    #[must_use]
    pub const fn used(&self, class: MemoryClass) -> u64 {
        self.used[class as usize]
    }

    /// Number of callers and accounts that hold bytes.
    #[must_use]
    pub fn holders(&self) -> (usize, usize) {
        (self.callers.len(), self.accounts.len())
    }
}

const fn own(connection: CallerConnection) -> MemoryHolder {
    MemoryHolder {
        connection,
        account: None,
    }
}
