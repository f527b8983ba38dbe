//! Directory, readers' copies of it, and heartbeats.

use {
    indexmap::IndexSet,
    proptest::prelude::*,
    quay_members::{
        Changes, ChangesRequest, Directory, DirectoryView, FailureReport, Heartbeat, HostContact,
        MembersReply, MembersRequest, MembersSettings, Suspicion,
    },
    quay_types::{
        Announcement, Incarnation, Load, ModelId, Time, UpstreamId, UpstreamKind, UpstreamState,
    },
    std::net::SocketAddr,
};

/// Maximum control traffic of one daemon, in bytes per second.
const CONTROL_BYTES_PER_SECOND: usize = 21_000;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn directory() -> Directory {
    Directory::new(at(0), 1, MembersSettings::default())
}

fn announcement(n: u32, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        name: format!("agent-llm-{n:03}").into(),
        incarnation: Incarnation(incarnation),
        sequence,
        addr: SocketAddr::from(([10, 0, 0, 1], 7000)),
        data_centre: "it-north-2".into(),
        kind: UpstreamKind::Engine {
            models: Box::new([ModelId::of("agent-llm"), ModelId::of("agent-small")]),
        },
        state: UpstreamState::Serving,
        load: Load {
            queued: n % 7,
            running: 20 + n % 13,
            backlog: 9_000 + u64::from(n) * 300,
            kv_permille: 800,
            token_gap_us: 30_000,
            age_ms: 90,
        },
    }
}

fn heartbeat(n: u32, sequence: u64, acked: u64) -> Heartbeat {
    let announcement = announcement(n, 1, sequence);
    Heartbeat {
        upstream: announcement.upstream(),
        incarnation: Incarnation(1),
        sequence,
        acked,
        state: UpstreamState::Serving,
        load: announcement.load,
    }
}

fn suspicion(directory: &Directory, millis: u64) -> Option<Suspicion> {
    directory.members(at(millis))[0].suspicion
}

/// Reads until no changes remain; returns the number of reads.
fn read(directory: &mut Directory, view: &mut DirectoryView, now: Time) -> usize {
    let mut reads = 0;
    loop {
        let changes = directory.changes(now, &view.next_request(1));
        assert!(view.apply(now, changes));
        reads += 1;
        if !view.has_more() {
            return reads;
        }
    }
}

#[test]
fn more_than_one_missed_heartbeat_is_suspect_and_an_expired_lease_removes_the_entry() {
    let mut directory = directory();
    directory.announce(at(0), announcement(1, 1, 1));
    directory.tick(at(1_400));
    assert_eq!(suspicion(&directory, 1_400), None);
    directory.tick(at(1_800));
    assert_eq!(suspicion(&directory, 1_800), Some(Suspicion::Silent));
    assert_eq!(
        directory.members(at(1_800))[0].state,
        UpstreamState::Failing
    );
    directory.heartbeat(at(1_900), &heartbeat(1, 2, 1));
    assert_eq!(suspicion(&directory, 1_900), None);
    directory.tick(at(6_899));
    assert_eq!(directory.len(), 1);
    directory.tick(at(6_900));
    assert_eq!(directory.len(), 0);
}

#[test]
fn a_link_that_loses_all_replies_raises_suspicion() {
    let mut directory = directory();
    directory.announce(at(0), announcement(1, 1, 1));
    for n in 2..=4 {
        assert_eq!(suspicion(&directory, 0), None);
        directory.heartbeat(at(n * 500), &heartbeat(1, n, 0));
    }
    assert_eq!(suspicion(&directory, 2_000), Some(Suspicion::OneWay));
    directory.heartbeat(at(2_500), &heartbeat(1, 5, 4));
    assert_eq!(suspicion(&directory, 2_500), None);
}

#[test]
fn an_upstream_that_only_sends_heartbeats_is_failing() {
    let mut directory = directory();
    directory.announce(at(0), announcement(1, 1, 1));
    let report = |reader, incarnation| ChangesRequest {
        reader,
        run: 1,
        announced: 0,
        version: 0,
        failure_reports: Box::new([FailureReport {
            upstream: UpstreamId::of("agent-llm-001"),
            incarnation: Incarnation(incarnation),
        }]),
    };
    // Reports of a single reader are not enough, since the fault may be the
    // reader's.
    directory.changes(at(100), &report(1, 1));
    directory.changes(at(200), &report(1, 1));
    directory.changes(at(300), &report(2, 9));
    assert_eq!(suspicion(&directory, 300), None);
    let changes = directory.changes(at(400), &report(2, 1));
    assert_eq!(changes.full[0].load.state, UpstreamState::Failing);
    for n in 2..25 {
        directory.heartbeat(at(n * 500), &heartbeat(1, n, n - 1));
    }
    assert_eq!(suspicion(&directory, 12_000), None);
}

#[test]
fn outdated_messages_do_not_restore_an_upstream() {
    let mut directory = directory();
    directory.announce(at(0), announcement(1, 2, 7));
    let late = directory.announce(at(1), announcement(1, 1, 99));
    assert_eq!(late, MembersReply::Superseded);
    assert_eq!(
        directory.announce(at(2), announcement(1, 2, 6)),
        MembersReply::Acknowledged(7)
    );
    directory.tick(at(5_000));
    assert!(directory.is_empty());
    directory.announce(at(5_001), announcement(1, 2, 7));
    directory.announce(at(5_002), announcement(1, 1, 8));
    assert!(directory.is_empty());
    directory.announce(at(5_003), announcement(1, 3, 1));
    assert_eq!(directory.len(), 1);
}

#[test]
fn a_drain_mark_survives_a_sidecar_restart() {
    let mut directory = directory();
    directory.set_drained(at(0), [UpstreamId::of("agent-llm-001")].into());
    for incarnation in 1..3 {
        directory.announce(at(incarnation), announcement(1, incarnation, 1));
        assert_eq!(directory.members(at(1))[0].state, UpstreamState::Draining);
    }
    directory.set_drained(at(3), IndexSet::new());
    assert_eq!(directory.members(at(3))[0].state, UpstreamState::Serving);
}

#[test]
fn a_restarted_host_does_not_remove_upstreams_from_views() {
    let mut view = DirectoryView::default();
    let mut old = directory();
    for n in 0..10 {
        old.announce(at(0), announcement(n, 1, 1));
    }
    read(&mut old, &mut view, at(2_000));
    assert!(view.complete());
    let mut new = Directory::new(at(3_000), 2, MembersSettings::default());
    new.announce(at(3_100), announcement(3, 1, 5));
    read(&mut new, &mut view, at(3_200));
    assert_eq!(view.entries(at(3_200)).len(), 10);
    // Upstreams that have not announced themselves within a few heartbeats are
    // removed.
    new.heartbeat(at(5_000), &heartbeat(3, 6, 5));
    read(&mut new, &mut view, at(5_000));
    assert_eq!(view.entries(at(5_000)).len(), 1);
}

#[test]
fn a_restarted_host_receives_the_full_announcement_again() {
    let mut contact = HostContact::default();
    let mut host = directory();
    for sequence in 1..4 {
        let reply = host.handle(
            at(sequence),
            contact.next_request(&announcement(1, 1, sequence)),
        );
        contact.on_reply(Some(&reply));
    }
    assert!(matches!(
        contact.next_request(&announcement(1, 1, 4)),
        MembersRequest::Heartbeat(_)
    ));
    let mut host = directory();
    for sequence in 4..6 {
        let reply = host.handle(
            at(sequence),
            contact.next_request(&announcement(1, 1, sequence)),
        );
        contact.on_reply(Some(&reply));
    }
    assert_eq!(host.len(), 1);
}

#[test]
fn six_hundred_upstreams_fit_into_a_readers_bandwidth_share() {
    let mut directory = directory();
    let mut view = DirectoryView::default();
    for n in 0..600 {
        directory.announce(at(0), announcement(n, 1, 1));
    }
    // All upstreams announce themselves at once, as after a rack restarts; the
    // size of each reply is limited.
    let settings = MembersSettings::default();
    loop {
        let changes = directory.changes(at(10), &view.next_request(1));
        let bytes = postcard::to_stdvec(&changes).expect("bytes").len();
        // At most four such replies are read per second.
        assert!(bytes * 4 < CONTROL_BYTES_PER_SECOND, "{bytes} bytes");
        assert!(changes.full.len() <= settings.max_full_entries);
        view.apply(at(10), changes);
        if !view.has_more() {
            break;
        }
    }
    assert_eq!(view.entries(at(10)).len(), 600);
    for n in 0..600 {
        let mut heartbeat = heartbeat(n, 2, 1);
        heartbeat.load.backlog += 5_000;
        heartbeat.load.running += 1;
        directory.heartbeat(at(1_000), &heartbeat);
    }
    let changes = directory.changes(at(1_000), &view.next_request(1));
    assert_eq!(changes.loads.len(), 600);
    let bytes = postcard::to_stdvec(&changes).expect("bytes").len();
    assert!(
        bytes * 2 < CONTROL_BYTES_PER_SECOND,
        "{bytes} bytes for all loads"
    );
    // An unchanged load is not sent again.
    for n in 0..600 {
        let mut heartbeat = heartbeat(n, 3, 2);
        heartbeat.load.backlog += 5_000;
        heartbeat.load.running += 1;
        directory.heartbeat(at(2_000), &heartbeat);
    }
    assert!(view.apply(at(1_000), changes));
    let changes = directory.changes(at(2_000), &view.next_request(1));
    assert!(changes.loads.is_empty() && changes.full.is_empty());
}

/// An event in the life of a directory.
#[derive(Debug, Clone)]
enum Event {
    Announce(u32, u64, u64),
    Heartbeat(u32, u64, u64),
    Wait(u64),
    Read(bool),
    Drain(u32),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0u32..8, 1u64..4, 1u64..20).prop_map(|(n, run, seq)| Event::Announce(n, run, seq)),
        (0u32..8, 1u64..20, 0u64..20).prop_map(|(n, seq, acked)| Event::Heartbeat(n, seq, acked)),
        (1u64..3_000).prop_map(Event::Wait),
        any::<bool>().prop_map(Event::Read),
        (0u32..8).prop_map(Event::Drain),
    ]
}

proptest! {
    /// After any sequence of events, a reader that reads all changes holds
    /// exactly the host's entries, and the incarnation of a sidecar never
    /// decreases.
    #[test]
    fn readers_end_up_with_the_hosts_entries(events in prop::collection::vec(event(), 1..60)) {
        let settings = MembersSettings { max_full_entries: 3, max_entries: 4, ..MembersSettings::default() };
        let mut directory = Directory::new(at(0), 1, settings);
        let mut view = DirectoryView::default();
        let mut now = 10_000;
        for event in events {
            let before = directory.members(at(now));
            match event {
                Event::Announce(n, run, seq) => drop(directory.announce(at(now), announcement(n, run, seq))),
                Event::Heartbeat(n, seq, acked) => drop(directory.heartbeat(at(now), &heartbeat(n, seq, acked))),
                Event::Wait(millis) => {
                    now += millis;
                    directory.tick(at(now));
                }
                // A reply may be incomplete or lost.
                Event::Read(arrives) => {
                    let changes = directory.changes(at(now), &view.next_request(1));
                    if arrives {
                        prop_assert!(view.apply(at(now), changes));
                    }
                }
                Event::Drain(n) => directory.set_drained(at(now), [announcement(n, 1, 1).upstream()].into()),
            }
            for old in before {
                let after = directory.members(at(now));
                let entry = after.iter().find(|entry| entry.announcement.name == old.announcement.name);
                prop_assert!(entry.is_none_or(|entry| entry.announcement.incarnation >= old.announcement.incarnation));
            }
        }
        read(&mut directory, &mut view, at(now));
        let mut held: Vec<_> = view.entries(at(now)).iter().map(|entry| {
            let announcement = &entry.announcement;
            (announcement.name.clone(), announcement.incarnation, announcement.state, announcement.load.queued)
        }).collect();
        let mut kept: Vec<_> = directory.members(at(now)).iter().map(|entry| {
            let announcement = &entry.announcement;
            (announcement.name.clone(), announcement.incarnation, entry.state, announcement.load.queued)
        }).collect();
        held.sort_by(|a, b| a.0.cmp(&b.0));
        kept.sort_by(|a, b| a.0.cmp(&b.0));
        prop_assert_eq!(held, kept);
    }

    #[test]
    fn malformed_bytes_do_not_panic(bytes: Vec<u8>) {
        if let Ok(req) = postcard::from_bytes::<MembersRequest>(&bytes) {
            directory().handle(at(1), req);
        }
        if let Ok(changes) = postcard::from_bytes::<Changes>(&bytes) {
            DirectoryView::default().apply(at(1), changes);
        }
        if let Ok(reply) = postcard::from_bytes::<MembersReply>(&bytes) {
            HostContact::default().on_reply(Some(&reply));
        }
    }
}

/// Guards against a reader that forgets all upstreams when the host that it reads changes
/// before the first directory was complete.
#[test]
fn entries_outlast_several_directories_that_are_not_complete() {
    let mut view = DirectoryView::default();
    let mut read = |run: u64, listed: &[Announcement]| {
        let mut directory = Directory::new(at(0), run, MembersSettings::default());
        for announcement in listed {
            directory.announce(at(0), announcement.clone());
        }
        let changes = directory.changes(at(0), &view.next_request(1));
        assert!(!changes.complete && view.apply(at(0), changes));
        let entries = view.entries(at(0)).into_iter();
        let mut states: Vec<_> = entries
            .map(|entry| (entry.announcement.name.clone(), entry.announcement.state))
            .collect();
        states.sort_unstable_by(|one, other| one.0.cmp(&other.0));
        states
    };
    let (one, two) = (announcement(1, 1, 1), announcement(2, 1, 1));
    let serving = |it: &Announcement| (it.name.clone(), UpstreamState::Serving);
    let both = [serving(&one), serving(&two)];
    assert_eq!(read(1, &[one.clone(), two.clone()]), both);
    let draining = Announcement {
        state: UpstreamState::Draining,
        ..one.clone()
    };
    let changed = [(one.name.clone(), UpstreamState::Draining), serving(&two)];
    assert_eq!(read(2, &[draining]), changed);
    assert_eq!(read(3, &[]), changed);
    assert_eq!(read(4, std::slice::from_ref(&one)), both);
}
