//! Simulation of a group of replicas with a simulated network and disks.

use {
    crate::{
        Action, Input, Member, Membership, MembershipChange, Message, Position, Refusal, Replica,
        Settings,
        check::{
            faults::Faults,
            host::Host,
            safety_checker::{AppliedState, SafetyChecker, Violation},
        },
    },
    indexmap::{IndexMap, IndexSet},
    quay_types::{Epoch, LogIndex, NodeId, Time},
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{net::SocketAddr, time::Duration},
};

/// Settings of a simulation. Probabilities are in thousandths, per message or
/// per step.
#[derive(Debug, Clone, Copy)]
pub struct SimulationSettings {
    /// Number of voters at the start.
    pub replicas: u64,
    /// Probability that a message is lost, in thousandths.
    pub loss: u64,
    /// Probability that a message is sent twice, in thousandths.
    pub duplicates: u64,
    /// Maximum delay of a message. Delays are random, so messages may be
    /// reordered.
    pub delay: Duration,
    /// Maximum deviation of a host's clock rate in either direction, in
    /// thousandths.
    pub clock_error: u64,
    /// Probability that a step starts a fault, such as a crash, a partition, a
    /// pause, a stalled or a lost disk, in thousandths.
    pub faults: u64,
    /// Settings of the replicas.
    pub replica: Settings,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            replicas: 3,
            loss: 30,
            duplicates: 20,
            delay: Duration::from_millis(40),
            clock_error: 600,
            faults: 4,
            replica: Settings {
                // Small limits, so that runs exercise snapshots and the limit
                // on messages in flight.
                keep_entries: 4,
                max_batch_bytes: 128,
                max_in_flight: 3,
                snapshot_resend: Duration::from_millis(400),
                snapshot_ack: Duration::from_millis(100),
                ..Settings::default()
            },
        }
    }
}

/// Maximum time that a resumed host takes to read the messages buffered during
/// its pause, in microseconds.
const MAX_BUFFER_DRAIN_US: u64 = 200_000;

/// Counts of what happened in a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of simulation steps.
    pub steps: u64,
    /// Number of elected leaders.
    pub elections: u64,
    /// Number of committed entries.
    pub commits: u64,
    /// Number of commands acknowledged as committed.
    pub acknowledged: u64,
    /// Number of confirmed reads.
    pub reads: u64,
    /// Number of refused requests.
    pub refusals: u64,
    /// Number of process crashes.
    pub crashes: u64,
    /// Number of partitions.
    pub partitions: u64,
    /// Number of pauses of a host and its clock.
    pub pauses: u64,
    /// Number of times at which a disk began to take no writes for a while.
    pub stalls: u64,
    /// Number of lost disks.
    pub lost_disks: u64,
    /// Number of lost hosts that were replaced under a new identity.
    pub replaced_hosts: u64,
    /// Number of snapshots that followers installed from the leader.
    pub snapshots_installed: u64,
}

/// A message in transit.
#[derive(Debug, Clone)]
pub(crate) struct Packet {
    /// Time of delivery.
    pub(crate) due: Time,
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) message: Message,
}

/// A group of replicas with a simulated network and disks.
#[derive(Debug, Clone)]
pub struct Simulation {
    pub(crate) cfg: SimulationSettings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Time,
    pub(crate) hosts: IndexMap<NodeId, Host>,
    /// Messages in transit.
    pub(crate) in_transit: Vec<Packet>,
    /// Links that drop all messages, as pairs of sender and receiver.
    pub(crate) partitioned_links: IndexSet<(NodeId, NodeId)>,
    pub(crate) checker: SafetyChecker,
    pub(crate) report: Report,
    pub(crate) faults: Faults,
    next_tag: u64,
}

/// Creates the group member with a node identity.
pub(crate) fn member(node: NodeId) -> Member {
    let port = u16::try_from(node.0 % 60_000).unwrap_or_default();
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    Member::new(node, addr, format!("dc-{}", node.0 % 3))
}

/// Draws the rate of a host's clock, in thousandths of the true rate.
pub(crate) fn draw_clock_rate(rng: &mut ChaCha8Rng, cfg: SimulationSettings) -> u64 {
    1_000 - cfg.clock_error + rng.next_u64() % (2 * cfg.clock_error + 1)
}

impl Simulation {
    /// Creates a group of new replicas.
    #[must_use]
    pub fn new(cfg: SimulationSettings, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Time::ZERO;
        let nodes = (1..=cfg.replicas).map(NodeId);
        let members = Membership::from_voters(nodes.clone().map(member));
        let hosts = nodes
            .map(|node| {
                let members = members.clone();
                let replica = Replica::bootstrap(node, members, cfg.replica, rng.next_u64(), now);
                (node, Host::new(replica, draw_clock_rate(&mut rng, cfg)))
            })
            .collect();
        Self {
            cfg,
            rng,
            now,
            hosts,
            in_transit: Vec::new(),
            partitioned_links: IndexSet::new(),
            checker: SafetyChecker::default(),
            report: Report::default(),
            faults: Faults::new(cfg.replicas),
            next_tag: 0,
        }
    }

    /// Runs a number of steps, or until the first safety violation.
    ///
    /// # Errors
    ///
    /// Returns the safety violation.
    pub fn run(&mut self, steps: u64) -> Result<Report, Violation> {
        for _ in 0..steps {
            self.step()?;
        }
        Ok(self.report())
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            elections: self.checker.elections(),
            commits: self.checker.commits(),
            ..self.report
        }
    }

    /// Simulated time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Draws a number below `limit`.
    pub(crate) fn draw(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit.max(1)
    }

    /// Draws one of the hosts.
    pub(crate) fn draw_node(&mut self) -> NodeId {
        let count = self.hosts.len() as u64;
        let index = usize::try_from(self.draw(count)).unwrap_or_default();
        self.hosts.keys()[index]
    }

    /// Returns true with a probability of `permille` thousandths.
    pub(crate) fn chance(&mut self, permille: u64) -> bool {
        self.draw(1_000) < permille
    }

    /// Returns the leader with the greatest term.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        let leading = self.hosts.iter().filter_map(|(node, host)| {
            let replica = host.replica.as_ref()?;
            replica.is_leader().then_some((replica.term(), *node))
        });
        leading.max().map(|(_, node)| node)
    }

    /// Runs one step: advances the time, delivers messages, syncs disks, sends
    /// requests and injects faults.
    fn step(&mut self) -> Result<(), Violation> {
        self.report.steps += 1;
        self.now = self.now + Duration::from_millis(1 + self.draw(15));
        self.deliver_due()?;
        for node in self.hosts.keys().copied().collect::<Vec<_>>() {
            let count = usize::try_from(self.draw(4)).unwrap_or_default();
            self.sync(node, count)?;
            self.input(node, Input::Tick)?;
        }
        let node = self.draw_node();
        match self.draw(6) {
            0..=2 => self.propose(node)?,
            3 => self.read(node)?,
            _ => {}
        }
        self.read_at_leaders()?;
        self.inject_faults()
    }

    /// Requests reads from every replica that considers itself leader, since a
    /// deposed leader must not answer any.
    fn read_at_leaders(&mut self) -> Result<(), Violation> {
        let leading = |host: &Host| host.replica.as_ref().is_some_and(Replica::is_leader);
        let leaders = self.hosts.iter().filter(|(_, host)| leading(host));
        for node in leaders.map(|(node, _)| *node).collect::<Vec<_>>() {
            if self.chance(250) {
                self.read(node)?;
            }
        }
        Ok(())
    }

    // -----------------------------------------------------------------------
    // Events

    /// Delivers the messages that are due.
    fn deliver_due(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let due: Vec<Packet> = self
            .in_transit
            .extract_if(.., |packet| packet.due <= now)
            .collect();
        for packet in due {
            if self.partitioned_links.contains(&(packet.from, packet.to)) {
                continue;
            }
            match self.resume_time(packet.to) {
                // Messages to a paused host wait in its receive buffers.
                Some(resume_time) => {
                    let read_delay = Duration::from_micros(self.draw(MAX_BUFFER_DRAIN_US));
                    let due = resume_time + read_delay;
                    self.in_transit.push(Packet { due, ..packet });
                }
                None => self.deliver(packet)?,
            }
        }
        Ok(())
    }

    /// Time at which a paused host resumes; `None` if the host is running.
    fn resume_time(&self, node: NodeId) -> Option<Time> {
        self.hosts.get(&node).and_then(|host| host.paused_until)
    }

    /// Delivers a message.
    pub(crate) fn deliver(&mut self, packet: Packet) -> Result<(), Violation> {
        let Packet {
            from, to, message, ..
        } = packet;
        self.input(to, Input::Message { from, message })
    }

    /// Syncs up to `count` queued writes of a host.
    pub(crate) fn sync(&mut self, node: NodeId, count: usize) -> Result<(), Violation> {
        let host = &mut self.hosts[&node];
        let stalled = host.stalled_until > self.now;
        if host.replica.is_none() || host.paused_until.is_some() || stalled {
            return Ok(());
        }
        match host.sync(count) {
            Some(persist_id) => self.input(node, Input::Persisted(persist_id)),
            None => Ok(()),
        }
    }

    /// Proposes a command to a host's replica.
    pub(crate) fn propose(&mut self, node: NodeId) -> Result<(), Violation> {
        let tag = self.allocate_tag();
        let command = tag.to_le_bytes().into();
        self.input(node, Input::Propose { tag, command })
    }

    /// Requests a read from a host's replica.
    pub(crate) fn read(&mut self, node: NodeId) -> Result<(), Violation> {
        let tag = self.allocate_tag();
        let required_index = self.checker.acknowledged();
        self.hosts[&node].reads.insert(tag, required_index);
        self.input(node, Input::Read { tag })
    }

    /// Requests a membership change from a host's replica.
    pub(crate) fn change(
        &mut self,
        node: NodeId,
        change: MembershipChange,
    ) -> Result<(), Violation> {
        let tag = self.allocate_tag();
        self.input(node, Input::ChangeMembership { tag, change })
    }

    /// Allocates a correlation tag.
    fn allocate_tag(&mut self) -> u64 {
        self.next_tag += 1;
        self.next_tag
    }

    /// Passes an input to a host's replica and carries out the resulting
    /// actions. Does nothing if the host is unknown, paused or not running.
    pub(crate) fn input(&mut self, node: NodeId, input: Input) -> Result<(), Violation> {
        let Some(host) = self.hosts.get_mut(&node) else {
            return Ok(());
        };
        if host.paused_until.is_some() {
            return Ok(());
        }
        let now = host.local(self.now);
        let Some(replica) = host.replica.as_mut() else {
            return Ok(());
        };
        let mut actions = replica.step(now, input);
        actions.extend(replica.flush(now));
        for action in actions {
            self.execute(node, action)?;
        }
        Ok(())
    }

    // -----------------------------------------------------------------------
    // Actions

    /// Carries out an action of a replica.
    fn execute(&mut self, node: NodeId, action: Action) -> Result<(), Violation> {
        match action {
            Action::Persist(persist) => self.hosts[&node].persist(persist),
            Action::Send { to, message } => self.send(node, to, &message),
            Action::SendSnapshot { to, term } => {
                let (meta, state) = self.hosts[&node].latest_snapshot();
                let data = state.encode();
                self.send(node, to, &Message::Snapshot { term, meta, data });
                self.input(node, Input::SnapshotQueued(to))?;
            }
            Action::Restore {
                persist_id,
                meta,
                data,
                keep,
            } => {
                let state = AppliedState::decode(&data);
                self.checker.on_restore(node, state, meta.position)?;
                self.report.snapshots_installed += 1;
                self.hosts[&node].restore(persist_id, meta, state, keep);
            }
            Action::Apply(entries) => self.apply(node, &entries)?,
            Action::Proposed { index, term, .. } => {
                self.hosts[&node].proposals.insert(index, term);
            }
            Action::Refused { tag, refusal } => self.on_refused(node, tag, refusal),
            Action::ReadReady { tag, index } => {
                if let Some(required_index) = self.hosts[&node].reads.shift_remove(&tag) {
                    self.report.reads += 1;
                    self.checker.on_read(node, index, required_index)?;
                }
            }
            Action::BecameLeader(term) => {
                if let Some(replica) = &self.hosts[&node].replica {
                    self.checker.on_leader_elected(replica, term)?;
                }
            }
            Action::SteppedDown => {
                self.hosts[&node].proposals.clear();
                self.hosts[&node].reads.clear();
            }
        }
        Ok(())
    }

    /// Sends a message, which may be lost or duplicated.
    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let copies = 1 + u64::from(self.chance(self.cfg.duplicates));
        for _ in 0..copies {
            if self.chance(self.cfg.loss) {
                continue;
            }
            let delay = u64::try_from(self.cfg.delay.as_micros()).unwrap_or_default();
            let due = self.now + Duration::from_micros(self.draw(delay));
            self.in_transit.push(Packet {
                due,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    /// Applies entries and acknowledges the host's own proposals among them.
    fn apply(&mut self, node: NodeId, entries: &[crate::Entry]) -> Result<(), Violation> {
        for entry in entries {
            let host = &mut self.hosts[&node];
            let term = host.replica.as_ref().map_or(Epoch(0), Replica::term);
            self.checker.on_apply(node, term, &mut host.state, entry)?;
            let proposed = host.proposals.shift_remove(&entry.index());
            if proposed == Some(entry.position.term) {
                self.acknowledge(node, entry.position)?;
            }
        }
        Ok(())
    }

    /// Acknowledges a proposal as committed.
    fn acknowledge(&mut self, node: NodeId, position: Position) -> Result<(), Violation> {
        let Some(replica) = &self.hosts[&node].replica else {
            return Ok(());
        };
        let members = replica.status().members;
        let voters = members.voters.iter();
        let durable = voters
            .filter(|member| {
                self.hosts
                    .get(&member.node)
                    .is_some_and(|host| host.holds(position))
            })
            .count();
        self.report.acknowledged += 1;
        self.checker
            .on_acknowledge(position.index, durable, members.quorum())
    }

    /// Handles the refusal of a request.
    fn on_refused(&mut self, node: NodeId, tag: u64, _: Refusal) {
        self.report.refusals += 1;
        self.hosts[&node].reads.shift_remove(&tag);
    }

    /// Greatest term of any running replica.
    #[must_use]
    pub fn term(&self) -> Epoch {
        let terms = self.hosts.values().filter_map(|host| host.replica.as_ref());
        terms.map(Replica::term).max().unwrap_or_default()
    }

    /// Index of the last command that was acknowledged as committed.
    #[must_use]
    pub const fn acknowledged(&self) -> LogIndex {
        self.checker.acknowledged()
    }
}
