//! A store that has lost its disk can't copy turns whose inputs are large, so that the next
//! lost disk takes with it what was on both.
//!
//! A joining store fetches 32 turns with one call. If they take more than 32 MiB together,
//! the reply can't be sent, and the store asks for the same turns again and again.

use {
    super::{Site, wait_until},
    crate::{Outcome, Record},
    std::{
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// Turns with a large input, each the first of its program.
const LARGE_TURNS: usize = 64;

/// Size of a large input: 287,500 tokens of 4 bytes, where a worker has memory for 514,835,
/// and below `MaxBodyBytes`, which is 4,194,304.
const LARGE_BYTES: usize = 1_150_000;

/// Programs in one count of what is served.
const PROGRAMS: usize = 20;

/// `RetentionS` of the route.
const RETENTION: Duration = Duration::from_secs(60);

/// `RecoveryS` of the small deployments.
const RECOVERY_S: f64 = 12.0;

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(record)?;
    record.line("traffic starts");
    let input = vec![b'x'; LARGE_BYTES];
    let mut kept = Vec::new();
    for number in 0..LARGE_TURNS {
        let (program, turn) = (format!("large{number}"), format!("large{number}.0"));
        let sent = (program.as_str(), turn.as_str(), None);
        let (id, answer) = site.turn_with_retries(number, sent, &input);
        if answer.status() != 200 || !answer.complete {
            return Err(format!("turn {id} was not answered whole"));
        }
        kept.push((program, id, Instant::now()));
    }
    if trouble {
        lose_disk(&mut site, "store-zone-a-1")?;
        // A machine that is back counts as lost for 4.8 s.
        thread::sleep(Duration::from_secs(15));
    }
    let before = served(&site, "before");
    if trouble {
        record.line("final fault");
        lose_disk(&mut site, "store-zone-b-1")?;
    }
    let back = Instant::now();
    record.line("all machines are back");
    wait_until(back, RECOVERY_S + 1.0);
    let after = served(&site, "after RecoveryS");
    let starved = share(before) >= 0.25 && share(after) < 0.25;
    if starved {
        record.line(format!(
            "RECOVER: {} of {} requests served later than {RECOVERY_S} s after the machines are back, {} of {} before",
            after.0, after.1, before.0, before.1
        ));
    }
    let mut statuses = Vec::new();
    for (number, (program, id, answered)) in kept.iter().enumerate() {
        if answered.elapsed() > RETENTION {
            break;
        }
        let turn = format!("{program}.1");
        let sent = (program.as_str(), turn.as_str(), Some(id.as_str()));
        statuses.push(
            site.turn(site.front(number), sent, b"asks again\n")
                .status(),
        );
    }
    let lost = statuses.iter().filter(|it| matches!(it, 404 | 410)).count();
    let served = statuses.iter().filter(|it| **it == 200).count();
    record.line(format!(
        "LOST: {lost} of {} turns are answered 404 or 410 although their previous turn was answered whole less than 60 s ago, {served} are served",
        statuses.len()
    ));
    for store in ["store-zone-a-1", "store-zone-b-1", "store-zone-c-1"] {
        let peak = site.deployment.peak_memory(store);
        record.line(format!("peak memory of {store}: {peak} kB"));
    }
    Ok(if starved || lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

fn lose_disk(site: &mut Site, name: &str) -> Result<(), String> {
    let text = |err: std::io::Error| err.to_string();
    site.deployment.kill(name);
    site.deployment.wipe(name).map_err(text)?;
    thread::sleep(Duration::from_secs(1));
    site.deployment.start(name, false).map_err(text)
}

#[allow(clippy::cast_precision_loss)]
fn share((served, sent): (usize, usize)) -> f64 {
    served as f64 / sent as f64
}

/// Runs programs of one turn, which is followed by an order, all at the same time. Returns
/// how many requests were served, and how many were sent.
fn served(site: &Site, when: &str) -> (usize, usize) {
    let counts = Mutex::new((0, 0));
    thread::scope(|scope| {
        for number in 0..PROGRAMS {
            let counts = &counts;
            scope.spawn(move || {
                let program = format!("{}-{number}", when.replace(' ', "-"));
                let turn = format!("{program}.0");
                let front = site.front(number);
                let answer = site.turn(front, (&program, &turn, None), b"asks\n");
                let (mut served, mut sent) = (0, 1);
                if answer.status() == 200 && answer.complete {
                    let order = site.order(front, &format!("{program}.order"), 1_500);
                    sent += 1;
                    served += 1 + usize::from(order.status() == 200 && order.complete);
                }
                if let Ok(mut counts) = counts.lock() {
                    *counts = (counts.0 + served, counts.1 + sent);
                }
            });
        }
    });
    let (served, sent) = counts.into_inner().unwrap_or_default();
    site.record
        .line(format!("{when}: {served} of {sent} requests served"));
    (served, sent)
}
