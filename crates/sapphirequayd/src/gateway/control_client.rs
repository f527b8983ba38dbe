//! Reaches the leader of the control group.

use {
    super::{
        GatewayRequest,
        messages::{ControlReply, ControlRequest},
    },
    crate::wire::LinkRequest,
    quay_link::{LinkError, LinkRole, LinkStream, Links},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// Longest wait for one control host; upstreams turn elsewhere after a second.
const ONE_HOST: Duration = Duration::from_millis(400);

/// Pause after a host that knows no leader: a part of an election (0.5 s).
const NO_LEADER_PAUSE: Duration = Duration::from_millis(30);

/// Pause before the next host is asked, so that unreachable ones cost no loop.
const NEXT_HOST_PAUSE: Duration = Duration::from_millis(20);

/// Hosts that are asked for one request.
const MAX_HOPS: usize = 6;

/// Asks the process at an address, which plays a role, and waits for its answer.
pub async fn exchange<T: DeserializeOwned>(
    links: &Links,
    (addr, role): (SocketAddr, LinkRole),
    req: &impl Serialize,
    within: Duration,
) -> Result<T, LinkError> {
    let roundtrip = async {
        let mut stream: LinkStream = links.open_from_task(addr, role, req).await?;
        stream.recv_in_task().await
    };
    let answer = timeout(within, roundtrip).await;
    answer.unwrap_or(Err(LinkError::Silent))
}

/// Reaches the leader of the control group; clones share what is known of it.
#[derive(Debug, Clone)]
pub struct ControlClient {
    links: Links,
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Links of control hosts.
    hosts: RefCell<Vec<SocketAddr>>,
    /// Links that the settings name; kept in case all others have gone.
    seeds: RefCell<Vec<SocketAddr>>,
    leader: Cell<Option<SocketAddr>>,
    next: Cell<usize>,
    /// Whether the last request reached the leader; a change is logged.
    reached: Cell<bool>,
}

impl ControlClient {
    /// A client that knows the seeds.
    pub fn new(links: Links, seeds: Vec<SocketAddr>) -> Self {
        let shared = Shared {
            hosts: RefCell::new(seeds.clone()),
            seeds: RefCell::new(seeds),
            leader: Cell::new(None),
            next: Cell::new(0),
            reached: Cell::new(false),
        };
        Self {
            links,
            shared: Rc::new(shared),
        }
    }

    /// Takes other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.shared.seeds.borrow_mut() = seeds;
    }

    /// Learns the links of all control hosts.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>) {
        if !hosts.is_empty() {
            *self.shared.hosts.borrow_mut() = hosts;
        }
    }

    /// The host to ask next: the leader, or the others by turns.
    fn candidate(&self) -> Option<SocketAddr> {
        if let Some(leader) = self.shared.leader.get() {
            return Some(leader);
        }
        let turn = self.shared.next.get();
        self.shared.next.set(turn.wrapping_add(1));
        let mut all = self.shared.hosts.borrow().clone();
        for seed in &*self.shared.seeds.borrow() {
            if !all.contains(seed) {
                all.push(*seed);
            }
        }
        let len = all.len();
        all.into_iter().nth(turn.checked_rem(len)?)
    }

    /// Asks the leader within a time; `None` if it was not reached.
    ///
    /// The request may have been carried out all the same.
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

    async fn request_leader(&self, req: &LinkRequest) -> Option<ControlReply> {
        for _ in 0..MAX_HOPS {
            let addr = self.candidate()?;
            let wait = match req {
                LinkRequest::Gateway(GatewayRequest::Control(ControlRequest::Follow(_))) => {
                    ONE_HOST + super::control::FOLLOW_POLL_TIMEOUT
                }
                _ => ONE_HOST,
            };
            match exchange(&self.links, (addr, LinkRole::Ledger), req, wait).await {
                Ok(ControlReply::NotLeader(leader)) => {
                    let leader = leader.filter(|leader| *leader != addr);
                    self.shared.leader.set(leader);
                    if leader.is_none() {
                        tokio::time::sleep(NO_LEADER_PAUSE).await;
                    }
                }
                Ok(ControlReply::Unavailable) | Err(_) => {
                    self.shared.leader.set(None);
                    tokio::time::sleep(NEXT_HOST_PAUSE).await;
                }
                Ok(reply) => {
                    self.shared.leader.set(Some(addr));
                    return Some(reply);
                }
            }
        }
        None
    }
}
