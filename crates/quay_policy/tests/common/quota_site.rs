//! Fronts and a leader that bound the requests of accounts, in simulated time.

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
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a request waits for a permit.
pub const PERMIT_WAIT: Duration = Duration::from_millis(400);
pub const WINDOW: Duration = Duration::from_secs(5);
/// Bytes of packet heads of an exchange, as docs/CAPACITY.md reckons.
pub const HEADS: u64 = 250;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn id(account: usize) -> AccountId {
    AccountId::of(&account.to_string())
}

pub fn limits(limits: &[AccountLimit]) -> Vec<(AccountId, AccountLimit)> {
    let limits = limits.iter().enumerate();
    limits.map(|(at, limit)| (id(at), *limit)).collect()
}

/// A request of a program, or one of an account without programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Request {
    pub account: usize,
    /// Requests of the program that remain, with this one.
    pub left: u32,
    pub gap: Duration,
    pub begins: bool,
    pub refusals: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
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

pub struct Front {
    pub holder: FleetQuotaHolder,
    /// Message under way, its number, and the reply.
    pub asked: Option<(u64, QuotaRequest, Option<QuotaReply>)>,
    pub waiting: Vec<(Time, Request)>,
    pub polls: bool,
    pub cut: bool,
    pub paused_until: Time,
    pub killed: bool,
}

#[derive(Debug, Default, Clone)]
pub struct Counts {
    pub sent: VecDeque<Time>,
    /// Tokens of an ideal bucket, and the time of the last update.
    pub ideal: f64,
    pub updated: Time,
    /// Largest number of requests in a window.
    pub most: usize,
    pub total: u64,
    pub refused: u64,
    /// Attempts that an ideal bucket would have let pass.
    pub conforming: u64,
    pub started: u64,
    pub ended: u64,
}

pub struct Site {
    pub now: Time,
    /// Time from which is counted.
    pub since: Time,
    pub cfg: FleetQuotaSettings,
    pub fronts: Vec<Front>,
    pub leader: Option<FleetQuotaAllocator>,
    pub limits: Vec<AccountLimit>,
    /// Programs a second of each account, or requests if `programs` is not set.
    pub load: Vec<f64>,
    /// Number of changes of the load of each account.
    pub changes: Vec<u32>,
    pub counts: Vec<Counts>,
    pub events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    pub number: u64,
    pub seed: u64,
    /// Whether requests are those of programs.
    pub programs: bool,
    /// Whether the class of requests is known.
    pub classes: bool,
    /// Exponent by which the shares of callers at the fronts differ.
    pub skew: f64,
    pub messages: u64,
    pub bytes: u64,
    pub waits: u64,
    pub terms: u64,
}

impl Site {
    pub fn new(fronts: usize, accounts: usize, rate: f64, programs: bool) -> Self {
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

    pub fn draw(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn at(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + after, self.number, event)));
    }

    pub fn limits(&self) -> Vec<(AccountId, AccountLimit)> {
        limits(&self.limits)
    }

    /// Restarts a front, which forgets everything but its identity.
    pub fn restart(&mut self, number: usize) {
        let front = &mut self.fronts[number];
        front.holder = FleetQuotaHolder::new(number as u64, self.now.as_micros(), self.cfg);
        front.holder.set_limits(1, limits(&self.limits));
        (front.asked, front.killed, front.cut) = (None, false, false);
        front.waiting.clear();
        self.poll(number, ms(0));
    }

    pub fn add_front(&mut self) {
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
    pub fn elect(&mut self) {
        self.terms += 1;
        let mut leader = FleetQuotaAllocator::new(self.now, self.terms, self.cfg);
        leader.set_limits(self.now, 1, self.limits());
        self.leader = Some(leader);
    }

    pub fn poll(&mut self, front: usize, after: Duration) {
        if !std::mem::replace(&mut self.fronts[front].polls, true) {
            self.at(after, Event::Poll(front));
        }
    }

    pub fn next_program(&mut self, account: usize) {
        let wait = -(1.0 - self.draw()).ln() / self.load[account].max(1e-9);
        self.at(
            Duration::from_secs_f64(wait.min(1e4)),
            Event::Program(account, self.changes[account]),
        );
    }

    /// Changes the load of an account at once.
    pub fn set_load(&mut self, account: usize, load: f64) {
        self.load[account] = load;
        self.changes[account] += 1;
        self.next_program(account);
    }

    pub fn run(&mut self, time: Duration) {
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

    pub fn process(&mut self, event: &Event) {
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

    pub fn latency(&mut self) -> Duration {
        Duration::from_secs_f64(0.001 + 0.003 * self.draw())
    }

    pub fn arrive(&mut self, req: Request) {
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
    pub fn ask(&mut self, front: usize, req: Request, waits_until: Option<Time>) {
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

    pub fn send(&mut self, mut req: Request) {
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

    pub fn refuse(&mut self, mut req: Request, after: Duration) {
        self.counts[req.account].refused += 1;
        req.refusals += 1;
        if self.programs && req.refusals < 3 {
            let draw = (self.draw() * 1e6) as u64;
            let after = FleetQuotaHolder::return_delay(after, draw);
            self.at(after, Event::Arrive(req));
        }
    }

    pub fn send_message(&mut self, at: usize) {
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

    pub fn end_message(&mut self, at: usize, sent: Time, number: u64) {
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
    pub fn bound(&self, account: usize) -> (usize, usize) {
        let limit = self.limits[account];
        let whole = limit.rate.billionths_in(WINDOW) as f64 / 1e9 + limit.burst as f64;
        (self.counts[account].most, (whole * 1.1 + 20.0) as usize)
    }

    pub fn check(&self) {
        for account in 0..self.limits.len() {
            let (most, bound) = self.bound(account);
            assert!(most <= bound, "account {account}: {most} of {bound}");
        }
    }

    /// Requests of all accounts from `first` on that were refused within the limit.
    pub fn refused_below(&self, first: usize) -> u64 {
        self.counts[first..].iter().map(Counts::refused_below).sum()
    }

    pub fn print(&self, what: &str) {
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
    pub fn reset(&mut self) {
        self.since = self.now;
        for counts in &mut self.counts {
            (counts.refused, counts.conforming, counts.total) = (0, 0, 0);
            (counts.started, counts.ended, counts.most) = (0, 0, 0);
        }
        (self.messages, self.bytes, self.waits) = (0, 0, 0);
    }

    pub fn sum(&self, of: impl Fn(&Counts) -> u64) -> u64 {
        self.counts.iter().map(of).sum()
    }
}

impl Counts {
    pub fn arrive(&mut self, now: Time, limit: AccountLimit) {
        let added = limit.rate.billionths_in(now.since(self.updated)) as f64 / 1e9;
        self.ideal = (self.ideal + added).min(limit.burst as f64);
        self.updated = now;
        if self.ideal >= 1.0 {
            self.ideal -= 1.0;
            self.conforming += 1;
        }
    }

    /// Requests refused although they were within the limit.
    pub const fn refused_below(&self) -> u64 {
        let missing = self.conforming.saturating_sub(self.total);
        if missing < self.refused {
            missing
        } else {
            self.refused
        }
    }
}
