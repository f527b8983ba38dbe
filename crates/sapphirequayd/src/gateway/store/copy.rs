//! Copies the records of the previous members to a store that joins, until the
//! store is whole.

use {
    super::StoreHost,
    crate::{
        gateway::{
            control_client::exchange,
            messages::{GatewayRequest, StoreList, StoreOp, StoreReply, StoreRequest},
            meters,
        },
        wire::LinkRequest,
    },
    futures_util::{StreamExt as _, future::join_all, stream::FuturesUnordered},
    quay_link::LinkRole,
    quay_turns::{
        BatchLimits, CopyPlan, CopySource, CopyStep, JoinStep, JoinTally, ListedTurn, Record,
        StoreMember, StoreView,
    },
    quay_types::{GroupId, TurnId},
    std::{
        cell::RefCell,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::sleep},
};

/// Time-out of a request to a source for anything but turns.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time-out of a request for turns. Longer, since a busy source takes long to read and
/// send them; the link ends the request sooner if the source is gone.
const FETCH_TIMEOUT: Duration = Duration::from_secs(6);

/// Delay before unfinished sources are retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of turns in one fetch request.
pub const MAX_FETCH_TURNS: usize = 32;

/// Limits of one fetch request if the sizes of the turns are known.
const BATCH: BatchLimits = BatchLimits {
    turns: 128,
    bytes: 1 << 20,
};

/// Maximum number of fetch requests in flight to one source of a join.
const MAX_FETCHES_OF_SOURCE: usize = 4;

/// Maximum number of fetch requests of all joins in flight.
pub const MAX_FETCHES: usize = 8;

/// Interval at which a join that waits for sources is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(3);

/// Sequence number after that of any turn or program.
const AFTER_ALL: u64 = u64::MAX;

/// A store that joins a group.
#[derive(Debug)]
struct Join {
    host: StoreHost,
    group: GroupId,
    own: StoreMember,
    began: Instant,
    plan: RefCell<CopyPlan>,
    /// Notified when a request for turns has ended.
    fetched: Notify,
}

/// Joins a group. First, enough sources adopt the new epoch, so that they
/// refuse requests of earlier ones; then this store accepts writes; then it
/// copies what the sources hold, the charges first, since every turn of a program needs
/// them and they are small.
pub async fn join(host: StoreHost, group: GroupId, own: StoreMember) {
    log::info!(
        "event=store_joins group={group} epoch={} sources={:?} needed={}",
        own.joined,
        own.sources,
        own.needed
    );
    let join = Join {
        host,
        group,
        own,
        began: Instant::now(),
        plan: RefCell::default(),
        fetched: Notify::new(),
    };
    if join.run().await {
        log::info!(
            "event=store_whole group={group} epoch={} ms={}",
            join.own.joined,
            join.began.elapsed().as_millis()
        );
        join.host.announce.notify_one();
    }
    join.host.copying.borrow_mut().remove(&group);
}

impl Join {
    async fn run(&self) -> bool {
        let epoch = self.own.joined;
        self.open().await
            && self.copy_charges().await
            && self
                .for_enough_sources(JoinStep::Copy, Self::copy_turns_of)
                .await
            && self.save(Record::Whole(epoch)).await
    }

    /// Accepts writes, once enough sources refuse those of earlier epochs.
    async fn open(&self) -> bool {
        let epoch = self.own.joined;
        let open = self.host.group(self.group).open_epoch() >= epoch;
        open || self.for_enough_sources(JoinStep::Fence, Self::adopt).await
            && self.save(Record::Open(epoch)).await
    }

    /// Copies all charges.
    async fn copy_charges(&self) -> bool {
        let epoch = self.own.joined;
        if self.host.group(self.group).holds_charges_since(epoch) {
            return true;
        }
        let copied = self
            .for_enough_sources(JoinStep::Copy, Self::copy_charges_of)
            .await
            && self.save(Record::ChargesCopied(epoch)).await;
        if copied {
            log::info!(
                "event=store_charges_copied group={} epoch={epoch}",
                self.group
            );
        }
        copied
    }

    /// Takes a step at all sources at the same time, until it is done at enough of them or
    /// everything that was written before the join has ended. Returns `false` if the store
    /// is no longer the member that joined.
    async fn for_enough_sources(
        &self,
        step: JoinStep,
        take: impl AsyncFn(&Self, &CopySource) -> bool,
    ) -> bool {
        let mut tally = JoinTally::new(step);
        let mut logged = Duration::ZERO;
        loop {
            // The addresses and states of the sources may have changed since the last round.
            let pending = tally.pending(&self.view(), &self.own);
            let mut steps: FuturesUnordered<_> = pending
                .into_iter()
                .map(async |source| take(self, &source).await.then_some(source))
                .collect();
            while let Some(ended) = steps.next().await {
                if let Some(source) = ended {
                    tally.record(&source);
                }
                if tally.is_complete(&self.view(), &self.own) {
                    return true;
                }
            }
            let view = self.view();
            if tally.is_complete(&view, &self.own) {
                return true;
            }
            let member = view.member(self.own.identity);
            if member.is_none_or(|member| member.joined != self.own.joined) {
                return false;
            }
            let waited = self.began.elapsed();
            if waited >= self.host.group(self.group).longest_retention() {
                self.log_waiting("store_join_ends", &tally);
                return true;
            }
            if waited >= logged + LOG_INTERVAL {
                logged = waited;
                self.log_waiting("store_join_waits", &tally);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Logs the sources that a step of the join still lacks.
    fn log_waiting(&self, event: &str, tally: &JoinTally) {
        let view = self.view();
        log::warn!(
            "event={event} group={} epoch={} step={:?} done={} needed={} pending={:?} waited_ms={}",
            self.group,
            self.own.joined,
            tally.step(),
            tally.done(),
            self.own.needed,
            tally.pending(&view, &self.own),
            self.began.elapsed().as_millis()
        );
    }

    fn view(&self) -> StoreView {
        self.host.view(self.group)
    }

    /// Makes a source adopt the current epoch and refuse earlier ones.
    async fn adopt(&self, source: &CopySource) -> bool {
        self.ask(source, StoreOp::FenceEpoch).await == Some(StoreReply::Synced)
    }

    /// Copies all charges of a source.
    async fn copy_charges_of(&self, source: &CopySource) -> bool {
        let mut programs = 0;
        loop {
            let list = StoreOp::List {
                turns: AFTER_ALL,
                programs,
            };
            let Some(StoreReply::List(list)) = self.ask(source, list).await else {
                return false;
            };
            if list.charges.is_empty() {
                return true;
            }
            programs = list.last_program;
            let charges = list.charges.into_iter();
            let charges = charges.map(|(program, charge)| Record::Charge(program, charge));
            if !self.host.save_all(self.group, charges.collect()).await {
                return false;
            }
        }
    }

    // -----------------------------------------------------------------------
    // Turns

    /// Copies the turns of a source that this store lacks, unless another source gives
    /// them. After a failure the next try goes on with those that are still lacking.
    async fn copy_turns_of(&self, source: &CopySource) -> bool {
        let Some(listed) = self.list_turns(source).await else {
            return false;
        };
        let count = listed.len();
        self.plan.borrow_mut().set_list(source.identity, listed);
        let began = Instant::now();
        let fetches = (0..MAX_FETCHES_OF_SOURCE).map(|_| self.fetch_planned(source));
        let fetches = join_all(fetches).await;
        let Some(bytes) = fetches.into_iter().sum::<Option<u64>>() else {
            return false;
        };
        log::info!(
            "event=store_copied group={} source={} listed={count} bytes={bytes} ms={}",
            self.group,
            source.identity,
            began.elapsed().as_millis()
        );
        true
    }

    /// All turns that a source holds.
    async fn list_turns(&self, source: &CopySource) -> Option<Vec<ListedTurn>> {
        let (mut listed, mut after) = (Vec::new(), 0);
        loop {
            let (turns, last) = match self.ask(source, StoreOp::ListTurns(after)).await {
                Some(StoreReply::TurnList(turns, last)) => (turns, last),
                // A store of an earlier version does not answer this request.
                _ => self.list_turns_without_sizes(source, after).await?,
            };
            if turns.is_empty() {
                return Some(listed);
            }
            listed.extend(turns);
            after = last;
        }
    }

    async fn list_turns_without_sizes(
        &self,
        source: &CopySource,
        after: u64,
    ) -> Option<(Vec<ListedTurn>, u64)> {
        let list = StoreOp::List {
            turns: after,
            programs: AFTER_ALL,
        };
        let Some(StoreReply::List(list)) = self.ask(source, list).await else {
            return None;
        };
        let StoreList {
            turns, last_turn, ..
        } = *list;
        let turns = turns.into_iter().map(|id| ListedTurn { id, bytes: 0 });
        Some((turns.collect(), last_turn))
    }

    /// Copies turns of a source in the order of the plan, one request at a time. Returns
    /// the number of bytes copied; `None` if the source or the disk failed.
    async fn fetch_planned(&self, source: &CopySource) -> Option<u64> {
        let mut bytes = 0;
        loop {
            let fetched = self.fetched.notified();
            tokio::pin!(fetched);
            fetched.as_mut().enable();
            let permit = self.host.fetches.acquire().await.ok()?;
            let step = {
                let held = self.host.group(self.group);
                let held = |id| held.location(id).is_some();
                self.plan.borrow_mut().next(source.identity, BATCH, held)
            };
            match step {
                CopyStep::Done => return Some(bytes),
                CopyStep::Wait => {
                    drop(permit);
                    fetched.await;
                }
                CopyStep::Fetch(turns) => {
                    let from = (source.identity, source.addr);
                    let copied = copy_turns(&self.host, self.group, from, turns.clone()).await;
                    self.plan.borrow_mut().end_request(&turns);
                    self.fetched.notify_waiters();
                    let held = self.host.group(self.group);
                    let sizes = turns.iter().filter_map(|id| held.location(*id));
                    bytes += sizes.map(|location| u64::from(location.len)).sum::<u64>();
                    copied?;
                }
            }
        }
    }

    async fn save(&self, record: Record) -> bool {
        self.host.save(self.group, record).await
    }

    async fn ask(&self, source: &CopySource, op: StoreOp) -> Option<StoreReply> {
        let store = (source.identity, source.addr);
        ask_store(&self.host, self.group, store, op, SOURCE_TIMEOUT).await
    }
}

/// Copies those of `turns` that another store holds. Returns their number; `None` if the
/// store did not answer or a turn could not be written.
pub async fn copy_turns(
    host: &StoreHost,
    group: GroupId,
    source: (u64, SocketAddr),
    mut turns: Vec<TurnId>,
) -> Option<usize> {
    let mut copied = 0;
    while !turns.is_empty() {
        let some = StoreOp::FetchSome(turns.clone());
        let reply = match ask_store(host, group, source, some, FETCH_TIMEOUT).await {
            // A store of an earlier version does not answer this request.
            None => {
                let few = turns.iter().take(MAX_FETCH_TURNS).copied().collect();
                ask_store(host, group, source, StoreOp::Fetch(few), FETCH_TIMEOUT).await
            }
            reply => reply,
        };
        let Some(StoreReply::Turns(fetched)) = reply else {
            return None;
        };
        if fetched.is_empty() {
            break;
        }
        copied += fetched.len();
        turns.retain(|id| fetched.iter().all(|turn| turn.id != *id));
        let records = fetched.into_iter().map(Record::Turn).collect();
        if !host.save_all(group, records).await {
            return None;
        }
    }
    meters::record_copied_turns(copied);
    Some(copied)
}

/// Sends an operation to another store, given by its identity and address, in the
/// current view of a group.
async fn ask_store(
    host: &StoreHost,
    group: GroupId,
    (identity, addr): (u64, SocketAddr),
    op: StoreOp,
    limit: Duration,
) -> Option<StoreReply> {
    let req = StoreRequest {
        to: identity,
        group,
        epoch: host.view(group).epoch,
        joined: 0,
        op,
    };
    let req = LinkRequest::Gateway(GatewayRequest::Store(req));
    let target = (addr, LinkRole::Ledger);
    let reply = exchange(&host.links, target, &req, limit).await;
    if let Err(err) = &reply {
        log::debug!("event=store_source_unreached store={identity} cause={err:?}");
    }
    reply.ok()
}
