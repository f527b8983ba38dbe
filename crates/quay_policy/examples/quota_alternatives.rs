//! Compares ways to bound an account's requests over all fronts, in simulated time:
//! `cargo run --release -p quay_policy --example quota_alternatives`.
//!
//! After 3 s at the usual load, one account rises to 7.5 times its load at once, for
//! 6 s. The limit of each account is 1.6 times its usual load.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use {
    quay_policy::{
        AccountLimit, FleetQuotaAllocator, FleetQuotaHolder, FleetQuotaSettings, LimitAllocator,
        LimitHolder, Permission, PermitGrant, PermitRequest, QuotaReply, QuotaRequest, UpstreamRun,
    },
    quay_types::{AccountId, Incarnation, RequestRate, Time, UpstreamId},
    std::{collections::VecDeque, time::Duration},
};

const STEP: Duration = Duration::from_millis(1);
const WINDOW: Duration = Duration::from_secs(5);
/// Time for which a message travels.
const LATENCY: Duration = Duration::from_millis(2);
/// Time for which a request waits for a permit.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Bytes of packet heads of an exchange.
const HEADS: u64 = 250;
/// Interval of reports of demand or use.
const REPORT: Duration = Duration::from_millis(250);

/// What becomes of a request.
enum Answer {
    Send,
    Wait,
    Refuse,
}

/// A way to bound the requests.
trait Mechanism {
    fn ask(&mut self, now: Time, front: usize, account: usize, again: bool) -> Answer;
    /// Delivers messages; adds their number and bytes to `cost`.
    fn step(&mut self, now: Time, cost: &mut (u64, u64));
}

/// A message of a front under way and its reply.
struct Exchange<Q, P> {
    sent: Time,
    req: Q,
    reply: Option<P>,
}

// ---------------------------------------------------------------------------
// Bucket at the leader, permits at fronts

struct Fleet {
    leader: FleetQuotaAllocator,
    fronts: Vec<FleetQuotaHolder>,
    exchanges: Vec<Option<Exchange<QuotaRequest, QuotaReply>>>,
    free_at: Vec<Time>,
    /// Accounts of the requests that wait at each front.
    waiting: Vec<Vec<usize>>,
}

impl Fleet {
    fn new(fronts: usize, limits: &[(AccountId, AccountLimit)]) -> Self {
        let cfg = FleetQuotaSettings::default();
        let mut leader = FleetQuotaAllocator::new(Time::ZERO, 1, cfg);
        leader.set_limits(Time::ZERO, 1, limits.to_vec());
        let holders = (0..fronts).map(|front| {
            let mut holder = FleetQuotaHolder::new(front as u64, 1, cfg);
            holder.set_limits(1, limits.to_vec());
            holder
        });
        Self {
            leader,
            fronts: holders.collect(),
            exchanges: (0..fronts).map(|_| None).collect(),
            free_at: vec![Time::ZERO; fronts],
            waiting: vec![Vec::new(); fronts],
        }
    }
}

impl Mechanism for Fleet {
    fn ask(&mut self, now: Time, front: usize, account: usize, again: bool) -> Answer {
        let holder = &mut self.fronts[front];
        let id = AccountId(account as u64);
        match holder.permit(now, id, false, again) {
            Permission::Granted { shared } => {
                holder.spend(id, false, shared);
                Answer::Send
            }
            Permission::Unlimited => Answer::Send,
            Permission::Refused(_) => Answer::Refuse,
            Permission::Wait => {
                holder.begin_wait(id, false);
                self.waiting[front].push(account);
                Answer::Wait
            }
        }
    }

    fn step(&mut self, now: Time, cost: &mut (u64, u64)) {
        for (front, holder) in self.fronts.iter_mut().enumerate() {
            let exchange = &mut self.exchanges[front];
            match exchange {
                None if self.free_at[front] <= now => {
                    if let Some(req) = holder.next_request(now) {
                        *cost = (cost.0 + 1, cost.1 + HEADS + 20 + req.uses.len() as u64 * 31);
                        *exchange = Some(Exchange {
                            sent: now,
                            req,
                            reply: None,
                        });
                    }
                }
                Some(it) if it.reply.is_none() && now.since(it.sent) >= LATENCY => {
                    it.reply = Some(self.leader.grant(now, &it.req));
                }
                Some(it) if now.since(it.sent) >= LATENCY * 2 => {
                    if let Some(reply) = &it.reply {
                        holder.accept(now, it.sent, &it.req, reply);
                    }
                    *exchange = None;
                    self.free_at[front] = now + holder.pause();
                }
                _ => {}
            }
            for account in self.waiting[front].drain(..) {
                // Requests that still wait ask again in the next step.
                holder.end_wait(AccountId(account as u64), false);
            }
        }
    }
}

// ---------------------------------------------------------------------------
// Permits as upstreams' limits have them

struct UpstreamPermits {
    leader: LimitAllocator,
    fronts: Vec<LimitHolder>,
    exchanges: Vec<Option<Exchange<PermitRequest, PermitGrant>>>,
    free_at: Vec<Time>,
}

fn run_of(account: usize) -> UpstreamRun {
    (UpstreamId(account as u64), Incarnation(1))
}

impl UpstreamPermits {
    fn new(fronts: usize, limits: &[(AccountId, AccountLimit)]) -> Self {
        let holders = (0..fronts).map(|_| {
            let mut holder = LimitHolder::default();
            for (account, (_, limit)) in limits.iter().enumerate() {
                let (run, now) = (run_of(account), Time::ZERO);
                holder.record_response(now, run, now, Some(limit.rate));
            }
            holder
        });
        Self {
            leader: LimitAllocator::default(),
            fronts: holders.collect(),
            exchanges: (0..fronts).map(|_| None).collect(),
            free_at: vec![Time::ZERO; fronts],
        }
    }
}

impl Mechanism for UpstreamPermits {
    fn ask(&mut self, now: Time, front: usize, account: usize, again: bool) -> Answer {
        let holder = &mut self.fronts[front];
        if holder.may_send(now, run_of(account), false) {
            holder.use_permit(run_of(account), false);
            return Answer::Send;
        }
        if !again {
            holder.want_permit(&[run_of(account)], false);
        }
        Answer::Wait
    }

    fn step(&mut self, now: Time, cost: &mut (u64, u64)) {
        self.leader.tick(now);
        for (front, holder) in self.fronts.iter_mut().enumerate() {
            let exchange = &mut self.exchanges[front];
            match exchange {
                None if self.free_at[front] <= now => {
                    if let Some(req) = holder.next_request(now, front as u64, false) {
                        let bytes = HEADS + 20 + req.demands.len() as u64 * 19;
                        *cost = (cost.0 + 1, cost.1 + bytes);
                        *exchange = Some(Exchange {
                            sent: now,
                            req,
                            reply: None,
                        });
                    }
                }
                Some(it) if it.reply.is_none() && now.since(it.sent) >= LATENCY => {
                    it.reply = Some(self.leader.grant(now, &it.req));
                }
                Some(it) if now.since(it.sent) >= LATENCY * 2 => {
                    if let Some(reply) = &it.reply {
                        holder.accept(now, it.sent, &it.req, reply);
                    }
                    let pause = Duration::from_millis(2) * holder.holders();
                    self.free_at[front] = now + pause.max(Duration::from_millis(20));
                    *exchange = None;
                }
                _ => {}
            }
        }
    }
}

// ---------------------------------------------------------------------------
// Rates at fronts: even, or leased by demand, or used before they are reported

#[derive(Clone, Copy, PartialEq)]
enum Rates {
    /// An even share of each limit.
    Even,
    /// A share by the demand of the last interval, at least half an even one.
    ByDemand,
    /// Requests are sent and reported afterwards; once half of the burst is used, even
    /// shares apply.
    ReportedAfterwards,
}

struct Shares {
    kind: Rates,
    limits: Vec<AccountLimit>,
    /// Level and share of each account at each front.
    fronts: Vec<Vec<(f64, f64)>>,
    demand: Vec<Vec<f64>>,
    /// Bucket of each account at the leader, in requests.
    leader: Vec<f64>,
    bound: Vec<bool>,
    updated: Time,
}

impl Shares {
    fn new(kind: Rates, fronts: usize, limits: &[(AccountId, AccountLimit)]) -> Self {
        let limits: Vec<_> = limits.iter().map(|(_, limit)| *limit).collect();
        let even = 1.0 / fronts as f64;
        Self {
            kind,
            fronts: vec![vec![(1.0, even); limits.len()]; fronts],
            demand: vec![vec![0.0; limits.len()]; fronts],
            leader: limits.iter().map(|it| it.burst as f64).collect(),
            bound: vec![false; limits.len()],
            limits,
            updated: Time::ZERO,
        }
    }
}

impl Mechanism for Shares {
    fn ask(&mut self, _: Time, front: usize, account: usize, _: bool) -> Answer {
        self.demand[front][account] += 1.0;
        if self.kind == Rates::ReportedAfterwards && !self.bound[account] {
            return Answer::Send;
        }
        let level = &mut self.fronts[front][account].0;
        if *level < 1.0 {
            return Answer::Refuse;
        }
        *level -= 1.0;
        Answer::Send
    }

    fn step(&mut self, now: Time, cost: &mut (u64, u64)) {
        let seconds = STEP.as_secs_f64();
        for front in &mut self.fronts {
            for ((level, share), limit) in front.iter_mut().zip(&self.limits) {
                let rate = limit.rate.0 as f64 / 1e3 * *share;
                let most = (limit.burst as f64 * *share).max(1.0);
                *level = (*level + rate * seconds).min(most);
            }
        }
        if self.kind == Rates::Even || now.since(self.updated) < REPORT {
            return;
        }
        self.updated = now;
        let count = self.fronts.len();
        for (account, limit) in self.limits.iter().enumerate() {
            let total: f64 = self.demand.iter().map(|it| it[account]).sum();
            let added = limit.rate.0 as f64 / 1e3 * REPORT.as_secs_f64();
            let level = &mut self.leader[account];
            *level = (*level + added - total).min(limit.burst as f64);
            self.bound[account] = *level < limit.burst as f64 / 2.0;
            for front in 0..count {
                let even = 1.0 / count as f64;
                let by_demand = if total > 0.0 {
                    self.demand[front][account] / total
                } else {
                    even
                };
                if self.kind == Rates::ByDemand {
                    self.fronts[front][account].1 = f64::midpoint(even, by_demand);
                }
            }
        }
        for demand in &mut self.demand {
            let reported = demand.iter().filter(|it| **it > 0.0).count() as u64;
            *cost = (cost.0 + 1, cost.1 + HEADS + reported * 14);
            demand.fill(0.0);
        }
    }
}

// ---------------------------------------------------------------------------
// Load

struct Load {
    seed: u64,
}

impl Load {
    fn draw(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Requests of one account.
#[derive(Default, Clone)]
struct Counts {
    ideal: f64,
    updated: Time,
    conforming: u64,
    sent: u64,
    refused: u64,
    recent: VecDeque<Time>,
    most: usize,
}

fn run(
    name: &str,
    mechanism: &mut dyn Mechanism,
    (fronts, accounts, rate, skew): (usize, usize, f64, f64),
) {
    let burst = rate.ceil();
    let (mut load, mut now) = (Load { seed: 5 }, Time::from_millis(1));
    let mut counts = vec![Counts::default(); accounts];
    let mut waiting: VecDeque<(Time, usize, usize)> = VecDeque::new();
    let (mut cost, mut waits, mut all) = ((0, 0), 0_u64, 0_u64);
    let usual = rate / 1.6;
    for step in 0..9_000 {
        now = now + STEP;
        if step == 3_000 {
            (cost, waits, all) = ((0, 0), 0, 0);
            for it in &mut counts {
                (it.conforming, it.sent, it.refused, it.most) = (0, 0, 0, 0);
            }
        }
        let hot = if step >= 3_000 { usual * 6.5 } else { 0.0 };
        let mut expected = (usual * accounts as f64 + hot) * STEP.as_secs_f64();
        let mut asked: Vec<(Time, usize, usize, bool)> = Vec::new();
        for _ in 0..waiting.len() {
            if let Some((until, front, account)) = waiting.pop_front() {
                asked.push((until, front, account, true));
            }
        }
        while load.draw() < expected {
            expected -= 1.0;
            let extra = load.draw() < hot / (usual * accounts as f64 + hot);
            let account = if extra {
                0
            } else {
                (load.draw() * accounts as f64) as usize
            };
            let front = (load.draw().powf(1.0 + skew) * fronts as f64) as usize;
            asked.push((now + MAX_WAIT, front, account, false));
            all += 1;
            let it = &mut counts[account];
            it.ideal = (it.ideal + now.since(it.updated).as_secs_f64() * rate).min(burst);
            it.updated = now;
            if it.ideal >= 1.0 {
                it.ideal -= 1.0;
                it.conforming += 1;
            }
        }
        for (until, front, account, again) in asked {
            let it = &mut counts[account];
            match mechanism.ask(now, front, account, again) {
                Answer::Send => {
                    it.sent += 1;
                    it.recent.push_back(now);
                    while it.recent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
                        it.recent.pop_front();
                    }
                    it.most = it.most.max(it.recent.len());
                }
                Answer::Wait if until > now => {
                    waits += u64::from(!again);
                    waiting.push_back((until, front, account));
                }
                Answer::Wait | Answer::Refuse => it.refused += 1,
            }
        }
        mechanism.step(now, &mut cost);
    }
    let bound = ((rate * 5.0 + burst) * 1.1 + 20.0) as usize;
    let below = |it: &Counts| it.conforming.saturating_sub(it.sent).min(it.refused);
    let others: u64 = counts[1..].iter().map(below).sum();
    let sent: u64 = counts[1..].iter().map(|it| it.sent).sum();
    let per_front = |count: u64| count as f64 / 6.0 / fronts as f64;
    let worst = counts[1..].iter().map(|it| it.most).max().unwrap_or(0);
    println!(
        "| {name} | {fronts} | {accounts} | {skew} | {:.1} | {:.0} | {} / {worst} of {bound} | {} of {} | {others} of {sent} | {:.0} % |",
        per_front(cost.0),
        per_front(cost.1),
        counts[0].most,
        below(&counts[0]),
        counts[0].conforming,
        waits as f64 / all as f64 * 100.0,
    );
}

fn main() {
    println!(
        "| way | fronts | accounts | skew | messages/s | bytes/s | most in a window, hot / others | hot: refused within the limit | others: refused within the limit | waited |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for site in [
        (26, 85, 15.0, 0.0),
        (26, 85, 15.0, 1.5),
        (330, 85, 200.0, 0.0),
        (330, 3_600, 5.0, 0.0),
    ] {
        let (fronts, accounts, rate, _) = site;
        let limit = AccountLimit {
            rate: RequestRate((rate * 1e3) as u64),
            burst: rate as u64,
        };
        let limits: Vec<_> = (0..accounts)
            .map(|it| (AccountId(it as u64), limit))
            .collect();
        run("bucket and permits", &mut Fleet::new(fronts, &limits), site);
        let permits = &mut UpstreamPermits::new(fronts, &limits);
        run("permits of upstreams' limits", permits, site);
        for (name, kind) in [
            ("even share", Rates::Even),
            ("rate by demand", Rates::ByDemand),
            ("reported afterwards", Rates::ReportedAfterwards),
        ] {
            run(name, &mut Shares::new(kind, fronts, &limits), site);
        }
    }
}
