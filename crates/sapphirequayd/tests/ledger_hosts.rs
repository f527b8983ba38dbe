//! Tests of three ledger hosts in separate processes that are killed as by
//! `kill -9`.

#[path = "common/ports.rs"]
mod ports;

use {
    ports::{free_port, start_process},
    quay_link::{DevelopmentKeys, LinkRole, Links},
    quay_types::{GroupId, LogIndex, NodeId},
    sapphirequayd::{LinkRequest, QuorumReply, QuorumRequest},
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Deadline for each wait.
const LIMIT: Duration = Duration::from_secs(30);

/// Initial configuration document; its commit must survive the kill.
const DOCUMENT: &str = "[platform.owners]\nplatform = [\"operator\"]\n[platform.models.m]\n";

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn run(dir: &Path, slot: usize) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"));
    let command = command
        .arg("--config")
        .arg(dir.join(format!("{slot}.toml")))
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    Process(start_process(command).expect("process"))
}

fn write_settings(dir: &Path, addrs: &[SocketAddr]) {
    let ledgers: Vec<String> = addrs.iter().map(|addr| format!("\"{addr}\"")).collect();
    let peers = addrs.iter().enumerate().map(|(slot, addr)| {
        format!(
            "{{ node = {}, addr = \"{addr}\", data_centre = \"dc-{slot}\" }}",
            slot + 1
        )
    });
    let peers: Vec<String> = peers.collect();
    for (slot, addr) in addrs.iter().enumerate() {
        let text = format!(
            "[process]\nname = \"ledger-{slot}\"\ndata_centre = \"dc-{slot}\"\n\
            [link]\nlisten = \"{addr}\"\nledgers = [{}]\nkeys = \"{dir}/keys\"\n\
            [ledger]\ndata = \"{dir}/data-{slot}\"\nnode = {}\nbootstrap = true\n\
            document = \"{dir}/document.toml\"\npeers = [{}]\n",
            ledgers.join(", "),
            slot + 1,
            peers.join(", "),
            dir = dir.display(),
        );
        fs::write(dir.join(format!("{slot}.toml")), text).expect("settings");
    }
    fs::write(dir.join("document.toml"), DOCUMENT).expect("document");
}

/// Leader and last committed entry of the control group, as reported by a host.
fn status(links: &Links, addr: SocketAddr) -> Option<(Option<NodeId>, LogIndex)> {
    let req = LinkRequest::Quorum(QuorumRequest::Status(GroupId(0)));
    let mut stream = links.open(addr, LinkRole::Ledger, &req).ok()?;
    match stream.recv().ok()? {
        QuorumReply::Status { leader, commit, .. } => Some((leader, commit)),
        _ => None,
    }
}

/// Waits until a host reports an expected leader and has committed the entry at
/// `commit`; returns the leader and the last committed entry.
fn wait_for(
    links: &Links,
    addr: SocketAddr,
    commit: LogIndex,
    is_expected: impl Fn(NodeId) -> bool,
) -> (NodeId, LogIndex) {
    let started = Instant::now();
    loop {
        let seen = status(links, addr);
        if let Some((Some(leader), at)) = seen
            && at >= commit
            && is_expected(leader)
        {
            return (leader, at);
        }
        assert!(started.elapsed() < LIMIT, "last status of {addr}: {seen:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_killed_leader_is_replaced_and_catches_up_after_its_restart() {
    let folder = tempfile::tempdir().expect("folder");
    let dir = folder.path();
    let keys = DevelopmentKeys::generate().expect("keys");
    let operators: [&str; 0] = [];
    keys.write(&dir.join("keys"), &operators).expect("keys");
    let addrs = [free_port(), free_port(), free_port()];
    write_settings(dir, &addrs);
    let mut hosts: Vec<Option<Process>> = (0..3).map(|slot| Some(run(dir, slot))).collect();
    let links = Links::connect_only(keys.identity(LinkRole::Operator).expect("identity"));
    let links = links.expect("links");

    // Entry 1 is the empty entry of the leader's term, entry 2 the document.
    let (leader, commit) = wait_for(&links, addrs[0], LogIndex(2), |_| true);
    let slot = usize::try_from(leader.0 - 1).expect("slot");
    hosts[slot] = None;
    let other = (slot + 1) % 3;
    let after = LogIndex(commit.0 + 1);
    let (_, new_commit) = wait_for(&links, addrs[other], after, |new_leader| {
        new_leader != leader
    });
    hosts[slot] = Some(run(dir, slot));
    wait_for(&links, addrs[slot], new_commit, |_| true);
}
