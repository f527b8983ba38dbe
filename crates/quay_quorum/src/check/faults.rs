//! Fault injection: crashes, partitions, pauses, stalled disks, and lost disks with
//! the replacement of their hosts.

use {
    crate::{
        Input, MembershipChange, Replica,
        check::{
            host::Host,
            safety_checker::Violation,
            simulation::{Simulation, draw_clock_rate, member},
        },
    },
    quay_types::{NodeId, Time},
    rand::Rng as _,
    std::time::Duration,
};

/// Upper limit of the duration of a partition, in milliseconds.
const MAX_PARTITION_MS: u64 = 4_000;

/// Upper limit of the duration of a host's pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 6_000;

/// Upper limit of the time for which a disk takes no write, in milliseconds.
const MAX_STALL_MS: u64 = 8_000;

/// Upper limit of the duration of a long partition of the leader, in
/// milliseconds.
const MAX_LONG_PARTITION_MS: u64 = 30_000;

/// A host that lost its disk and the host that replaces it.
#[derive(Debug, Clone, Copy)]
struct Replacement {
    lost: NodeId,
    new: NodeId,
}

/// Faults in progress.
#[derive(Debug, Clone)]
pub(crate) struct Faults {
    /// Time at which all partitions end.
    heal_at: Time,
    replacement: Option<Replacement>,
    /// Whether another host may lose its disk directly after the next
    /// replacement.
    second_loss: bool,
    /// Greatest node identity in use.
    last_node: u64,
}

impl Faults {
    /// Creates a state without faults. Node identities up to `last_node` are in
    /// use.
    pub(crate) const fn new(last_node: u64) -> Self {
        Self {
            heal_at: Time::ZERO,
            replacement: None,
            second_loss: false,
            last_node,
        }
    }
}

impl Simulation {
    /// Advances the faults in progress and may start a new one.
    pub(super) fn inject_faults(&mut self) -> Result<(), Violation> {
        if self.now >= self.faults.heal_at {
            self.partitioned_links.clear();
        }
        self.resume_due();
        self.restart_crashed();
        self.drive_replacement()?;
        if self.chance(10) {
            let node = self.draw_node();
            self.take_snapshot(node)?;
        }
        if self.chance(self.cfg.faults) {
            self.start_fault();
        }
        Ok(())
    }

    /// Starts a random fault.
    fn start_fault(&mut self) {
        let node = self.draw_node();
        match self.draw(13) {
            0..=3 => self.crash(node),
            4 => self.partition(node, true, false, MAX_PARTITION_MS),
            5 => self.partition(node, false, true, MAX_PARTITION_MS),
            6 => self.partition(node, true, true, MAX_PARTITION_MS),
            7 => {
                let leader = self.leader().unwrap_or(node);
                self.partition(leader, true, true, MAX_LONG_PARTITION_MS);
            }
            8 => {
                let victim = self.leader().unwrap_or(node);
                self.crash(victim);
            }
            9 => {
                let leader = self.leader().unwrap_or(node);
                self.pause(leader);
            }
            10 => {
                self.faults.second_loss = self.chance(500);
                self.lose_disk(node);
            }
            11 => self.stall_disk(node),
            _ => {
                for node in self.hosts.keys().copied().collect::<Vec<_>>() {
                    self.stall_disk(node);
                }
            }
        }
    }

    /// Lets the disk of a host take no write for a random time, also after a restart.
    fn stall_disk(&mut self, node: NodeId) {
        let span = Duration::from_millis(self.draw(MAX_STALL_MS));
        self.hosts[&node].stalled_until = self.now + span;
        self.report.stalls += 1;
    }

    /// Pauses a host and its clock for a random time.
    fn pause(&mut self, node: NodeId) {
        let span = Duration::from_millis(MAX_PAUSE_MS / 2 + self.draw(MAX_PAUSE_MS / 2));
        let until = self.now + span;
        let host = &mut self.hosts[&node];
        if host.paused_until.is_none() {
            host.paused_until = Some(until);
            host.paused_total += span;
            self.report.pauses += 1;
        }
    }

    /// Resumes the hosts whose pause is over.
    fn resume_due(&mut self) {
        let now = self.now;
        for host in self.hosts.values_mut() {
            if host.paused_until.is_some_and(|until| until <= now) {
                host.paused_until = None;
            }
        }
    }

    /// Crashes a process. Some of its unsynced writes still reach the disk.
    pub(crate) fn crash(&mut self, node: NodeId) {
        let kept = usize::try_from(self.draw(3)).unwrap_or_default();
        if self.hosts[&node].replica.is_some() {
            self.report.crashes += 1;
            self.hosts[&node].crash(kept);
        }
    }

    /// Restarts crashed processes at random.
    fn restart_crashed(&mut self) {
        for node in self.hosts.keys().copied().collect::<Vec<_>>() {
            let down = self.hosts[&node].replica.is_none() && !self.hosts[&node].lost;
            if down && self.chance(20) {
                self.restart(node);
            }
        }
    }

    /// Restarts a crashed process.
    pub(crate) fn restart(&mut self, node: NodeId) {
        let seed = self.rng.next_u64();
        let (cfg, now) = (self.cfg.replica, self.now);
        self.hosts[&node].restart(node, cfg, seed, now);
    }

    /// Partitions a host for a random time: drops messages to the host, from
    /// the host, or both.
    fn partition(&mut self, node: NodeId, to: bool, from: bool, limit_ms: u64) {
        self.report.partitions += 1;
        let others: Vec<NodeId> = self.hosts.keys().copied().collect();
        for other in others {
            if to {
                self.partitioned_links.insert((other, node));
            }
            if from {
                self.partitioned_links.insert((node, other));
            }
        }
        let span = limit_ms / 2 + self.draw(limit_ms / 2);
        self.faults.heal_at = self.now + Duration::from_millis(span);
    }

    /// Persists a snapshot at a host and lets the replica compact its log.
    fn take_snapshot(&mut self, node: NodeId) -> Result<(), Violation> {
        match self.hosts[&node].snapshot() {
            Some(index) => self.input(node, Input::SnapshotSaved(index)),
            None => Ok(()),
        }
    }

    // -----------------------------------------------------------------------
    // Lost disks

    /// Removes a voter's host permanently and starts a new host in its place.
    /// Only one host at a time, since the group tolerates no more failures.
    fn lose_disk(&mut self, node: NodeId) {
        let members = self.leader().and_then(|leader| {
            let replica = self.hosts[&leader].replica.as_ref()?;
            Some(replica.status().members)
        });
        let voter = members.is_some_and(|members| members.is_voter(node));
        if self.faults.replacement.is_some() || !voter || self.hosts[&node].lost {
            return;
        }
        self.report.lost_disks += 1;
        self.hosts[&node].crash(0);
        self.hosts[&node].lost = true;
        self.faults.last_node += 1;
        let new = NodeId(self.faults.last_node);
        let seed = self.rng.next_u64();
        let replica = Replica::empty(new, self.cfg.replica, seed, self.now);
        let rate = draw_clock_rate(&mut self.rng, self.cfg);
        self.hosts.insert(new, Host::new(replica, rate));
        self.faults.replacement = Some(Replacement { lost: node, new });
    }

    /// Replaces a lost host as an operator would: adds the new host as a
    /// learner, promotes it, and removes the lost host.
    fn drive_replacement(&mut self) -> Result<(), Violation> {
        let Some(replacement) = self.faults.replacement else {
            return Ok(());
        };
        if !self.chance(100) {
            return Ok(());
        }
        let Some(leader) = self.leader() else {
            return Ok(());
        };
        let Some(replica) = &self.hosts[&leader].replica else {
            return Ok(());
        };
        let status = replica.status();
        let change = if status.members.get(replacement.new).is_none() {
            MembershipChange::AddLearner(member(replacement.new))
        } else if !status.members.is_voter(replacement.new) {
            MembershipChange::Promote(replacement.new)
        } else if status.members.get(replacement.lost).is_some() {
            MembershipChange::Remove(replacement.lost)
        } else {
            // The replacement is complete once the removal is committed.
            if status.commit == status.last.index {
                self.finish_replacement(replacement);
            }
            return Ok(());
        };
        self.change(leader, change)
    }

    /// Completes the replacement of a lost host; may then start the loss of
    /// another one.
    fn finish_replacement(&mut self, replacement: Replacement) {
        self.report.replaced_hosts += 1;
        self.faults.replacement = None;
        self.hosts.shift_remove(&replacement.lost);
        if self.faults.second_loss {
            self.faults.second_loss = false;
            let node = self.draw_node();
            if node != replacement.new {
                self.lose_disk(node);
            }
        }
    }
}
