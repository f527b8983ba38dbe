//! Settings of one process, read from TOML.

use {
    serde::Deserialize,
    std::{
        fmt, fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Settings of one process. A role runs if its table is present.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The process itself.
    pub process: ProcessSettings,
    /// Links to other processes.
    #[serde(default)]
    pub link: LinkTableSettings,
    /// The entry role.
    pub entry: Option<EntrySettings>,
    /// The sidecar role.
    pub sidecar: Option<SidecarSettings>,
    /// The ledger role.
    pub ledger: Option<LedgerSettings>,
    /// Accounts that may call, until a configuration document is in force.
    #[serde(default)]
    pub accounts: Vec<AccountSettings>,
}

/// Name and place of the process.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name in logs and audit records.
    pub name: Box<str>,
    /// Data centre that the host is in.
    #[serde(default)]
    pub data_centre: Box<str>,
}

/// Links to other processes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkTableSettings {
    /// UDP address that this process accepts links on.
    pub listen: SocketAddr,
    /// Folder of `root.pem`, `ROLE.pem` and `ROLE.key.pem`.
    pub keys: PathBuf,
    /// Addresses of the hosts that keep the directory and the ledger.
    pub ledgers: Vec<SocketAddr>,
}

impl Default for LinkTableSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            keys: PathBuf::new(),
            ledgers: Vec::new(),
        }
    }
}

/// The entry role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// TCP address for callers.
    pub listen: SocketAddr,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// The sidecar role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Name of the upstream that this process stands before.
    pub upstream: Box<str>,
    /// TCP address of the upstream.
    pub addr: SocketAddr,
    /// Models that the upstream serves; empty for a plain service.
    #[serde(default)]
    pub models: Vec<Box<str>>,
    /// Service that the upstream is, if it is no model engine.
    pub service: Option<Box<str>>,
    /// Most calls on the upstream at a time.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

/// Default of [`SidecarSettings::concurrency`].
const fn default_concurrency() -> u32 {
    64
}

/// The ledger role.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {}

/// An account that may call.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSettings {
    /// Name of the account.
    pub name: Box<str>,
    /// Bearer key of the account.
    pub key: Box<str>,
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Io(PathBuf, io::Error),
    /// The text is malformed; the message names line and key.
    Toml(Box<toml::de::Error>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Toml(err) => write!(f, "{err}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Toml`] names the line and key.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text).map_err(|err| SettingsError::Toml(Box::new(err)))
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// As [`Settings::parse`], and [`SettingsError::Io`] if the file can't be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|err| SettingsError::Io(path.into(), err))?;
        Self::parse(&text)
    }
}
