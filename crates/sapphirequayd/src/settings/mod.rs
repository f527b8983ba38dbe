//! Settings of one process, read from TOML.

mod check;
mod entry;
mod gateway;
mod ledger;
mod link;
mod log;
mod policy;
mod problem;
mod process;
mod sidecar;

pub use {
    entry::EntrySettings,
    gateway::{ControlSettings, FrontSettings, GatewaySettings, StoreSettings},
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

/// Settings of one process. A role runs if its table is present.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The process itself.
    pub process: ProcessSettings,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
    /// Links to other processes.
    #[serde(default)]
    pub link: LinkTableSettings,
    /// The entry role.
    pub entry: Option<EntrySettings>,
    /// The sidecar role.
    pub sidecar: Option<SidecarSettings>,
    /// The ledger role.
    pub ledger: Option<LedgerSettings>,
    /// How the roles of a gateway find each other.
    pub gateway: Option<GatewaySettings>,
    /// The front role of a gateway.
    pub front: Option<FrontSettings>,
    /// The control role of a gateway.
    pub control: Option<ControlSettings>,
    /// The store role of a gateway.
    pub store: Option<StoreSettings>,
    /// Knobs of the policy.
    #[serde(default)]
    pub policy: PolicyTable,
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Io(PathBuf, io::Error),
    /// The file's content can't be used.
    Unusable(PathBuf, Vec<Problem>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Unusable(path, problems) => {
                for (place, problem) in problems.iter().enumerate() {
                    let separator = if place == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}: {problem}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Settings with every key and its default, for people.
pub const DEFAULT_SETTINGS: &str = include_str!("default.toml");

impl Settings {
    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// The first [`Problem`] names table and key.
    pub fn parse(text: &str) -> Result<Self, Problem> {
        toml::from_str(text).map_err(|err| Problem::of_toml(text, &err))
    }

    /// Reads settings from a file and checks them as a whole.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unusable`] names every problem, [`SettingsError::Io`]
    /// says why the file can't be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|err| SettingsError::Io(path.into(), err))?;
        let unusable = |problems| SettingsError::Unusable(path.into(), problems);
        let settings = Self::parse(&text).map_err(|problem| unusable(vec![problem]))?;
        let problems = settings.check();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(unusable(problems))
        }
    }
}
