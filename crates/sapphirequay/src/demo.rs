//! `sapphirequay demo`: every role and the stand-ins in one process.

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

/// Model of the demo.
const MODEL: &str = "demo-model";

/// Plain service of the demo.
const SERVICE: &str = "orders";

/// The order that the demo places.
const ORDER: &str = "12 crates of apples";

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
        [demo.services.{SERVICE}]\n\
        [demo.accounts.demo]\nkey_sha256 = \"{}\"\n",
        KeyDigest::of(KEY)
    )
}

/// The processes of the demo; they end with it.
struct Demo {
    entry: SocketAddr,
    service: Service,
    _daemons: Vec<Daemon>,
    _engine: Engine,
}

impl Demo {
    /// Starts every role and the stand-ins.
    fn start() -> Result<Self, Box<dyn Error>> {
        let keys = DevelopmentKeys::generate()?;
        let engine = Engine::start(any_port(), EngineSettings::default())?;
        let service = Service::start(any_port(), ServiceSettings::default())?;
        let ledger = Settings {
            ledger: Some(LedgerSettings {
                document_text: Some(document().into()),
                ..LedgerSettings::default()
            }),
            ..settings("ledger-1", &[])
        };
        let ledger = Daemon::start(&ledger, keys.identity(LinkRole::Ledger)?)?;
        let ledgers = [ledger.link_addr().ok_or("the ledger has no address")?];
        let before_engine = SidecarSettings {
            upstream: "engine-1".into(),
            addr: engine.addr(),
            models: vec![MODEL.into()],
            service: None,
            concurrency: 16,
        };
        let before_service = SidecarSettings {
            upstream: "orders-1".into(),
            addr: service.addr(),
            models: Vec::new(),
            service: Some(SERVICE.into()),
            ..before_engine.clone()
        };
        let mut daemons = vec![ledger];
        for (name, sidecar) in [("sidecar-1", before_engine), ("sidecar-2", before_service)] {
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
        let addr = entry.callers_addr().ok_or("the entry has no address")?;
        daemons.push(entry);
        Ok(Self {
            entry: addr,
            service,
            _daemons: daemons,
            _engine: engine,
        })
    }

    /// Sends a request until the upstreams are known, and opens its answer.
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
                // The entry hears of the upstreams within seconds of its start.
                Err(ureq::Error::Status(503, _)) if started.elapsed() < START_LIMIT => {
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
    fn create(&self, key: &str, body: &str) -> Result<String, Box<dyn Error>> {
        let headers = [("idempotency-key", key)];
        let text = self
            .send("POST", "/v1/programs", &headers, body)?
            .into_string()?;
        let created: Value = serde_json::from_str(&text)?;
        let id = created["id"].as_str().ok_or("a program has an id")?;
        Ok(id.to_owned())
    }

    /// Makes a program's next call and prints the answer as it streams in.
    fn turn(&self, program: &str, call: &str, messages: &Value) -> Result<String, Box<dyn Error>> {
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

    /// Places an order that must not be placed twice, and sends it again.
    fn order(&self, program: &str) -> Result<(), Box<dyn Error>> {
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

/// Runs the demo: a program with turns, a tool and a sub-agent.
pub fn run() -> Result<(), Box<dyn Error>> {
    let demo = Demo::start()?;
    println!("entry: http://{}", demo.entry);
    let program = demo.create("demo", r#"{"budget_tokens":20000}"#)?;
    let mut messages = json!([{"role": "user", "content": "What does shop 12 need?"}]);
    let answer = demo.turn(&program, "1", &messages)?;
    demo.order(&program)?;

    let grant = format!(r#"{{"parent":"{program}","budget_tokens":5000}}"#);
    let sub_agent = demo.create("demo-sub-agent", &grant)?;
    let question = json!([{"role": "user", "content": "Is the depot's stock enough?"}]);
    demo.turn(&sub_agent, "1", &question)?;

    let turns = messages.as_array_mut().ok_or("messages are a list")?;
    turns.push(json!({"role": "assistant", "content": answer}));
    turns.push(json!({"role": "user", "content": "The order is placed. Confirm it."}));
    demo.turn(&program, "3", &messages)?;

    let path = format!("/v1/programs/{program}");
    demo.send("DELETE", &path, &[], "")?;
    let shown: Value = serde_json::from_str(&demo.send("GET", &path, &[], "")?.into_string()?)?;
    println!(
        "{program}: used {} tokens, ended {}",
        shown["used_tokens"], shown["ended"]
    );
    Ok(())
}
