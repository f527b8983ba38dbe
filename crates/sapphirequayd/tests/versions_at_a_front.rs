//! Selection of an upstream for a stream that goes on at its software version.

#[path = "common/front_view.rs"]
mod front_view;

use {
    front_view::{POOL, SERVICE, announcement, directory, select, turn},
    quay_types::{
        Announcement, Incarnation, RequestRate, ServiceId, SoftwareVersion, Time, UpstreamId,
        UpstreamKind,
    },
    sapphirequayd::{Pool, SelectedUpstream, Upstreams},
    std::time::Duration,
};

const NOW: Time = Time::from_millis(10_000);

fn at_version(name: &str, incarnation: u64, version: &str) -> Announcement {
    Announcement {
        kind: UpstreamKind::VersionedService {
            service: ServiceId::of(SERVICE),
            version: SoftwareVersion::of(version),
        },
        ..announcement(name, incarnation)
    }
}

fn pool(version: &str) -> Pool<'static> {
    Pool {
        version: Some(SoftwareVersion::of(version)),
        ..POOL
    }
}

/// A front with one upstream of version 1 and three of version 2. All conversations
/// have run at version 2.
fn front_with_conversations() -> Upstreams {
    let mut front = Upstreams::new("a");
    let all = [
        at_version("old", 1, "v1"),
        at_version("new-1", 1, "v2"),
        at_version("new-2", 1, "v2"),
        at_version("new-3", 1, "v2"),
    ];
    let changes = directory(&all, &mut front, 1);
    front.apply_changes(NOW, changes);
    let used = select(&mut front, NOW, &[UpstreamId::of("old")]);
    assert_eq!(used.len(), 3);
    front
}

/// Selects an upstream of a version for each conversation.
fn select_at(front: &mut Upstreams, now: Time, version: &str) -> Vec<Option<SelectedUpstream>> {
    let pool = pool(version);
    let conversations = 0..100;
    let chosen = conversations.map(|conversation| {
        let chosen = front.select(now, &pool, &turn(conversation), &[], conversation);
        if let Some(upstream) = &chosen {
            front.record_end(now, upstream.id);
        }
        chosen
    });
    chosen.collect()
}

#[test]
fn neither_conversation_nor_prompt_leads_to_another_version() {
    let mut front = front_with_conversations();
    for chosen in select_at(&mut front, NOW, "v1") {
        assert_eq!(chosen.map(|it| it.id), Some(UpstreamId::of("old")));
    }
    assert!(!front.serves(NOW, &pool("v3")));
    assert_eq!(select_at(&mut front, NOW, "v3"), vec![None; 100]);
}

#[test]
fn suspended_and_limited_upstreams_of_the_version_are_not_replaced_by_others() {
    let mut front = front_with_conversations();
    let old = (UpstreamId::of("old"), Incarnation(1));
    front.suspend(NOW, old);
    for chosen in select_at(&mut front, NOW, "v1") {
        assert_eq!(chosen.map(|it| it.id), Some(old.0));
    }
    let selected = front.select(NOW, &pool("v1"), &turn(1), &[], 1);
    let selected = selected.expect("upstream");
    let limit = RequestRate::from_per_second(2.0);
    front.record_limit(NOW, &selected, NOW, limit);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(select_at(&mut front, later, "v1"), vec![None; 100]);
    // Permits are wanted for the upstream of the version, and the caller returns by
    // its limit.
    assert!(front.is_limited(later, &pool("v1")) && !front.is_limited(later, &pool("v2")));
    front.want_permit(later, &pool("v1"));
    let req = front.limits().next_request(later, 7).expect("a request");
    assert_eq!(req.demands[0].upstream, old);
    assert!(front.return_delay(later, &pool("v1")).is_some());
    assert_eq!(front.return_delay(later, &pool("v2")), None);
}

#[test]
fn an_upstream_that_was_replaced_under_its_name_or_has_ended_is_not_of_the_version() {
    let mut front = front_with_conversations();
    let sent = Time::from_millis(2_000_000_000_000);
    let began = front.select(NOW, &pool("v1"), &turn(1), &[], 1);
    let began = began.expect("upstream");
    let origin = front
        .stream_origin(NOW, &POOL, &began, sent)
        .expect("origin");
    assert_eq!(
        front.resumable_at(&POOL, &origin),
        Some(SoftwareVersion::of("v1"))
    );
    front.record_ended(NOW, began.run());
    assert_eq!(front.stream_origin(NOW, &POOL, &began, sent), None);
    assert_eq!(select_at(&mut front, NOW, "v1"), vec![None; 100]);
    // It is back under its name, at another version, and began a second before the
    // stream was sent.
    let changes = directory(&[at_version("old", 1_999_999_999_000, "v2")], &mut front, 2);
    front.apply_changes(NOW, changes);
    assert_eq!(front.resumable_at(&POOL, &origin), None);
}
