//! A worker says that it leaves right after the leader of the control hosts was killed.
//! The new leader acknowledges it, but a front goes on sending to the worker.

use {
    crate::{
        Verdict,
        cluster::{Cluster, Role, machine_ip},
        http::{Answer, send, wait_until},
        lost_turns::CONFIG,
        worker::Worker,
    },
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

fn order(front: SocketAddr, id: &str) -> Answer {
    let fields = [
        ("Host", "chat.example".to_owned()),
        ("X-Sapphirequay-Request-Id", id.to_owned()),
        ("X-Sapphirequay-Deadline-Ms", "1500".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    send(
        front,
        "POST /order/2f",
        &fields,
        b"one pallet",
        Duration::from_secs(2),
    )
}

/// Sends orders at the same moment.
fn orders(front: SocketAddr, prefix: &str, count: usize) -> Vec<(String, Answer)> {
    let sent: Vec<_> = (0..count)
        .map(|number| {
            let id = format!("{prefix}-{number}");
            thread::spawn(move || {
                let answer = order(front, &id);
                (id, answer)
            })
        })
        .collect();
    sent.into_iter().filter_map(|it| it.join().ok()).collect()
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
            let work = (0, Duration::from_millis(150), Duration::ZERO);
            Worker::start(
                &format!("i-{number}"),
                "app",
                addr,
                cluster.controls(),
                work,
            )
        })
        .collect();
    if !cluster.put_config(CONFIG, Duration::from_secs(15)) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    cluster.note("configuration acknowledged");
    let fronts = cluster.names(Role::Front);
    let ready = wait_until(Duration::from_secs(15), || {
        fronts.iter().all(|it| cluster.is_ready(it))
    });
    if !ready {
        return Verdict::NotRun("the fronts are not ready".into());
    }
    // Longer than a new leader takes to know all workers.
    thread::sleep(Duration::from_secs(6));
    for front in &fronts {
        let answers = orders(cluster.front(front), &format!("early-{front}"), 6);
        let served = answers.iter().filter(|it| it.1.status == 200).count();
        cluster.note(format!("{front}: {served} of 6 orders served"));
    }
    if workers.iter().any(|it| it.runs().is_empty()) {
        return Verdict::NotRun("a worker got no order".into());
    }
    let Some(leader) = cluster.leader() else {
        return Verdict::NotRun("no control host leads".into());
    };
    let leaving = &workers[0];
    let beaten = wait_until(Duration::from_secs(5), || {
        leaving
            .last_beat()
            .is_some_and(|it| it.elapsed() < Duration::from_millis(30))
    });
    if !beaten {
        return Verdict::NotRun("the worker's heartbeats are not acknowledged".into());
    }
    let began = Instant::now();
    let mut now = leader.clone();
    if trouble {
        cluster.kill(&leader);
        cluster.note(format!("{leader}, which leads, is killed"));
        // A heartbeat that is due before the next leader is there comes late.
        leaving.hold_heartbeats();
        let led = wait_until(Duration::from_secs(3), || {
            now = cluster.leader().unwrap_or_default();
            now != leader
        });
        if !led {
            return Verdict::NotRun("no other control host leads".into());
        }
    } else {
        thread::sleep(Duration::from_millis(800));
    }
    let mut acked = None;
    let controls: Vec<SocketAddr> = std::iter::once(cluster.control(&now))
        .chain(cluster.controls())
        .collect();
    for control in controls {
        if leaving.leave(control) {
            acked = Some(control);
            break;
        }
    }
    let at = Instant::now();
    let Some(control) = acked else {
        return Verdict::NotRun("the worker's leaving was not acknowledged".into());
    };
    cluster.note(format!(
        "{} says that it leaves, acknowledged by {control}; its last heartbeat was {} ms before",
        leaving.id(),
        leaving.last_beat().map_or(0, |it| it.elapsed().as_millis())
    ));
    // The fronts are in touch again ContactMs after the kill.
    let due = (began + CONTACT).max(at + DRAIN) + Duration::from_millis(100);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let front = cluster.front("front-2");
    let sent = Instant::now();
    cluster.note(format!(
        "front-2 gets 12 orders, {} ms after the acknowledgement and {} ms after the kill",
        (sent - at).as_millis(),
        (sent - began).as_millis()
    ));
    let asked = thread::spawn(move || orders(front, "late", 12));
    // The worker ends a little later than DrainMs after the acknowledgement.
    thread::sleep(Duration::from_millis(100));
    leaving.stop();
    cluster.note(format!("{} ends", leaving.id()));
    let answers = asked.join().unwrap_or_default();
    for (id, answer) in &answers {
        cluster.note(format!("{id}: {}", answer.status));
    }
    let late: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|it| it.id.starts_with("late"))
        .collect();
    for run in &late {
        cluster.note(format!(
            "{} reached {} {} ms after the acknowledgement; answered whole: {}",
            run.id,
            leaving.id(),
            (run.at - at).as_millis(),
            run.answered
        ));
    }
    let cut = answers.iter().filter(|it| it.1.status != 200).count();
    let text = format!(
        "{} of 12 orders, sent later than DrainMs after the acknowledgement, reached the worker that had left; {cut} orders got no success",
        late.len()
    );
    workers[1].stop();
    if late.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(format!("DRAIN: {text}"))
    }
}
