//! A store that has lost its disk copies turns with large inputs, and the stores that it copies
//! from exceed their memory.
//!
//! A joining store asks a source for 32 turns with one call, and makes up to four such calls
//! at the same time, whatever the turns' size. The source reads and encodes all of them.

use {
    super::{Site, send_turn},
    crate::{Outcome, Record, deployment::Deployment},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Turns with a large input that are sent before the disk is lost, and again while the store
/// is down; each is the first of its program.
const LARGE_TURNS: usize = 48;

/// Clients that send them at the same time.
const CLIENTS: usize = 4;

/// Size of a large input: 250,000 tokens of 4 bytes, where a worker has memory for 514,835,
/// and below `MaxBodyBytes`, which is 4,194,304.
const LARGE_BYTES: usize = 1_000_000;

/// `MemoryMb` of a store in kB.
const MEMORY_KB: u64 = 130_000;

/// Delay before the platform starts a process again that it has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time for which the platform watches the stores after the lost disk.
const WATCHED: Duration = Duration::from_secs(40);

/// Pause between two programs.
const PAUSE: Duration = Duration::from_millis(200);

const STORES: [&str; 3] = ["store-zone-a-1", "store-zone-b-1", "store-zone-c-1"];

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(record)?;
    let text = |err: std::io::Error| err.to_string();
    record.line("traffic starts");
    send_large(&site, "first")?;
    if trouble {
        site.deployment.kill(STORES[0]);
        site.deployment.wipe(STORES[0]).map_err(text)?;
    }
    let down = Instant::now();
    send_large(&site, "second")?;
    if trouble {
        thread::sleep(Duration::from_secs(2).saturating_sub(down.elapsed()));
        site.deployment.start(STORES[0], false).map_err(text)?;
    }
    for store in STORES {
        record.line(format!("{store} has {} kB", site.deployment.memory(store)));
    }
    let fronts = [site.front(0), site.front(1)];
    let stop = AtomicBool::new(false);
    let (ends, (served, sent)) = thread::scope(|scope| {
        let client = scope.spawn(|| send_programs(record, fronts, &stop));
        let ends = watch(record, &mut site.deployment);
        stop.store(true, Ordering::Relaxed);
        (ends, client.join().unwrap_or_default())
    });
    let ends = ends.map_err(text)?;
    record.line(format!("{served} of {sent} new programs served meanwhile"));
    for (store, ends) in STORES.iter().zip(ends) {
        record.line(format!("Fault: {store} ended {ends} times for its memory"));
    }
    // The store whose disk was lost doesn't count: its disruption is its own.
    let broken = ends[1] >= 3 && ends[2] >= 3;
    Ok(if broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Sends turns with large inputs, each until it is answered whole.
fn send_large(site: &Site, name: &str) -> Result<(), String> {
    let input = vec![b'x'; LARGE_BYTES];
    thread::scope(|scope| {
        let send = |client: usize| {
            for number in (client..LARGE_TURNS).step_by(CLIENTS) {
                let program = format!("{name}{number}");
                let turn = format!("{program}.0");
                let sent = (program.as_str(), turn.as_str(), None);
                let (id, answer) = site.turn_with_retries(number, sent, &input);
                if answer.status() != 200 || !answer.complete {
                    return Err(format!("turn {id} was not answered whole"));
                }
            }
            Ok(())
        };
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || send(client)))
            .collect();
        let mut clients = clients.into_iter();
        clients.try_for_each(|it| it.join().unwrap_or(Err("a client failed".to_owned())))
    })
}

/// Ends each store that exceeds its memory, and starts it again, as the platform does.
/// Returns how often each was ended.
fn watch(record: &Record, deployment: &mut Deployment) -> std::io::Result<[u32; 3]> {
    let mut ends = [0; 3];
    let mut down: [Option<Instant>; 3] = [None; 3];
    let began = Instant::now();
    while began.elapsed() < WATCHED {
        for (number, store) in STORES.into_iter().enumerate() {
            if let Some(since) = down[number] {
                if since.elapsed() >= RESTART_DELAY {
                    deployment.start(store, false)?;
                    down[number] = None;
                }
                continue;
            }
            let memory = deployment.memory(store);
            if memory > MEMORY_KB {
                record.line(format!("{store} has {memory} kB of {MEMORY_KB}"));
                deployment.kill(store);
                ends[number] += 1;
                down[number] = Some(Instant::now());
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(ends)
}

/// Sends new programs of one turn until told to stop. Returns how many were served, and how
/// many were sent.
fn send_programs(record: &Record, fronts: [SocketAddr; 2], stop: &AtomicBool) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        let (program, turn) = (format!("small{sent}"), format!("small{sent}.0"));
        let front = fronts[sent % 2];
        let answer = send_turn(record, front, (&program, &turn, None), b"asks\n");
        sent += 1;
        served += usize::from(answer.status() == 200 && answer.complete);
        thread::sleep(PAUSE);
    }
    (served, sent)
}
