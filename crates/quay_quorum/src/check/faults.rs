//! Crashes, partitions, lost disks and their repair.

use {
    crate::{
        Input, MembershipChange, Replica,
        check::{
            host::Host,
            safety_checker::Violation,
            simulation::{Simulation, clock_rate, member},
        },
    },
    quay_types::{NodeId, Time},
    rand::Rng as _,
    std::time::Duration,
};

/// Longest time that links stay cut, in milliseconds.
const CUT_MS: u64 = 4_000;

/// Longest time that a host stands still, in milliseconds.
const SUSPEND_MS: u64 = 6_000;

/// Time that a leader is cut off for long, in milliseconds.
const LONG_CUT_MS: u64 = 30_000;

/// A host that is gone for good and the one that takes its place.
#[derive(Debug, Clone, Copy)]
struct Repair {
    lost: NodeId,
    new: NodeId,
}

/// Faults that are under way.
#[derive(Debug, Clone)]
pub(crate) struct Faults {
    heal_at: Time,
    repair: Option<Repair>,
    /// Whether the host after the next repair is lost at once.
    second_loss: bool,
    last_node: u64,
}

impl Faults {
    /// No faults; identities up to `last_node` are taken.
    pub(crate) const fn new(last_node: u64) -> Self {
        Self {
            heal_at: Time::ZERO,
            repair: None,
            second_loss: false,
            last_node,
        }
    }
}

impl Simulation {
    /// Goes on with the faults that are under way and starts new ones.
    pub(super) fn inject_faults(&mut self) -> Result<(), Violation> {
        if self.now >= self.faults.heal_at {
            self.cuts.clear();
        }
        self.resume_due();
        self.restart_some();
        self.drive_repair()?;
        if self.chance(10) {
            let node = self.draw_node();
            self.take_snapshot(node)?;
        }
        if self.chance(self.cfg.faults) {
            self.start_fault();
        }
        Ok(())
    }

    /// Starts one fault.
    fn start_fault(&mut self) {
        let node = self.draw_node();
        match self.draw(11) {
            0..=3 => self.crash(node),
            4 => self.cut(node, true, false, CUT_MS),
            5 => self.cut(node, false, true, CUT_MS),
            6 => self.cut(node, true, true, CUT_MS),
            7 => {
                let leader = self.leader().unwrap_or(node);
                self.cut(leader, true, true, LONG_CUT_MS);
            }
            8 => {
                let victim = self.leader().unwrap_or(node);
                self.crash(victim);
            }
            9 => {
                let leader = self.leader().unwrap_or(node);
                self.suspend(leader);
            }
            _ => {
                self.faults.second_loss = self.chance(500);
                self.lose_disk(node);
            }
        }
    }

    /// A host stands still for a while, its clock too.
    fn suspend(&mut self, node: NodeId) {
        let span = Duration::from_millis(SUSPEND_MS / 2 + self.draw(SUSPEND_MS / 2));
        let until = self.now + span;
        let host = &mut self.hosts[&node];
        if host.suspended.is_none() {
            host.suspended = Some(until);
            host.missed += span;
            self.report.pauses += 1;
        }
    }

    /// Suspended hosts go on.
    fn resume_due(&mut self) {
        let now = self.now;
        for host in self.hosts.values_mut() {
            if host.suspended.is_some_and(|until| until <= now) {
                host.suspended = None;
            }
        }
    }

    /// A process dies with some of its unsynced bytes.
    pub(crate) fn crash(&mut self, node: NodeId) {
        let kept = usize::try_from(self.draw(3)).unwrap_or_default();
        if self.hosts[&node].replica.is_some() {
            self.report.crashes += 1;
            self.hosts[&node].crash(kept);
        }
    }

    /// Starts dead processes again, after a while.
    fn restart_some(&mut self) {
        for node in self.hosts.keys().copied().collect::<Vec<_>>() {
            let down = self.hosts[&node].replica.is_none() && !self.hosts[&node].lost;
            if down && self.chance(20) {
                self.restart(node);
            }
        }
    }

    /// Starts a dead process again.
    pub(crate) fn restart(&mut self, node: NodeId) {
        let seed = self.rng.next_u64();
        let (cfg, now) = (self.cfg.replica, self.now);
        self.hosts[&node].restart(node, cfg, seed, now);
    }

    /// Cuts the links to or from a host, for a while.
    fn cut(&mut self, node: NodeId, to: bool, from: bool, limit_ms: u64) {
        self.report.partitions += 1;
        let others: Vec<NodeId> = self.hosts.keys().copied().collect();
        for other in others {
            if to {
                self.cuts.insert((other, node));
            }
            if from {
                self.cuts.insert((node, other));
            }
        }
        let span = limit_ms / 2 + self.draw(limit_ms / 2);
        self.faults.heal_at = self.now + Duration::from_millis(span);
    }

    /// A host syncs a snapshot and forgets the entries that it covers.
    fn take_snapshot(&mut self, node: NodeId) -> Result<(), Violation> {
        match self.hosts[&node].snapshot() {
            Some(index) => self.input(node, Input::SnapshotSaved(index)),
            None => Ok(()),
        }
    }

    // -----------------------------------------------------------------------
    // Lost disks

    /// A host is gone for good. One at a time: the group bears no more.
    fn lose_disk(&mut self, node: NodeId) {
        let members = self.leader().and_then(|leader| {
            let replica = self.hosts[&leader].replica.as_ref()?;
            Some(replica.status().members)
        });
        let voter = members.is_some_and(|members| members.is_voter(node));
        if self.faults.repair.is_some() || !voter || self.hosts[&node].lost {
            return;
        }
        self.report.lost_disks += 1;
        self.hosts[&node].crash(0);
        self.hosts[&node].lost = true;
        self.faults.last_node += 1;
        let new = NodeId(self.faults.last_node);
        let seed = self.rng.next_u64();
        let replica = Replica::empty(new, self.cfg.replica, seed, self.now);
        let rate = clock_rate(&mut self.rng, self.cfg);
        self.hosts.insert(new, Host::new(replica, rate));
        self.faults.repair = Some(Repair { lost: node, new });
    }

    /// Does what an operator does: learner, vote, removal of the lost host.
    fn drive_repair(&mut self) -> Result<(), Violation> {
        let Some(repair) = self.faults.repair else {
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
        let change = if status.members.get(repair.new).is_none() {
            MembershipChange::AddLearner(member(repair.new))
        } else if !status.members.is_voter(repair.new) {
            MembershipChange::Promote(repair.new)
        } else if status.members.get(repair.lost).is_some() {
            MembershipChange::Remove(repair.lost)
        } else {
            // Repaired for good once the removal is committed and answered.
            if status.commit == status.last.index {
                self.finish_repair(repair);
            }
            return Ok(());
        };
        self.change(leader, change)
    }

    /// The lost host is replaced; another may be lost right after.
    fn finish_repair(&mut self, repair: Repair) {
        self.report.replaced_hosts += 1;
        self.faults.repair = None;
        self.hosts.shift_remove(&repair.lost);
        if self.faults.second_loss {
            self.faults.second_loss = false;
            let node = self.draw_node();
            if node != repair.new {
                self.lose_disk(node);
            }
        }
    }
}
