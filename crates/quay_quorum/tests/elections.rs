//! Elections of replicas whose disks are slow or full.

use {
    quay_quorum::{
        Action, Input, Member, Membership, Message, Persist, PersistId, PersistedState, Replica,
        Settings, SnapshotMeta,
    },
    quay_types::{NodeId, Time},
    std::time::Duration,
};

const NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

/// Interval in which the time advances.
const TICK: Duration = Duration::from_millis(5);

/// Time that a message takes, the same for all.
const DELAY: Duration = Duration::from_millis(5);

/// Time within which a leader is elected once a quorum can elect one.
const MAX_ELECTION_TIME: Duration = Duration::from_secs(10);

/// A replica and its disk.
struct Host {
    replica: Replica,
    /// Time that a write takes; `None` while the disk is full.
    write: Option<Duration>,
    /// What the disk holds.
    state: PersistedState,
    /// Latest write that has not begun. One sync covers all that wait for it.
    waiting: Option<PersistId>,
    /// Write in progress, with the time at which it began.
    writing: Option<(Time, PersistId)>,
    /// Content of the writes that have not ended.
    unsaved: Vec<Persist>,
}

impl Host {
    /// Starts a process on a disk that holds `state`.
    fn start(
        node: NodeId,
        state: PersistedState,
        write: Option<Duration>,
        seed: u64,
        now: Time,
    ) -> Self {
        let seed = seed * 31 + node.0;
        let mut replica = Replica::restart(node, state.clone(), Settings::default(), seed, now);
        Self {
            waiting: Some(replica.hold_recovered()),
            replica,
            write,
            state,
            writing: None,
            unsaved: Vec::new(),
        }
    }

    /// Puts the content of the writes up to `id` on the disk. Entries are only appended:
    /// no test goes beyond its second leader.
    fn save(&mut self, id: PersistId) {
        for persist in self.unsaved.extract_if(.., |persist| persist.id <= id) {
            self.state.hard_state = persist.hard_state.unwrap_or(self.state.hard_state);
            self.state.entries.extend(persist.entries);
        }
    }
}

/// Three hosts that send messages to each other.
struct Group {
    now: Time,
    /// `None` while the process does not run.
    hosts: [Option<Host>; 3],
    in_transit: Vec<(Time, NodeId, NodeId, Message)>,
}

/// What the disk of a new host holds.
fn new_disk() -> PersistedState {
    let addr = "127.0.0.1:1".parse().expect("address");
    let members = NODES.map(|node| Member::new(node, addr, "dc-1"));
    PersistedState {
        meta: SnapshotMeta {
            members: Membership::from_voters(members),
            ..SnapshotMeta::default()
        },
        ..PersistedState::default()
    }
}

impl Group {
    /// Starts the first `count` hosts, on new disks that take `write` for each write.
    fn start(seed: u64, count: usize, write: Duration) -> Self {
        let start = |slot: usize| {
            let host = || Host::start(NODES[slot], new_disk(), Some(write), seed, Time::ZERO);
            (slot < count).then(host)
        };
        Self {
            now: Time::ZERO,
            hosts: [0, 1, 2].map(start),
            in_transit: Vec::new(),
        }
    }

    /// Kills a host and starts it again on a disk that is full.
    fn restart_on_full_disk(&mut self, node: NodeId, seed: u64) {
        let host = self.hosts[slot(node)].take().expect("a host that runs");
        self.hosts[slot(node)] = Some(Host::start(node, host.state, None, seed, self.now));
    }

    /// Passes an input to a host, if it runs.
    fn input(&mut self, node: NodeId, input: Input) {
        let now = self.now;
        let Some(host) = &mut self.hosts[slot(node)] else {
            return;
        };
        let mut actions = host.replica.step(now, input);
        actions.extend(host.replica.flush(now));
        for action in actions {
            match action {
                Action::Persist(persist) => {
                    host.waiting = Some(persist.id);
                    host.unsaved.push(persist);
                }
                Action::Send { to, message } => {
                    self.in_transit.push((now + DELAY, node, to, message));
                }
                _ => {}
            }
        }
    }

    /// Ends the write of a host if it is due, and begins the next one.
    fn sync(&mut self, node: NodeId) {
        let now = self.now;
        let Some(host) = &mut self.hosts[slot(node)] else {
            return;
        };
        let ends =
            |(began, _): &mut (Time, _)| host.write.is_some_and(|it| now.since(*began) >= it);
        let ended = host.writing.take_if(ends);
        if host.writing.is_none() {
            host.writing = host.waiting.take().map(|id| (now, id));
        }
        if let Some((_, id)) = ended {
            host.save(id);
            self.input(node, Input::Persisted(id));
        }
    }

    /// Advances the time by a tick.
    fn advance(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(due, ..)| *due <= now)
            .collect();
        for (_, from, to, message) in due {
            self.input(to, Input::Message { from, message });
        }
        for node in NODES {
            self.sync(node);
            self.input(node, Input::Tick);
        }
    }

    /// Waits until a host leads, but not longer than `time`.
    fn wait_for_leader(&mut self, time: Duration) -> Option<NodeId> {
        let end = self.now + time;
        while self.now < end && self.leader().is_none() {
            self.advance();
        }
        self.leader()
    }

    fn leader(&self) -> Option<NodeId> {
        let leads = |host: &Option<Host>| host.as_ref().is_some_and(|it| it.replica.is_leader());
        NODES
            .into_iter()
            .find(|node| leads(&self.hosts[slot(*node)]))
    }
}

fn slot(node: NodeId) -> usize {
    NODES.iter().position(|it| *it == node).expect("a node")
}

/// Guards against a host that campaigns again and again while its disk is full, which
/// makes the others give up their own campaigns.
#[test]
fn a_host_with_a_full_disk_does_not_prevent_the_election_of_another() {
    for seed in 0..100 {
        let mut group = Group::start(seed, 3, Duration::from_millis(1));
        let full = group.wait_for_leader(MAX_ELECTION_TIME).expect("a leader");
        (0..100).for_each(|_| group.advance());
        group.restart_on_full_disk(full, seed);
        let leader = group.wait_for_leader(MAX_ELECTION_TIME);
        assert!(leader.is_some(), "seed {seed}");
    }
}

/// Guards against candidates that give up each term before their votes are durable.
#[test]
fn a_leader_is_elected_while_each_write_takes_longer_than_the_election_timeout() {
    for millis in [200, 400, 700, 1_000, 1_500, 2_500] {
        let write = Duration::from_millis(millis);
        for (seed, count) in (0..100).flat_map(|seed| [(seed, 2), (seed, 3)]) {
            let mut group = Group::start(seed, count, write);
            let leader = group.wait_for_leader(MAX_ELECTION_TIME + 4 * write);
            assert!(leader.is_some(), "seed {seed}, {count} hosts, {write:?}");
        }
    }
}
