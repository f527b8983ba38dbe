//! Upstream that writes whatever bytes a test wants.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use {
    crate::gateway::{header, read_request},
    std::{
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
    },
};

/// A request that an upstream has read, with its place on its connection.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    pub id: String,
    pub head: String,
    pub body: String,
    /// Number of requests that came on the same connection before.
    pub earlier: usize,
}

/// Upstream that answers each request by a function, which returns whether the
/// connection stays open.
#[derive(Clone)]
pub struct ScriptedUpstream {
    pub addr: SocketAddr,
    /// Ids of the requests that were run, as the function says.
    ran: Arc<Mutex<Vec<String>>>,
}

impl ScriptedUpstream {
    pub fn start(
        answer: impl Fn(&Self, &mut TcpStream, &UpstreamRequest) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
        let upstream = Self {
            addr: listener.local_addr().expect("address"),
            ran: Arc::default(),
        };
        let (shared, answer) = (upstream.clone(), Arc::new(answer));
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (shared, answer) = (shared.clone(), Arc::clone(&answer));
                thread::spawn(move || {
                    let mut earlier = 0;
                    while let Some((head, body)) = read_request(&mut stream) {
                        let id = header(&head, "x-sapphirequay-request-id");
                        let id = id.unwrap_or_default().to_owned();
                        let req = UpstreamRequest {
                            id,
                            head,
                            body,
                            earlier,
                        };
                        if !answer(&shared, &mut stream, &req) {
                            break;
                        }
                        earlier += 1;
                    }
                });
            }
        });
        upstream
    }

    pub fn record_run(&self, id: &str) {
        self.ran.lock().expect("lock").push(id.to_owned());
    }

    pub fn runs_of(&self, id: &str) -> usize {
        let ran = self.ran.lock().expect("lock");
        ran.iter().filter(|it| *it == id).count()
    }
}
