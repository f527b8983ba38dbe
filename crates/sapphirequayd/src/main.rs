//! The daemon `sapphirequayd`.

use {
    gumdrop::Options,
    quay_link::{KeyFiles, LinkRole},
    sapphirequayd::{Daemon, Settings},
    std::{path::PathBuf, process::ExitCode, thread},
};

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// Runs the roles that a settings file names.
#[derive(Debug, Options)]
struct Args {
    /// Prints this help.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(help = "settings file", meta = "FILE")]
    config: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match start(&args) {
        // The process runs until a signal ends it.
        Ok(_daemon) => loop {
            thread::park();
        },
        Err(text) => {
            eprintln!("sapphirequayd: {text}");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

/// Reads the settings and starts the process.
fn start(args: &Args) -> Result<Daemon, String> {
    let path = args.config.as_ref().ok_or("--config FILE is needed")?;
    let settings = Settings::load(path).map_err(|err| format!("{}: {err}", path.display()))?;
    let role = match (&settings.entry, &settings.sidecar, &settings.ledger) {
        (Some(_), ..) => LinkRole::Entry,
        (None, Some(_), _) => LinkRole::Sidecar,
        _ => LinkRole::Ledger,
    };
    let files = KeyFiles::in_folder(&settings.link.keys, role);
    let identity = files.load().map_err(|err| err.to_string())?;
    let daemon = Daemon::start(&settings, identity).map_err(|err| err.to_string())?;
    daemon.watch_keys(files).map_err(|err| err.to_string())?;
    Ok(daemon)
}
