//! Finds the leader of a program's ledger group and asks it.

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

/// Redirects that one round over the hosts follows.
const MAX_REDIRECTS: usize = 4;

/// Pause after the first round that found no leader; doubles with each round.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between two rounds.
const MAX_PAUSE: Duration = Duration::from_millis(320);

/// Slots of remembered leaders; programs of one slot share a group if the
/// number of groups divides this.
const LEADER_SLOTS: u64 = 64;

/// Why the ledger gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerClientError {
    /// The request was carried out nowhere and never will be.
    NotSent,
    /// The request may have been carried out, or may yet be.
    Unknown,
}

/// Asks the ledger; clones share what is known of leaders.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    links: Links,
    hosts: Arc<[SocketAddr]>,
    leaders: Arc<Mutex<IndexMap<u64, SocketAddr>>>,
}

/// Answer of one host.
enum HostAnswer {
    /// The leader's answer.
    Answered(LedgerReply),
    /// Nothing happened there; another host may lead.
    Elsewhere(Option<SocketAddr>),
    /// It may have been carried out.
    Lost,
}

impl LedgerClient {
    /// A client of the ledger on `hosts`.
    #[must_use]
    pub fn new(links: Links, hosts: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self {
            links,
            hosts: hosts.into(),
            leaders: Arc::default(),
        }
    }

    /// Sends a request to the leader of the program's group, again while hosts
    /// are lost or none leads, until `patience` is over. Every request is
    /// idempotent by its key, so sending it again is safe.
    ///
    /// # Errors
    ///
    /// [`LedgerClientError`] says whether the request may have been carried out.
    pub fn request(
        &self,
        program: ProgramId,
        req: &LedgerRequest,
        patience: Duration,
    ) -> Result<LedgerReply, LedgerClientError> {
        let started = Instant::now();
        let mut fault = LedgerClientError::NotSent;
        let mut pause = FIRST_PAUSE;
        loop {
            if let Some(reply) = self.round(program, req, &mut fault) {
                return Ok(reply);
            }
            if started.elapsed() + pause >= patience {
                return Err(fault);
            }
            thread::sleep(pause);
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    /// Asks every host once, the likely leader first, and follows redirects.
    fn round(
        &self,
        program: ProgramId,
        req: &LedgerRequest,
        fault: &mut LedgerClientError,
    ) -> Option<LedgerReply> {
        let slot = program.root % LEADER_SLOTS;
        let mut untried: Vec<_> = self.hosts.to_vec();
        let mut next = self.leader(slot);
        let mut redirects = 0;
        while let Some(host) = next.or_else(|| untried.first().copied()) {
            untried.retain(|other| *other != host);
            next = None;
            match self.ask_host(host, req) {
                HostAnswer::Answered(reply) => {
                    self.remember(slot, Some(host));
                    return Some(reply);
                }
                HostAnswer::Elsewhere(leader) if redirects < MAX_REDIRECTS => {
                    redirects += 1;
                    next = leader.filter(|leader| *leader != host);
                }
                HostAnswer::Elsewhere(_) => {}
                HostAnswer::Lost => *fault = LedgerClientError::Unknown,
            }
            self.remember(slot, None);
        }
        None
    }

    /// Asks one host.
    fn ask_host(&self, host: SocketAddr, req: &LedgerRequest) -> HostAnswer {
        let req = LinkRequest::Ledger(req.clone());
        let mut stream = match self.links.open(host, LinkRole::Ledger, &req) {
            Ok(stream) => stream,
            // Nothing was sent.
            Err(LinkError::Connect(text)) => {
                log::debug!("event=ledger_host_unreachable host={host} cause={text}");
                return HostAnswer::Elsewhere(None);
            }
            Err(err) => {
                log::warn!("event=ledger_request_lost host={host} cause={err:?}");
                return HostAnswer::Lost;
            }
        };
        match stream.recv() {
            Ok(LedgerReply::Redirect(leader)) => HostAnswer::Elsewhere(leader),
            Ok(LedgerReply::Refused(err)) if err.kind == ErrorKind::LedgerUnavailable => {
                HostAnswer::Elsewhere(None)
            }
            Ok(LedgerReply::Unknown) => HostAnswer::Lost,
            Ok(reply) => HostAnswer::Answered(reply),
            Err(err) => {
                log::warn!("event=ledger_answer_lost host={host} cause={err:?}");
                HostAnswer::Lost
            }
        }
    }

    /// Host that led the groups of a slot when last heard of.
    fn leader(&self, slot: u64) -> Option<SocketAddr> {
        let leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        leaders.get(&slot).copied()
    }

    /// Remembers or forgets the leader of a slot.
    fn remember(&self, slot: u64, host: Option<SocketAddr>) {
        let mut leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        match host {
            Some(host) => leaders.insert(slot, host),
            None => leaders.swap_remove(&slot),
        };
    }
}

impl LedgerClientError {
    /// What went wrong, for a person.
    const fn text(self) -> &'static str {
        match self {
            Self::NotSent => "no ledger host that leads can be reached",
            Self::Unknown => "the ledger's answer was lost",
        }
    }

    /// The error for a request whose earlier sends never ran.
    #[must_use]
    pub fn not_run_error(self) -> Error {
        Error::new(
            ErrorKind::LedgerUnavailable,
            format!("{}; nothing was run", self.text()),
        )
    }

    /// The error for a request of which an earlier send may have run.
    #[must_use]
    pub fn unreachable_error(self) -> Error {
        Error::new(
            ErrorKind::LedgerUnreachable,
            format!("{}; send it again with the same key", self.text()),
        )
    }
}
