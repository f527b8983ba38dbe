//! A conversation of several turns during one rolling restart of the stores. Its first turn is
//! asked for again over 75 s after the restart, the time for which a store keeps a turn.

use {
    super::{Site, wait_until},
    crate::{Outcome, Record},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time between the restart of the last store and the last turn: longer than the 75 s for
/// which a store keeps a turn that nothing continues there, and the 5 s until it looks.
const AFTER_S: f64 = 82.0;

/// Time between the restart of the last store and the turn before the last one.
const BEFORE_LAST_S: f64 = 34.0;

/// Conversation of one program, as the client knows it.
#[derive(Default)]
struct Conversation {
    last: Option<String>,
    whole: Vec<u8>,
    turns: usize,
}

impl Conversation {
    /// Sends the next turn, which must be answered whole.
    fn next(&mut self, site: &Site) -> Result<(), String> {
        let input = format!("input of turn {};", self.turns).into_bytes();
        let name = format!("turn{}", self.turns);
        let turn = ("p1", &*name, self.last.as_deref());
        let (id, answer) = site.turn_with_retries(self.turns, turn, &input);
        if answer.status() != 200 || !answer.complete {
            return Err(format!("turn {} was not answered", self.turns));
        }
        self.whole.extend_from_slice(&input);
        self.whole.extend_from_slice(&answer.event_data());
        self.last = Some(id);
        self.turns += 1;
        Ok(())
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let text = |err: std::io::Error| err.to_string();
    let mut site = Site::start(record)?;
    let mut talk = Conversation::default();
    talk.next(&site)?;
    for name in ["store-zone-a-1", "store-zone-b-1", "store-zone-c-1"] {
        if trouble {
            site.deployment.stop(name).map_err(text)?;
        }
        thread::sleep(Duration::from_millis(300));
        talk.next(&site)?;
        if trouble {
            site.deployment.start(name, false).map_err(text)?;
        }
        thread::sleep(Duration::from_secs(3));
    }
    let began = Instant::now();
    wait_until(began, BEFORE_LAST_S);
    talk.next(&site)?;
    let answered = Instant::now();
    wait_until(began, AFTER_S);
    let mut outcome = Outcome::Held;
    for attempt in 0..4 {
        let id = format!("last-{attempt}");
        let input = b"the last input;";
        let turn = ("p1", &*id, talk.last.as_deref());
        let age = answered.elapsed().as_secs_f64();
        let answer = site.turn(site.front(attempt), turn, input);
        match answer.status() {
            status @ (404 | 410) => {
                record.line(format!(
                    "LOST: turn {id} is answered {status} although the turn that it continues was answered whole {age:.1} s ago"
                ));
                outcome = Outcome::Broken;
            }
            200 => {
                let expected = [&talk.whole[..], input].concat();
                let runs = site.runs.lock().map(|it| it.clone()).unwrap_or_default();
                let run = runs.iter().find(|run| run.request == id);
                if run.is_none_or(|run| run.body != expected) {
                    record.line(format!("UNASKED: turn {id} ran with another body"));
                    outcome = Outcome::Broken;
                }
            }
            status => record.line(format!("turn {id} is answered {status}")),
        }
    }
    Ok(outcome)
}
