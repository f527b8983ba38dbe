//! Tests of routing and of the cache book.

use {
    proptest::prelude::*,
    quay_policy::{CacheBook, ExpectedTime, FeedState, RouteRequest, RouteSettings, Router, Slot},
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
        router.announced(Time::ZERO, &announcement(number, 1, Load::default()));
    }
    router
}

fn request(root: u64, blocks: &[u64]) -> RouteRequest<'_> {
    RouteRequest {
        target: CallTarget::Model(MODEL),
        program: ProgramId::root(root),
        under_way: false,
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
        router.announced(
            Time::from_millis(5),
            &announcement(number, 2, Load::default()),
        );
    }
    let again = router
        .pick(Time::from_millis(5), &request(1, &blocks), 8)
        .expect("choice");
    assert_eq!(first.upstream, again.upstream);
    assert!(again.held > 180, "{}", again.held);
    let crowded = Load {
        queued: 100,
        running: 30,
        kv_permille: 990,
        ..Load::default()
    };
    for number in 0..10 {
        if upstream(number) == first.upstream {
            router.announced(Time::from_millis(10), &announcement(number, 3, crowded));
        }
    }
    let other = router.pick(Time::from_millis(10), &request(1, &blocks), 0);
    assert_ne!(other.expect("choice").upstream, first.upstream);
}

#[test]
fn entries_agree_on_the_home_of_a_program() {
    let blocks: Vec<u64> = (1..100).collect();
    let under_way = RouteRequest {
        under_way: true,
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
    router.announced(later, &announcement(0, 2, busy));
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
    router.announced(Time::ZERO, &leaving);
    router.announced(Time::ZERO, &announcement(0, 2, Load::default()));
    assert_eq!(router.pick(Time::ZERO, &request(1, &[]), 0), None);
}

#[test]
fn a_gap_in_the_events_is_seen_and_closed_by_a_snapshot() {
    let mut book = CacheBook::new(100);
    let slot = Slot(3);
    assert_eq!(book.stored(slot, 1, 11), FeedState::Whole(1));
    assert_eq!(book.stored(slot, 2, 12), FeedState::Whole(2));
    assert_eq!(book.stored(slot, 4, 14), FeedState::Gap(4));
    assert_eq!(book.evicted(slot, 5, 11), FeedState::Gap(5));
    book.resync(slot, 9, &[11, 12, 13]);
    assert_eq!(book.feed_state(slot), FeedState::Whole(9));
    assert_eq!(
        book.evicted(slot, 8, 11),
        FeedState::Whole(9),
        "older than the snapshot"
    );
    let mut depths = Vec::new();
    book.lookup(&[11, 12, 13, 14], &mut depths, 4);
    assert_eq!(depths, [0, 0, 0, 3]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The book stays within its bound, and never claims more than was sent.
    #[test]
    fn the_book_is_bounded_and_claims_only_what_was_sent(
        max in 1_usize..400,
        sends in prop::collection::vec((0_u16..20, 0_u64..6, 1_usize..300), 1..40),
    ) {
        let mut book = CacheBook::new(max);
        let blocks = |prompt: u64, len: usize| -> Vec<u64> {
            (0..len as u64).map(|depth| prompt << 32 | depth).collect()
        };
        let mut sent = indexmap::IndexMap::new();
        let mut depths = Vec::new();
        for (slot, prompt, len) in sends {
            book.sent(Slot(slot), &blocks(prompt, len));
            let most = sent.entry((slot, prompt)).or_insert(0);
            *most = len.max(*most);
            prop_assert!(book.len() <= max);
            book.lookup(&blocks(prompt, 300), &mut depths, 20);
            for (slot, depth) in depths.iter().enumerate() {
                let slot = u16::try_from(slot).expect("small");
                let most = sent.get(&(slot, prompt)).copied().unwrap_or(0);
                prop_assert!(*depth as usize <= most);
            }
        }
    }
}
