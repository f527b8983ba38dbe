//! Simulated weight store with a limited transfer rate, served over HTTP.

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

/// A running simulated weight store. `GET /weights/NAME?bytes=N` is answered
/// after the time that `N` bytes take at the store's transfer rate.
#[derive(Debug)]
pub struct WeightServer {
    addr: SocketAddr,
}

impl WeightServer {
    /// Starts a store on `listen` with a transfer rate of `bytes_per_second`.
    ///
    /// # Errors
    ///
    /// Fails if the socket or the thread cannot be created, for instance because
    /// the address is in use.
    pub fn start(listen: SocketAddr, bytes_per_second: u64) -> io::Result<Self> {
        let listener = bind(listen)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        thread::Builder::new()
            .name("weights".into())
            .spawn(move || accept(&server, WeightStore::new(bytes_per_second)))?;
        Ok(Self { addr })
    }

    /// Address on which the store listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Serves each request on its own thread.
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

/// Responds after the simulated transfer time.
fn serve(store: &Mutex<WeightStore>, origin: Instant, req: Request) -> io::Result<()> {
    let Some(bytes) = requested_bytes(req.url()) else {
        return req.respond(Response::empty(400));
    };
    let now = Time::ZERO + origin.elapsed();
    let duration = store
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .fetch(now, bytes);
    thread::sleep(duration);
    let reply = json!({"bytes": bytes, "ms": duration.as_millis()});
    req.respond(Response::from_string(reply.to_string()))
}

/// Number of bytes that a URL requests; `None` if the URL is invalid.
fn requested_bytes(url: &str) -> Option<u64> {
    let (path, query) = url.split_once('?')?;
    let bytes = query.strip_prefix("bytes=")?;
    path.starts_with("/weights/").then(|| bytes.parse().ok())?
}
