//! Forming the set of store hosts and replacing its members.

use {
    crate::{CopySource, StoreMember, StoreView},
    indexmap::IndexMap,
    quay_types::Time,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Announcement that a store host sends to the control leader periodically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAnnouncement {
    /// Name of the host.
    pub host: Box<str>,
    /// Random identity, generated when the host's data directory was created.
    pub identity: u64,
    /// Address that the store host listens on.
    pub addr: SocketAddr,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Whether the cluster is being bootstrapped.
    pub bootstrap: bool,
    /// Epoch of the join for which the store has finished copying; 0 if none. A
    /// store is whole once it holds every write acknowledged before it joined.
    pub whole: u64,
}

/// Change of the store view, as replicated in the control group's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreChange {
    /// Sets the first members. They are whole, since no data was stored before.
    Form(Vec<StoreAnnouncement>),
    /// Replaces one member by another host.
    Swap {
        /// Identity of the member that leaves.
        out: u64,
        /// Announcement of the host that joins.
        new: Box<StoreAnnouncement>,
    },
    /// Marks a member as whole: it holds every write that its predecessor
    /// acknowledged.
    Whole {
        /// Identity of the member.
        identity: u64,
        /// Epoch in which the member joined.
        joined: u64,
    },
    /// Marks a host for removal; its data moves to another host.
    Retire(Box<str>),
    /// Records a new address of a member whose data is intact.
    Moved {
        /// Identity of the member.
        identity: u64,
        /// Address that the store host listens on.
        addr: SocketAddr,
    },
}

impl StoreView {
    /// Applies a change. Returns `false` if the change does not apply to this
    /// view.
    pub fn apply(&mut self, change: &StoreChange) -> bool {
        let applied = match change {
            StoreChange::Form(announcements) => self.form(announcements),
            StoreChange::Swap { out, new } => self.swap(*out, new),
            StoreChange::Whole { identity, joined } => self.mark_whole(*identity, *joined),
            StoreChange::Retire(host) => self.retire(host),
            StoreChange::Moved { identity, addr } => self.update_address(*identity, *addr),
        };
        self.version += u64::from(applied);
        applied
    }

    fn form(&mut self, announcements: &[StoreAnnouncement]) -> bool {
        if self.epoch > 0 || announcements.is_empty() {
            return false;
        }
        self.epoch = 1;
        self.members = announcements
            .iter()
            .map(|announcement| member(announcement, 1))
            .collect();
        for member in &mut self.members {
            member.whole = true;
        }
        true
    }

    fn swap(&mut self, out: u64, new: &StoreAnnouncement) -> bool {
        let known = self.member(new.identity).is_some();
        let place = self.members.iter().position(|it| it.identity == out);
        let (Some(place), false) = (place, known) else {
            return false;
        };
        self.epoch += 1;
        let mut joining = member(new, self.epoch);
        let sources = self.members.iter().map(|it| CopySource {
            identity: it.identity,
            addr: it.addr,
            whole: it.whole,
        });
        joining.sources = sources.collect();
        joining.needed = self.read_quorum();
        self.members[place] = joining;
        true
    }

    fn mark_whole(&mut self, identity: u64, joined: u64) -> bool {
        let member = self.members.iter_mut().find(|it| it.identity == identity);
        match member {
            Some(member) if !member.whole && member.joined == joined => {
                member.whole = true;
                member.sources = Vec::new();
                true
            }
            _ => false,
        }
    }

    fn update_address(&mut self, identity: u64, addr: SocketAddr) -> bool {
        let sources = self.members.iter_mut().flat_map(|it| &mut it.sources);
        for source in sources.filter(|source| source.identity == identity) {
            source.addr = addr;
        }
        let member = self.members.iter_mut().find(|it| it.identity == identity);
        member.is_some_and(|member| std::mem::replace(&mut member.addr, addr) != addr)
    }

    fn retire(&mut self, host: &str) -> bool {
        if self.retiring.iter().any(|it| &**it == host) {
            return false;
        }
        self.retiring.push(host.into());
        true
    }
}

/// Creates a member from a host's announcement.
fn member(announcement: &StoreAnnouncement, joined: u64) -> StoreMember {
    StoreMember {
        host: announcement.host.clone(),
        identity: announcement.identity,
        addr: announcement.addr,
        data_centre: announcement.data_centre.clone(),
        joined,
        ..StoreMember::default()
    }
}

/// Times that control when members are added and replaced.
#[derive(Debug, Clone, Copy)]
pub struct MembershipSettings {
    /// Members that a view should have: `2 f + 1` to tolerate `f` failures.
    pub members: usize,
    /// Time to wait for more hosts, from the first announcement, before a view
    /// with `members` hosts is formed.
    pub form_after: Duration,
    /// Time from the first announcement after which a view is formed with fewer
    /// than `members` hosts.
    pub form_partial_after: Duration,
    /// Time without an announcement after which a member is replaced by a host
    /// that first announced itself after the member's last announcement.
    pub replace_after: Duration,
    /// Time without an announcement after which a member is replaced by any
    /// spare host.
    pub replace_with_spare_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            members: 3,
            // Hosts start within 0.3 s of each other.
            form_after: Duration::from_millis(500),
            // Traffic starts 10 s after the hosts do.
            form_partial_after: Duration::from_secs(6),
            // Several announcement intervals, and less than the 4.8 s within
            // which a replacement must be whole.
            replace_after: Duration::from_millis(1_500),
            // Longer than an ordinary pause of a process, since a replacement
            // copies all data.
            replace_with_spare_after: Duration::from_secs(8),
        }
    }
}

#[derive(Debug)]
struct KnownHost {
    announcement: StoreAnnouncement,
    first_announced: Time,
    last_announced: Time,
}

/// Tracks announcements of store hosts on the leader of the control group and
/// plans membership changes. The state is not replicated: a new leader rebuilds
/// it from announcements.
#[derive(Debug, Default)]
pub struct MembershipPlanner {
    cfg: MembershipSettings,
    known: IndexMap<Box<str>, KnownHost>,
    /// Time at which this leader began to receive announcements.
    listening_since: Time,
}

impl MembershipPlanner {
    /// Creates a planner without any announcements.
    #[must_use]
    pub fn new(cfg: MembershipSettings, now: Time) -> Self {
        Self {
            cfg,
            listening_since: now,
            ..Self::default()
        }
    }

    /// Records the announcement of a store host.
    pub fn record_announcement(&mut self, now: Time, announcement: StoreAnnouncement) {
        match self.known.get_mut(&announcement.host) {
            Some(known) if known.announcement.identity == announcement.identity => {
                known.announcement = announcement;
                known.last_announced = now;
            }
            _ => {
                let known = KnownHost {
                    announcement,
                    first_announced: now,
                    last_announced: now,
                };
                self.known.insert(known.announcement.host.clone(), known);
            }
        }
    }

    /// Whether `host` has announced itself to this leader.
    #[must_use]
    pub fn knows(&self, host: &str) -> bool {
        self.known.contains_key(host)
    }

    /// Whether `host` can be retired: it is no member, or a live spare host can
    /// replace it.
    #[must_use]
    pub fn can_retire(&self, now: Time, view: &StoreView, host: &str) -> bool {
        view.member_on_host(host).is_none() || self.find_spare(now, view, Some(host)).is_some()
    }

    /// Returns the next change of the view, if one is due.
    #[must_use]
    pub fn next_change(&self, now: Time, view: &StoreView) -> Option<StoreChange> {
        if view.epoch == 0 {
            return self.form(now);
        }
        self.find_address_change(view)
            .or_else(|| self.find_completed_member(view))
            .or_else(|| self.find_data_loss(view))
            .or_else(|| self.find_replacement(now, view))
    }

    fn form(&self, now: Time) -> Option<StoreChange> {
        let first = self.known.values().map(|it| it.first_announced).min()?;
        let waited = now.since(first);
        let mut announcements: Vec<&StoreAnnouncement> = self
            .known
            .values()
            .map(|it| &it.announcement)
            .filter(|announcement| announcement.bootstrap)
            .collect();
        let enough = announcements.len() >= self.cfg.members && waited >= self.cfg.form_after;
        let partial = !announcements.is_empty() && waited >= self.cfg.form_partial_after;
        if !enough && !partial {
            return None;
        }
        announcements.sort_by(|a, b| a.host.cmp(&b.host));
        let members = select_across_data_centres(&announcements, self.cfg.members);
        Some(StoreChange::Form(members))
    }

    /// Finds a member that announces its known identity from a new address.
    fn find_address_change(&self, view: &StoreView) -> Option<StoreChange> {
        view.members.iter().find_map(|member| {
            let announcement = &self.known.get(&member.host)?.announcement;
            let same = announcement.identity == member.identity;
            (same && announcement.addr != member.addr).then_some(StoreChange::Moved {
                identity: member.identity,
                addr: announcement.addr,
            })
        })
    }

    /// Finds a joining member that has finished copying.
    fn find_completed_member(&self, view: &StoreView) -> Option<StoreChange> {
        let mut joining = view.members.iter().filter(|it| !it.whole);
        let done = joining.find(|it| {
            let known = self.known.get(&it.host);
            known.is_some_and(|known| {
                known.announcement.identity == it.identity && known.announcement.whole == it.joined
            })
        })?;
        Some(StoreChange::Whole {
            identity: done.identity,
            joined: done.joined,
        })
    }

    /// Finds a member whose host announces a new identity, since its data was
    /// lost.
    fn find_data_loss(&self, view: &StoreView) -> Option<StoreChange> {
        view.members.iter().find_map(|member| {
            let known = self.known.get(&member.host)?;
            let new = known.announcement.identity != member.identity;
            new.then(|| StoreChange::Swap {
                out: member.identity,
                new: Box::new(known.announcement.clone()),
            })
        })
    }

    /// Finds a member that is silent or retiring, and a spare host to replace
    /// it.
    fn find_replacement(&self, now: Time, view: &StoreView) -> Option<StoreChange> {
        // Members are replaced one at a time, since a joining member copies
        // from the other members.
        if !view.all_whole() {
            return None;
        }
        let out = view.members.iter().find_map(|member| {
            let retiring = view.retiring.contains(&member.host);
            let known = self.known.get(&member.host);
            let last = known.map_or(self.listening_since, |it| it.last_announced);
            let silence = now.since(last);
            let spare = self.find_spare(now, view, None)?;
            let replaced_by_newer_host =
                spare.first_announced > last && silence >= self.cfg.replace_after;
            let due =
                retiring || replaced_by_newer_host || silence >= self.cfg.replace_with_spare_after;
            due.then_some((member.identity, spare))
        });
        let (out, spare) = out?;
        Some(StoreChange::Swap {
            out,
            new: Box::new(spare.announcement.clone()),
        })
    }

    /// Returns the live spare host that announced itself most recently for the
    /// first time, other than `without`.
    fn find_spare(&self, now: Time, view: &StoreView, without: Option<&str>) -> Option<&KnownHost> {
        let spares = self.known.values().filter(|it| {
            let host = &*it.announcement.host;
            view.member_on_host(host).is_none()
                && view.member(it.announcement.identity).is_none()
                && !view.retiring.iter().any(|retiring| &**retiring == host)
                && Some(host) != without
                && now.since(it.last_announced) < self.cfg.replace_after
        });
        spares.max_by_key(|it| it.first_announced)
    }
}

/// Selects `count` hosts, alternating between data centres.
fn select_across_data_centres(
    announcements: &[&StoreAnnouncement],
    count: usize,
) -> Vec<StoreAnnouncement> {
    let mut data_centres: IndexMap<&str, Vec<&StoreAnnouncement>> = IndexMap::new();
    for announcement in announcements {
        data_centres
            .entry(&announcement.data_centre)
            .or_default()
            .push(announcement);
    }
    let mut selected = Vec::new();
    let rounds = data_centres
        .values()
        .map(Vec::len)
        .max()
        .unwrap_or_default();
    for round in 0..rounds {
        for hosts in data_centres.values() {
            if let Some(announcement) = hosts.get(round)
                && selected.len() < count
            {
                selected.push((*announcement).clone());
            }
        }
    }
    selected
}
