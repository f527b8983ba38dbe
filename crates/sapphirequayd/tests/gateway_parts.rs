//! Tests of the gateway's decision logic, without a network.

use {
    bytes::Bytes,
    proptest::prelude::*,
    quay_link::Encoded,
    quay_members::{ChangesRequest, Departure, DepartureChanges, Directory, MembersSettings},
    quay_policy::{
        CallerConnection, MemoryClass, MemoryHolder, PermitRequest, StreamOrigin, SuspectCommand,
        SuspectEvent, VersionRegistry,
    },
    quay_quorum::{Member, Membership, MembershipChange, StateMachine as _},
    quay_turns::{Charge, ChargeStatus, Record, StoreMember, StoreView, TurnRecord},
    quay_types::{
        AttemptTag, ContentDigest, Epoch, GroupId, Incarnation, LogIndex, NodeId, ProgramTag,
        ServiceId, SoftwareVersion, Time, Tokens, TurnId, UpstreamId, UpstreamKind,
    },
    sapphirequayd::{
        BufferSpace, Clock, ControlCommand, ControlState, ControlUpdate, ConversationCache,
        EncodedOp, EventReader, FollowerState, FrontMemory, GatewayRequest, HostLimits, HostMemory,
        LinkRequest, MembershipInputs, PathProbe, SlowMembers, StartupWait, StoreOp, StorePath,
        StoreReply, StoreTarget, StreamEnd, StreamOrigins, TableDocument, UPSTREAM_DISCONNECTED,
        UpstreamOutcome, next_membership_change, upstream_outcome,
    },
    std::{sync::Arc, time::Duration},
};

// ---------------------------------------------------------------------------
// Events

const STREAM: &[u8] =
    b": note\nid: 1\ndata: one\n\nx-version: 2\nid: 2\ndata: two\ndata:  lines\r\n\r\nid: 3\n\n";

#[test]
fn the_data_of_each_event_is_stored_with_a_line_feed() {
    let mut reader = EventReader::new(true);
    reader.feed(STREAM);
    assert_eq!((reader.events(), reader.mid_event()), (2, false));
    assert_eq!(reader.into_data(), b"one\ntwo\n lines\n");
}

#[test]
fn a_stream_that_ends_within_an_event_is_detected() {
    for torn in [&b"id: 1\ndata: o"[..], b"id: 1\ndata: one\n", b"i"] {
        let mut reader = EventReader::new(true);
        reader.feed(torn);
        assert!(reader.mid_event(), "{torn:?}");
        assert_eq!(reader.events(), 0);
    }
}

proptest! {
    /// The events read do not depend on how the bytes are split into chunks.
    #[test]
    fn chunk_boundaries_do_not_matter(cuts in proptest::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut reader = EventReader::new(true);
        let mut from = 0;
        for cut in cuts.into_iter().chain([STREAM.len()]) {
            reader.feed(&STREAM[from..cut]);
            from = cut;
        }
        prop_assert_eq!(reader.events(), 2);
        prop_assert_eq!(reader.into_data(), b"one\ntwo\n lines\n");
    }
}

#[test]
fn an_upstream_is_rated_only_by_its_own_part_of_a_stream() {
    let whole = StreamEnd::Whole;
    assert_eq!(
        upstream_outcome(whole, 8, false),
        UpstreamOutcome::Succeeded
    );
    // Too few events to measure the speed. The time for which the turn waits for
    // the stores is not attributed to the upstream.
    assert_eq!(
        upstream_outcome(whole, 2, false),
        UpstreamOutcome::SucceededUntimed
    );
    assert_eq!(upstream_outcome(whole, 8, true), UpstreamOutcome::Failed);
    let broke_off = StreamEnd::Broken(UPSTREAM_DISCONNECTED);
    assert_eq!(
        upstream_outcome(broke_off, 8, false),
        UpstreamOutcome::Failed
    );
    for end in [StreamEnd::CallerGone, StreamEnd::Broken("time_over")] {
        assert_eq!(upstream_outcome(end, 8, false), UpstreamOutcome::Abandoned);
    }
    assert_eq!(
        upstream_outcome(StreamEnd::Flooded("events"), 8, false),
        UpstreamOutcome::Flooded
    );
}

// ---------------------------------------------------------------------------
// Memory for responses

#[test]
fn a_response_that_begins_while_there_is_no_room_returns_its_memory() {
    const BUDGET: u64 = 4_000_000;
    let limits = HostLimits {
        budget: Some(BUDGET),
        stated: true,
        connections: 10,
    };
    let memory = HostMemory::new(Clock::start(), limits);
    let all = || memory.reserve(MemoryClass::Responses, None, BUDGET, |_| 0);
    let space = BufferSpace::new(FrontMemory::new(memory.clone(), 0));
    let holder = MemoryHolder {
        connection: CallerConnection(1),
        account: None,
    };
    let room = all().expect("room");
    let frame = memory.hold_frame(Some(holder), Bytes::from_static(b"over"), &Arc::default());
    let mut share = space.share();
    drop((room, frame));
    assert!(share.resize(100_000));
    drop(share);
    assert!(all().is_ok(), "memory that nobody holds is still counted");
}

#[test]
fn responses_without_end_leave_memory_for_another_one() {
    const STEP: usize = 64 << 10;
    let space = BufferSpace::default();
    let mut endless: Vec<_> = (0..30).map(|_| (space.share(), 0)).collect();
    // Each grows until it gets no more.
    let mut growing = true;
    while growing {
        growing = false;
        for (share, held) in &mut endless {
            if share.resize(*held + STEP) {
                *held += STEP;
                growing = true;
            }
        }
    }
    let mut other = space.share();
    assert!(other.resize(100 << 10));
    assert!(other.resize(0));
    // A share that is dropped frees its memory.
    drop(endless);
    assert!(other.resize(8 << 20));
}

// ---------------------------------------------------------------------------
// Conversations

#[test]
fn conversations_are_bounded_and_dropped_when_unused() {
    let mut chains = ConversationCache::new(10);
    let at = Time::from_millis;
    let key = |turn| (GroupId(0), TurnId(turn));
    chains.put(at(0), key(1), Bytes::from_static(b"12345"));
    chains.put(at(0), key(2), Bytes::from_static(b"12345"));
    assert!(chains.get(at(1), key(1)).is_some());
    // The least recently used chain is evicted.
    chains.put(at(1), key(3), Bytes::from_static(b"123"));
    assert_eq!(chains.get(at(1), key(2)), None);
    chains.tick(at(2_000));
    assert!(chains.get(at(2_000), key(1)).is_some());
    chains.tick(at(4_500));
    assert_eq!(chains.get(at(4_500), key(3)), None);
    assert!(chains.get(at(4_500), key(1)).is_some());
    // Another group does not hold the chain.
    let elsewhere = (GroupId(1), TurnId(1));
    assert_eq!(chains.get(at(4_500), elsewhere), None);
}

// ---------------------------------------------------------------------------
// Stores

#[test]
fn whole_members_that_answer_in_time_are_asked_first() {
    let member = |identity, whole| StoreMember {
        identity,
        whole,
        ..StoreMember::default()
    };
    let mut view = StoreView {
        epoch: 1,
        members: (1..=5)
            .map(|identity| member(identity, identity != 1))
            .collect(),
    };
    let at = Time::from_millis;
    let mut slow = SlowMembers::default();
    let program = ProgramTag(0);
    assert_eq!(slow.order(at(0), &view, program), [1, 2, 3, 4, 0]);
    slow.record(at(0), 2);
    assert_eq!(slow.order(at(10), &view, program), [2, 3, 4, 1, 0]);
    // A member that is slow still comes before one that is not whole.
    for identity in 3..=5 {
        slow.record(at(10), identity);
    }
    assert_eq!(slow.order(at(20), &view, program), [1, 2, 3, 4, 0]);
    view.members[0].whole = true;
    assert_eq!(slow.order(at(20), &view, program), [0, 1, 2, 3, 4]);
    // It is tried again after a while.
    assert_eq!(slow.order(at(5_000), &view, program), [0, 1, 2, 3, 4]);
}

/// Guards against members that hold nearly all records of a group, so that the loss of
/// one leaves a single copy of nearly all of them.
#[test]
fn programs_of_a_group_are_spread_over_all_its_members() {
    let member = |identity| StoreMember {
        identity,
        whole: true,
        ..StoreMember::default()
    };
    let view = StoreView {
        epoch: 1,
        members: (1..=3).map(member).collect(),
    };
    let mut slow = SlowMembers::default();
    let mut quorums = std::collections::BTreeMap::<Vec<usize>, usize>::new();
    // All programs of one of three groups.
    let programs = (0..3_000).map(|number| ProgramTag::of(&format!("p{number}")));
    for program in programs.filter(|program| program.0 % 3 == 0) {
        let mut quorum = slow.order(Time::ZERO, &view, program);
        quorum.truncate(view.write_quorum());
        quorum.sort_unstable();
        *quorums.entry(quorum).or_default() += 1;
    }
    assert_eq!(quorums.len(), 3, "{quorums:?}");
    assert!(quorums.values().all(|count| *count > 250), "{quorums:?}");
}

// ---------------------------------------------------------------------------
// Control group

fn table(revision: u64, text: &[u8]) -> ControlCommand {
    ControlCommand::PutTable(TableDocument {
        revision,
        document: text.into(),
    })
}

#[test]
fn only_a_higher_revision_replaces_a_table() {
    let mut state = ControlState::default();
    let mut apply = |command| state.apply(LogIndex(1), Epoch(1), command);
    assert!(apply(table(7, b"seven")));
    assert!(!apply(table(5, b"five")));
    assert!(!apply(table(7, b"other")));
    assert!(apply(ControlCommand::Depart("u".into(), Incarnation(4))));
    assert!(!apply(ControlCommand::Depart("u".into(), Incarnation(3))));
    assert_eq!(state.version, 2);
    let held = state.table.map(|table| table.document);
    assert_eq!(held.as_deref(), Some(&b"seven"[..]));
}

fn lost_run(upstream: u64) -> ControlCommand {
    ControlCommand::Suspects(SuspectCommand::Observed {
        at: Time::ZERO,
        events: [SuspectEvent::RunsLost {
            upstream: UpstreamId(upstream),
            incarnation: Incarnation(1),
            runs: [ContentDigest::of(&[b"deadly"])].into(),
        }]
        .into(),
    })
}

#[test]
fn followers_get_a_new_list_of_suspects_only_if_it_differs() {
    let mut state = ControlState::default();
    let mut listed = Vec::new();
    for upstream in [1, 1, 2, 2, 3] {
        state.apply(LogIndex(1), Epoch(1), lost_run(upstream));
        listed.push(state.suspects.listed.version);
    }
    assert_eq!(listed, [0, 0, 1, 1, 2]);
    assert_eq!(state.version, 3);
    let digest = ContentDigest::of(&[b"deadly"]);
    let listed = &state.suspects.listed.suspects;
    assert!(listed.is_quarantined(Time::ZERO, digest));
}

#[test]
fn a_snapshot_of_a_version_without_suspects_is_read() {
    let mut state = ControlState::default();
    state.apply(LogIndex(1), Epoch(1), table(7, b"seven"));
    let earlier = (
        state.version,
        &state.table,
        &state.departures,
        &state.stores,
    );
    let snapshot = postcard::to_stdvec(&earlier).expect("bytes");
    let read = ControlState {
        // Streams may have begun at versions that are not recorded.
        versions: VersionRegistry::default(),
        ..state.clone()
    };
    assert_eq!(postcard::from_bytes(&snapshot), Ok(read));
    state.apply(LogIndex(2), Epoch(1), lost_run(1));
    let snapshot = postcard::to_stdvec(&state).expect("bytes");
    assert_eq!(postcard::from_bytes(&snapshot), Ok(state));
}

// ---------------------------------------------------------------------------
// Messages of earlier versions

/// The state of a follower, as versions before software versions encode it.
fn earlier_follower_state(state: &FollowerState) -> Vec<u8> {
    let fields = (
        state.revision,
        state.stores,
        &state.directory,
        state.link,
        state.suspects,
    );
    postcard::to_stdvec(&fields).expect("bytes")
}

#[test]
fn the_state_of_an_earlier_follower_is_read_and_the_present_one_by_earlier_leaders() {
    let state = FollowerState {
        revision: 7,
        stores: 3,
        directory: ChangesRequest {
            reader: 1,
            run: 2,
            announced: 3,
            version: 4,
            failure_reports: Box::default(),
        },
        link: ([127, 0, 0, 1], 9).into(),
        suspects: 5,
        reads_versions: true,
        versions: 6,
        departures: Some(7),
    };
    let earlier = FollowerState {
        reads_versions: false,
        versions: 0,
        departures: None,
        ..state.clone()
    };
    let bytes = earlier_follower_state(&state);
    assert_eq!(postcard::from_bytes(&bytes), Ok(earlier));
    let present = postcard::to_stdvec(&state).expect("bytes");
    assert!(present.starts_with(&bytes));
    assert_eq!(postcard::from_bytes(&present), Ok(state));
}

/// Guards against fronts that can't follow a leader of another version of this software
/// during an upgrade.
#[test]
fn the_update_of_an_earlier_leader_is_read_and_the_present_one_by_earlier_followers() {
    let ask = ChangesRequest {
        reader: 1,
        run: 0,
        announced: 0,
        version: 0,
        failure_reports: Box::default(),
    };
    let departed: Departure = (UpstreamId(3), Incarnation(4));
    let update = ControlUpdate {
        version: 7,
        table: None,
        stores: None,
        directory: Directory::new(Time::ZERO, 5, MembersSettings::default())
            .changes(Time::ZERO, &ask),
        controls: vec![([127, 0, 0, 1], 9).into()],
        followers: Vec::new(),
        suspects: None,
        versions: None,
        departures: DepartureChanges {
            known: 1,
            departures: vec![departed],
        },
    };
    let fields = (
        update.version,
        &update.table,
        &update.stores,
        &update.directory,
        &update.controls,
        &update.followers,
        &update.suspects,
        &update.versions,
    );
    let earlier = postcard::to_stdvec(&fields).expect("bytes");
    let present = postcard::to_stdvec(&update).expect("bytes");
    assert!(present.starts_with(&earlier));
    assert_eq!(postcard::from_bytes(&present), Ok(update.clone()));
    let read = ControlUpdate {
        departures: DepartureChanges::default(),
        ..update
    };
    assert_eq!(postcard::from_bytes(&earlier), Ok(read));
}

#[test]
fn a_request_for_permits_of_an_earlier_front_is_read() {
    let req = PermitRequest {
        holder: 7,
        demands: Box::default(),
        total: 3,
        bound: false,
    };
    let earlier = (req.holder, &req.demands, req.total);
    let bytes = postcard::to_stdvec(&earlier).expect("bytes");
    assert_eq!(postcard::from_bytes(&bytes), Ok(req));
}

#[test]
fn requests_and_replies_of_earlier_stores_keep_their_numbers() {
    let number = |op: &StoreOp| postcard::to_stdvec(op).expect("bytes")[0];
    assert_eq!(number(&StoreOp::FenceEpoch), 3);
    assert_eq!(number(&StoreOp::FindStream(AttemptTag(1))), 7);
    assert_eq!(number(&StoreOp::FindContent(ContentDigest::ZERO)), 8);
    let number = |reply: &StoreReply| postcard::to_stdvec(reply).expect("bytes")[0];
    assert_eq!(number(&StoreReply::Refused), 6);
    assert_eq!(number(&StoreReply::Stream(None)), 7);
    let service = ServiceId(1);
    let kind = postcard::to_stdvec(&UpstreamKind::Service { service });
    assert_eq!(kind.expect("bytes")[0], 1);
}

/// Guards against a turn that is encoded in pieces and read as something else.
#[test]
fn a_write_in_pieces_is_encoded_as_the_operation() {
    let charge = Charge {
        attempt: AttemptTag(9),
        standing: ChargeStatus::Settled,
        tokens: Tokens(300),
    };
    let turn = |input: &[u8], output: &[u8]| TurnRecord {
        id: TurnId(5),
        prior: Some(TurnId(4)),
        retention_s: 60,
        input: Bytes::copy_from_slice(input),
        output: Bytes::copy_from_slice(output),
    };
    let target = StoreTarget {
        identity: u64::MAX,
        group: GroupId(3),
        epoch: 7,
        joined: 6,
    };
    let addr = ([10, 0, 0, 1], 7_000).into();
    for (pieces, output) in [
        (vec![], vec![]),
        (vec![vec![1; 200], vec![], vec![2; 70_000]], vec![3; 500]),
    ] {
        let others = [Record::Charge(ProgramTag(8), charge)];
        let whole = Record::Turn(turn(&pieces.concat(), &output));
        let op = StoreOp::Write(vec![whole, others[0].clone()]);
        let pieces: Vec<Bytes> = pieces.into_iter().map(Bytes::from).collect();
        let encoded = EncodedOp::write_turn(&turn(b"", &output), &pieces, &others);
        let encoded = encoded.expect("encoded");
        assert_eq!(EncodedOp::of(&op).expect("encoded"), encoded);
        for (relayed_to, req) in [
            (None, GatewayRequest::Store(target.request(op.clone()))),
            (Some(addr), GatewayRequest::Relay(addr, target.request(op))),
        ] {
            let expected = Encoded::of(&LinkRequest::Gateway(req)).expect("encoded");
            let got = encoded.request(target, relayed_to).expect("encoded");
            assert!(got == expected, "relayed to {relayed_to:?}");
        }
    }
}

// ---------------------------------------------------------------------------
// Origins of streams

fn origin(upstream: u64) -> StreamOrigin {
    StreamOrigin {
        run: (UpstreamId(upstream), Incarnation(1)),
        service: ServiceId(1),
        version: SoftwareVersion::of("v1"),
        sent: Time::ZERO,
    }
}

#[test]
fn the_first_origin_of_a_stream_is_kept_for_its_time() {
    let mut origins = StreamOrigins::default();
    let (attempt, keep) = (AttemptTag(1), Duration::from_secs(12));
    let late = Time::ZERO + keep;
    assert_eq!(origins.get(Time::ZERO, attempt), None);
    origins.insert(Time::ZERO, attempt, origin(1), keep);
    assert_eq!(
        origins.insert(Time::ZERO, attempt, origin(2), keep),
        origin(1)
    );
    assert_eq!(origins.get(Time::ZERO, attempt), Some(origin(1)));
    assert_eq!(origins.get(late, attempt), None);
    origins.expire(late);
    assert!(origins.is_empty());
}

#[test]
fn a_content_has_an_origin_for_each_version_and_its_record_is_read_by_earlier_stores() {
    let mut origins = StreamOrigins::default();
    let (content, keep) = (ContentDigest::ZERO, Duration::from_secs(12));
    let newer = StreamOrigin {
        version: SoftwareVersion::of("v2"),
        ..origin(2)
    };
    assert_eq!(origins.of_content(Time::ZERO, content), []);
    for origin in [origin(1), newer, origin(3)] {
        origins.insert_content(Time::ZERO, content, origin, keep);
    }
    assert_eq!(origins.of_content(Time::ZERO, content), [newer, origin(3)]);
    assert_eq!(origins.of_content(Time::ZERO + keep, content), []);
    let op = StoreOp::RecordStream(AttemptTag(1), newer, 12, Some(content));
    let earlier = StoreOp::RecordStream(AttemptTag(1), newer, 12, None);
    let bytes = postcard::to_stdvec(&earlier).expect("bytes");
    let without_content = &bytes[..bytes.len() - 1];
    assert_eq!(postcard::from_bytes(without_content), Ok(earlier));
    let bytes = postcard::to_stdvec(&op).expect("bytes");
    assert!(bytes.starts_with(without_content));
}

/// Guards against a stream that is refused although its version became known.
#[test]
fn the_version_of_a_run_may_become_known_after_its_first_record() {
    let mut origins = StreamOrigins::default();
    let (content, keep) = (ContentDigest::ZERO, Duration::from_secs(12));
    let unknown = origin(1).with_unknown_version();
    for (attempt, records) in [(1, [unknown, origin(1)]), (2, [origin(1), unknown])] {
        let attempt = AttemptTag(attempt);
        for record in records {
            origins.insert(Time::ZERO, attempt, record, keep);
            origins.insert_content(Time::ZERO, content, record, keep);
        }
        assert_eq!(origins.get(Time::ZERO, attempt), Some(origin(1)));
        assert_eq!(origins.of_content(Time::ZERO, content), [origin(1)]);
    }
    origins.insert_content(Time::ZERO, content, origin(2).with_unknown_version(), keep);
    assert_eq!(origins.of_content(Time::ZERO, content).len(), 2);
}

#[test]
fn the_number_of_origins_is_bounded_and_the_oldest_are_dropped() {
    let mut origins = StreamOrigins::default();
    let keep = Duration::from_secs(12);
    for attempt in 0..70_000 {
        origins.insert(Time::ZERO, AttemptTag(attempt), origin(attempt), keep);
    }
    assert!(origins.len() <= 65_536);
    assert_eq!(origins.get(Time::ZERO, AttemptTag(0)), None);
    let last = AttemptTag(69_999);
    assert_eq!(origins.get(Time::ZERO, last), Some(origin(69_999)));
}

// ---------------------------------------------------------------------------
// Membership

fn member(node: u64, port: u16) -> Member {
    Member::new(NodeId(node), ([127, 0, 0, 1], port).into(), "dc")
}

fn three_voters() -> Membership {
    Membership::from_voters([member(1, 1), member(2, 2), member(3, 3)])
}

/// Applies membership changes until none is due. All learners catch up at once.
fn apply_changes(members: Membership, joining: &[Member], silent: &[NodeId]) -> Membership {
    let all: Vec<NodeId> = joining.iter().map(|it| it.node).collect();
    apply_changes_with(members, joining, silent, &all)
}

/// Applies membership changes until none is due; `caught_up` names the learners that have
/// caught up.
fn apply_changes_with(
    mut members: Membership,
    joining: &[Member],
    silent: &[NodeId],
    caught_up: &[NodeId],
) -> Membership {
    for _ in 0..9 {
        let view = MembershipInputs {
            members: &members,
            joining,
            caught_up,
            silent,
            voters: 3,
        };
        let Some(change) = next_membership_change(&view) else {
            return members;
        };
        members = members.with_change(&change).expect("applicable change");
    }
    panic!("membership changes do not end: {members:?}");
}

fn voters(members: &Membership) -> Vec<u64> {
    let mut nodes: Vec<u64> = members.voters.iter().map(|it| it.node.0).collect();
    nodes.sort_unstable();
    nodes
}

#[test]
fn a_replica_that_lost_its_disk_replaces_its_former_membership() {
    let members = apply_changes(three_voters(), &[member(9, 2)], &[]);
    assert_eq!(voters(&members), [1, 3, 9]);
    assert!(members.learners.is_empty());
}

#[test]
fn a_joining_replica_replaces_only_a_silent_voter() {
    assert_eq!(
        voters(&apply_changes(three_voters(), &[member(9, 9)], &[])),
        [1, 2, 3]
    );
    let members = apply_changes(three_voters(), &[member(9, 9)], &[NodeId(2)]);
    assert_eq!(voters(&members), [1, 3, 9]);
}

/// Guards against a voter that is removed while its successor holds nothing yet: with the
/// next lost disk the configuration is gone (review, case 1).
#[test]
fn a_voter_stays_until_its_successor_has_caught_up() {
    let returned = member(9, 2);
    let spare = member(8, 8);
    for (joining, silent) in [(&returned, vec![]), (&spare, vec![NodeId(2)])] {
        let joining = std::slice::from_ref(joining);
        let members = apply_changes_with(three_voters(), joining, &silent, &[]);
        assert_eq!(voters(&members), [1, 2, 3]);
        assert_eq!(members.learners, joining);
        let caught_up = [joining[0].node];
        let members = apply_changes_with(members, joining, &silent, &caught_up);
        assert_eq!(voters(&members).len(), 3);
        assert!(members.is_voter(joining[0].node) && !members.is_voter(NodeId(2)));
    }
}

/// Guards against two lost disks of which the second host waits until the first one has
/// caught up.
#[test]
fn two_replicas_that_lost_their_disks_catch_up_at_the_same_time() {
    let joining = [member(8, 2), member(9, 3)];
    let members = apply_changes_with(three_voters(), &joining, &[], &[]);
    assert_eq!(members.learners, joining);
    let members = apply_changes(members, &joining, &[]);
    assert_eq!(voters(&members), [1, 8, 9]);
}

#[test]
fn a_learner_that_no_longer_asks_to_join_is_removed() {
    let mut members = three_voters();
    members.learners.push(member(9, 9));
    let view = MembershipInputs {
        members: &members,
        joining: &[],
        caught_up: &[],
        silent: &[],
        voters: 3,
    };
    assert_eq!(
        next_membership_change(&view),
        Some(MembershipChange::Remove(NodeId(9)))
    );
}

// ---------------------------------------------------------------------------
// Start of a front

/// A clock that advances only when `now` is set.
fn manual_clock(now: &std::cell::Cell<u64>) -> impl Fn() -> Time + '_ {
    || Time::from_millis(now.get())
}

#[tokio::test]
async fn a_front_that_has_just_started_waits_for_its_first_updates() {
    let now = std::cell::Cell::new(0);
    let startup = StartupWait::new(Time::ZERO, Duration::from_mins(5));
    let table = std::cell::Cell::new(None);
    let lookups = std::cell::Cell::new(0);
    let lookup = || {
        lookups.set(lookups.get() + 1);
        table.get()
    };
    let waiting = startup.wait_for(Time::from_millis(90_000), manual_clock(&now), lookup);
    let updates = async {
        // The first update lacks the expected value, the second one has it.
        startup.notify();
        tokio::task::yield_now().await;
        table.set(Some(7));
        startup.notify();
    };
    let (found, ()) = tokio::join!(waiting, updates);
    assert_eq!(found, Some(7));
    assert!(lookups.get() >= 2);
}

#[tokio::test]
async fn a_request_does_not_wait_after_the_start_period_or_its_deadline() {
    let now = std::cell::Cell::new(6_000);
    let startup = StartupWait::new(Time::ZERO, Duration::from_secs(5));
    let lookup = || None::<u32>;
    let deadline = Time::from_millis(90_000);
    assert_eq!(
        startup.wait_for(deadline, manual_clock(&now), lookup).await,
        None
    );
    now.set(1_000);
    let deadline = Time::from_millis(1_000);
    assert_eq!(
        startup.wait_for(deadline, manual_clock(&now), lookup).await,
        None
    );
}

// ---------------------------------------------------------------------------
// Path to the stores

fn front(number: u8) -> std::net::SocketAddr {
    ([10, 0, 0, number], 7_400).into()
}

#[test]
fn a_front_without_store_replies_probes_relays_in_turn_and_returns_to_the_direct_path() {
    let at = Time::from_millis;
    let mut path = StorePath::default();
    path.set_peers(vec![front(1), front(2)]);
    // Without requests, or while stores answer, the path is direct.
    assert_eq!(path.next_probe(at(5_000)), None);
    path.record_request(at(5_000));
    path.record_reply();
    assert_eq!(path.next_probe(at(9_000)), None);
    // Without replies, relays are probed one at a time.
    path.record_request(at(10_000));
    path.record_request(at(10_300));
    assert_eq!(path.next_probe(at(10_300)), None);
    assert_eq!(
        path.next_probe(at(10_400)),
        Some(PathProbe::Relay(front(1)))
    );
    assert_eq!(path.next_probe(at(10_500)), None);
    assert_eq!(
        path.next_probe(at(10_600)),
        Some(PathProbe::Relay(front(2)))
    );
    assert_eq!(path.relay(), None);
    assert!(path.record_success(PathProbe::Relay(front(2))));
    assert_eq!(path.relay(), Some(front(2)));
    // While a relay is in use, the direct path is probed periodically.
    assert_eq!(path.next_probe(at(10_900)), None);
    assert_eq!(path.next_probe(at(11_100)), Some(PathProbe::Direct));
    assert!(path.record_success(PathProbe::Direct));
    assert_eq!(path.relay(), None);
    assert_eq!(path.next_probe(at(11_600)), None);
}

#[test]
fn a_relay_without_replies_is_replaced_by_the_next_front() {
    let at = Time::from_millis;
    let mut path = StorePath::default();
    path.record_request(at(0));
    assert_eq!(path.next_probe(at(1_000)), None, "no other front is known");
    path.set_peers(vec![front(1), front(2)]);
    assert_eq!(path.next_probe(at(1_100)), Some(PathProbe::Relay(front(1))));
    assert!(path.record_success(PathProbe::Relay(front(1))));
    path.record_request(at(2_000));
    assert_eq!(path.next_probe(at(2_400)), Some(PathProbe::Relay(front(2))));
    assert_eq!(path.relay(), None);
    // An empty list of peers does not replace the known ones.
    path.set_peers(Vec::new());
    assert_eq!(path.next_probe(at(2_600)), Some(PathProbe::Relay(front(1))));
}
