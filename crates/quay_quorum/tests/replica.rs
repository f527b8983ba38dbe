//! Unit tests of single decisions of a replica.

use {
    quay_quorum::{
        Action, AppendOutcome, Entry, Input, Member, Membership, MembershipChange, Message,
        Payload, PersistedState, PlacementAdvice, Position, Refusal, Replica, Settings,
        SnapshotMeta, placement_advice,
    },
    quay_types::{Epoch, LogIndex, NodeId, Time},
    std::time::Duration,
};

fn member(node: u64, data_centre: &str) -> Member {
    let addr = "127.0.0.1:1".parse().expect("address");
    Member::new(NodeId(node), addr, data_centre)
}

fn three_voters() -> Membership {
    Membership::from_voters([member(1, "a"), member(2, "b"), member(3, "c")])
}

/// Passes an input to a replica and completes every requested write at once.
fn step(replica: &mut Replica, now: Time, input: Input) -> Vec<Action> {
    let mut actions = replica.step(now, input);
    actions.extend(replica.flush(now));
    let tickets: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Persist(persist) => Some(persist.id),
            _ => None,
        })
        .collect();
    for persist_id in tickets {
        actions.extend(step(replica, now, Input::Persisted(persist_id)));
    }
    actions
}

fn message(from: u64, message: Message) -> Input {
    Input::Message {
        from: NodeId(from),
        message,
    }
}

/// Creates replica 1 of three and makes it the leader of term 1.
fn leader() -> (Replica, Time) {
    let mut replica = Replica::bootstrap(
        NodeId(1),
        three_voters(),
        Settings::default(),
        1,
        Time::ZERO,
    );
    let now = replica.deadline();
    step(&mut replica, now, Input::Tick);
    let (term, granted) = (Epoch(1), true);
    step(
        &mut replica,
        now,
        message(2, Message::PreVoteReply { term, granted }),
    );
    step(
        &mut replica,
        now,
        message(2, Message::VoteReply { term, granted }),
    );
    assert!(replica.is_leader());
    (replica, now)
}

fn refusals(actions: &[Action]) -> Vec<Refusal> {
    let refused = |action: &Action| match action {
        Action::Refused { refusal, .. } => Some(*refusal),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

#[test]
fn a_partitioned_leader_refuses_requests_and_then_steps_down() {
    let (mut replica, now) = leader();
    let cfg = Settings::default();
    let command = || Input::Propose {
        tag: 1,
        command: [1].into(),
    };
    assert!(refusals(&step(&mut replica, now, command())).is_empty());
    let later = now + cfg.quorum_timeout;
    assert_eq!(
        refusals(&step(&mut replica, later, command())),
        [Refusal::NoQuorum]
    );
    let read = Input::Read { tag: 2 };
    assert_eq!(
        refusals(&step(&mut replica, later, read)),
        [Refusal::NoQuorum]
    );
    let actions = step(&mut replica, now + cfg.election, Input::Tick);
    assert!(actions.contains(&Action::SteppedDown), "{actions:?}");
}

/// Guards against a leader that keeps all entries in memory while its disk is full.
#[test]
fn a_leader_whose_disk_takes_nothing_hands_over() {
    let (mut replica, mut now) = leader();
    let cfg = Settings::default();
    let (tag, term) = (1, Epoch(1));
    let mut unwritten = Vec::new();
    while replica.is_leader() {
        let command = vec![7; 1 << 20].into();
        let mut actions = replica.step(now, Input::Propose { tag, command });
        actions.extend(replica.flush(now));
        unwritten.extend(actions.into_iter().filter_map(|action| match action {
            Action::Persist(persist) => Some(persist.id),
            _ => None,
        }));
        assert!(unwritten.len() as u64 <= 1 + (cfg.max_waiting_bytes >> 20));
        let outcome = AppendOutcome::Matched(replica.status().last.index);
        replica.step(now, message(2, Message::AppendReply { term, outcome }));
        now = now + cfg.heartbeat;
        replica.step(now, Input::Tick);
    }
    assert!(unwritten.len() > 2, "it leads on while little waits");
    let campaigns = |replica: &mut Replica| {
        let actions = replica.step(replica.deadline(), Input::Tick);
        let asks = |action: &Action| matches!(action, Action::Send { message, .. } if matches!(message, Message::PreVote { .. }));
        actions.iter().any(asks)
    };
    assert!(!campaigns(&mut replica));
    let last = unwritten.pop().expect("a write");
    replica.step(now, Input::Persisted(last));
    assert!(campaigns(&mut replica));
}

/// Guards against a leader that takes commands without end while no follower has room.
#[test]
fn commands_are_refused_while_too_many_wait_for_a_quorum() {
    let (mut replica, now) = leader();
    let propose = |replica: &mut Replica| {
        let command = vec![7; 1 << 20].into();
        refusals(&step(replica, now, Input::Propose { tag: 1, command }))
    };
    let taken = (0..100).take_while(|_| propose(&mut replica).is_empty());
    let taken = taken.count();
    assert!((2..100).contains(&taken), "{taken}");
    assert_eq!(propose(&mut replica), [Refusal::NoQuorum]);
    let (term, outcome) = (
        Epoch(1),
        AppendOutcome::Matched(replica.status().last.index),
    );
    let reply = Message::AppendReply { term, outcome };
    step(&mut replica, now, message(2, reply));
    assert!(propose(&mut replica).is_empty());
}

/// Guards against a follower that queues an answer to each repeated message while its
/// disk is full.
#[test]
fn a_repeated_message_is_answered_once_when_its_write_ends() {
    let settings = Settings::default();
    let mut replica = Replica::bootstrap(NodeId(2), three_voters(), settings, 1, Time::ZERO);
    let entry = Entry {
        position: Position {
            term: Epoch(1),
            index: LogIndex(1),
        },
        payload: Payload::Empty,
    };
    let append = Message::Append {
        term: Epoch(1),
        prev: Position::default(),
        entries: vec![entry],
        commit: LogIndex(0),
    };
    let mut written = None;
    for _ in 0..5 {
        replica.step(Time::ZERO, message(1, append.clone()));
        let actions = replica.flush(Time::ZERO);
        written = written.or(actions.iter().find_map(|action| match action {
            Action::Persist(persist) => Some(persist.id),
            _ => None,
        }));
    }
    let written = written.expect("a write");
    let answers = replica.step(Time::ZERO, Input::Persisted(written));
    assert_eq!(answers.len(), 1, "{answers:?}");
}

/// Guards against a replica that acknowledges what it has read after a restart although
/// its disk has not taken it again.
#[test]
fn recovered_entries_are_acknowledged_only_after_they_are_persisted() {
    let entry = Entry {
        position: Position {
            term: Epoch(1),
            index: LogIndex(1),
        },
        payload: Payload::Empty,
    };
    let meta = SnapshotMeta {
        members: three_voters(),
        ..SnapshotMeta::default()
    };
    let state = PersistedState {
        meta,
        entries: vec![entry.clone()],
        ..PersistedState::default()
    };
    let mut replica = Replica::restart(NodeId(2), state, Settings::default(), 1, Time::ZERO);
    let recovered = replica.hold_recovered();
    let append = Message::Append {
        term: Epoch(0),
        prev: Position::default(),
        entries: vec![entry],
        commit: LogIndex(0),
    };
    let mut actions = replica.step(Time::ZERO, message(1, append));
    actions.extend(replica.flush(Time::ZERO));
    assert_eq!(actions, []);
    let answers = replica.step(Time::ZERO, Input::Persisted(recovered));
    assert_eq!(answers.len(), 1, "{answers:?}");
}

#[test]
fn a_vote_is_sent_only_after_it_is_persisted() {
    let mut replica = Replica::bootstrap(
        NodeId(2),
        three_voters(),
        Settings::default(),
        1,
        Time::ZERO,
    );
    let vote = Message::Vote {
        term: Epoch(1),
        last: Position::default(),
    };
    let mut actions = replica.step(Time::ZERO, message(1, vote));
    actions.extend(replica.flush(Time::ZERO));
    let [Action::Persist(persist)] = &actions[..] else {
        panic!("{actions:?}");
    };
    let answer = replica.step(Time::ZERO, Input::Persisted(persist.id));
    let (term, granted) = (Epoch(1), true);
    let expected = Action::Send {
        to: NodeId(1),
        message: Message::VoteReply { term, granted },
    };
    assert_eq!(answer, [expected]);
}

#[test]
fn a_replica_votes_for_one_candidate_per_term() {
    let mut replica = Replica::bootstrap(
        NodeId(2),
        three_voters(),
        Settings::default(),
        1,
        Time::ZERO,
    );
    let ask = |from| {
        let last = Position::default();
        message(
            from,
            Message::Vote {
                term: Epoch(1),
                last,
            },
        )
    };
    let granted = |actions: &[Action]| {
        actions.iter().any(|action| {
            matches!(
                action,
                Action::Send {
                    message: Message::VoteReply { granted: true, .. },
                    ..
                }
            )
        })
    };
    assert!(granted(&step(&mut replica, Time::ZERO, ask(1))));
    assert!(!granted(&step(&mut replica, Time::ZERO, ask(3))));
    assert!(
        granted(&step(&mut replica, Time::ZERO, ask(1))),
        "a repeated vote request gets the same answer"
    );
}

#[test]
fn a_follower_of_a_live_leader_ignores_candidates() {
    let mut replica = Replica::bootstrap(
        NodeId(2),
        three_voters(),
        Settings::default(),
        1,
        Time::ZERO,
    );
    let (term, commit, round) = (Epoch(1), LogIndex(0), 1);
    step(
        &mut replica,
        Time::ZERO,
        message(
            1,
            Message::Heartbeat {
                term,
                commit,
                round,
            },
        ),
    );
    let last = Position {
        term: Epoch(5),
        index: LogIndex(9),
    };
    let soon = Time::ZERO + Duration::from_millis(100);
    step(
        &mut replica,
        soon,
        message(
            3,
            Message::Vote {
                term: Epoch(6),
                last,
            },
        ),
    );
    assert_eq!(replica.term(), Epoch(1));
}

#[test]
fn membership_changes_one_at_a_time() {
    let (mut replica, now) = leader();
    let add = |node| Input::ChangeMembership {
        tag: 1,
        change: MembershipChange::AddLearner(member(node, "a")),
    };
    assert_eq!(
        refusals(&step(&mut replica, now, add(4))),
        [Refusal::NotReady]
    );
    let matched = |index| {
        let outcome = AppendOutcome::Matched(LogIndex(index));
        message(
            2,
            Message::AppendReply {
                term: Epoch(1),
                outcome,
            },
        )
    };
    step(&mut replica, now, matched(1));
    assert_eq!(refusals(&step(&mut replica, now, add(4))), []);
    assert_eq!(
        refusals(&step(&mut replica, now, add(5))),
        [Refusal::ChangeInProgress]
    );
    step(&mut replica, now, matched(2));
    let promote = Input::ChangeMembership {
        tag: 1,
        change: MembershipChange::Promote(NodeId(9)),
    };
    assert_eq!(
        refusals(&step(&mut replica, now, promote)),
        [Refusal::LearnerBehind]
    );
    assert_eq!(
        refusals(&step(&mut replica, now, add(4))),
        [Refusal::InvalidChange]
    );
}

#[test]
fn placement_advice_names_the_data_centre_whose_loss_loses_the_quorum() {
    assert_eq!(placement_advice(&three_voters()), []);
    assert_eq!(placement_advice(&Membership::default()), []);
    let two_in_one = Membership::from_voters([member(1, "a"), member(2, "a"), member(3, "b")]);
    let data_centre = "a".into();
    assert_eq!(
        placement_advice(&two_in_one),
        [PlacementAdvice::Concentrated {
            data_centre,
            voters: 2
        }]
    );
    let four = Membership::from_voters([1, 2, 3, 4].map(|node| member(node, &format!("{node}"))));
    assert_eq!(placement_advice(&four), [PlacementAdvice::EvenVoters(4)]);
}

/// A leader whose entries are compacted, with a follower that has answered everything
/// so far.
fn leader_with_compacted_log() -> (Replica, Time) {
    let (mut replica, now) = leader_with(Settings {
        keep_entries: 0,
        ..Settings::default()
    });
    step(&mut replica, now, Input::SnapshotSaved(LogIndex(1)));
    assert_eq!(replica.compacted_through().index, LogIndex(1));
    (replica, now)
}

/// A leader with these settings, whose first entry is committed.
fn leader_with(cfg: Settings) -> (Replica, Time) {
    let mut replica = Replica::bootstrap(NodeId(1), three_voters(), cfg, 1, Time::ZERO);
    let now = replica.deadline();
    step(&mut replica, now, Input::Tick);
    let (term, granted) = (Epoch(1), true);
    let pre_vote = Message::PreVoteReply { term, granted };
    step(&mut replica, now, message(2, pre_vote));
    step(
        &mut replica,
        now,
        message(2, Message::VoteReply { term, granted }),
    );
    let outcome = AppendOutcome::Matched(LogIndex(1));
    let matched = Message::AppendReply { term, outcome };
    step(&mut replica, now, message(2, matched));
    (replica, now)
}

/// The latest heartbeat round that was sent to a peer.
fn round_sent(actions: &[Action], peer: u64) -> Option<u64> {
    actions.iter().rev().find_map(|action| match action {
        Action::Send {
            to,
            message: Message::Heartbeat { round, .. },
        } if *to == NodeId(peer) => Some(*round),
        _ => None,
    })
}

fn sends_snapshot(actions: &[Action], peer: u64) -> bool {
    let sends = |it: &Action| matches!(it, Action::SendSnapshot { to, .. } if *to == NodeId(peer));
    actions.iter().any(sends)
}

/// Lets `span` pass, in which both followers answer all heartbeats at once. Returns
/// whether a snapshot was sent to follower 3.
fn run_heartbeats(replica: &mut Replica, now: &mut Time, span: Duration) -> bool {
    let (end, term) = (*now + span, Epoch(1));
    let mut sent = false;
    while *now < end {
        *now = *now + Duration::from_millis(20);
        let actions = step(replica, *now, Input::Tick);
        sent |= sends_snapshot(&actions, 3);
        for peer in [2, 3] {
            if let Some(round) = round_sent(&actions, peer) {
                let reply = Message::HeartbeatReply { term, round };
                let actions = step(replica, *now, message(peer, reply));
                sent |= sends_snapshot(&actions, 3);
            }
        }
    }
    sent
}

/// Guards against a follower that gets neither entries nor a snapshot for 10 s after one
/// was lost on a connection that its restart had broken (review, case 1).
#[test]
fn a_lost_snapshot_is_sent_again_once_later_messages_arrive() {
    let (mut replica, mut now) = leader_with_compacted_log();
    let outcome = AppendOutcome::Rejected {
        prev: LogIndex(1),
        hint: LogIndex(0),
    };
    let term = Epoch(1);
    let rejected = Message::AppendReply { term, outcome };
    let actions = step(&mut replica, now, message(3, rejected));
    assert!(sends_snapshot(&actions, 3), "{actions:?}");
    let cfg = Settings::default();
    let soon = cfg.snapshot_ack * 2;
    assert!(
        !run_heartbeats(&mut replica, &mut now, soon),
        "heartbeats that may be ahead of the snapshot show nothing"
    );
    step(&mut replica, now, Input::SnapshotQueued(NodeId(3)));
    assert!(
        run_heartbeats(&mut replica, &mut now, soon),
        "the snapshot is lost: later messages arrived and it was not acknowledged"
    );
    step(&mut replica, now, Input::SnapshotQueued(NodeId(3)));
    let outcome = AppendOutcome::Matched(LogIndex(1));
    let matched = Message::AppendReply { term, outcome };
    step(&mut replica, now, message(3, matched));
    assert!(
        !run_heartbeats(&mut replica, &mut now, soon),
        "an acknowledged snapshot is not sent again"
    );
}

/// Guards against entries that stay in memory whatever their size, although a snapshot
/// covers them (review, case 15).
#[test]
fn entries_that_a_snapshot_covers_are_kept_up_to_a_size() {
    const ENTRY_BYTES: usize = 1_000;
    let kept = |keep_bytes: u64| {
        let cfg = Settings {
            keep_bytes,
            ..Settings::default()
        };
        let (mut replica, now) = leader_with(cfg);
        let term = Epoch(1);
        for tag in 0..100 {
            let command = vec![0; ENTRY_BYTES].into();
            step(&mut replica, now, Input::Propose { tag, command });
        }
        let last = replica.status().last.index;
        let outcome = AppendOutcome::Matched(last);
        let matched = Message::AppendReply { term, outcome };
        step(&mut replica, now, message(2, matched));
        step(&mut replica, now, Input::SnapshotSaved(last));
        last.0 - replica.compacted_through().index.0
    };
    assert_eq!(kept(1 << 20), 101, "all entries fit, with that of the term");
    let few = kept(10 * ENTRY_BYTES as u64);
    assert!((9..=10).contains(&few), "{few} entries are kept");
    assert_eq!(kept(0), 0);
}
