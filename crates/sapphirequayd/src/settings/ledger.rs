//! The ledger role.

use {
    crate::settings::Problem,
    serde::Deserialize,
    std::{collections::BTreeSet, fs, io, net::SocketAddr, path::PathBuf},
};

/// The ledger role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerSettings {
    /// Folder of all that must survive; without one it lives in memory.
    pub data: Option<PathBuf>,
    /// Groups that programs are spread over, beside the control group.
    pub groups: u16,
    /// Identity of this host in a group that it starts; 0 leaves it to the data
    /// folder.
    pub node: u64,
    /// Whether a new data folder starts a group of `peers`. To be taken out
    /// after the first start: a host that lost its disk must not come back as
    /// its old self.
    pub bootstrap: bool,
    /// First members of the groups, this host included; the same on each.
    pub peers: Vec<PeerSettings>,
    /// File of the first configuration document, for a new control group. A
    /// group that has a document takes no notice of it.
    pub document: Option<PathBuf>,
    /// Text of the first document, where another program runs the daemon.
    #[serde(skip)]
    pub document_text: Option<Box<str>>,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            data: None,
            groups: 1,
            node: 0,
            bootstrap: false,
            peers: Vec::new(),
            document: None,
            document_text: None,
        }
    }
}

/// A member of the groups that are started.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Its identity, from 1.
    pub node: u64,
    /// UDP address of its links.
    pub addr: SocketAddr,
    /// Data centre of its host.
    #[serde(default)]
    pub data_centre: Box<str>,
}

impl LedgerSettings {
    /// Checks that the settings fit each other.
    ///
    /// # Errors
    ///
    /// Names the key and what is wrong with it.
    pub fn check(&self) -> Result<(), Problem> {
        let problem = |key, message: &str| Err(Problem::new("ledger", key, message));
        if self.groups == 0 {
            return problem("groups", "it is 0, but at least one group is needed");
        }
        let mut nodes = BTreeSet::new();
        for peer in &self.peers {
            if peer.node == 0 {
                return problem("peers", "node = 0 is no identity");
            }
            if !nodes.insert(peer.node) {
                return problem("peers", &format!("node = {} is there twice", peer.node));
            }
        }
        if !self.bootstrap {
            return Ok(());
        }
        if self.data.is_none() {
            return problem("bootstrap", "it needs a data folder");
        }
        if !nodes.contains(&self.node) {
            return problem("node", &format!("{} is not among the peers", self.node));
        }
        Ok(())
    }

    /// The text of the first document, if the settings name one.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    pub fn initial_document(&self) -> io::Result<Option<Box<str>>> {
        match (&self.document_text, &self.document) {
            (Some(text), _) => Ok(Some(text.clone())),
            (None, Some(path)) => Ok(Some(fs::read_to_string(path)?.into())),
            (None, None) => Ok(None),
        }
    }
}
