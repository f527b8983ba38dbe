//! A plain service that counts how often it ran each request.

use {
    crate::listen::bind,
    indexmap::IndexMap,
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        process,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
    tiny_http::{Method, Request, Response, Server},
};

/// Exit code of a service that crashed on purpose.
const CRASHED: i32 = 70;

/// How a stand-in service behaves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Time from a request to its answer.
    pub delay: Duration,
    /// Whether a request that it has run before is answered without a second run.
    pub idempotent: bool,
}

/// Runs of each request by its key: the field `key` of a JSON body, or the body.
type Runs = IndexMap<Box<str>, u64>;

/// A running stand-in service.
#[derive(Debug)]
pub struct Service {
    addr: SocketAddr,
    runs: Arc<Mutex<Runs>>,
}

impl Service {
    /// Starts a service on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn start(listen: SocketAddr, settings: ServiceSettings) -> io::Result<Self> {
        let listener = bind(listen)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let runs = Arc::<Mutex<Runs>>::default();
        let counted = Arc::clone(&runs);
        thread::Builder::new()
            .name("service".into())
            .spawn(move || accept(&server, &settings, &counted))?;
        Ok(Self { addr, runs })
    }

    /// Address that the service listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// How often a request ran.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        lock(&self.runs).get(key).copied().unwrap_or_default()
    }
}

/// Locks the counts.
fn lock(runs: &Mutex<Runs>) -> MutexGuard<'_, Runs> {
    runs.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Gives each request a thread of its own.
fn accept(server: &Server, settings: &ServiceSettings, runs: &Arc<Mutex<Runs>>) {
    while let Ok(req) = server.recv() {
        let (settings, runs) = (settings.clone(), Arc::clone(runs));
        thread::spawn(move || {
            if let Err(err) = serve(&settings, &runs, req) {
                log::debug!("event=service_caller_gone cause={err:?}");
            }
        });
    }
}

/// Serves one request.
fn serve(settings: &ServiceSettings, runs: &Mutex<Runs>, mut req: Request) -> io::Result<()> {
    match (req.method(), req.url()) {
        (Method::Get, "/stand-in/counts") => {
            let counts = json!(*lock(runs));
            req.respond(Response::from_string(counts.to_string()))
        }
        (Method::Post, "/stand-in/crash") => process::exit(CRASHED),
        (Method::Post, _) => {
            let mut body = String::new();
            req.as_reader().read_to_string(&mut body)?;
            let run = run(settings, runs, &key_of(&body));
            thread::sleep(settings.delay);
            let answer = json!({"ran": run, "request": body});
            req.respond(Response::from_string(answer.to_string()))
        }
        _ => req.respond(Response::from_string("ok")),
    }
}

/// The key of a request.
fn key_of(body: &str) -> Box<str> {
    let parsed: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    parsed["key"].as_str().unwrap_or(body).into()
}

/// Counts a run; how often the request has run.
fn run(settings: &ServiceSettings, runs: &Mutex<Runs>, key: &str) -> u64 {
    let mut runs = lock(runs);
    let count = runs.entry(key.into()).or_default();
    if !settings.idempotent || *count == 0 {
        *count += 1;
    }
    *count
}
