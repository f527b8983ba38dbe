//! Limits that upstreams name for the requests of all entries together.
//!
//! An entry sends a request to a limited upstream only with a permit.
//! [`LimitAllocator`], of which there is one, issues permits at the rate of the
//! limit; [`LimitHolder`] is an entry's part. Permits go to the entries that have
//! requests, since the even share of one of many entries would be far below one
//! request a second. They are valid for a short time, so that an entry that was
//! paused or cut off does not use old ones.
//!
//! A request that is bound to some of the upstreams, since it goes on with a stream of
//! their software version, has no other way out if these are limited. So half of what
//! an upstream accumulates is kept for bound requests; without any, that half is full
//! and all that comes in goes to the others.

use {
    super::UpstreamRun,
    indexmap::IndexMap,
    quay_types::{RequestRate, ServiceId, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One request, in billionths of a request.
const ONE_REQUEST: u64 = 1_000_000_000;

/// Least rate at which an upstream gets requests: only its answers tell that the
/// limit has ended.
const MIN_RATE: RequestRate = RequestRate(500);

/// Maximum number of limited upstreams; the oldest are dropped first.
const MAX_LIMITED: usize = 4_096;

/// Settings of limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Time for which a permit is valid.
    pub permit_time: Duration,
    /// Time for which permits that no entry wants are kept.
    pub burst_time: Duration,
    /// Time after its last request for which an entry counts as one that shares
    /// the limits.
    pub holder_time: Duration,
    /// Time for which requests for permits are not answered after which an entry
    /// goes on with an even share of each limit.
    pub share_after: Duration,
    /// Longest time after which a refused caller is asked to return.
    pub max_return: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            permit_time: Duration::from_secs(1),
            burst_time: Duration::from_secs(1),
            holder_time: Duration::from_secs(2),
            share_after: Duration::from_millis(1_500),
            max_return: Duration::from_secs(2),
        }
    }
}

/// Permits that an entry wants for one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitDemand {
    /// Upstream and its incarnation.
    pub upstream: UpstreamRun,
    /// Limit that the upstream named to this entry.
    pub rate: RequestRate,
    /// Milliseconds since then.
    pub age_ms: u32,
    /// Most permits for this upstream.
    pub wanted: u32,
}

/// Request of an entry for permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Random identity of the entry.
    pub holder: u64,
    /// Upstreams to which the entry's requests can go.
    pub demands: Box<[PermitDemand]>,
    /// Number of permits for all upstreams together.
    pub total: u32,
    /// Whether the requests are bound to these upstreams; entries of earlier versions
    /// end before this field.
    #[serde(deserialize_with = "quay_types::last_field::or_default")]
    pub bound: bool,
}

/// Permits of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Number of permits for each demand, in the order of the request.
    pub permits: Box<[u32]>,
    /// Number of entries that share the limits.
    pub holders: u32,
}

/// Amount of requests that accumulates at a rate.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Level in billionths of a request.
    level: u64,
    updated: Time,
}

impl Bucket {
    const fn empty(now: Time) -> Self {
        Self {
            level: 0,
            updated: now,
        }
    }

    /// Adds what accumulated since the last call, up to what accumulates in
    /// `burst`, but at least up to one request. Returns that limit.
    fn fill(&mut self, now: Time, rate: RequestRate, burst: Duration) -> u64 {
        let added = rate.billionths_in(now.since(self.updated));
        let capacity = rate.billionths_in(burst).max(ONE_REQUEST);
        self.level = self.level.saturating_add(added).min(capacity);
        self.updated = now;
        capacity
    }

    /// Takes one request, if there is one.
    fn take(&mut self) {
        self.level = self.level.saturating_sub(ONE_REQUEST);
    }
}

// ---------------------------------------------------------------------------
// Allocator

/// Limit of one upstream at the allocator.
#[derive(Debug)]
struct Allocation {
    rate: RequestRate,
    /// Time at which the upstream named the rate.
    named: Time,
    bucket: Bucket,
    /// Time of the last demand.
    demanded: Time,
}

/// Issues permits for limited upstreams.
///
/// It holds no state that must survive: an allocator that takes over begins with
/// empty buckets, so that its permits and those issued before exceed the limit by
/// at most what accumulates while a permit is valid.
#[derive(Debug, Default)]
pub struct LimitAllocator {
    cfg: LimitSettings,
    upstreams: IndexMap<UpstreamRun, Allocation>,
    /// Time of the last request of each entry.
    holders: IndexMap<u64, Time>,
}

impl LimitAllocator {
    /// Issues permits to an entry, one by one for the upstreams with the most
    /// requests left.
    pub fn grant(&mut self, now: Time, req: &PermitRequest) -> PermitGrant {
        self.holders.insert(req.holder, now);
        let holders = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        let available = req.demands.iter().map(|demand| {
            let available = self.available(now, demand, req.bound);
            // No entry takes more than its share of what has accumulated.
            let share = (available / u64::from(holders)).max(1).min(available);
            share.min(demand.wanted.into())
        });
        let available: Vec<u64> = available.collect();
        let mut permits = vec![0; available.len()];
        for _ in 0..req.total {
            let left = available.iter().zip(&permits).map(|(all, used)| all - used);
            let Some((most, _)) = left
                .enumerate()
                .filter(|(_, left)| *left > 0)
                .max_by_key(|it| it.1)
            else {
                break;
            };
            permits[most] += 1;
        }
        for (demand, permits) in req.demands.iter().zip(&permits) {
            if let Some(allocation) = self.upstreams.get_mut(&demand.upstream) {
                let taken = permits * ONE_REQUEST;
                allocation.bucket.level = allocation.bucket.level.saturating_sub(taken);
            }
        }
        let permits = permits
            .into_iter()
            .map(|it| u32::try_from(it).unwrap_or(u32::MAX));
        PermitGrant {
            permits: permits.collect(),
            holders,
        }
    }

    /// Number of requests, bound ones or others, that an upstream takes now. Adopts
    /// the limit that the upstream named last.
    fn available(&mut self, now: Time, demand: &PermitDemand, bound: bool) -> u64 {
        let age = Duration::from_millis(demand.age_ms.into());
        let named = Time::ZERO + now.since(Time::ZERO).saturating_sub(age);
        let allocation = self
            .upstreams
            .entry(demand.upstream)
            .or_insert_with(|| Allocation {
                rate: demand.rate,
                named,
                bucket: Bucket::empty(now),
                demanded: now,
            });
        let rate = allocation.rate.max(MIN_RATE);
        let capacity = allocation.bucket.fill(now, rate, self.cfg.burst_time);
        allocation.demanded = now;
        if named >= allocation.named {
            (allocation.rate, allocation.named) = (demand.rate, named);
        }
        let kept = if bound {
            0
        } else {
            capacity / ONE_REQUEST / 2 * ONE_REQUEST
        };
        allocation.bucket.level.saturating_sub(kept) / ONE_REQUEST
    }

    /// Forgets entries and upstreams without recent requests.
    pub fn tick(&mut self, now: Time) {
        let kept = self.cfg.holder_time;
        self.holders.retain(|_, at| now.since(*at) < kept);
        self.upstreams
            .retain(|_, allocation| now.since(allocation.demanded) < kept);
    }
}

// ---------------------------------------------------------------------------
// Holder

/// Limit of one upstream at an entry.
#[derive(Debug)]
struct Limited {
    rate: RequestRate,
    /// Time of the last response that named the limit.
    named: Time,
    permits: u32,
    /// Number of these permits that were issued for bound requests.
    bound_permits: u32,
    /// Time until which the permits are valid.
    valid_until: Time,
    /// Number of requests that could have been sent there with a permit, since the
    /// last request for permits.
    wanted: Wanted,
    /// Even share of the limit, used while the allocator does not reply.
    share: Bucket,
}

/// Permits that are wanted, since the last request for them.
#[derive(Debug, Default)]
struct Wanted {
    /// For requests that are bound to some upstreams.
    bound: u32,
    /// For other requests.
    other: u32,
}

impl Wanted {
    const fn of(&mut self, bound: bool) -> &mut u32 {
        if bound {
            &mut self.bound
        } else {
            &mut self.other
        }
    }

    const fn add(&mut self, bound: bool) {
        let wanted = self.of(bound);
        *wanted = wanted.saturating_add(1);
    }

    const fn take(&mut self, bound: bool) -> u32 {
        std::mem::replace(self.of(bound), 0)
    }
}

/// Limited upstreams as one entry knows them.
#[derive(Debug, Default)]
pub struct LimitHolder {
    cfg: LimitSettings,
    /// Limited incarnations, oldest first. Kept after the directory has dropped an
    /// upstream, since it may list it again.
    limited: IndexMap<UpstreamRun, Limited>,
    /// Number of requests for which a permit is wanted, since the last request for
    /// permits.
    wanted: Wanted,
    /// Number of entries that share the limits; 0 if the allocator never replied.
    holders: u32,
    /// Time of the first request for permits since the last reply.
    unanswered_since: Option<Time>,
    /// Time at which the last caller that was refused for a service is to return.
    returns: IndexMap<ServiceId, Time>,
}

impl LimitHolder {
    /// Records a response to a request that was sent at `sent`. Returns whether a
    /// limit began, changed or ended.
    ///
    /// A limit ends only with a response to a request that was sent after the
    /// limit was last named, since responses may overtake one another.
    pub fn record_response(
        &mut self,
        now: Time,
        upstream: UpstreamRun,
        sent: Time,
        limit: Option<RequestRate>,
    ) -> bool {
        let known = self.limited.get_mut(&upstream);
        match (limit, known) {
            (Some(rate), Some(limited)) => {
                limited.named = now;
                std::mem::replace(&mut limited.rate, rate) != rate
            }
            (Some(rate), None) => {
                let limited = Limited {
                    rate,
                    named: now,
                    permits: 0,
                    bound_permits: 0,
                    valid_until: now,
                    wanted: Wanted::default(),
                    share: Bucket::empty(now),
                };
                self.limited.insert(upstream, limited);
                if self.limited.len() > MAX_LIMITED {
                    self.limited.shift_remove_index(0);
                }
                true
            }
            (None, Some(limited)) if sent > limited.named => {
                self.limited.shift_remove(&upstream);
                true
            }
            (None, _) => false,
        }
    }

    /// Whether an upstream is limited.
    #[must_use]
    pub fn is_limited(&self, upstream: UpstreamRun) -> bool {
        self.limited.contains_key(&upstream)
    }

    /// Number of limited upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limited.len()
    }

    /// Whether no upstream is limited.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limited.is_empty()
    }

    /// Whether a request may be sent to an upstream; `bound` tells whether it is bound
    /// to some upstreams.
    pub fn may_send(&mut self, now: Time, upstream: UpstreamRun, bound: bool) -> bool {
        let shares = self.uses_shares(now);
        let (cfg, holders) = (self.cfg, self.holders);
        let Some(limited) = self.limited.get_mut(&upstream) else {
            return true;
        };
        if limited.valid_until <= now {
            (limited.permits, limited.bound_permits) = (0, 0);
        }
        if shares {
            let share = RequestRate(limited.rate.max(MIN_RATE).0 / u64::from(holders.max(1)));
            limited.share.fill(now, share, cfg.burst_time);
        } else {
            limited.share = Bucket::empty(now);
        }
        let kept = if bound { 0 } else { limited.bound_permits };
        limited.permits > kept || limited.share.level >= ONE_REQUEST
    }

    /// Records that a permit is wanted for a request that could not be sent to any
    /// of `upstreams`. A request that is refused wants none: nothing would use it.
    pub fn want_permit(&mut self, upstreams: &[UpstreamRun], bound: bool) {
        for upstream in upstreams {
            if let Some(limited) = self.limited.get_mut(upstream) {
                limited.wanted.add(bound);
            }
        }
        if !upstreams.is_empty() {
            self.wanted.add(bound);
        }
    }

    /// Records that a request is sent to an upstream, after
    /// [`may_send`](Self::may_send) allowed it.
    pub fn use_permit(&mut self, upstream: UpstreamRun, bound: bool) {
        if let Some(limited) = self.limited.get_mut(&upstream) {
            if limited.permits > 0 {
                limited.permits -= 1;
                let used = u32::from(bound);
                limited.bound_permits = limited.bound_permits.saturating_sub(used);
            } else {
                limited.share.take();
            }
        }
    }

    /// Whether the allocator has not replied for so long that the entry goes on
    /// with its even share.
    fn uses_shares(&self, now: Time) -> bool {
        let unanswered = self.unanswered_since.map(|since| now.since(since));
        self.holders > 0 && unanswered.is_some_and(|time| time >= self.cfg.share_after)
    }

    /// The next request for permits, for bound requests or for others; `None` if none
    /// are wanted.
    pub fn next_request(&mut self, now: Time, holder: u64, bound: bool) -> Option<PermitRequest> {
        let permit_time = self.cfg.permit_time;
        let demands = self.limited.iter_mut().filter_map(|(upstream, limited)| {
            // More permits than the upstream takes in that time would expire.
            let useful = limited
                .rate
                .billionths_in(permit_time)
                .div_ceil(ONE_REQUEST);
            let useful = u32::try_from(useful).unwrap_or(u32::MAX).max(1);
            let wanted = limited.wanted.take(bound).min(useful);
            let age = now.since(limited.named).as_millis();
            (wanted > 0).then(|| PermitDemand {
                upstream: *upstream,
                rate: limited.rate,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                wanted,
            })
        });
        let demands: Box<[_]> = demands.collect();
        let total = self.wanted.take(bound);
        if demands.is_empty() {
            return None;
        }
        self.unanswered_since.get_or_insert(now);
        Some(PermitRequest {
            holder,
            demands,
            total,
            bound,
        })
    }

    /// Takes the permits that the allocator issued for a request sent at `sent`.
    pub fn accept(&mut self, now: Time, sent: Time, req: &PermitRequest, grant: &PermitGrant) {
        self.holders = grant.holders.max(1);
        self.unanswered_since = None;
        let valid_until = sent + self.cfg.permit_time;
        for (demand, permits) in req.demands.iter().zip(&grant.permits) {
            if let Some(limited) = self.limited.get_mut(&demand.upstream)
                && *permits > 0
            {
                if limited.valid_until <= now {
                    (limited.permits, limited.bound_permits) = (0, 0);
                }
                limited.permits += permits;
                limited.bound_permits += if req.bound { *permits } else { 0 };
                limited.valid_until = valid_until;
            }
        }
    }

    /// Number of entries that share the limits, as far as known.
    #[must_use]
    pub const fn holders(&self) -> u32 {
        self.holders
    }

    /// Time after which a caller is asked to return whose request was refused, if
    /// any of the service's `upstreams` is limited. Callers return one after the
    /// other, at the rate of the limits.
    pub fn return_delay(
        &mut self,
        now: Time,
        service: ServiceId,
        upstreams: &[UpstreamRun],
    ) -> Option<Duration> {
        let limited = upstreams.iter().filter_map(|it| self.limited.get(it));
        let total = limited.map(|limited| limited.rate.max(MIN_RATE).0).sum();
        // The rate of the upstreams that are limited is shared by all entries.
        let interval = RequestRate(total).interval()? * self.holders.max(1);
        let latest = now + self.cfg.max_return;
        let next = self.returns.entry(service).or_default();
        *next = ((*next).max(now) + interval).min(latest);
        Some(next.since(now))
    }
}
