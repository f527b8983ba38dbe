//! SIGHUP, which tells a process that its settings have changed.

use std::{
    fs::OpenOptions,
    io::Write as _,
    process::{Command, ExitStatus},
};

fn run(program: &str, args: &[&str]) -> ExitStatus {
    let status = Command::new(program).args(args).status();
    status.expect(program)
}

/// Guards against processes that SIGHUP ends while they start.
#[test]
fn sighup_does_not_end_a_process_that_reads_its_settings() {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("settings.toml");
    let path = file.to_str().expect("text");
    assert!(run("mkfifo", &[path]).success());
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"));
    let mut daemon = daemon.args(["--config", path]).spawn().expect("process");
    // Opens as soon as the process does.
    let mut settings = OpenOptions::new()
        .write(true)
        .open(&file)
        .expect("settings");
    let id = daemon.id().to_string();
    assert!(run("kill", &["-s", "HUP", &id]).success());
    settings.write_all(b"none").expect("settings");
    drop(settings);
    let status = daemon.wait().expect("status");
    assert_eq!(status.code(), Some(2), "{status}");
}
