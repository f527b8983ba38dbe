//! How a store that joins becomes whole.

use {
    super::StoreHost,
    crate::{
        gateway::{
            control_client::ask,
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

/// Longest wait for a part of a copy.
const PART_WITHIN: Duration = Duration::from_millis(1_500);

/// Pause before sources are tried again.
const AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Turns in one part of a copy.
const PART_TURNS: usize = 32;

/// Parts that are under way at a time.
const PARTS: usize = 4;

/// Rounds after which a source that is not whole is copied as well: whole ones
/// may be gone for good.
const PATIENT_ROUNDS: u32 = 30;

/// Joins: has enough sources refuse earlier epochs, then takes writes, then
/// copies what the sources hold.
pub async fn join(host: StoreHost, own: StoreMember) {
    log::info!(
        "event=store_joins epoch={} sources={:?} needed={}",
        own.joined,
        own.sources,
        own.needed
    );
    let joined = host.opened() >= own.joined
        || from_enough(&host, &own, adopt).await && host.save(Record::Open(own.joined)).await;
    if joined
        && from_enough(&host, &own, copy_source).await
        && host.save(Record::Whole(own.joined)).await
    {
        log::info!("event=store_whole epoch={}", own.joined);
    }
    host.copying.set(false);
}

/// Does something with sources until it suffices; `false` if the store is no
/// longer the member that it was.
async fn from_enough(
    host: &StoreHost,
    own: &StoreMember,
    step: impl AsyncFn(&StoreHost, &CopySource) -> bool,
) -> bool {
    let mut done = Vec::new();
    let mut round = 0;
    loop {
        // The sources may have moved since the last round.
        for source in &host.sources(own) {
            let open = source.identity != host.identity() && !done.contains(&source.identity);
            let wanted = host.source_is_whole(source) || round >= PATIENT_ROUNDS;
            if open && wanted && step(host, source).await {
                done.push(source.identity);
            }
            if host.copy_is_complete(own, &done) {
                return true;
            }
        }
        if !host.joined_in(own.joined) {
            return false;
        }
        sleep(AGAIN_AFTER).await;
        round += 1;
    }
}

/// Has a source refuse earlier epochs.
async fn adopt(host: &StoreHost, source: &CopySource) -> bool {
    ask_source(host, source, StoreOp::Adopt).await == Some(StoreReply::Took)
}

/// Copies what a source holds and this store does not.
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

/// Copies turns, several parts at a time.
async fn fetch_all(host: &StoreHost, source: &CopySource, turns: &[TurnId]) -> bool {
    for parts in turns.chunks(PART_TURNS * PARTS) {
        let fetches: Vec<_> = parts
            .chunks(PART_TURNS)
            .map(|part| {
                let (host, source, part) = (host.clone(), *source, part.to_vec());
                spawn_local(async move { fetch(&host, &source, part).await })
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

/// Copies a part of the turns.
async fn fetch(host: &StoreHost, source: &CopySource, turns: Vec<TurnId>) -> bool {
    match ask_source(host, source, StoreOp::Fetch(turns)).await {
        Some(StoreReply::Turns(turns)) => {
            save_all(host, turns.into_iter().map(Record::Turn).collect()).await
        }
        _ => false,
    }
}

/// Saves records side by side, so that one sync serves them.
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
    ask(&host.links, source, &req, PART_WITHIN).await.ok()
}
