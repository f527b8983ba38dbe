//! Stand-ins and scripts of the review cases: starts the daemons of a small deployment as
//! separate processes on loopback addresses, with settings as the template in `deploy/` gives
//! them, and plays workers, the operator and clients of the platform's protocol.
//!
//! `harness CASE FOLDER` exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. It writes what was sent, answered and run to `FOLDER/record.txt`.

mod cases;
mod deployment;
mod http;
mod worker;

use std::{
    env, fs,
    io::Write as _,
    path::Path,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time after which a script ends all that it started.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
}

/// Record of what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    fn create(folder: &Path) -> Result<Self, String> {
        let file = fs::File::create(folder.join("record.txt")).map_err(|err| err.to_string())?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: harness CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{err}");
            exit(2);
        }
    };
    record.line(format!("case {case}, disruption {trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.line("the case could not run: it took too long");
        deployment::end_all();
        exit(2);
    });
    let code = match cases::run(case, &record, trouble) {
        Ok(Outcome::Held) => {
            record.line("the rule held");
            0
        }
        Ok(Outcome::Broken) => {
            record.line("the rule was broken");
            1
        }
        Err(err) => {
            record.line(format!("the case could not run: {err}"));
            2
        }
    };
    exit(code);
}
