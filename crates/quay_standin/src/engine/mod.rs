//! A model engine behind HTTP that streams a made-up answer.

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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Interval at which the listener looks whether the engine has stopped.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// How a stand-in engine behaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Time from a request to its first token.
    pub prefill: Duration,
    /// Time between two tokens.
    pub token_gap: Duration,
    /// Tokens in an answer, unless the request allows fewer.
    pub answer_tokens: u64,
    /// A prompt that contains this text crashes the engine.
    pub poison: Option<Box<str>>,
    /// Whether a crash ends the process.
    pub crash_exits: bool,
    /// Whether the text of a token is the time at which it was written, in
    /// microseconds since the Unix epoch: `us1764800000000000 `.
    pub stamps: bool,
    /// Costs and sizes of a modelled engine that batches continuously and has a
    /// prefix cache; without them `prefill` and `token_gap` are all there is.
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

/// What an engine has counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Answers that were begun.
    pub started: u64,
    /// Connections that went on with an answer.
    pub resumed: u64,
    /// Answers that were cancelled before their end.
    pub cancelled: u64,
    /// Answers in progress.
    pub running: u64,
}

/// A running stand-in engine; dropping it closes its listener.
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
    /// Fails if the address is taken.
    pub fn start(listen: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let listener = bind(listen)?;
        SockRef::from(&listener).listen(BACKLOG)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let streams = Arc::new(Streams::new(settings)?);
        let accepting = Arc::clone(&streams);
        thread::Builder::new()
            .name("engine".into())
            .spawn(move || accept(&server, &accepting))?;
        Ok(Self { addr, streams })
    }

    /// Address that the engine listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn stall_connections(&self) {
        self.streams.stall_connections();
    }

    /// Stops as a crash would: no answer ends, no connection is taken.
    pub fn crash(&self) {
        self.streams.crash();
    }

    /// What the engine has counted.
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

/// Gives each request a thread of its own until the engine stops.
fn accept(server: &Server, streams: &Arc<Streams>) {
    while !streams.crashed() {
        let Ok(Some(req)) = server.recv_timeout(STOP_LOOK) else {
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
