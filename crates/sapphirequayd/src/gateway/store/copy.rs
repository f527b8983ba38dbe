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
    quay_types::TurnId,
    std::time::Duration,
    tokio::{task::spawn_local, time::sleep},
};

/// Time-out of a request to a source.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before unfinished sources are retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of turns in one fetch request.
const MAX_FETCH_TURNS: usize = 32;

/// Maximum number of fetch requests in flight.
const MAX_CONCURRENT_FETCHES: usize = 4;

/// Number of rounds after which sources that are not whole are used as well,
/// since the whole sources may be lost permanently.
const WHOLE_SOURCE_ROUNDS: u32 = 30;

/// Joins the view. First, enough sources adopt the new epoch, so that they
/// refuse requests of earlier ones; then this store accepts writes; then it
/// copies what the sources hold.
pub async fn join(host: StoreHost, own: StoreMember) {
    log::info!(
        "event=store_joins epoch={} sources={:?} needed={}",
        own.joined,
        own.sources,
        own.needed
    );
    let joined = host.open_epoch() >= own.joined
        || for_enough_sources(&host, &own, adopt).await
            && host.save(Record::Open(own.joined)).await;
    if joined
        && for_enough_sources(&host, &own, copy_source).await
        && host.save(Record::Whole(own.joined)).await
    {
        log::info!("event=store_whole epoch={}", own.joined);
    }
    host.copying.set(false);
}

/// Runs `step` on sources until it has succeeded on enough of them. Returns
/// `false` if the store is no longer the member that joined.
async fn for_enough_sources(
    host: &StoreHost,
    own: &StoreMember,
    step: impl AsyncFn(&StoreHost, &CopySource) -> bool,
) -> bool {
    let mut done = Vec::new();
    let mut round = 0;
    loop {
        // The addresses of the sources may have changed since the last round.
        for source in &host.sources(own) {
            let pending = source.identity != host.identity() && !done.contains(&source.identity);
            let eligible = host.source_is_whole(source) || round >= WHOLE_SOURCE_ROUNDS;
            if pending && eligible && step(host, source).await {
                done.push(source.identity);
            }
            if host.copy_is_complete(own, &done) {
                return true;
            }
        }
        if !host.is_member_since(own.joined) {
            return false;
        }
        sleep(RETRY_INTERVAL).await;
        round += 1;
    }
}

/// Makes a source adopt the current epoch and refuse earlier ones.
async fn adopt(host: &StoreHost, source: &CopySource) -> bool {
    ask_source(host, source, StoreOp::FenceEpoch).await == Some(StoreReply::Synced)
}

/// Copies the turns that this store lacks, and all charges of the source.
async fn copy_source(host: &StoreHost, source: &CopySource) -> bool {
    let (mut turns, mut programs, mut copied) = (0, 0, 0);
    loop {
        let Some(StoreReply::List(list)) =
            ask_source(host, source, StoreOp::List { turns, programs }).await
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
                "event=store_copied source={} turns={copied}",
                source.identity
            );
            return true;
        }
        let charges = charges.into_iter();
        let charges = charges.map(|(program, charge)| Record::Charge(program, charge));
        let missing: Vec<TurnId> = listed
            .into_iter()
            .filter(|id| !host.holds_turn(*id))
            .collect();
        copied += missing.len();
        if !save_all(host, charges.collect()).await || !fetch_all(host, source, &missing).await {
            return false;
        }
        (turns, programs) = (last_turn, last_program);
    }
}

/// Copies turns with several concurrent fetch requests.
async fn fetch_all(host: &StoreHost, source: &CopySource, turns: &[TurnId]) -> bool {
    for window in turns.chunks(MAX_FETCH_TURNS * MAX_CONCURRENT_FETCHES) {
        let fetches: Vec<_> = window
            .chunks(MAX_FETCH_TURNS)
            .map(|batch| {
                let (host, source, batch) = (host.clone(), *source, batch.to_vec());
                spawn_local(async move { fetch(&host, &source, batch).await })
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

/// Copies turns with one fetch request.
async fn fetch(host: &StoreHost, source: &CopySource, turns: Vec<TurnId>) -> bool {
    match ask_source(host, source, StoreOp::Fetch(turns)).await {
        Some(StoreReply::Turns(turns)) => {
            save_all(host, turns.into_iter().map(Record::Turn).collect()).await
        }
        _ => false,
    }
}

/// Saves records concurrently, so that one disk sync covers them.
async fn save_all(host: &StoreHost, records: Vec<Record>) -> bool {
    let saves: Vec<_> = records
        .into_iter()
        .map(|record| {
            let host = host.clone();
            spawn_local(async move { host.save(record).await })
        })
        .collect();
    let mut all = true;
    for save in saves {
        all &= save.await.unwrap_or(false);
    }
    all
}

async fn ask_source(host: &StoreHost, source: &CopySource, op: StoreOp) -> Option<StoreReply> {
    let req = StoreRequest {
        to: source.identity,
        epoch: host.epoch(),
        joined: 0,
        op,
    };
    let req = LinkRequest::Gateway(GatewayRequest::Store(req));
    let source = (source.addr, LinkRole::Ledger);
    exchange(&host.links, source, &req, SOURCE_TIMEOUT)
        .await
        .ok()
}
