//! Simulated model engine that streams placeholder text over HTTP.

mod control;
mod driver;
mod http;
mod stream;

use {
    crate::{listen::bind, model::ModelSettings},
    http::serve,
    socket2::SockRef,
    std::{io, net::SocketAddr, sync::Arc, thread, time::Duration},
    stream::Streams,
    tiny_http::Server,
};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1_024;

/// Interval at which the listener checks whether the engine has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Behaviour of a simulated engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Time from a request to its first token.
    pub prefill: Duration,
    /// Time between two tokens.
    pub token_gap: Duration,
    /// Number of tokens in a completion, unless the request allows fewer.
    pub answer_tokens: u64,
    /// A prompt that contains this text crashes the engine.
    pub poison: Option<Box<str>>,
    /// Whether a crash ends the process.
    pub crash_exits: bool,
    /// Whether the text of a token is the time at which it was written, in
    /// microseconds since the Unix epoch: `us1764800000000000 `.
    pub stamps: bool,
    /// Settings of an engine model with continuous batching and a prefix cache.
    /// Without a model, `prefill` and `token_gap` alone determine the timing.
    pub model: Option<ModelSettings>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            prefill: Duration::from_millis(20),
            token_gap: Duration::from_millis(5),
            answer_tokens: 16,
            poison: None,
            crash_exits: false,
            stamps: false,
            model: None,
        }
    }
}

/// Counters of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Completions started.
    pub started: u64,
    /// Requests to resume a stream, including those with an unknown ID.
    pub resumed: u64,
    /// Completions cancelled before their end.
    pub cancelled: u64,
    /// Completions in progress.
    pub running: u64,
}

/// A running simulated engine; dropping it closes its listener.
#[derive(Debug)]
pub struct Engine {
    addr: SocketAddr,
    streams: Arc<Streams>,
}

impl Engine {
    /// Starts an engine on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the socket or a thread cannot be created, for instance because
    /// the address is in use.
    pub fn start(listen: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let listener = bind(listen)?;
        SockRef::from(&listener).listen(BACKLOG)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let streams = Arc::new(Streams::new(settings)?);
        let served_streams = Arc::clone(&streams);
        thread::Builder::new()
            .name("engine".into())
            .spawn(move || accept(&server, &served_streams))?;
        Ok(Self { addr, streams })
    }

    /// Address on which the engine listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops sending on all open connections permanently; new connections work.
    pub fn stall_connections(&self) {
        self.streams.stall_connections();
    }

    /// Simulates a crash: open streams end incomplete and no connections are
    /// accepted.
    pub fn crash(&self) {
        self.streams.crash();
    }

    /// Current counters.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.streams.counts()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.streams.crash();
    }
}

/// Serves each request on its own thread until the engine stops.
fn accept(server: &Server, streams: &Arc<Streams>) {
    while !streams.crashed() {
        let Ok(Some(req)) = server.recv_timeout(STOP_POLL_INTERVAL) else {
            continue;
        };
        let streams = Arc::clone(streams);
        thread::spawn(move || {
            if let Err(err) = serve(&streams, req) {
                log::debug!("event=engine_caller_gone cause={err:?}");
            }
        });
    }
}
