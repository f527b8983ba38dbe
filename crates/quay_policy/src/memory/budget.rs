//! Byte budget of a host.
//!
//! The load that this addresses: hosts of 88 to 220 MB that are killed above their
//! limit, hundreds of callers that read 1 kB/s, and bodies of the largest allowed
//! size on all connections at once.

use {
    super::callers::{Callers, MemoryHolder, SlowReader},
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
}

impl MemoryClass {
    /// All classes, in the order of their declaration.
    pub const ALL: [Self; 4] = [
        Self::Requests,
        Self::Responses,
        Self::Conversations,
        Self::Connections,
    ];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Conversations => "conversations",
            Self::Connections => "connections",
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
    /// Part above which memory is short, in percent: slow readers are disconnected
    /// and conversations are not cached. Below `admit_percent`, so that slow readers
    /// are disconnected before requests are refused.
    pub short_percent: u64,
    /// Part that one connection of a caller may hold, in percent. A quarter of the
    /// smallest budget (32 MB) is twice the default limit of a body.
    pub caller_percent: u64,
    /// Part that all connections of one account may hold, in percent.
    pub account_percent: u64,
    /// Bytes that may wait for one caller while memory is short.
    pub short_waiting: u64,
    /// Age of the oldest waiting byte from which a reader is slow: below the seconds
    /// after which an upstream aborts a response that stays unread.
    pub slow_after: Duration,
}

impl MemorySettings {
    /// Settings for a budget of `total` bytes.
    #[must_use]
    pub const fn of(total: u64) -> Self {
        Self {
            total,
            admit_percent: 75,
            short_percent: 50,
            caller_percent: 25,
            account_percent: 50,
            short_waiting: 16 << 10,
            slow_after: Duration::from_secs(1),
        }
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
    /// Nothing is reserved; disconnect this reader and ask again. Its bytes count as
    /// free from now on.
    Disconnect(SlowReader),
    /// There is no room.
    Refused(Shortage),
}

/// Byte budget of a host. Invariant: the sum over classes equals what is reserved
/// and not released, and callers and accounts without bytes have no entry.
#[derive(Debug)]
pub struct MemoryBudget {
    cfg: MemorySettings,
    used: [u64; 4],
    callers: Callers,
    accounts: IndexMap<AccountId, u64>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(cfg: MemorySettings) -> Self {
        Self {
            cfg,
            used: [0; 4],
            callers: Callers::default(),
            accounts: IndexMap::new(),
        }
    }

    /// Reserves bytes. `cached` is the size of the cached conversations, which are
    /// evicted first; then slow readers are disconnected, for responses only; then
    /// the reservation is refused.
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
        if class == MemoryClass::Responses
            && let Some(reader) = self.disconnect_slowest(now)
        {
            return MemoryDecision::Disconnect(reader);
        }
        MemoryDecision::Refused(Shortage::Host)
    }

    fn share_exceeded(&self, holder: MemoryHolder, bytes: u64) -> Option<Shortage> {
        let caller = self.callers.held(holder.connection) + bytes;
        if caller > self.cfg.part(self.cfg.caller_percent) {
            return Some(Shortage::Caller);
        }
        let account = holder.account?;
        let held = self.accounts.get(&account).copied().unwrap_or_default();
        let exceeded = held + bytes > self.cfg.part(self.cfg.account_percent);
        exceeded.then_some(Shortage::Account)
    }

    /// Counts bytes that are held whether or not there is room.
    pub fn charge(&mut self, class: MemoryClass, holder: Option<MemoryHolder>, bytes: u64) {
        self.used[class as usize] += bytes;
        let Some(holder) = holder else { return };
        self.callers.add(holder.connection, bytes);
        if let Some(account) = holder.account.filter(|_| bytes > 0) {
            *self.accounts.entry(account).or_default() += bytes;
        }
    }

    /// Returns bytes that were reserved or charged.
    pub fn release(&mut self, class: MemoryClass, holder: Option<MemoryHolder>, bytes: u64) {
        let used = &mut self.used[class as usize];
        *used = used.saturating_sub(bytes);
        let Some(holder) = holder else { return };
        self.callers.remove(holder.connection, bytes);
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

    /// While memory is short, returns the slowest reader, to be disconnected; its
    /// bytes count as free from now on.
    pub fn disconnect_if_short(&mut self, now: Time) -> Option<SlowReader> {
        if !self.is_short() {
            return None;
        }
        self.disconnect_slowest(now)
    }

    fn disconnect_slowest(&mut self, now: Time) -> Option<SlowReader> {
        self.callers.disconnect_slowest(now, self.cfg.slow_after)
    }

    /// Whether memory is short.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.occupied() > self.cfg.part(self.cfg.short_percent)
    }

    /// Bytes in use, without those of disconnected readers.
    fn occupied(&self) -> u64 {
        let used: u64 = self.used.iter().sum();
        used.saturating_sub(self.callers.disconnected_bytes())
    }

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
