//! A call over real sockets: caller, entry, sidecar, engine and back.

use {
    quay_link::{DevelopmentKeys, LinkRole},
    quay_standin::{Engine, EngineSettings},
    sapphirequayd::{
        Daemon, EntrySettings, LedgerSettings, LinkTableSettings, ProcessSettings, Settings,
        SidecarSettings,
    },
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Longest wait for the first upstream to be known.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The first configuration document; the key of account `a` is `k`.
const DOCUMENT: &str = r#"
[platform.owners]
platform = ["operator"]
team = ["operator"]
[platform.models.m]
[team.accounts.a]
key_sha256 = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"
"#;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn settings(name: &str, ledgers: &[SocketAddr]) -> Settings {
    Settings {
        process: ProcessSettings {
            name: name.into(),
            data_centre: "dc-1".into(),
        },
        link: LinkTableSettings {
            ledgers: ledgers.into(),
            ..LinkTableSettings::default()
        },
        ..Settings::default()
    }
}

/// Every role, each as a daemon of its own.
struct Running {
    entry: Daemon,
    _ledger: Daemon,
    _sidecar: Daemon,
    _engine: Engine,
}

fn start() -> Running {
    let keys = DevelopmentKeys::generate().expect("keys");
    let identity = |role| keys.identity(role).expect("identity");
    let engine = Engine::start(any_port(), EngineSettings::default()).expect("engine");
    let ledger = Settings {
        ledger: Some(LedgerSettings {
            document_text: Some(DOCUMENT.into()),
            ..LedgerSettings::default()
        }),
        ..settings("ledger-1", &[])
    };
    let ledger = Daemon::start(&ledger, identity(LinkRole::Ledger)).expect("ledger");
    let ledgers = [ledger.link_addr().expect("address")];
    let sidecar = SidecarSettings {
        upstream: "engine-1".into(),
        addr: engine.addr(),
        models: vec!["m".into()],
        service: None,
        concurrency: 4,
    };
    let sidecar = Settings {
        sidecar: Some(sidecar),
        ..settings("sidecar-1", &ledgers)
    };
    let sidecar = Daemon::start(&sidecar, identity(LinkRole::Sidecar)).expect("sidecar");
    let entry = Settings {
        entry: Some(EntrySettings::default()),
        ..settings("entry-1", &ledgers)
    };
    let entry = Daemon::start(&entry, identity(LinkRole::Entry)).expect("entry");
    Running {
        entry,
        _ledger: ledger,
        _sidecar: sidecar,
        _engine: engine,
    }
}

/// Posts a body until an upstream is known; the status and text of the answer.
fn post(addr: SocketAddr, key: &str, body: &str) -> (u16, String) {
    let started = Instant::now();
    loop {
        let req = ureq::post(&format!("http://{addr}/v1/chat/completions"));
        let (status, response) = match req
            .set("authorization", &format!("Bearer {key}"))
            .send_string(body)
        {
            Ok(response) => (200, response),
            Err(ureq::Error::Status(status, response)) => (status, response),
            Err(err) => panic!("{err}"),
        };
        let text = response.into_string().expect("text");
        if !(text.contains("no_upstream") || text.contains("config_stale"))
            || started.elapsed() > START_LIMIT
        {
            return (status, text);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_call_is_answered_whole() {
    let running = start();
    let addr = running.entry.callers_addr().expect("address");
    let body = |stream| {
        format!(
            r#"{{"model":"m","stream":{stream},"messages":[{{"role":"user","content":"hi"}}]}}"#
        )
    };

    let (status, text) = post(addr, "k", &body(false));
    assert_eq!(status, 200, "{text}");
    assert!(text.contains("word0 word1 "), "{text}");
    assert!(text.contains(r#""completion_tokens":16"#), "{text}");

    let (status, text) = post(addr, "k", &body(true));
    assert_eq!(status, 200);
    assert_eq!(text.matches(r#""content":"word"#).count(), 16, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[test]
fn bad_input_gets_a_clear_error() {
    let running = start();
    let addr = running.entry.callers_addr().expect("address");
    let cases = [
        ("k", "{", 400, "bad_request"),
        ("k", r#"{"model":"m","messages":[]}"#, 400, "bad_request"),
        (
            "wrong",
            r#"{"model":"m","messages":[]}"#,
            401,
            "unauthorized",
        ),
    ];
    for (key, body, status, kind) in cases {
        let (got, text) = post(addr, key, body);
        assert_eq!(got, status, "{text}");
        assert!(text.contains(kind), "{text}");
        assert!(text.contains(r#""not_run":true"#), "{text}");
    }
}
