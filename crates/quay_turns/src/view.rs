//! The store hosts that hold the turns and charges of one group of programs.

use {
    crate::StoreAnnouncement,
    quay_types::ProgramTag,
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

/// A member that a joining member copies from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopySource {
    /// Identity of the source.
    pub identity: u64,
    /// Address that the store host listens on.
    pub addr: SocketAddr,
    /// Whether the source was whole when the joining member joined. In what
    /// [`StoreView::sources_of`] returns, whether it is whole now.
    pub whole: bool,
}

/// One member of a store view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMember {
    /// Name of the host.
    pub host: Box<str>,
    /// Random identity, generated when the host's data directory was created. A
    /// host that lost its data returns with a new identity.
    pub identity: u64,
    /// Address that the store host listens on.
    pub addr: SocketAddr,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Whether the member holds every write that its predecessor acknowledged.
    pub whole: bool,
    /// Epoch in which the host became a member.
    pub joined: u64,
    /// Members of the view before this member joined, without those that were whole and
    /// have lost their data since. It copies from them until it is whole.
    pub sources: Vec<CopySource>,
    /// Number of whole sources that the member must copy from to become whole.
    pub needed: usize,
}

impl Default for StoreMember {
    fn default() -> Self {
        Self {
            host: "".into(),
            identity: 0,
            addr: (Ipv4Addr::UNSPECIFIED, 0).into(),
            data_centre: "".into(),
            whole: false,
            joined: 0,
            sources: Vec::new(),
            needed: 0,
        }
    }
}

impl StoreMember {
    /// Member that joins in an epoch, without sources.
    fn joining(announcement: &StoreAnnouncement, joined: u64) -> Self {
        Self {
            host: announcement.host.clone(),
            identity: announcement.identity,
            addr: announcement.addr,
            data_centre: announcement.data_centre.clone(),
            joined,
            ..Self::default()
        }
    }
}

/// The store hosts that hold the turns and charges of one group of programs.
///
/// Consecutive epochs differ in one member. A store that has seen an epoch
/// refuses requests of earlier epochs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Incremented when a member joins or is replaced; 0 before the first
    /// members are set.
    pub epoch: u64,
    /// Members, with distinct identities.
    pub members: Vec<StoreMember>,
}

impl StoreView {
    /// Number of members that must sync a write to make it durable: a majority.
    #[must_use]
    pub const fn write_quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Number of whole members that intersect every write quorum.
    #[must_use]
    pub const fn read_quorum(&self) -> usize {
        self.members.len() + 1 - self.write_quorum()
    }

    /// Positions of the members in the order in which they take a program's records. It
    /// is the same on all hosts, and begins at another member for other programs, so that
    /// all members hold equal shares.
    #[must_use]
    pub fn order_for(&self, program: ProgramTag) -> Vec<usize> {
        let count = self.members.len();
        // The lower half selects the group of the program.
        let first = (program.0 >> 32) as usize;
        (0..count).map(|at| (first + at) % count).collect()
    }

    /// Finds a member by its identity.
    #[must_use]
    pub fn member(&self, identity: u64) -> Option<&StoreMember> {
        self.members.iter().find(|it| it.identity == identity)
    }

    /// A joining member as this view has it; as it is given if it is no longer a member.
    pub(crate) fn joined_as<'a>(&'a self, joining: &'a StoreMember) -> &'a StoreMember {
        let known = self.member(joining.identity);
        let known = known.filter(|member| member.joined == joining.joined);
        known.unwrap_or(joining)
    }

    /// Stores from which a joining member copies, with the addresses of this view: its
    /// sources, then members that joined after it, which may hold what a source that was
    /// lost since then had.
    #[must_use]
    pub fn sources_of(&self, joining: &StoreMember) -> Vec<CopySource> {
        let mut sources = self.joined_as(joining).sources.clone();
        for source in &mut sources {
            source.whole = self.source_is_whole(source);
        }
        for member in &self.members {
            if sources.iter().all(|it| it.identity != member.identity) {
                sources.push(CopySource {
                    identity: member.identity,
                    addr: member.addr,
                    whole: member.whole,
                });
            }
        }
        sources.retain(|source| source.identity != joining.identity);
        sources
    }

    /// Whether a source of a joining member is whole, either since the member
    /// joined or since a later change.
    #[must_use]
    pub fn source_is_whole(&self, source: &CopySource) -> bool {
        source.whole || self.member(source.identity).is_some_and(|it| it.whole)
    }

    /// Whether a source that is not whole will never be: it lost its data while it joined.
    #[must_use]
    pub fn is_lost(&self, source: &CopySource) -> bool {
        !source.whole && self.member(source.identity).is_none()
    }

    /// Whether a joining member is whole after it has copied from the sources
    /// in `copied`, as they are now.
    ///
    /// Every write acknowledged before the member joined is on a write quorum
    /// of the former members, which intersects any `needed` whole ones. If so many have
    /// lost their data that fewer remain, a copy from all of these and all other current
    /// members is the best available.
    #[must_use]
    pub fn copy_is_complete(&self, joining: &StoreMember, copied: &[u64]) -> bool {
        self.whole_among(joining, copied) >= joining.needed
            || !self.can_be_copied(joining) && self.all_are_among(joining, copied)
    }

    /// Whether a joining member may accept writes after the sources in `fenced` refuse
    /// requests of earlier epochs: no write quorum of an earlier epoch is left.
    ///
    /// A source that was whole and has lost its data acknowledges nothing either. One that
    /// was not whole tells nothing of the epochs before it joined.
    #[must_use]
    pub fn fence_is_complete(&self, joining: &StoreMember, fenced: &[u64]) -> bool {
        self.whole_among(joining, fenced) + self.lost_sources(joining) >= joining.needed
            || !self.can_be_fenced(joining) && self.all_are_among(joining, fenced)
    }

    /// Whether enough sources of a joining member are whole or can still become so.
    pub(crate) fn can_be_copied(&self, joining: &StoreMember) -> bool {
        let lost = |source: &&CopySource| self.is_lost(source);
        let remaining = joining.sources.len() - joining.sources.iter().filter(lost).count();
        remaining >= joining.needed
    }

    /// Whether enough sources of a joining member refuse earlier epochs or can still do so.
    pub(crate) fn can_be_fenced(&self, joining: &StoreMember) -> bool {
        let lost = |source: &&CopySource| self.is_lost(source);
        let remaining = self.members.len() - joining.sources.iter().filter(lost).count();
        remaining >= joining.needed
    }

    /// Whether a store that is no longer a member is a source that was whole.
    pub(crate) fn has_former_source(&self, identity: u64) -> bool {
        let mut sources = self.members.iter().flat_map(|it| &it.sources);
        self.member(identity).is_none() && sources.any(|it| it.identity == identity && it.whole)
    }

    /// Number of whole sources of a joining member in `done`.
    fn whole_among(&self, joining: &StoreMember, done: &[u64]) -> usize {
        let sources = joining.sources.iter();
        let whole = sources.filter(|it| done.contains(&it.identity) && self.source_is_whole(it));
        whole.count()
    }

    /// Number of sources of a joining member that were whole and have lost their data.
    const fn lost_sources(&self, joining: &StoreMember) -> usize {
        // There was a source for each member.
        self.members.len().saturating_sub(joining.sources.len())
    }

    /// Whether all sources of a joining member that are not lost, and all other members,
    /// are in `done`, and those sources are whole.
    fn all_are_among(&self, joining: &StoreMember, done: &[u64]) -> bool {
        let mut sources = joining.sources.iter().filter(|it| !self.is_lost(it));
        let mut others = self.members.iter().map(|it| it.identity);
        sources.all(|it| done.contains(&it.identity) && self.source_is_whole(it))
            && others.all(|it| it == joining.identity || done.contains(&it))
    }

    /// Finds the member that runs on `host`.
    #[must_use]
    pub fn member_on_host(&self, host: &str) -> Option<&StoreMember> {
        self.members.iter().find(|it| &*it.host == host)
    }

    /// Whether every member is whole.
    #[must_use]
    pub fn all_whole(&self) -> bool {
        self.members.iter().all(|it| it.whole)
    }

    // -----------------------------------------------------------------------
    // Changes; each returns `false` if it does not apply

    /// Sets the first members. They are whole, since no data was stored before.
    pub(crate) fn form<'a>(&mut self, members: impl Iterator<Item = &'a StoreAnnouncement>) {
        self.epoch = 1;
        self.members = members
            .map(|announcement| StoreMember {
                whole: true,
                ..StoreMember::joining(announcement, 1)
            })
            .collect();
    }

    /// Replaces a member by another host, or by its own, which then has lost its data.
    pub(crate) fn swap(&mut self, out: u64, new: &StoreAnnouncement) -> bool {
        let known = self.member(new.identity).is_some();
        let place = self.members.iter().position(|it| it.identity == out);
        let (Some(place), false) = (place, known) else {
            return false;
        };
        self.epoch += 1;
        let sources = self.members.iter().map(|it| CopySource {
            identity: it.identity,
            addr: it.addr,
            whole: it.whole,
        });
        let mut sources: Vec<CopySource> = sources.collect();
        let former = &self.members[place];
        if former.host == new.host && former.whole {
            sources.retain(|it| it.identity != out);
            self.remove_source(out);
        }
        let joining = StoreMember {
            sources,
            needed: self.read_quorum(),
            ..StoreMember::joining(new, self.epoch)
        };
        self.members[place] = joining;
        true
    }

    /// Removes a source that was whole and has lost its data.
    pub(crate) fn remove_source(&mut self, identity: u64) {
        for member in &mut self.members {
            member.sources.retain(|it| it.identity != identity);
        }
    }

    /// Marks a member as whole.
    pub(crate) fn mark_whole(&mut self, identity: u64, joined: u64) -> bool {
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

    /// Sets the address of a member or source.
    pub(crate) fn update_address(&mut self, identity: u64, addr: SocketAddr) -> bool {
        let mut moved = false;
        for member in &mut self.members {
            let sources = member.sources.iter_mut();
            let sources = sources.filter(|it| it.identity == identity);
            let own = (member.identity == identity).then_some(&mut member.addr);
            for known in own.into_iter().chain(sources.map(|it| &mut it.addr)) {
                moved |= std::mem::replace(known, addr) != addr;
            }
        }
        moved
    }
}
