//! `sapphirequay demo`: runs every role and stand-in upstreams in one process.

use {
    quay_config::KeyDigest,
    quay_link::{DevelopmentKeys, LinkRole},
    quay_standin::{Engine, EngineSettings, Service, ServiceSettings},
    sapphirequayd::{
        Daemon, EntrySettings, LedgerSettings, LinkTableSettings, ProcessSettings, Settings,
        SidecarSettings,
    },
    serde_json::{Value, json},
    std::{
        error::Error,
        io::{self, BufRead as _, BufReader, Write as _},
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Model that the stand-in engine serves.
const MODEL: &str = "demo-model";

/// Name under which the stand-in service is called.
const SERVICE: &str = "orders";

/// Request body that the demo sends to the service.
const ORDER: &str = "12 crates of apples";

/// Bearer key of the demo's client account.
const KEY: &str = "demo-key";

/// Time after which the demo fails if the entry knows no upstream.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Loopback address with an ephemeral port.
fn ephemeral_addr() -> SocketAddr {
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

/// Initial configuration document.
fn document() -> String {
    format!(
        "[platform.owners]\nplatform = [\"operator\"]\ndemo = [\"operator\"]\n\
        [platform.models.{MODEL}]\n\
        [demo.services.{SERVICE}]\n\
        [demo.accounts.demo]\nkey_sha256 = \"{}\"\n",
        KeyDigest::of(KEY)
    )
}

/// Daemons and stand-ins of the demo, which stop when this value is dropped.
struct Demo {
    entry: SocketAddr,
    service: Service,
    _daemons: Vec<Daemon>,
    _engine: Engine,
}

impl Demo {
    /// Starts the stand-ins and a daemon for every role.
    fn start() -> Result<Self, Box<dyn Error>> {
        let keys = DevelopmentKeys::generate()?;
        let engine = Engine::start(ephemeral_addr(), EngineSettings::default())?;
        let service = Service::start(ephemeral_addr(), ServiceSettings::default())?;
        let ledger = Settings {
            ledger: Some(LedgerSettings {
                document_text: Some(document().into()),
                ..LedgerSettings::default()
            }),
            ..settings("ledger-1", &[])
        };
        let ledger = Daemon::start(&ledger, keys.identity(LinkRole::Ledger)?)?;
        let ledgers = [ledger.link_addr().ok_or("the ledger has no link address")?];
        let engine_sidecar = SidecarSettings {
            models: vec![MODEL.into()],
            concurrency: 16,
            ..SidecarSettings::new("engine-1", engine.addr())
        };
        let service_sidecar = SidecarSettings {
            upstream: "orders-1".into(),
            addr: service.addr(),
            models: Vec::new(),
            service: Some(SERVICE.into()),
            ..engine_sidecar.clone()
        };
        let mut daemons = vec![ledger];
        for (name, sidecar) in [
            ("sidecar-1", engine_sidecar),
            ("sidecar-2", service_sidecar),
        ] {
            let settings = Settings {
                sidecar: Some(sidecar),
                ..settings(name, &ledgers)
            };
            daemons.push(Daemon::start(&settings, keys.identity(LinkRole::Sidecar)?)?);
        }
        let entry = Settings {
            entry: Some(EntrySettings::default()),
            ..settings("entry-1", &ledgers)
        };
        let entry = Daemon::start(&entry, keys.identity(LinkRole::Entry)?)?;
        let addr = entry
            .callers_addr()
            .ok_or("the entry has no address for callers")?;
        daemons.push(entry);
        Ok(Self {
            entry: addr,
            service,
            _daemons: daemons,
            _engine: engine,
        })
    }

    /// Sends a request and returns its response. Retries on status 503 until
    /// the start time-out, since the upstreams may not be known yet.
    fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<ureq::Response, Box<dyn Error>> {
        let url = format!("http://{}{path}", self.entry);
        let started = Instant::now();
        loop {
            let mut req =
                ureq::request(method, &url).set("authorization", &format!("Bearer {KEY}"));
            for (name, value) in headers {
                req = req.set(name, value);
            }
            match req.send_string(body) {
                Ok(response) => return Ok(response),
                // The entry learns the upstreams within seconds of its start.
                Err(ureq::Error::Status(503, _)) if started.elapsed() < START_TIMEOUT => {
                    thread::sleep(Duration::from_millis(50));
                }
                Err(ureq::Error::Status(status, response)) => {
                    return Err(format!("{path}: {status}: {}", response.into_string()?).into());
                }
                Err(err) => return Err(err.into()),
            }
        }
    }

    /// Creates a program and returns its id.
    fn create_program(&self, key: &str, body: &str) -> Result<String, Box<dyn Error>> {
        let headers = [("idempotency-key", key)];
        let text = self
            .send("POST", "/v1/programs", &headers, body)?
            .into_string()?;
        let created: Value = serde_json::from_str(&text)?;
        let id = created["id"]
            .as_str()
            .ok_or("the response has no program id")?;
        Ok(id.to_owned())
    }

    /// Makes a streamed model call of a program, prints the text as it arrives
    /// and returns it.
    fn call_model(
        &self,
        program: &str,
        call: &str,
        messages: &Value,
    ) -> Result<String, Box<dyn Error>> {
        let key = format!("{program}-{call}");
        let headers = [
            ("sapphirequay-program", program),
            ("sapphirequay-call", call),
            ("idempotency-key", key.as_str()),
        ];
        let body = json!({"model": MODEL, "stream": true, "max_tokens": 8, "messages": messages});
        let response = self.send("POST", "/v1/chat/completions", &headers, &body.to_string())?;
        let mut answer = String::new();
        print!("{program} call {call}: ");
        for line in BufReader::new(response.into_reader()).lines() {
            let line = line?;
            let data = line.strip_prefix("data: ").filter(|data| *data != "[DONE]");
            let Some(data) = data else { continue };
            let event: Value = serde_json::from_str(data)?;
            let text = event["choices"][0]["delta"]["content"].as_str();
            print!("{}", text.unwrap_or_default());
            io::stdout().flush()?;
            answer.push_str(text.unwrap_or_default());
        }
        println!();
        Ok(answer)
    }

    /// Sends a call marked as not idempotent twice with the same idempotency
    /// key, and prints how often the service ran it.
    fn call_service_twice(&self, program: &str) -> Result<(), Box<dyn Error>> {
        let headers = [
            ("sapphirequay-program", program),
            ("sapphirequay-call", "2"),
            ("idempotency-key", "order-1"),
            ("sapphirequay-idempotent", "false"),
        ];
        let path = format!("/v1/services/{SERVICE}");
        for _ in 0..2 {
            let answer = self.send("POST", &path, &headers, ORDER)?.into_string()?;
            println!("{program} call 2, tool: {answer}");
        }
        println!(
            "the service ran the order {} time(s)",
            self.service.runs(ORDER)
        );
        Ok(())
    }
}

/// Runs the demo: a program with two model calls, a service call and a
/// sub-agent.
pub fn run() -> Result<(), Box<dyn Error>> {
    let demo = Demo::start()?;
    println!("entry: http://{}", demo.entry);
    let program = demo.create_program("demo", r#"{"budget_tokens":20000}"#)?;
    let mut messages = json!([{"role": "user", "content": "What does shop 12 need?"}]);
    let answer = demo.call_model(&program, "1", &messages)?;
    demo.call_service_twice(&program)?;

    let sub_agent_body = format!(r#"{{"parent":"{program}","budget_tokens":5000}}"#);
    let sub_agent = demo.create_program("demo-sub-agent", &sub_agent_body)?;
    let question = json!([{"role": "user", "content": "Is the depot's stock enough?"}]);
    demo.call_model(&sub_agent, "1", &question)?;

    let turns = messages
        .as_array_mut()
        .ok_or("the messages are not an array")?;
    turns.push(json!({"role": "assistant", "content": answer}));
    turns.push(json!({"role": "user", "content": "The order is placed. Confirm it."}));
    demo.call_model(&program, "3", &messages)?;

    let path = format!("/v1/programs/{program}");
    demo.send("DELETE", &path, &[], "")?;
    let shown: Value = serde_json::from_str(&demo.send("GET", &path, &[], "")?.into_string()?)?;
    println!(
        "{program}: used {} tokens, ended {}",
        shown["used_tokens"], shown["ended"]
    );
    Ok(())
}
