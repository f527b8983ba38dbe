//! Turns that were answered whole are denied after a store froze, another one lost its
//! disk and a third one was added.

use {
    crate::{
        Verdict,
        cluster::{Cluster, Role, machine_ip},
        http::{Answer, send, wait_until},
        worker::Worker,
    },
    std::{net::SocketAddr, thread, time::Duration},
};

const PROGRAMS: usize = 60;

pub const CONFIG: &str = r#"{"Version":7,"Routes":[
{"Name":"r-chat","Host":"chat.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":3000,"SloMs":250,"Priority":0,"Service":"llm","MaxAttempts":1,"Retain":true,"RetentionS":60.0,"Sticky":true,"Resumable":false,"GapTargetMs":250},
{"Name":"r-order","Host":"chat.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":1500,"SloMs":150,"Priority":2,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"llm","HealthPath":"/health","MaxConns":180,"Protocol":"h1","Tls":false,"Engine":{"Slots":16,"KvCapacity":644396,"KvTokenBytes":35136,"LinkMbps":4400000.0,"Moves":true,"Backups":true,"StrideTokens":31,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}},
{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn turn(front: SocketAddr, program: usize, id: &str, previous: Option<&str>) -> Answer {
    let mut fields = vec![
        ("Host", "chat.example".to_owned()),
        ("X-Sapphirequay-Request-Id", id.to_owned()),
        ("X-Sapphirequay-Deadline-Ms", "3000".to_owned()),
        ("X-Sapphirequay-Model", "m".to_owned()),
        ("X-Sapphirequay-Token-Usage", "1680,248".to_owned()),
        ("X-Sapphirequay-Token-Budget", "20000".to_owned()),
        ("X-Sapphirequay-Program-Id", format!("program-{program}")),
        ("X-Sapphirequay-Session-Id", format!("session-{program}")),
        ("X-Sapphirequay-Program-Deadline-Ms", "60000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    if let Some(previous) = previous {
        fields.push(("X-Sapphirequay-Previous-Turn", previous.to_owned()));
    }
    let body = format!("input of {id};").repeat(40);
    send(
        front,
        "POST /chat/2f",
        &fields,
        body.as_bytes(),
        Duration::from_secs(4),
    )
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
            let work = (8, Duration::from_millis(20), Duration::ZERO);
            Worker::start(
                &format!("i-{number}"),
                "llm",
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
    thread::sleep(Duration::from_secs(4));
    let addrs: Vec<SocketAddr> = fronts.iter().map(|it| cluster.front(it)).collect();

    // Turns that are answered whole.
    let mut whole = Vec::new();
    for program in 0..PROGRAMS {
        let id = format!("first-{program}");
        let answer = turn(addrs[program % 2], program, &id, None);
        if answer.status == 200 && answer.whole && answer.sealed() {
            whole.push(program);
        }
    }
    cluster.note(format!(
        "{} of {PROGRAMS} first turns were answered whole",
        whole.len()
    ));
    if whole.len() < PROGRAMS / 2 {
        return Verdict::NotRun("too few first turns were answered".into());
    }
    thread::sleep(Duration::from_millis(500));

    let (lost, frozen) = ("store-2", "store-1");
    if trouble {
        cluster.signal(frozen, "STOP");
        cluster.note(format!("{frozen} freezes"));
        let added = cluster.add(Role::Store, 3);
        cluster.start(&added, false);
        cluster.note(format!("{added} is added, with an empty disk"));
        thread::sleep(Duration::from_secs(1));
        cluster.kill(lost);
        cluster.wipe(lost);
        cluster.note(format!("{lost} loses power and its disk"));
        thread::sleep(Duration::from_secs(2));
        cluster.start(lost, false);
        cluster.note(format!("{lost} is back, with an empty disk"));
        thread::sleep(Duration::from_secs(3));
        cluster.signal(frozen, "CONT");
        cluster.note(format!("{frozen} wakes, with its disk as it was"));
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    // RecoveryS after all are back.
    thread::sleep(Duration::from_secs(12));

    let mut counts = [0; 4];
    for program in &whole {
        let previous = format!("first-{program}");
        let mut status = 0;
        for try_ in 0..3 {
            let id = format!("second-{program}-{try_}");
            let answer = turn(addrs[program % 2], *program, &id, Some(&previous));
            status = answer.status;
            cluster.note(format!(
                "program-{program}: turn that continues {previous}: {status} {}",
                if status == 200 {
                    String::new()
                } else {
                    answer.text()
                }
            ));
            if status != 503 {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        match status {
            200 => counts[0] += 1,
            404 | 410 => counts[1] += 1,
            503 => counts[2] += 1,
            _ => counts[3] += 1,
        }
    }
    let ended = cluster.ended();
    if !ended.is_empty() {
        cluster.note(format!("ended by themselves: {ended:?}"));
    }
    for worker in &workers {
        worker.stop();
    }
    let text = format!(
        "of {} turns answered whole less than 60 s before, {} were continued, {} were denied with 404 or 410, {} got 503, {} something else",
        whole.len(),
        counts[0],
        counts[1],
        counts[2],
        counts[3]
    );
    if counts[1] > 0 {
        Verdict::Broken(format!("LOST: {text}"))
    } else if trouble || counts[0] == whole.len() {
        Verdict::Held(text)
    } else {
        Verdict::NotRun(text)
    }
}
