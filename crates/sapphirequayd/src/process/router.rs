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

/// The upstream selected for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of its sidecar; changes with each restart.
    pub incarnation: Incarnation,
    /// Address of its sidecar.
    pub addr: SocketAddr,
    /// Number of leading prompt blocks expected in its prefix cache.
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

/// How an attempt counts against the retry budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a call, which adds a fraction of a retry to the
    /// budgets.
    First,
    /// An attempt after one that did not run; costs no budget.
    Reroute,
    /// An attempt after one that was lost; the budgets must cover it.
    Retry,
}

/// A call that needs an upstream.
#[derive(Debug, Clone)]
pub struct PickRequest {
    /// Model or service to call.
    pub target: CallTarget,
    /// Account that is charged for the call.
    pub account: AccountId,
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Whether the program may have made calls before.
    pub has_history: bool,
    /// Length of the prompt, in tokens.
    pub prompt: Tokens,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Box<[u64]>,
    /// Upstreams that were already tried for this call.
    pub tried: Box<[UpstreamId]>,
    /// How the attempt counts against the retry budgets.
    pub attempt: AttemptKind,
    /// Random number used by the routing policy.
    pub random: u64,
}

/// Messages to the router.
pub enum RouterMsg {
    /// Replaces the directory by the entries read last.
    Directory(Box<[DirectoryEntry]>),
    /// Asks for an upstream for an attempt; `None` if no upstream is suitable or
    /// the retry budgets do not cover the attempt.
    Pick(PickRequest, SyncSender<Option<Pick>>),
    /// Asks for the sidecar of a given upstream; `None` if it is not known.
    Find(UpstreamId, SyncSender<Option<Pick>>),
    /// Reports how many leading blocks of a prompt an upstream found in its
    /// prefix cache.
    CacheObserved {
        /// Upstream that ran the attempt, with the expected number of blocks.
        pick: Pick,
        /// Chained hashes of the prompt's blocks.
        blocks: Box<[u64]>,
        /// Number of leading blocks that were found.
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
    /// Creates a router for an entry in `data_centre`.
    pub fn new(route: RouteSettings, retry: RetrySettings, data_centre: &str) -> Self {
        Self {
            policy: quay_policy::Router::new(route, data_centre),
            budgets: RetryBudgets::new(retry),
        }
    }

    /// Updates the routing policy with the directory entries read last.
    fn apply_directory(&mut self, now: Time, entries: &[DirectoryEntry]) {
        let listed: Vec<_> = entries
            .iter()
            .map(|entry| entry.announcement.upstream())
            .collect();
        self.policy.retain_only(&listed);
        for entry in entries {
            let announced_at = now - Duration::from_millis(entry.age_ms.into());
            self.policy
                .apply_announcement(announced_at, &entry.announcement);
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
            beginning: None,
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
            RouterMsg::Directory(entries) => self.apply_directory(now, &entries),
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
