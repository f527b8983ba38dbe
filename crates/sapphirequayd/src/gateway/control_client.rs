//! Client that sends requests to the leader of the control group.

use {
    super::{
        GatewayRequest,
        messages::{ControlHosts, ControlReply, ControlRequest},
    },
    crate::wire::LinkRequest,
    quay_link::{Encoded, LinkError, LinkRole, Links},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// Time-out for one control host; upstreams switch to another host after 1 s.
const HOST_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after a host reports no leader; a fraction of an election (0.5 s).
const NO_LEADER_DELAY: Duration = Duration::from_millis(30);

/// Delay before the next host is tried, so that unreachable hosts do not cause
/// a busy loop.
const NEXT_HOST_DELAY: Duration = Duration::from_millis(20);

/// Time for which a host that did not answer is passed over: an election, until whose end
/// other hosts name a leader that has died.
const SILENCE_TIME: Duration = Duration::from_millis(500);

/// Interval at which processes without updates ask for the members of the control group.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of hosts kept that other hosts told of.
const MAX_HINTS: usize = 8;

/// Maximum number of hosts tried for one request.
const MAX_HOSTS_TRIED: usize = 6;

/// Sends a request to the process with the given address and role and waits for
/// its reply.
pub async fn exchange<T: DeserializeOwned>(
    links: &Links,
    (addr, role): (SocketAddr, LinkRole),
    req: &impl Serialize,
    within: Duration,
) -> Result<T, LinkError> {
    exchange_encoded(links, (addr, role), Encoded::of(req)?, within).await
}

/// Sends a request that is encoded already, as [`exchange`] does.
pub async fn exchange_encoded<T: DeserializeOwned>(
    links: &Links,
    (addr, role): (SocketAddr, LinkRole),
    req: Encoded,
    within: Duration,
) -> Result<T, LinkError> {
    let answer = timeout(within, links.call_encoded(addr, role, req)).await;
    answer.unwrap_or(Err(LinkError::Silent))
}

/// Client of the control group; clones share the known hosts and leader.
#[derive(Debug, Clone)]
pub struct ControlClient {
    links: Links,
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Link addresses of the control group's members, as a leader listed them last.
    hosts: RefCell<Vec<SocketAddr>>,
    /// Link addresses from the settings, used in addition to `hosts` in case
    /// all hosts known from the group are gone.
    seeds: RefCell<Vec<SocketAddr>>,
    /// Link addresses that other control hosts told of since `hosts` was set; at most
    /// [`MAX_HINTS`].
    hints: RefCell<Vec<SocketAddr>>,
    /// Link address of the leader, if known.
    leader: Cell<Option<SocketAddr>>,
    /// Host that did not answer last, and when that was noticed.
    silent: Cell<Option<(SocketAddr, Instant)>>,
    /// Counter for the round-robin choice of a host without a known leader.
    next: Cell<usize>,
    /// Whether the last request reached the leader; changes are logged.
    reached: Cell<bool>,
}

impl ControlClient {
    /// Creates a client that knows only the seed addresses.
    pub fn new(links: Links, seeds: Vec<SocketAddr>) -> Self {
        let shared = Shared {
            hosts: RefCell::default(),
            seeds: RefCell::new(seeds),
            hints: RefCell::default(),
            leader: Cell::new(None),
            silent: Cell::new(None),
            next: Cell::new(0),
            reached: Cell::new(false),
        };
        Self {
            links,
            shared: Rc::new(shared),
        }
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.shared.seeds.borrow_mut() = seeds;
    }

    /// Seed addresses.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.shared.seeds.borrow().clone()
    }

    /// Replaces the known link addresses of the control hosts, unless `hosts`
    /// is empty.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>) {
        if !hosts.is_empty() {
            *self.shared.hosts.borrow_mut() = hosts;
            self.shared.hints.borrow_mut().clear();
        }
    }

    /// Control hosts that this client knows, apart from the seeds.
    pub fn known(&self) -> ControlHosts {
        ControlHosts {
            leader: self.shared.leader.get(),
            members: self.shared.hosts.borrow().as_slice().into(),
        }
    }

    /// Adds hosts that another host told of; its list may be out of date.
    pub fn add_hints(&self, told: &ControlHosts) {
        if self.shared.leader.get().is_none() {
            self.shared.leader.set(told.leader);
        }
        let mut hints = self.shared.hints.borrow_mut();
        let hosts = self.shared.hosts.borrow();
        for addr in told.members.iter().chain(&told.leader) {
            if !hosts.contains(addr) && !hints.contains(addr) {
                hints.push(*addr);
            }
        }
        let excess = hints.len().saturating_sub(MAX_HINTS);
        hints.drain(..excess);
    }

    /// Exchanges the known control hosts with the host at `addr`, which need not lead.
    pub async fn introduce(&self, addr: SocketAddr, known: ControlHosts) {
        if let Some(told) = self.ask_for_hosts(addr, known).await {
            self.add_hints(&told);
        }
    }

    /// Asks the leader for the members of the control group periodically, so that a
    /// process which runs outlives the replacement of all hosts that it was started
    /// with. For processes that get no updates with the members.
    pub async fn refresh_hosts_periodically(self) {
        loop {
            sleep(REFRESH_INTERVAL).await;
            if let Some(leader) = self.shared.leader.get()
                && let Some(told) = self.ask_for_hosts(leader, ControlHosts::default()).await
            {
                self.set_hosts(told.members.into());
            }
        }
    }

    async fn ask_for_hosts(&self, addr: SocketAddr, known: ControlHosts) -> Option<ControlHosts> {
        let req = LinkRequest::Gateway(GatewayRequest::Control(ControlRequest::Introduce(known)));
        let target = (addr, LinkRole::Ledger);
        match exchange(&self.links, target, &req, HOST_TIMEOUT).await {
            Ok(ControlReply::Hosts(told)) => return Some(told),
            Ok(reply) => log::debug!("event=hosts_untold addr={addr} reply={reply:?}"),
            Err(err) => log::debug!("event=hosts_untold addr={addr} cause={err:?}"),
        }
        None
    }

    /// Whether a host did not answer a moment ago.
    fn is_silent(&self, addr: SocketAddr) -> bool {
        let silent = self.shared.silent.get();
        silent.is_some_and(|(host, since)| host == addr && since.elapsed() < SILENCE_TIME)
    }

    /// Returns the host to try next: the known leader, otherwise all hosts in
    /// round-robin order. A host that is silent is tried only if there is no other.
    fn candidate(&self) -> Option<SocketAddr> {
        let leader = self.shared.leader.get();
        if let Some(leader) = leader.filter(|it| !self.is_silent(*it)) {
            return Some(leader);
        }
        let turn = self.shared.next.get();
        self.shared.next.set(turn.wrapping_add(1));
        let mut all = self.shared.hosts.borrow().clone();
        let (seeds, hints) = (self.shared.seeds.borrow(), self.shared.hints.borrow());
        for addr in seeds.iter().chain(&*hints) {
            if !all.contains(addr) {
                all.push(*addr);
            }
        }
        if all.iter().any(|addr| !self.is_silent(*addr)) {
            all.retain(|addr| !self.is_silent(*addr));
        }
        let len = all.len();
        all.into_iter().nth(turn.checked_rem(len)?)
    }

    /// Sends a request to the leader; `None` if no reply came within the time.
    ///
    /// A request without a reply may still have been executed.
    pub async fn request(&self, req: ControlRequest, within: Duration) -> Option<ControlReply> {
        let req = LinkRequest::Gateway(GatewayRequest::Control(req));
        let reply = timeout(within, self.request_leader(&req))
            .await
            .ok()
            .flatten();
        if self.shared.reached.replace(reply.is_some()) != reply.is_some() {
            match &reply {
                Some(_) => log::info!(
                    "event=control_reached leader={:?}",
                    self.shared.leader.get()
                ),
                None => log::warn!("event=control_lost after_ms={}", within.as_millis()),
            }
        }
        reply
    }

    /// Tries up to `MAX_HOSTS_TRIED` hosts until one of them replies as the
    /// leader.
    async fn request_leader(&self, req: &LinkRequest) -> Option<ControlReply> {
        let follows = matches!(
            req,
            LinkRequest::Gateway(GatewayRequest::Control(ControlRequest::Follow(_)))
        );
        let wait = if follows {
            HOST_TIMEOUT + super::control::FOLLOW_POLL_TIMEOUT
        } else {
            HOST_TIMEOUT
        };
        for _ in 0..MAX_HOSTS_TRIED {
            let addr = self.candidate()?;
            match exchange(&self.links, (addr, LinkRole::Ledger), req, wait).await {
                Ok(ControlReply::NotLeader(leader)) => {
                    let leader = leader.filter(|it| *it != addr && !self.is_silent(*it));
                    self.shared.leader.set(leader);
                    if leader.is_none() {
                        sleep(NO_LEADER_DELAY).await;
                    }
                }
                Ok(ControlReply::Unavailable) => {
                    self.shared.leader.set(None);
                    sleep(NEXT_HOST_DELAY).await;
                }
                Err(_) => {
                    self.shared.leader.set(None);
                    // Another request may only wait for the host's disk.
                    if follows {
                        self.shared.silent.set(Some((addr, Instant::now())));
                    }
                    sleep(NEXT_HOST_DELAY).await;
                }
                Ok(reply) => {
                    self.shared.leader.set(Some(addr));
                    self.shared.silent.set(None);
                    return Some(reply);
                }
            }
        }
        None
    }
}
