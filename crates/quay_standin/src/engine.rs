//! A model engine that streams a made-up answer.

use {
    serde_json::{Value, json},
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpListener},
        thread,
        time::Duration,
    },
    tiny_http::{Request, Server},
};

/// How a stand-in engine behaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Time from a request to its first token.
    pub prefill: Duration,
    /// Time between two tokens.
    pub token_gap: Duration,
    /// Tokens in an answer, unless the request allows fewer.
    pub answer_tokens: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            prefill: Duration::from_millis(20),
            token_gap: Duration::from_millis(5),
            answer_tokens: 16,
        }
    }
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct Engine {
    addr: SocketAddr,
}

impl Engine {
    /// Starts an engine on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn start(listen: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        thread::Builder::new()
            .name("engine".into())
            .spawn(move || accept(&server, &settings))?;
        Ok(Self { addr })
    }

    /// Address that the engine listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Gives each request a thread of its own.
fn accept(server: &Server, settings: &EngineSettings) {
    while let Ok(req) = server.recv() {
        let settings = settings.clone();
        thread::spawn(move || {
            if let Err(err) = answer(req, &settings) {
                log::debug!("event=engine_caller_gone cause={err:?}");
            }
        });
    }
}

/// Streams an answer.
fn answer(mut req: Request, settings: &EngineSettings) -> io::Result<()> {
    let body: Value = serde_json::from_reader(req.as_reader()).unwrap_or_default();
    let limit = body["max_tokens"]
        .as_u64()
        .unwrap_or(settings.answer_tokens);
    let tokens = settings.answer_tokens.min(limit);
    let prompt = body["messages"].to_string().len() / 4;
    let mut out = req.into_writer();
    out.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n",
    )?;
    thread::sleep(settings.prefill);
    for number in 0..tokens {
        event(
            &mut out,
            &json!({"choices": [{"index": 0, "delta": {"content": format!("word{number} ")}}]}),
        )?;
        thread::sleep(settings.token_gap);
    }
    let finish = if tokens < settings.answer_tokens {
        "length"
    } else {
        "stop"
    };
    event(
        &mut out,
        &json!({
            "choices": [{"index": 0, "delta": {}, "finish_reason": finish}],
            "usage": {"prompt_tokens": prompt, "completion_tokens": tokens},
        }),
    )?;
    chunk(&mut out, "data: [DONE]\n\n")?;
    out.write_all(b"0\r\n\r\n")?;
    out.flush()
}

/// Writes one event.
fn event(out: &mut impl Write, data: &Value) -> io::Result<()> {
    chunk(out, &format!("data: {data}\n\n"))
}

/// Writes and flushes one chunk.
fn chunk(out: &mut impl Write, text: &str) -> io::Result<()> {
    write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    out.flush()
}
