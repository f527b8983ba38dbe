//! Turns with long inputs, and two stores that lose their disks one after the other, the
//! second long after the first is back.

use {
    super::{Site, wait_until},
    crate::{Outcome, Record},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Number of turns with a long input.
const LONG_TURNS: usize = 180;

/// Length of a long input in bytes: under half of `MaxBodyBytes`.
const LONG_INPUT: usize = 1_900_000;

/// Tries of the turn that continues the kept one.
const TRIES: usize = 6;

/// `RecoveryS` of the small sites.
const RECOVERY_S: f64 = 12.0;

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(record)?;
    let first = site.turn_with_retries(0, ("p1", "kept", None), b"the first input;");
    let (kept, answer) = first;
    if answer.status() != 200 || !answer.complete {
        return Err("the first turn was not answered".to_owned());
    }
    let input = vec![b'x'; LONG_INPUT];
    let mut served = 0;
    for number in 0..LONG_TURNS {
        let program = format!("long{number}");
        let answer = site.turn_with_retries(number, (&program, &program, None), &input);
        served += usize::from(answer.1.status() == 200 && answer.1.complete);
    }
    record.line(format!("{served} of {LONG_TURNS} long turns served"));
    if served * 10 < LONG_TURNS * 9 {
        return Err("long turns were not served".to_owned());
    }
    if trouble {
        site.deployment.kill("store-zone-a-1");
        let wiped = site.deployment.wipe("store-zone-a-1");
        wiped.map_err(|err| err.to_string())?;
        thread::sleep(Duration::from_secs(2));
        let started = site.deployment.start("store-zone-a-1", false);
        started.map_err(|err| err.to_string())?;
    }
    // More than `CatchupS` (4.8 s), after which the machine counts as whole again.
    thread::sleep(Duration::from_secs(7));
    if trouble {
        record.line("final fault");
        site.deployment.kill("store-zone-b-1");
        let wiped = site.deployment.wipe("store-zone-b-1");
        wiped.map_err(|err| err.to_string())?;
        thread::sleep(Duration::from_secs(1));
        let started = site.deployment.start("store-zone-b-1", false);
        started.map_err(|err| err.to_string())?;
    }
    let back = Instant::now();
    wait_until(back, RECOVERY_S + 0.5);
    let reached_worker = |id: &str| {
        let runs = site.runs.lock().map(|it| it.clone()).unwrap_or_default();
        runs.iter().any(|run| run.request == id)
    };
    let (mut reached, mut first_turns) = (0, 0);
    for attempt in 0..TRIES {
        let id = format!("next-{attempt}");
        let front = site.front(attempt);
        site.turn(front, ("p1", &id, Some(&kept)), b"the next input;");
        reached += usize::from(reached_worker(&id));
        if attempt < 2 {
            let id = format!("new-{attempt}");
            site.turn(front, (&id, &id, None), b"a new program;");
            first_turns += usize::from(reached_worker(&id));
        }
    }
    record.line(format!(
        "{reached} of {TRIES} turns that continue the kept turn and {first_turns} of 2 first turns reached a worker"
    ));
    if reached == 0 {
        record.line("LOST: a turn that continues a kept turn reaches no worker after the recovery");
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Held)
}
