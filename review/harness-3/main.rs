//! Runs the cases of review 3: `review-3 CASE FOLDER`, from the root of the repository.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! Without `TROUBLE=0` in the environment the case has its disruption.

mod accounts;
mod conversation;
mod host;
mod http;
mod load;
mod operator;
mod record;
mod resumed;
mod worker;

use {
    record::Record,
    std::{env, io, path::Path, process::exit, thread, time::Duration},
};

/// Time after which a case ends whatever happens.
const LIMIT: Duration = Duration::from_secs(118);

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-3 CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").is_ok_and(|it| it == "0");
    let trouble = !trouble;
    let outcome = Record::create(Path::new(folder)).and_then(|record| run(case, trouble, &record));
    match outcome {
        Ok(broken) => exit(i32::from(broken)),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            exit(2);
        }
    }
}

fn run(case: &str, trouble: bool, record: &Record) -> io::Result<bool> {
    let limit = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        limit.line("the case took too long");
        // Children end with this process.
        exit(2);
    });
    record.line(&format!("case {case}, TROUBLE={}", i32::from(trouble)));
    let broken = match case {
        "long-reply" => conversation::run(&conversation::long_reply(), trouble, record)?,
        "new-accounts" => accounts::run(trouble, record)?,
        "resumed-streams" => resumed::run(trouble, record)?,
        "turn-memory" => load::turn_memory(trouble, record)?,
        "configuration-memory" => load::configuration_memory(trouble, record)?,
        _ => return Err(io::Error::other("no such case")),
    };
    record.line(if broken {
        "the rule was BROKEN"
    } else {
        "the rule held"
    });
    Ok(broken)
}
