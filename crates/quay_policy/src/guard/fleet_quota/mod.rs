//! Limits on the requests of a client account over all fronts.
//!
//! [`FleetQuotaAllocator`], at the control leader, keeps a token bucket for each
//! account and hands its tokens out as permits; [`FleetQuotaHolder`], at a front,
//! sends a request only with a permit. Permits that a front holds still count as
//! part of the bucket, so that the requests in any window exceed neither the
//! bucket's capacity plus its rate, however long permits are held.
//!
//! The load addressed is an account that rises to several times its limit within
//! 100 ms at all fronts, while the others stay below theirs.

mod allocator;
mod holder;

pub use {
    allocator::{FleetQuotaAllocator, QuotaReport},
    holder::{FleetQuotaHolder, Permission, QuotaView},
};

use {
    quay_types::{AccountId, RequestRate},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One request, in billionths of a request.
const ONE_REQUEST: i64 = 1_000_000_000;

/// Shares are in millionths of an account's rate.
const WHOLE: u64 = 1_000_000;

/// Settings of account limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetQuotaSettings {
    /// Span over which the limit is bounded.
    pub window: Duration,
    /// Part of the limit in a window that may be exceeded, in thousandths.
    pub excess: u32,
    /// Number of requests in a window that may exceed the limit besides.
    pub slack: u32,
    /// Time without a reply after which a front goes on with its share.
    pub share_after: Duration,
    /// Silence of a front after which the leader reserves the front's share. Less
    /// than `share_after`, so that the share is reserved before it is used.
    pub reserve_after: Duration,
    /// Time for which the part of an account's load that a front had is a part of
    /// its share; the even share applies afterwards.
    pub part_time: Duration,
    /// Time without contact after which a front uses neither permits nor shares, and
    /// the leader forgets it.
    pub share_time: Duration,
    /// Time without requests after which a front returns permits.
    pub idle_time: Duration,
    /// Interval of a front's messages without demand.
    pub heartbeat: Duration,
}

impl Default for FleetQuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess: 100,
            slack: 20,
            share_after: Duration::from_millis(1_500),
            reserve_after: Duration::from_millis(900),
            part_time: Duration::from_secs(6),
            share_time: Duration::from_mins(10),
            idle_time: Duration::from_secs(3),
            heartbeat: Duration::from_millis(250),
        }
    }
}

/// Limit of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountLimit {
    /// Rate of requests.
    pub rate: RequestRate,
    /// Number of requests that may exceed the rate.
    pub burst: u64,
}

impl AccountLimit {
    fn burst(self) -> i64 {
        i64::try_from(self.burst)
            .unwrap_or(i64::MAX)
            .min(1_000_000_000)
            .saturating_mul(ONE_REQUEST)
    }

    fn in_period(self, period: Duration) -> i64 {
        i64::try_from(self.rate.billionths_in(period)).unwrap_or(i64::MAX)
    }

    /// Requests in a window by which the limit may be exceeded.
    fn headroom(self, cfg: &FleetQuotaSettings) -> i64 {
        let limit = self.in_period(cfg.window).saturating_add(self.burst());
        (limit / 1_000)
            .saturating_mul(cfg.excess.into())
            .saturating_add(i64::from(cfg.slack) * ONE_REQUEST)
    }

    /// Capacity of the account's bucket. Most of the headroom makes up for permits
    /// that fronts hold without using them; the rest covers a change of the leader
    /// and what fronts without contact save up.
    fn capacity(self, cfg: &FleetQuotaSettings) -> i64 {
        self.burst().saturating_add(self.headroom(cfg) / 4 * 3)
    }

    /// Requests, in billionths, that one of `fronts` may save up of its share while it
    /// has no contact. All fronts together save up no more than the burst and what is
    /// left of the headroom after a change of the leader. If that is less than a
    /// request for each, none is saved up, and the share is of no use.
    fn savings(self, cfg: &FleetQuotaSettings, fronts: u32) -> i64 {
        let all = self.burst().saturating_add(self.headroom(cfg) / 4 * 3);
        let each = all / i64::from(fronts.max(1));
        if each < ONE_REQUEST { 0 } else { each }
    }
}

/// Share of a front without contact while its part counts: half by its part of the
/// load and half evenly, since callers move between fronts.
const fn mixed_share(part: u32, fronts: u32) -> u64 {
    part as u64 / 2 + even_share(fronts) / 2
}

const fn even_share(fronts: u32) -> u64 {
    let fronts = if fronts == 0 { 1 } else { fronts };
    WHOLE / fronts as u64
}

/// Use of one account at a front.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaUse {
    /// The account.
    pub account: AccountId,
    /// Number of requests sent with permits since the front started; wraps around.
    pub used: u32,
    /// Number of those that began a program; wraps around.
    pub begun: u32,
    /// Number of permits that the front holds.
    pub held: u32,
    /// Permits wanted for waiting requests of programs that have begun.
    pub wanted: u32,
    /// Permits wanted for waiting requests that begin a program.
    pub wanted_new: u32,
    /// Further permits that the front would hold, by its recent load.
    pub spare: u32,
}

/// Message of a front to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Identity of the front, which it keeps when it restarts.
    pub front: u64,
    /// Distinguishes the runs of the front.
    pub run: u64,
    /// Increases with each message of a run.
    pub sequence: u64,
    /// Number of fronts, as far as this one knows.
    pub fronts: u32,
    /// Whether the front ends; its permits are free then.
    pub leaves: bool,
    /// Accounts whose use changed since the last message that was answered.
    pub uses: Box<[QuotaUse]>,
}

/// Permits for one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of permits for requests of programs that have begun, and for others
    /// unless `scarce`.
    pub permits: u32,
    /// Number of permits for requests that begin a program.
    pub permits_new: u32,
    /// Number of unused permits that the front must return.
    pub revoked: u32,
    /// Part of the account's load that this front has, in millionths.
    pub part: u32,
    /// Whether the account is close to its limit or over it.
    pub scarce: bool,
    /// Milliseconds until there is room for another request of a begun program.
    pub room_ms: u32,
    /// Milliseconds until there is room for another program.
    pub room_new_ms: u32,
}

/// Reply of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Identity of the leader's term.
    pub leader: u64,
    /// Revision of the limits that the leader applies.
    pub revision: u64,
    /// Number of fronts.
    pub fronts: u32,
    /// Grants in the order of the request; empty if the request was outdated.
    pub grants: Box<[QuotaGrant]>,
}
