//! `sapphirequay experiment`: simulations and measurements of the system.

mod capacity;
mod commits;
mod faults;
mod gateway;
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

/// Subcommands of `experiment`, one module each.
#[derive(Debug, Options)]
enum ExperimentCommand {
    #[options(help = "measure the cost per unit of load and extrapolate to the design target")]
    Capacity(capacity::CapacityArgs),
    #[options(help = "measure commits of three replicas on loopback with real disk syncs")]
    Commits(commits::CommitsArgs),
    #[options(help = "check the promises under seeded fault injection")]
    Faults(faults::FaultsArgs),
    #[options(help = "simulate a gateway under bursts and outages")]
    Gateway(gateway::GatewayArgs),
    #[options(help = "compare scheduling policies on a simulated engine")]
    Policy(policy::PolicyArgs),
    #[options(help = "simulate how configuration and directory spread to the daemons")]
    Spread(spread::SpreadArgs),
}

/// Dispatches to the given experiment.
pub fn run(args: ExperimentArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(ExperimentCommand::Capacity(args)) => capacity::run(&args),
        Some(ExperimentCommand::Commits(args)) => commits::run(&args),
        Some(ExperimentCommand::Faults(args)) => faults::run(&args),
        Some(ExperimentCommand::Gateway(args)) => gateway::run(&args),
        Some(ExperimentCommand::Policy(args)) => policy::run(&args),
        Some(ExperimentCommand::Spread(args)) => spread::run(&args),
        None => Err("missing subcommand: name of an experiment; see --help".into()),
    }
}
