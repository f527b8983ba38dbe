//! Streams that clients take up again on a route whose requests two services share.

use {
    crate::{
        host::{Class, Deployment, FRONT_PORT, Sheet},
        http, operator,
        record::Record,
        worker::{self, Runs, Settings},
    },
    std::{
        io, thread,
        time::{Duration, Instant},
    },
};

/// Sheet of the deployment `olivera-carga`, with fewer fronts.
fn sheet() -> Sheet {
    Sheet {
        zones: ["tbo", "riv", "dur"],
        fronts: 3,
        stores: 3,
        cores: 3,
        losses: 1,
        front_mb: 260,
        store_mb: 300,
        core_mb: 256,
    }
}

/// Number of streams, and how many are sent a second.
const STREAMS: usize = 600;
const PER_S: u32 = 10;

/// Of each worker's streams one in so many is broken off.
const BREAKS_EACH: u64 = 34;

/// The configuration: one route whose streams may be resumed, and two services with half
/// of its requests each.
fn configuration() -> String {
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":180,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":16,\"KvCapacity\":644396,\"StrideTokens\":31,\"Models\":[{{\"Name\":\"m\"}}]}}}}"
        )
    };
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"r-streams\",\"Host\":\"agents.example\",\"PathPrefix\":\"/streams/\",\"Kind\":\"streaming\",\"TimeoutMs\":3000,\"SloMs\":250,\"Priority\":0,\"Split\":[{{\"Service\":\"models-a\",\"Weight\":50}},{{\"Service\":\"models-b\",\"Weight\":50}}],\"MaxAttempts\":1,\"Retain\":false,\"RetentionS\":60.0,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":250}}],\"Services\":[{},{}],\"Limits\":{}}}",
        service("models-a"),
        service("models-b"),
        operator::LIMITS,
    )
}

/// What a client has of a stream.
#[derive(Debug, Default)]
struct Stream {
    /// Text of each complete event.
    events: Vec<String>,
    whole: bool,
}

impl Stream {
    /// Adds the complete events of an answer, of which the first must follow the last one.
    fn add(&mut self, answer: &http::Answer) {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let mut rest = text.as_str();
        while let Some((event, behind)) = rest.split_once("\n\n") {
            rest = behind;
            let number = event
                .split(['\n', ' '])
                .nth(1)
                .and_then(|it| it.parse().ok());
            if number == Some(self.events.len() + 1) {
                let data = event.split_once("data: ").map_or("", |(_, data)| data);
                self.events.push(data.into());
            }
        }
        self.whole = answer.whole && answer.status == 200;
    }

    /// Versions that produced the events, in their order.
    fn versions(&self) -> Vec<&str> {
        let all = self.events.iter();
        let mut all: Vec<&str> = all.filter_map(|it| it.split(' ').next()).collect();
        all.dedup();
        all
    }
}

/// Sends a request of a stream, which begins it or goes on behind the last event.
fn send(front: &str, stream: usize, attempt: usize, last: usize) -> http::Answer {
    let id = format!("dd{stream:06}{attempt:02}");
    let last = last.to_string();
    let mut headers = vec![
        ("Host", "agents.example"),
        ("X-Sapphirequay-Request-Id", id.as_str()),
        ("X-Sapphirequay-Model", "m"),
        ("X-Sapphirequay-Token-Usage", "1460,80"),
        ("X-Sapphirequay-Deadline-Ms", "3000"),
    ];
    if last != "0" {
        headers.push(("Last-Event-Id", last.as_str()));
    }
    let body = format!("prompt of stream {stream}");
    let limit = Duration::from_millis(3_300);
    http::send(
        (front, FRONT_PORT),
        ("POST", "/streams/1"),
        &headers,
        body.as_bytes(),
        limit,
    )
}

pub fn run(trouble: bool, record: &Record) -> io::Result<bool> {
    let began = Instant::now();
    let sheet = sheet();
    let deployment = Deployment::start(&sheet)?;
    let (controls, fronts) = (deployment.ips(Class::Core), deployment.ips(Class::Front));
    let runs = Runs::default();
    for number in 0..6 {
        let (service, version) = [("models-a", "v1"), ("models-b", "v2")][number % 2];
        let breaks_each = if trouble { BREAKS_EACH } else { 0 };
        let settings = Settings {
            version,
            breaks_each,
        };
        let ip = deployment.stand_in_ip(number);
        worker::start(
            number,
            (service, settings),
            sheet.zones[number % 3],
            &ip,
            controls.clone(),
            &runs,
        )?;
    }
    thread::sleep(Duration::from_secs(1));
    let status = operator::put(&controls, &configuration(), 0, Duration::from_secs(30));
    record.line(&format!("operator: configuration 1 answered {status}"));
    thread::sleep(Duration::from_secs(10).saturating_sub(began.elapsed()));
    let (mut whole, mut broken, mut resumed, mut refused, mut joined) = (0, 0, 0, 0, 0);
    let traffic = Instant::now();
    for number in 0..STREAMS {
        let due = Duration::from_secs(1) / PER_S * number as u32;
        thread::sleep(due.saturating_sub(traffic.elapsed()));
        let mut stream = Stream::default();
        stream.add(&send(&fronts[number % fronts.len()], number, 1, 0));
        if stream.whole {
            whole += 1;
            continue;
        }
        broken += 1;
        let had = stream.events.len();
        if had == 0 {
            record.line(&format!("stream {number} got no event"));
            continue;
        }
        // The client takes it up again, at another front.
        let front = (number + 1) % fronts.len();
        let answer = send(&fronts[front], number, 2, had);
        stream.add(&answer);
        if answer.status == 200 {
            resumed += 1;
        } else {
            refused += 1;
        }
        let versions = stream.versions();
        let mixed = stream.whole && versions.len() > 1;
        joined += usize::from(mixed);
        record.line(&format!(
            "stream {number} broke off after event {had}; taken up again at front {front}: {}; {} events, of versions {versions:?}{}",
            if answer.status == 200 { "200".into() } else { answer.describe() },
            stream.events.len(),
            if mixed { ": joined from two versions" } else { "" },
        ));
    }
    record.line(&format!(
        "{STREAMS} streams: {whole} whole at once, {broken} broke off; of these {resumed} went on, {refused} were refused, and {joined} were joined from two versions and ended as whole"
    ));
    for line in deployment.log_lines("event=resume_decided").iter().take(3) {
        record.line(&format!("log: {line}"));
    }
    if trouble && broken == 0 || !trouble && whole < STREAMS {
        return Err(io::Error::other("the streams did not break off as meant"));
    }
    Ok(joined > 0)
}
