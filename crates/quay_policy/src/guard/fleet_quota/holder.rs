//! A front's part: the permits that it holds and what it asks for.

use {
    super::{
        AccountLimit, FleetQuotaSettings, ONE_REQUEST, QuotaGrant, QuotaReply, QuotaRequest,
        QuotaUse, even_share, mixed_share,
    },
    indexmap::{IndexMap, IndexSet},
    quay_types::{AccountId, Time},
    std::time::Duration,
};

/// Time within which a request waits for a permit; a longer wait is refused at once.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Time for which the permits of a front cover its recent load.
const SPARE_TIME: Duration = Duration::from_millis(300);

/// Least time between two messages that ask for spare permits alone.
const SPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Time constant of a front's recent load.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Time for which a reply tells how scarce permits are.
const SCARCE_TIME: Duration = Duration::from_secs(1);

/// Least time after which a refused caller is asked to return.
const MIN_RETURN: Duration = Duration::from_millis(100);

/// Least pause between two messages of a front.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// Pause between two messages for each front, so that the leader gets at most 5,000
/// a second.
const PAUSE_PER_FRONT: Duration = Duration::from_micros(200);

/// Least time after which waiting requests ask again that got no permit.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// Its account has no limit.
    Unlimited,
    /// It has a permit, which is to be [spent](FleetQuotaHolder::spend) or
    /// [returned](FleetQuotaHolder::give_back); `shared` says that it came from the
    /// share of a front without contact.
    Granted {
        /// Whether the permit came from the front's share.
        shared: bool,
    },
    /// A permit must be asked for.
    Wait,
    /// There is no room for this time.
    Refused(Duration),
}

/// A front's view of an account's limit, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaView {
    /// The account.
    pub account: AccountId,
    /// Its limit.
    pub limit: AccountLimit,
    /// Permits that the front holds.
    pub permits: u32,
    /// Revision of the table that states the limit.
    pub revision: u64,
    /// Whether the account is close to its limit or over it, as far as known.
    pub scarce: bool,
    /// Requests sent since the front started.
    pub used: u32,
}

/// Account at a front.
#[derive(Debug)]
struct Account {
    limit: AccountLimit,
    revision: u64,
    /// Permits for any request, or only for those of begun programs while `scarce`.
    held: u32,
    /// Permits for requests that begin a program.
    held_new: u32,
    /// Permits of requests that have not been sent yet.
    taken: u32,
    used: u32,
    begun: u32,
    /// Number of requests that wait for permits.
    waiting: u32,
    waiting_new: u32,
    /// Whether the leader has not confirmed the counts above.
    changed: bool,
    /// Recent load, in billionths of a request.
    recent: i64,
    last_use: Time,
    scarce: bool,
    /// Time of the reply that said so.
    told: Time,
    room_at: Time,
    room_new_at: Time,
    /// Time from which waiting requests may cause another message.
    ask_at: Time,
    /// Time from which spare permits may be asked for.
    spare_at: Time,
    part: u32,
    part_until: Time,
    /// Share while there is no contact, in billionths of a request.
    share: i64,
    share_filled: Time,
}

impl Account {
    const fn new(limit: AccountLimit, revision: u64) -> Self {
        Self {
            limit,
            revision,
            held: 0,
            held_new: 0,
            taken: 0,
            used: 0,
            begun: 0,
            waiting: 0,
            waiting_new: 0,
            changed: false,
            recent: 0,
            last_use: Time::ZERO,
            scarce: false,
            told: Time::ZERO,
            room_at: Time::ZERO,
            room_new_at: Time::ZERO,
            ask_at: Time::ZERO,
            spare_at: Time::ZERO,
            part: 0,
            part_until: Time::ZERO,
            share: 0,
            share_filled: Time::ZERO,
        }
    }

    const fn all_held(&self) -> u32 {
        self.held + self.held_new + self.taken
    }

    /// Whether permits are scarce, as far as known.
    fn is_scarce(&self, now: Time) -> bool {
        self.scarce && now.since(self.told) < SCARCE_TIME
    }

    /// Takes a permit, if there is one for the request.
    fn take(&mut self, now: Time, begins: bool) -> bool {
        let any = if begins {
            if self.is_scarce(now) {
                0
            } else {
                self.held.saturating_sub(self.waiting)
            }
        } else {
            self.held
        };
        if begins && self.held_new > 0 {
            self.held_new -= 1;
        } else if any > 0 {
            self.held -= 1;
        } else if !begins && self.held_new > 0 {
            self.held_new -= 1;
        } else {
            return false;
        }
        self.taken += 1;
        true
    }

    /// Records a request that asks for a permit.
    fn record_demand(&mut self, now: Time) {
        self.recent = self.recent_at(now) + ONE_REQUEST;
        self.last_use = now;
    }

    fn recent_at(&self, now: Time) -> i64 {
        let age = i64::try_from(now.since(self.last_use).as_millis()).unwrap_or(i64::MAX);
        let whole = i64::try_from(DEMAND_TIME.as_millis()).unwrap_or(i64::MAX);
        if age >= whole {
            0
        } else {
            self.recent / whole * (whole - age)
        }
    }

    /// Number of permits by which the front holds less than its recent load needs.
    fn spare(&self, now: Time, cfg: &FleetQuotaSettings) -> u32 {
        if now.since(self.last_use) >= cfg.idle_time {
            return 0;
        }
        let per_time = i64::try_from(DEMAND_TIME.as_millis() / SPARE_TIME.as_millis()).unwrap_or(1);
        let wanted = self.recent_at(now) / per_time / ONE_REQUEST + 1;
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        wanted.saturating_sub(self.held + self.held_new)
    }
}

/// Permits of a front for the requests of accounts.
#[derive(Debug)]
pub struct FleetQuotaHolder {
    cfg: FleetQuotaSettings,
    front: u64,
    run: u64,
    sequence: u64,
    accounts: IndexMap<AccountId, Account>,
    /// Accounts for which a message may be needed.
    active: IndexSet<AccountId>,
    /// Number of fronts that the last reply named.
    fronts: u32,
    /// Term of the leader that replied last.
    leader: u64,
    /// Time of the last message that was answered.
    contact: Option<Time>,
    /// Time of the last message.
    sent: Option<Time>,
}

impl FleetQuotaHolder {
    /// Creates the state of a front without limits. The front keeps `front` when it
    /// restarts; `run` must differ from that of earlier runs.
    #[must_use]
    pub fn new(front: u64, run: u64, cfg: FleetQuotaSettings) -> Self {
        Self {
            cfg,
            front,
            run,
            sequence: 0,
            accounts: IndexMap::new(),
            active: IndexSet::new(),
            fronts: 0,
            leader: 0,
            contact: None,
            sent: None,
        }
    }

    /// Replaces the settings.
    pub const fn set_settings(&mut self, cfg: FleetQuotaSettings) {
        self.cfg = cfg;
    }

    /// Replaces the limits and returns the views that changed. Permits of accounts
    /// whose limit remains are kept.
    pub fn set_limits(
        &mut self,
        revision: u64,
        limits: impl IntoIterator<Item = (AccountId, AccountLimit)>,
    ) -> Vec<QuotaView> {
        let mut known = std::mem::take(&mut self.accounts);
        let mut changed = Vec::new();
        for (id, limit) in limits {
            let mut account = known
                .swap_remove(&id)
                .unwrap_or_else(|| Account::new(limit, 0));
            if account.revision == 0 || account.limit != limit {
                account.limit = limit;
                account.revision = revision;
                changed.push(account.view(id, Time::ZERO));
            }
            self.accounts.insert(id, account);
        }
        let accounts = &self.accounts;
        self.active.retain(|id| accounts.contains_key(id));
        changed
    }

    /// Whether any account has a limit.
    #[must_use]
    pub fn is_limiting(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Time since the last message that was answered.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.contact.map(|at| now.since(at))
    }

    // -----------------------------------------------------------------------
    // Requests

    /// Whether no request of an account would get a permit now, and the time after
    /// which one may. Takes no permit.
    #[must_use]
    pub fn saturated(&self, now: Time, account: AccountId, begins: bool) -> Option<Duration> {
        let account = self.accounts.get(&account)?;
        if !account.is_scarce(now) || account.held + account.held_new > 0 {
            return None;
        }
        let room = if begins {
            account.room_new_at.max(account.room_at)
        } else {
            account.room_at
        };
        let wait = room.since(now);
        (wait > MAX_WAIT).then_some(wait)
    }

    /// Asks for a permit for a request; `begins` says that it begins a program. A
    /// request that waited asks again with `again`.
    pub fn permit(&mut self, now: Time, id: AccountId, begins: bool, again: bool) -> Permission {
        let (cfg, fronts) = (self.cfg, self.fronts);
        let silence = self.contact.map(|at| now.since(at));
        let Some(account) = self.accounts.get_mut(&id) else {
            return Permission::Unlimited;
        };
        if !again {
            account.record_demand(now);
        }
        if silence.is_some_and(|time| time >= cfg.share_time) {
            (account.held, account.held_new) = (0, 0);
            return Permission::Refused(MAX_WAIT);
        }
        if account.take(now, begins) {
            account.changed = true;
            self.active.insert(id);
            return Permission::Granted { shared: false };
        }
        match self.contact {
            Some(contact) if now.since(contact) >= cfg.share_after => {
                account.fill_share(now, contact, fronts, &cfg);
                if account.share >= ONE_REQUEST {
                    account.share -= ONE_REQUEST;
                    return Permission::Granted { shared: true };
                }
                Permission::Refused(account.share_wait(now, contact, fronts, &cfg))
            }
            _ => {
                self.active.insert(id);
                match self.saturated(now, id, begins) {
                    Some(wait) => Permission::Refused(wait),
                    None => Permission::Wait,
                }
            }
        }
    }

    /// Records that a request begins to wait for a permit.
    pub fn begin_wait(&mut self, account: AccountId, begins: bool) {
        if let Some(account) = self.accounts.get_mut(&account) {
            *account.waiting_of(begins) += 1;
        }
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, account: AccountId, begins: bool) {
        if let Some(account) = self.accounts.get_mut(&account) {
            let waiting = account.waiting_of(begins);
            *waiting = waiting.saturating_sub(1);
        }
    }

    /// Records that a request with a permit is being sent to an upstream.
    pub fn spend(&mut self, account: AccountId, begins: bool, shared: bool) {
        if let Some(account) = self.accounts.get_mut(&account)
            && !shared
        {
            account.taken = account.taken.saturating_sub(1);
            account.used = account.used.wrapping_add(1);
            account.begun = account.begun.wrapping_add(u32::from(begins));
            account.changed = true;
        }
    }

    /// Records that a request for which a permit was spent did not run.
    pub fn unspend(&mut self, account: AccountId, begins: bool, shared: bool) {
        if let Some(account) = self.accounts.get_mut(&account)
            && !shared
        {
            account.taken += 1;
            account.used = account.used.wrapping_sub(1);
            account.begun = account.begun.wrapping_sub(u32::from(begins));
            account.changed = true;
        }
    }

    /// Returns a permit that was not spent.
    pub fn give_back(&mut self, id: AccountId, shared: bool) {
        if let Some(account) = self.accounts.get_mut(&id) {
            if shared {
                account.share += ONE_REQUEST;
            } else if account.taken > 0 {
                account.taken -= 1;
                account.held += 1;
                account.changed = true;
                self.active.insert(id);
            }
        }
    }

    /// Time after which a refused caller is asked to return, at the earliest after
    /// `wait`; `draw` spreads callers that are refused at the same time.
    #[must_use]
    pub fn return_delay(wait: Duration, draw: u64) -> Duration {
        let wait = wait.max(MIN_RETURN);
        let percent = u32::try_from(draw % 51).unwrap_or(0);
        wait + wait * percent / 100
    }

    // -----------------------------------------------------------------------
    // Messages

    /// Whether any request waits for a permit.
    #[must_use]
    pub fn waits(&self) -> bool {
        let mut active = self.active.iter().filter_map(|id| self.accounts.get(id));
        active.any(Account::waits)
    }

    /// Whether a waiting request may cause a message now.
    #[must_use]
    pub fn is_urgent(&self, now: Time) -> bool {
        let mut waiting = self.active.iter().filter_map(|id| self.accounts.get(id));
        waiting.any(|it| it.waits() && it.ask_at <= now)
    }

    /// Time until a message is due without demand; `None` if none ever is.
    #[must_use]
    pub fn next_due(&self, now: Time) -> Option<Duration> {
        let due = self.sent.map(|at| at + self.cfg.heartbeat);
        self.is_limiting()
            .then(|| due.map_or(Duration::ZERO, |due| due.since(now)))
    }

    /// Least pause between two messages, which bounds what the leader gets.
    #[must_use]
    pub fn pause(&self) -> Duration {
        MIN_PAUSE.max(PAUSE_PER_FRONT * self.fronts)
    }

    /// The next message to the leader; `None` if none is due.
    pub fn next_request(&mut self, now: Time) -> Option<QuotaRequest> {
        if self.accounts.is_empty() {
            return None;
        }
        let due = self
            .sent
            .is_none_or(|at| now.since(at) >= self.cfg.heartbeat);
        if !due && !self.is_urgent(now) {
            return None;
        }
        let cfg = self.cfg;
        let mut uses = Vec::new();
        let accounts = &mut self.accounts;
        self.active.retain(|id| {
            let Some(account) = accounts.get_mut(id) else {
                return false;
            };
            account.return_idle(now, &cfg);
            let spare = account.spare(now, &cfg);
            let needed = account.changed || account.waits() || spare > 0 && account.spare_at <= now;
            if needed {
                account.spare_at = now + SPARE_INTERVAL;
                uses.push(QuotaUse {
                    account: *id,
                    used: account.used,
                    begun: account.begun,
                    held: account.all_held(),
                    wanted: account.waiting,
                    wanted_new: account.waiting_new,
                    spare,
                });
            }
            needed || spare > 0 || account.all_held() > 0
        });
        self.sequence += 1;
        self.sent = Some(now);
        Some(QuotaRequest {
            front: self.front,
            run: self.run,
            sequence: self.sequence,
            fronts: self.fronts,
            leaves: false,
            uses: uses.into(),
        })
    }

    /// The last message of a front that ends, which frees its permits.
    pub fn leave(&mut self, now: Time) -> Option<QuotaRequest> {
        self.sent = None;
        let mut last = self.next_request(now)?;
        last.leaves = true;
        Some(last)
    }

    /// Applies the reply to a message that was sent at `sent`. Returns the views in
    /// which it changed whether permits are scarce.
    pub fn accept(
        &mut self,
        now: Time,
        sent: Time,
        req: &QuotaRequest,
        reply: &QuotaReply,
    ) -> Vec<QuotaView> {
        let mut changed = Vec::new();
        if reply.grants.len() != req.uses.len() || req.sequence != self.sequence {
            return changed;
        }
        self.contact = Some(sent);
        self.fronts = reply.fronts;
        for (asked, grant) in req.uses.iter().zip(&reply.grants) {
            if let Some(account) = self.accounts.get_mut(&asked.account) {
                if account.accept(now, sent, &self.cfg, asked, grant) {
                    changed.push(account.view(asked.account, now));
                }
                if account.all_held() > 0 || account.changed {
                    self.active.insert(asked.account);
                }
            }
        }
        if self.leader != reply.leader {
            // Another leader knows only of the permits that it was told of.
            self.leader = reply.leader;
            for (id, account) in &mut self.accounts {
                if account.all_held() > 0 {
                    account.changed = true;
                    self.active.insert(*id);
                }
            }
        }
        changed
    }

    /// Views of all accounts with a limit.
    pub fn views(&self, now: Time) -> impl Iterator<Item = QuotaView> {
        let views = self.accounts.iter();
        views.map(move |(id, account)| account.view(*id, now))
    }
}

impl Account {
    const fn waiting_of(&mut self, begins: bool) -> &mut u32 {
        if begins {
            &mut self.waiting_new
        } else {
            &mut self.waiting
        }
    }

    const fn waits(&self) -> bool {
        self.waiting > 0 || self.waiting_new > 0
    }

    fn view(&self, account: AccountId, now: Time) -> QuotaView {
        QuotaView {
            account,
            limit: self.limit,
            permits: self.all_held(),
            revision: self.revision,
            scarce: self.is_scarce(now),
            used: self.used,
        }
    }

    /// Returns permits that have not been used for long.
    fn return_idle(&mut self, now: Time, cfg: &FleetQuotaSettings) {
        let idle = now.since(self.last_use) >= cfg.idle_time;
        if idle && self.held + self.held_new > 0 {
            (self.held, self.held_new) = (0, 0);
            self.changed = true;
        }
    }

    /// Applies a grant. Returns whether it changed whether permits are scarce.
    fn accept(
        &mut self,
        now: Time,
        sent: Time,
        cfg: &FleetQuotaSettings,
        asked: &QuotaUse,
        grant: &QuotaGrant,
    ) -> bool {
        self.changed =
            (self.used, self.begun, self.all_held()) != (asked.used, asked.begun, asked.held);
        let revoked = grant.revoked.min(self.held);
        self.held -= revoked;
        self.changed |= revoked > 0;
        self.held += grant.permits;
        self.held_new += grant.permits_new;
        let was = std::mem::replace(&mut self.scarce, grant.scarce);
        self.told = now;
        let unmet = grant.permits < asked.wanted || grant.permits_new < asked.wanted_new;
        let again = ASK_AGAIN.max(Duration::from_millis(grant.room_ms.into()));
        self.ask_at = if unmet {
            now + again.min(MAX_WAIT)
        } else {
            now
        };
        self.room_at = now + Duration::from_millis(grant.room_ms.into());
        self.room_new_at = now + Duration::from_millis(grant.room_new_ms.into());
        (self.part, self.part_until) = (grant.part, sent + cfg.part_time);
        was != grant.scarce
    }

    /// Share of the front while there is no contact, in millionths of the rate.
    fn share_of(&self, now: Time, contact: Time, fronts: u32, cfg: &FleetQuotaSettings) -> u64 {
        if now.since(contact) >= cfg.part_time {
            return even_share(fronts);
        }
        let part = if self.part_until > now { self.part } else { 0 };
        mixed_share(part, fronts)
    }

    /// Adds what accumulated of the share.
    fn fill_share(&mut self, now: Time, contact: Time, fronts: u32, cfg: &FleetQuotaSettings) {
        let begins = contact + cfg.share_after;
        if self.share_filled < begins {
            (self.share, self.share_filled) = (0, begins);
        }
        let share = self.share_of(now, contact, fronts, cfg);
        let most = if fronts == 0 {
            0
        } else {
            self.limit.savings(cfg, fronts)
        };
        let added = self.limit.in_period(now.since(self.share_filled));
        let share = i64::try_from(share).unwrap_or(0);
        self.share = (self.share + added / 1_000_000 * share).min(most);
        self.share_filled = now;
    }

    /// Time until the share allows another request.
    fn share_wait(
        &self,
        now: Time,
        contact: Time,
        fronts: u32,
        cfg: &FleetQuotaSettings,
    ) -> Duration {
        let share = self.share_of(now, contact, fronts, cfg);
        let rate = self.limit.rate.0.saturating_mul(share) / 1_000_000;
        let lacking = u64::try_from(ONE_REQUEST - self.share).unwrap_or(0);
        let wait = Duration::from_micros(lacking / rate.max(1));
        wait.min(Duration::from_secs(2))
    }
}
