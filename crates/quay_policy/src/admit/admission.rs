//! A bounded queue by priority with ageing.

use {
    crate::{AdmissionSettings, ConcurrencyLimit, Observation, Ticket, TicketId, Verdict},
    indexmap::IndexMap,
    quay_types::{AccountId, Error, ErrorKind, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Accounts whose use is remembered.
const MAX_ACCOUNTS: usize = 4_096;

/// Times as long that a new program may wait whose account is within its share.
const WITHIN_SHARE: u32 = 4;

/// Weight of the newest call in the mean time that calls run, as a divisor.
const SERVICE_MEAN: u32 = 16;

/// Place in the queue: virtual start, then order of arrival.
///
/// The virtual start is the time of arrival, put back by what the account was
/// given already, and forward for sub-agents. All calls age at the same rate, so the order
/// of two never changes and a call put back by at most `d` is passed only by
/// calls that arrive within `d` of it.
type Place = (Time, u64);

/// A waiting call.
#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    sequence: u64,
}

/// The queue before one upstream, under a limit learned by `L`.
#[derive(Debug)]
pub struct Admission<L> {
    cfg: AdmissionSettings,
    limit: L,
    queue: BTreeMap<Place, Waiting>,
    /// Places of the waiting calls.
    places: IndexMap<TicketId, Place>,
    /// Places of waiting calls whose programs have not begun.
    new: BTreeSet<Place>,
    /// Waiting calls by deadline.
    deadlines: BTreeMap<(Time, u64), TicketId>,
    running: IndexMap<TicketId, Time>,
    /// Time up to which each account has used its share.
    accounts: IndexMap<AccountId, Time>,
    service: Duration,
    sequence: u64,
    verdicts: Vec<Verdict>,
    /// Whether what runs now must have the upstream to itself.
    alone: bool,
    draining: bool,
}

impl<L: ConcurrencyLimit> Admission<L> {
    /// An empty queue.
    #[must_use]
    pub fn new(cfg: AdmissionSettings) -> Self {
        Self {
            limit: L::new(&cfg),
            queue: BTreeMap::new(),
            places: IndexMap::new(),
            new: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            running: IndexMap::new(),
            accounts: IndexMap::new(),
            service: cfg.service_time,
            sequence: 0,
            verdicts: Vec::new(),
            alone: false,
            draining: false,
            cfg,
        }
    }

    /// Calls that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Calls that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Most calls that may run now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    // -----------------------------------------------------------------------
    // Input

    /// Queues a call, or refuses it at once if it would wait too long.
    pub fn enqueue(&mut self, now: Time, ticket: Ticket) {
        if let Some(refusal) = self.refusal(now, &ticket) {
            self.verdicts.push(Verdict::Refuse(ticket.id, refusal));
            return;
        }
        if self.queue.len() >= self.cfg.max_queued {
            self.displace();
        }
        let place = (self.virtual_start(now, &ticket), self.sequence);
        self.deadlines
            .insert((ticket.deadline, self.sequence), ticket.id);
        self.places.insert(ticket.id, place);
        if ticket.is_new() {
            self.new.insert(place);
        }
        let sequence = self.sequence;
        self.queue.insert(place, Waiting { ticket, sequence });
        self.sequence += 1;
    }

    /// Takes out a call whose caller has gone, waiting or running.
    pub fn cancel(&mut self, now: Time, id: TicketId) {
        if self.take(id).is_none() {
            self.finish(now, id);
        }
    }

    /// Notes that an admitted call has ended.
    pub fn finish(&mut self, now: Time, id: TicketId) {
        let Some(started) = self.running.swap_remove(&id) else {
            return;
        };
        let span = now.since(started);
        self.service = (self.service * (SERVICE_MEAN - 1) + span) / SERVICE_MEAN;
    }

    /// Learns from what was seen of the upstream.
    pub fn observe(&mut self, now: Time, seen: Observation) {
        let wanted = !self.queue.is_empty() && self.running.len() >= self.limit() as usize;
        self.limit.observe(&self.cfg, now, seen, wanted);
    }

    /// Refuses all that waits and all that comes; what runs may finish.
    pub fn drain(&mut self) {
        self.draining = true;
        self.places.clear();
        self.new.clear();
        self.deadlines.clear();
        for (_, waiting) in std::mem::take(&mut self.queue) {
            let refusal = Error::new(ErrorKind::Draining, "the upstream is leaving");
            self.verdicts
                .push(Verdict::Refuse(waiting.ticket.id, refusal));
        }
    }

    /// Takes calls again after [`Admission::drain`].
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    // -----------------------------------------------------------------------
    // Output

    /// Decides what is due; each call gets one verdict.
    pub fn poll(&mut self, now: Time) -> Vec<Verdict> {
        self.expire(now);
        while let Some(ticket) = self.next() {
            self.take(ticket.id);
            self.alone = ticket.exclusive;
            self.charge(now, ticket.account);
            self.running.insert(ticket.id, now);
            self.verdicts.push(Verdict::Admit(ticket.id));
        }
        std::mem::take(&mut self.verdicts)
    }

    /// The first call of the queue, if it may run now.
    fn next(&self) -> Option<Ticket> {
        let (_, waiting) = self.queue.first_key_value()?;
        let empty = self.running.is_empty();
        let room = self.running.len() < self.limit() as usize;
        let may_join = empty || (room && !self.alone && !waiting.ticket.exclusive);
        may_join.then_some(waiting.ticket)
    }

    /// Time that a call which enters now is expected to wait.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.service * ahead / self.limit().max(1)
    }

    // -----------------------------------------------------------------------
    // Refusals

    /// Why a call may not wait, if so.
    fn refusal(&self, now: Time, ticket: &Ticket) -> Option<Error> {
        if self.draining {
            return Some(Error::new(ErrorKind::Draining, "the upstream is leaving"));
        }
        if ticket.deadline <= now {
            return Some(Error::new(
                ErrorKind::DeadlineNotRun,
                "the deadline has passed",
            ));
        }
        let wait = self.expected_wait();
        let sheds = !self.cfg.shed_new_after.is_zero();
        let hopeless = now + wait > ticket.deadline;
        let patience = if self.is_over_share(now, ticket.account) {
            self.cfg.shed_new_after
        } else {
            self.cfg.shed_new_after * WITHIN_SHARE
        };
        let crowded = ticket.is_new() && wait > patience;
        let full = self.queue.len() >= self.cfg.max_queued && !self.can_displace(ticket);
        ((sheds && (hopeless || crowded)) || full).then(|| overloaded(wait))
    }

    /// Whether an account has used its share up to now.
    fn is_over_share(&self, now: Time, account: AccountId) -> bool {
        self.accounts
            .get(&account)
            .is_some_and(|until| *until > now)
    }

    /// Whether a call of a program under way may take the place of a new program.
    fn can_displace(&self, ticket: &Ticket) -> bool {
        !ticket.is_new() && !self.new.is_empty()
    }

    /// Refuses the new program that would start last.
    fn displace(&mut self) {
        let last = self.new.last().and_then(|place| self.queue.get(place));
        if let Some(id) = last.map(|waiting| waiting.ticket.id) {
            self.take(id);
            let refusal = overloaded(self.expected_wait());
            self.verdicts.push(Verdict::Refuse(id, refusal));
        }
    }

    /// Refuses what waits past its deadline.
    fn expire(&mut self, now: Time) {
        while let Some(((deadline, _), id)) = self.deadlines.first_key_value() {
            if *deadline > now {
                return;
            }
            let id = *id;
            self.take(id);
            let refusal = Error::new(ErrorKind::DeadlineNotRun, "waited until the deadline");
            self.verdicts.push(Verdict::Refuse(id, refusal));
        }
    }

    /// Takes a waiting call out of the queue.
    fn take(&mut self, id: TicketId) -> Option<Ticket> {
        let place = self.places.swap_remove(&id)?;
        let waiting = self.queue.remove(&place)?;
        self.new.remove(&place);
        self.deadlines
            .remove(&(waiting.ticket.deadline, waiting.sequence));
        Some(waiting.ticket)
    }

    // -----------------------------------------------------------------------
    // Priority

    /// When a call would have come, had its account kept to its share.
    fn virtual_start(&self, now: Time, ticket: &Ticket) -> Time {
        let lead = self.cfg.sub_agent_lead * u32::from(ticket.depth);
        let used = self.accounts.get(&ticket.account).copied();
        let from = used.unwrap_or_default().max(now);
        from.min(now + self.cfg.max_account_delay) - lead
    }

    /// Charges an account for the upstream time of a call, shared by the calls beside it.
    fn charge(&mut self, now: Time, account: AccountId) {
        if self.cfg.account_share_permille == 0 {
            return;
        }
        let places = self.limit().max(1);
        let cost = self.service * 1_000 / self.cfg.account_share_permille / places;
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.retain(|_, until| *until > now);
        }
        let until = self.accounts.entry(account).or_insert(now);
        *until = (*until).max(now) + cost;
    }
}

/// The refusal of a call that would wait too long.
fn overloaded(wait: Duration) -> Error {
    let pause = wait.max(Duration::from_secs(1));
    Error::new(ErrorKind::Overloaded, "the queue is too long").with_retry_after(pause)
}
