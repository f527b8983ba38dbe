//! Three hosts on loopback, in one process, with a folder each.

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

/// Longest wait for a leader.
const LEADER_LIMIT: Duration = Duration::from_secs(30);

/// Wait before a group without a leader is asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(2);

/// One replica of a group.
pub type Replica = Mailbox<GroupMsg<Records>>;

/// Hosts and their replicas.
pub struct Cluster {
    hosts: Vec<GroupHost>,
    /// Keeps the link threads up.
    links: Vec<Links>,
    /// By group, then by host.
    groups: Vec<Vec<Replica>>,
}

/// An address with a free port.
fn free_addr() -> std::io::Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0")?.local_addr()
}

/// Links that hand streams about groups to the host in `serving`.
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
    /// Starts `hosts` hosts with a replica of each of `groups` groups.
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

    /// The replicas of a group.
    pub fn group(&self, slot: usize) -> &[Replica] {
        &self.groups[slot % self.groups.len()]
    }

    /// Bytes that all hosts have sent to each other.
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

/// Sets a record at whoever leads; returns the replica that took it.
pub fn set(replicas: &[Replica], hint: usize, command: &SetRecord) -> Result<usize, String> {
    let started = Instant::now();
    let mut slot = hint;
    loop {
        let command = command.clone();
        let asked = replicas[slot].ask(|reply| GroupMsg::Propose { command, reply });
        match asked {
            Some(Ok(_)) => return Ok(slot),
            Some(Err(GroupError::NotLeader(_) | GroupError::Unavailable | GroupError::Unknown))
            | None => slot = (slot + 1) % replicas.len(),
        }
        if started.elapsed() > LEADER_LIMIT {
            return Err("no leader".into());
        }
        if slot == hint {
            thread::sleep(ASK_AGAIN_AFTER);
        }
    }
}

/// Bytes of all files below a folder.
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
