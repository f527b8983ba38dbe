//! Limits of accounts over all fronts, in simulated time.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use {
    quay_policy::{
        AccountLimit, FleetQuotaAllocator, FleetQuotaHolder, FleetQuotaSettings, Permission,
        QuotaReply, QuotaRequest,
    },
    quay_types::{AccountId, RequestRate, Time},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::Duration,
    },
};

/// Time after which a front gives up a message.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a request waits for a permit.
const PERMIT_WAIT: Duration = Duration::from_millis(400);
const WINDOW: Duration = Duration::from_secs(5);
/// Bytes of packet heads of an exchange, as docs/CAPACITY.md reckons.
const HEADS: u64 = 250;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn id(account: usize) -> AccountId {
    AccountId::of(&account.to_string())
}

fn limits(limits: &[AccountLimit]) -> Vec<(AccountId, AccountLimit)> {
    let limits = limits.iter().enumerate();
    limits.map(|(at, limit)| (id(at), *limit)).collect()
}

/// A request of a program, or one of an account without programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    account: usize,
    /// Requests of the program that remain, with this one.
    left: u32,
    gap: Duration,
    begins: bool,
    refusals: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new program of the account, unless its load has changed since; then the next.
    Program(usize, u32),
    Arrive(Request),
    /// A request asks again after it has waited for the front's share.
    Again(usize, Request),
    Poll(usize),
    /// A message gets to the leader: its front, time of sending, number.
    Deliver(usize, Time, u64),
    Reply(usize, Time, u64),
    Tick,
}

struct Front {
    holder: FleetQuotaHolder,
    /// Message under way, its number, and the reply.
    asked: Option<(u64, QuotaRequest, Option<QuotaReply>)>,
    waiting: Vec<(Time, Request)>,
    polls: bool,
    cut: bool,
    paused_until: Time,
    killed: bool,
}

#[derive(Debug, Default, Clone)]
struct Counts {
    sent: VecDeque<Time>,
    /// Tokens of an ideal bucket, and the time of the last update.
    ideal: f64,
    updated: Time,
    /// Largest number of requests in a window.
    most: usize,
    total: u64,
    refused: u64,
    /// Attempts that an ideal bucket would have let pass.
    conforming: u64,
    started: u64,
    ended: u64,
}

struct Site {
    now: Time,
    /// Time from which is counted.
    since: Time,
    cfg: FleetQuotaSettings,
    fronts: Vec<Front>,
    leader: Option<FleetQuotaAllocator>,
    limits: Vec<AccountLimit>,
    /// Programs a second of each account, or requests if `programs` is not set.
    load: Vec<f64>,
    /// Number of changes of the load of each account.
    changes: Vec<u32>,
    counts: Vec<Counts>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    number: u64,
    seed: u64,
    /// Whether requests are those of programs.
    programs: bool,
    /// Whether the class of requests is known.
    classes: bool,
    /// Exponent by which the shares of callers at the fronts differ.
    skew: f64,
    messages: u64,
    bytes: u64,
    waits: u64,
    terms: u64,
}

impl Site {
    fn new(fronts: usize, accounts: usize, rate: f64, programs: bool) -> Self {
        let limit = AccountLimit {
            rate: RequestRate::from_per_second(rate).unwrap(),
            burst: rate.ceil() as u64,
        };
        let cfg = FleetQuotaSettings::default();
        let mean_length = if programs { 17.5 } else { 1.0 };
        let mut site = Self {
            now: Time::from_millis(1_000),
            since: Time::from_millis(1_000),
            cfg,
            fronts: Vec::new(),
            leader: None,
            limits: vec![limit; accounts],
            load: vec![rate / 1.6 / mean_length; accounts],
            changes: vec![0; accounts],
            counts: vec![Counts::default(); accounts],
            events: BinaryHeap::new(),
            number: 0,
            seed: 7,
            programs,
            classes: true,
            skew: 0.0,
            messages: 0,
            bytes: 0,
            waits: 0,
            terms: 0,
        };
        for _ in 0..fronts {
            site.add_front();
        }
        site.elect();
        site.at(ms(0), Event::Tick);
        for account in 0..accounts {
            site.next_program(account);
        }
        site
    }

    fn draw(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + after, self.number, event)));
    }

    fn limits(&self) -> Vec<(AccountId, AccountLimit)> {
        limits(&self.limits)
    }

    /// Restarts a front, which forgets everything but its identity.
    fn restart(&mut self, number: usize) {
        let front = &mut self.fronts[number];
        front.holder = FleetQuotaHolder::new(number as u64, self.now.as_micros(), self.cfg);
        front.holder.set_limits(1, limits(&self.limits));
        (front.asked, front.killed, front.cut) = (None, false, false);
        front.waiting.clear();
        self.poll(number, ms(0));
    }

    fn add_front(&mut self) {
        let number = self.fronts.len();
        let mut holder = FleetQuotaHolder::new(number as u64, 1, self.cfg);
        holder.set_limits(1, self.limits());
        self.fronts.push(Front {
            holder,
            asked: None,
            waiting: Vec::new(),
            polls: false,
            cut: false,
            paused_until: Time::ZERO,
            killed: false,
        });
        self.poll(number, ms(0));
    }

    /// Starts a new leader.
    fn elect(&mut self) {
        self.terms += 1;
        let mut leader = FleetQuotaAllocator::new(self.now, self.terms, self.cfg);
        leader.set_limits(self.now, 1, self.limits());
        self.leader = Some(leader);
    }

    fn poll(&mut self, front: usize, after: Duration) {
        if !std::mem::replace(&mut self.fronts[front].polls, true) {
            self.at(after, Event::Poll(front));
        }
    }

    fn next_program(&mut self, account: usize) {
        let wait = -(1.0 - self.draw()).ln() / self.load[account].max(1e-9);
        self.at(
            Duration::from_secs_f64(wait.min(1e4)),
            Event::Program(account, self.changes[account]),
        );
    }

    /// Changes the load of an account at once.
    fn set_load(&mut self, account: usize, load: f64) {
        self.load[account] = load;
        self.changes[account] += 1;
        self.next_program(account);
    }

    fn run(&mut self, time: Duration) {
        let ends = self.now + time;
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= ends
        {
            let Reverse((at, _, event)) = self.events.pop().unwrap();
            self.now = at;
            self.process(&event);
        }
        self.now = ends;
    }

    fn process(&mut self, event: &Event) {
        match *event {
            Event::Tick => {
                if let Some(leader) = &mut self.leader {
                    leader.tick(self.now);
                }
                self.at(ms(100), Event::Tick);
            }
            Event::Program(account, change) if change != self.changes[account] => {}
            Event::Program(account, _) => {
                self.counts[account].started += 1;
                let left = if self.programs {
                    10 + (self.draw() * 16.0) as u32
                } else {
                    1
                };
                let time = 2.0 + self.draw() * 13.0;
                let gap = Duration::from_secs_f64(time / f64::from(left));
                self.at(
                    ms(0),
                    Event::Arrive(Request {
                        account,
                        left,
                        gap,
                        begins: self.programs,
                        refusals: 0,
                    }),
                );
                self.next_program(account);
            }
            Event::Arrive(req) => self.arrive(req),
            Event::Again(front, req) => self.ask(front, req, Some(self.now)),
            Event::Poll(front) => self.send_message(front),
            Event::Deliver(front, sent, number) => {
                let front_state = &mut self.fronts[front];
                let Some((current, req, reply)) = &mut front_state.asked else {
                    return;
                };
                if *current != number || front_state.cut {
                    return;
                }
                if let Some(leader) = &mut self.leader {
                    let answer = leader.grant(self.now, req);
                    self.bytes += answer.grants.len() as u64 * 14 + 14;
                    *reply = Some(answer);
                    let after = self.latency();
                    self.at(after, Event::Reply(front, sent, number));
                }
            }
            Event::Reply(front, sent, number) => self.end_message(front, sent, number),
        }
    }

    fn latency(&mut self) -> Duration {
        Duration::from_secs_f64(0.001 + 0.003 * self.draw())
    }

    fn arrive(&mut self, req: Request) {
        let limit = self.limits[req.account];
        self.counts[req.account].arrive(self.now, limit);
        let alive: Vec<usize> = (0..self.fronts.len())
            .filter(|at| !self.fronts[*at].killed && self.fronts[*at].paused_until <= self.now)
            .collect();
        let draw = self.draw().powf(1.0 + self.skew);
        let front = alive[(draw * alive.len() as f64) as usize];
        self.ask(front, req, None);
    }

    /// Asks for a permit for a request; `waits_until` is set if it has waited.
    fn ask(&mut self, front: usize, req: Request, waits_until: Option<Time>) {
        let begins = req.begins && self.classes;
        let holder = &mut self.fronts[front].holder;
        let again = waits_until.is_some();
        match holder.permit(self.now, id(req.account), begins, again) {
            Permission::Granted { shared } => {
                holder.spend(id(req.account), begins, shared);
                self.send(req);
            }
            Permission::Unlimited => self.send(req),
            Permission::Refused(after) if after < PERMIT_WAIT && !again => {
                self.at(after, Event::Again(front, req));
            }
            Permission::Refused(after) => self.refuse(req, after),
            Permission::Wait => {
                let until = waits_until.unwrap_or(self.now + PERMIT_WAIT);
                if until <= self.now {
                    return self.refuse(req, ms(200));
                }
                self.waits += u64::from(!again);
                holder.begin_wait(id(req.account), begins);
                self.fronts[front].waiting.push((until, req));
                self.poll(front, ms(0));
            }
        }
    }

    fn send(&mut self, mut req: Request) {
        let counts = &mut self.counts[req.account];
        counts.total += 1;
        counts.sent.push_back(self.now);
        while counts
            .sent
            .front()
            .is_some_and(|at| self.now.since(*at) >= WINDOW)
        {
            counts.sent.pop_front();
        }
        counts.most = counts.most.max(counts.sent.len());
        req.left -= 1;
        if req.left == 0 {
            counts.ended += 1;
            return;
        }
        (req.begins, req.refusals) = (false, 0);
        self.at(req.gap, Event::Arrive(req));
    }

    fn refuse(&mut self, mut req: Request, after: Duration) {
        self.counts[req.account].refused += 1;
        req.refusals += 1;
        if self.programs && req.refusals < 3 {
            let draw = (self.draw() * 1e6) as u64;
            let after = FleetQuotaHolder::return_delay(after, draw);
            self.at(after, Event::Arrive(req));
        }
    }

    fn send_message(&mut self, at: usize) {
        let now = self.now;
        let front = &mut self.fronts[at];
        front.polls = false;
        if front.killed {
            return;
        }
        if front.paused_until > now {
            let after = front.paused_until.since(now);
            return self.poll(at, after);
        }
        if front.asked.is_some() {
            return;
        }
        let Some(req) = front.holder.next_request(now) else {
            return self.poll(at, ms(20));
        };
        self.messages += 1;
        self.bytes += HEADS + 20 + req.uses.len() as u64 * 17;
        self.number += 1;
        let number = self.number;
        self.fronts[at].asked = Some((number, req, None));
        let after = self.latency();
        self.at(after, Event::Deliver(at, now, number));
        self.at(REPLY_TIMEOUT, Event::Reply(at, now, number));
    }

    fn end_message(&mut self, at: usize, sent: Time, number: u64) {
        let now = self.now;
        let front = &mut self.fronts[at];
        if front
            .asked
            .as_ref()
            .is_none_or(|(current, ..)| *current != number)
        {
            return;
        }
        if front.paused_until > now {
            let after = front.paused_until.since(now);
            return self.at(after, Event::Reply(at, sent, number));
        }
        let (_, req, reply) = front.asked.take().unwrap();
        if let Some(reply) = reply
            && !front.cut
        {
            front.holder.accept(now, sent, &req, &reply);
        }
        let pause = front.holder.pause();
        for (until, req) in std::mem::take(&mut front.waiting) {
            let begins = req.begins && self.classes;
            self.fronts[at].holder.end_wait(id(req.account), begins);
            self.ask(at, req, Some(until));
        }
        self.poll(at, pause);
    }

    /// Largest number of requests of an account in a window, and the bound.
    fn bound(&self, account: usize) -> (usize, usize) {
        let limit = self.limits[account];
        let whole = limit.rate.billionths_in(WINDOW) as f64 / 1e9 + limit.burst as f64;
        (self.counts[account].most, (whole * 1.1 + 20.0) as usize)
    }

    fn check(&self) {
        for account in 0..self.limits.len() {
            let (most, bound) = self.bound(account);
            assert!(most <= bound, "account {account}: {most} of {bound}");
        }
    }

    /// Requests of all accounts from `first` on that were refused within the limit.
    fn refused_below(&self, first: usize) -> u64 {
        self.counts[first..].iter().map(Counts::refused_below).sum()
    }

    fn print(&self, what: &str) {
        let seconds = self.now.since(self.since).as_secs_f64();
        let per_front = |count: u64| count as f64 / seconds / self.fronts.len() as f64;
        let (most, bound) = self.bound(0);
        let all = self.sum(|it| it.total + it.refused);
        println!(
            "{what}: fronts {} accounts {} messages/s {:.1} bytes/s {:.0} hot {most} of {bound} \
             refused below the limit: hot {} of {}, others {} of {}; waited {:.2}",
            self.fronts.len(),
            self.limits.len(),
            per_front(self.messages),
            per_front(self.bytes),
            self.counts[0].refused_below(),
            self.counts[0].total,
            self.refused_below(1),
            self.sum(|it| it.total) - self.counts[0].total,
            self.waits as f64 / all as f64,
        );
    }

    /// Forgets what was counted up to now, except the requests of the last window.
    fn reset(&mut self) {
        self.since = self.now;
        for counts in &mut self.counts {
            (counts.refused, counts.conforming, counts.total) = (0, 0, 0);
            (counts.started, counts.ended, counts.most) = (0, 0, 0);
        }
        (self.messages, self.bytes, self.waits) = (0, 0, 0);
    }

    fn sum(&self, of: impl Fn(&Counts) -> u64) -> u64 {
        self.counts.iter().map(of).sum()
    }
}

impl Counts {
    fn arrive(&mut self, now: Time, limit: AccountLimit) {
        let added = limit.rate.billionths_in(now.since(self.updated)) as f64 / 1e9;
        self.ideal = (self.ideal + added).min(limit.burst as f64);
        self.updated = now;
        if self.ideal >= 1.0 {
            self.ideal -= 1.0;
            self.conforming += 1;
        }
    }

    /// Requests refused although they were within the limit.
    const fn refused_below(&self) -> u64 {
        let missing = self.conforming.saturating_sub(self.total);
        if missing < self.refused {
            missing
        } else {
            self.refused
        }
    }
}

/// Guards the bound and the requests below the limit while one account becomes hot,
/// and prints what it costs.
#[test]
fn one_account_becomes_hot() {
    for (fronts, accounts, rate, skew) in [
        (26, 85, 15.0, 0.0),
        (26, 85, 15.0, 1.5),
        (330, 85, 200.0, 0.0),
        (330, 3_600, 5.0, 0.0),
    ] {
        let mut site = Site::new(fronts, accounts, rate, false);
        site.skew = skew;
        site.run(ms(3_000));
        site.reset();
        site.set_load(0, site.load[0] * 7.5);
        site.run(ms(3_000));
        site.print("hot");
        site.check();
        let (refused, total) = (site.refused_below(1), site.sum(|it| it.total));
        assert!(refused * 500 <= total, "{refused} of {total}");
    }
}

/// Guards programs that have begun: over the limit they must end rather than share
/// the limit with new ones that then fail. A bucket without classes is the measure.
#[test]
fn begun_programs_end() {
    let ended = [false, true].map(|classes| {
        let mut site = Site::new(26, 12, 15.0, true);
        site.classes = classes;
        site.run(ms(20_000));
        site.set_load(0, site.load[0] * 7.5);
        site.run(ms(10_000));
        site.reset();
        site.run(ms(60_000));
        let hot = &site.counts[0];
        println!(
            "classes {classes}: started {} ended {} sent {}",
            hot.started, hot.ended, hot.total
        );
        site.print("programs");
        site.check();
        hot.ended
    });
    assert!(ended[1] > ended[0] * 2, "{ended:?}");
}

/// Guards the bound when the leader is lost at the moment an account becomes hot, for
/// as long as an election takes and for 10 s.
#[test]
fn leader_is_lost() {
    for (fronts, rate, away) in [(26, 15.0, 1_500), (26, 15.0, 10_000), (330, 50.0, 10_000)] {
        let mut site = Site::new(fronts, 12, rate, false);
        site.run(ms(10_000));
        site.reset();
        site.set_load(0, site.load[0] * 7.5);
        site.leader = None;
        site.run(ms(away));
        site.elect();
        site.run(ms(6_000));
        site.print("leader lost");
        site.check();
        if fronts == 26 {
            let (refused, total) = (site.refused_below(1), site.sum(|it| it.total));
            assert!(refused < total / 2, "{refused} of {total}");
        }
    }
}

/// Guards the bound when fronts are cut off, paused, killed and added, in turn with
/// changes of the leader.
#[test]
fn fronts_are_lost() {
    for fault in ["cut", "paused", "killed", "added"] {
        let mut site = Site::new(26, 12, 15.0, false);
        site.run(ms(10_000));
        site.reset();
        site.set_load(0, site.load[0] * 7.5);
        for at in 0..13 {
            let paused_until = site.now + ms(7_000);
            match fault {
                "cut" => site.fronts[at].cut = true,
                "paused" => site.fronts[at].paused_until = paused_until,
                "killed" => site.fronts[at].killed = true,
                _ => site.add_front(),
            }
        }
        site.run(ms(8_000));
        site.elect();
        site.run(ms(5_000));
        for front in &mut site.fronts {
            front.cut = false;
        }
        site.run(ms(10_000));
        site.print(fault);
        site.check();
        let (refused, total) = (site.refused_below(1), site.sum(|it| it.total));
        assert!(refused < total / 4, "{refused} of {total}");
    }
}

/// Guards a lowered limit that some fronts and the leader learn at different times.
#[test]
fn lowered_limit_arrives_unevenly() {
    let mut site = Site::new(26, 12, 40.0, false);
    site.set_load(0, site.load[0] * 7.5);
    site.run(ms(10_000));
    site.limits[0].rate = RequestRate::from_per_second(5.0).unwrap();
    site.limits[0].burst = 5;
    let limits = site.limits();
    for front in &mut site.fronts[..13] {
        front.holder.set_limits(2, limits.clone());
    }
    site.run(ms(1_000));
    let now = site.now;
    let leader = site.leader.as_mut().unwrap();
    leader.set_limits(now, 2, limits.clone());
    assert_eq!(leader.revision(), 2);
    site.run(ms(1_000));
    for front in &mut site.fronts[13..] {
        front.holder.set_limits(2, limits.clone());
    }
    site.run(WINDOW + ms(500));
    site.reset();
    site.counts[0].sent.clear();
    site.run(ms(10_000));
    site.print("lowered");
    site.check();
}

/// Guards permits: one that is given back is available again, and the leader counts a
/// request once however often it is reported.
#[test]
fn unused_permits_return() {
    let mut site = Site::new(1, 1, 10.0, false);
    site.set_load(0, 0.0);
    site.run(ms(10_000));
    let used = |site: &Site| site.leader.as_ref().unwrap().reports().next().unwrap().used;
    let earlier = used(&site);
    let now = site.now;
    let holder = &mut site.fronts[0].holder;
    holder.begin_wait(id(0), false);
    assert_eq!(holder.permit(now, id(0), false, false), Permission::Wait);
    site.poll(0, ms(0));
    site.run(ms(300));
    let now = site.now;
    let holder = &mut site.fronts[0].holder;
    holder.end_wait(id(0), false);
    let before = holder.views(now).next().unwrap().permits;
    let granted = Permission::Granted { shared: false };
    for _ in 0..100 {
        assert_eq!(holder.permit(now, id(0), false, false), granted);
        holder.spend(id(0), false, false);
        holder.unspend(id(0), false, false);
        holder.give_back(id(0), false);
    }
    assert_eq!(holder.views(now).next().unwrap().permits, before);
    assert_eq!(
        holder.permit(now, id(7), false, false),
        Permission::Unlimited
    );
    site.run(ms(1_000));
    assert_eq!(used(&site), earlier);
}

/// Guards the bound under faults and loads in any order: fronts are cut off, paused,
/// killed and restarted, the leader changes or is away, and accounts change between
/// no load, their usual one and many times that.
#[test]
fn bound_holds_under_random_faults() {
    for seed in 1..=6 {
        let fronts = [3, 26, 60][seed % 3];
        let mut site = Site::new(fronts, 4, 15.0, false);
        for (account, rate) in [(1, 2.0), (2, 60.0), (3, 200.0)] {
            site.limits[account].rate = RequestRate::from_per_second(rate).unwrap();
        }
        site.limits[3].burst = 0;
        site.seed = seed as u64 * 7_919;
        for front in 0..fronts {
            site.restart(front);
        }
        site.elect();
        let usual: Vec<f64> = site
            .limits
            .iter()
            .map(|it| it.rate.0 as f64 / 1_600.0)
            .collect();
        let mut away_until = site.now;
        for _ in 0..20 {
            for (account, usual) in usual.iter().enumerate() {
                if site.draw() < 0.5 {
                    let factor = [0.0, 1.0, 10.0, 30.0][(site.draw() * 4.0) as usize];
                    site.set_load(account, usual * factor);
                }
            }
            for _ in 0..=fronts / 8 {
                // The first front stays, so that requests have somewhere to arrive.
                let front = 1 + (site.draw() * (fronts - 1) as f64) as usize;
                let pause = Duration::from_secs_f64(site.draw() * 8.0);
                match (site.draw() * 5.0) as usize {
                    0 => site.fronts[front].cut = true,
                    1 => site.fronts[front].cut = false,
                    2 => site.fronts[front].paused_until = site.now + pause,
                    3 => site.fronts[front].killed = true,
                    _ => site.restart(front),
                }
            }
            if site.draw() < 0.15 && site.leader.is_some() {
                site.leader = None;
                away_until = site.now + Duration::from_secs_f64(0.5 + site.draw() * 12.0);
            }
            let step = Duration::from_secs_f64(0.2 + site.draw() * 3.0);
            site.run(step);
            if site.leader.is_none() && site.now >= away_until {
                site.elect();
            }
        }
        let used: Vec<_> = (0..4).map(|account| site.bound(account)).collect();
        println!("seed {seed}, {fronts} fronts: {used:?}");
        site.check();
    }
}
