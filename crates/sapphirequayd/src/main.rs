//! The `sapphirequayd` daemon.

mod logging;
mod shutdown;

use {
    gumdrop::Options,
    quay_link::KeyFiles,
    quay_platform::Platform,
    sapphirequayd::{DEFAULT_SETTINGS, Daemon, Settings, run_gateway},
    shutdown::ShutdownOutcome,
    std::{
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Exit code for invalid settings and start-up errors.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Exit code for a shutdown that interrupted requests.
const EXIT_INTERRUPTED: u8 = 3;

/// Runs the roles enabled in a settings file.
#[derive(Debug, Options)]
struct Args {
    /// Prints this help.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(no_short, help = "settings file", meta = "FILE")]
    config: Option<PathBuf>,
    /// Checks the settings and exits.
    #[options(no_short, help = "check the settings and exit")]
    check_config: bool,
    /// Prints the default settings and exits.
    #[options(no_short, help = "print all settings with their defaults and exit")]
    print_default_config: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.print_default_config {
        print!("{DEFAULT_SETTINGS}");
        return ExitCode::SUCCESS;
    }
    if let Err(err) = shutdown::ignore_hangups() {
        return fail(&err.to_string(), EXIT_BAD_SETTINGS);
    }
    let settings = match load_settings(&args) {
        Ok(settings) => settings,
        Err(message) => return fail(&message, EXIT_BAD_SETTINGS),
    };
    if args.check_config {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let outcome = run(&settings, args.config.as_deref());
    logging::flush();
    match outcome {
        Ok(ShutdownOutcome::Completed) => ExitCode::SUCCESS,
        Ok(ShutdownOutcome::Interrupted(requests)) => fail(
            &format!("{requests} requests were cut off"),
            EXIT_INTERRUPTED,
        ),
        Err(message) => fail(&message, EXIT_BAD_SETTINGS),
    }
}

/// Prints an error message and returns the exit code.
fn fail(message: &str, code: u8) -> ExitCode {
    for line in message.lines() {
        eprintln!("sapphirequayd: {line}");
    }
    ExitCode::from(code)
}

/// Loads and checks the settings.
fn load_settings(args: &Args) -> Result<Settings, String> {
    let path = args.config.as_ref().ok_or("--config FILE is required")?;
    Settings::load(path).map_err(|err| err.to_string())
}

/// Runs the process until a signal stops it.
fn run(settings: &Settings, path: Option<&Path>) -> Result<ShutdownOutcome, String> {
    logging::start(&settings.log).map_err(|err| err.to_string())?;
    let files = KeyFiles::for_role(&settings.link.keys, settings.link_role());
    let identity = files.load().map_err(|err| err.to_string())?;
    if settings.is_gateway() {
        let path = path.ok_or("--config FILE is required")?;
        return run_gateway(settings, path, identity, Platform)
            .map(|()| ShutdownOutcome::Completed)
            .map_err(|err| err.to_string());
    }
    // Received from the start on, since callers are served before it is complete.
    let signals = shutdown::receive_signals().map_err(|err| err.to_string())?;
    let daemon = Daemon::start(settings, identity).map_err(|err| err.to_string())?;
    daemon.watch_keys(files).map_err(|err| err.to_string())?;
    let addr = |addr: Option<std::net::SocketAddr>| {
        addr.map_or_else(|| "none".to_owned(), |addr| addr.to_string())
    };
    log::info!(
        "event=started name={} callers={} link={}",
        settings.process.name,
        addr(daemon.callers_addr()),
        addr(daemon.link_addr())
    );
    Ok(shutdown::wait(&daemon, &signals, settings.process.grace()))
}
