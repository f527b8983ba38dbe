//! Copies the records of the previous members to a store that joins, until the
//! store is whole.

use {
    super::StoreHost,
    crate::{
        gateway::{
            control_client::exchange,
            messages::{GatewayRequest, StoreList, StoreOp, StoreReply, StoreRequest},
        },
        wire::LinkRequest,
    },
    quay_link::LinkRole,
    quay_turns::{CopySource, Record, StoreMember},
    quay_types::{GroupId, TurnId},
    std::{net::SocketAddr, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Time-out of a request to a source.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before unfinished sources are retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of turns in one fetch request.
pub const MAX_FETCH_TURNS: usize = 32;

/// Maximum number of fetch requests in flight.
const MAX_CONCURRENT_FETCHES: usize = 4;

/// Number of rounds after which sources that are not whole are used as well,
/// since the whole sources may be lost permanently.
const WHOLE_SOURCE_ROUNDS: u32 = 30;

/// A store that joins a group.
#[derive(Debug, Clone)]
struct Join {
    host: StoreHost,
    group: GroupId,
    own: StoreMember,
}

/// Joins a group. First, enough sources adopt the new epoch, so that they
/// refuse requests of earlier ones; then this store accepts writes; then it
/// copies what the sources hold.
pub async fn join(host: StoreHost, group: GroupId, own: StoreMember) {
    log::info!(
        "event=store_joins group={group} epoch={} sources={:?} needed={}",
        own.joined,
        own.sources,
        own.needed
    );
    let join = Join { host, group, own };
    if join.run().await {
        log::info!("event=store_whole group={group} epoch={}", join.own.joined);
    }
    join.host.copying.borrow_mut().remove(&group);
}

impl Join {
    async fn run(&self) -> bool {
        let epoch = self.own.joined;
        let open = self.host.group(self.group).open_epoch();
        let joined = open >= epoch
            || self.for_enough_sources(Self::adopt).await && self.save(Record::Open(epoch)).await;
        joined
            && self.for_enough_sources(Self::copy_source).await
            && self.save(Record::Whole(epoch)).await
    }

    /// Runs `step` on sources until it has succeeded on enough of them. Returns
    /// `false` if the store is no longer the member that joined.
    async fn for_enough_sources(&self, step: impl AsyncFn(&Self, &CopySource) -> bool) -> bool {
        let mut done = Vec::new();
        let mut round = 0;
        loop {
            // The addresses of the sources may have changed since the last round.
            for source in self.host.view(self.group).sources_of(&self.own) {
                let view = self.host.view(self.group);
                let pending =
                    source.identity != self.own.identity && !done.contains(&source.identity);
                let eligible = view.source_is_whole(source) || round >= WHOLE_SOURCE_ROUNDS;
                if pending && eligible && step(self, source).await {
                    done.push(source.identity);
                }
                if self
                    .host
                    .view(self.group)
                    .copy_is_complete(&self.own, &done)
                {
                    return true;
                }
            }
            let view = self.host.view(self.group);
            let member = view.member(self.own.identity);
            if member.is_none_or(|member| member.joined != self.own.joined) {
                return false;
            }
            sleep(RETRY_INTERVAL).await;
            round += 1;
        }
    }

    /// Makes a source adopt the current epoch and refuse earlier ones.
    async fn adopt(&self, source: &CopySource) -> bool {
        self.ask(source, StoreOp::FenceEpoch).await == Some(StoreReply::Synced)
    }

    /// Copies the turns that this store lacks, and all charges of the source.
    async fn copy_source(&self, source: &CopySource) -> bool {
        let (mut turns, mut programs, mut copied) = (0, 0, 0);
        loop {
            let Some(StoreReply::List(list)) =
                self.ask(source, StoreOp::List { turns, programs }).await
            else {
                return false;
            };
            let StoreList {
                turns: listed,
                charges,
                last_turn,
                last_program,
            } = *list;
            if listed.is_empty() && charges.is_empty() {
                log::info!(
                    "event=store_copied group={} source={} turns={copied}",
                    self.group,
                    source.identity
                );
                return true;
            }
            let charges = charges.into_iter();
            let charges = charges.map(|(program, charge)| Record::Charge(program, charge));
            let missing: Vec<TurnId> = {
                let held = self.host.group(self.group);
                let listed = listed.into_iter();
                listed.filter(|id| held.location(*id).is_none()).collect()
            };
            copied += missing.len();
            if !self.save_all(charges.collect()).await || !self.fetch_all(source, &missing).await {
                return false;
            }
            (turns, programs) = (last_turn, last_program);
        }
    }

    /// Copies turns with several concurrent fetch requests.
    async fn fetch_all(&self, source: &CopySource, turns: &[TurnId]) -> bool {
        for window in turns.chunks(MAX_FETCH_TURNS * MAX_CONCURRENT_FETCHES) {
            let fetches: Vec<_> = window
                .chunks(MAX_FETCH_TURNS)
                .map(|batch| {
                    let (join, source, batch) = (self.clone(), *source, batch.to_vec());
                    spawn_local(async move { join.fetch(&source, batch).await })
                })
                .collect();
            for fetch in fetches {
                if !fetch.await.unwrap_or(false) {
                    return false;
                }
            }
        }
        true
    }

    /// Copies turns one after another.
    async fn fetch(&self, source: &CopySource, turns: Vec<TurnId>) -> bool {
        let source = (source.identity, source.addr);
        copy_turns(&self.host, self.group, source, turns)
            .await
            .is_some()
    }

    async fn save(&self, record: Record) -> bool {
        self.host.save(self.group, record).await
    }

    async fn save_all(&self, records: Vec<Record>) -> bool {
        self.host.save_all(self.group, records).await
    }

    async fn ask(&self, source: &CopySource, op: StoreOp) -> Option<StoreReply> {
        ask_store(&self.host, self.group, (source.identity, source.addr), op).await
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
        let reply = match ask_store(host, group, source, some).await {
            // A store of an earlier version does not answer this request.
            None => ask_store(host, group, source, StoreOp::Fetch(turns.clone())).await,
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
    Some(copied)
}

/// Sends an operation to another store, given by its identity and address, in the
/// current view of a group.
async fn ask_store(
    host: &StoreHost,
    group: GroupId,
    (identity, addr): (u64, SocketAddr),
    op: StoreOp,
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
    let reply = exchange(&host.links, target, &req, SOURCE_TIMEOUT).await;
    if let Err(err) = &reply {
        log::debug!("event=store_source_unreached store={identity} cause={err:?}");
    }
    reply.ok()
}
