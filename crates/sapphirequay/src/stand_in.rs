//! `sapphirequay stand-in`: runs a stand-in upstream or weight store as a
//! process.

use {
    gumdrop::Options,
    quay_standin::{
        Engine, EngineSettings, Service, ServiceSettings, WeightServer, model::ModelSettings,
    },
    std::{error::Error, net::SocketAddr, thread, time::Duration},
};

/// Arguments of `stand-in`.
#[derive(Debug, Options)]
pub struct StandInArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// Kind of stand-in to run.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "a model engine")]
    Engine(EngineArgs),
    #[options(help = "a service that counts the requests it runs")]
    Service(ServiceArgs),
    #[options(help = "a weight store with a limited transfer rate")]
    Weights(WeightsArgs),
}

/// Arguments of `stand-in engine`.
#[derive(Debug, Options)]
struct EngineArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "address to listen on", meta = "ADDR")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "tokens per answer", default = "64", meta = "N")]
    answer_tokens: u64,
    #[options(
        no_short,
        help = "capacity of the KV cache, in blocks",
        default = "4096",
        meta = "N"
    )]
    kv_blocks: u32,
    #[options(
        no_short,
        help = "crash on a prompt that contains this text",
        meta = "TEXT"
    )]
    poison: Option<String>,
    #[options(no_short, help = "accept requests with outdated fence numbers")]
    ignore_fence: bool,
    #[options(
        no_short,
        help = "fixed pause before each token, instead of the model that batches requests",
        meta = "MS"
    )]
    fixed_gap_ms: Option<u64>,
    #[options(
        no_short,
        help = "send as each token's text the time at which it was written"
    )]
    stamps: bool,
}

/// Arguments of `stand-in service`.
#[derive(Debug, Options)]
struct ServiceArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "address to listen on", meta = "ADDR")]
    listen: Option<SocketAddr>,
    #[options(
        no_short,
        help = "service time of a request",
        default = "50",
        meta = "MS"
    )]
    delay_ms: u64,
    #[options(no_short, help = "answer a repeated request without running it again")]
    idempotent: bool,
}

/// Arguments of `stand-in weights`.
#[derive(Debug, Options)]
struct WeightsArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "address to listen on", meta = "ADDR")]
    listen: Option<SocketAddr>,
    #[options(
        no_short,
        help = "transfer rate in bytes per second",
        default = "1000000000",
        meta = "N"
    )]
    rate: u64,
}

/// Runs a stand-in until the process is terminated.
pub fn run(args: StandInArgs) -> Result<(), Box<dyn Error>> {
    let missing = "missing option: --listen ADDR";
    match args.command {
        Some(Command::Engine(args)) => {
            let listen = args.listen.ok_or(missing)?;
            let engine = Engine::start(listen, engine_settings(args))?;
            print_address("engine", engine.addr());
            park_forever(engine)
        }
        Some(Command::Service(args)) => {
            let settings = ServiceSettings {
                delay: Duration::from_millis(args.delay_ms),
                idempotent: args.idempotent,
            };
            let service = Service::start(args.listen.ok_or(missing)?, settings)?;
            print_address("service", service.addr());
            park_forever(service)
        }
        Some(Command::Weights(args)) => {
            let weights = WeightServer::start(args.listen.ok_or(missing)?, args.rate)?;
            print_address("weights", weights.addr());
            park_forever(weights)
        }
        None => Err("missing subcommand: engine, service or weights; see --help".into()),
    }
}

/// Converts the arguments to engine settings.
fn engine_settings(args: EngineArgs) -> EngineSettings {
    let model = ModelSettings {
        kv_blocks: args.kv_blocks,
        check_fence: !args.ignore_fence,
        ..ModelSettings::default()
    };
    let gap = args.fixed_gap_ms.map(Duration::from_millis);
    EngineSettings {
        answer_tokens: args.answer_tokens,
        poison: args.poison.map(Into::into),
        crash_exits: true,
        prefill: gap.unwrap_or_default(),
        token_gap: gap.unwrap_or_default(),
        stamps: args.stamps,
        model: gap.is_none().then_some(model),
    }
}

/// Prints the address once a stand-in accepts connections.
fn print_address(kind: &str, addr: SocketAddr) {
    println!("{kind} listens on {addr}");
}

/// Keeps a stand-in alive until the process is terminated.
fn park_forever<T>(_stand_in: T) -> ! {
    loop {
        thread::park();
    }
}
