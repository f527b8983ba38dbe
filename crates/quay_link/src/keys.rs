//! Key files, and keys made on the spot for development.

use {
    crate::{Identity, LinkError, LinkRole, identity::holder_dns_name},
    quay_types::ContentDigest,
    rcgen::{
        BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer,
        KeyPair, KeyUsagePurpose,
    },
    rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _},
    std::{
        fmt, fs, io,
        path::{Path, PathBuf},
    },
};

/// Where a process finds its keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyFiles {
    /// PEM file of the trusted root.
    pub root: PathBuf,
    /// PEM file of the own certificate and its issuers.
    pub cert: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
}

impl KeyFiles {
    /// The files that `sapphirequay keys init` writes for `role`.
    #[must_use]
    pub fn for_role(dir: &Path, role: LinkRole) -> Self {
        Self {
            root: dir.join("root.pem"),
            cert: dir.join(format!("{role}.pem")),
            key: dir.join(format!("{role}.key.pem")),
        }
    }

    /// Digest of the files' contents, by which a change is seen.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        let files = [&self.root, &self.cert, &self.key];
        let bytes = files.map(|path| fs::read(path).unwrap_or_default());
        ContentDigest::of(&bytes.each_ref().map(Vec::as_slice))
    }

    /// Reads the files.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] names the file that is missing or malformed.
    pub fn load(&self) -> Result<Identity, LinkError> {
        let roots = certificates(&self.root)?;
        let chain = certificates(&self.cert)?;
        let key =
            PrivateKeyDer::from_pem_file(&self.key).map_err(|err| unusable(&self.key, &err))?;
        Ok(Identity { roots, chain, key })
    }

    /// The files that `sapphirequay keys init` writes for an operator.
    #[must_use]
    pub fn for_operator(dir: &Path, name: &str) -> Self {
        Self {
            root: dir.join("root.pem"),
            cert: dir.join(format!("operator-{name}.pem")),
            key: dir.join(format!("operator-{name}.key.pem")),
        }
    }
}

/// Every certificate in a file, which must hold one at least.
fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, LinkError> {
    let certs = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|err| unusable(path, &err))?;
    if certs.is_empty() {
        return Err(unusable(path, &"no certificate in the file"));
    }
    Ok(certs)
}

/// Says which file can't be used.
fn unusable(path: &Path, why: &dyn fmt::Display) -> LinkError {
    LinkError::Keys(format!("{}: {why}", path.display()).into())
}

/// A root and its issuer key, made on the spot.
pub struct DevelopmentKeys {
    /// The root in PEM.
    root_pem: String,
    /// Signs certificates of the roles.
    issuer: Issuer<'static, KeyPair>,
}

impl fmt::Debug for DevelopmentKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DevelopmentKeys").finish_non_exhaustive()
    }
}

impl DevelopmentKeys {
    /// Makes a new root.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] if the system has no random numbers.
    pub fn generate() -> Result<Self, LinkError> {
        let mut params = CertificateParams::new(Vec::new()).map_err(|err| failed(&err))?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![
            KeyUsagePurpose::KeyCertSign,
            KeyUsagePurpose::DigitalSignature,
        ];
        params
            .distinguished_name
            .push(DnType::CommonName, "sapphirequay development root");
        let key = KeyPair::generate().map_err(|err| failed(&err))?;
        let root = params.self_signed(&key).map_err(|err| failed(&err))?;
        Ok(Self {
            root_pem: root.pem(),
            issuer: Issuer::new(params, key),
        })
    }

    /// Makes a certificate for a role and the name of its holder, and returns
    /// it with its key, both in PEM.
    fn issue(&self, role: LinkRole, holder: &str) -> Result<(String, String), LinkError> {
        let names = vec![role.dns_name(), holder_dns_name(holder)?];
        let mut params = CertificateParams::new(names).map_err(|err| failed(&err))?;
        params.distinguished_name.push(DnType::CommonName, holder);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().map_err(|err| failed(&err))?;
        let cert = params
            .signed_by(&key, &self.issuer)
            .map_err(|err| failed(&err))?;
        Ok((cert.pem(), key.serialize_pem()))
    }

    /// Makes an identity for `role` without writing a file.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] if a key can't be made.
    pub fn identity(&self, role: LinkRole) -> Result<Identity, LinkError> {
        self.named_identity(role, role.name())
    }

    /// Makes an identity for `role` whose certificate carries a name.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] if a key can't be made or the name is unusable.
    pub fn named_identity(&self, role: LinkRole, holder: &str) -> Result<Identity, LinkError> {
        let (cert, key) = self.issue(role, holder)?;
        Ok(Identity {
            roots: vec![
                CertificateDer::from_pem_slice(self.root_pem.as_bytes())
                    .map_err(|err| failed(&err))?,
            ],
            chain: vec![
                CertificateDer::from_pem_slice(cert.as_bytes()).map_err(|err| failed(&err))?,
            ],
            key: PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(|err| failed(&err))?,
        })
    }

    /// Writes the root, and a certificate and key for each role and for each
    /// operator that is named, into `dir`.
    ///
    /// # Errors
    ///
    /// [`LinkError::Io`] if the folder can't be written or holds keys already:
    /// nothing is overwritten. [`LinkError::Keys`] if a name is unusable.
    pub fn write(&self, dir: &Path, operators: &[impl AsRef<str>]) -> Result<(), LinkError> {
        fs::create_dir_all(dir)?;
        write_new(&dir.join("root.pem"), &self.root_pem)?;
        for role in LinkRole::ALL {
            self.write_pair(&KeyFiles::for_role(dir, role), role, role.name())?;
        }
        for name in operators.iter().map(AsRef::as_ref) {
            self.write_pair(&KeyFiles::for_operator(dir, name), LinkRole::Operator, name)?;
        }
        Ok(())
    }

    /// Writes a certificate and its key.
    fn write_pair(&self, files: &KeyFiles, role: LinkRole, holder: &str) -> Result<(), LinkError> {
        let (cert, key) = self.issue(role, holder)?;
        write_new(&files.cert, &cert)?;
        write_new(&files.key, &key)?;
        Ok(())
    }
}

/// Writes a file that must not exist yet, readable by its owner only.
fn write_new(path: &Path, text: &str) -> io::Result<()> {
    use std::{io::Write as _, os::unix::fs::OpenOptionsExt as _};
    let mut file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)?;
    file.write_all(text.as_bytes())
}

/// Wraps an error of the key library.
fn failed(err: &dyn fmt::Display) -> LinkError {
    LinkError::Keys(err.to_string().into())
}
