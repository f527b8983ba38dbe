//! Which store hosts hold turns and charges.

use {
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

/// A member that another one copies from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopySource {
    /// Its identity.
    pub identity: u64,
    /// Address of its links.
    pub addr: SocketAddr,
    /// Whether it was whole when the other one joined.
    pub whole: bool,
}

/// One member of a view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMember {
    /// Name of its host.
    pub host: Box<str>,
    /// Drawn when its data folder was new; a host that lost its disk comes
    /// back under another one.
    pub identity: u64,
    /// Address of its links.
    pub addr: SocketAddr,
    /// Data centre of its host.
    pub data_centre: Box<str>,
    /// Whether it holds all that its predecessor had promised.
    pub whole: bool,
    /// Epoch in which it became a member.
    pub joined: u64,
    /// Members of the view before it joined; it copies from them while it is
    /// not whole.
    pub sources: Vec<CopySource>,
    /// Whole sources that it must have copied from to be whole.
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

/// The members that hold turns and charges.
///
/// Consecutive epochs differ in one member. A store that has seen an epoch
/// refuses requests of earlier ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Rises with each change of the members; 0 before there are any.
    pub epoch: u64,
    /// Rises with each change of any kind.
    pub version: u64,
    /// Members; no identity twice.
    pub members: Vec<StoreMember>,
    /// Hosts that are to be emptied.
    pub retiring: Vec<Box<str>>,
}

impl StoreView {
    /// Members whose sync makes a write durable.
    #[must_use]
    pub const fn write_quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whole members that meet every write quorum.
    #[must_use]
    pub const fn read_quorum(&self) -> usize {
        self.members.len() - self.write_quorum() + 1
    }

    /// The member with an identity.
    #[must_use]
    pub fn member(&self, identity: u64) -> Option<&StoreMember> {
        self.members.iter().find(|it| it.identity == identity)
    }

    /// The sources of a joining member, at the addresses of this view.
    #[must_use]
    pub fn sources_of<'a>(&'a self, joining: &'a StoreMember) -> &'a [CopySource] {
        let known = self.member(joining.identity);
        let known = known.filter(|member| member.joined == joining.joined);
        &known.unwrap_or(joining).sources
    }

    /// Whether a source of a joining member is whole: it was, or has become so.
    #[must_use]
    pub fn source_is_whole(&self, source: &CopySource) -> bool {
        match self.member(source.identity) {
            Some(member) => member.whole,
            None => source.whole,
        }
    }

    /// Whether a joining member is whole once it has copied from these sources.
    ///
    /// What was acknowledged before it joined is on a write quorum of the
    /// members of that time, which meets every `needed` whole ones. Where so
    /// many are not left, more than what all members hold can't be had.
    #[must_use]
    pub fn copy_is_complete(&self, joining: &StoreMember, copied: &[u64]) -> bool {
        let whole = joining
            .sources
            .iter()
            .filter(|source| copied.contains(&source.identity) && self.source_is_whole(source));
        let others = self.members.iter().map(|it| it.identity);
        let mut others = others.filter(|identity| *identity != joining.identity);
        whole.count() >= joining.needed || others.all(|identity| copied.contains(&identity))
    }

    /// The member on a host.
    #[must_use]
    pub fn member_on_host(&self, host: &str) -> Option<&StoreMember> {
        self.members.iter().find(|it| &*it.host == host)
    }

    /// Whether every member is whole.
    #[must_use]
    pub fn all_whole(&self) -> bool {
        self.members.iter().all(|it| it.whole)
    }
}
