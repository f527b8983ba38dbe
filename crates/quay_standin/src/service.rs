//! Simulated service that counts how often each request was executed.

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

/// Exit code of a simulated crash.
const CRASH_EXIT_CODE: i32 = 70;

/// Behaviour of a simulated service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Time from a request to its response.
    pub delay: Duration,
    /// Whether a repeated request is answered without being executed again.
    pub idempotent: bool,
}

/// Executions of each request by its key: the field `key` of a JSON body, or the
/// body itself.
type Runs = IndexMap<Box<str>, u64>;

/// A running simulated service.
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
    /// Fails if the socket or the thread cannot be created, for instance because
    /// the address is in use.
    pub fn start(listen: SocketAddr, settings: ServiceSettings) -> io::Result<Self> {
        let listener = bind(listen)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let runs = Arc::<Mutex<Runs>>::default();
        let counters = Arc::clone(&runs);
        thread::Builder::new()
            .name("service".into())
            .spawn(move || accept(&server, &settings, &counters))?;
        Ok(Self { addr, runs })
    }

    /// Address on which the service listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of executions of the request with this key.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        lock(&self.runs).get(key).copied().unwrap_or_default()
    }
}

/// Locks the execution counts.
fn lock(runs: &Mutex<Runs>) -> MutexGuard<'_, Runs> {
    runs.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves each request on its own thread.
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
        (Method::Post, "/stand-in/crash") => process::exit(CRASH_EXIT_CODE),
        (Method::Post, _) => {
            let mut body = String::new();
            req.as_reader().read_to_string(&mut body)?;
            let run = record_run(settings, runs, &request_key(&body));
            thread::sleep(settings.delay);
            let reply = json!({"ran": run, "request": body});
            req.respond(Response::from_string(reply.to_string()))
        }
        _ => req.respond(Response::from_string("ok")),
    }
}

/// Key of a request with this body.
fn request_key(body: &str) -> Box<str> {
    let parsed: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    parsed["key"].as_str().unwrap_or(body).into()
}

/// Counts an execution; an idempotent service does not count repeated requests.
/// Returns the number of executions so far.
fn record_run(settings: &ServiceSettings, runs: &Mutex<Runs>, key: &str) -> u64 {
    let mut runs = lock(runs);
    let count = runs.entry(key.into()).or_default();
    if !settings.idempotent || *count == 0 {
        *count += 1;
    }
    *count
}
