//! Settings of one process, read from TOML.

mod entry;
mod ledger;
mod link;
mod process;
mod sidecar;

pub use {
    entry::EntrySettings,
    ledger::{LedgerSettings, PeerSettings},
    link::LinkTableSettings,
    process::ProcessSettings,
    sidecar::SidecarSettings,
};

use {
    serde::Deserialize,
    std::{
        fmt, fs, io,
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
