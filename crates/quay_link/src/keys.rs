//! Key files, and generated keys for development.

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

/// Paths of the key files of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyFiles {
    /// PEM file of the trusted roots.
    pub root: PathBuf,
    /// PEM file of the process's certificate and its issuers.
    pub cert: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
}

impl KeyFiles {
    /// Paths in `dir` of the files that `sapphirequay keys init` writes for `role`.
    #[must_use]
    pub fn for_role(dir: &Path, role: LinkRole) -> Self {
        Self {
            root: dir.join("root.pem"),
            cert: dir.join(format!("{role}.pem")),
            key: dir.join(format!("{role}.key.pem")),
        }
    }

    /// Digest of the files' contents, used to detect changes. An unreadable file
    /// counts as empty.
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
        let roots = read_certificates(&self.root)?;
        let chain = read_certificates(&self.cert)?;
        let key =
            PrivateKeyDer::from_pem_file(&self.key).map_err(|err| file_error(&self.key, &err))?;
        Ok(Identity { roots, chain, key })
    }

    /// Paths in `dir` of the files that `sapphirequay keys init` writes for the
    /// operator `name`.
    #[must_use]
    pub fn for_operator(dir: &Path, name: &str) -> Self {
        Self {
            root: dir.join("root.pem"),
            cert: dir.join(format!("operator-{name}.pem")),
            key: dir.join(format!("operator-{name}.key.pem")),
        }
    }
}

/// Reads all certificates of a PEM file; fails if there are none.
fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, LinkError> {
    let certs = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|err| file_error(path, &err))?;
    if certs.is_empty() {
        return Err(file_error(path, &"the file contains no certificate"));
    }
    Ok(certs)
}

/// Error for the invalid or unreadable file at `path`.
fn file_error(path: &Path, reason: &dyn fmt::Display) -> LinkError {
    LinkError::Keys(format!("{}: {reason}", path.display()).into())
}

/// Generated root certificate and its signing key, for development and tests.
pub struct DevelopmentKeys {
    /// Root certificate in PEM.
    root_pem: String,
    /// Issuer that signs the certificates of processes and operators.
    issuer: Issuer<'static, KeyPair>,
}

impl fmt::Debug for DevelopmentKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DevelopmentKeys").finish_non_exhaustive()
    }
}

impl DevelopmentKeys {
    /// Generates a new root certificate and key.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] if key generation fails, for instance because the
    /// system's random number generator is unavailable.
    pub fn generate() -> Result<Self, LinkError> {
        let mut params = CertificateParams::new(Vec::new()).map_err(|err| keys_error(&err))?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![
            KeyUsagePurpose::KeyCertSign,
            KeyUsagePurpose::DigitalSignature,
        ];
        params
            .distinguished_name
            .push(DnType::CommonName, "sapphirequay development root");
        let key = KeyPair::generate().map_err(|err| keys_error(&err))?;
        let root = params.self_signed(&key).map_err(|err| keys_error(&err))?;
        Ok(Self {
            root_pem: root.pem(),
            issuer: Issuer::new(params, key),
        })
    }

    /// Issues a certificate for a role and a holder's name. Returns the
    /// certificate and its key, both in PEM.
    fn issue(&self, role: LinkRole, holder: &str) -> Result<(String, String), LinkError> {
        let names = vec![role.dns_name(), holder_dns_name(holder)?];
        let mut params = CertificateParams::new(names).map_err(|err| keys_error(&err))?;
        params.distinguished_name.push(DnType::CommonName, holder);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().map_err(|err| keys_error(&err))?;
        let cert = params
            .signed_by(&key, &self.issuer)
            .map_err(|err| keys_error(&err))?;
        Ok((cert.pem(), key.serialize_pem()))
    }

    /// Generates an identity for `role`, named after the role, without writing
    /// files.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] if key generation fails.
    pub fn identity(&self, role: LinkRole) -> Result<Identity, LinkError> {
        self.named_identity(role, role.name())
    }

    /// Generates an identity for `role` whose certificate contains the name
    /// `holder`.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] if key generation fails or the name is invalid.
    pub fn named_identity(&self, role: LinkRole, holder: &str) -> Result<Identity, LinkError> {
        let (cert, key) = self.issue(role, holder)?;
        Ok(Identity {
            roots: vec![
                CertificateDer::from_pem_slice(self.root_pem.as_bytes())
                    .map_err(|err| keys_error(&err))?,
            ],
            chain: vec![
                CertificateDer::from_pem_slice(cert.as_bytes()).map_err(|err| keys_error(&err))?,
            ],
            key: PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(|err| keys_error(&err))?,
        })
    }

    /// Writes the root certificate, and a certificate and key for each role and
    /// each of `operators`, into `dir`.
    ///
    /// # Errors
    ///
    /// [`LinkError::Io`] if the folder can't be written or already contains one
    /// of the files; existing files are never overwritten. [`LinkError::Keys`]
    /// if a name is invalid.
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

    /// Issues a certificate and writes it and its key to `files`.
    fn write_pair(&self, files: &KeyFiles, role: LinkRole, holder: &str) -> Result<(), LinkError> {
        let (cert, key) = self.issue(role, holder)?;
        write_new(&files.cert, &cert)?;
        write_new(&files.key, &key)?;
        Ok(())
    }
}

/// Creates a file that only its owner can read; fails if the file exists.
fn write_new(path: &Path, text: &str) -> io::Result<()> {
    use std::{io::Write as _, os::unix::fs::OpenOptionsExt as _};
    let mut file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)?;
    file.write_all(text.as_bytes())
}

/// Converts an error of the certificate library.
fn keys_error(err: &dyn fmt::Display) -> LinkError {
    LinkError::Keys(err.to_string().into())
}
