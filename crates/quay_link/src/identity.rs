//! Who a process is to its peers: certificate, private key and trusted root.

use {
    crate::LinkError,
    rustls::pki_types::{CertificateDer, PrivateKeyDer},
    std::fmt,
};

/// Suffix of the DNS names that carry a role.
const ROLE_SUFFIX: &str = ".sapphirequay";

/// What a certificate allows its holder to act as.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkRole {
    /// Takes callers' requests.
    Entry,
    /// Stands before one upstream.
    Sidecar,
    /// Keeps durable state.
    Ledger,
    /// Changes configuration and drains upstreams.
    Operator,
}

impl LinkRole {
    /// Every role.
    pub const ALL: [Self; 4] = [Self::Entry, Self::Sidecar, Self::Ledger, Self::Operator];

    /// Name of the role in settings and file names.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Sidecar => "sidecar",
            Self::Ledger => "ledger",
            Self::Operator => "operator",
        }
    }

    /// The DNS name that a certificate of this role carries.
    #[must_use]
    pub fn dns_name(self) -> String {
        format!("{}{ROLE_SUFFIX}", self.name())
    }

    /// The role that a DNS name stands for, if any.
    pub(crate) fn from_dns_name(name: &str) -> Option<Self> {
        let role = name.strip_suffix(ROLE_SUFFIX)?;
        Self::ALL.into_iter().find(|known| known.name() == role)
    }
}

impl fmt::Display for LinkRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Certificate, private key and trusted root of one process.
pub struct Identity {
    /// Root that peers' certificates must descend from.
    pub(crate) root: CertificateDer<'static>,
    /// Own certificate, then its issuers.
    pub(crate) chain: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate.
    pub(crate) key: PrivateKeyDer<'static>,
}

impl Identity {
    /// A second copy, for a second endpoint.
    #[must_use]
    pub fn duplicate(&self) -> Self {
        Self {
            root: self.root.clone(),
            chain: self.chain.clone(),
            key: self.key.clone_key(),
        }
    }
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The private key stays out of logs.
        f.debug_struct("Identity")
            .field("certificates", &self.chain.len())
            .finish_non_exhaustive()
    }
}

/// Roles in a certificate that TLS has verified already.
pub(crate) fn roles_of(cert: &CertificateDer<'_>) -> Result<Vec<LinkRole>, LinkError> {
    let cert = webpki::EndEntityCert::try_from(cert)
        .map_err(|err| LinkError::Keys(format!("peer certificate: {err}").into()))?;
    Ok(cert
        .valid_dns_names()
        .filter_map(LinkRole::from_dns_name)
        .collect())
}
