//! The command `sapphirequay` for operators, callers and experiments.

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
mod section_file;
mod stand_in;

use {
    gumdrop::Options,
    std::{error::Error, path::PathBuf, process::ExitCode},
};

/// Arguments of the command.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "print the audit trail")]
    Audit(audit::AuditArgs),
    #[options(help = "check, change and watch the configuration")]
    Config(config::ConfigArgs),
    #[options(help = "run every role and stand-ins in one process and call it")]
    Demo(DemoArgs),
    #[options(help = "run a seeded experiment over the decision logic")]
    Experiment(experiment::ExperimentArgs),
    #[options(help = "mark an upstream to leave: it gets no new work")]
    Drain(drain::DrainArgs),
    #[options(help = "print the directory of upstreams")]
    Members(members::MembersArgs),
    #[options(help = "print and clear quarantined content")]
    Quarantine(quarantine::QuarantineArgs),
    #[options(help = "let an upstream stay after all")]
    Undrain(drain::DrainArgs),
    #[options(help = "show and change the members of a replicated group")]
    Group(group::GroupArgs),
    #[options(help = "make keys for development")]
    Keys(KeysArgs),
    #[options(help = "read the data folder of a ledger host")]
    Log(log::LogArgs),
    #[options(help = "run programs against running entries and measure them")]
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

/// What to do with keys.
#[derive(Debug, Options)]
enum KeysCommand {
    #[options(help = "write a root and one certificate a role into a folder")]
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
        help = "operator to make keys for; may be given again"
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

/// Runs the command that was asked for.
fn run(args: Args) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(Command::Audit(args)) => audit::run(&args),
        Some(Command::Config(args)) => config::run(args),
        Some(Command::Demo(_)) => demo::run(),
        Some(Command::Drain(args)) => drain::run(&args, true),
        Some(Command::Members(args)) => members::run(&args),
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
        Some(Command::Keys(_)) | None => Err("a command is needed; see --help".into()),
    }
}
