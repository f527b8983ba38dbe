//! Requests are held past their route's time-out.
//!
//! One of three workers turns grey: some of its requests are slow, and hang in the middle of
//! the answer. The front gives the body of an answer as much time as it had given the whole
//! request.

use {
    super::Site,
    crate::{Outcome, Record},
    std::{
        sync::{Arc, Mutex},
        thread,
        time::Instant,
    },
};

/// Requests, all at about the same time, each on a connection of its own.
const REQUESTS: usize = 90;

/// `TimeoutMs` of the route in seconds.
const TIMEOUT_S: f64 = 1.5;

/// Time that clients wait.
const DEADLINE_MS: u32 = 4_000;

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let site = Arc::new(Site::start(record)?);
    record.line("traffic starts");
    if trouble {
        record.line("worker i-b2 turns grey");
        let mut workers = site.workers.iter();
        let worker = workers.find(|worker| worker.id == "i-b2");
        worker.ok_or("no worker i-b2")?.turn_grey();
    }
    let taken: Arc<Mutex<Vec<f64>>> = Arc::default();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (site, taken, record) = (Arc::clone(&site), Arc::clone(&taken), record.clone());
            thread::spawn(move || {
                let sent = Instant::now();
                let id = format!("order-{number}");
                let answer = site.order(site.front(number), &id, DEADLINE_MS);
                let took = sent.elapsed().as_secs_f64();
                record.line(format!("{id}: {} after {took:.3} s", answer.status()));
                if let Ok(mut taken) = taken.lock() {
                    taken.push(took);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let taken = taken.lock().map_err(|err| err.to_string())?;
    let longer = taken.iter().filter(|it| **it > TIMEOUT_S).count();
    let late = taken.iter().filter(|it| **it > TIMEOUT_S + 0.5).count();
    record.line(format!(
        "CONFIG: of {longer} requests that lasted longer than TimeoutMs, {late} had no final answer 0.5 s after it"
    ));
    Ok(if late >= 8 && late * 2 > longer {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
