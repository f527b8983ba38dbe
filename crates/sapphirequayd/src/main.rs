//! The daemon `sapphirequayd`.

mod logging;
mod shutdown;

use {
    gumdrop::Options,
    quay_link::KeyFiles,
    quay_platform::Platform,
    sapphirequayd::{DEFAULT_SETTINGS, Daemon, Settings, run_gateway},
    shutdown::Ending,
    std::{
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// Exit code for a shutdown that cut requests off.
const CUT: u8 = 3;

/// Runs the roles that a settings file names.
#[derive(Debug, Options)]
struct Args {
    /// Prints this help.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(no_short, help = "settings file", meta = "FILE")]
    config: Option<PathBuf>,
    /// Only checks the settings.
    #[options(no_short, help = "check the settings and end")]
    check_config: bool,
    /// Prints settings to start from.
    #[options(no_short, help = "print every setting with its default and end")]
    print_default_config: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.print_default_config {
        print!("{DEFAULT_SETTINGS}");
        return ExitCode::SUCCESS;
    }
    let settings = match read(&args) {
        Ok(settings) => settings,
        Err(text) => return fail(&text, BAD_SETTINGS),
    };
    if args.check_config {
        println!("the settings can be used");
        return ExitCode::SUCCESS;
    }
    let ended = run(&settings, args.config.as_deref());
    logging::flush();
    match ended {
        Ok(Ending::Whole) => ExitCode::SUCCESS,
        Ok(Ending::Cut(requests)) => fail(&format!("{requests} requests were cut off"), CUT),
        Err(text) => fail(&text, BAD_SETTINGS),
    }
}

/// Says why the process ends.
fn fail(text: &str, code: u8) -> ExitCode {
    for line in text.lines() {
        eprintln!("sapphirequayd: {line}");
    }
    ExitCode::from(code)
}

/// Reads and checks the settings.
fn read(args: &Args) -> Result<Settings, String> {
    let path = args.config.as_ref().ok_or("--config FILE is needed")?;
    Settings::load(path).map_err(|err| err.to_string())
}

/// Runs the process until a signal ends it.
fn run(settings: &Settings, path: Option<&Path>) -> Result<Ending, String> {
    logging::start(&settings.log).map_err(|err| err.to_string())?;
    let files = KeyFiles::for_role(&settings.link.keys, settings.link_role());
    let identity = files.load().map_err(|err| err.to_string())?;
    if settings.is_gateway() {
        let path = path.ok_or("--config FILE is needed")?;
        return run_gateway(settings, path, identity, Platform)
            .map(|()| Ending::Whole)
            .map_err(|err| err.to_string());
    }
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
    shutdown::wait(&daemon, settings.process.grace()).map_err(|err| err.to_string())
}
