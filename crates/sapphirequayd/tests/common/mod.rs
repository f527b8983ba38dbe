//! Helpers that run daemons of every role in the test process, over real
//! sockets.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the helpers"
)]

mod cluster;
mod counting_service;
mod ports;
mod processes;

pub use {
    cluster::{Cluster, TestRequest, field, kind},
    counting_service::CountingService,
    ports::{free_port, start_process},
    processes::{Processes, Role},
};

use {
    quay_config::KeyDigest,
    quay_link::{DevelopmentKeys, LinkRole},
    quay_standin::{Engine, EngineSettings},
    sapphirequayd::{
        Daemon, EntrySettings, LedgerSettings, LinkTableSettings, ProcessSettings, Settings,
        SidecarSettings,
    },
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Longest wait for an expected condition. Generous, since no test asserts a
/// speed.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Bearer key of the only account.
pub const KEY: &str = "k";

/// Loopback address with a port chosen by the system.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Initial configuration document with accounts, given by name and key.
pub fn document(accounts: &[(&str, &str)]) -> String {
    let accounts = accounts.iter().map(|(name, key)| {
        let digest = KeyDigest::of(key);
        format!("[team.accounts.{name}]\nkey_sha256 = \"{digest}\"\n")
    });
    let accounts: Vec<_> = accounts.collect();
    format!(
        "[platform.owners]\nplatform = [\"operator\"]\nteam = [\"operator\"]\n\
        [platform.models.m]\n{}",
        accounts.concat()
    )
}

/// Settings of a process without a role.
pub fn settings(name: &str, ledgers: &[SocketAddr]) -> Settings {
    Settings {
        process: ProcessSettings {
            name: name.into(),
            data_centre: "dc-1".into(),
            monitor: Some(any_port()),
            ..ProcessSettings::default()
        },
        link: LinkTableSettings {
            ledgers: ledgers.into(),
            ..LinkTableSettings::default()
        },
        ..Settings::default()
    }
}

/// One daemon per role, in front of one upstream.
pub struct Daemons {
    pub entry: Daemon,
    pub ledger: Daemon,
    pub sidecar: Daemon,
    pub keys: DevelopmentKeys,
}

impl Daemons {
    /// Starts the daemons in front of the upstream named by `sidecar`.
    pub fn start(sidecar: SidecarSettings, entry: EntrySettings) -> Self {
        let keys = DevelopmentKeys::generate().expect("keys");
        let identity = |role| keys.identity(role).expect("identity");
        let ledger = Settings {
            ledger: Some(LedgerSettings {
                document_text: Some(document(&[("a", KEY)]).into()),
                ..LedgerSettings::default()
            }),
            ..settings("ledger-1", &[])
        };
        let ledger = Daemon::start(&ledger, identity(LinkRole::Ledger)).expect("ledger");
        let ledgers = [ledger.link_addr().expect("address")];
        let sidecar = Settings {
            sidecar: Some(sidecar),
            ..settings("sidecar-1", &ledgers)
        };
        let sidecar = Daemon::start(&sidecar, identity(LinkRole::Sidecar)).expect("sidecar");
        let entry = Settings {
            entry: Some(entry),
            ..settings("entry-1", &ledgers)
        };
        let entry = Daemon::start(&entry, identity(LinkRole::Entry)).expect("entry");
        let daemons = Self {
            entry,
            ledger,
            sidecar,
            keys,
        };
        wait_for("a configuration is in force", || {
            post_once(daemons.addr(), "wrong", "").0 == 401
        });
        daemons
    }

    /// Address on which the entry serves callers.
    pub fn addr(&self) -> SocketAddr {
        self.entry.callers_addr().expect("address")
    }
}

/// Settings of a sidecar in front of the engine at `addr`, which serves model
/// `m`.
pub fn sidecar_for_engine(addr: SocketAddr) -> SidecarSettings {
    SidecarSettings {
        models: vec!["m".into()],
        ..SidecarSettings::new("engine-1", addr)
    }
}

/// Starts a stand-in engine on a port chosen by the system.
pub fn engine(settings: EngineSettings) -> Engine {
    Engine::start(any_port(), settings).expect("engine")
}

/// Body of a chat completion request.
pub fn completion(stream: bool) -> String {
    format!(r#"{{"model":"m","stream":{stream},"messages":[{{"role":"user","content":"hi"}}]}}"#)
}

/// Posts `body`, and repeats it while the entry knows no upstream or has a
/// stale configuration. Returns the response's status and text.
pub fn post(addr: SocketAddr, key: &str, body: &str) -> (u16, String) {
    let started = Instant::now();
    loop {
        let (status, text) = post_once(addr, key, body);
        let starting = [r#""kind":"no_upstream""#, r#""kind":"config_stale""#];
        if !starting.iter().any(|kind| text.contains(kind)) || started.elapsed() > WAIT_TIMEOUT {
            return (status, text);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Posts `body` once. Returns the response's status and text.
pub fn post_once(addr: SocketAddr, key: &str, body: &str) -> (u16, String) {
    let response = ureq::post(&format!("http://{addr}/v1/chat/completions"))
        .set("authorization", &format!("Bearer {key}"))
        .send_string(body);
    read(response)
}

/// Requests `path`. Returns the response's status and text.
pub fn get(addr: SocketAddr, path: &str) -> (u16, String) {
    read(ureq::get(&format!("http://{addr}{path}")).call())
}

/// Status and text of a response. It must break off if it ends with an error event, and
/// be whole otherwise.
pub fn read(response: Result<ureq::Response, ureq::Error>) -> (u16, String) {
    let (status, response) = match response {
        Ok(response) => (response.status(), response),
        Err(ureq::Error::Status(status, response)) => (status, response),
        Err(err) => panic!("{err}"),
    };
    let mut bytes = Vec::new();
    let ended = response.into_reader().read_to_end(&mut bytes);
    let text = String::from_utf8(bytes).expect("text");
    let failed = text.contains("event: error");
    assert_eq!(ended.is_err(), failed, "{ended:?}: {text}");
    (status, text)
}

/// Concatenated texts of a streamed response's deltas.
pub fn streamed_text(events: &str) -> String {
    events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| {
            event["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}

/// Waits until `done` returns true; `condition` states the expected condition.
pub fn wait_for(condition: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "condition not met in time: {condition}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Opens a raw connection with a read time-out.
pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("connection");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("timeout");
    stream
}

/// Sends `bytes` and reads until the peer closes the connection or an error
/// occurs.
pub fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> String {
    let _ = stream.write_all(bytes);
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    let started = Instant::now();
    while let Ok(read @ 1..) = stream.read(&mut buf) {
        text.extend_from_slice(&buf[..read]);
    }
    assert!(
        started.elapsed() < WAIT_TIMEOUT,
        "the peer did not close the connection"
    );
    String::from_utf8_lossy(&text).into_owned()
}
