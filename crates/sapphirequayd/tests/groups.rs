//! Replicated groups over real sockets and real files.

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

/// Longest wait for what must come in time.
const LIMIT: Duration = Duration::from_secs(30);

const GROUP: GroupId = GroupId(1);

/// Keeps every number that was added.
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

/// One host: its links and its replica.
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

/// Three hosts with a folder each.
struct Three {
    keys: DevelopmentKeys,
    dir: TempDir,
    peers: Vec<PeerSettings>,
    hosts: Vec<Host>,
}

impl Three {
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
        let mut three = Self {
            keys,
            dir,
            peers,
            hosts: Vec::new(),
        };
        for slot in 0..3 {
            let host = three.start_host(slot, true);
            three.hosts.push(host);
        }
        three
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

    /// Adds a number at whoever leads; the host that did.
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
            assert!(started.elapsed() < LIMIT, "no leader took {number}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Reads at whoever leads.
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

    /// Changes members at whoever leads.
    fn change(&self, change: &MembershipChange) {
        let started = Instant::now();
        loop {
            for host in &self.hosts {
                let change = change.clone();
                if let Some(Ok(())) = host.group.ask(|reply| GroupMsg::Change { change, reply }) {
                    return;
                }
            }
            assert!(started.elapsed() < LIMIT, "{change:?} was not taken");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Stops a host for good.
    fn stop(&mut self, slot: usize) -> Host {
        let host = self.hosts.remove(slot);
        host.group.send(GroupMsg::Stop);
        host
    }
}

/// How many applied entries a host's replica has.
fn commit(host: &Host) -> u64 {
    let status = host.group.ask(GroupMsg::Status).flatten().expect("status");
    status.commit.0
}

#[test]
fn a_new_leader_has_all_that_was_acknowledged() {
    let mut three = Three::start();
    let mut leader = 0;
    for number in 0..40 {
        leader = three.add(number);
    }
    let gone = three.stop(leader);
    let refused = gone
        .group
        .ask(|reply| GroupMsg::Propose { command: 99, reply });
    assert_eq!(refused, Some(Err(GroupError::Unavailable)));
    three.add(40);
    assert_eq!(three.read(), (0..=40).collect::<Vec<_>>());
}

#[test]
fn a_follower_names_the_leader() {
    let three = Three::start();
    let leader = three.add(1);
    let expected = Some(Err(GroupError::NotLeader(Some(three.hosts[leader].addr))));
    for (slot, host) in three
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
fn without_a_quorum_nothing_is_taken() {
    let mut three = Three::start();
    let leader = three.add(1);
    let others: Vec<usize> = (0..3).rev().filter(|slot| *slot != leader).collect();
    let gone: Vec<Host> = others.into_iter().map(|slot| three.stop(slot)).collect();
    let started = Instant::now();
    // Unavailable or not leader say that nothing happened.
    loop {
        let asked = three.hosts[0]
            .group
            .ask(|reply| GroupMsg::Read { query: (), reply });
        match asked {
            Some(Err(GroupError::Unavailable | GroupError::NotLeader(None))) => break,
            other => assert!(started.elapsed() < LIMIT, "{other:?}"),
        }
    }
    drop(gone);
}

#[test]
fn a_lost_disk_comes_back_as_a_new_member() {
    let mut three = Three::start();
    for number in 0..120 {
        three.add(number);
    }
    let leader = three.add(120);
    let lost = (leader + 1) % 3;
    let lost_node = three.hosts[lost].groups.node().expect("node");
    drop(three.stop(lost));
    // A new folder, and not the one that starts a group.
    let settings = LedgerSettings {
        data: Some(three.dir.path().join("new")),
        ..LedgerSettings::default()
    };
    let addr = free_port();
    let new = start(&three.keys, &settings, addr);
    let node = new.groups.node().expect("node");
    assert_ne!(node, lost_node);
    three.hosts.push(new);
    let member = Member::new(node, addr, "dc-2");
    three.change(&MembershipChange::AddLearner(member));
    three.change(&MembershipChange::Promote(node));
    three.change(&MembershipChange::Remove(lost_node));
    // The new member makes the quorum with one of the old ones.
    let leader = three.add(121);
    let old = (0..2).find(|slot| *slot != leader).expect("an old member");
    drop(three.stop(old));
    three.add(122);
    assert_eq!(three.read(), (0..=122).collect::<Vec<_>>());
    assert!(three.hosts.iter().all(|host| commit(host) > 120));
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
    assert!(text.contains("[ledger] node: 7 is named"), "{text}");
}

#[test]
fn settings_that_do_not_fit_are_named() {
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
            "[ledger] groups: it is 0",
        ),
        (
            LedgerSettings {
                peers: vec![peer(1), peer(1)],
                ..LedgerSettings::default()
            },
            "twice",
        ),
        (
            LedgerSettings {
                peers: vec![peer(0)],
                ..LedgerSettings::default()
            },
            "no identity",
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
fn a_copy_of_a_running_host_starts_the_group_again() {
    let mut three = Three::start();
    for number in 0..130 {
        three.add(number);
    }
    let copy = three.dir.path().join("copy");
    let leader = three.add(130);
    let copied = sapphirequayd::backup(&three.dir.path().join(leader.to_string()), &copy);
    let copied = copied.expect("copy");
    assert!(copied[0].last > LogIndex(130), "{copied:?}");
    let (addr, data) = (free_port(), three.dir.path().join("restored"));
    let node = sapphirequayd::restore(&copy, &data, addr, "dc-1").expect("restored");
    let settings = LedgerSettings {
        data: Some(data),
        ..LedgerSettings::default()
    };
    // The old hosts are gone; the new one is the group.
    for slot in (0..3).rev() {
        drop(three.stop(slot));
    }
    let host = start(&three.keys, &settings, addr);
    assert_eq!(host.groups.node(), Some(node));
    three.hosts.push(host);
    three.add(131);
    assert_eq!(three.read(), (0..=131).collect::<Vec<_>>());
}
