//! `sapphirequay config`: the configuration document.

mod apply;
mod check;
mod diff;
mod history;
pub mod show;
mod status;

use {gumdrop::Options, std::error::Error};

/// Arguments of `config`.
#[derive(Debug, Options)]
pub struct ConfigArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<ConfigCommand>,
}

/// What to do with the configuration.
#[derive(Debug, Options)]
enum ConfigCommand {
    #[options(help = "check a whole document in a file")]
    Check(check::CheckArgs),
    #[options(help = "print a section with what a change of it is made from")]
    Show(show::ShowArgs),
    #[options(help = "put a section's new text into force")]
    Apply(apply::ApplyArgs),
    #[options(help = "print what is in force, and which daemons lag")]
    Status(status::StatusArgs),
    #[options(help = "print the changes, accepted and refused")]
    History(history::HistoryArgs),
    #[options(help = "compare a section's file with what is in force")]
    Diff(diff::DiffArgs),
}

/// Runs the command that was asked for.
pub fn run(args: ConfigArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(ConfigCommand::Check(args)) => check::run(&args),
        Some(ConfigCommand::Show(args)) => show::run(&args),
        Some(ConfigCommand::Apply(args)) => apply::run(&args),
        Some(ConfigCommand::Status(args)) => status::run(&args),
        Some(ConfigCommand::History(args)) => history::run(&args),
        Some(ConfigCommand::Diff(args)) => diff::run(&args),
        None => Err("a command is needed; see --help".into()),
    }
}
