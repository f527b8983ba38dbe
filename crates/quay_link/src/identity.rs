//! Who a process is to its peers: certificate, private key and trusted root.

use {
    crate::LinkError,
    rustls::pki_types::{CertificateDer, PrivateKeyDer},
    std::fmt,
};

/// Suffix of the DNS names that carry a role.
const ROLE_SUFFIX: &str = ".sapphirequay";

/// Suffix of the DNS name that carries the holder's own name.
const HOLDER_SUFFIX: &str = ".holder.sapphirequay";

/// Longest name of a holder, as long as a DNS label.
const MAX_HOLDER_BYTES: usize = 63;

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
    /// Roots of which peers' certificates must descend from one: two while
    /// a new root takes the place of an old one.
    pub(crate) roots: Vec<CertificateDer<'static>>,
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
            roots: self.roots.clone(),
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

/// The DNS name by which a certificate carries its holder's name.
///
/// # Errors
///
/// [`LinkError::Keys`] unless the name is lower-case letters, digits and dashes.
pub(crate) fn holder_dns_name(name: &str) -> Result<String, LinkError> {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_HOLDER_BYTES || !name.chars().all(plain) {
        let text = format!("name {name:?}: use a-z, 0-9 and -, at most {MAX_HOLDER_BYTES} bytes");
        return Err(LinkError::Keys(text.into()));
    }
    Ok(format!("{name}{HOLDER_SUFFIX}"))
}

/// What a certificate says of its holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Holder {
    /// What the holder may act as.
    pub roles: Vec<LinkRole>,
    /// The holder's own name, if the certificate carries one.
    pub name: Option<Box<str>>,
}

/// Reads a certificate that TLS has verified already.
pub(crate) fn holder_of(cert: &CertificateDer<'_>) -> Result<Holder, LinkError> {
    let cert = webpki::EndEntityCert::try_from(cert)
        .map_err(|err| LinkError::Keys(format!("peer certificate: {err}").into()))?;
    let mut holder = Holder::default();
    for dns in cert.valid_dns_names() {
        match dns.strip_suffix(HOLDER_SUFFIX) {
            Some(name) => holder.name = Some(name.into()),
            None => holder.roles.extend(LinkRole::from_dns_name(dns)),
        }
    }
    Ok(holder)
}
