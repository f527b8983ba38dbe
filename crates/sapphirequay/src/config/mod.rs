//! `sapphirequay config`: checks, changes and inspects the configuration.

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

/// Subcommands of `config`.
#[derive(Debug, Options)]
enum ConfigCommand {
    #[options(help = "check a complete configuration document in a file")]
    Check(check::CheckArgs),
    #[options(help = "print a section with its base revision, for editing")]
    Show(show::ShowArgs),
    #[options(help = "apply the edited text of a section")]
    Apply(apply::ApplyArgs),
    #[options(help = "print the active revisions and which daemons lag behind")]
    Status(status::StatusArgs),
    #[options(help = "print the history of accepted and refused changes")]
    History(history::HistoryArgs),
    #[options(help = "compare the file of a section with the active revision")]
    Diff(diff::DiffArgs),
}

/// Dispatches to the given subcommand.
pub fn run(args: ConfigArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(ConfigCommand::Check(args)) => check::run(&args),
        Some(ConfigCommand::Show(args)) => show::run(&args),
        Some(ConfigCommand::Apply(args)) => apply::run(&args),
        Some(ConfigCommand::Status(args)) => status::run(&args),
        Some(ConfigCommand::History(args)) => history::run(&args),
        Some(ConfigCommand::Diff(args)) => diff::run(&args),
        None => Err("missing subcommand; see --help".into()),
    }
}
