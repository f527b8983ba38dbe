//! Selection of an upstream for a stream that goes on at its software version.

#[path = "common/front_view.rs"]
mod front_view;

use {
    front_view::{POOL, SERVICE, announcement, directory, select, turn},
    quay_policy::{LimitAllocator, RecordedOrigin, ResumeRefusal},
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
    let req = front
        .limits()
        .next_request(later, 7, true)
        .expect("a request");
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
    let origin = front.stream_origin(NOW, &POOL, &began, sent);
    assert!(origin.is_version_known());
    let recorded = RecordedOrigin::Found(origin);
    assert_eq!(
        front.resume_facts(&POOL, true, recorded).decide(),
        Ok(SoftwareVersion::of("v1"))
    );
    front.record_ended(NOW, began.run());
    let later = front.stream_origin(NOW, &POOL, &began, sent);
    assert!(!later.is_version_known());
    let unknown = RecordedOrigin::Found(later);
    assert_eq!(
        front.resume_facts(&POOL, true, unknown).decide(),
        Err(ResumeRefusal::Uncertain)
    );
    assert_eq!(select_at(&mut front, NOW, "v1"), vec![None; 100]);
    // It is back under its name, at another version, and began a second before the
    // stream was sent.
    let changes = directory(&[at_version("old", 1_999_999_999_000, "v2")], &mut front, 2);
    front.apply_changes(NOW, changes);
    assert_eq!(
        front.resume_facts(&POOL, true, recorded).decide(),
        Err(ResumeRefusal::Uncertain)
    );
}

// ---------------------------------------------------------------------------
// Limited upstreams

/// Duration of one step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time for which a request waits for a permit.
const PERMIT_WAIT: Duration = Duration::from_millis(100);

/// Requests that were served and requests that were sent.
#[derive(Debug, Default, Clone, Copy)]
struct Share {
    served: u32,
    sent: u32,
}

/// One front with the requests that wait for permits there.
struct LimitedFront {
    upstreams: Upstreams,
    holder: u64,
    waiting: Vec<(Time, u64, bool)>,
}

impl LimitedFront {
    /// A front that knows two upstreams of version 1 and nine of version 2, all
    /// limited to five requests a second.
    fn new(holder: u64) -> Self {
        let mut upstreams = Upstreams::new("a");
        let old = (0..2).map(|number| at_version(&format!("old-{number}"), 1, "v1"));
        let new = (0..9).map(|number| at_version(&format!("new-{number}"), 1, "v2"));
        let all: Vec<Announcement> = old.chain(new).collect();
        let changes = directory(&all, &mut upstreams, 1);
        upstreams.apply_changes(NOW, changes);
        for upstream in &all {
            let others = all.iter().map(Announcement::upstream);
            let others: Vec<UpstreamId> = others.filter(|it| *it != upstream.upstream()).collect();
            let selected = upstreams.select(NOW, &POOL, &turn(1), &others, 1);
            let selected = selected.expect("upstream");
            upstreams.record_end(NOW, selected.id);
            let limit = RequestRate::from_per_second(5.0);
            upstreams.record_limit(NOW, &selected, NOW, limit);
        }
        Self {
            upstreams,
            holder,
            waiting: Vec::new(),
        }
    }

    /// Sends a request to an upstream, if one may take it.
    fn try_send(&mut self, now: Time, number: u64, resumed: bool) -> bool {
        let pool = if resumed { pool("v1") } else { POOL };
        let selected = self
            .upstreams
            .select(now, &pool, &turn(number), &[], number);
        if let Some(upstream) = &selected {
            self.upstreams.record_end(now, upstream.id);
        }
        selected.is_some()
    }

    /// Handles a new request. Returns whether it is served at once.
    fn arrive(&mut self, now: Time, number: u64, resumed: bool) -> bool {
        let served = self.try_send(now, number, resumed);
        if !served {
            let pool = if resumed { pool("v1") } else { POOL };
            self.upstreams.want_permit(now, &pool);
            self.waiting.push((now, number, resumed));
        }
        served
    }

    /// Asks for permits, and sends the requests that wait for them. Calls `served`
    /// for each that is.
    fn take_permits(
        &mut self,
        now: Time,
        allocator: &mut LimitAllocator,
        mut served: impl FnMut(bool),
    ) {
        for bound in [false, true] {
            let limits = self.upstreams.limits();
            if let Some(req) = limits.next_request(now, self.holder, bound) {
                let grant = allocator.grant(now, &req);
                limits.accept(now, now, &req, &grant);
            }
        }
        for (arrived, number, resumed) in std::mem::take(&mut self.waiting) {
            if self.try_send(now, number, resumed) {
                served(resumed);
            } else if now.since(arrived) < PERMIT_WAIT {
                self.waiting.push((arrived, number, resumed));
            }
        }
    }
}

#[test]
fn streams_that_go_on_are_not_behind_new_ones_at_limited_upstreams() {
    let mut allocator = LimitAllocator::default();
    let mut fronts: Vec<LimitedFront> = (0..3).map(LimitedFront::new).collect();
    // Streams that begin, and streams that go on.
    let mut shares = [Share::default(); 2];
    let mut number = 0;
    for step in 1..2_000_u32 {
        let now = NOW + STEP * step;
        for (index, front) in (0..).zip(&mut fronts) {
            // 50 requests a second that begin streams at each front, and 3 that go on.
            for resumed in [false, true] {
                let interval = if resumed { 33 } else { 2 };
                if (step + index * 7).is_multiple_of(interval) {
                    number += 1;
                    let share = &mut shares[usize::from(resumed)];
                    share.sent += 1;
                    share.served += u32::from(front.arrive(now, number, resumed));
                }
            }
            if (step + index).is_multiple_of(2) {
                let served = |resumed| shares[usize::from(resumed)].served += 1;
                front.take_permits(now, &mut allocator, served);
            }
        }
    }
    let [new, resumed] = shares;
    // The share of those that go on is at least that of those that begin.
    assert!(
        resumed.served * new.sent >= new.served * resumed.sent,
        "of streams that begin {new:?}, that go on {resumed:?}"
    );
}
