//! `sapphirequay experiment`: seeded experiments over the decision logic.

mod capacity;
mod commits;
mod faults;
mod policy;
mod spread;

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
    #[options(help = "measure slopes and work out the size to design for")]
    Capacity(capacity::CapacityArgs),
    #[options(help = "measure commits of three replicas on loopback with real syncs")]
    Commits(commits::CommitsArgs),
    #[options(help = "attack the promises with seeded faults")]
    Faults(faults::FaultsArgs),
    #[options(help = "compare scheduling policies over a small engine model")]
    Policy(policy::PolicyArgs),
    #[options(help = "measure how configuration and directory reach the daemons")]
    Spread(spread::SpreadArgs),
}

/// Runs the experiment that was asked for.
pub fn run(args: ExperimentArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(ExperimentCommand::Capacity(args)) => capacity::run(&args),
        Some(ExperimentCommand::Commits(args)) => commits::run(&args),
        Some(ExperimentCommand::Faults(args)) => faults::run(&args),
        Some(ExperimentCommand::Policy(args)) => policy::run(&args),
        Some(ExperimentCommand::Spread(args)) => spread::run(&args),
        None => Err("an experiment is needed; see --help".into()),
    }
}
