//! Replicas over a fake of messages and disks.

use {
    crate::{
        Action, Input, Member, Membership, MembershipChange, Message, Position, Refusal, Replica,
        Settings,
        check::{
            faults::Faults,
            host::Host,
            safety_checker::{Applied, SafetyChecker, Violation},
        },
    },
    indexmap::{IndexMap, IndexSet},
    quay_types::{Epoch, LogIndex, NodeId, Time},
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{net::SocketAddr, time::Duration},
};

/// How often things go wrong, in thousandths of a step or message.
#[derive(Debug, Clone, Copy)]
pub struct SimulationSettings {
    /// Voters at the start.
    pub replicas: u64,
    /// Messages that get lost.
    pub loss: u64,
    /// Messages that arrive twice.
    pub duplicates: u64,
    /// Longest delay of a message; shorter ones overtake longer ones.
    pub delay: Duration,
    /// How far the clocks of the hosts are off, either way.
    pub clock_error: u64,
    /// Steps with a fault: a crash, a partition, a lost disk.
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
                // Small limits, so that snapshots and windows are put to the test.
                keep_entries: 4,
                max_batch_bytes: 128,
                max_in_flight: 3,
                snapshot_resend: Duration::from_millis(400),
                ..Settings::default()
            },
        }
    }
}

/// Longest time that a resumed host takes to read what has come meanwhile, in
/// microseconds.
const BUFFERED_US: u64 = 200_000;

/// What a run put to the test.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Steps that were made.
    pub steps: u64,
    /// Leaders that were elected.
    pub elections: u64,
    /// Entries that were committed.
    pub commits: u64,
    /// Commands that were answered as committed.
    pub acknowledged: u64,
    /// Reads that were confirmed.
    pub reads: u64,
    /// Requests that were refused.
    pub refusals: u64,
    /// Processes that died.
    pub crashes: u64,
    /// Links that were cut.
    pub partitions: u64,
    /// Hosts that stood still for a while, their clocks too.
    pub pauses: u64,
    /// Disks that were lost.
    pub lost_disks: u64,
    /// Lost hosts that were replaced under a new identity.
    pub replaced_hosts: u64,
    /// Snapshots that a follower took from its leader.
    pub snapshots_installed: u64,
}

/// A message under way.
#[derive(Debug, Clone)]
pub(crate) struct Packet {
    pub(crate) due: Time,
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) message: Message,
}

/// Replicas over a fake of messages and disks.
#[derive(Debug, Clone)]
pub struct Simulation {
    pub(crate) cfg: SimulationSettings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Time,
    pub(crate) hosts: IndexMap<NodeId, Host>,
    pub(crate) wire: Vec<Packet>,
    /// Links on which nothing arrives, by sender and receiver.
    pub(crate) cuts: IndexSet<(NodeId, NodeId)>,
    pub(crate) checker: SafetyChecker,
    pub(crate) report: Report,
    pub(crate) faults: Faults,
    next_tag: u64,
}

/// The member of the check with a number.
pub(crate) fn member(node: NodeId) -> Member {
    let port = u16::try_from(node.0 % 60_000).unwrap_or_default();
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    Member::new(node, addr, format!("dc-{}", node.0 % 3))
}

/// Draws the speed of a clock.
pub(crate) fn clock_rate(rng: &mut ChaCha8Rng, cfg: SimulationSettings) -> u64 {
    1_000 - cfg.clock_error + rng.next_u64() % (2 * cfg.clock_error + 1)
}

impl Simulation {
    /// A group of new replicas.
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
                (node, Host::new(replica, clock_rate(&mut rng, cfg)))
            })
            .collect();
        Self {
            cfg,
            rng,
            now,
            hosts,
            wire: Vec::new(),
            cuts: IndexSet::new(),
            checker: SafetyChecker::default(),
            report: Report::default(),
            faults: Faults::new(cfg.replicas),
            next_tag: 0,
        }
    }

    /// Makes steps until a rule is broken.
    ///
    /// # Errors
    ///
    /// The rule that is broken.
    pub fn run(&mut self, steps: u64) -> Result<Report, Violation> {
        for _ in 0..steps {
            self.step()?;
        }
        Ok(self.report())
    }

    /// What was put to the test so far.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            elections: self.checker.elections(),
            commits: self.checker.commits(),
            ..self.report
        }
    }

    /// Time of the run.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// A number below `limit`.
    pub(crate) fn draw(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit.max(1)
    }

    /// One of the hosts.
    pub(crate) fn draw_node(&mut self) -> NodeId {
        let count = self.hosts.len() as u64;
        let slot = usize::try_from(self.draw(count)).unwrap_or_default();
        self.hosts.keys()[slot]
    }

    /// Whether something that happens `permille` times in a thousand happens.
    pub(crate) fn chance(&mut self, permille: u64) -> bool {
        self.draw(1_000) < permille
    }

    /// The replica that leads with the greatest term.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        let leading = self.hosts.iter().filter_map(|(node, host)| {
            let replica = host.replica.as_ref()?;
            replica.is_leader().then_some((replica.term(), *node))
        });
        leading.max().map(|(_, node)| node)
    }

    /// Makes one step: time, messages, disks, requests and faults.
    fn step(&mut self) -> Result<(), Violation> {
        self.report.steps += 1;
        self.now = self.now + Duration::from_millis(1 + self.draw(15));
        self.deliver_due()?;
        for node in self.hosts.keys().copied().collect::<Vec<_>>() {
            let jobs = usize::try_from(self.draw(4)).unwrap_or_default();
            self.sync(node, jobs)?;
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

    /// Reads at each replica that takes itself for the leader: a stale one
    /// must not answer.
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
    // Moves

    /// Delivers every message that is due.
    fn deliver_due(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let due: Vec<Packet> = self
            .wire
            .extract_if(.., |packet| packet.due <= now)
            .collect();
        for packet in due {
            if self.cuts.contains(&(packet.from, packet.to)) {
                continue;
            }
            match self.resumes(packet.to) {
                // What was sent to a suspended host waits in its buffers.
                Some(resumes) => {
                    let late = Duration::from_micros(self.draw(BUFFERED_US));
                    let due = resumes + late;
                    self.wire.push(Packet { due, ..packet });
                }
                None => self.deliver(packet)?,
            }
        }
        Ok(())
    }

    /// When a suspended host goes on.
    fn resumes(&self, node: NodeId) -> Option<Time> {
        self.hosts.get(&node).and_then(|host| host.suspended)
    }

    /// Delivers one message.
    pub(crate) fn deliver(&mut self, packet: Packet) -> Result<(), Violation> {
        let Packet {
            from, to, message, ..
        } = packet;
        self.input(to, Input::Message { from, message })
    }

    /// Syncs saves of a host.
    pub(crate) fn sync(&mut self, node: NodeId, jobs: usize) -> Result<(), Violation> {
        let host = &mut self.hosts[&node];
        if host.replica.is_none() || host.suspended.is_some() {
            return Ok(());
        }
        match host.sync(jobs) {
            Some(persist_id) => self.input(node, Input::Persisted(persist_id)),
            None => Ok(()),
        }
    }

    /// Proposes a command at a host.
    pub(crate) fn propose(&mut self, node: NodeId) -> Result<(), Violation> {
        let tag = self.take_tag();
        let command = tag.to_le_bytes().into();
        self.input(node, Input::Propose { tag, command })
    }

    /// Asks a host for a read.
    pub(crate) fn read(&mut self, node: NodeId) -> Result<(), Violation> {
        let tag = self.take_tag();
        let floor = self.checker.answered();
        self.hosts[&node].reads.insert(tag, floor);
        self.input(node, Input::Read { tag })
    }

    /// Asks a host for a change of members.
    pub(crate) fn change(
        &mut self,
        node: NodeId,
        change: MembershipChange,
    ) -> Result<(), Violation> {
        let tag = self.take_tag();
        self.input(node, Input::ChangeMembership { tag, change })
    }

    /// A tag that was not used before.
    fn take_tag(&mut self) -> u64 {
        self.next_tag += 1;
        self.next_tag
    }

    /// Gives a replica an input and does what it asks for.
    pub(crate) fn input(&mut self, node: NodeId, input: Input) -> Result<(), Violation> {
        let Some(host) = self.hosts.get_mut(&node) else {
            return Ok(());
        };
        if host.suspended.is_some() {
            return Ok(());
        }
        let now = host.local(self.now);
        let Some(replica) = host.replica.as_mut() else {
            return Ok(());
        };
        let mut actions = replica.step(now, input);
        actions.extend(replica.flush(now));
        for action in actions {
            self.act(node, action)?;
        }
        Ok(())
    }

    // -----------------------------------------------------------------------
    // Actions

    /// Does what a replica asks for.
    fn act(&mut self, node: NodeId, action: Action) -> Result<(), Violation> {
        match action {
            Action::Persist(persist) => self.hosts[&node].save(persist),
            Action::Send { to, message } => self.send(node, to, &message),
            Action::SendSnapshot { to, term } => {
                let (meta, state) = self.hosts[&node].latest_snapshot();
                let data = state.encode();
                self.send(node, to, &Message::Snapshot { term, meta, data });
            }
            Action::Restore {
                persist_id,
                meta,
                data,
                keep,
            } => {
                let state = Applied::decode(&data);
                self.checker.on_restore(node, state, meta.position)?;
                self.report.snapshots_installed += 1;
                self.hosts[&node].restore(persist_id, meta, state, keep);
            }
            Action::Apply(entries) => self.apply(node, &entries)?,
            Action::Proposed { index, term, .. } => {
                self.hosts[&node].proposals.insert(index, term);
            }
            Action::Refused { tag, refusal } => self.refused(node, tag, refusal),
            Action::ReadReady { tag, index } => {
                if let Some(floor) = self.hosts[&node].reads.shift_remove(&tag) {
                    self.report.reads += 1;
                    self.checker.on_read(node, index, floor)?;
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

    /// Sends a message, which may get lost or arrive twice.
    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let copies = 1 + u64::from(self.chance(self.cfg.duplicates));
        for _ in 0..copies {
            if self.chance(self.cfg.loss) {
                continue;
            }
            let delay = u64::try_from(self.cfg.delay.as_micros()).unwrap_or_default();
            let due = self.now + Duration::from_micros(self.draw(delay));
            self.wire.push(Packet {
                due,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    /// Applies entries and answers the proposals among them.
    fn apply(&mut self, node: NodeId, entries: &[crate::Entry]) -> Result<(), Violation> {
        for entry in entries {
            let host = &mut self.hosts[&node];
            self.checker.on_apply(node, &mut host.state, entry)?;
            let proposed = host.proposals.shift_remove(&entry.index());
            if proposed == Some(entry.position.term) {
                self.answer(node, entry.position)?;
            }
        }
        Ok(())
    }

    /// Answers a proposal as committed.
    fn answer(&mut self, node: NodeId, position: Position) -> Result<(), Violation> {
        let Some(replica) = &self.hosts[&node].replica else {
            return Ok(());
        };
        let members = replica.status().members;
        let voters = members.voters.iter();
        let durable = voters
            .filter(|held| {
                self.hosts
                    .get(&held.node)
                    .is_some_and(|host| host.holds(position))
            })
            .count();
        self.report.acknowledged += 1;
        self.checker
            .on_acknowledge(position.index, durable, members.quorum())
    }

    /// A request was refused.
    fn refused(&mut self, node: NodeId, tag: u64, _: Refusal) {
        self.report.refusals += 1;
        self.hosts[&node].reads.shift_remove(&tag);
    }

    /// Latest term of any replica.
    #[must_use]
    pub fn term(&self) -> Epoch {
        let terms = self.hosts.values().filter_map(|host| host.replica.as_ref());
        terms.map(Replica::term).max().unwrap_or_default()
    }

    /// Last command that was answered as committed.
    #[must_use]
    pub const fn answered(&self) -> LogIndex {
        self.checker.answered()
    }
}
