//! Limits that upstreams name, held by many entries with one allocator.

use {
    quay_policy::{LimitAllocator, LimitHolder, PermitGrant, PermitRequest},
    quay_types::{Incarnation, RequestRate, ServiceId, Time, UpstreamId},
    std::{collections::VecDeque, time::Duration},
};

type Upstream = (UpstreamId, Incarnation);

const STEP: Duration = Duration::from_millis(10);
/// Time from an upstream's first answer with a limit until the limit must hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const PERIOD: Duration = Duration::from_secs(4);
/// Time after which an entry gives up a request for permits.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// One entry with its messages under way.
#[derive(Default)]
struct Entry {
    holder: LimitHolder,
    /// Request sent to the allocator, with the time of sending and the reply under
    /// way, if any.
    asked: Option<(Time, PermitRequest, Option<PermitGrant>)>,
    /// Time at which the reply arrives or is given up.
    reply_at: Option<Time>,
    next_request: Time,
    /// Requests that wait for permits.
    waiting: u32,
    cut_off: bool,
    refused: u32,
}

/// Entries that send requests to limited upstreams, in simulated time.
struct Site {
    now: Time,
    allocator: LimitAllocator,
    entries: Vec<Entry>,
    /// Limits of the upstreams.
    limits: Vec<Option<RequestRate>>,
    /// Times of the requests that each upstream got.
    got: Vec<VecDeque<Time>>,
    seed: u64,
}

fn upstream(number: usize) -> Upstream {
    (UpstreamId(number as u64), Incarnation(1))
}

const fn per_second(rate: u64) -> RequestRate {
    RequestRate(rate * 1_000)
}

impl Site {
    fn new(entries: usize, limits: Vec<Option<RequestRate>>) -> Self {
        Self {
            now: Time::from_millis(1),
            allocator: LimitAllocator::default(),
            entries: (0..entries).map(|_| Entry::default()).collect(),
            got: limits.iter().map(|_| VecDeque::new()).collect(),
            limits,
            seed: 1,
        }
    }

    /// Pseudorandom number below `bound`.
    fn draw(&mut self, bound: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.seed >> 33) % bound
    }

    /// Exchanges messages with the allocator, which take a step each way, and sends
    /// the requests that waited for a reply.
    fn exchange(&mut self) {
        let now = self.now;
        let pause = Duration::from_millis(20.max(2 * self.entries.len() as u64));
        self.allocator.tick(now);
        for number in 0..self.entries.len() {
            let entry = &mut self.entries[number];
            if entry.reply_at.is_some_and(|at| at <= now)
                && let Some((sent, req, grant)) = entry.asked.take()
            {
                if let Some(grant) = grant {
                    entry.holder.accept(now, sent, &req, &grant);
                }
                entry.reply_at = None;
                entry.next_request = now + pause;
                for _ in 0..std::mem::take(&mut entry.waiting) {
                    if !self.send(number) {
                        self.entries[number].refused += 1;
                    }
                }
            }
            let entry = &mut self.entries[number];
            if entry.asked.is_none()
                && entry.next_request <= now
                && let Some(req) = entry.holder.next_request(now, number as u64, false)
            {
                let reached = !entry.cut_off;
                let grant = reached.then(|| self.allocator.grant(now, &req));
                let delay = if reached { STEP } else { REPLY_TIMEOUT };
                entry.asked = Some((now, req, grant));
                entry.reply_at = Some(now + delay);
            }
        }
    }

    /// Takes a request of an entry. If no upstream may get it, it waits for the
    /// next reply of the allocator, unless the last one came just before.
    fn take(&mut self, entry: usize) {
        if self.send(entry) {
            return;
        }
        let now = self.now;
        let count = self.limits.len();
        let entry = &mut self.entries[entry];
        if entry.asked.is_none() && entry.next_request > now {
            entry.refused += 1;
            return;
        }
        entry.waiting += 1;
        let all: Vec<Upstream> = (0..count).map(upstream).collect();
        entry.holder.want_permit(&all, false);
    }

    /// Sends a request of an entry to any upstream that may get one.
    fn send(&mut self, entry: usize) -> bool {
        let count = self.limits.len();
        let first = usize::try_from(self.draw(count as u64)).expect("small");
        let now = self.now;
        let holder = &mut self.entries[entry].holder;
        let order = (0..count).map(|step| (first + step) % count);
        let (allowed, without): (Vec<usize>, Vec<usize>) =
            order.partition(|number| holder.may_send(now, upstream(*number), false));
        let Some(number) = allowed.first().copied() else {
            return false;
        };
        let without: Vec<Upstream> = without.into_iter().map(upstream).collect();
        holder.want_permit(&without, false);
        holder.use_permit(upstream(number), false);
        holder.record_response(now, upstream(number), now, self.limits[number]);
        self.got[number].push_back(now);
        true
    }

    /// Plays a time in which each entry sends `rate` requests a second.
    fn play(&mut self, time: Duration, rate: u64) {
        let ends = self.now + time;
        while self.now < ends {
            self.exchange();
            for entry in 0..self.entries.len() {
                // Up to two requests in a step.
                for _ in 0..2 {
                    if self.draw(200) < rate {
                        self.take(entry);
                    }
                }
            }
            self.now = self.now + STEP;
        }
    }

    /// Most and least requests that an upstream got in a period since `from`.
    fn range(&self, number: usize, from: Time) -> (usize, usize) {
        let got = &self.got[number];
        let count = |start: Time| {
            let within = |at: &&Time| **at >= start && **at < start + PERIOD;
            got.iter().filter(within).count()
        };
        let mut starts = Vec::new();
        let mut start = from;
        while start + PERIOD <= self.now {
            starts.push(count(start));
            start = start + Duration::from_millis(100);
        }
        let most = starts.iter().max().copied().unwrap_or_default();
        (most, starts.iter().min().copied().unwrap_or_default())
    }

    /// Checks that no upstream got more than allowed in a period since `from`.
    fn check_limits(&self, from: Time) {
        for (number, limit) in self.limits.iter().enumerate() {
            let Some(limit) = limit else { continue };
            let allowed = usize::try_from(limit.0 * 6 / 1_000).expect("small") + 5;
            let (most, _) = self.range(number, from);
            assert!(most <= allowed, "{most} of {allowed} at {limit}");
        }
    }

    /// Checks that each limited upstream got most of its limit since `from`.
    fn check_use(&self, from: Time) {
        for (number, limit) in self.limits.iter().enumerate() {
            let Some(limit) = limit else { continue };
            let wanted = usize::try_from(limit.0 * 4 * 3 / 4 / 1_000).expect("small");
            let (_, least) = self.range(number, from);
            assert!(least >= wanted, "{least} of {wanted} at {limit}");
        }
    }
}

#[test]
fn limits_hold_and_are_used_up_for_any_number_of_entries() {
    for (entries, rate) in [(1, 90), (5, 40), (28, 20), (91, 10)] {
        let limits = [1, 2, 5, 7].map(|rate| Some(per_second(rate))).to_vec();
        let mut site = Site::new(entries, limits);
        site.play(Duration::from_secs(30), rate);
        let from = Time::ZERO + CONTACT_TIME;
        site.check_limits(from);
        site.check_use(from);
        let refused: u32 = site.entries.iter().map(|it| it.refused).sum();
        assert!(refused > 0, "more was sent than the limits allow");
    }
}

#[test]
fn the_limits_of_many_upstreams_are_used_up() {
    let limits = (0..40).map(|number| Some(per_second(2 + number % 5)));
    let mut site = Site::new(28, limits.collect());
    site.play(Duration::from_secs(20), 30);
    site.check_limits(Time::ZERO + CONTACT_TIME);
    site.check_use(Time::ZERO + CONTACT_TIME);
}

#[test]
fn many_entries_with_a_request_now_and_then_keep_to_a_limit() {
    let mut site = Site::new(91, vec![Some(per_second(2))]);
    site.play(Duration::from_secs(30), 1);
    site.check_limits(Time::ZERO + CONTACT_TIME);
    site.check_use(Time::ZERO + CONTACT_TIME);
}

#[test]
fn nothing_is_refused_while_other_upstreams_have_no_limit() {
    let mut site = Site::new(5, vec![Some(per_second(2)), Some(per_second(5)), None]);
    site.play(Duration::from_secs(20), 40);
    site.check_limits(Time::ZERO + CONTACT_TIME);
    assert!(site.entries.iter().all(|it| it.refused == 0));
}

#[test]
fn a_new_allocator_and_entries_that_come_and_go_keep_to_the_limits() {
    let mut site = Site::new(8, vec![Some(per_second(3)), Some(per_second(6))]);
    site.play(Duration::from_secs(8), 20);
    for round in 0..4 {
        // A new leader, an entry that restarts, one that is cut off.
        site.allocator = LimitAllocator::default();
        site.entries[round] = Entry::default();
        site.entries[7].cut_off = round % 2 == 0;
        site.play(Duration::from_secs(5), 20);
    }
    site.check_limits(Time::ZERO + CONTACT_TIME);
    site.check_use(Time::ZERO + CONTACT_TIME);
}

#[test]
fn entries_without_an_allocator_use_even_shares() {
    let mut site = Site::new(5, vec![Some(per_second(4)), Some(per_second(6))]);
    site.play(Duration::from_secs(8), 30);
    for entry in &mut site.entries {
        entry.cut_off = true;
    }
    let cut = site.now;
    site.play(Duration::from_secs(15), 30);
    site.check_limits(Time::ZERO + CONTACT_TIME);
    site.check_use(cut + Duration::from_secs(3));
}

#[test]
fn a_changed_limit_is_kept_to_and_an_ended_one_is_forgotten() {
    let mut site = Site::new(5, vec![Some(per_second(8)), None]);
    site.play(Duration::from_secs(8), 30);
    site.limits[0] = Some(per_second(2));
    site.play(Duration::from_secs(4), 30);
    let lowered = site.now;
    site.play(Duration::from_secs(8), 30);
    site.check_limits(lowered);
    site.limits[0] = None;
    site.play(Duration::from_secs(8), 30);
    assert!(site.entries.iter().all(|it| it.holder.is_empty()));
}

#[test]
fn a_limit_of_zero_still_lets_the_upstream_say_that_it_has_ended() {
    let mut site = Site::new(5, vec![Some(per_second(0))]);
    site.play(Duration::from_secs(12), 20);
    site.check_limits(Time::ZERO + CONTACT_TIME);
    site.limits[0] = None;
    site.play(Duration::from_secs(12), 20);
    assert!(site.entries.iter().all(|it| it.holder.is_empty()));
}

#[test]
fn an_earlier_response_without_a_limit_does_not_end_it() {
    let mut holder = LimitHolder::default();
    let at = Time::from_millis;
    let limit = Some(per_second(3));
    assert!(holder.record_response(at(100), upstream(1), at(90), limit));
    assert!(!holder.record_response(at(110), upstream(1), at(80), None));
    assert_eq!(holder.len(), 1);
    assert!(holder.record_response(at(130), upstream(1), at(120), None));
    assert!(holder.is_empty());
}

#[test]
fn permits_of_a_paused_entry_expire() {
    let mut holder = LimitHolder::default();
    let mut allocator = LimitAllocator::default();
    let at = Time::from_millis;
    holder.record_response(at(0), upstream(1), at(0), Some(per_second(5)));
    assert!(!holder.may_send(at(0), upstream(1), false));
    holder.want_permit(&[upstream(1)], false);
    let req = holder.next_request(at(0), 1, false).expect("a request");
    allocator.grant(at(0), &req);
    let grant = allocator.grant(at(1_000), &req);
    assert_eq!(*grant.permits, [1]);
    holder.accept(at(1_010), at(1_000), &req, &grant);
    assert!(holder.may_send(at(1_900), upstream(1), false));
    assert!(!holder.may_send(at(2_000), upstream(1), false));
}

#[test]
fn refused_callers_return_at_the_rate_of_the_limits() {
    let mut holder = LimitHolder::default();
    let at = Time::from_millis;
    let upstreams = [upstream(1), upstream(2)];
    for one in upstreams {
        holder.record_response(at(0), one, at(0), Some(per_second(5)));
    }
    let service = ServiceId::of("llm");
    let delays: Vec<u64> = (0..40)
        .map(|_| holder.return_delay(at(1_000), service, &upstreams))
        .map(|delay| delay.expect("limited"))
        .map(|delay| u64::try_from(delay.as_millis()).expect("small"))
        .collect();
    assert_eq!(delays[..4], [100, 200, 300, 400]);
    assert_eq!(delays[39], 2_000, "no caller waits for long");
}
