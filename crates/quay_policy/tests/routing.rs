//! Tests of routing and of the prefix index.

use {
    proptest::prelude::*,
    quay_policy::{
        ExpectedTime, FeedState, PrefixIndex, PromptBeginning, RouteRequest, RouteSettings, Router,
        Slot,
    },
    quay_types::{
        Announcement, CallTarget, Incarnation, Load, ModelId, ProgramId, Time, Tokens, UpstreamId,
        UpstreamKind, UpstreamState,
    },
    std::time::Duration,
};

const MODEL: ModelId = ModelId(7);

fn announcement(number: u64, sequence: u64, load: Load) -> Announcement {
    Announcement {
        name: format!("u{number}").into(),
        incarnation: Incarnation(1),
        sequence,
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        kind: UpstreamKind::Engine {
            models: [MODEL].into(),
        },
        state: UpstreamState::Serving,
        load,
    }
}

fn upstream(number: u64) -> UpstreamId {
    UpstreamId::of(&format!("u{number}"))
}

fn router(count: u64) -> Router<ExpectedTime> {
    let mut router = Router::new(RouteSettings::default(), "a");
    for number in 0..count {
        router.apply_announcement(Time::ZERO, &announcement(number, 1, Load::default()));
    }
    router
}

fn request(root: u64, blocks: &[u64]) -> RouteRequest<'_> {
    RouteRequest {
        beginning: None,
        target: CallTarget::Model(MODEL),
        program: ProgramId::root(root),
        has_history: false,
        conversations: &[],
        prompt: Tokens(blocks.len() as u64 * 64),
        blocks,
        tried: &[],
    }
}

#[test]
fn entries_with_the_same_report_spread_their_calls() {
    let mut counts = indexmap::IndexMap::new();
    for entry in 0..100 {
        let choice = router(10).pick(Time::ZERO, &request(entry, &[]), entry * 7_919);
        *counts
            .entry(choice.expect("an eligible upstream").upstream)
            .or_insert(0) += 1;
    }
    assert!(counts.len() >= 8, "{counts:?}");
    assert!(counts.values().all(|count| *count < 30), "{counts:?}");
}

#[test]
fn calls_sent_since_the_last_report_count_as_load() {
    let mut router = router(10);
    let mut counts = indexmap::IndexMap::new();
    for call in 0..100 {
        let choice = router.pick(Time::ZERO, &request(call, &[]), call);
        *counts
            .entry(choice.expect("an eligible upstream").upstream)
            .or_insert(0) += 1;
    }
    assert!(
        counts.values().all(|count| (5..=15).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_call_goes_to_the_holder_of_its_prefix_unless_overloaded() {
    let mut router = router(10);
    let blocks: Vec<u64> = (1..200).collect();
    let first = router
        .pick(Time::ZERO, &request(1, &blocks), 3)
        .expect("an eligible upstream");
    // The reports show that the first call has ended, so that its prefill does
    // not delay the second call.
    for number in 0..10 {
        router.apply_announcement(
            Time::from_millis(5),
            &announcement(number, 2, Load::default()),
        );
    }
    let again = router
        .pick(Time::from_millis(5), &request(1, &blocks), 8)
        .expect("an eligible upstream");
    assert_eq!(first.upstream, again.upstream);
    assert!(again.cached_blocks > 180, "{}", again.cached_blocks);
    let overloaded = Load {
        queued: 100,
        running: 30,
        kv_permille: 990,
        ..Load::default()
    };
    for number in 0..10 {
        if upstream(number) == first.upstream {
            router.apply_announcement(Time::from_millis(10), &announcement(number, 3, overloaded));
        }
    }
    let other = router.pick(Time::from_millis(10), &request(1, &blocks), 0);
    assert_ne!(
        other.expect("an eligible upstream").upstream,
        first.upstream
    );
}

#[test]
fn entries_agree_on_the_home_of_a_program() {
    let blocks: Vec<u64> = (1..100).collect();
    let started = RouteRequest {
        has_history: true,
        conversations: &[],
        ..request(9, &blocks)
    };
    let choices: Vec<_> = (0..5)
        .map(|entry| {
            router(10)
                .pick(Time::ZERO, &started, entry)
                .expect("an eligible upstream")
        })
        .collect();
    assert!(
        choices
            .iter()
            .all(|choice| choice.upstream == choices[0].upstream)
    );
}

/// Routers of two fronts that both have sent a call of each beginning.
fn fronts_with_beginnings(
    cfg: RouteSettings,
    beginnings: &[PromptBeginning],
) -> [Router<ExpectedTime>; 2] {
    [0, 1].map(|front| {
        let mut router = Router::new(cfg, "a");
        for number in 0..16 {
            router.apply_announcement(Time::ZERO, &announcement(number, 1, Load::default()));
        }
        for (call, beginning) in (0..2_048).zip(beginnings.iter().cycle()) {
            let sent = pick_home(&mut router, call * 2 + front, *beginning);
            router.record_end(Time::ZERO, sent);
        }
        router
    })
}

/// Upstream at which the first call of a program goes.
fn pick_home(
    router: &mut Router<ExpectedTime>,
    program: u64,
    beginning: PromptBeginning,
) -> UpstreamId {
    let own = (0..20).map(|block| (1 << 40) + program * 32 + block);
    let blocks = (0..200)
        .map(|block| (beginning.id << 32) + block)
        .chain(own);
    let blocks: Vec<u64> = blocks.collect();
    let req = RouteRequest {
        beginning: Some(beginning),
        ..request(program, &blocks)
    };
    router
        .pick(Time::ZERO, &req, program)
        .expect("upstream")
        .upstream
}

/// Upstreams at which new programs of a beginning begin, the same at both fronts.
fn homes(fronts: &mut [Router<ExpectedTime>; 2], beginning: PromptBeginning) -> usize {
    let mut used = indexmap::IndexSet::new();
    for program in 1_000_000..1_000_100 {
        let [one, other] = fronts.each_mut().map(|front| {
            let home = pick_home(front, program, beginning);
            front.record_end(Time::ZERO, home);
            home
        });
        assert_eq!(one, other, "program {program}");
        used.insert(one);
    }
    used.len()
}

#[test]
fn fronts_begin_a_program_at_the_same_upstream_and_keep_beginnings_apart() {
    let cfg = RouteSettings {
        begin_at_home: true,
        beginnings_share: 400,
        correct_load: false,
        ..RouteSettings::default()
    };
    let beginnings = |count: u64, memory: u64| -> Vec<PromptBeginning> {
        let beginning = |id| PromptBeginning {
            id,
            tokens: Tokens(12_800),
            memory: Tokens(memory),
        };
        (1..=count).map(beginning).collect()
    };
    // All of them fit into two fifths of the memory of one upstream, or half do, or a
    // quarter does; or there are too few to keep them apart.
    for (count, memory, expected) in [
        (16, 600_000, 16),
        (16, 300_000, 8),
        (64, 600_000, 4),
        (2, 20_000, 16),
    ] {
        let all = beginnings(count, memory);
        let mut fronts = fronts_with_beginnings(cfg, &all);
        assert_eq!(homes(&mut fronts, all[0]), expected, "{count} in {memory}");
    }
}

#[test]
fn a_silent_upstream_is_used_only_as_a_last_resort() {
    let mut router = router(2);
    let later = Time::ZERO + Duration::from_secs(10);
    let busy = Load {
        running: 20,
        token_gap_us: 30_000,
        ..Load::default()
    };
    router.apply_announcement(later, &announcement(0, 2, busy));
    for draw in 0..4 {
        let choice = router
            .pick(later, &request(draw, &[]), draw)
            .expect("an eligible upstream");
        assert_eq!(choice.upstream, upstream(0));
    }
    let tried = [upstream(0)];
    let rest = RouteRequest {
        tried: &tried,
        ..request(9, &[])
    };
    assert_eq!(
        router
            .pick(later, &rest, 0)
            .expect("the silent upstream as a last resort")
            .upstream,
        upstream(1)
    );
}

#[test]
fn a_draining_upstream_gets_no_calls_despite_an_outdated_announcement() {
    let mut router = router(1);
    let draining = Announcement {
        state: UpstreamState::Draining,
        ..announcement(0, 3, Load::default())
    };
    router.apply_announcement(Time::ZERO, &draining);
    router.apply_announcement(Time::ZERO, &announcement(0, 2, Load::default()));
    assert_eq!(router.pick(Time::ZERO, &request(1, &[]), 0), None);
}

#[test]
fn a_gap_in_cache_events_is_detected_and_closed_by_a_snapshot() {
    let mut index = PrefixIndex::new(100);
    let slot = Slot(3);
    assert_eq!(index.apply_stored(slot, 1, 11), FeedState::Complete(1));
    assert_eq!(index.apply_stored(slot, 2, 12), FeedState::Complete(2));
    assert_eq!(index.apply_stored(slot, 4, 14), FeedState::Gap(4));
    assert_eq!(index.apply_evicted(slot, 5, 11), FeedState::Gap(5));
    index.apply_snapshot(slot, 9, &[11, 12, 13]);
    assert_eq!(index.feed_state(slot), FeedState::Complete(9));
    assert_eq!(
        index.apply_evicted(slot, 8, 11),
        FeedState::Complete(9),
        "an event older than the snapshot must have no effect"
    );
    let mut depths = Vec::new();
    index.lookup(&[11, 12, 13, 14], &mut depths, 4);
    assert_eq!(depths, [0, 0, 0, 3]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The index stays within its bound and never reports a deeper prefix for
    /// an upstream than was sent to it.
    #[test]
    fn the_index_is_bounded_and_holds_only_blocks_that_were_sent(
        max in 1_usize..400,
        sends in prop::collection::vec((0_u16..20, 0_u64..6, 1_usize..300), 1..40),
    ) {
        let mut index = PrefixIndex::new(max);
        let blocks = |prompt: u64, len: usize| -> Vec<u64> {
            (0..len as u64).map(|depth| prompt << 32 | depth).collect()
        };
        let mut sent = indexmap::IndexMap::new();
        let mut depths = Vec::new();
        for (slot, prompt, len) in sends {
            index.record_sent(Slot(slot), &blocks(prompt, len));
            let most = sent.entry((slot, prompt)).or_insert(0);
            *most = len.max(*most);
            prop_assert!(index.len() <= max);
            index.lookup(&blocks(prompt, 300), &mut depths, 20);
            for (slot, depth) in depths.iter().enumerate() {
                let slot = u16::try_from(slot).expect("number in range");
                let most = sent.get(&(slot, prompt)).copied().unwrap_or(0);
                prop_assert!(*depth as usize <= most);
            }
        }
    }
}

// ---------------------------------------------------------------------------
// Conversations

/// Blocks of a long prompt, of which calls use a growing prefix.
const LONG_PROMPT: [u64; 300] = {
    let mut blocks = [0; 300];
    let mut at = 0;
    while at < 300 {
        blocks[at] = at as u64 + 1;
        at += 1;
    }
    blocks
};

/// Router of a gateway with ten upstreams: engines that prefill 368 tokens per
/// ms and generate a token in 0.76 ms.
fn gateway_router() -> Router<ExpectedTime> {
    let cfg = RouteSettings {
        prefill_us: 3,
        prefix_per_running: 1_000,
        per_running_us: 30,
        token_gap_us: 760,
        answer_tokens: 260,
        spread: Duration::from_millis(1),
        ..RouteSettings::default()
    };
    let mut router = Router::new(cfg, "a");
    for number in 0..10 {
        router.apply_announcement(Time::ZERO, &announcement(number, 1, Load::default()));
    }
    router
}

/// Router that has sent a call of conversation 5 to the returned upstream. That
/// upstream then reports one running call, the other upstreams report none.
fn router_with_a_conversation() -> (Router<ExpectedTime>, UpstreamId) {
    let mut router = gateway_router();
    let first = RouteRequest {
        conversations: &[5],
        ..request(1, &LONG_PROMPT[..250])
    };
    let last_upstream = router
        .pick(Time::ZERO, &first, 3)
        .expect("an eligible upstream")
        .upstream;
    for number in 0..10 {
        let running = u32::from(upstream(number) == last_upstream);
        let load = Load {
            running,
            ..Load::default()
        };
        router.apply_announcement(Time::from_millis(5), &announcement(number, 2, load));
    }
    (router, last_upstream)
}

#[test]
fn a_conversation_stays_with_the_upstream_that_ran_its_last_call() {
    // The next call of the conversation, and a call that branches off from it,
    // for programs with different home upstreams.
    for conversations in [&[5][..], &[6, 5]] {
        for root in 0..20 {
            let (mut router, last_upstream) = router_with_a_conversation();
            let next = RouteRequest {
                conversations,
                has_history: true,
                ..request(root, &LONG_PROMPT[..300])
            };
            let choice = router.pick(Time::from_millis(6), &next, root);
            assert_eq!(
                choice.expect("an eligible upstream").upstream,
                last_upstream
            );
        }
    }
}

#[test]
fn a_restarted_upstream_loses_its_conversations() {
    let (mut router, last_upstream) = router_with_a_conversation();
    let number = (0..10).find(|number| upstream(*number) == last_upstream);
    let load = Load {
        running: 3,
        ..Load::default()
    };
    let again = Announcement {
        incarnation: Incarnation(2),
        ..announcement(number.expect("an upstream of the router"), 1, load)
    };
    router.apply_announcement(Time::from_millis(6), &again);
    let next = RouteRequest {
        conversations: &[5],
        ..request(1, &LONG_PROMPT[..300])
    };
    let choice = router.pick(Time::from_millis(6), &next, 0);
    assert_ne!(
        choice.expect("an eligible upstream").upstream,
        last_upstream
    );
}

/// Guards against repeated prefills in a burst: ten upstreams serve 120
/// concurrent conversations of nine calls each. At most one call in ten may
/// change its upstream, which then has to prefill the whole history.
#[test]
fn conversations_rarely_change_upstream_in_a_burst() {
    const SHARED_BLOCKS: u64 = 200;
    const BLOCKS_PER_TURN: u64 = 20;
    let mut router = gateway_router();
    let mut last: Vec<Option<UpstreamId>> = vec![None; 120];
    let (mut moved, mut calls, mut now) = (0, 0, Time::ZERO);
    // Each conversation makes a call every 480 ms, which takes 400 ms.
    for step in 0..9 * 120_u64 {
        now = now + Duration::from_millis(4);
        let conversation = step % 120;
        let turn = step / 120 + 1;
        let shared = 0..SHARED_BLOCKS;
        let own = (0..turn * BLOCKS_PER_TURN).map(|block| conversation << 32 | 1 << 20 | block);
        let blocks: Vec<u64> = shared.chain(own).collect();
        let req = RouteRequest {
            conversations: &[conversation + 1],
            has_history: turn > 1,
            ..request(conversation, &blocks)
        };
        let choice = router
            .pick(now, &req, step * 7_919)
            .expect("an eligible upstream")
            .upstream;
        let at = usize::try_from(conversation).expect("number in range");
        calls += u32::from(last[at].is_some());
        moved += u32::from(last[at].is_some_and(|it| it != choice));
        last[at] = Some(choice);
        // Of the 120 conversations, 100 have a call in flight at a time.
        if step >= 100 {
            let ended = usize::try_from((step - 100) % 120).expect("number in range");
            if let Some(id) = last[ended] {
                router.record_end(now, id);
            }
        }
    }
    assert!(moved * 10 <= calls, "{moved} of {calls} calls moved");
}

// ---------------------------------------------------------------------------
// Slow and failing upstreams

/// Simulates a caller that sends calls to ten upstreams at a fixed interval.
struct Simulation {
    router: Router<ExpectedTime>,
    now: Time,
    /// Calls in flight: end time, number of the upstream, duration.
    in_flight: Vec<(Time, u64, Duration)>,
    sent: [u32; 10],
}

/// Interval between calls.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// Duration of a call on a healthy upstream without other calls.
const HEALTHY_DURATION: Duration = Duration::from_millis(200);

impl Simulation {
    fn new() -> Self {
        Self {
            router: router(10),
            now: Time::from_millis(10_000),
            in_flight: Vec::new(),
            sent: [0; 10],
        }
    }

    /// Runs for `span`. A call takes `slowdown` times as long as on a healthy
    /// upstream, and about every second call to an upstream for which `fails`
    /// is true is lost.
    fn run(&mut self, span: Duration, slowdown: impl Fn(u64) -> u32, fails: impl Fn(u64) -> bool) {
        self.sent = [0; 10];
        let ends = self.now + span;
        let mut call = 0;
        while self.now < ends {
            self.now = self.now + CALL_INTERVAL;
            self.end_calls(&fails);
            call += 1;
            if call % 10 == 0 {
                self.report();
            }
            let choice = self
                .router
                .pick(self.now, &request(call, &[]), call * 7_919);
            let choice = choice.expect("an eligible upstream").upstream;
            let number = (0..10).find(|number| upstream(*number) == choice);
            let number = number.expect("an upstream of the router");
            self.sent[usize::try_from(number).expect("number in range")] += 1;
            let took = HEALTHY_DURATION * slowdown(number) * (20 + self.running(number)) / 20;
            self.in_flight.push((self.now + took, number, took));
        }
    }

    fn running(&self, number: u64) -> u32 {
        let running = self.in_flight.iter().filter(|it| it.1 == number).count();
        u32::try_from(running).expect("number in range")
    }

    /// Reports the load of every upstream.
    fn report(&mut self) {
        for number in 0..10 {
            let load = Load {
                running: self.running(number),
                ..Load::default()
            };
            self.router
                .apply_announcement(self.now, &announcement(number, 1, load));
        }
    }

    fn end_calls(&mut self, fails: &impl Fn(u64) -> bool) {
        let now = self.now;
        let ended: Vec<_> = self
            .in_flight
            .extract_if(.., |(ends, ..)| *ends <= now)
            .collect();
        for (at, number, took) in ended {
            let id = upstream(number);
            self.router.record_end(now, id);
            if fails(number) && at.as_millis() % 2 == 0 {
                self.router.record_failure(now, id);
            } else {
                self.router.record_success(now, id, took);
            }
        }
    }

    /// Number of calls sent to the first two upstreams.
    fn to_first_two(&self) -> u32 {
        self.sent[0] + self.sent[1]
    }
}

/// Maximum number of probes of two upstreams in `span`, one at a time for each.
fn max_probes(span: Duration) -> u32 {
    let interval = RouteSettings::default().probe_interval;
    2 * u32::try_from(span.as_millis() / interval.as_millis() + 1).expect("number in range")
}

/// Two of ten upstreams become slow: calls must not wait there while other
/// upstreams are free, and must return once the two have recovered.
#[test]
fn slow_upstreams_get_only_probes_until_they_recover() {
    let span = Duration::from_secs(30);
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(5), |_| 1, |_| false);
    let slow = |number| if number < 2 { 4 } else { 1 };
    // The slowness is detected while calls are in flight.
    simulation.run(Duration::from_secs(3), slow, |_| false);
    simulation.run(span, slow, |_| false);
    assert!(
        simulation.to_first_two() <= max_probes(span),
        "{:?}",
        simulation.sent
    );
    // A few successful probes mark the upstreams as healthy again.
    simulation.run(Duration::from_secs(15), |_| 1, |_| false);
    simulation.run(span, |_| 1, |_| false);
    let share = simulation.sent.iter().sum::<u32>() / 10;
    assert!(simulation.to_first_two() >= share, "{:?}", simulation.sent);
}

/// Two of ten upstreams lose every second call: only probes may go there until
/// they have recovered.
#[test]
fn failing_upstreams_get_only_probes_until_they_recover() {
    let span = Duration::from_secs(30);
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(5), |_| 1, |_| false);
    simulation.run(Duration::from_secs(3), |_| 1, |number| number < 2);
    simulation.run(span, |_| 1, |number| number < 2);
    // A probe that happens to succeed is followed by a few more calls.
    assert!(
        simulation.to_first_two() <= 8 * max_probes(span),
        "{:?}",
        simulation.sent
    );
    simulation.run(Duration::from_secs(15), |_| 1, |_| false);
    simulation.run(span, |_| 1, |_| false);
    let share = simulation.sent.iter().sum::<u32>() / 10;
    assert!(simulation.to_first_two() >= share, "{:?}", simulation.sent);
}

#[test]
fn a_pool_is_used_even_if_all_upstreams_are_slow_or_failing() {
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(10), |_| 4, |_| true);
    assert!(
        simulation.sent.iter().all(|sent| *sent > 20),
        "{:?}",
        simulation.sent
    );
    // Seven of ten fail: the healthy three get most calls, and every failing
    // upstream still gets some.
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(5), |_| 1, |_| false);
    simulation.run(Duration::from_secs(10), |_| 1, |number| number < 7);
    assert!(
        simulation.sent[7..].iter().all(|sent| *sent > 100),
        "{:?}",
        simulation.sent
    );
    assert!(
        simulation.sent[..7].iter().all(|sent| *sent > 0),
        "{:?}",
        simulation.sent
    );
}
