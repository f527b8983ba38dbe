//! `sapphirequay demo`: every role and the stand-ins in one process.

use {
    quay_config::KeyDigest,
    quay_link::{DevelopmentKeys, LinkRole},
    quay_standin::{Engine, EngineSettings},
    sapphirequayd::{
        Daemon, EntrySettings, LedgerSettings, LinkTableSettings, ProcessSettings, Settings,
        SidecarSettings,
    },
    std::{
        error::Error,
        io::{BufRead as _, BufReader},
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Model of the demo.
const MODEL: &str = "demo-model";

/// Key of the demo's account.
const KEY: &str = "demo-key";

/// Longest wait for the first upstream to be known.
const START_LIMIT: Duration = Duration::from_secs(10);

/// An address with a port that the system picks.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Settings of one process of the demo.
fn settings(name: &str, ledgers: &[SocketAddr]) -> Settings {
    Settings {
        process: ProcessSettings {
            name: name.into(),
            data_centre: "demo-1".into(),
            ..ProcessSettings::default()
        },
        link: LinkTableSettings {
            ledgers: ledgers.into(),
            ..LinkTableSettings::default()
        },
        ..Settings::default()
    }
}

/// The first configuration document.
fn document() -> String {
    format!(
        "[platform.owners]\nplatform = [\"operator\"]\ndemo = [\"operator\"]\n\
        [platform.models.{MODEL}]\n\
        [demo.accounts.demo]\nkey_sha256 = \"{}\"\n",
        KeyDigest::of(KEY)
    )
}

/// Runs the demo.
pub fn run() -> Result<(), Box<dyn Error>> {
    let keys = DevelopmentKeys::generate()?;
    let engine = Engine::start(any_port(), EngineSettings::default())?;
    let ledger = Settings {
        ledger: Some(LedgerSettings {
            document_text: Some(document().into()),
            ..LedgerSettings::default()
        }),
        ..settings("ledger-1", &[])
    };
    let ledger = Daemon::start(&ledger, keys.identity(LinkRole::Ledger)?)?;
    let ledgers = [ledger.link_addr().ok_or("the ledger has no address")?];
    let sidecar = SidecarSettings {
        upstream: "engine-1".into(),
        addr: engine.addr(),
        models: vec![MODEL.into()],
        service: None,
        concurrency: 16,
    };
    let sidecar = Settings {
        sidecar: Some(sidecar),
        ..settings("sidecar-1", &ledgers)
    };
    let _sidecar = Daemon::start(&sidecar, keys.identity(LinkRole::Sidecar)?)?;
    let entry = Settings {
        entry: Some(EntrySettings::default()),
        ..settings("entry-1", &ledgers)
    };
    let entry = Daemon::start(&entry, keys.identity(LinkRole::Entry)?)?;
    let addr = entry.callers_addr().ok_or("the entry has no address")?;
    println!("entry: http://{addr}");
    call(addr)
}

/// Makes one streamed call and prints the answer as it comes.
fn call(addr: SocketAddr) -> Result<(), Box<dyn Error>> {
    let body = format!(
        r#"{{"model":"{MODEL}","stream":true,"messages":[{{"role":"user","content":"What does shop 12 need?"}}]}}"#
    );
    let url = format!("http://{addr}/v1/chat/completions");
    let started = Instant::now();
    let response = loop {
        let sent = ureq::post(&url)
            .set("authorization", &format!("Bearer {KEY}"))
            .send_string(&body);
        match sent {
            Ok(response) => break response,
            // The entry hears of the upstream within a second of its start.
            Err(ureq::Error::Status(503, _)) if started.elapsed() < START_LIMIT => {
                thread::sleep(Duration::from_millis(50));
            }
            Err(err) => return Err(err.into()),
        }
    };
    for line in BufReader::new(response.into_reader()).lines() {
        let line = line?;
        if !line.is_empty() {
            println!("{line}");
        }
    }
    Ok(())
}
