//! A worker starts again under its id at another software version, and its heartbeat comes
//! late. A stream that it began breaks off and is taken up at the former version.

use {
    crate::{
        Verdict,
        cluster::{Cluster, Role, machine_ip},
        http::{Conn, send, wait_until},
        lost_turns::CONFIG,
        worker::Worker,
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::{Arc, Barrier},
        thread,
        time::Duration,
    },
};

const EVENTS: usize = 12;
const STREAMS: usize = 10;

fn fields(number: usize, id: &str, last_event: Option<usize>) -> Vec<(&'static str, String)> {
    let mut fields = vec![
        ("Host", "chat.example".to_owned()),
        ("X-Sapphirequay-Request-Id", id.to_owned()),
        ("X-Sapphirequay-Deadline-Ms", "3000".to_owned()),
        ("X-Sapphirequay-Model", "m".to_owned()),
        ("X-Sapphirequay-Token-Usage", "840,372".to_owned()),
        ("X-Sapphirequay-Token-Budget", "20000".to_owned()),
        ("X-Sapphirequay-Program-Id", format!("program-{number}")),
        ("X-Sapphirequay-Session-Id", format!("session-{number}")),
        ("X-Sapphirequay-Program-Deadline-Ms", "60000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    if let Some(event) = last_event {
        fields.push(("Last-Event-Id", event.to_string()));
    }
    fields
}

/// Begins a stream and reads what comes until its connection ends. `begun` is waited for
/// once `events` events have come.
fn begin(front: SocketAddr, number: usize, input: &str, events: usize, begun: &Barrier) -> String {
    let mut got = String::new();
    let mut waited = false;
    if let Ok(stream) = TcpStream::connect(front) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let mut conn = Conn::new(stream);
        let mut text = "POST /chat/2f HTTP/1.1\r\n".to_owned();
        for (name, value) in fields(number, &format!("stream-{number}-a"), None) {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{input}", input.len()));
        if conn.stream.write_all(text.as_bytes()).is_ok() && conn.head().is_ok() {
            while let Some(chunk) = conn.chunk() {
                got.push_str(&String::from_utf8_lossy(&chunk));
                if !waited && got.matches("\n\n").count() >= events {
                    waited = true;
                    begun.wait();
                }
            }
        }
    }
    if !waited {
        begun.wait();
    }
    got
}

/// Versions of the events of a stream, in order, and the number of whole events.
fn versions(text: &str) -> Vec<String> {
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let data = whole.lines().filter_map(|it| it.strip_prefix("data: "));
    data.filter_map(|it| it.split('-').nth(1).map(Into::into))
        .collect()
}

pub fn run(trouble: bool) -> (Verdict, Vec<String>) {
    let mut cluster = Cluster::new(2, 3);
    let verdict = play(&mut cluster, trouble);
    (verdict, std::mem::take(&mut cluster.log))
}

fn play(cluster: &mut Cluster, trouble: bool) -> Verdict {
    cluster.start_all();
    let port = cluster.ports.worker;
    let times = (
        EVENTS,
        Duration::from_millis(20),
        Duration::from_millis(100),
    );
    let addr_of = |number| SocketAddr::new(machine_ip(3, number), port);
    let mut workers: Vec<Worker> = (0..2)
        .map(|number| {
            let (id, addr) = (format!("i-{number}"), addr_of(number));
            Worker::start(&id, "llm", addr, cluster.controls(), times)
        })
        .collect();
    let config = CONFIG
        .replace("\"Resumable\":false", "\"Resumable\":true")
        .replace("\"Retain\":true", "\"Retain\":false");
    if !cluster.put_config(&config, Duration::from_secs(15)) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    cluster.note("configuration acknowledged: the route is Resumable");
    let fronts = cluster.names(Role::Front);
    let ready = wait_until(Duration::from_secs(15), || {
        fronts.iter().all(|it| cluster.is_ready(it))
    });
    if !ready {
        return Verdict::NotRun("the fronts are not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let (first, second) = (cluster.front("front-1"), cluster.front("front-2"));
    if trouble {
        workers[0].stop();
        cluster.note("i-0 ends, at version v1");
        thread::sleep(Duration::from_millis(300));
        let late = ("v2", Duration::from_millis(3_500));
        let again = Worker::start_at("i-0", "llm", late, addr_of(0), cluster.controls(), times);
        workers.push(again);
        cluster
            .note("i-0 starts again under its id, at version v2; its heartbeat comes 3.5 s late");
        thread::sleep(Duration::from_millis(100));
    }
    let begun = Arc::new(Barrier::new(STREAMS + 1));
    let inputs: Vec<String> = (0..STREAMS)
        .map(|it| format!("question {it};").repeat(20))
        .collect();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (begun, input) = (Arc::clone(&begun), inputs[number].clone());
            thread::spawn(move || begin(first, number, &input, 3, &begun))
        })
        .collect();
    begun.wait();
    if trouble {
        cluster.kill("front-1");
        cluster.note("front-1 is killed in the middle of the streams");
    }
    let parts: Vec<String> = streams
        .into_iter()
        .map(|it| it.join().unwrap_or_default())
        .collect();
    let (mut joined, mut whole, mut refused) = (0, 0, 0);
    for (number, part) in parts.iter().enumerate() {
        let mut seen = versions(part);
        let came = seen.len();
        let mut status = 200;
        if came < EVENTS {
            let id = format!("stream-{number}-b");
            let answer = send(
                second,
                "POST /chat/2f",
                &fields(number, &id, Some(came)),
                inputs[number].as_bytes(),
                Duration::from_secs(4),
            );
            status = answer.status;
            if status == 200 {
                seen.extend(versions(&answer.text()));
            }
        }
        cluster.note(format!(
            "stream-{number}: {came} events, then {status}; versions of its events: {}",
            seen.join(" ")
        ));
        if status != 200 {
            refused += 1;
        } else if seen.windows(2).any(|it| it[0] != it[1]) {
            joined += 1;
        } else if seen.len() == EVENTS {
            whole += 1;
        }
    }
    for worker in &workers {
        worker.stop();
    }
    let text = format!(
        "of {STREAMS} streams {joined} were joined from two versions with status 200, {whole} are whole from one, {refused} were refused"
    );
    if joined > 0 {
        Verdict::Broken(format!("ORDER: {text}"))
    } else if trouble || whole == STREAMS {
        Verdict::Held(text)
    } else {
        Verdict::NotRun(text)
    }
}
