//! Settings of the ledger role.

use {
    crate::settings::Problem,
    serde::Deserialize,
    std::{collections::BTreeSet, fs, io, net::SocketAddr, path::PathBuf},
};

/// Settings of the ledger role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerSettings {
    /// Data folder, whose content must survive restarts; `None` keeps all data
    /// in memory.
    pub data: Option<PathBuf>,
    /// Number of groups that programs are distributed over, excluding the
    /// control group.
    pub groups: u16,
    /// Node id of this host in the groups that it bootstraps; 0 uses the id
    /// stored in the data folder.
    pub node: u64,
    /// Whether a host with a new data folder bootstraps the groups with
    /// `peers`. Must be removed after the first start: a host that lost its
    /// disk must not rejoin with its old identity.
    pub bootstrap: bool,
    /// Initial members of the groups, including this host; the same on every
    /// host.
    pub peers: Vec<PeerSettings>,
    /// File with the initial configuration document of a new control group;
    /// ignored by a group that already has a document.
    pub document: Option<PathBuf>,
    /// Text of the initial document, for programs that embed the daemon; takes
    /// precedence over `document`.
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

/// Initial member of the groups.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Node id, from 1.
    pub node: u64,
    /// UDP address for links to the member.
    pub addr: SocketAddr,
    /// Data centre of the member's host.
    #[serde(default)]
    pub data_centre: Box<str>,
}

impl LedgerSettings {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// Returns the problem and its key.
    pub fn check(&self) -> Result<(), Problem> {
        let problem = |key, message: &str| Err(Problem::new("ledger", key, message));
        if self.groups == 0 {
            return problem("groups", "must be at least 1");
        }
        let mut nodes = BTreeSet::new();
        for peer in &self.peers {
            if peer.node == 0 {
                return problem("peers", "node = 0 is not a valid id");
            }
            if !nodes.insert(peer.node) {
                return problem("peers", &format!("duplicate node = {}", peer.node));
            }
        }
        if !self.bootstrap {
            return Ok(());
        }
        if self.data.is_none() {
            return problem("bootstrap", "requires a data folder");
        }
        if !nodes.contains(&self.node) {
            return problem("node", &format!("{} is not one of the peers", self.node));
        }
        Ok(())
    }

    /// Returns the text of the initial document, if the settings contain one.
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
