//! Three ledger hosts as processes of their own, killed as `kill -9` does.

#[path = "common/ports.rs"]
mod ports;

use {
    ports::free_port,
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

/// Longest wait for what must come in time.
const LIMIT: Duration = Duration::from_secs(30);

/// The first configuration document; its commit is what must survive.
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
    let child = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"))
        .arg("--config")
        .arg(dir.join(format!("{slot}.toml")))
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    Process(child.expect("process"))
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

/// Leader and last committed entry of the control group, as one host sees it.
fn status(links: &Links, addr: SocketAddr) -> Option<(Option<NodeId>, LogIndex)> {
    let req = LinkRequest::Quorum(QuorumRequest::Status(GroupId(0)));
    let mut stream = links.open(addr, LinkRole::Ledger, &req).ok()?;
    match stream.recv().ok()? {
        QuorumReply::Status { leader, commit, .. } => Some((leader, commit)),
        _ => None,
    }
}

/// Waits until a host knows a leader that fits and has committed enough.
fn wait_for(
    links: &Links,
    addr: SocketAddr,
    commit: LogIndex,
    fits: impl Fn(NodeId) -> bool,
) -> (NodeId, LogIndex) {
    let started = Instant::now();
    loop {
        let seen = status(links, addr);
        if let Some((Some(leader), at)) = seen
            && at >= commit
            && fits(leader)
        {
            return (leader, at);
        }
        assert!(started.elapsed() < LIMIT, "{seen:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_killed_leader_is_replaced_and_comes_back_with_all() {
    let folder = tempfile::tempdir().expect("folder");
    let dir = folder.path();
    let keys = DevelopmentKeys::generate().expect("keys");
    let none: [&str; 0] = [];
    keys.write(&dir.join("keys"), &none).expect("keys");
    let addrs = [free_port(), free_port(), free_port()];
    write_settings(dir, &addrs);
    let mut hosts: Vec<Option<Process>> = (0..3).map(|slot| Some(run(dir, slot))).collect();
    let links = Links::connect_only(keys.identity(LinkRole::Operator).expect("identity"));
    let links = links.expect("links");

    // Entry 1 starts the leader's term, entry 2 is the document.
    let (leader, commit) = wait_for(&links, addrs[0], LogIndex(2), |_| true);
    let slot = usize::try_from(leader.0 - 1).expect("slot");
    hosts[slot] = None;
    let other = (slot + 1) % 3;
    let after = LogIndex(commit.0 + 1);
    let (_, reached) = wait_for(&links, addrs[other], after, |now| now != leader);
    hosts[slot] = Some(run(dir, slot));
    wait_for(&links, addrs[slot], reached, |_| true);
}
