//! Control machines are added, the settings name them as the only seeds, and all processes
//! are killed and come back. The added machines are no members of the control group and
//! don't say where it is, so that no front finds it.

use {
    super::{Site, ZONES, wait_until},
    crate::{Outcome, Record},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Requests in one count of what is served.
const REQUESTS: usize = 40;

/// `RecoveryS` of the small deployments.
const RECOVERY_S: f64 = 12.0;

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let mut site = Site::start(record)?;
    let text = |err: std::io::Error| err.to_string();
    record.line("traffic starts");
    let before = served(&site, "before");
    if trouble {
        let added = ZONES.map(|zone| format!("core-{zone}-2"));
        for name in &added {
            site.deployment.start(name, false).map_err(text)?;
        }
        // A machine that is new counts as lost for 4.8 s.
        thread::sleep(Duration::from_secs(6));
        let seeds: Vec<&str> = added.iter().map(String::as_str).collect();
        site.deployment.set_seeds(&seeds);
        site.deployment.rewrite_settings().map_err(text)?;
        thread::sleep(Duration::from_secs(5));
        served(&site, "after the change of the seeds");
        let all = site.deployment.running();
        for name in &all {
            site.deployment.kill(name);
        }
        thread::sleep(Duration::from_secs(1));
        for name in &all {
            site.deployment.start(name, false).map_err(text)?;
        }
    }
    let back = Instant::now();
    record.line("all machines are back");
    wait_until(back, RECOVERY_S + 1.0);
    let after = served(&site, "after RecoveryS");
    let broken = before * 4 >= REQUESTS && after * 4 < REQUESTS;
    if broken {
        record.line(format!(
            "RECOVER: {after} of {REQUESTS} requests served later than {RECOVERY_S} s after the machines are back, {before} before"
        ));
    }
    Ok(if broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Sends requests over both fronts and returns the number of those that are served.
fn served(site: &Site, when: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{}-{number}", when.replace(' ', "-"));
        let answer = site.order(site.front(number), &id, 1_500);
        let sealed = answer.header("x-sapphirequay-response-seal").is_some();
        served += usize::from(answer.status() == 200 && sealed && answer.complete);
        thread::sleep(Duration::from_millis(50));
    }
    site.record
        .line(format!("{when}: {served} of {REQUESTS} requests served"));
    served
}
