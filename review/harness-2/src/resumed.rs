//! A stream of a retained turn breaks off, since its front was killed, and the client takes
//! it up again. The turn is kept with the events of the second part only.

use {
    crate::{
        Verdict,
        cluster::{Cluster, Role, machine_ip},
        http::{Conn, send, wait_until},
        lost_turns::CONFIG,
        worker::{Worker, digest, event_data},
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
};

const EVENTS: usize = 8;

pub fn fields(
    id: &str,
    previous: Option<&str>,
    last_event: Option<usize>,
) -> Vec<(&'static str, String)> {
    let mut fields = vec![
        ("Host", "chat.example".to_owned()),
        ("X-Sapphirequay-Request-Id", id.to_owned()),
        ("X-Sapphirequay-Deadline-Ms", "3000".to_owned()),
        ("X-Sapphirequay-Model", "m".to_owned()),
        ("X-Sapphirequay-Token-Usage", "1680,248".to_owned()),
        ("X-Sapphirequay-Token-Budget", "20000".to_owned()),
        ("X-Sapphirequay-Program-Id", "program-1".to_owned()),
        ("X-Sapphirequay-Session-Id", "session-1".to_owned()),
        ("X-Sapphirequay-Program-Deadline-Ms", "60000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    if let Some(previous) = previous {
        fields.push(("X-Sapphirequay-Previous-Turn", previous.to_owned()));
    }
    if let Some(event) = last_event {
        fields.push(("Last-Event-Id", event.to_string()));
    }
    fields
}

/// Sends a turn and reads its stream until `events` events have come whole or it ends.
/// Returns the text that came.
pub fn begin(front: SocketAddr, id: &str, input: &str, events: usize) -> String {
    let Ok(stream) = TcpStream::connect(front) else {
        return String::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let mut conn = Conn::new(stream);
    let mut text = "POST /chat/2f HTTP/1.1\r\n".to_owned();
    for (name, value) in fields(id, None, None) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{input}", input.len()));
    if conn.stream.write_all(text.as_bytes()).is_err() || conn.head().is_err() {
        return String::new();
    }
    let mut got = String::new();
    while got.matches("\n\n").count() < events {
        let Some(chunk) = conn.chunk() else { break };
        got.push_str(&String::from_utf8_lossy(&chunk));
    }
    got
}

pub fn run(trouble: bool) -> (Verdict, Vec<String>) {
    let mut cluster = Cluster::new(2, 3);
    let verdict = play(&mut cluster, trouble);
    (verdict, std::mem::take(&mut cluster.log))
}

fn play(cluster: &mut Cluster, trouble: bool) -> Verdict {
    cluster.start_all();
    let port = cluster.ports.worker;
    let workers: Vec<Worker> = (0..2)
        .map(|number| {
            let addr = SocketAddr::new(machine_ip(3, number), port);
            let work = (
                EVENTS,
                Duration::from_millis(20),
                Duration::from_millis(100),
            );
            Worker::start(
                &format!("i-{number}"),
                "llm",
                addr,
                cluster.controls(),
                work,
            )
        })
        .collect();
    let config = CONFIG.replace("\"Resumable\":false", "\"Resumable\":true");
    if !cluster.put_config(&config, Duration::from_secs(15)) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    cluster.note("configuration acknowledged: the route is Retain and Resumable");
    let fronts = cluster.names(Role::Front);
    let ready = wait_until(Duration::from_secs(15), || {
        fronts.iter().all(|it| cluster.is_ready(it))
    });
    if !ready {
        return Verdict::NotRun("the fronts are not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let (first, second) = (cluster.front("front-1"), cluster.front("front-2"));
    let input = "a question of some length;".repeat(20);
    let pieces: Vec<String> = (1..=EVENTS)
        .map(|event| event_data(digest(input.as_bytes()), event, "v1"))
        .collect();

    // The turn, whole in the end.
    let last;
    if trouble {
        let got = begin(first, "turn-1-a", &input, 3);
        cluster.kill("front-1");
        let came = got.matches("\n\n").count();
        cluster.note(format!(
            "front-1 is killed after {came} of {EVENTS} events of turn-1-a"
        ));
        if came != 3 {
            return Verdict::NotRun("the stream did not begin".into());
        }
        let mut answer = None;
        for try_ in 0..4 {
            let id = format!("turn-1-b{try_}");
            let sent = send(
                second,
                "POST /chat/2f",
                &fields(&id, None, Some(came)),
                input.as_bytes(),
                Duration::from_secs(4),
            );
            cluster.note(format!(
                "{id}, taken up after event {came}: {} whole: {}",
                sent.status, sent.whole
            ));
            if sent.status == 200 && sent.whole {
                let rest: Vec<&String> = pieces[came..]
                    .iter()
                    .filter(|it| sent.text().contains(*it))
                    .collect();
                if rest.len() == EVENTS - came {
                    answer = Some(id);
                }
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        let Some(id) = answer else {
            // A refusal is allowed: it says that the request has not run.
            return Verdict::Held("the stream was not taken up".into());
        };
        last = id;
    } else {
        let answer = send(
            first,
            "POST /chat/2f",
            &fields("turn-1-a", None, None),
            input.as_bytes(),
            Duration::from_secs(4),
        );
        cluster.note(format!(
            "turn-1-a: {} whole: {}",
            answer.status, answer.whole
        ));
        if answer.status != 200 || !answer.whole {
            return Verdict::NotRun("the turn was not answered".into());
        }
        last = "turn-1-a".to_owned();
    }
    thread::sleep(Duration::from_millis(300));

    // The next turn.
    let next = "and a second question";
    let answer = send(
        second,
        "POST /chat/2f",
        &fields("turn-2", Some(&last), None),
        next.as_bytes(),
        Duration::from_secs(4),
    );
    cluster.note(format!("turn-2, which continues {last}: {}", answer.status));
    let mut wanted = input.clone();
    for piece in &pieces {
        wanted.push_str(piece);
        wanted.push('\n');
    }
    wanted.push_str(next);
    let runs = workers.iter().flat_map(Worker::runs);
    let run = runs.filter(|it| it.id == "turn-2").last();
    for worker in &workers {
        worker.stop();
    }
    let Some(run) = run else {
        return Verdict::Held(format!("turn-2 was not run: {}", answer.status));
    };
    let got = String::from_utf8_lossy(&run.body).into_owned();
    let missing: Vec<usize> = (1..=EVENTS)
        .filter(|it| !got.contains(&pieces[it - 1]))
        .collect();
    cluster.note(format!(
        "the worker got {} bytes for turn-2; due were {}",
        got.len(),
        wanted.len()
    ));
    cluster.note(format!(
        "events of turn 1 that are missing in it: {missing:?}"
    ));
    if got == wanted {
        Verdict::Held("the worker got the whole conversation".into())
    } else {
        Verdict::Broken(format!(
            "UNASKED: the worker ran a turn whose body lacks events {missing:?} of the turn before"
        ))
    }
}
