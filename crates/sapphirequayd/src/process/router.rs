//! Chooses an upstream for each attempt of a call.

use {
    crate::process::Actor,
    quay_policy::{
        ExpectedTime, RetryBudgets, RetrySettings, RouteChoice, RouteRequest, RouteSettings,
    },
    quay_types::{
        AccountId, CallTarget, DirectoryEntry, Incarnation, ProgramId, Time, Tokens, UpstreamId,
    },
    std::{net::SocketAddr, sync::mpsc::SyncSender, time::Duration},
};

/// The upstream that an attempt goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Run of its sidecar.
    pub incarnation: Incarnation,
    /// Address of its sidecar.
    pub addr: SocketAddr,
    /// Leading blocks of the prompt that it is believed to hold.
    pub cached_blocks: u32,
}

impl From<RouteChoice> for Pick {
    fn from(choice: RouteChoice) -> Self {
        Self {
            upstream: choice.upstream,
            incarnation: choice.incarnation,
            addr: choice.addr,
            cached_blocks: choice.cached_blocks,
        }
    }
}

/// What an attempt is to the budgets of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The call's first attempt, which earns a share of a retry.
    First,
    /// Another attempt after one that did not run, which costs nothing.
    Reroute,
    /// Another attempt after one that was lost, which the budgets must cover.
    Retry,
}

/// A call that needs an upstream.
#[derive(Debug, Clone)]
pub struct PickRequest {
    /// What is to be run.
    pub target: CallTarget,
    /// Account that pays.
    pub account: AccountId,
    /// Program of the call.
    pub program: ProgramId,
    /// Whether the program may have made calls before.
    pub has_history: bool,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Box<[u64]>,
    /// Upstreams that refused or failed this call.
    pub tried: Box<[UpstreamId]>,
    /// What the attempt is to the budgets of retries.
    pub attempt: AttemptKind,
    /// A random number.
    pub random: u64,
}

/// What the router is told.
pub enum RouterMsg {
    /// The directory as it was last read.
    Directory(Box<[DirectoryEntry]>),
    /// Asks for an upstream; `None` if none fits or no budget covers a retry.
    Pick(PickRequest, SyncSender<Option<Pick>>),
    /// Asks where the sidecar of an upstream is.
    Find(UpstreamId, SyncSender<Option<Pick>>),
    /// An upstream found this many leading blocks of a prompt in its cache.
    CacheObserved {
        /// Where the attempt ran, and what was expected there.
        pick: Pick,
        /// Chained hashes of the prompt's blocks.
        blocks: Box<[u64]>,
        /// Leading blocks that were found.
        cached_blocks: u32,
    },
    /// An attempt has ended.
    Done(UpstreamId),
}

/// Routing state of an entry.
pub struct Router {
    policy: quay_policy::Router<ExpectedTime>,
    budgets: RetryBudgets,
}

impl Router {
    /// A router of an entry in a data centre.
    pub fn new(route: RouteSettings, retry: RetrySettings, data_centre: &str) -> Self {
        Self {
            policy: quay_policy::Router::new(route, data_centre),
            budgets: RetryBudgets::new(retry),
        }
    }

    /// Takes the directory as it was last read.
    fn learn(&mut self, now: Time, entries: &[DirectoryEntry]) {
        let listed: Vec<_> = entries
            .iter()
            .map(|entry| entry.announcement.upstream())
            .collect();
        self.policy.retain_only(&listed);
        for entry in entries {
            let made = now - Duration::from_millis(entry.age_ms.into());
            self.policy.apply_announcement(made, &entry.announcement);
        }
    }

    /// Chooses an upstream if the budgets allow the attempt.
    fn pick(&mut self, now: Time, req: &PickRequest) -> Option<Pick> {
        let group = match req.target {
            CallTarget::Model(model) => model.0,
            CallTarget::Service(service) => service.0,
        };
        match req.attempt {
            AttemptKind::First => self.budgets.record_first_attempt(req.account, group),
            AttemptKind::Reroute => {}
            AttemptKind::Retry if self.budgets.try_retry(req.account, group) => {}
            AttemptKind::Retry => {
                log::warn!(
                    "event=retry_refused account={} group={group:016x}",
                    req.account
                );
                return None;
            }
        }
        let route = RouteRequest {
            target: req.target,
            program: req.program,
            has_history: req.has_history,
            conversations: &[],
            prompt: req.prompt,
            blocks: &req.blocks,
            tried: &req.tried,
        };
        self.policy.pick(now, &route, req.random).map(Pick::from)
    }
}

impl Actor for Router {
    type Msg = RouterMsg;

    const TICK: Duration = Duration::from_millis(250);

    fn handle(&mut self, now: Time, msg: RouterMsg) {
        match msg {
            RouterMsg::Directory(entries) => self.learn(now, &entries),
            RouterMsg::Pick(req, reply) => {
                let _ = reply.send(self.pick(now, &req));
            }
            RouterMsg::Find(id, reply) => {
                let _ = reply.send(self.policy.find(id).map(Pick::from));
            }
            RouterMsg::CacheObserved {
                pick,
                blocks,
                cached_blocks,
            } => {
                self.policy.record_cached(
                    pick.upstream,
                    &blocks,
                    cached_blocks,
                    pick.cached_blocks,
                );
            }
            RouterMsg::Done(id) => self.policy.record_end(now, id),
        }
    }

    fn tick(&mut self, _: Time) {}
}
