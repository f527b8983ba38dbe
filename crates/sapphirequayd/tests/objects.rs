//! Calls that concern the same object, through several fronts.

use {
    quay_members::{Directory, MembersSettings},
    quay_routes::{CallHead, UpstreamLoad},
    quay_types::{
        Announcement, Incarnation, Load, ServiceId, Time, UpstreamId, UpstreamKind, UpstreamState,
    },
    sapphirequayd::{Pool, Upstreams},
    std::collections::BTreeSet,
};

const SERVICE: &str = "app";
const SLOTS: u32 = 6;
const OBJECTS: u64 = 24;

fn announcement(name: &str) -> Announcement {
    Announcement {
        name: name.into(),
        incarnation: Incarnation(1),
        sequence: 1,
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        kind: UpstreamKind::Service {
            service: ServiceId::of(SERVICE),
        },
        state: UpstreamState::Serving,
        load: Load::default(),
    }
}

fn load(running: u32, queued: u32) -> UpstreamLoad {
    UpstreamLoad {
        running,
        queued,
        slots: SLOTS,
        slowdown: None,
    }
}

/// Fronts that know the same three upstreams.
fn fronts() -> Vec<Upstreams> {
    let mut directory = Directory::new(Time::ZERO, 1, MembersSettings::default());
    for name in ["one", "two", "three"] {
        directory.announce(Time::ZERO, announcement(name));
    }
    let fronts = (0..4).map(|reader| {
        let mut front = Upstreams::new("a");
        let changes = directory.changes(Time::ZERO, &front.next_request(reader));
        front.apply_changes(Time::ZERO, changes);
        front
    });
    fronts.collect()
}

/// Sends calls of an object through all fronts, one after the other, with other
/// calls of its program before it. Returns the upstreams that got one.
fn upstreams_of(
    fronts: &mut [Upstreams],
    now: Time,
    object: u64,
    sticky: bool,
) -> BTreeSet<UpstreamId> {
    let mut chosen = BTreeSet::new();
    for (call, front) in (0..).zip(fronts) {
        let head = CallHead {
            id: format!("call-{object}-{call}").into(),
            program: Some(format!("program-{call}").into()),
            object: Some(format!("{object}").into()),
            ..CallHead::default()
        };
        let pool = Pool {
            sticky,
            ..Pool::of(SERVICE)
        };
        let upstream = front.select(now, &pool, &head, &[], object * 7 + call);
        let upstream = upstream.expect("upstream").id;
        front.record_end(now, upstream);
        // The response reports an idle upstream.
        front.apply_load_report(now, upstream, load(0, 0));
        chosen.insert(upstream);
    }
    chosen
}

#[test]
fn all_fronts_send_an_object_to_the_same_upstream() {
    let mut fronts = fronts();
    let now = Time::from_millis(1_000);
    let mut used = BTreeSet::new();
    for object in 0..OBJECTS {
        let chosen = upstreams_of(&mut fronts, now, object, true);
        assert_eq!(chosen.len(), 1, "object {object}");
        used.extend(chosen);
    }
    assert_eq!(used.len(), 3, "objects are spread over the upstreams");
}

#[test]
fn a_busy_upstream_is_left_for_another() {
    let mut fronts = fronts();
    let now = Time::from_millis(1_000);
    for object in 0..OBJECTS {
        let chosen = upstreams_of(&mut fronts, now, object, true);
        let home = *chosen.first().expect("upstream");
        for front in &mut fronts {
            front.apply_load_report(now, home, load(SLOTS, 12));
        }
        let chosen = upstreams_of(&mut fronts, now, object, true);
        assert!(!chosen.contains(&home), "object {object}");
        for front in &mut fronts {
            front.apply_load_report(now, home, load(0, 0));
        }
    }
}

#[test]
fn objects_do_not_matter_on_other_routes() {
    let mut fronts = fronts();
    let now = Time::from_millis(1_000);
    let spread = (0..OBJECTS)
        .filter(|object| upstreams_of(&mut fronts, now, *object, false).len() > 1)
        .count();
    assert!(spread > 12, "{spread} objects at several upstreams");
}
