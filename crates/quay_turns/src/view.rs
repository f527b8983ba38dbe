//! Which store hosts hold turns and charges.

use {
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

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
    /// Members that it copies from while it is not whole: those of the view
    /// before it joined.
    pub sources: Vec<(u64, SocketAddr)>,
    /// Sources that it must have copied from to be whole.
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

    /// The member on a host.
    #[must_use]
    pub fn on_host(&self, host: &str) -> Option<&StoreMember> {
        self.members.iter().find(|it| &*it.host == host)
    }

    /// Whether every member is whole.
    #[must_use]
    pub fn all_whole(&self) -> bool {
        self.members.iter().all(|it| it.whole)
    }
}
