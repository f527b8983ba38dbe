//! Tests of replicated groups over real sockets and files.

#[path = "common/ports.rs"]
mod ports;

use {
    ports::free_port,
    quay_link::{DevelopmentKeys, LinkRole, LinkSettings, Links},
    quay_quorum::{Member, MembershipChange, StateMachine},
    quay_types::{Epoch, GroupId, LogIndex, NodeId},
    sapphirequayd::{
        Clock, GroupError, GroupHost, GroupLimits, GroupMsg, LedgerSettings, LinkRequest, Mailbox,
        PeerSettings,
    },
    std::{
        net::SocketAddr,
        path::Path,
        sync::{Arc, OnceLock},
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Deadline for each wait.
const LIMIT: Duration = Duration::from_secs(30);

const GROUP: GroupId = GroupId(1);

/// State machine that keeps the set of added numbers, in order of addition.
#[derive(Debug, Default)]
struct Numbers(Vec<u64>);

impl StateMachine for Numbers {
    type Command = u64;
    type Reply = usize;
    type Query = ();
    type Answer = Vec<u64>;
    type Snapshot = Vec<u64>;

    fn apply(&mut self, _: LogIndex, _: Epoch, command: u64) -> usize {
        if !self.0.contains(&command) {
            self.0.push(command);
        }
        self.0.len()
    }

    fn query(&self, (): &()) -> Vec<u64> {
        self.0.clone()
    }

    fn snapshot(&self) -> Vec<u64> {
        self.0.clone()
    }

    fn restore(&mut self, snapshot: Vec<u64>) {
        self.0 = snapshot;
    }
}

/// One host with its links and its replica of the group.
struct Host {
    _links: Links,
    groups: GroupHost,
    group: Mailbox<GroupMsg<Numbers>>,
    addr: SocketAddr,
}

fn start(keys: &DevelopmentKeys, settings: &LedgerSettings, addr: SocketAddr) -> Host {
    let serving: Arc<OnceLock<GroupHost>> = Arc::default();
    let accepting = Arc::clone(&serving);
    let link_settings = LinkSettings {
        listen: Some(addr),
        ..LinkSettings::new(keys.identity(LinkRole::Ledger).expect("identity"))
    };
    let links = Links::start(link_settings, move |mut incoming| {
        let accepting = Arc::clone(&accepting);
        thread::spawn(move || {
            let req = incoming.first.decode().expect("request");
            if let (Some(host), LinkRequest::Quorum(req)) = (accepting.get(), req) {
                host.serve(req, &mut incoming);
            }
        });
    })
    .expect("links");
    let limits = GroupLimits {
        snapshot_entries: 50,
        exit_on_fault: false,
        ..GroupLimits::default()
    };
    let host = GroupHost::new(settings, links.clone(), Clock::start())
        .expect("host")
        .with_limits(limits);
    let group = host.start(GROUP, Numbers::default()).expect("group");
    let _ = serving.set(host.clone());
    Host {
        _links: links,
        groups: host,
        group,
        addr,
    }
}

/// Cluster of three hosts with a data folder each.
struct Cluster {
    keys: DevelopmentKeys,
    dir: TempDir,
    peers: Vec<PeerSettings>,
    hosts: Vec<Host>,
}

impl Cluster {
    fn start() -> Self {
        let keys = DevelopmentKeys::generate().expect("keys");
        let dir = tempfile::tempdir().expect("folder");
        let peers: Vec<PeerSettings> = (1..=3)
            .map(|node| PeerSettings {
                node,
                addr: free_port(),
                data_centre: format!("dc-{node}").into(),
            })
            .collect();
        let mut cluster = Self {
            keys,
            dir,
            peers,
            hosts: Vec::new(),
        };
        for slot in 0..3 {
            let host = cluster.start_host(slot, true);
            cluster.hosts.push(host);
        }
        cluster
    }

    fn start_host(&self, slot: usize, bootstrap: bool) -> Host {
        let settings = LedgerSettings {
            data: Some(self.dir.path().join(slot.to_string())),
            node: self.peers[slot].node,
            bootstrap,
            peers: self.peers.clone(),
            ..LedgerSettings::default()
        };
        start(&self.keys, &settings, self.peers[slot].addr)
    }

    /// Adds a number through the leader; returns the index of the leader's host.
    fn add(&self, number: u64) -> usize {
        let started = Instant::now();
        loop {
            for (slot, host) in self.hosts.iter().enumerate() {
                let asked = host.group.ask(|reply| GroupMsg::Propose {
                    command: number,
                    reply,
                });
                if let Some(Ok(_)) = asked {
                    return slot;
                }
            }
            assert!(started.elapsed() < LIMIT, "no leader accepted {number}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Reads the numbers from the leader.
    fn read(&self) -> Vec<u64> {
        let started = Instant::now();
        loop {
            for host in &self.hosts {
                if let Some(Ok(numbers)) =
                    host.group.ask(|reply| GroupMsg::Read { query: (), reply })
                {
                    return numbers;
                }
            }
            assert!(started.elapsed() < LIMIT, "no leader answered a read");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Changes the membership through the leader.
    fn change(&self, change: &MembershipChange) {
        let started = Instant::now();
        loop {
            for host in &self.hosts {
                let change = change.clone();
                if let Some(Ok(())) = host.group.ask(|reply| GroupMsg::Change { change, reply }) {
                    return;
                }
            }
            assert!(started.elapsed() < LIMIT, "no leader accepted {change:?}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Stops a host and removes it from the cluster.
    fn stop(&mut self, slot: usize) -> Host {
        let host = self.hosts.remove(slot);
        host.group.send(GroupMsg::Stop);
        host
    }
}

/// Index of the last entry that a host knows to be committed.
fn commit_index(host: &Host) -> u64 {
    let status = host.group.ask(GroupMsg::Status).flatten().expect("status");
    status.commit.0
}

#[test]
fn a_new_leader_has_all_acknowledged_commands() {
    let mut cluster = Cluster::start();
    let mut leader = 0;
    for number in 0..40 {
        leader = cluster.add(number);
    }
    let stopped = cluster.stop(leader);
    let refused = stopped
        .group
        .ask(|reply| GroupMsg::Propose { command: 99, reply });
    assert_eq!(refused, Some(Err(GroupError::Unavailable)));
    cluster.add(40);
    assert_eq!(cluster.read(), (0..=40).collect::<Vec<_>>());
}

#[test]
fn a_follower_returns_the_address_of_the_leader() {
    let cluster = Cluster::start();
    let leader = cluster.add(1);
    let expected = Some(Err(GroupError::NotLeader(Some(cluster.hosts[leader].addr))));
    for (slot, host) in cluster
        .hosts
        .iter()
        .enumerate()
        .filter(|(slot, _)| *slot != leader)
    {
        let started = Instant::now();
        loop {
            let asked = host
                .group
                .ask(|reply| GroupMsg::Propose { command: 1, reply });
            if asked == expected {
                break;
            }
            assert!(started.elapsed() < LIMIT, "host {slot}: {asked:?}");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

#[test]
fn without_a_quorum_requests_are_refused() {
    let mut cluster = Cluster::start();
    let leader = cluster.add(1);
    let others: Vec<usize> = (0..3).rev().filter(|slot| *slot != leader).collect();
    let stopped: Vec<Host> = others.into_iter().map(|slot| cluster.stop(slot)).collect();
    let started = Instant::now();
    // Both errors state that the request was not processed.
    loop {
        let asked = cluster.hosts[0]
            .group
            .ask(|reply| GroupMsg::Read { query: (), reply });
        match asked {
            Some(Err(GroupError::Unavailable | GroupError::NotLeader(None))) => break,
            other => assert!(started.elapsed() < LIMIT, "{other:?}"),
        }
    }
    drop(stopped);
}

#[test]
fn a_host_that_lost_its_disk_rejoins_as_a_new_member() {
    let mut cluster = Cluster::start();
    for number in 0..120 {
        cluster.add(number);
    }
    let leader = cluster.add(120);
    let lost = (leader + 1) % 3;
    let lost_node = cluster.hosts[lost].groups.node().expect("node");
    drop(cluster.stop(lost));
    // A new data folder, on a host that does not bootstrap the group.
    let settings = LedgerSettings {
        data: Some(cluster.dir.path().join("new")),
        ..LedgerSettings::default()
    };
    let addr = free_port();
    let new = start(&cluster.keys, &settings, addr);
    let node = new.groups.node().expect("node");
    assert_ne!(node, lost_node);
    cluster.hosts.push(new);
    let member = Member::new(node, addr, "dc-2");
    cluster.change(&MembershipChange::AddLearner(member));
    cluster.change(&MembershipChange::Promote(node));
    cluster.change(&MembershipChange::Remove(lost_node));
    // The new member forms a quorum with one of the old members.
    let leader = cluster.add(121);
    let old = (0..2).find(|slot| *slot != leader).expect("an old member");
    drop(cluster.stop(old));
    cluster.add(122);
    assert_eq!(cluster.read(), (0..=122).collect::<Vec<_>>());
    assert!(cluster.hosts.iter().all(|host| commit_index(host) > 120));
}

#[test]
fn a_data_folder_keeps_its_identity() {
    let dir = tempfile::tempdir().expect("folder");
    let keys = DevelopmentKeys::generate().expect("keys");
    let open = |node: u64, data: &Path| {
        let links = Links::connect_only(keys.identity(LinkRole::Ledger).expect("identity"));
        let settings = LedgerSettings {
            data: Some(data.into()),
            node,
            ..LedgerSettings::default()
        };
        GroupHost::new(&settings, links.expect("links"), Clock::start())
    };
    let first = open(0, dir.path()).expect("host").node();
    assert_eq!(open(0, dir.path()).expect("host").node(), first);
    assert_ne!(first, Some(NodeId(0)));
    let text = open(7, dir.path())
        .expect_err("another identity")
        .to_string();
    assert!(text.contains("[ledger] node: 7 is configured"), "{text}");
}

#[test]
fn invalid_settings_are_reported() {
    let peer = |node| PeerSettings {
        node,
        addr: free_port(),
        data_centre: "a".into(),
    };
    let cases = [
        (
            LedgerSettings {
                groups: 0,
                ..LedgerSettings::default()
            },
            "[ledger] groups: must be at least 1",
        ),
        (
            LedgerSettings {
                peers: vec![peer(1), peer(1)],
                ..LedgerSettings::default()
            },
            "duplicate node = 1",
        ),
        (
            LedgerSettings {
                peers: vec![peer(0)],
                ..LedgerSettings::default()
            },
            "node = 0 is not a valid id",
        ),
        (
            LedgerSettings {
                bootstrap: true,
                ..LedgerSettings::default()
            },
            "data folder",
        ),
        (
            LedgerSettings {
                bootstrap: true,
                node: 4,
                data: Some("data".into()),
                peers: vec![peer(1)],
                ..LedgerSettings::default()
            },
            "[ledger] node: 4 is not",
        ),
    ];
    for (settings, part) in cases {
        let text = settings.check().expect_err("refused");
        let text = text.to_string();
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn a_backup_of_a_running_host_restores_the_group() {
    let mut cluster = Cluster::start();
    for number in 0..130 {
        cluster.add(number);
    }
    let backup = cluster.dir.path().join("backup");
    let leader = cluster.add(130);
    let backups = sapphirequayd::backup(&cluster.dir.path().join(leader.to_string()), &backup);
    let backups = backups.expect("backup");
    assert!(backups[0].last > LogIndex(130), "{backups:?}");
    let (addr, data) = (free_port(), cluster.dir.path().join("restored"));
    let node = sapphirequayd::restore(&backup, &data, addr, "dc-1").expect("restored");
    let settings = LedgerSettings {
        data: Some(data),
        ..LedgerSettings::default()
    };
    // The old hosts stop; the restored host is the only member.
    for slot in (0..3).rev() {
        drop(cluster.stop(slot));
    }
    let host = start(&cluster.keys, &settings, addr);
    assert_eq!(host.groups.node(), Some(node));
    cluster.hosts.push(host);
    cluster.add(131);
    assert_eq!(cluster.read(), (0..=131).collect::<Vec<_>>());
}
