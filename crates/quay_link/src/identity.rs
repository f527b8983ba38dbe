//! Identity of a process on its links: certificate, private key and trusted
//! roots.

use {
    crate::LinkError,
    rustls::pki_types::{CertificateDer, PrivateKeyDer},
    std::fmt,
};

/// Suffix of the DNS names in a certificate that encode a role.
const ROLE_SUFFIX: &str = ".sapphirequay";

/// Suffix of the DNS name in a certificate that encodes its holder's name.
const HOLDER_SUFFIX: &str = ".holder.sapphirequay";

/// Maximum length of a holder's name: that of a DNS label.
const MAX_HOLDER_BYTES: usize = 63;

/// Role that a certificate authorises its holder to act in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkRole {
    /// Accepts callers' requests.
    Entry,
    /// Proxies requests to one upstream.
    Sidecar,
    /// Stores durable state.
    Ledger,
    /// Changes configuration and drains upstreams.
    Operator,
}

impl LinkRole {
    /// All roles.
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

    /// DNS name in the certificates of this role.
    #[must_use]
    pub fn dns_name(self) -> String {
        format!("{}{ROLE_SUFFIX}", self.name())
    }

    /// Role encoded in a DNS name, if any.
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

/// Certificate chain, private key and trusted roots of one process.
pub struct Identity {
    /// Trusted roots; a peer's certificate must chain to one of them. Contains
    /// two roots during a root rotation.
    pub(crate) roots: Vec<CertificateDer<'static>>,
    /// Certificate of the process, then its issuers.
    pub(crate) chain: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate in `chain`.
    pub(crate) key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Copies the identity for use by another endpoint.
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
        // Keeps the private key out of logs.
        f.debug_struct("Identity")
            .field("certificates", &self.chain.len())
            .finish_non_exhaustive()
    }
}

/// DNS name that encodes a holder's name in a certificate.
///
/// # Errors
///
/// [`LinkError::Keys`] unless the name consists of 1 to 63 lower-case letters,
/// digits and dashes.
pub(crate) fn holder_dns_name(name: &str) -> Result<String, LinkError> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_HOLDER_BYTES || !name.chars().all(allowed) {
        let text = format!(
            "invalid holder name {name:?}: use 1 to {MAX_HOLDER_BYTES} characters of a-z, 0-9 and -"
        );
        return Err(LinkError::Keys(text.into()));
    }
    Ok(format!("{name}{HOLDER_SUFFIX}"))
}

/// Holder of a certificate.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Holder {
    /// Roles granted to the holder.
    pub roles: Vec<LinkRole>,
    /// Name of the holder, if the certificate contains one.
    pub name: Option<Box<str>>,
}

/// Extracts the holder from a certificate that TLS has already verified.
pub(crate) fn certificate_holder(cert: &CertificateDer<'_>) -> Result<Holder, LinkError> {
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
