//! The replicated map of groups of programs to store hosts.

use {
    crate::StoreView,
    quay_types::{GroupId, ProgramId, ProgramTag},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
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
    /// Epoch of the latest join for which the store has finished copying, for
    /// each group in which it has. A store is whole in a group once it holds
    /// every write of the group that was acknowledged before it joined.
    pub whole: Vec<(GroupId, u64)>,
}

impl StoreAnnouncement {
    /// Epoch of the latest join for which the store is whole in a group; 0 if
    /// none.
    #[must_use]
    pub fn whole_epoch(&self, group: GroupId) -> u64 {
        let whole = self.whole.iter().find(|(it, _)| *it == group);
        whole.map_or(0, |(_, epoch)| *epoch)
    }
}

/// Change of the store map, as replicated in the control group's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreChange {
    /// Creates the groups with their first members.
    Form {
        /// Hosts in the order in which groups take them.
        hosts: Vec<StoreAnnouncement>,
        /// Members of each group.
        members: usize,
    },
    /// Replaces one member of a group by another host.
    Swap {
        /// Group that changes.
        group: GroupId,
        /// Identity of the member that leaves.
        out: u64,
        /// Announcement of the host that joins.
        new: Box<StoreAnnouncement>,
    },
    /// Marks a member of a group as whole: it holds every write that its
    /// predecessor acknowledged.
    Whole {
        /// Group of the member.
        group: GroupId,
        /// Identity of the member.
        identity: u64,
        /// Epoch in which the member joined.
        joined: u64,
    },
    /// Marks a host for removal; its data moves to other hosts.
    Retire(Box<str>),
    /// Records a new address of a store whose data is intact.
    Moved {
        /// Identity of the store.
        identity: u64,
        /// Address that the store host listens on.
        addr: SocketAddr,
    },
    /// Records that a store that is no longer a member has lost its data.
    Lost(u64),
}

/// The store hosts of all groups. Each program belongs to one group, whose
/// members hold its turns and charges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMap {
    /// Incremented with every change of the map.
    pub version: u64,
    /// The groups by number. Their number never changes once they are formed,
    /// since it decides to which group a program belongs.
    pub groups: Vec<StoreView>,
    /// Hosts that are marked for removal.
    pub retiring: Vec<Box<str>>,
}

impl StoreMap {
    // -----------------------------------------------------------------------
    // Queries

    /// Group of a program; `None` before the groups are formed.
    #[must_use]
    pub fn group_of(&self, program: ProgramTag) -> Option<GroupId> {
        let groups = u16::try_from(self.groups.len()).unwrap_or(u16::MAX);
        (groups > 0).then(|| ProgramId::root(program.0).group(groups))
    }

    /// The view of a group.
    #[must_use]
    pub fn group(&self, group: GroupId) -> Option<&StoreView> {
        self.groups.get(usize::from(group.0))
    }

    /// All groups with their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (GroupId, &StoreView)> {
        (0..).map(GroupId).zip(&self.groups)
    }

    /// Number of groups in which a host is a member.
    #[must_use]
    pub fn groups_on(&self, host: &str) -> usize {
        let groups = self.groups.iter();
        groups
            .filter(|view| view.member_on_host(host).is_some())
            .count()
    }

    /// Whether a store is a member of some group at this address.
    #[must_use]
    pub fn has_member_at(&self, addr: SocketAddr) -> bool {
        let mut members = self.groups.iter().flat_map(|view| &view.members);
        members.any(|member| member.addr == addr)
    }

    /// Whether a store is known as a member or a source at another address.
    pub(crate) fn has_elsewhere(&self, identity: u64, addr: SocketAddr) -> bool {
        let mut members = self.groups.iter().flat_map(|view| &view.members);
        members.any(|member| {
            let mut sources = member.sources.iter();
            member.identity == identity && member.addr != addr
                || sources.any(|it| it.identity == identity && it.addr != addr)
        })
    }

    /// Whether every member of every group is whole.
    #[must_use]
    pub fn all_whole(&self) -> bool {
        self.groups.iter().all(StoreView::all_whole)
    }

    /// Whether a joining member has the store with this identity as a source.
    #[must_use]
    pub fn copies_from(&self, identity: u64) -> bool {
        let members = self.groups.iter().flat_map(|view| &view.members);
        let mut sources = members.flat_map(|member| &member.sources);
        sources.any(|source| source.identity == identity)
    }

    /// Whether a joining member may wait for a whole source that is no longer a member.
    pub(crate) fn waits_for(&self, identity: u64) -> bool {
        let mut views = self.groups.iter();
        views.any(|view| view.has_former_source(identity))
    }

    /// Number of members that are not whole, over all groups.
    #[must_use]
    pub fn joining(&self) -> usize {
        let members = self.groups.iter().flat_map(|view| &view.members);
        members.filter(|member| !member.whole).count()
    }

    // -----------------------------------------------------------------------
    // Changes

    /// Applies a change. Returns `false` if the change does not apply to this
    /// map.
    pub fn apply(&mut self, change: &StoreChange) -> bool {
        let applied = match change {
            StoreChange::Form { hosts, members } => self.form(hosts, *members),
            StoreChange::Swap { group, out, new } => {
                self.change(*group, |view| view.swap(*out, new))
            }
            StoreChange::Whole {
                group,
                identity,
                joined,
            } => self.change(*group, |view| view.mark_whole(*identity, *joined)),
            StoreChange::Retire(host) => self.retire(host),
            StoreChange::Moved { identity, addr } => self.update_address(*identity, *addr),
            StoreChange::Lost(identity) => {
                let applies = self.waits_for(*identity);
                let views = self.groups.iter_mut();
                let views = views.filter(|view| view.has_former_source(*identity));
                views.for_each(|view| view.remove_source(*identity));
                applies
            }
        };
        self.version += u64::from(applied);
        applied
    }

    /// Forms the groups. With more hosts than members of a group, there are as
    /// many groups as hosts, each on consecutive hosts of a ring, so that every
    /// host is in the same number of groups.
    fn form(&mut self, hosts: &[StoreAnnouncement], members: usize) -> bool {
        if !self.groups.is_empty() || hosts.is_empty() {
            return false;
        }
        let groups = if hosts.len() > members {
            hosts.len()
        } else {
            1
        };
        let ring = || hosts.iter().chain(hosts);
        self.groups = (0..groups)
            .map(|first| {
                let mut view = StoreView::default();
                view.form(ring().skip(first).take(members.min(hosts.len())));
                view
            })
            .collect();
        true
    }

    fn change(&mut self, group: GroupId, change: impl FnOnce(&mut StoreView) -> bool) -> bool {
        let view = self.groups.get_mut(usize::from(group.0));
        view.is_some_and(change)
    }

    fn update_address(&mut self, identity: u64, addr: SocketAddr) -> bool {
        let mut moved = false;
        for view in &mut self.groups {
            moved |= view.update_address(identity, addr);
        }
        moved
    }

    fn retire(&mut self, host: &str) -> bool {
        if self.retiring.iter().any(|it| &**it == host) {
            return false;
        }
        self.retiring.push(host.into());
        true
    }
}
