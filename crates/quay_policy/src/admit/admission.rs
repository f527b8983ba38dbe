//! Bounded admission queue ordered by priority, with ageing.

use {
    crate::{AdmissionSettings, ConcurrencyLimit, Observation, Ticket, TicketId, Verdict},
    indexmap::IndexMap,
    quay_types::{AccountId, Error, ErrorKind, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Maximum number of accounts whose usage is tracked.
const MAX_ACCOUNTS: usize = 4_096;

/// An account within its share may have new programs wait this many times
/// longer than [`AdmissionSettings::shed_new_after`].
const WITHIN_SHARE_FACTOR: u32 = 4;

/// The newest call has a weight of 1 / `SERVICE_TIME_DIVISOR` in the moving
/// average of the service time.
const SERVICE_TIME_DIVISOR: u32 = 16;

/// Position in the queue: virtual start time, then arrival order.
///
/// The virtual start time is the arrival time, delayed by the account's past
/// usage and advanced for sub-agents. All calls age at the same rate, so the
/// order of two calls never changes, and a call delayed by at most `d` is
/// overtaken only by calls that arrive within `d` after it.
type QueueKey = (Time, u64);

/// A queued call.
#[derive(Debug)]
struct QueuedCall {
    ticket: Ticket,
    sequence: u64,
}

/// Admission queue in front of one upstream, with `L` as its concurrency limit.
#[derive(Debug)]
pub struct Admission<L> {
    cfg: AdmissionSettings,
    limit: L,
    queue: BTreeMap<QueueKey, QueuedCall>,
    /// Queue positions by call.
    keys: IndexMap<TicketId, QueueKey>,
    /// Queue positions of calls whose programs have not started.
    new_programs: BTreeSet<QueueKey>,
    /// Queued calls by deadline.
    deadlines: BTreeMap<(Time, u64), TicketId>,
    running: IndexMap<TicketId, Time>,
    /// Time up to which each account has used up its share of the upstream.
    accounts: IndexMap<AccountId, Time>,
    service_time: Duration,
    sequence: u64,
    verdicts: Vec<Verdict>,
    /// Whether the running call requires exclusive use of the upstream.
    exclusive: bool,
    draining: bool,
}

impl<L: ConcurrencyLimit> Admission<L> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(cfg: AdmissionSettings) -> Self {
        Self {
            limit: L::new(&cfg),
            queue: BTreeMap::new(),
            keys: IndexMap::new(),
            new_programs: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            running: IndexMap::new(),
            accounts: IndexMap::new(),
            service_time: cfg.service_time,
            sequence: 0,
            verdicts: Vec::new(),
            exclusive: false,
            draining: false,
            cfg,
        }
    }

    /// Number of queued calls.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of running calls.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Maximum number of calls that may run at present.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    // -----------------------------------------------------------------------
    // Updates

    /// Queues a call, or refuses it at once if its expected wait is too long.
    pub fn enqueue(&mut self, now: Time, ticket: Ticket) {
        if let Some(refusal) = self.refusal(now, &ticket) {
            self.verdicts.push(Verdict::Refuse(ticket.id, refusal));
            return;
        }
        if self.queue.len() >= self.cfg.max_queued {
            self.displace_new();
        }
        let key = (self.virtual_start(now, &ticket), self.sequence);
        self.deadlines
            .insert((ticket.deadline, self.sequence), ticket.id);
        self.keys.insert(ticket.id, key);
        if ticket.is_new() {
            self.new_programs.insert(key);
        }
        let sequence = self.sequence;
        self.queue.insert(key, QueuedCall { ticket, sequence });
        self.sequence += 1;
    }

    /// Removes a call, queued or running, whose caller has disconnected.
    pub fn cancel(&mut self, now: Time, id: TicketId) {
        if self.remove_queued(id).is_none() {
            self.finish(now, id);
        }
    }

    /// Records that an admitted call has ended.
    pub fn finish(&mut self, now: Time, id: TicketId) {
        let Some(started) = self.running.swap_remove(&id) else {
            return;
        };
        let elapsed = now.since(started);
        self.service_time =
            (self.service_time * (SERVICE_TIME_DIVISOR - 1) + elapsed) / SERVICE_TIME_DIVISOR;
    }

    /// Updates the concurrency limit from an observation of the upstream.
    pub fn observe(&mut self, now: Time, seen: Observation) {
        let saturated = !self.queue.is_empty() && self.running.len() >= self.limit() as usize;
        self.limit.observe(&self.cfg, now, seen, saturated);
    }

    /// Refuses all queued and future calls; running calls may finish.
    pub fn drain(&mut self) {
        self.draining = true;
        self.keys.clear();
        self.new_programs.clear();
        self.deadlines.clear();
        for (_, waiting) in std::mem::take(&mut self.queue) {
            let refusal = Error::new(ErrorKind::Draining, "the upstream is draining");
            self.verdicts
                .push(Verdict::Refuse(waiting.ticket.id, refusal));
        }
    }

    /// Accepts calls again after [`Admission::drain`].
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    // -----------------------------------------------------------------------
    // Decisions

    /// Returns the verdicts that are due; each call gets exactly one.
    pub fn poll(&mut self, now: Time) -> Vec<Verdict> {
        self.expire(now);
        while let Some(ticket) = self.next_admissible() {
            self.remove_queued(ticket.id);
            self.exclusive = ticket.exclusive;
            self.charge(now, ticket.account);
            self.running.insert(ticket.id, now);
            self.verdicts.push(Verdict::Admit(ticket.id));
        }
        std::mem::take(&mut self.verdicts)
    }

    /// Returns the first call of the queue if it may start now.
    fn next_admissible(&self) -> Option<Ticket> {
        let (_, waiting) = self.queue.first_key_value()?;
        let empty = self.running.is_empty();
        let has_capacity = self.running.len() < self.limit() as usize;
        let may_start = empty || (has_capacity && !self.exclusive && !waiting.ticket.exclusive);
        may_start.then_some(waiting.ticket)
    }

    /// Expected wait of a call that is queued now.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.service_time * queued / self.limit().max(1)
    }

    // -----------------------------------------------------------------------
    // Refusals

    /// Returns the reason to refuse a call, if there is one.
    fn refusal(&self, now: Time, ticket: &Ticket) -> Option<Error> {
        if self.draining {
            return Some(Error::new(ErrorKind::Draining, "the upstream is draining"));
        }
        if ticket.deadline <= now {
            return Some(Error::new(
                ErrorKind::DeadlineNotRun,
                "the deadline passed before the call was queued",
            ));
        }
        let wait = self.expected_wait();
        let shedding = !self.cfg.shed_new_after.is_zero();
        let misses_deadline = now + wait > ticket.deadline;
        let max_wait = if self.is_over_share(now, ticket.account) {
            self.cfg.shed_new_after
        } else {
            self.cfg.shed_new_after * WITHIN_SHARE_FACTOR
        };
        let exceeds_max_wait = ticket.is_new() && wait > max_wait;
        let full = self.queue.len() >= self.cfg.max_queued && !self.can_displace_new(ticket);
        ((shedding && (misses_deadline || exceeds_max_wait)) || full).then(|| overloaded(wait))
    }

    /// Whether an account has used up its share as of `now`.
    fn is_over_share(&self, now: Time, account: AccountId) -> bool {
        self.accounts
            .get(&account)
            .is_some_and(|until| *until > now)
    }

    /// Whether a call of a program that has already started may replace a
    /// queued call of a new program.
    fn can_displace_new(&self, ticket: &Ticket) -> bool {
        !ticket.is_new() && !self.new_programs.is_empty()
    }

    /// Refuses the queued call of a new program that would start last.
    fn displace_new(&mut self) {
        let last = self.new_programs.last().and_then(|key| self.queue.get(key));
        if let Some(id) = last.map(|waiting| waiting.ticket.id) {
            self.remove_queued(id);
            let refusal = overloaded(self.expected_wait());
            self.verdicts.push(Verdict::Refuse(id, refusal));
        }
    }

    /// Refuses queued calls whose deadline has passed.
    fn expire(&mut self, now: Time) {
        while let Some(((deadline, _), id)) = self.deadlines.first_key_value() {
            if *deadline > now {
                return;
            }
            let id = *id;
            self.remove_queued(id);
            let refusal = Error::new(
                ErrorKind::DeadlineNotRun,
                "the deadline passed while the call was queued",
            );
            self.verdicts.push(Verdict::Refuse(id, refusal));
        }
    }

    /// Removes a queued call.
    fn remove_queued(&mut self, id: TicketId) -> Option<Ticket> {
        let key = self.keys.swap_remove(&id)?;
        let waiting = self.queue.remove(&key)?;
        self.new_programs.remove(&key);
        self.deadlines
            .remove(&(waiting.ticket.deadline, waiting.sequence));
        Some(waiting.ticket)
    }

    // -----------------------------------------------------------------------
    // Priority

    /// Arrival time of a call, adjusted by the usage of its account and the
    /// depth of its program.
    fn virtual_start(&self, now: Time, ticket: &Ticket) -> Time {
        let lead = self.cfg.sub_agent_lead * u32::from(ticket.depth);
        let used_until = self.accounts.get(&ticket.account).copied();
        let from = used_until.unwrap_or_default().max(now);
        from.min(now + self.cfg.max_account_delay) - lead
    }

    /// Charges an account for the upstream time of a call, divided by the
    /// number of calls that run concurrently.
    fn charge(&mut self, now: Time, account: AccountId) {
        if self.cfg.account_share_permille == 0 {
            return;
        }
        let concurrency = self.limit().max(1);
        let cost = self.service_time * 1_000 / self.cfg.account_share_permille / concurrency;
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.retain(|_, until| *until > now);
        }
        let until = self.accounts.entry(account).or_insert(now);
        *until = (*until).max(now) + cost;
    }
}

/// Returns the error for a call whose expected wait is too long.
fn overloaded(wait: Duration) -> Error {
    let retry_after = wait.max(Duration::from_secs(1));
    Error::new(ErrorKind::Overloaded, "the expected queue wait is too long")
        .with_retry_after(retry_after)
}
