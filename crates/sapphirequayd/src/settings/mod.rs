//! Settings of one process, parsed from TOML.

mod check;
mod decisions;
mod entry;
mod gateway;
mod ledger;
mod link;
mod log;
mod memory;
mod policy;
mod problem;
mod process;
mod sidecar;

pub use {
    decisions::DecisionTable,
    entry::EntrySettings,
    gateway::{ControlSettings, FrontSettings, GatewaySettings, QuotaTable, StoreSettings},
    ledger::{LedgerSettings, PeerSettings},
    link::LinkTableSettings,
    log::{LogLevel, LogSettings},
    policy::{KvTable, PolicyTable},
    problem::Problem,
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

/// Settings of one process. A role is enabled if its table is present.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name and location of the process.
    pub process: ProcessSettings,
    /// Log level, output and rate limits.
    #[serde(default)]
    pub log: LogSettings,
    /// Links to other processes.
    #[serde(default)]
    pub link: LinkTableSettings,
    /// Entry role.
    pub entry: Option<EntrySettings>,
    /// Sidecar role.
    pub sidecar: Option<SidecarSettings>,
    /// Ledger role.
    pub ledger: Option<LedgerSettings>,
    /// Discovery and first start of the roles of a gateway.
    pub gateway: Option<GatewaySettings>,
    /// Front role of a gateway.
    pub front: Option<FrontSettings>,
    /// Control role of a gateway.
    pub control: Option<ControlSettings>,
    /// Store role of a gateway.
    pub store: Option<StoreSettings>,
    /// Bounds of accounts' limits in a gateway.
    #[serde(default)]
    pub quota: QuotaTable,
    /// Parameters of routing, admission, retries and KV caches.
    #[serde(default)]
    pub policy: PolicyTable,
}

/// Error from loading settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Io(PathBuf, io::Error),
    /// The file's content is invalid.
    Invalid(PathBuf, Vec<Problem>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Invalid(path, problems) => {
                for (position, problem) in problems.iter().enumerate() {
                    let separator = if position == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}: {problem}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Commented settings file with every key and its default.
pub const DEFAULT_SETTINGS: &str = include_str!("default.toml");

impl Settings {
    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Returns the first [`Problem`], with its table and key.
    pub fn parse(text: &str) -> Result<Self, Problem> {
        toml::from_str(text).map_err(|err| Problem::from_toml_error(text, &err))
    }

    /// Loads settings from a file, including the checks across keys.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Io`] if the file can't be read,
    /// [`SettingsError::Invalid`] with all problems found in it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|err| SettingsError::Io(path.into(), err))?;
        let invalid = |problems| SettingsError::Invalid(path.into(), problems);
        let settings = Self::parse(&text).map_err(|problem| invalid(vec![problem]))?;
        let problems = settings.check();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(invalid(problems))
        }
    }
}
