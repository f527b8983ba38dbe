//! Membership measurements: bytes and CPU time of heartbeats and directory reads
//! by number of upstreams.

use {
    crate::capacity::{Slope, ledger::as_f64, slope::min_time_us},
    quay_members::{
        Directory, DirectoryView, Heartbeat, MembersReply, MembersRequest, MembersSettings,
    },
    quay_types::{
        Announcement, Incarnation, Load, ModelId, Time, UpstreamId, UpstreamKind, UpstreamState,
    },
    std::time::Duration,
};

/// Numbers of upstreams in the directory.
const UPSTREAMS: [u32; 5] = [75, 150, 300, 450, 600];

/// Number of models that the upstreams serve.
const MODELS: u32 = 21;

/// Returns a directory that has received an announcement of every upstream at
/// `now`.
fn directory(upstreams: u32, now: Time) -> Directory {
    let mut directory = Directory::new(Time::ZERO, 1, MembersSettings::default());
    for number in 0..upstreams {
        let announcement = announcement(number);
        directory.handle(now, MembersRequest::Announce(Box::new(announcement)));
    }
    directory
}

fn announcement(number: u32) -> Announcement {
    Announcement {
        name: format!("engine-{number}").into(),
        incarnation: Incarnation(1),
        sequence: 1,
        addr: ([10, 0, 0, 1], 7_000).into(),
        data_centre: "it-north-1".into(),
        kind: UpstreamKind::Engine {
            models: [ModelId((number % MODELS).into())].into(),
        },
        state: UpstreamState::Serving,
        load: load(number),
    }
}

fn load(number: u32) -> Load {
    Load {
        queued: number % 50,
        running: number % 64,
        backlog: u64::from(number) * 977 % 100_000,
        kv_permille: u16::try_from(number * 13 % 1_000).unwrap_or_default(),
        token_gap_us: 20_000 + number * 7 % 16_000,
        age_ms: number % 500,
    }
}

/// Returns a heartbeat whose load differs from the previous one.
fn heartbeat(number: u32, sequence: u64) -> Heartbeat {
    Heartbeat {
        upstream: UpstreamId::of(&format!("engine-{number}")),
        incarnation: Incarnation(1),
        sequence,
        acked: sequence - 1,
        state: UpstreamState::Serving,
        load: load(number + u32::try_from(sequence).unwrap_or_default()),
    }
}

/// Sends a heartbeat from every upstream to the directory.
fn send_heartbeats(directory: &mut Directory, upstreams: u32, now: Time, sequence: u64) {
    for number in 0..upstreams {
        directory.handle(now, MembersRequest::Heartbeat(heartbeat(number, sequence)));
    }
}

/// Returns the encoded size in bytes of a directory read after the load of every
/// upstream has changed.
fn read_bytes(upstreams: u32) -> f64 {
    let mut directory = directory(upstreams, Time::ZERO);
    let mut view = DirectoryView::default();
    let mut now = Time::ZERO;
    // The first reads return announcements; the last one returns only the
    // changed loads.
    for sequence in 2..40 {
        now = now + Duration::from_secs(1);
        send_heartbeats(&mut directory, upstreams, now, sequence);
        let changes = directory.changes(now, &view.next_request(7));
        let reply = MembersReply::Changes(changes.clone());
        let encoded_bytes = postcard::to_stdvec(&reply).map_or(0, |bytes| bytes.len());
        view.apply(now, changes);
        if sequence == 39 {
            return as_f64(encoded_bytes);
        }
    }
    f64::NAN
}

/// Measures the slopes of membership.
pub fn slopes() -> Vec<Slope> {
    let read_size = Slope::measure(
        "members.read_bytes",
        "upstreams",
        "B",
        &UPSTREAMS,
        read_bytes,
    );
    let heartbeat_bytes = Slope::measure(
        "members.heartbeat_bytes",
        "upstreams",
        "B",
        &UPSTREAMS,
        |upstreams| {
            let req = MembersRequest::Heartbeat(heartbeat(upstreams, 1_000));
            as_f64(postcard::to_stdvec(&req).map_or(0, |bytes| bytes.len()))
        },
    );
    let heartbeat_cpu = Slope::measure(
        "members.heartbeats_cpu",
        "upstreams",
        "us",
        &UPSTREAMS,
        |upstreams| {
            let mut directory = directory(upstreams, Time::ZERO);
            let mut sequence = 1;
            min_time_us(1, || {
                sequence += 1;
                send_heartbeats(
                    &mut directory,
                    upstreams,
                    Time::from_millis(sequence * 100),
                    sequence,
                );
            })
        },
    );
    let read_cpu = Slope::measure(
        "members.read_cpu",
        "upstreams",
        "us",
        &UPSTREAMS,
        |upstreams| {
            let mut directory = directory(upstreams, Time::ZERO);
            send_heartbeats(&mut directory, upstreams, Time::from_millis(100), 2);
            min_time_us(100, || {
                for reader in 0..100 {
                    let changes = directory.changes(
                        Time::from_millis(200),
                        &DirectoryView::default().next_request(reader),
                    );
                    std::hint::black_box(changes);
                }
            })
        },
    );
    vec![read_size, heartbeat_bytes, heartbeat_cpu, read_cpu]
}
