//! A front's view of some upstreams, for tests without a network.

use {
    quay_members::{Changes, Directory, MembersSettings},
    quay_routes::{CallHead, PromptPart, TurnHead},
    quay_types::{
        Announcement, Incarnation, Load, ServiceId, Time, UpstreamId, UpstreamKind, UpstreamState,
    },
    sapphirequayd::{Pool, SelectedUpstream, Upstreams},
};

/// Service of all upstreams.
pub const SERVICE: &str = "llm";

/// All upstreams.
pub const POOL: Pool<'_> = Pool {
    sticky: true,
    ..Pool::of(SERVICE)
};

pub fn announcement(name: &str, incarnation: u64) -> Announcement {
    Announcement {
        name: name.into(),
        incarnation: Incarnation(incarnation),
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

/// Changes of a complete directory that lists exactly `upstreams`.
pub fn directory(upstreams: &[Announcement], reader: &mut Upstreams, run: u64) -> Changes {
    let mut directory = Directory::new(Time::ZERO, run, MembersSettings::default());
    for upstream in upstreams {
        directory.announce(Time::ZERO, upstream.clone());
    }
    let changes = directory.changes(Time::ZERO, &reader.next_request(1));
    Changes {
        complete: true,
        ..changes
    }
}

/// A turn of a conversation.
pub fn turn(conversation: u64) -> CallHead {
    CallHead {
        id: format!("call-{conversation}").into(),
        program: Some(format!("program-{conversation}").into()),
        turn: Some(TurnHead {
            prior: Some("prior".into()),
            ..TurnHead::default()
        }),
        prompt: vec![PromptPart {
            id: conversation,
            tokens: 12_800,
        }],
        ..CallHead::default()
    }
}

/// Sends a turn of each of many conversations, one after the other. Returns the
/// upstreams that got one.
pub fn select(front: &mut Upstreams, now: Time, tried: &[UpstreamId]) -> Vec<SelectedUpstream> {
    let mut chosen: Vec<SelectedUpstream> = Vec::new();
    for conversation in 0..100 {
        let head = turn(conversation);
        if let Some(upstream) = front.select(now, &POOL, &head, tried, conversation) {
            front.record_end(now, upstream.id);
            if !chosen.contains(&upstream) {
                chosen.push(upstream);
            }
        }
    }
    chosen
}
