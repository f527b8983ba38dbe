//! Cases of the second independent review; the argument is the number of the case.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cluster;
mod http;
mod leaving;
mod lost_turns;
mod memory;
mod resumed;
mod versions;
mod worker;

use std::{env, fs, process};

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() {
    let case = env::args().nth(1).unwrap_or_default();
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let (verdict, mut record) = match case.as_str() {
        "lost-turns" => lost_turns::run(trouble),
        "leaving" => leaving::run(trouble),
        "memory" => memory::run(trouble),
        "versions" => versions::run(trouble),
        "resumed" => resumed::run(trouble),
        _ => (Verdict::NotRun("unknown case".into()), Vec::new()),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    println!("{text}");
    record.push(text);
    record.push(format!("trouble: {trouble}"));
    if let Some(file) = env::args().nth(2) {
        let _ = fs::write(file, record.join("\n") + "\n");
    }
    process::exit(code);
}
