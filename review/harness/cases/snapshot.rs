//! Hundreds of large configurations, a restart of all control machines within a second, a
//! control machine that loses its disk, and a final fault in which another one does.

use {
    super::{CONFIG, Site, wait_until},
    crate::{Outcome, Record, deployment::operator_call},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Number of changes, and the time between two of them.
const CHANGES: u32 = 400;
const PAUSE: Duration = Duration::from_millis(60);

/// Number of routes that are added, as two `big_config` add them.
const ROUTES: usize = 700;

/// Time from the start of the first control machines to that of the last one.
const LAST_START: Duration = Duration::from_millis(700);

/// Time for which a machine that lost its disk is down.
const DOWN: Duration = Duration::from_millis(400);

/// Time between the two losses, of which `CatchupS` is 4.8.
const BETWEEN: Duration = Duration::from_millis(5_800);

/// `RecoveryS` of the small sites.
const RECOVERY_S: f64 = 12.0;

const CORES: [&str; 3] = ["core-zone-a-1", "core-zone-b-1", "core-zone-c-1"];

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let text = |err: std::io::Error| err.to_string();
    let mut site = Site::start(record)?;
    let extra: String = (0..ROUTES)
        .map(|n| {
            format!(
                r#"{{"Name":"r-extra{n}","Host":"ficu95.example","PathPrefix":"/extra{n}abcdef/","Kind":"streaming","TimeoutMs":3000,"SloMs":250,"Priority":1,"Service":"huvo11a","MaxAttempts":1,"Retain":true,"RetentionS":60.0,"Sticky":true,"Resumable":false,"GapTargetMs":250}},"#
            )
        })
        .collect();
    let mut version = 7;
    for n in 0..CHANGES {
        version = 10 + n * 3;
        let config = CONFIG.replace("\"Version\":7", &format!("\"Version\":{version}"));
        let config = config.replace("\"Routes\":[", &format!("\"Routes\":[{extra}"));
        if n == 0 {
            record.line(format!("{CHANGES} changes of {} bytes", config.len()));
        }
        site.deployment
            .put_config(&config, Duration::from_secs(5))?;
        thread::sleep(PAUSE);
    }
    record.line(format!("version {version} is acknowledged"));
    if trouble {
        for name in CORES {
            site.deployment.kill(name);
        }
        // The last one to start doesn't lead, and loses its disk later.
        for name in [CORES[1], CORES[2]] {
            site.deployment.start(name, false).map_err(text)?;
        }
        thread::sleep(LAST_START);
        site.deployment.start(CORES[0], false).map_err(text)?;
    }
    thread::sleep(Duration::from_secs(5));
    if trouble {
        lose_disk(&mut site, CORES[0])?;
        thread::sleep(BETWEEN);
        record.line("final fault");
        lose_disk(&mut site, CORES[1])?;
    }
    let back = Instant::now();
    wait_until(back, RECOVERY_S);
    let mut read = 0;
    for _ in 0..4 {
        for name in CORES {
            let addr = site.deployment.listen(name);
            let answer = operator_call(addr, "GET /sapphirequay/config/get", b"");
            let answer = answer.unwrap_or_default();
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let newest = body.contains(&format!("\"Version\":{version},"));
            record.line(format!(
                "{name} answers {} to a read, newest version {newest}, {:.1} s after the machines are back",
                answer.status(),
                back.elapsed().as_secs_f64()
            ));
            read += usize::from(answer.status() == 200 && newest);
        }
        thread::sleep(Duration::from_secs(1));
    }
    if read == 0 {
        record.line("LOST: the acknowledged configuration can't be read back");
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Held)
}

/// A control machine loses its disk and is back after a short delay.
fn lose_disk(site: &mut Site, name: &str) -> Result<(), String> {
    site.deployment.kill(name);
    let wiped = site.deployment.wipe(name);
    wiped.map_err(|err| err.to_string())?;
    thread::sleep(DOWN);
    let started = site.deployment.start(name, false);
    started.map_err(|err| err.to_string())
}
