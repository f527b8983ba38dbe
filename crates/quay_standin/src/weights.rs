//! A weight store behind HTTP that sends at a limited rate.

use {
    crate::{listen::bind, model::WeightStore},
    quay_types::Time,
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::Instant,
    },
    tiny_http::{Request, Response, Server},
};

/// A running stand-in weight store: `GET /weights/NAME?bytes=N` is answered
/// once so many bytes have been sent at the rate of the store.
#[derive(Debug)]
pub struct WeightServer {
    addr: SocketAddr,
}

impl WeightServer {
    /// Starts a store on `listen` that sends `bytes_per_second`.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn start(listen: SocketAddr, bytes_per_second: u64) -> io::Result<Self> {
        let listener = bind(listen)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        thread::Builder::new()
            .name("weights".into())
            .spawn(move || accept(&server, WeightStore::new(bytes_per_second)))?;
        Ok(Self { addr })
    }

    /// Address that the store listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Gives each request a thread of its own.
fn accept(server: &Server, store: WeightStore) {
    let (origin, store) = (Instant::now(), Arc::new(Mutex::new(store)));
    while let Ok(req) = server.recv() {
        let store = Arc::clone(&store);
        thread::spawn(move || {
            if let Err(err) = serve(&store, origin, req) {
                log::debug!("event=weights_caller_gone cause={err:?}");
            }
        });
    }
}

/// Answers once the bytes would have been sent.
fn serve(store: &Mutex<WeightStore>, origin: Instant, req: Request) -> io::Result<()> {
    let Some(bytes) = bytes_of(req.url()) else {
        return req.respond(Response::empty(400));
    };
    let now = Time::ZERO + origin.elapsed();
    let takes = store
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .fetch(now, bytes);
    thread::sleep(takes);
    let answer = json!({"bytes": bytes, "ms": takes.as_millis()});
    req.respond(Response::from_string(answer.to_string()))
}

/// The number of bytes that a URL asks for.
fn bytes_of(url: &str) -> Option<u64> {
    let (path, query) = url.split_once('?')?;
    let bytes = query.strip_prefix("bytes=")?;
    path.starts_with("/weights/").then(|| bytes.parse().ok())?
}
