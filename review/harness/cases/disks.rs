//! Control machines are added and the settings name them as the only seeds; then two of the
//! first three lose their disks, one after the other. Neither finds its way back into the
//! control group, which has lost its majority for good with the second disk.

use {
    super::{Site, ZONES},
    crate::{Outcome, Record, deployment::operator_call},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time after a machine is back after which it no longer counts as lost, and more.
const CATCH_UP: Duration = Duration::from_secs(10);

/// Time for which the operator reads the configuration back: `ContactMs` at least.
const READING: Duration = Duration::from_secs(10);

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(record)?;
    let text = |err: std::io::Error| err.to_string();
    if trouble {
        let added = ZONES.map(|zone| format!("core-{zone}-2"));
        for name in &added {
            site.deployment.start(name, false).map_err(text)?;
        }
        thread::sleep(Duration::from_secs(6));
        let seeds: Vec<&str> = added.iter().map(String::as_str).collect();
        site.deployment.set_seeds(&seeds);
        site.deployment.rewrite_settings().map_err(text)?;
        thread::sleep(Duration::from_secs(5));
        for zone in &ZONES[..2] {
            let name = format!("core-{zone}-1");
            site.deployment.kill(&name);
            site.deployment.wipe(&name).map_err(text)?;
            thread::sleep(Duration::from_secs(1));
            site.deployment.start(&name, false).map_err(text)?;
            thread::sleep(CATCH_UP);
        }
    }
    record.line("the operator reads the configuration back");
    let began = Instant::now();
    let mut answers = Vec::new();
    while began.elapsed() < READING {
        for addr in site.deployment.controls() {
            let answer = operator_call(addr, "GET /sapphirequay/config/get", b"");
            let answer = answer.unwrap_or_default();
            record.line(format!("{addr} answers {}", answer.status()));
            let whole = String::from_utf8_lossy(&answer.body).contains("\"Version\":7,");
            if answer.status() == 200 && answer.complete && whole {
                record.line("the configuration is read back");
                return Ok(Outcome::Held);
            }
            answers.push(answer.status());
        }
        thread::sleep(Duration::from_millis(300));
    }
    record.line(format!(
        "CONFIG: version 7 was acknowledged; none of {} reads in {} s gives a configuration",
        answers.len(),
        READING.as_secs()
    ));
    Ok(Outcome::Broken)
}
