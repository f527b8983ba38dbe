//! The scripts of the cases.

mod catchup;
mod disks;
mod expiry;
mod large;
mod seeds;
mod snapshot;
mod timeout;

use {
    crate::{
        Outcome, Record,
        deployment::{Deployment, Role},
        http::{self, Message},
        worker::{Run, Worker},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Configuration of the deployment: the routes and services of the protocol page's example.
const CONFIG: &str = r#"{"Version":7,"Routes":[
{"Name":"r-chat","Host":"ficu95.example","PathPrefix":"/lohu930/","Kind":"streaming","TimeoutMs":3000,"SloMs":250,"Priority":1,"Service":"huvo11a","MaxAttempts":1,"Retain":true,"RetentionS":60.0,"Sticky":true,"Resumable":false,"GapTargetMs":250},
{"Name":"r-order","Host":"ficu95.example","PathPrefix":"/pule252/","Kind":"unsafe","TimeoutMs":1500,"SloMs":150,"Priority":2,"Service":"wuno96b","MaxAttempts":1}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":160,"Protocol":"h1","Tls":false,"Engine":{"Slots":16,"KvCapacity":514835,"KvTokenBytes":35136,"LinkMbps":4400000.0,"Moves":true,"Backups":true,"StrideTokens":31,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}},
{"Name":"wuno96b","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Runs a case by its name.
pub fn run(case: &str, record: &Record, trouble: bool) -> Result<Outcome, String> {
    match case {
        "disks" => disks::run(record, trouble),
        "expiry" => expiry::run(record, trouble),
        "catchup" => catchup::run(record, trouble),
        "large" => large::run(record, trouble),
        "snapshot" => snapshot::run(record, trouble),
        "seeds" => seeds::run(record, trouble),
        "timeout" => timeout::run(record, trouble),
        _ => Err(format!("there is no case {case:?}")),
    }
}

/// A small deployment that serves: three control machines, three stores, two fronts, two
/// model workers and an application worker.
struct Site {
    deployment: Deployment,
    workers: Vec<Worker>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Site {
    fn start(record: &Record) -> Result<Self, String> {
        let text = |err: std::io::Error| err.to_string();
        let mut deployment = Deployment::create(record).map_err(text)?;
        for zone in ZONES {
            deployment.add(&format!("core-{zone}-1"), Role::Control, zone);
        }
        for zone in ZONES {
            deployment.add(&format!("store-{zone}-1"), Role::Store, zone);
        }
        for zone in &ZONES[..2] {
            deployment.add(&format!("front-{zone}-1"), Role::Front, zone);
        }
        // Spare machines, which are not started with the others.
        for zone in ZONES {
            deployment.add(&format!("core-{zone}-2"), Role::Control, zone);
        }
        deployment.set_seeds(&["core-zone-a-1", "core-zone-b-1", "core-zone-c-1"]);
        for zone in ZONES {
            deployment
                .start(&format!("core-{zone}-1"), true)
                .map_err(text)?;
            deployment
                .start(&format!("store-{zone}-1"), true)
                .map_err(text)?;
        }
        for zone in &ZONES[..2] {
            deployment
                .start(&format!("front-{zone}-1"), true)
                .map_err(text)?;
        }
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let mut site = Self {
            deployment,
            workers: Vec::new(),
            runs,
            record: record.clone(),
        };
        site.deployment
            .put_config(CONFIG, Duration::from_secs(15))?;
        for (id, service, zone, streams) in [
            ("i-a1", "huvo11a", "zone-a", true),
            ("i-b1", "huvo11a", "zone-b", true),
            ("i-a2", "wuno96b", "zone-a", false),
            ("i-b2", "wuno96b", "zone-b", false),
            ("i-c2", "wuno96b", "zone-c", false),
        ] {
            let controls = site.deployment.controls();
            let worker = (id, service, zone);
            let worker = Worker::start(record, worker, streams, controls, &site.runs);
            site.workers.push(worker.map_err(text)?);
        }
        for front in ["front-zone-a-1", "front-zone-b-1"] {
            site.deployment.wait_ready(front, Duration::from_secs(15))?;
        }
        // Traffic starts once the platform's machines and workers have settled.
        thread::sleep(Duration::from_secs(4));
        Ok(site)
    }

    fn front(&self, number: usize) -> SocketAddr {
        let zone = ZONES[number % 2];
        self.deployment.listen(&format!("front-{zone}-1"))
    }

    /// Sends one turn. `previous` is the request that it continues from.
    fn turn(&self, front: SocketAddr, turn: (&str, &str, Option<&str>), input: &[u8]) -> Message {
        send_turn(&self.record, front, turn, input)
    }

    /// Sends a request that may run once at most, to an application worker.
    fn order(&self, front: SocketAddr, id: &str, deadline_ms: u32) -> Message {
        let headers = [
            ("Host", "ficu95.example".to_owned()),
            ("X-Sapphirequay-Request-Id", id.to_owned()),
            ("X-Sapphirequay-Deadline-Ms", deadline_ms.to_string()),
            ("Connection", "close".to_owned()),
        ];
        self.record
            .line(format!("client sends order {id} to {front}"));
        let limit = Duration::from_millis(deadline_ms.into());
        let answer = http::call(front, "POST /pule252/4b", &headers, b"order", limit);
        let answer = answer.unwrap_or_default();
        self.record.line(format!(
            "client gets {} for order {id}, whole {}",
            answer.status(),
            answer.complete
        ));
        answer
    }

    /// Sends a turn as a client does: at most three attempts while it is answered 503 or the
    /// connection breaks, each with an id of its own. Returns the id of the last attempt.
    fn turn_with_retries(
        &self,
        number: usize,
        (program, name, previous): (&str, &str, Option<&str>),
        input: &[u8],
    ) -> (String, Message) {
        let mut last = (String::new(), Message::default());
        for attempt in 0..3 {
            let id = format!("{name}-{attempt}");
            let front = self.front(number + attempt);
            let answer = self.turn(front, (program, &id, previous), input);
            let again = matches!(answer.status(), 0 | 429 | 503)
                || (answer.status() == 200 && !answer.complete);
            last = (id, answer);
            if !again {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        last
    }
}

/// Sends one turn. `previous` is the request that it continues from.
fn send_turn(
    record: &Record,
    front: SocketAddr,
    (program, id, previous): (&str, &str, Option<&str>),
    input: &[u8],
) -> Message {
    let tokens = (input.len() / 4).max(1_460);
    let mut headers = vec![
        ("Host", "ficu95.example".to_owned()),
        ("X-Sapphirequay-Request-Id", id.to_owned()),
        ("X-Sapphirequay-Program-Id", program.to_owned()),
        ("X-Sapphirequay-Session-Id", format!("s-{program}")),
        ("X-Sapphirequay-Program-Deadline-Ms", "60000".to_owned()),
        ("X-Sapphirequay-Token-Budget", "100000".to_owned()),
        ("X-Sapphirequay-Token-Usage", format!("{tokens},248")),
        ("X-Sapphirequay-Model", "m".to_owned()),
        (
            "X-Sapphirequay-Prompt-Prefix",
            format!("5c1e07a2:800,{}:{}", hex(program), tokens - 800),
        ),
        ("X-Sapphirequay-Deadline-Ms", "3000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    if let Some(previous) = previous {
        headers.push(("X-Sapphirequay-Previous-Turn", previous.to_owned()));
    }
    record.line(format!(
        "client sends turn {id} of program {program} to {front}, previous turn {}",
        previous.unwrap_or("none")
    ));
    let limit = Duration::from_secs(4);
    let answer = http::call(front, "POST /lohu930/2f", &headers, input, limit);
    let answer = answer.unwrap_or_default();
    record.line(format!(
        "client gets {} for turn {id}, seal {}, whole {}, {}",
        answer.status(),
        answer
            .header("x-sapphirequay-response-seal")
            .unwrap_or("none"),
        answer.complete,
        if answer.status() == 200 {
            format!("{} bytes", answer.body.len())
        } else {
            String::from_utf8_lossy(&answer.body).into_owned()
        }
    ));
    answer
}

/// A name as hexadecimal digits, for the parts of a prompt.
fn hex(name: &str) -> String {
    let sum = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{:08x}", sum & 0xffff_ffff)
}

/// Waits until `seconds` after `began`.
fn wait_until(began: Instant, seconds: f64) {
    let at = Duration::from_secs_f64(seconds);
    thread::sleep(at.saturating_sub(began.elapsed()));
}
