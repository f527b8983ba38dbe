//! How a store that joins becomes whole.

use {
    super::StoreHost,
    crate::{
        gateway::{
            control_client::ask,
            messages::{GatewayRequest, StoreOp, StoreReply, StoreRequest},
        },
        wire::LinkRequest,
    },
    quay_turns::{Record, StoreMember},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Longest wait for a part of a copy.
const PART_WITHIN: Duration = Duration::from_millis(1_500);

/// Pause before sources are tried again.
const AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Joins: has enough sources refuse earlier epochs, then takes writes, then
/// copies what the sources hold.
///
/// What was acknowledged under earlier epochs is on a write quorum of the
/// sources' view, which meets every set of `needed` sources; what comes later
/// goes to the members of this epoch.
pub async fn join(host: StoreHost, own: StoreMember) {
    log::info!(
        "event=store_joins epoch={} sources={:?} needed={}",
        own.joined,
        own.sources,
        own.needed
    );
    let joined = if host.opened() < own.joined {
        adopt(&host, &own).await && host.save(Record::Open(own.joined)).await
    } else {
        true
    };
    if joined && copy(&host, &own).await && host.save(Record::Whole(own.joined)).await {
        log::info!("event=store_whole epoch={}", own.joined);
    }
    host.copying.set(false);
}

/// Asks sources until enough have done something; `false` if the store is no
/// longer the member that it was.
async fn from_enough(
    host: &StoreHost,
    own: &StoreMember,
    mut step: impl AsyncFnMut(&StoreHost, u64, SocketAddr) -> bool,
) -> bool {
    let mut done = BTreeSet::new();
    loop {
        for (identity, addr) in &own.sources {
            if *identity == host.identity() || done.contains(identity) {
                continue;
            }
            if step(host, *identity, *addr).await {
                done.insert(*identity);
            }
            if done.len() >= own.needed {
                return true;
            }
        }
        if !host.joined_in(own.joined) {
            return false;
        }
        sleep(AGAIN_AFTER).await;
    }
}

async fn adopt(host: &StoreHost, own: &StoreMember) -> bool {
    from_enough(host, own, async |host, to, addr| {
        let reply = ask_source(host, to, addr, StoreOp::Adopt).await;
        reply == Some(StoreReply::Took)
    })
    .await
}

async fn copy(host: &StoreHost, own: &StoreMember) -> bool {
    from_enough(host, own, async |host, to, addr| {
        copy_source(host, to, addr).await
    })
    .await
}

/// Copies all that one source holds.
async fn copy_source(host: &StoreHost, to: u64, addr: SocketAddr) -> bool {
    let (mut turns, mut programs, mut copied) = (0, 0, 0);
    loop {
        let op = StoreOp::Copy { turns, programs };
        let Some(StoreReply::Copy {
            turns: last_turn,
            programs: last_program,
            records,
            last,
        }) = ask_source(host, to, addr, op).await
        else {
            return false;
        };
        copied += records.len();
        if !save_all(host, records).await {
            return false;
        }
        if last {
            log::info!("event=store_copied source={to} records={copied}");
            return true;
        }
        (turns, programs) = (last_turn, last_program);
    }
}

/// Saves records side by side, so that one sync serves them.
async fn save_all(host: &StoreHost, records: Vec<Record>) -> bool {
    let saves: Vec<_> = records
        .into_iter()
        .map(|record| {
            let host = host.clone();
            tokio::task::spawn_local(async move { host.save(record).await })
        })
        .collect();
    let mut all = true;
    for save in saves {
        all &= save.await.unwrap_or(false);
    }
    all
}

async fn ask_source(
    host: &StoreHost,
    to: u64,
    addr: SocketAddr,
    op: StoreOp,
) -> Option<StoreReply> {
    let req = StoreRequest {
        to,
        epoch: host.epoch(),
        joined: 0,
        op,
    };
    let req = LinkRequest::Gateway(GatewayRequest::Store(req));
    ask(&host.links, addr, &req, PART_WITHIN).await.ok()
}
