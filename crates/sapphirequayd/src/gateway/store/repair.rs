//! Copies turns that a store lacks from the other members of the group: a store that
//! was away or late for one turn of a conversation needs it as soon as it gets a later
//! one, to keep the whole conversation.

use {
    super::{
        StoreHost,
        copy::{MAX_FETCH_TURNS, copy_turns},
    },
    quay_turns::StoreMember,
    quay_types::{GroupId, TurnId},
    std::time::Duration,
    tokio::time::sleep,
};

/// Delay before missing turns are copied, in which writes in progress may bring them.
const REPAIR_DELAY: Duration = Duration::from_millis(100);

/// Delay before turns that no member had are asked for again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Copies missing turns whenever there are some, until the task is dropped.
pub async fn run(host: StoreHost) {
    loop {
        if host.groups_with_missing_turns().is_empty() {
            host.turns_missing.notified().await;
        }
        sleep(REPAIR_DELAY).await;
        for group in host.groups_with_missing_turns() {
            repair_group(&host, group).await;
        }
        if !host.groups_with_missing_turns().is_empty() {
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Copies the missing turns of a group, unless this store is not whole: a joining store
/// copies all turns.
async fn repair_group(host: &StoreHost, group: GroupId) {
    let view = host.view(group);
    if view.member(host.identity()).is_none_or(|own| !own.whole) {
        return;
    }
    let others = view.members.iter();
    let others = others.filter(|it| it.identity != host.identity());
    let (whole, joining): (Vec<_>, Vec<_>) = others.partition(|it| it.whole);
    for member in whole.into_iter().chain(joining) {
        let copied = copy_from(host, group, member).await;
        let missing = host.group(group).missing_turns().len();
        log::info!(
            "event=turns_repaired group={group} source={} turns={copied} missing={missing}",
            member.identity
        );
        if missing == 0 {
            return;
        }
    }
}

/// Copies the missing turns that a member holds. Each may show that the one before it is
/// missing, too. Returns the number of turns copied.
async fn copy_from(host: &StoreHost, group: GroupId, member: &StoreMember) -> usize {
    let mut copied = 0;
    loop {
        let missing: Vec<TurnId> = host.group(group).missing_turns().collect();
        let mut progress = 0;
        for batch in missing.chunks(MAX_FETCH_TURNS) {
            let source = (member.identity, member.addr);
            match copy_turns(host, group, source, batch.to_vec()).await {
                Some(count) => progress += count,
                None => return copied,
            }
        }
        copied += progress;
        if progress == 0 {
            return copied;
        }
    }
}
