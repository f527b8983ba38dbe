//! The leader's part: a bucket for each account.

use {
    super::{
        AccountLimit, FleetQuotaSettings, ONE_REQUEST, QuotaGrant, QuotaReply, QuotaRequest,
        QuotaUse, WHOLE, even_share, mixed_share,
    },
    indexmap::IndexMap,
    quay_types::{AccountId, Time},
    std::time::Duration,
};

/// Maximum number of fronts that are tracked; those silent for longest are dropped
/// first.
const MAX_FRONTS: usize = 2_048;

/// Requests of a program that are expected before any were counted.
const INITIAL_PROGRAM_LENGTH: u64 = 12;

/// Largest number of requests that a new program is charged with.
const MAX_PROGRAM_LENGTH: u64 = 64;

/// Programs of an account after whose start the counts of its requests are halved,
/// so that the expected length follows a change.
const PROGRAMS_COUNTED: u64 = 200;

/// Time for which a begun program's request that got no permit keeps new programs
/// from getting one.
const UNMET_TIME: Duration = Duration::from_millis(500);

/// Time for which the requests of programs admitted at once may exceed the rate;
/// they spread over 2 to 15 s.
const PROGRAM_BURST: Duration = Duration::from_secs(2);

/// Part of the rate, in percent, that new programs may commit.
const COMMITTED_PERCENT: i64 = 90;

/// Interval at which fronts are dropped that do not use an account.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Time constant of the use by which parts are computed.
const USE_TIME: Duration = Duration::from_secs(4);

/// A front, as far as the leader has heard from it.
#[derive(Debug)]
struct Front {
    run: u64,
    sequence: u64,
    heard: Time,
    /// Number of fronts that the last reply named.
    told: u32,
    /// Whether its shares are reserved.
    silent: bool,
}

/// One account at one front.
#[derive(Debug)]
struct Holding {
    /// Permits that the front may hold.
    out: i64,
    /// Counters that the front reported last.
    used: u32,
    begun: u32,
    /// Recent use, decaying with `USE_TIME`; in billionths.
    recent: i64,
    updated: Time,
    /// Part of the load that the front was told, and the time until which it counts.
    part: u32,
    part_until: Time,
    /// Time of the last unmet demand of the front.
    wanted: Time,
}

impl Holding {
    const fn new(now: Time, out: i64, req: &QuotaUse) -> Self {
        Self {
            out,
            used: req.used,
            begun: req.begun,
            recent: 0,
            updated: now,
            part: 0,
            part_until: now,
            wanted: Time::ZERO,
        }
    }

    /// Recent use at `now`.
    fn recent(&self, now: Time) -> i64 {
        let age = i64::try_from(now.since(self.updated).as_millis()).unwrap_or(i64::MAX);
        let whole = i64::try_from(USE_TIME.as_millis()).unwrap_or(i64::MAX);
        if age >= whole {
            0
        } else {
            self.recent / whole * (whole - age)
        }
    }
}

/// Account at the leader.
#[derive(Debug)]
struct Account {
    limit: AccountLimit,
    /// Requests that may still be handed out, in billionths; below zero after the
    /// limit was lowered.
    level: i64,
    /// Requests that new programs may still commit, in billionths.
    commitable: i64,
    updated: Time,
    holdings: IndexMap<u64, Holding>,
    /// Number of permits in `holdings`.
    out: i64,
    /// Counts by which the length of programs is expected.
    requests: u64,
    programs: u64,
    /// Time at which a request of a begun program got no permit.
    unmet: Option<Time>,
    /// Time at which the next refused program is to return.
    next_return: Time,
    /// Requests sent since this leader began.
    used: u64,
}

impl Account {
    /// Drops what is known of a front, and returns the number of its permits.
    fn drop_holding(&mut self, front: u64) -> i64 {
        let out = self.holdings.swap_remove(&front).map_or(0, |it| it.out);
        self.out -= out;
        out
    }

    /// Adds what accumulated since the last call, without the `reserved` millionths.
    fn fill(&mut self, now: Time, cfg: &FleetQuotaSettings, reserved: u64) {
        let added = self.limit.in_period(now.since(self.updated));
        let free = i64::try_from(WHOLE.saturating_sub(reserved)).unwrap_or(0);
        let added = added / 1_000_000 * free;
        self.updated = now;
        let room = self
            .limit
            .capacity(cfg)
            .saturating_sub(self.out * ONE_REQUEST);
        self.level = (self.level + added).min(room);
        let most = self.limit.burst() + self.limit.in_period(PROGRAM_BURST);
        self.commitable = (self.commitable + added / 100 * COMMITTED_PERCENT).min(most);
    }

    /// Requests that a program is expected to make.
    fn program_length(&self) -> u64 {
        if self.programs < 5 {
            return INITIAL_PROGRAM_LENGTH;
        }
        self.requests
            .div_ceil(self.programs)
            .clamp(1, MAX_PROGRAM_LENGTH)
    }

    fn charge_per_program(&self) -> i64 {
        i64::try_from(self.program_length()).unwrap_or(1) * ONE_REQUEST
    }

    /// Millionths of the rate that `silent` fronts, with the number of fronts that
    /// each was told, may use.
    fn reserved(&self, silent: &[(u64, u32)], missing: u64) -> u64 {
        let shares = silent.iter().map(|(id, told)| {
            let part = self.holdings.get(id).map_or(0, |it| it.part);
            mixed_share(part, *told).max(even_share(*told))
        });
        shares.sum::<u64>().saturating_add(missing).min(WHOLE)
    }
}

/// Use of an account, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaReport {
    /// The account.
    pub account: AccountId,
    /// Its limit.
    pub limit: AccountLimit,
    /// Requests that may be handed out now; below zero after the limit was lowered.
    pub free: i64,
    /// Permits that fronts hold.
    pub held: i64,
    /// Requests sent since this leader began.
    pub used: u64,
    /// Requests that a program is expected to make.
    pub program_length: u64,
}

/// Hands out permits for the requests of accounts.
///
/// A new leader knows neither the permits in use nor the requests of the last
/// window. It begins with a quarter of the headroom, adopts the permits that fronts
/// report, and reserves the shares of the fronts that it has not heard of.
#[derive(Debug)]
pub struct FleetQuotaAllocator {
    cfg: FleetQuotaSettings,
    /// Identity of this leader's term.
    leader: u64,
    started: Time,
    pruned: Time,
    revision: u64,
    accounts: IndexMap<AccountId, Account>,
    fronts: IndexMap<u64, Front>,
    /// Silent fronts, with the number of fronts that each was told.
    silent: Vec<(u64, u32)>,
    /// Largest number of fronts that one named, as it knew from an earlier leader.
    expected: u32,
}

impl FleetQuotaAllocator {
    /// Creates the allocator of a new leader. `leader` must differ from that of
    /// earlier leaders.
    #[must_use]
    pub fn new(now: Time, leader: u64, cfg: FleetQuotaSettings) -> Self {
        Self {
            cfg,
            leader,
            started: now,
            pruned: now,
            revision: 0,
            accounts: IndexMap::new(),
            fronts: IndexMap::new(),
            silent: Vec::new(),
            expected: 0,
        }
    }

    /// Revision of the limits in use.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Keeps the limits at a new revision, whose limits are unknown.
    pub const fn keep_limits(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Replaces the limits. An account without a limit is left out.
    pub fn set_limits(
        &mut self,
        now: Time,
        revision: u64,
        limits: impl IntoIterator<Item = (AccountId, AccountLimit)>,
    ) {
        self.fill_all(now);
        let first = self.revision == 0;
        self.revision = revision;
        let mut known = std::mem::take(&mut self.accounts);
        for (id, limit) in limits {
            let account = match known.swap_remove(&id) {
                Some(mut account) => {
                    // What was used of the former capacity stays used.
                    let change = limit.capacity(&self.cfg) - account.limit.capacity(&self.cfg);
                    account.level += change;
                    account.limit = limit;
                    account
                }
                None => Account {
                    limit,
                    level: if first {
                        limit.headroom(&self.cfg) / 4
                    } else {
                        limit.capacity(&self.cfg)
                    },
                    commitable: limit.burst(),
                    updated: now,
                    holdings: IndexMap::new(),
                    out: 0,
                    requests: 0,
                    programs: 0,
                    unmet: None,
                    next_return: now,
                    used: 0,
                },
            };
            self.accounts.insert(id, account);
        }
    }

    /// Millionths reserved for fronts that the leader has not heard of.
    fn missing(&self) -> u64 {
        let known = u32::try_from(self.fronts.len()).unwrap_or(u32::MAX);
        let missing = self.expected.saturating_sub(known);
        even_share(self.expected) * u64::from(missing)
    }

    fn fill_all(&mut self, now: Time) {
        let missing = self.missing();
        for account in self.accounts.values_mut() {
            let reserved = account.reserved(&self.silent, missing);
            account.fill(now, &self.cfg, reserved);
        }
    }

    /// Takes note of fronts that have become silent, and forgets those that have been
    /// so for long. To be called several times a second.
    pub fn tick(&mut self, now: Time) {
        let cfg = self.cfg;
        if now.since(self.pruned) >= PRUNE_INTERVAL {
            self.pruned = now;
            for account in self.accounts.values_mut() {
                account.prune(now);
            }
        }
        let due: Vec<u64> = self
            .fronts
            .iter()
            .filter(|(_, it)| !it.silent && now.since(it.heard) >= cfg.reserve_after)
            .map(|(id, _)| *id)
            .collect();
        let ended = |it: &Front| now.since(it.heard) >= cfg.share_time;
        let outdated = self.fronts.values().any(ended)
            || self.expected > 0 && now.since(self.started) >= cfg.share_time;
        if due.is_empty() && !outdated {
            return;
        }
        self.fill_all(now);
        for id in due {
            self.set_silent(id, true);
        }
        if outdated {
            self.fronts.retain(|_, it| !ended(it));
            if now.since(self.started) >= cfg.share_time {
                self.expected = 0;
            }
            let fronts = &self.fronts;
            self.silent.retain(|(id, _)| fronts.contains_key(id));
            for account in self.accounts.values_mut() {
                account.holdings.retain(|id, _| fronts.contains_key(id));
                account.out = account.holdings.values().map(|it| it.out).sum();
            }
        }
    }

    /// Marks a front silent or heard of. What a silent front may have saved up of its
    /// share is taken from the buckets.
    fn set_silent(&mut self, id: u64, silent: bool) {
        let Some(front) = self.fronts.get_mut(&id) else {
            return;
        };
        front.silent = silent;
        let told = front.told;
        self.silent.retain(|(front, _)| *front != id);
        if silent {
            self.silent.push((id, told));
        }
        for account in self.accounts.values_mut() {
            let limit = account.limit;
            if silent {
                account.level -= limit.savings(&self.cfg, told);
            }
        }
    }

    /// Answers a message of a front.
    pub fn grant(&mut self, now: Time, req: &QuotaRequest) -> QuotaReply {
        self.tick(now);
        if req.leaves {
            self.forget(now, req);
            return self.reply(Box::default());
        }
        let expected = self.expected.max(req.fronts);
        let known = self.fronts.get(&req.front);
        let restarted = known.is_some_and(|it| it.run != req.run);
        let outdated = known.is_some_and(|it| it.run == req.run && it.sequence > req.sequence);
        if outdated {
            return self.reply(Box::default());
        }
        let returns = known.is_some_and(|it| it.silent);
        // A front that this leader has not heard of knows how many there were. Later
        // on the leader itself counts them.
        let adopts = now.since(self.started) < self.cfg.share_after && expected > self.expected;
        if known.is_none() || returns || restarted || adopts {
            self.fill_all(now);
            if adopts {
                self.expected = expected;
            }
            if returns {
                self.set_silent(req.front, false);
            }
            if restarted {
                for account in self.accounts.values_mut() {
                    account.drop_holding(req.front);
                }
            }
        }
        let front = Front {
            run: req.run,
            sequence: req.sequence,
            heard: now,
            told: 0,
            silent: false,
        };
        self.fronts.insert(req.front, front);
        if self.fronts.len() > MAX_FRONTS {
            let oldest = self.fronts.iter().min_by_key(|(_, it)| it.heard);
            let oldest = oldest.map(|(id, _)| *id);
            if let Some(oldest) = oldest {
                self.silent.retain(|(id, _)| *id != oldest);
                self.fronts.swap_remove(&oldest);
            }
        }
        let grants = req.uses.iter().map(|it| self.grant_one(now, req.front, it));
        let grants = grants.collect();
        let reply = self.reply(grants);
        if let Some(front) = self.fronts.get_mut(&req.front) {
            front.told = reply.fronts;
        }
        reply
    }

    fn reply(&self, grants: Box<[QuotaGrant]>) -> QuotaReply {
        let known = u32::try_from(self.fronts.len()).unwrap_or(u32::MAX);
        QuotaReply {
            leader: self.leader,
            revision: self.revision,
            fronts: known.max(self.expected),
            grants,
        }
    }

    /// Takes back the permits of a front that ends.
    fn forget(&mut self, now: Time, req: &QuotaRequest) {
        if self
            .fronts
            .get(&req.front)
            .is_none_or(|it| it.run != req.run)
        {
            return;
        }
        self.fill_all(now);
        for it in &req.uses {
            if let Some(account) = self.accounts.get_mut(&it.account) {
                account.settle(now, req.front, it);
            }
        }
        for account in self.accounts.values_mut() {
            account.level += account.drop_holding(req.front) * ONE_REQUEST;
        }
        self.fronts.swap_remove(&req.front);
        self.silent.retain(|(id, _)| *id != req.front);
        self.expected = self.expected.saturating_sub(1);
    }

    fn grant_one(&mut self, now: Time, front: u64, req: &QuotaUse) -> QuotaGrant {
        let missing = self.missing();
        let cfg = self.cfg;
        let Some(account) = self.accounts.get_mut(&req.account) else {
            // The front has a table that limits the account, and this one does not.
            let permits = req.wanted + req.wanted_new;
            return QuotaGrant {
                permits,
                permits_new: 0,
                revoked: 0,
                part: 0,
                scarce: false,
                room_ms: 0,
                room_new_ms: 0,
            };
        };
        let reserved = account.reserved(&self.silent, missing);
        account.fill(now, &cfg, reserved);
        account.settle(now, front, req);
        account.hand_out(now, &cfg, front, req)
    }

    /// Use of all accounts with a limit.
    pub fn reports(&self) -> impl Iterator<Item = QuotaReport> {
        self.accounts.iter().map(|(id, account)| QuotaReport {
            account: *id,
            limit: account.limit,
            free: account.level / ONE_REQUEST,
            held: account.out,
            used: account.used,
            program_length: account.program_length(),
        })
    }
}

impl Account {
    /// Drops fronts without permits that have not used the account lately. Such a
    /// front can't send a request before it reports again.
    fn prune(&mut self, now: Time) {
        self.holdings
            .retain(|_, it| it.out > 0 || it.part_until > now);
        if self.holdings.capacity() > 4 * self.holdings.len() {
            self.holdings.shrink_to_fit();
        }
    }

    /// Applies what a front reports of its use.
    fn settle(&mut self, now: Time, front: u64, req: &QuotaUse) {
        let held = i64::from(req.held);
        let Some(holding) = self.holdings.get_mut(&front) else {
            // Permits of an earlier leader.
            self.holdings.insert(front, Holding::new(now, held, req));
            self.out += held;
            return;
        };
        // A request that was refused after all lowers the count.
        let used = i64::from(req.used.wrapping_sub(holding.used).cast_signed());
        let begun = i64::from(req.begun.wrapping_sub(holding.begun).cast_signed());
        (holding.used, holding.begun) = (req.used, req.begun);
        self.level += (holding.out - used - held) * ONE_REQUEST;
        self.out += held - holding.out;
        holding.out = held;
        holding.recent = (holding.recent(now) + used * ONE_REQUEST).max(0);
        holding.updated = now;
        self.commitable -= begun * self.charge_per_program();
        self.used = self.used.saturating_add_signed(used);
        self.requests = self.requests.saturating_add_signed(used);
        self.programs = self.programs.saturating_add_signed(begun);
        if self.programs >= PROGRAMS_COUNTED {
            self.programs /= 2;
            self.requests /= 2;
        }
    }

    fn hand_out(
        &mut self,
        now: Time,
        cfg: &FleetQuotaSettings,
        front: u64,
        req: &QuotaUse,
    ) -> QuotaGrant {
        let capacity = self.limit.capacity(cfg);
        let headroom = self.limit.headroom(cfg);
        // A front takes no more than its part of what is left of those that want some.
        let wanting = self
            .holdings
            .iter()
            .filter(|(id, it)| **id != front && now.since(it.wanted) < UNMET_TIME);
        let wanting = i64::try_from(wanting.count()).unwrap_or(0) + 1;
        let whole = |level: i64| level.max(0) / ONE_REQUEST;
        let share = |level: i64| (whole(level) / wanting).max(1).min(whole(level));
        let wanted = i64::from(req.wanted);
        let mut permits = wanted.min(share(self.level));
        self.level -= permits * ONE_REQUEST;
        if permits < wanted {
            self.unmet = Some(now);
        }
        // New programs leave a reserve to those begun. While the account is far below
        // its limit, what they commit does not matter.
        let reserve = (capacity / 4).min(headroom / 4);
        let unmet = self.unmet.is_some_and(|at| now.since(at) < UNMET_TIME);
        let charge = self.charge_per_program();
        let mut permits_new = 0;
        if !unmet {
            let most = i64::from(req.wanted_new).min(share(self.level - reserve));
            while permits_new < most
                && (self.commitable - permits_new * charge > 0
                    || self.level - permits_new * ONE_REQUEST >= capacity / 2)
            {
                permits_new += 1;
            }
            self.level -= permits_new * ONE_REQUEST;
        }
        let mut room = share(self.level - capacity / 4);
        room = room.min(i64::from(req.spare));
        self.level -= room * ONE_REQUEST;
        permits += room;
        let revoked = if self.level < 0 {
            (-self.level / ONE_REQUEST + 1).min(i64::from(req.held))
        } else {
            0
        };
        let scarce = self.level < reserve || self.commitable <= 0 && self.level < capacity / 2;
        let room_ms = self.wait_ms(ONE_REQUEST * wanting - self.level);
        let denied = i64::from(req.wanted_new) - permits_new;
        let room_new_ms = if denied > 0 {
            // Refused programs return one after the other, at the rate at which
            // programs fit.
            let interval = self.wait_ms(charge);
            let behind = self.wait_ms((-self.commitable).max(reserve - self.level));
            let first = now + Duration::from_millis(behind.into());
            let latest = now + Duration::from_secs(4);
            self.next_return = (self.next_return.max(first)
                + Duration::from_millis(u64::from(interval)))
            .min(latest);
            u32::try_from(self.next_return.since(now).as_millis()).unwrap_or(u32::MAX)
        } else {
            0
        };
        let (part, part_until) = self.part(now, cfg, front);
        if let Some(holding) = self.holdings.get_mut(&front) {
            holding.out += permits + permits_new;
            self.out += permits + permits_new;
            (holding.part, holding.part_until) = (part, part_until);
            if permits < wanted || denied > 0 {
                holding.wanted = now;
            }
        }
        QuotaGrant {
            permits: u32::try_from(permits).unwrap_or(0),
            permits_new: u32::try_from(permits_new).unwrap_or(0),
            revoked: u32::try_from(revoked).unwrap_or(0),
            part,
            scarce,
            room_ms,
            room_new_ms,
        }
    }

    /// Milliseconds in which an amount accumulates.
    fn wait_ms(&self, amount: i64) -> u32 {
        let amount = u64::try_from(amount.max(0)).unwrap_or(0);
        let per_ms = self.limit.rate.0.max(1) * 1_000;
        u32::try_from(amount / per_ms).unwrap_or(u32::MAX)
    }

    /// Part of the load that a front has. Parts told to all fronts never add up to
    /// more than the whole.
    fn part(&self, now: Time, cfg: &FleetQuotaSettings, front: u64) -> (u32, Time) {
        let (mut total, mut told, mut own) = (0_i64, 0_u64, 0);
        for (id, holding) in &self.holdings {
            let recent = holding.recent(now);
            total += recent;
            if *id == front {
                own = recent;
            } else if holding.part_until > now {
                told += u64::from(holding.part);
            }
        }
        let part = if total > 0 {
            u64::try_from(own / (total / 1_000_000).max(1)).unwrap_or(0)
        } else {
            0
        };
        let part = part.min(WHOLE.saturating_sub(told));
        (u32::try_from(part).unwrap_or(0), now + cfg.part_time)
    }
}
