//! Plans the membership of the groups of store hosts.

use {
    crate::{StoreAnnouncement, StoreChange, StoreMap, StoreMember, StoreView},
    indexmap::IndexMap,
    quay_types::Time,
    std::{cmp::Reverse, time::Duration},
};

/// Times that control when members are added and replaced.
#[derive(Debug, Clone, Copy)]
pub struct MembershipSettings {
    /// Members that a group should have: `2 f + 1` to tolerate `f` failures.
    pub members: usize,
    /// Time to wait for more hosts, from the first announcement, before groups
    /// of `members` hosts are formed.
    pub form_after: Duration,
    /// Time from the first announcement after which a group is formed with
    /// fewer than `members` hosts.
    pub form_partial_after: Duration,
    /// Time without an announcement after which a member is replaced by a host
    /// that first announced itself after the member's last announcement.
    pub replace_after: Duration,
    /// Time without an announcement after which a member is replaced by any
    /// spare host.
    pub replace_with_spare_after: Duration,
    /// Maximum number of members that join at the same time because another
    /// one is silent or retires; bounds what is copied at a time.
    pub concurrent_joins: usize,
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
            concurrent_joins: 8,
        }
    }
}

#[derive(Debug)]
struct KnownHost {
    announcement: StoreAnnouncement,
    first_announced: Time,
    last_announced: Time,
    /// Earlier identities of the host, whose data is lost.
    lost: Vec<u64>,
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
            former => {
                let lost = former.map(|it| {
                    let mut lost = std::mem::take(&mut it.lost);
                    lost.push(it.announcement.identity);
                    lost
                });
                let known = KnownHost {
                    announcement,
                    first_announced: now,
                    last_announced: now,
                    lost: lost.unwrap_or_default(),
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

    /// Whether `host` can be retired: a live host can take its place in each of
    /// its groups.
    #[must_use]
    pub fn can_retire(&self, now: Time, map: &StoreMap, host: &str) -> bool {
        let mut views = map.groups.iter();
        views.all(|view| {
            let member = view.member_on_host(host);
            member.is_none_or(|out| {
                let mut spares = self.spares(now, map, view, out.identity);
                spares.any(|spare| &*spare.announcement.host != host)
            })
        })
    }

    /// Whether a retiring host can be removed: it is in no group, and no joining
    /// member copies from it.
    #[must_use]
    pub fn is_empty(&self, map: &StoreMap, host: &str) -> bool {
        let copies = match self.known.get(host) {
            Some(known) => map.copies_from(known.announcement.identity),
            None => !map.all_whole(),
        };
        map.groups_on(host) == 0 && !copies
    }

    /// Returns the changes of the map that are due, in order.
    #[must_use]
    pub fn due_changes(&self, now: Time, map: &StoreMap) -> Vec<StoreChange> {
        let mut map = map.clone();
        let mut changes = Vec::new();
        while let Some(change) = self.next_change(now, &map) {
            if !map.apply(&change) {
                break;
            }
            changes.push(change);
        }
        changes
    }

    /// Returns the next change of the map, if one is due.
    #[must_use]
    pub fn next_change(&self, now: Time, map: &StoreMap) -> Option<StoreChange> {
        if map.groups.is_empty() {
            return self.form(now);
        }
        self.find_address_change(map)
            .or_else(|| self.find_completed_member(map))
            .or_else(|| self.find_data_loss(map))
            .or_else(|| self.find_lost_source(map))
            .or_else(|| self.find_replacement(now, map))
            .or_else(|| self.find_balancing_move(now, map))
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
        Some(StoreChange::Form {
            hosts: alternate_data_centres(&announcements),
            members: self.cfg.members,
        })
    }

    /// Finds a member, or a former one that is still a source, that announces its known
    /// identity from a new address.
    fn find_address_change(&self, map: &StoreMap) -> Option<StoreChange> {
        let announcements = self.known.values().map(|it| &it.announcement);
        let mut moved = announcements.filter(|it| map.has_elsewhere(it.identity, it.addr));
        moved.next().map(|announcement| StoreChange::Moved {
            identity: announcement.identity,
            addr: announcement.addr,
        })
    }

    /// Finds a joining member that has finished copying.
    fn find_completed_member(&self, map: &StoreMap) -> Option<StoreChange> {
        map.iter().find_map(|(group, view)| {
            let mut joining = view.members.iter().filter(|it| !it.whole);
            let done = joining.find(|it| {
                let known = self.known.get(&it.host).map(|known| &known.announcement);
                known.is_some_and(|known| {
                    known.identity == it.identity && known.whole_epoch(group) == it.joined
                })
            })?;
            Some(StoreChange::Whole {
                group,
                identity: done.identity,
                joined: done.joined,
            })
        })
    }

    /// Finds a member whose host announces a new identity, since its data was
    /// lost.
    fn find_data_loss(&self, map: &StoreMap) -> Option<StoreChange> {
        map.iter().find_map(|(group, view)| {
            view.members.iter().find_map(|member| {
                let known = self.known.get(&member.host)?;
                let new = known.announcement.identity != member.identity;
                new.then(|| StoreChange::Swap {
                    group,
                    out: member.identity,
                    new: Box::new(known.announcement.clone()),
                })
            })
        })
    }

    /// Finds a source that is no longer a member and whose host announces a new identity.
    fn find_lost_source(&self, map: &StoreMap) -> Option<StoreChange> {
        let mut lost = self.known.values().flat_map(|it| &it.lost);
        let lost = lost.find(|identity| map.waits_for(**identity))?;
        Some(StoreChange::Lost(*lost))
    }

    /// Finds a member that is silent or retiring, and a spare host to replace
    /// it.
    fn find_replacement(&self, now: Time, map: &StoreMap) -> Option<StoreChange> {
        if map.joining() >= self.cfg.concurrent_joins {
            return None;
        }
        // Members of one group are replaced one at a time, since a joining
        // member copies from the other members.
        let mut stable = map.iter().filter(|(_, view)| view.all_whole());
        stable.find_map(|(group, view)| {
            view.members.iter().find_map(|member| {
                let spare = self.replacement(now, map, view, member)?;
                Some(StoreChange::Swap {
                    group,
                    out: member.identity,
                    new: Box::new(spare.announcement.clone()),
                })
            })
        })
    }

    /// Host that should replace a member now, if the member is due to be
    /// replaced.
    fn replacement<'a>(
        &'a self,
        now: Time,
        map: &'a StoreMap,
        view: &'a StoreView,
        member: &StoreMember,
    ) -> Option<&'a KnownHost> {
        let retiring = map.retiring.contains(&member.host);
        let known = self.known.get(&member.host);
        let last = known.map_or(self.listening_since, |it| it.last_announced);
        let silence = now.since(last);
        if !retiring && silence < self.cfg.replace_after {
            return None;
        }
        if !retiring && !self.can_be_copied_without(now, map, view, member) {
            return None;
        }
        let spares = || self.spares(now, map, view, member.identity);
        if retiring || silence >= self.cfg.replace_with_spare_after {
            return spares().max_by_key(|it| Self::suitability(map, view, member, it));
        }
        // A host that appeared while the member was silent was added for it.
        let newer = spares().filter(|it| it.first_announced > last);
        newer.max_by_key(|it| it.first_announced)
    }

    /// Whether enough other members are live for a copy of what a silent member holds.
    /// Otherwise a replacement would have to wait for that member, which is of use sooner
    /// if it stays.
    fn can_be_copied_without(
        &self,
        now: Time,
        map: &StoreMap,
        view: &StoreView,
        member: &StoreMember,
    ) -> bool {
        let others = view
            .members
            .iter()
            .filter(|it| it.identity != member.identity);
        let live = others.filter(|it| {
            let known = self.known.get(&it.host);
            it.whole && known.is_some_and(|known| self.is_live(now, map, known))
        });
        live.count() >= view.read_quorum().min(view.members.len() - 1)
    }

    /// Finds a member on a host with at least two groups more than some other
    /// live host, which takes its place. Done while no other member joins, so
    /// that hosts fill gradually.
    fn find_balancing_move(&self, now: Time, map: &StoreMap) -> Option<StoreChange> {
        if !map.all_whole() {
            return None;
        }
        let live = self.known.values().filter(|it| self.is_live(now, map, it));
        let mut load: Vec<(usize, &KnownHost)> = live
            .map(|it| (map.groups_on(&it.announcement.host), it))
            .collect();
        load.sort_by_key(|(groups, _)| *groups);
        let (least, taker) = load.first()?;
        let (most, giver) = load.last()?;
        if *most < least + 2 {
            return None;
        }
        let moves = map.iter().filter_map(|(group, view)| {
            let out = view.member_on_host(&giver.announcement.host)?;
            let mut spares = self.spares(now, map, view, out.identity);
            let taker = spares.find(|it| it.announcement.host == taker.announcement.host)?;
            Some((group, view, out, taker))
        });
        let (group, _, out, taker) =
            moves.max_by_key(|(_, view, out, taker)| Self::suitability(map, view, out, taker))?;
        Some(StoreChange::Swap {
            group,
            out: out.identity,
            new: Box::new(taker.announcement.clone()),
        })
    }

    /// Whether a host announces itself and is not being retired.
    fn is_live(&self, now: Time, map: &StoreMap, host: &KnownHost) -> bool {
        !map.retiring.contains(&host.announcement.host)
            && now.since(host.last_announced) < self.cfg.replace_after
    }

    /// Live hosts that could replace the member `out` of a group.
    fn spares<'a>(
        &'a self,
        now: Time,
        map: &'a StoreMap,
        view: &'a StoreView,
        out: u64,
    ) -> impl Iterator<Item = &'a KnownHost> {
        self.known.values().filter(move |it| {
            let announcement = &it.announcement;
            view.member_on_host(&announcement.host).is_none()
                && view.member(announcement.identity).is_none()
                && announcement.identity != out
                && self.is_live(now, map, it)
        })
    }

    /// How suitable a host is to replace the member `out` of a group: the more
    /// the greater. A data centre without another member comes first, then few
    /// groups on the host, then a late first announcement.
    fn suitability(
        map: &StoreMap,
        view: &StoreView,
        out: &StoreMember,
        host: &KnownHost,
    ) -> (bool, Reverse<usize>, Time) {
        let announcement = &host.announcement;
        let mut others = view.members.iter().filter(|it| it.identity != out.identity);
        let apart = others.all(|it| it.data_centre != announcement.data_centre);
        let groups = map.groups_on(&announcement.host);
        (apart, Reverse(groups), host.first_announced)
    }
}

/// Orders hosts so that consecutive ones are in different data centres.
fn alternate_data_centres(announcements: &[&StoreAnnouncement]) -> Vec<StoreAnnouncement> {
    let mut data_centres: IndexMap<&str, Vec<&StoreAnnouncement>> = IndexMap::new();
    for announcement in announcements {
        data_centres
            .entry(&announcement.data_centre)
            .or_default()
            .push(announcement);
    }
    let mut ordered = Vec::new();
    let rounds = data_centres
        .values()
        .map(Vec::len)
        .max()
        .unwrap_or_default();
    for round in 0..rounds {
        for hosts in data_centres.values() {
            if let Some(announcement) = hosts.get(round) {
                ordered.push((*announcement).clone());
            }
        }
    }
    ordered
}
