//! Turns with long inputs come at once, and fronts take more memory than they may. The
//! script plays the platform, which kills a process that uses more than `MemoryMb`.

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

const MEMORY_MB: u64 = 110;
const ROUNDS: usize = 3;
const TURNS: usize = 12;
const ORDERS: usize = 6;
/// Fits into a worker's memory (514,835 tokens) at four bytes a token.
const INPUT_BYTES: usize = 1_900_000;

fn turn(front: SocketAddr, id: &str) -> Answer {
    let fields = [
        ("Host", "chat.example".to_owned()),
        ("X-Sapphirequay-Request-Id", id.to_owned()),
        ("X-Sapphirequay-Deadline-Ms", "3000".to_owned()),
        ("X-Sapphirequay-Model", "m".to_owned()),
        ("X-Sapphirequay-Token-Usage", "475000,248".to_owned()),
        ("X-Sapphirequay-Token-Budget", "20000".to_owned()),
        ("X-Sapphirequay-Program-Id", format!("program of {id}")),
        ("X-Sapphirequay-Program-Deadline-Ms", "60000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let body = format!("{id:20}").repeat(INPUT_BYTES / 20);
    send(
        front,
        "POST /chat/2f",
        &fields,
        body.as_bytes(),
        Duration::from_secs(4),
    )
}

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

pub fn run(trouble: bool) -> (Verdict, Vec<String>) {
    let mut cluster = Cluster::new(2, 3);
    cluster.front_memory_mb = MEMORY_MB;
    let verdict = play(&mut cluster, trouble);
    (verdict, std::mem::take(&mut cluster.log))
}

fn play(cluster: &mut Cluster, trouble: bool) -> Verdict {
    cluster.start_all();
    let port = cluster.ports.worker;
    let workers: Vec<Worker> = (0..6)
        .map(|number| {
            let addr = SocketAddr::new(machine_ip(3, number), port);
            let (service, work) = if number < 4 {
                (
                    "llm",
                    (8, Duration::from_millis(20), Duration::from_millis(10)),
                )
            } else {
                ("app", (0, Duration::from_millis(200), Duration::ZERO))
            };
            let id = format!("i-{number}");
            Worker::start(&id, service, addr, cluster.controls(), work)
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
    thread::sleep(Duration::from_secs(5));
    let mut kills = vec![0; fronts.len()];
    let mut most = 0;
    let mut lost = Vec::new();
    for round in 0..ROUNDS {
        for (at, name) in fronts.iter().enumerate() {
            let addr = cluster.front(name);
            let mut asked: Vec<thread::JoinHandle<Vec<(String, Answer)>>> = Vec::new();
            if trouble {
                for number in 0..TURNS {
                    let id = format!("turn-{round}-{at}-{number}");
                    asked.push(thread::spawn(move || vec![(id.clone(), turn(addr, &id))]));
                }
            } else {
                asked.push(thread::spawn(move || {
                    let ids = (0..TURNS).map(|it| format!("turn-{round}-{at}-{it}"));
                    ids.map(|id| (id.clone(), turn(addr, &id))).collect()
                }));
            }
            asked.push(thread::spawn(move || {
                // Orders go on beside the turns.
                let ids = (0..ORDERS).map(|it| format!("order-{round}-{at}-{it}"));
                ids.map(|id| (id.clone(), order(addr, &id))).collect()
            }));
            // The platform.
            let mut killed = false;
            let mut peak = 0;
            while asked.iter().any(|it| !it.is_finished()) {
                let used = if killed { 0 } else { cluster.own_memory(name) };
                peak = peak.max(used);
                if used > MEMORY_MB * 1_000_000 {
                    cluster.kill(name);
                    killed = true;
                    kills[at] += 1;
                }
                thread::sleep(Duration::from_micros(500));
            }
            most = most.max(peak);
            let answers: Vec<(String, Answer)> = asked
                .into_iter()
                .flat_map(|it| it.join().unwrap_or_default())
                .collect();
            let whole = |it: &&(String, Answer)| it.1.status == 200 && it.1.whole;
            let served = answers.iter().filter(whole).count();
            cluster.note(format!(
                "round {round}, {name}: {served} of {} requests answered whole, most memory {:.1} MB, killed: {killed}",
                answers.len(),
                peak as f64 / 1e6
            ));
            for (id, answer) in &answers {
                if answer.status == 0 || !answer.whole {
                    lost.push(id.clone());
                }
            }
            if killed {
                thread::sleep(Duration::from_secs(1));
                cluster.start(name, false);
                let began = Instant::now();
                let back = wait_until(Duration::from_secs(8), || cluster.is_ready(name));
                cluster.note(format!(
                    "{name} is ready again: {back}, after {:?}",
                    began.elapsed()
                ));
            }
        }
    }
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    let ran: Vec<&String> = lost
        .iter()
        .filter(|id| runs.iter().any(|it| it.id == **id))
        .collect();
    for id in &ran {
        cluster.note(format!("{id} was run and got no whole answer"));
    }
    let orders = ran.iter().filter(|it| it.starts_with("order")).count();
    for worker in &workers {
        worker.stop();
    }
    let text = format!(
        "fronts of {MEMORY_MB} MB were killed {kills:?} times for their memory (most {:.1} MB); {} requests that ran, {orders} of them orders, got no whole answer",
        most as f64 / 1e6,
        ran.len()
    );
    if kills.iter().filter(|it| **it >= 3).count() >= 2 {
        Verdict::Broken(format!("Fault: {text}"))
    } else {
        Verdict::Held(text)
    }
}
