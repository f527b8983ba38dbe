//! A cluster of two entries in front of an engine and a service, and requests
//! to it.

use {
    super::{CountingService, any_port, document, settings, sidecar_for_engine, wait_for},
    quay_link::{DevelopmentKeys, LinkRole},
    quay_standin::{Engine, EngineSettings},
    sapphirequayd::{
        Daemon, EntrySettings, KvTable, LedgerSettings, PolicyTable, Settings, SidecarSettings,
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// A caller's HTTP request.
#[derive(Debug, Clone, Copy)]
pub struct TestRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub account: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

impl Default for TestRequest<'_> {
    fn default() -> Self {
        Self {
            method: "POST",
            path: "/v1/chat/completions",
            account: "key-a",
            headers: &[],
            body: r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#,
        }
    }
}

impl TestRequest<'_> {
    /// Sends the request once; returns `None` if the entry has disconnected.
    pub fn try_send(&self, entry: SocketAddr) -> Option<(u16, String)> {
        let mut req = ureq::request(self.method, &format!("http://{entry}{}", self.path))
            .set("authorization", &format!("Bearer {}", self.account));
        for (name, value) in self.headers {
            req = req.set(name, value);
        }
        match req.send_string(self.body) {
            Ok(response) | Err(ureq::Error::Status(_, response)) => {
                Some((response.status(), response.into_string().ok()?))
            }
            Err(ureq::Error::Transport(_)) => None,
        }
    }

    pub fn send(&self, entry: SocketAddr) -> (u16, String) {
        self.try_send(entry).expect("response")
    }

    /// Sends the request, and repeats it while the entry knows no upstream for
    /// it or has a stale configuration.
    pub fn send_when_known(&self, entry: SocketAddr) -> (u16, String) {
        let mut response = None;
        wait_for("the entry knows an upstream", || {
            let received = self.send(entry);
            let starting = ["no_upstream", "config_stale"];
            let known = !starting.iter().any(|kind| received.1.contains(kind));
            response = Some(received);
            known
        });
        response.expect("response")
    }
}

/// Kind of an error response.
pub fn kind(text: &str) -> String {
    let json: Value = serde_json::from_str(text).unwrap_or_default();
    json["error"]["kind"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Field of a JSON response.
pub fn field(text: &str, name: &str) -> Value {
    let json: Value = serde_json::from_str(text).expect("json");
    json[name].clone()
}

/// One ledger and two entries, and a sidecar each for an engine and a service.
pub struct Cluster {
    pub entries: [SocketAddr; 2],
    pub service: CountingService,
    pub engine: Engine,
    _daemons: Vec<Daemon>,
}

impl Cluster {
    pub fn start(service_delay: Duration) -> Self {
        Self::with_engine(service_delay, EngineSettings::default())
    }

    pub fn with_engine(service_delay: Duration, engine: EngineSettings) -> Self {
        let keys = DevelopmentKeys::generate().expect("keys");
        let identity = |role| keys.identity(role).expect("identity");
        let engine = Engine::start(any_port(), engine).expect("engine");
        let service = CountingService::start(service_delay);
        let ledger = Settings {
            ledger: Some(LedgerSettings {
                document_text: Some(document(&[("a", "key-a"), ("b", "key-b")]).into()),
                ..LedgerSettings::default()
            }),
            ..settings("ledger-1", &[])
        };
        let ledger = Daemon::start(&ledger, identity(LinkRole::Ledger)).expect("ledger");
        let ledgers = [ledger.link_addr().expect("address")];
        let sidecar = |name: &str, sidecar| {
            let settings = Settings {
                sidecar: Some(sidecar),
                policy: PolicyTable {
                    kv: KvTable { sweep_ms: 300 },
                    ..PolicyTable::default()
                },
                ..settings(name, &ledgers)
            };
            Daemon::start(&settings, identity(LinkRole::Sidecar)).expect("sidecar")
        };
        let engine_sidecar = sidecar_for_engine(engine.addr());
        let service_sidecar = SidecarSettings {
            upstream: "orders-1".into(),
            addr: service.addr(),
            models: Vec::new(),
            service: Some("orders".into()),
            ..engine_sidecar.clone()
        };
        let entry = |name: &str| {
            let settings = Settings {
                entry: Some(EntrySettings::default()),
                ..settings(name, &ledgers)
            };
            Daemon::start(&settings, identity(LinkRole::Entry)).expect("entry")
        };
        let daemons = vec![
            entry("entry-1"),
            entry("entry-2"),
            sidecar("sidecar-1", engine_sidecar),
            sidecar("sidecar-2", service_sidecar),
            ledger,
        ];
        let entries = [0, 1].map(|slot: usize| daemons[slot].callers_addr().expect("address"));
        let cluster = Self {
            entries,
            service,
            engine,
            _daemons: daemons,
        };
        for entry in cluster.entries {
            let warm = TestRequest::default().send_when_known(entry);
            assert_eq!(warm.0, 200, "{}", warm.1);
            let warm = TestRequest {
                path: "/v1/services/orders",
                body: "warm",
                ..TestRequest::default()
            };
            assert_eq!(warm.send_when_known(entry).0, 200);
        }
        cluster
    }
}
