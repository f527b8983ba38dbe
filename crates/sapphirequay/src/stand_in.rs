//! `sapphirequay stand-in`: a stand-in as a process of its own.

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

/// Which stand-in.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "a model engine")]
    Engine(EngineArgs),
    #[options(help = "a plain service that counts what it runs")]
    Service(ServiceArgs),
    #[options(help = "a weight store with a limited rate")]
    Weights(WeightsArgs),
}

/// Arguments of `stand-in engine`.
#[derive(Debug, Options)]
struct EngineArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "address to listen on", meta = "ADDR")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "tokens in an answer", default = "64", meta = "N")]
    answer_tokens: u64,
    #[options(no_short, help = "blocks of KV memory", default = "4096", meta = "N")]
    kv_blocks: u32,
    #[options(
        no_short,
        help = "a prompt with this text crashes the engine",
        meta = "TEXT"
    )]
    poison: Option<String>,
    #[options(no_short, help = "take orders with old fence numbers too")]
    ignore_fence: bool,
    #[options(
        no_short,
        help = "no model of batches: this pause before each token",
        meta = "MS"
    )]
    fixed_gap_ms: Option<u64>,
    #[options(
        no_short,
        help = "each token's text is the time at which it was written"
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
    #[options(no_short, help = "time of one request", default = "50", meta = "MS")]
    delay_ms: u64,
    #[options(no_short, help = "answer a known request without running it again")]
    idempotent: bool,
}

/// Arguments of `stand-in weights`.
#[derive(Debug, Options)]
struct WeightsArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "address to listen on", meta = "ADDR")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "bytes a second", default = "1000000000", meta = "N")]
    rate: u64,
}

/// Runs a stand-in until the process is ended.
pub fn run(args: StandInArgs) -> Result<(), Box<dyn Error>> {
    let missing = "--listen ADDR is needed";
    match args.command {
        Some(Command::Engine(args)) => {
            let listen = args.listen.ok_or(missing)?;
            let engine = Engine::start(listen, engine_settings(args))?;
            announce("engine", engine.addr());
            forever(engine)
        }
        Some(Command::Service(args)) => {
            let settings = ServiceSettings {
                delay: Duration::from_millis(args.delay_ms),
                idempotent: args.idempotent,
            };
            let service = Service::start(args.listen.ok_or(missing)?, settings)?;
            announce("service", service.addr());
            forever(service)
        }
        Some(Command::Weights(args)) => {
            let weights = WeightServer::start(args.listen.ok_or(missing)?, args.rate)?;
            announce("weights", weights.addr());
            forever(weights)
        }
        None => Err("one of engine, service and weights is needed; see --help".into()),
    }
}

/// The settings that the arguments ask for.
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

/// Says that a stand-in can be called.
fn announce(what: &str, addr: SocketAddr) {
    println!("{what} listens on {addr}");
}

/// Keeps a stand-in until the process is ended.
fn forever<T>(_running: T) -> ! {
    loop {
        thread::park();
    }
}
