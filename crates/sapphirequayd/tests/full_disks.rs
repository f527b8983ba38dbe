//! Tests of processes whose disks are full for a while, one after another.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Role, send},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":VERSION,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Control hosts whose disks are full in turn, with the size in bytes over which their
/// files can't grow meanwhile. Small sizes leave room for a part of a write.
const TURNS: [(usize, u64); 8] = [
    (0, 0),
    (1, 700),
    (2, 0),
    (0, 3_000),
    (2, 1),
    (1, 0),
    (0, 1_500),
    (1, 5_000),
];

fn wait_for(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(100));
    }
}

fn table(version: u32) -> String {
    TABLE.replace("VERSION", &version.to_string())
}

/// Whether a control host acknowledges a table.
fn put(control: SocketAddr, version: u32) -> bool {
    let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
    send(control, head, &table(version)).is_some_and(|got| got.status == 200)
}

/// Table that a control host returns.
fn get(control: SocketAddr) -> Option<String> {
    let got = send(
        control,
        "GET /sapphirequay/config/get HTTP/1.1\nHost: c",
        "",
    )?;
    (got.status == 200).then_some(got.body)
}

/// Sends one change after another until `ended`. Returns the newest version that was
/// acknowledged and the next one.
fn send_changes(controls: &[SocketAddr], ended: &AtomicBool) -> (u32, u32) {
    let (mut acknowledged, mut version) = (0, 1);
    while !ended.load(Ordering::Relaxed) {
        let control = controls[version as usize % controls.len()];
        if put(control, version) {
            acknowledged = version;
        }
        version += 1;
        thread::sleep(Duration::from_millis(40));
    }
    (acknowledged, version)
}

/// Guards against control hosts that end, or refuse changes for good, after their disks
/// were full in turn.
#[test]
fn changes_are_acknowledged_after_the_disks_of_all_control_hosts_were_full_in_turn() {
    let mut gateway = Gateway::prepare(0, "");
    gateway.fillable_disks = true;
    gateway.run_all();
    let controls = gateway.controls.clone();
    wait_for("a table is acknowledged", || put(controls[0], 1));
    let ended = Arc::new(AtomicBool::new(false));
    let changes = {
        let (controls, ended) = (controls.clone(), Arc::clone(&ended));
        thread::spawn(move || send_changes(&controls, &ended))
    };
    for (slot, bytes) in TURNS {
        gateway.fill_disk(Role::Control(slot), Some(bytes));
        thread::sleep(Duration::from_secs(2));
        gateway.fill_disk(Role::Control(slot), None);
        assert!(gateway.is_running(Role::Control(slot)), "{slot}, {bytes}");
        thread::sleep(Duration::from_millis(600));
    }
    ended.store(true, Ordering::Relaxed);
    let (acknowledged, mut version) = changes.join().expect("changes");
    assert!(acknowledged > 1);
    for control in &controls {
        wait_for("a change is acknowledged", || {
            version += 1;
            put(*control, version)
        });
    }
    for role in gateway.running() {
        gateway.kill(role);
    }
    for slot in 0..controls.len() {
        gateway.run(Role::Control(slot), false);
    }
    for control in &controls {
        wait_for("the newest change is read back", || {
            get(*control).is_some_and(|got| got == table(version))
        });
    }
}

/// Guards against a control host that waits at its start until its disk has room.
#[test]
fn a_control_host_that_starts_on_a_full_disk_answers_and_acknowledges_later() {
    let mut gateway = Gateway::prepare(0, "");
    gateway.fillable_disks = true;
    gateway.run_all();
    let controls = gateway.controls.clone();
    wait_for("a table is acknowledged", || put(controls[0], 1));
    gateway.kill(Role::Control(0));
    gateway.full_disks = true;
    gateway.run(Role::Control(0), false);
    wait_for("a change is acknowledged", || put(controls[0], 2));
    assert_eq!(get(controls[0]), Some(table(2)));
    assert!(gateway.is_running(Role::Control(0)));
    gateway.fill_disk(Role::Control(0), None);
    // Without the killed host, a quorum needs the disk that was full.
    gateway.kill(Role::Control(1));
    wait_for("a change is acknowledged", || put(controls[0], 3));
    assert!(gateway.is_running(Role::Control(0)));
}
