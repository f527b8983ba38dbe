//! Cases in which the platform ends processes that use more memory than they have.

use {
    crate::{
        conversation::{Conversation, start},
        host::{Class, Deployment, Sheet},
        operator,
        record::Record,
    },
    std::{
        collections::BTreeMap,
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Delay after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Interval between two looks at the memory of the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Orders of the operator that are in progress at once.
const ORDERS: usize = 3;

/// Ends of one machine's process that the rule counts.
const ENDS: u32 = 3;

fn env(name: &str, default: u64) -> u64 {
    let set = std::env::var(name).ok().and_then(|it| it.parse().ok());
    set.unwrap_or(default)
}

/// Enforces the memory of the machines until `until` says so.
fn watch(
    deployment: &mut Deployment,
    record: &Record,
    until: impl Fn(&Deployment) -> bool,
) -> io::Result<()> {
    let mut told = Instant::now();
    while !until(deployment) {
        for ended in deployment.enforce_memory(RESTART_DELAY)? {
            record.line(&format!("platform: ends {ended}"));
        }
        if told.elapsed() >= Duration::from_secs(5) {
            told = Instant::now();
            tell_memory(deployment, record);
        }
        thread::sleep(LOOK_INTERVAL);
    }
    tell_memory(deployment, record);
    Ok(())
}

fn tell_memory(deployment: &Deployment, record: &Record) {
    let all = deployment.machines.iter();
    let all: Vec<String> = all
        .map(|it| {
            format!(
                "{} {}/{} MB, {} ends",
                it.name, it.peak_mb, it.memory_mb, it.ends
            )
        })
        .collect();
    record.line(&format!("most memory so far: {}", all.join("; ")));
}

/// Number of machines whose process ended as often as the rule counts.
fn ended_often(deployment: &Deployment, class: impl Fn(Class) -> bool) -> usize {
    let all = deployment.machines.iter();
    all.filter(|it| class(it.class) && it.ends >= ENDS).count()
}

/// Programs with long turns.
pub fn turn_memory(trouble: bool, record: &Record) -> io::Result<bool> {
    let sheet = Sheet {
        zones: ["it-north-a", "it-north-b", "it-north-c"]
            .map(|it| it.rsplit('-').next().unwrap_or(it)),
        fronts: 4,
        stores: 3,
        cores: 3,
        losses: 1,
        front_mb: 110,
        store_mb: 130,
        core_mb: 256,
    };
    let (mut deployment, _runs) = start(&sheet, 6, record)?;
    let fronts = deployment.ips(Class::Front);
    let programs = if trouble { env("PROGRAMS", 24) } else { 1 };
    let (bytes, turns) = (env("BYTES", 4_000_000) as usize, env("TURNS", 4));
    let began = Instant::now();
    // Turns a second: bursts of 4 s, with 4 s of ordinary traffic between them.
    let per_s = move || {
        let bursts = trouble && began.elapsed().as_secs() % 8 < 4;
        if bursts { 40 } else { 20 }
    };
    record.line(&format!(
        "{programs} programs at a time, {turns} turns of {bytes} bytes each, {} turns a second at most",
        if trouble { "for 4 s 40, for 4 s 20" } else { "20" },
    ));
    let ends = Instant::now() + Duration::from_secs(env("SECONDS", 90));
    let ended = Arc::new(AtomicBool::new(false));
    let gate = Arc::new(Mutex::new(Instant::now()));
    let sent = Arc::new(AtomicU64::new(0));
    let counts: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    for number in 0..programs {
        let (ended, gate, sent, counts, fronts) = (
            Arc::clone(&ended),
            Arc::clone(&gate),
            Arc::clone(&sent),
            Arc::clone(&counts),
            fronts.clone(),
        );
        thread::spawn(move || {
            for run in 0.. {
                let mut talk = Conversation::new(&format!("p{number:02}{run:03}"));
                let (mut turn, mut failed) = (0, 0);
                // Some lines of turns arrive through a different zone from one to the next.
                while turn < turns && failed < 3 {
                    let due = gate.lock().map(|mut gate| {
                        let due = (*gate).max(Instant::now());
                        *gate = due + Duration::from_secs(1) / per_s();
                        due
                    });
                    thread::sleep(due.map_or(Duration::ZERO, |it| {
                        it.saturating_duration_since(Instant::now())
                    }));
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let front = &fronts[(number + turn + failed) as usize % fronts.len()];
                    let (answer, _) = talk.send(front, bytes);
                    sent.fetch_add(1, Ordering::Relaxed);
                    let status = if answer.whole { answer.status } else { 0 };
                    if let Ok(mut counts) = counts.lock() {
                        *counts.entry(status).or_default() += 1;
                    }
                    if status == 200 {
                        turn += 1;
                    } else {
                        failed += 1;
                        thread::sleep(Duration::from_millis(250));
                    }
                }
            }
        });
    }
    watch(&mut deployment, record, |deployment| {
        Instant::now() >= ends || ended_often(deployment, |_| true) >= 2
    })?;
    ended.store(true, Ordering::Relaxed);
    let counts = counts
        .lock()
        .map(|it| format!("{it:?}"))
        .unwrap_or_default();
    record.line(&format!(
        "{} turns sent, by status (0: none, or not whole): {counts}",
        sent.load(Ordering::Relaxed)
    ));
    let often = ended_often(&deployment, |_| true);
    record.line(&format!(
        "{often} of {} machines ended {ENDS} times for want of memory",
        deployment.machines.len()
    ));
    Ok(often >= 2)
}

/// Changes of a large configuration.
pub fn configuration_memory(trouble: bool, record: &Record) -> io::Result<bool> {
    let sheet = Sheet {
        zones: ["a", "b", "c"],
        fronts: 1,
        stores: 0,
        cores: 3,
        losses: 1,
        front_mb: 110,
        store_mb: 130,
        core_mb: 256,
    };
    let (mut deployment, _runs) = start(&sheet, 1, record)?;
    let controls = deployment.ips(Class::Core);
    let changes = if trouble { env("CHANGES", 900) } else { 20 };
    let ended = Arc::new(AtomicBool::new(false));
    let acked = Arc::new(AtomicU64::new(0));
    let next = Arc::new(AtomicU64::new(0));
    for _ in 0..ORDERS {
        let (done, count, next) = (Arc::clone(&ended), Arc::clone(&acked), Arc::clone(&next));
        let (controls, log) = (controls.clone(), record.clone());
        thread::spawn(move || {
            loop {
                let change = next.fetch_add(1, Ordering::Relaxed);
                if change >= changes {
                    break;
                }
                // Versions increase in uneven steps.
                let version = 2 + change * 2 + change % 2;
                let body = operator::configuration(version, 350, &tenants(change));
                if change % 50 == 0 {
                    let bytes = body.len();
                    log.line(&format!(
                        "operator: change {change} is version {version} with {bytes} bytes"
                    ));
                }
                let limit = Duration::from_secs(10);
                let status = operator::put(&controls, &body, change as usize, limit);
                if status == 200 {
                    count.fetch_add(1, Ordering::Relaxed);
                } else {
                    log.line(&format!("operator: version {version} got {status}"));
                }
            }
            done.store(true, Ordering::Relaxed);
        });
    }
    let began = Instant::now();
    watch(&mut deployment, record, |deployment| {
        ended.load(Ordering::Relaxed)
            || ended_often(deployment, |it| it == Class::Core) >= 2
            || began.elapsed() >= Duration::from_secs(100)
    })?;
    let often = ended_often(&deployment, |it| it == Class::Core);
    record.line(&format!(
        "{} changes acknowledged in {:.0} s; {often} of 3 control machines ended {ENDS} times for want of memory",
        acked.load(Ordering::Relaxed),
        began.elapsed().as_secs_f64()
    ));
    Ok(often >= 2)
}

/// 3,600 tenants, of which one gets another key with each change.
fn tenants(change: u64) -> String {
    let all = (0..3_600).map(|at| {
        let turn = if at == change % 3_600 { change } else { 0 };
        let key = |label: &str| format!("\"{label}-{at:05}-{turn:05}-7f3a91c2b45d6e8f9a0b1c2d3e4f5a6b\"");
        format!(
            "{{\"Name\":\"account-{at:05}\",\"ApiKeys\":[{},{},{}],\"RatePerS\":20.0,\"Burst\":40.0}}",
            key("key"), key("old"), key("ops")
        )
    });
    all.collect::<Vec<_>>().join(",")
}
