//! How the members of the stores are exchanged.

use {
    crate::{CopySource, StoreMember, StoreView},
    indexmap::IndexMap,
    quay_types::Time,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// What a store host says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAnnouncement {
    /// Name of the host.
    pub host: Box<str>,
    /// Drawn when its data folder was new.
    pub identity: u64,
    /// Address of its links.
    pub addr: SocketAddr,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Epoch in which it joined and since when it is whole; 0 before.
    pub whole: u64,
}

/// A change of the view, as it is replicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreChange {
    /// The first members; they are whole because nothing was kept before.
    Form(Vec<StoreAnnouncement>),
    /// One member takes the place of another.
    Swap {
        /// Identity of the one that goes.
        out: u64,
        /// The one that comes.
        new: Box<StoreAnnouncement>,
    },
    /// A member holds all that its predecessor had promised.
    Whole {
        /// The member.
        identity: u64,
        /// Epoch in which it joined.
        joined: u64,
    },
    /// A host is to be emptied.
    Retire(Box<str>),
    /// A member, with its disk, is at another address.
    Moved {
        /// The member.
        identity: u64,
        /// Address of its links.
        addr: SocketAddr,
    },
}

impl StoreView {
    /// Carries out a change; `false` if it does not fit the view.
    pub fn apply(&mut self, change: &StoreChange) -> bool {
        let fits = match change {
            StoreChange::Form(hellos) => self.form(hellos),
            StoreChange::Swap { out, new } => self.swap(*out, new),
            StoreChange::Whole { identity, joined } => self.mark_whole(*identity, *joined),
            StoreChange::Retire(host) => self.retire(host),
            StoreChange::Moved { identity, addr } => self.moved(*identity, *addr),
        };
        self.version += u64::from(fits);
        fits
    }

    fn form(&mut self, hellos: &[StoreAnnouncement]) -> bool {
        if self.epoch > 0 || hellos.is_empty() {
            return false;
        }
        self.epoch = 1;
        self.members = hellos.iter().map(|hello| member(hello, 1)).collect();
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

    fn moved(&mut self, identity: u64, addr: SocketAddr) -> bool {
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

/// The member that a hello stands for.
fn member(hello: &StoreAnnouncement, joined: u64) -> StoreMember {
    StoreMember {
        host: hello.host.clone(),
        identity: hello.identity,
        addr: hello.addr,
        data_centre: hello.data_centre.clone(),
        joined,
        ..StoreMember::default()
    }
}

/// When members are exchanged.
#[derive(Debug, Clone, Copy)]
pub struct MembershipSettings {
    /// Members that a view should have: two for each loss to be borne, and one.
    pub members: usize,
    /// Time that first members have to be heard, from the first one.
    pub form_after: Duration,
    /// Time after which fewer than `members` form a view.
    pub form_partial_after: Duration,
    /// Silence after which a host that came since takes a member's place.
    pub replace_after: Duration,
    /// Silence after which any spare host takes a member's place.
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
            // Several hellos, and less than the 4.8 s in which a successor must be whole.
            replace_after: Duration::from_millis(1_500),
            // Longer than an ordinary freeze: a swap copies everything.
            replace_with_spare_after: Duration::from_secs(8),
        }
    }
}

#[derive(Debug)]
struct Heard {
    hello: StoreAnnouncement,
    first: Time,
    last: Time,
}

/// What the leader of the control group has heard of store hosts, and what it
/// makes of it. Soft: a new leader hears it again.
#[derive(Debug, Default)]
pub struct MembershipPlanner {
    cfg: MembershipSettings,
    heard: IndexMap<Box<str>, Heard>,
    /// Since when this leader has listened.
    since: Time,
}

impl MembershipPlanner {
    /// A roster that has heard nobody.
    #[must_use]
    pub fn new(cfg: MembershipSettings, now: Time) -> Self {
        Self {
            cfg,
            since: now,
            ..Self::default()
        }
    }

    /// Takes what a host says of itself.
    pub fn record_announcement(&mut self, now: Time, hello: StoreAnnouncement) {
        match self.heard.get_mut(&hello.host) {
            Some(heard) if heard.hello.identity == hello.identity => {
                heard.hello = hello;
                heard.last = now;
            }
            _ => {
                let heard = Heard {
                    hello,
                    first: now,
                    last: now,
                };
                self.heard.insert(heard.hello.host.clone(), heard);
            }
        }
    }

    /// Whether a host is known.
    #[must_use]
    pub fn knows(&self, host: &str) -> bool {
        self.heard.contains_key(host)
    }

    /// Whether enough hosts would be left without `host`.
    #[must_use]
    pub fn can_retire(&self, now: Time, view: &StoreView, host: &str) -> bool {
        view.member_on_host(host).is_none() || self.spare(now, view, Some(host)).is_some()
    }

    /// The next change of the view, if one is due.
    #[must_use]
    pub fn next_change(&self, now: Time, view: &StoreView) -> Option<StoreChange> {
        if view.epoch == 0 {
            return self.form(now);
        }
        self.readdressed(view)
            .or_else(|| self.became_whole(view))
            .or_else(|| self.lost_disk(view))
            .or_else(|| self.moved(now, view))
    }

    fn form(&self, now: Time) -> Option<StoreChange> {
        let first = self.heard.values().map(|it| it.first).min()?;
        let waited = now.since(first);
        let mut hellos: Vec<&StoreAnnouncement> = self
            .heard
            .values()
            .map(|it| &it.hello)
            .filter(|hello| hello.bootstrap)
            .collect();
        let enough = hellos.len() >= self.cfg.members && waited >= self.cfg.form_after;
        let anyway = !hellos.is_empty() && waited >= self.cfg.form_partial_after;
        if !enough && !anyway {
            return None;
        }
        hellos.sort_by(|a, b| a.host.cmp(&b.host));
        let members = spread(&hellos, self.cfg.members);
        Some(StoreChange::Form(members))
    }

    /// A member that has come back, with its disk, at another address.
    fn readdressed(&self, view: &StoreView) -> Option<StoreChange> {
        view.members.iter().find_map(|member| {
            let hello = &self.heard.get(&member.host)?.hello;
            let same = hello.identity == member.identity;
            (same && hello.addr != member.addr).then_some(StoreChange::Moved {
                identity: member.identity,
                addr: hello.addr,
            })
        })
    }

    /// A member that has copied all it needs.
    fn became_whole(&self, view: &StoreView) -> Option<StoreChange> {
        let mut joining = view.members.iter().filter(|it| !it.whole);
        let done = joining.find(|it| {
            let heard = self.heard.get(&it.host);
            heard.is_some_and(|heard| {
                heard.hello.identity == it.identity && heard.hello.whole == it.joined
            })
        })?;
        Some(StoreChange::Whole {
            identity: done.identity,
            joined: done.joined,
        })
    }

    /// A member whose host has come back with an empty disk.
    fn lost_disk(&self, view: &StoreView) -> Option<StoreChange> {
        view.members.iter().find_map(|member| {
            let heard = self.heard.get(&member.host)?;
            let new = heard.hello.identity != member.identity;
            new.then(|| StoreChange::Swap {
                out: member.identity,
                new: Box::new(heard.hello.clone()),
            })
        })
    }

    /// A member that is silent or to be emptied, and a host to take its place.
    fn moved(&self, now: Time, view: &StoreView) -> Option<StoreChange> {
        // One at a time: the others hold what the newcomer copies.
        if !view.all_whole() {
            return None;
        }
        let out = view.members.iter().find_map(|member| {
            let retiring = view.retiring.contains(&member.host);
            let heard = self.heard.get(&member.host);
            let last = heard.map_or(self.since, |it| it.last);
            let silence = now.since(last);
            let spare = self.spare(now, view, None)?;
            let came_since = spare.first > last && silence >= self.cfg.replace_after;
            let due = retiring || came_since || silence >= self.cfg.replace_with_spare_after;
            due.then_some((member.identity, spare))
        });
        let (out, spare) = out?;
        Some(StoreChange::Swap {
            out,
            new: Box::new(spare.hello.clone()),
        })
    }

    /// The host that has come last of those that are alive and no members.
    fn spare(&self, now: Time, view: &StoreView, without: Option<&str>) -> Option<&Heard> {
        let spares = self.heard.values().filter(|it| {
            let host = &*it.hello.host;
            view.member_on_host(host).is_none()
                && view.member(it.hello.identity).is_none()
                && !view.retiring.iter().any(|retiring| &**retiring == host)
                && Some(host) != without
                && now.since(it.last) < self.cfg.replace_after
        });
        spares.max_by_key(|it| it.first)
    }
}

/// Takes `count` hosts, one of each data centre by turns.
fn spread(hellos: &[&StoreAnnouncement], count: usize) -> Vec<StoreAnnouncement> {
    let mut centres: IndexMap<&str, Vec<&StoreAnnouncement>> = IndexMap::new();
    for hello in hellos {
        centres.entry(&hello.data_centre).or_default().push(hello);
    }
    let mut taken = Vec::new();
    let rounds = centres.values().map(Vec::len).max().unwrap_or_default();
    for round in 0..rounds {
        for hosts in centres.values() {
            if let Some(hello) = hosts.get(round)
                && taken.len() < count
            {
                taken.push((*hello).clone());
            }
        }
    }
    taken
}
