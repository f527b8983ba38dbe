//! Client of the ledger: finds the leader of a program's group and sends
//! requests to it.

use {
    crate::wire::LinkRequest,
    indexmap::IndexMap,
    quay_link::{LinkError, LinkRole, Links},
    quay_types::{Error, ErrorKind, LedgerReply, LedgerRequest, ProgramId},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Number of redirects that are followed in one round over the hosts.
const MAX_REDIRECTS: usize = 4;

/// Back-off after the first round that found no leader; doubles with each round.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Longest back-off between rounds.
const MAX_BACKOFF: Duration = Duration::from_millis(320);

/// Number of slots in the leader cache. Programs of one slot belong to one group
/// if the number of groups divides this number.
const LEADER_SLOTS: u64 = 64;

/// Reasons why a request to the ledger got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerClientError {
    /// The request was not executed and will not be.
    NotSent,
    /// The request may have been executed, or may still be.
    Unknown,
}

/// Sends requests to the ledger; clones share the leader cache.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    links: Links,
    hosts: Arc<[SocketAddr]>,
    leaders: Arc<Mutex<IndexMap<u64, SocketAddr>>>,
}

/// Result of a request to one host.
enum HostReply {
    /// The reply of the leader.
    Answered(LedgerReply),
    /// The host did not execute the request; holds the address of the leader, if
    /// known.
    NotExecuted(Option<SocketAddr>),
    /// The reply was lost; the request may have been executed.
    Lost,
}

impl LedgerClient {
    /// Creates a client of the ledger on `hosts`.
    #[must_use]
    pub fn new(links: Links, hosts: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self {
            links,
            hosts: hosts.into(),
            leaders: Arc::default(),
        }
    }

    /// Sends a request to the leader of the program's group, and retries until
    /// `timeout` while hosts are unreachable or the group has no leader. Requests
    /// are idempotent by their key, so retries are safe.
    ///
    /// # Errors
    ///
    /// [`LedgerClientError`] tells whether the request may have been executed.
    pub fn request(
        &self,
        program: ProgramId,
        req: &LedgerRequest,
        timeout: Duration,
    ) -> Result<LedgerReply, LedgerClientError> {
        let started = Instant::now();
        let mut error = LedgerClientError::NotSent;
        let mut backoff = INITIAL_BACKOFF;
        loop {
            if let Some(reply) = self.round(program, req, &mut error) {
                return Ok(reply);
            }
            if started.elapsed() + backoff >= timeout {
                return Err(error);
            }
            thread::sleep(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Tries every host once, the cached leader first, and follows redirects.
    fn round(
        &self,
        program: ProgramId,
        req: &LedgerRequest,
        error: &mut LedgerClientError,
    ) -> Option<LedgerReply> {
        let slot = program.root % LEADER_SLOTS;
        let mut untried: Vec<_> = self.hosts.to_vec();
        let mut next = self.leader(slot);
        let mut redirects = 0;
        while let Some(host) = next.or_else(|| untried.first().copied()) {
            untried.retain(|other| *other != host);
            next = None;
            match self.request_from_host(host, req) {
                HostReply::Answered(reply) => {
                    self.cache_leader(slot, Some(host));
                    return Some(reply);
                }
                HostReply::NotExecuted(leader) if redirects < MAX_REDIRECTS => {
                    redirects += 1;
                    next = leader.filter(|leader| *leader != host);
                }
                HostReply::NotExecuted(_) => {}
                HostReply::Lost => *error = LedgerClientError::Unknown,
            }
            self.cache_leader(slot, None);
        }
        None
    }

    /// Sends the request to one host.
    fn request_from_host(&self, host: SocketAddr, req: &LedgerRequest) -> HostReply {
        let req = LinkRequest::Ledger(req.clone());
        let mut stream = match self.links.open(host, LinkRole::Ledger, &req) {
            Ok(stream) => stream,
            // The request was not sent.
            Err(LinkError::Connect(text)) => {
                log::debug!("event=ledger_host_unreachable host={host} cause={text}");
                return HostReply::NotExecuted(None);
            }
            Err(err) => {
                log::warn!("event=ledger_request_lost host={host} cause={err:?}");
                return HostReply::Lost;
            }
        };
        match stream.recv() {
            Ok(LedgerReply::Redirect(leader)) => HostReply::NotExecuted(leader),
            Ok(LedgerReply::Refused(err)) if err.kind == ErrorKind::LedgerUnavailable => {
                HostReply::NotExecuted(None)
            }
            Ok(LedgerReply::Unknown) => HostReply::Lost,
            Ok(reply) => HostReply::Answered(reply),
            Err(err) => {
                log::warn!("event=ledger_answer_lost host={host} cause={err:?}");
                HostReply::Lost
            }
        }
    }

    /// Cached leader of the groups of a slot.
    fn leader(&self, slot: u64) -> Option<SocketAddr> {
        let leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        leaders.get(&slot).copied()
    }

    /// Updates or clears the cached leader of a slot.
    fn cache_leader(&self, slot: u64, host: Option<SocketAddr>) {
        let mut leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        match host {
            Some(host) => leaders.insert(slot, host),
            None => leaders.swap_remove(&slot),
        };
    }
}

impl LedgerClientError {
    /// Description of the failure.
    const fn text(self) -> &'static str {
        match self {
            Self::NotSent => "the leader of the ledger group cannot be reached",
            Self::Unknown => "the reply of the ledger was lost",
        }
    }

    /// Error for a request that was not executed by any earlier attempt.
    #[must_use]
    pub fn not_run_error(self) -> Error {
        Error::new(
            ErrorKind::LedgerUnavailable,
            format!("{}; the request was not executed", self.text()),
        )
    }

    /// Error for a request that an earlier attempt may have executed.
    #[must_use]
    pub fn unreachable_error(self) -> Error {
        Error::new(
            ErrorKind::LedgerUnreachable,
            format!("{}; resend the request with the same key", self.text()),
        )
    }
}
