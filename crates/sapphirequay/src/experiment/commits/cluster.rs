//! Cluster of hosts on loopback in one process, each with its own data folder.

use {
    super::records::{Records, SetRecord},
    quay_link::{DevelopmentKeys, LinkRole, LinkSettings, Links},
    quay_types::GroupId,
    sapphirequayd::{
        Clock, GroupError, GroupHost, GroupLimits, GroupMsg, LedgerSettings, LinkRequest, Mailbox,
        PeerSettings,
    },
    std::{
        error::Error,
        fs,
        net::{SocketAddr, UdpSocket},
        path::Path,
        sync::{Arc, OnceLock},
        thread,
        time::{Duration, Instant},
    },
};

/// Time after which a commit fails if no replica accepts it as leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after every replica of a group has rejected a command.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Mailbox of one replica of a group.
pub type Replica = Mailbox<GroupMsg<Records>>;

/// Running hosts and their replicas.
pub struct Cluster {
    hosts: Vec<GroupHost>,
    /// Keeps the link threads running.
    links: Vec<Links>,
    /// Replicas, indexed by group and then by host.
    groups: Vec<Vec<Replica>>,
}

/// Loopback address with a free port.
fn free_addr() -> std::io::Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0")?.local_addr()
}

/// Starts links that pass incoming quorum requests to the host in `serving`.
fn start_links(
    keys: &DevelopmentKeys,
    addr: SocketAddr,
    serving: Arc<OnceLock<GroupHost>>,
) -> Result<Links, Box<dyn Error>> {
    let settings = LinkSettings {
        listen: Some(addr),
        ..LinkSettings::new(keys.identity(LinkRole::Ledger)?)
    };
    let links = Links::start(settings, move |mut incoming| {
        let serving = Arc::clone(&serving);
        thread::spawn(move || {
            let req = incoming.first.decode();
            if let (Some(host), Ok(LinkRequest::Quorum(req))) = (serving.get(), req) {
                host.serve(req, &mut incoming);
            }
        });
    })?;
    Ok(links)
}

impl Cluster {
    /// Starts `hosts` hosts, each with a replica of each of `groups` groups.
    pub fn start(
        dir: &Path,
        hosts: u64,
        groups: u16,
        limits: GroupLimits,
    ) -> Result<Self, Box<dyn Error>> {
        let keys = DevelopmentKeys::generate()?;
        let mut peers = Vec::new();
        for node in 1..=hosts {
            peers.push(PeerSettings {
                node,
                addr: free_addr()?,
                data_centre: format!("dc-{node}").into(),
            });
        }
        let mut cluster = Self {
            hosts: Vec::new(),
            links: Vec::new(),
            groups: vec![Vec::new(); usize::from(groups)],
        };
        for peer in &peers {
            let settings = LedgerSettings {
                data: Some(dir.join(format!("host-{}", peer.node))),
                groups,
                node: peer.node,
                bootstrap: true,
                peers: peers.clone(),
                ..LedgerSettings::default()
            };
            let serving: Arc<OnceLock<GroupHost>> = Arc::default();
            let links = start_links(&keys, peer.addr, Arc::clone(&serving))?;
            let host = GroupHost::new(&settings, links.clone(), Clock::start())?;
            let host = host.with_limits(limits);
            for (slot, replicas) in cluster.groups.iter_mut().enumerate() {
                let group = GroupId(u16::try_from(slot + 1)?);
                replicas.push(host.start(group, Records::default())?);
            }
            let _ = serving.set(host.clone());
            cluster.hosts.push(host);
            cluster.links.push(links);
        }
        Ok(cluster)
    }

    /// Replicas of a group; `slot` wraps around the number of groups.
    pub fn group(&self, slot: usize) -> &[Replica] {
        &self.groups[slot % self.groups.len()]
    }

    /// Total number of bytes that the hosts have sent to each other.
    pub fn sent_bytes(&self) -> u64 {
        self.hosts.iter().map(GroupHost::sent_bytes).sum()
    }

    /// Stops every replica.
    pub fn stop(&self) {
        for replica in self.groups.iter().flatten() {
            replica.send(GroupMsg::Stop);
        }
    }
}

/// Commits a record through the leader and returns the index of its replica.
/// `hint` is the replica to try first.
pub fn commit_record(
    replicas: &[Replica],
    hint: usize,
    command: &SetRecord,
) -> Result<usize, String> {
    let started = Instant::now();
    let mut slot = hint;
    loop {
        let command = command.clone();
        let result = replicas[slot].ask(|reply| GroupMsg::Propose { command, reply });
        match result {
            Some(Ok(_)) => return Ok(slot),
            Some(Err(GroupError::NotLeader(_) | GroupError::Unavailable | GroupError::Unknown))
            | None => slot = (slot + 1) % replicas.len(),
        }
        if started.elapsed() > LEADER_TIMEOUT {
            return Err("no leader accepted the command within the time-out".into());
        }
        if slot == hint {
            thread::sleep(LEADER_RETRY_DELAY);
        }
    }
}

/// Total size in bytes of all files below a folder.
pub fn folder_bytes(dir: &Path) -> std::io::Result<u64> {
    let mut bytes = 0;
    for entry in fs::read_dir(dir)? {
        let entry = entry?;
        let meta = entry.metadata()?;
        bytes += if meta.is_dir() {
            folder_bytes(&entry.path())?
        } else {
            meta.len()
        };
    }
    Ok(bytes)
}
