//! Tests of routing and of the cache index.

use {
    proptest::prelude::*,
    quay_policy::{
        ExpectedTime, FeedState, PrefixIndex, RouteRequest, RouteSettings, Router, Slot,
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
        *counts.entry(choice.expect("choice").upstream).or_insert(0) += 1;
    }
    assert!(counts.len() >= 8, "{counts:?}");
    assert!(counts.values().all(|count| *count < 30), "{counts:?}");
}

#[test]
fn what_was_sent_since_the_report_counts() {
    let mut router = router(10);
    let mut counts = indexmap::IndexMap::new();
    for call in 0..100 {
        let choice = router.pick(Time::ZERO, &request(call, &[]), call);
        *counts.entry(choice.expect("choice").upstream).or_insert(0) += 1;
    }
    assert!(
        counts.values().all(|count| (5..=15).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_prefix_draws_the_next_call_unless_its_holder_is_crowded() {
    let mut router = router(10);
    let blocks: Vec<u64> = (1..200).collect();
    let first = router
        .pick(Time::ZERO, &request(1, &blocks), 3)
        .expect("choice");
    // The first call has ended: its prefill no longer stands before the next one.
    for number in 0..10 {
        router.apply_announcement(
            Time::from_millis(5),
            &announcement(number, 2, Load::default()),
        );
    }
    let again = router
        .pick(Time::from_millis(5), &request(1, &blocks), 8)
        .expect("choice");
    assert_eq!(first.upstream, again.upstream);
    assert!(again.cached_blocks > 180, "{}", again.cached_blocks);
    let crowded = Load {
        queued: 100,
        running: 30,
        kv_permille: 990,
        ..Load::default()
    };
    for number in 0..10 {
        if upstream(number) == first.upstream {
            router.apply_announcement(Time::from_millis(10), &announcement(number, 3, crowded));
        }
    }
    let other = router.pick(Time::from_millis(10), &request(1, &blocks), 0);
    assert_ne!(other.expect("choice").upstream, first.upstream);
}

#[test]
fn entries_agree_on_the_home_of_a_program() {
    let blocks: Vec<u64> = (1..100).collect();
    let under_way = RouteRequest {
        has_history: true,
        conversations: &[],
        ..request(9, &blocks)
    };
    let choices: Vec<_> = (0..5)
        .map(|entry| {
            router(10)
                .pick(Time::ZERO, &under_way, entry)
                .expect("choice")
        })
        .collect();
    assert!(
        choices
            .iter()
            .all(|choice| choice.upstream == choices[0].upstream)
    );
}

#[test]
fn silence_is_no_sign_of_idleness() {
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
            .expect("choice");
        assert_eq!(choice.upstream, upstream(0));
    }
    let tried = [upstream(0)];
    let rest = RouteRequest {
        tried: &tried,
        ..request(9, &[])
    };
    assert_eq!(
        router.pick(later, &rest, 0).expect("last resort").upstream,
        upstream(1)
    );
}

#[test]
fn an_old_or_leaving_upstream_gets_nothing() {
    let mut router = router(1);
    let leaving = Announcement {
        state: UpstreamState::Draining,
        ..announcement(0, 3, Load::default())
    };
    router.apply_announcement(Time::ZERO, &leaving);
    router.apply_announcement(Time::ZERO, &announcement(0, 2, Load::default()));
    assert_eq!(router.pick(Time::ZERO, &request(1, &[]), 0), None);
}

#[test]
fn a_gap_in_the_events_is_seen_and_closed_by_a_snapshot() {
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
        "older than the snapshot"
    );
    let mut depths = Vec::new();
    index.lookup(&[11, 12, 13, 14], &mut depths, 4);
    assert_eq!(depths, [0, 0, 0, 3]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The index stays within its bound, and never claims more than was sent.
    #[test]
    fn the_book_is_bounded_and_claims_only_what_was_sent(
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
                let slot = u16::try_from(slot).expect("small");
                let most = sent.get(&(slot, prompt)).copied().unwrap_or(0);
                prop_assert!(*depth as usize <= most);
            }
        }
    }
}

// ---------------------------------------------------------------------------
// Lines of calls

/// Blocks of a prompt that grows.
const LONG: [u64; 300] = {
    let mut blocks = [0; 300];
    let mut at = 0;
    while at < 300 {
        blocks[at] = at as u64 + 1;
        at += 1;
    }
    blocks
};

/// A router of ten upstreams as a gateway's front has it: engines that prefill
/// 368 tokens in a ms and make one in 0.76 ms.
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

/// A router that has sent a call of line 5 to an upstream, which has one more
/// to do than the others since.
fn router_with_a_line() -> (Router<ExpectedTime>, UpstreamId) {
    let mut router = gateway_router();
    let first = RouteRequest {
        conversations: &[5],
        ..request(1, &LONG[..250])
    };
    let ran = router.pick(Time::ZERO, &first, 3).expect("choice").upstream;
    for number in 0..10 {
        let running = u32::from(upstream(number) == ran);
        let load = Load {
            running,
            ..Load::default()
        };
        router.apply_announcement(Time::from_millis(5), &announcement(number, 2, load));
    }
    (router, ran)
}

#[test]
fn a_line_of_calls_stays_with_the_upstream_that_ran_the_last_one() {
    // Its next call, and one that branches off, wherever the home may be.
    for conversations in [&[5][..], &[6, 5]] {
        for root in 0..20 {
            let (mut router, ran) = router_with_a_line();
            let next = RouteRequest {
                conversations,
                has_history: true,
                ..request(root, &LONG[..300])
            };
            let choice = router.pick(Time::from_millis(6), &next, root);
            assert_eq!(choice.expect("choice").upstream, ran);
        }
    }
}

#[test]
fn an_upstream_that_started_again_holds_no_line() {
    let (mut router, ran) = router_with_a_line();
    let number = (0..10).find(|number| upstream(*number) == ran);
    let load = Load {
        running: 3,
        ..Load::default()
    };
    let again = Announcement {
        incarnation: Incarnation(2),
        ..announcement(number.expect("known"), 1, load)
    };
    router.apply_announcement(Time::from_millis(6), &again);
    let next = RouteRequest {
        conversations: &[5],
        ..request(1, &LONG[..300])
    };
    let choice = router.pick(Time::from_millis(6), &next, 0);
    assert_ne!(choice.expect("choice").upstream, ran);
}

/// The load of a burst: ten upstreams, 120 conversations that go on for nine
/// calls each, all of them under way at a time. What was said is read once, but
/// for one call in ten.
#[test]
fn conversations_are_not_read_again_and_again_in_a_burst() {
    const SHARED: u64 = 200;
    const GROWS: u64 = 20;
    let mut router = gateway_router();
    let mut last: Vec<Option<UpstreamId>> = vec![None; 120];
    let (mut moved, mut calls, mut now) = (0, 0, Time::ZERO);
    // Each conversation has a call every 480 ms, which takes 400.
    for step in 0..9 * 120_u64 {
        now = now + Duration::from_millis(4);
        let line = step % 120;
        let turn = step / 120 + 1;
        let shared = 0..SHARED;
        let own = (0..turn * GROWS).map(|block| line << 32 | 1 << 20 | block);
        let blocks: Vec<u64> = shared.chain(own).collect();
        let req = RouteRequest {
            conversations: &[line + 1],
            has_history: turn > 1,
            ..request(line, &blocks)
        };
        let choice = router
            .pick(now, &req, step * 7_919)
            .expect("choice")
            .upstream;
        let place = usize::try_from(line).expect("small");
        calls += u32::from(last[place].is_some());
        moved += u32::from(last[place].is_some_and(|it| it != choice));
        last[place] = Some(choice);
        // Of the 120, 100 run at a time; all upstreams tell their load.
        if step >= 100 {
            let ended = usize::try_from((step - 100) % 120).expect("small");
            if let Some(id) = last[ended] {
                router.record_end(now, id);
            }
        }
    }
    assert!(moved * 10 <= calls, "{moved} of {calls} calls moved");
}

// ---------------------------------------------------------------------------
// Upstreams that are slow or fail

/// A caller that sends calls to ten upstreams one every few milliseconds, and
/// what each of them does.
struct Played {
    router: Router<ExpectedTime>,
    now: Time,
    /// Calls under way: when they end, where, how long they took.
    under_way: Vec<(Time, u64, Duration)>,
    sent: [u32; 10],
}

/// Interval of the calls.
const CALL_EVERY: Duration = Duration::from_millis(10);

/// Time of a call at a sound upstream that does nothing else.
const SOUND: Duration = Duration::from_millis(200);

impl Played {
    fn new() -> Self {
        Self {
            router: router(10),
            now: Time::from_millis(10_000),
            under_way: Vec::new(),
            sent: [0; 10],
        }
    }

    /// Plays for a while: calls to an upstream take `times` as long as at a
    /// sound one, and of those to a failing one each second is lost.
    fn play(&mut self, span: Duration, times: impl Fn(u64) -> u32, fails: impl Fn(u64) -> bool) {
        self.sent = [0; 10];
        let ends = self.now + span;
        let mut call = 0;
        while self.now < ends {
            self.now = self.now + CALL_EVERY;
            self.end_calls(&fails);
            call += 1;
            if call % 10 == 0 {
                self.report();
            }
            let choice = self
                .router
                .pick(self.now, &request(call, &[]), call * 7_919);
            let choice = choice.expect("choice").upstream;
            let number = (0..10).find(|number| upstream(*number) == choice);
            let number = number.expect("known");
            self.sent[usize::try_from(number).expect("small")] += 1;
            let took = SOUND * times(number) * (20 + self.beside(number)) / 20;
            self.under_way.push((self.now + took, number, took));
        }
    }

    fn beside(&self, number: u64) -> u32 {
        let beside = self.under_way.iter().filter(|it| it.1 == number).count();
        u32::try_from(beside).expect("small")
    }

    /// Every upstream tells its load.
    fn report(&mut self) {
        for number in 0..10 {
            let load = Load {
                running: self.beside(number),
                ..Load::default()
            };
            self.router
                .apply_announcement(self.now, &announcement(number, 1, load));
        }
    }

    fn end_calls(&mut self, fails: &impl Fn(u64) -> bool) {
        let now = self.now;
        let ended: Vec<_> = self
            .under_way
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

    /// Calls that went to the first two upstreams.
    fn to_first_two(&self) -> u32 {
        self.sent[0] + self.sent[1]
    }
}

/// Retrials of two upstreams in a span, one at a time each.
fn retrials(span: Duration) -> u32 {
    let every = RouteSettings::default().probe_interval;
    2 * u32::try_from(span.as_millis() / every.as_millis() + 1).expect("small")
}

/// The load of a day on which a fifth of a service's upstreams turn slow: calls
/// must not wait there while others are free, and must come back afterwards.
#[test]
fn slow_upstreams_get_only_retrials_until_they_have_recovered() {
    let span = Duration::from_secs(30);
    let mut played = Played::new();
    played.play(Duration::from_secs(5), |_| 1, |_| false);
    let slow = |number| if number < 2 { 4 } else { 1 };
    // What is under way while it is found out.
    played.play(Duration::from_secs(3), slow, |_| false);
    played.play(span, slow, |_| false);
    assert!(played.to_first_two() <= retrials(span), "{:?}", played.sent);
    // Each retrial but one or two more finds them sound again.
    played.play(Duration::from_secs(15), |_| 1, |_| false);
    played.play(span, |_| 1, |_| false);
    let share = played.sent.iter().sum::<u32>() / 10;
    assert!(played.to_first_two() >= share, "{:?}", played.sent);
}

/// As above where calls are lost instead.
#[test]
fn failing_upstreams_get_only_retrials_until_they_have_recovered() {
    let span = Duration::from_secs(30);
    let mut played = Played::new();
    played.play(Duration::from_secs(5), |_| 1, |_| false);
    played.play(Duration::from_secs(3), |_| 1, |number| number < 2);
    played.play(span, |_| 1, |number| number < 2);
    // A retrial that succeeds by luck is followed by a few more calls.
    assert!(
        played.to_first_two() <= 8 * retrials(span),
        "{:?}",
        played.sent
    );
    played.play(Duration::from_secs(15), |_| 1, |_| false);
    played.play(span, |_| 1, |_| false);
    let share = played.sent.iter().sum::<u32>() / 10;
    assert!(played.to_first_two() >= share, "{:?}", played.sent);
}

#[test]
fn a_pool_that_is_slow_or_fails_as_a_whole_is_used_all_the_same() {
    let mut played = Played::new();
    played.play(Duration::from_secs(10), |_| 4, |_| true);
    assert!(
        played.sent.iter().all(|sent| *sent > 20),
        "{:?}",
        played.sent
    );
    // Most of it: the others are still told apart, and nobody is left out.
    let mut played = Played::new();
    played.play(Duration::from_secs(5), |_| 1, |_| false);
    played.play(Duration::from_secs(10), |_| 1, |number| number < 7);
    assert!(
        played.sent[7..].iter().all(|sent| *sent > 100),
        "{:?}",
        played.sent
    );
    assert!(
        played.sent[..7].iter().all(|sent| *sent > 0),
        "{:?}",
        played.sent
    );
}
