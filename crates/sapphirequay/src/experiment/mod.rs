//! `sapphirequay experiment`: seeded experiments over the decision logic.

mod commits;
mod faults;
mod policy;

use {gumdrop::Options, std::error::Error};

/// Arguments of `experiment`.
#[derive(Debug, Options)]
pub struct ExperimentArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<ExperimentCommand>,
}

/// Which experiment to run; one module each.
#[derive(Debug, Options)]
enum ExperimentCommand {
    #[options(help = "measure commits of three replicas on loopback with real syncs")]
    Commits(commits::CommitsArgs),
    #[options(help = "attack the promises with seeded faults")]
    Faults(faults::FaultsArgs),
    #[options(help = "compare scheduling policies over a small engine model")]
    Policy(policy::PolicyArgs),
}

/// Runs the experiment that was asked for.
pub fn run(args: ExperimentArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(ExperimentCommand::Commits(args)) => commits::run(&args),
        Some(ExperimentCommand::Faults(args)) => faults::run(&args),
        Some(ExperimentCommand::Policy(args)) => policy::run(&args),
        None => Err("an experiment is needed; see --help".into()),
    }
}
