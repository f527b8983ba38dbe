//! A conversation with many long turns.

use {
    crate::{
        host::{Class, Deployment, FRONT_PORT, READY_PORT, Sheet},
        http::{self, Answer},
        operator,
        record::Record,
        worker::{self, Runs},
    },
    std::{
        io, thread,
        time::{Duration, Instant},
    },
};

/// Bytes of the input of a long turn; `MaxBodyBytes` is 4,194,304.
const TURN_BYTES: usize = 4_000_000;

/// What each request carries; it counts where the configuration has tenants.
pub const KEY: &str = "Bearer key-0001-7f3a91c2b45d6e8f";

/// What a case sends.
pub struct Plan {
    pub sheet: Sheet,
    /// Long turns before the one that is tried.
    pub turns: usize,
    /// The same without the disruption.
    pub short_turns: usize,
    /// Bytes of the input of the turn that is tried, and of first turns of other programs.
    pub next_bytes: usize,
    /// Event in the logs that tells of the cause.
    pub event: &'static str,
}

/// A conversation that is longer than a reply of a store may be.
pub fn long_reply() -> Plan {
    Plan {
        sheet: sheet(["tbo", "riv", "dur"], 5, 260, 300),
        turns: 9,
        short_turns: 7,
        next_bytes: 1_000,
        event: "event=link_reply_too_large",
    }
}

/// Time between the last turn and the next one.
const PAUSE: Duration = Duration::from_secs(5);

/// `RetentionS` of the route.
const RETENTION: Duration = Duration::from_secs(60);

fn sheet(zones: [&'static str; 3], fronts: usize, front_mb: u64, store_mb: u64) -> Sheet {
    Sheet {
        zones,
        fronts,
        stores: 3,
        cores: 3,
        losses: 1,
        front_mb,
        store_mb,
        core_mb: 256,
    }
}

/// A conversation of one program.
pub struct Conversation {
    pub program: String,
    pub prior: Option<String>,
    /// `X-Sapphirequay-Token-Budget`.
    pub budget: &'static str,
    turns: usize,
    tries: usize,
}

impl Conversation {
    pub fn new(program: &str) -> Self {
        Self {
            program: program.into(),
            prior: None,
            budget: "100000",
            turns: 0,
            tries: 0,
        }
    }

    /// Numbers the attempts of a program that is sent again as a new conversation.
    pub fn number_from(&mut self, part: &str, attempt: usize) {
        self.tries = 0x100 * usize::from(part == "b") + attempt;
    }

    /// Sends the next turn. Its id is the second value; a whole answer counts it.
    pub fn send(&mut self, front: &str, bytes: usize) -> (Answer, String) {
        self.tries += 1;
        let id = format!("{}{:04x}{:04x}", self.program, self.turns + 1, self.tries);
        let mut headers = vec![
            ("Host", "agents.example"),
            ("X-Sapphirequay-Request-Id", id.as_str()),
            ("X-Sapphirequay-Program-Id", self.program.as_str()),
            ("X-Sapphirequay-Session-Id", self.program.as_str()),
            ("X-Sapphirequay-Program-Deadline-Ms", "90000"),
            ("X-Sapphirequay-Deadline-Ms", "3000"),
            ("X-Sapphirequay-Token-Budget", self.budget),
            ("X-Sapphirequay-Token-Usage", "1680,248"),
            ("Authorization", KEY),
        ];
        if let Some(prior) = &self.prior {
            headers.push(("X-Sapphirequay-Previous-Turn", prior));
        }
        let letter = b'a' + (self.turns % 26) as u8;
        let body = vec![letter; bytes];
        let limit = Duration::from_millis(3_300);
        let answer = http::send(
            (front, FRONT_PORT),
            ("POST", "/turns/1"),
            &headers,
            &body,
            limit,
        );
        if answer.status == 200 && answer.whole {
            self.prior = Some(id.clone());
            self.turns += 1;
        }
        (answer, id)
    }
}

/// Bytes with which a worker ran a request, if one did.
pub fn ran(runs: &Runs, id: &str) -> Option<usize> {
    let runs = runs.lock().ok()?;
    runs.iter().find(|it| it.id == id).map(|it| it.bytes)
}

/// Starts a deployment with workers and its first configuration, and waits for the start
/// of traffic, 10 s after the machines.
pub fn start(sheet: &Sheet, workers: usize, record: &Record) -> io::Result<(Deployment, Runs)> {
    let began = Instant::now();
    let deployment = Deployment::start(sheet)?;
    let runs = Runs::default();
    let controls = deployment.ips(Class::Core);
    for number in 0..workers {
        let ip = deployment.stand_in_ip(number);
        let settings = worker::Settings {
            version: "v1",
            breaks_each: 0,
        };
        worker::start(
            number,
            ("models", settings),
            sheet.zones[number % 3],
            &ip,
            controls.clone(),
            &runs,
        )?;
    }
    thread::sleep(Duration::from_secs(1));
    let first = operator::configuration(1, 0, "");
    let status = operator::put(&controls, &first, 0, Duration::from_secs(30));
    record.line(&format!("operator: configuration 1 answered {status}"));
    if status != 200 {
        return Err(io::Error::other("no configuration"));
    }
    thread::sleep(Duration::from_secs(10).saturating_sub(began.elapsed()));
    Ok((deployment, runs))
}

fn wait_until_ready(front: &str) -> bool {
    let ends = Instant::now() + Duration::from_secs(20);
    while Instant::now() < ends {
        let probe = ("GET", "/sapphirequay/readiness");
        if http::send(
            (front, READY_PORT),
            probe,
            &[("Host", front)],
            &[],
            Duration::from_secs(1),
        )
        .status
            == 200
        {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

pub fn run(plan: &Plan, trouble: bool, record: &Record) -> io::Result<bool> {
    let (deployment, runs) = start(&plan.sheet, 4, record)?;
    let fronts = deployment.ips(Class::Front);
    for front in &fronts {
        if !wait_until_ready(front) {
            return Err(io::Error::other("a front is not ready"));
        }
    }
    let tell = |what: &str, front: usize, (answer, id): &(Answer, String)| {
        let reached = match ran(&runs, id) {
            Some(bytes) => format!("run with {bytes} bytes"),
            None => "reached no worker".to_owned(),
        };
        record.line(&format!(
            "{what} {id} at front {front}: {}; {reached}",
            answer.describe()
        ));
    };
    let mut talk = Conversation::new("aa01");
    for _ in 0..if trouble {
        plan.turns
    } else {
        plan.short_turns
    } {
        let sent = talk.send(&fronts[0], TURN_BYTES);
        tell("turn", 0, &sent);
        if sent.0.status != 200 || !sent.0.whole {
            return Err(io::Error::other("a turn before the last one failed"));
        }
    }
    let answered = Instant::now();
    // The program calls tools before it goes on.
    thread::sleep(PAUSE);
    // A turn that failed is sent again after 0.1 to 0.4 s.
    let (mut tries, mut reached) = (0, false);
    let (mut first_turns, mut first_reached) = (0, 0);
    for at in 0..6 {
        let front = at % fronts.len();
        let sent = talk.send(&fronts[front], plan.next_bytes);
        tell("next turn", front, &sent);
        tries += 1;
        reached |= ran(&runs, &sent.1).is_some();
        for _ in 0..2 {
            let mut other = Conversation::new(&format!("cc{first_turns:02}"));
            let sent = other.send(&fronts[front], plan.next_bytes);
            tell("first turn", front, &sent);
            first_turns += 1;
            first_reached += usize::from(ran(&runs, &sent.1).is_some());
        }
        if reached {
            break;
        }
        thread::sleep(Duration::from_millis(250));
    }
    let span = answered.elapsed();
    let refused = deployment.log_lines(plan.event);
    record.line(&format!(
        "log: {} lines have {}; the first: {:?}",
        refused.len(),
        plan.event,
        refused.first()
    ));
    record.line(&format!(
        "{tries} tries of the turn that goes on from the whole turn {}, until {:.1} s after that was answered (RetentionS {}), {}; {first_reached} of {first_turns} first turns reached a worker",
        talk.prior.as_deref().unwrap_or_default(),
        span.as_secs_f64(),
        RETENTION.as_secs(),
        if reached { "of which one reached a worker" } else { "none reached a worker" },
    ));
    if !reached && (span >= RETENTION || first_reached * 10 < first_turns * 9) {
        return Err(io::Error::other(
            "the deployment was not in a state that the rule judges",
        ));
    }
    Ok(!reached && tries >= 5)
}
