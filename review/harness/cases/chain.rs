//! A conversation that goes on for longer than `RetentionS` loses its first turn.
//!
//! While one store is down, the first turn is written to the other two. The later turns are
//! written to the first store and the one that is back. The third store removes the first
//! turn when its own time is over, since no later turn renews it there; then only one store
//! has it. When that store loses its disk, the conversation can't be continued.

use {
    super::{Site, wait_until},
    crate::{Outcome, Record},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Conversations.
const PROGRAMS: usize = 8;

/// Seconds from the start of traffic at which the turns are sent.
const TURNS: [f64; 5] = [2.6, 12.0, 30.0, 48.0, 66.0];

/// Time of the last turn: over 4.8 s after the store with the empty disk is back.
const LAST_TURN: f64 = 95.0;

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(record)?;
    let text = |err: std::io::Error| err.to_string();
    let began = Instant::now();
    record.line("traffic starts");
    let mut last: Vec<Option<String>> = vec![None; PROGRAMS];
    let mut told = vec![Vec::new(); PROGRAMS];
    for (number, at) in TURNS.into_iter().enumerate() {
        if number == 0 && trouble {
            wait_until(began, 2.0);
            site.deployment.kill("store-zone-b-1");
        }
        wait_until(began, at);
        for program in 0..PROGRAMS {
            let name = format!("p{program}");
            let turn = format!("t{program}.{number}");
            let input = format!("{name} asks {number}\n").into_bytes();
            let previous = last[program].clone();
            let sent = (name.as_str(), turn.as_str(), previous.as_deref());
            let (id, answer) = site.turn_with_retries(program + number, sent, &input);
            if answer.status() != 200 || !answer.complete {
                return Err(format!("turn {id} was not answered whole"));
            }
            told[program].extend_from_slice(&input);
            told[program].extend_from_slice(&answer.event_data());
            last[program] = Some(id);
        }
        if number == 0 && trouble {
            wait_until(began, 4.8);
            site.deployment
                .start("store-zone-b-1", false)
                .map_err(text)?;
        }
    }
    // The third store drops the first turn 75 s after it was written, in steps of 5 s.
    wait_until(began, 86.0);
    if trouble {
        site.deployment.kill("store-zone-a-1");
        site.deployment.wipe("store-zone-a-1").map_err(text)?;
        thread::sleep(Duration::from_secs(2));
        site.deployment
            .start("store-zone-a-1", false)
            .map_err(text)?;
    }
    wait_until(began, LAST_TURN);
    let mut lost = 0;
    for program in 0..PROGRAMS {
        let name = format!("p{program}");
        let turn = format!("t{program}.last");
        let input = format!("{name} asks again\n").into_bytes();
        let sent = (name.as_str(), turn.as_str(), last[program].as_deref());
        let (id, answer) = site.turn_with_retries(program, sent, &input);
        match answer.status() {
            404 | 410 => {
                lost += 1;
                record.line(format!(
                    "LOST: turn {id} is answered {} although its previous turn was answered whole less than 60 s ago",
                    answer.status()
                ));
            }
            200 => {
                let mut expected = told[program].clone();
                expected.extend_from_slice(&input);
                let runs = site.runs.lock().map_err(|err| err.to_string())?;
                let run = runs.iter().find(|run| run.request == id);
                if run.is_none_or(|run| run.body != expected) {
                    return Err(format!("turn {id} ran with another body"));
                }
            }
            status => record.line(format!("turn {id} is answered {status}")),
        }
    }
    record.line(format!("{lost} of {PROGRAMS} conversations lost"));
    Ok(if lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
