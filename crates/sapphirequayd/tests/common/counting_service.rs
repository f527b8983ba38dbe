//! A plain service that counts how often it executes each request body.

use {
    super::any_port,
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    tiny_http::{Response, Server},
};

#[derive(Clone)]
pub struct CountingService {
    addr: SocketAddr,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl CountingService {
    /// Starts a service that responds `delay` after it has executed a request.
    pub fn start(delay: Duration) -> Self {
        let listener = TcpListener::bind(any_port()).expect("port");
        let addr = listener.local_addr().expect("address");
        let server = Server::from_listener(listener, None).expect("server");
        let runs = Arc::<Mutex<BTreeMap<String, u32>>>::default();
        let counted = Arc::clone(&runs);
        thread::spawn(move || {
            while let Ok(mut req) = server.recv() {
                let counted = Arc::clone(&counted);
                thread::spawn(move || {
                    let mut body = String::new();
                    req.as_reader().read_to_string(&mut body).expect("body");
                    let run = {
                        let mut counted = counted.lock().expect("lock");
                        let run = counted.entry(body.clone()).or_default();
                        *run += 1;
                        *run
                    };
                    thread::sleep(delay);
                    let _ = req.respond(Response::from_string(format!("{body} run {run}")));
                });
            }
        });
        Self { addr, runs }
    }

    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of times a body was executed.
    pub fn runs(&self, body: &str) -> u32 {
        let runs = self.runs.lock().expect("lock");
        runs.get(body).copied().unwrap_or_default()
    }
}
