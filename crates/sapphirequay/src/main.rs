//! The command-line tool `sapphirequay` for operators, load tests and
//! experiments.

mod audit;
mod config;
mod demo;
mod drain;
mod experiment;
mod group;
mod keys;
mod load;
mod log;
mod members;
mod operator;
mod quarantine;
mod quotas;
mod section_file;
mod stand_in;

use {
    gumdrop::Options,
    std::{error::Error, path::PathBuf, process::ExitCode},
};

/// Arguments of `sapphirequay`.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// Subcommands of `sapphirequay`.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "print the audit trail")]
    Audit(audit::AuditArgs),
    #[options(help = "check, change and inspect the configuration")]
    Config(config::ConfigArgs),
    #[options(help = "run every role and stand-in upstreams in one process and send requests")]
    Demo(DemoArgs),
    #[options(help = "run an experiment on the decision logic or the storage")]
    Experiment(experiment::ExperimentArgs),
    #[options(help = "mark an upstream for draining: it receives no new requests")]
    Drain(drain::DrainArgs),
    #[options(help = "print the directory of upstreams")]
    Members(members::MembersArgs),
    #[options(help = "list and clear quarantined request content")]
    Quarantine(quarantine::QuarantineArgs),
    #[options(help = "list the limits of accounts and their use in a gateway")]
    Quotas(quotas::QuotasArgs),
    #[options(help = "remove the drain mark of an upstream")]
    Undrain(drain::DrainArgs),
    #[options(help = "show and change the members of a replicated group")]
    Group(group::GroupArgs),
    #[options(help = "generate keys for development")]
    Keys(KeysArgs),
    #[options(help = "inspect, back up and restore the data folder of a ledger host")]
    Log(log::LogArgs),
    #[options(help = "send load to running entries and measure latencies")]
    Load(load::LoadArgs),
    #[options(help = "run a stand-in of an engine, a service or a weight store")]
    StandIn(stand_in::StandInArgs),
}

/// Arguments of `demo`.
#[derive(Debug, Options)]
struct DemoArgs {
    #[options(help = "print this help")]
    help: bool,
}

/// Arguments of `keys`.
#[derive(Debug, Options)]
struct KeysArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<KeysCommand>,
}

/// Subcommands of `keys`.
#[derive(Debug, Options)]
enum KeysCommand {
    #[options(help = "write a root certificate and one certificate per role into a folder")]
    Init(KeysInitArgs),
}

/// Arguments of `keys init`.
#[derive(Debug, Options)]
struct KeysInitArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "folder to write")]
    dir: PathBuf,
    #[options(
        no_short,
        meta = "NAME",
        help = "operator to generate keys for; may be repeated"
    )]
    operator: Vec<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("sapphirequay: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Dispatches to the given subcommand.
fn run(args: Args) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(Command::Audit(args)) => audit::run(&args),
        Some(Command::Config(args)) => config::run(args),
        Some(Command::Demo(_)) => demo::run(),
        Some(Command::Drain(args)) => drain::run(&args, true),
        Some(Command::Members(args)) => members::run(&args),
        Some(Command::Quotas(args)) => quotas::run(&args),
        Some(Command::Quarantine(args)) => quarantine::run(args),
        Some(Command::Undrain(args)) => drain::run(&args, false),
        Some(Command::Experiment(args)) => experiment::run(args),
        Some(Command::Group(args)) => group::run(args),
        Some(Command::Log(args)) => log::run(args),
        Some(Command::Load(args)) => load::run(&args),
        Some(Command::StandIn(args)) => stand_in::run(args),
        Some(Command::Keys(KeysArgs {
            command: Some(KeysCommand::Init(init)),
            ..
        })) => keys::init(&init.dir, &init.operator),
        Some(Command::Keys(_)) | None => Err("missing subcommand; see --help".into()),
    }
}
