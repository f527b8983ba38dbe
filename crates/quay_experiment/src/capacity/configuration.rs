//! Configuration: bytes and time of a change against accounts.

use {
    crate::capacity::{Slope, ledger::as_f64, slope::least_us},
    quay_config::{
        Action, ChangeId, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigStore, KeyDigest, Origin,
        Poll, SectionRevision, Subscriber, Update,
    },
    quay_quorum::StateMachine as _,
    quay_types::{Epoch, LogIndex},
    std::fmt::Write as _,
};

/// Accounts in the document.
const ACCOUNTS: [u32; 5] = [450, 900, 1_800, 3_600, 7_200];

/// Section of the accounts.
const SECTION: &str = "team";

/// Text of the accounts' section.
fn accounts(count: u32) -> String {
    let mut text = String::new();
    for number in 0..count {
        let key = KeyDigest::of(&number.to_string());
        let written = write!(
            text,
            "[team.accounts.a-{number}]\nkey_sha256 = \"{key}\"\nweight = 100\n"
        );
        debug_assert!(written.is_ok(), "a string takes any text");
    }
    text
}

/// A store with so many accounts, and a subscriber that holds its document.
fn founded(count: u32) -> (ConfigStore, Subscriber) {
    let mut store = ConfigStore::default();
    let head =
        "[platform.owners]\nplatform = [\"root\"]\nteam = [\"ada\"]\n[platform.models.m]\n\n";
    let text = format!("{head}{}", accounts(count));
    order(
        &mut store,
        "found",
        "ledger-1",
        Origin::Process,
        Action::Bootstrap(text.into()),
    );
    let mut subscriber = Subscriber::default();
    subscriber.receive(poll(&store, subscriber.poll()), true);
    (store, subscriber)
}

/// Carries out one order.
fn order(store: &mut ConfigStore, id: &str, author: &str, origin: Origin, action: Action) {
    let order = ConfigCommand {
        id: ChangeId(id.into()),
        author: author.into(),
        origin,
        cause: "capacity".into(),
        time_ms: 1,
        action,
    };
    let reply = store.apply(LogIndex(1), Epoch(1), order);
    assert!(reply.is_ok(), "the order fits: {reply:?}");
}

/// Changes the weight of one account, a line in the middle of its section.
fn change(store: &mut ConfigStore, count: u32, weight: u32) {
    let section = &store.image().sections[SECTION];
    let base = SectionRevision {
        version: section.version,
        digest: section.digest,
    };
    let head = format!("[team.accounts.a-{}]", count / 2);
    let start = section.text.find(&head).unwrap_or_default();
    let (before, after) = section.text.split_at(start);
    let old = after.lines().find(|line| line.starts_with("weight"));
    let after = after.replacen(old.unwrap_or_default(), &format!("weight = {weight}"), 1);
    let text = format!("{before}{after}").into();
    let action = Action::Change {
        section: SECTION.into(),
        base,
        text,
    };
    order(
        store,
        &format!("c-{weight}"),
        "ada",
        Origin::Operator,
        action,
    );
}

/// What a subscriber is sent.
fn poll(store: &ConfigStore, poll: Poll) -> Update {
    match store.query(&ConfigQuery::Poll(poll)) {
        ConfigAnswer::Update(update) => update,
        _ => Update::Empty,
    }
}

/// Bytes of an update on the wire.
fn bytes(update: &Update) -> f64 {
    as_f64(postcard::to_stdvec(update).map_or(0, |bytes| bytes.len()))
}

/// Slopes of configuration.
pub fn slopes() -> Vec<Slope> {
    let step = Slope::measure("config.step_bytes", "accounts", "B", &ACCOUNTS, |count| {
        let (mut store, subscriber) = founded(count);
        change(&mut store, count, 7);
        bytes(&poll(&store, subscriber.poll()))
    });
    let snapshot = Slope::measure(
        "config.snapshot_bytes",
        "accounts",
        "B",
        &ACCOUNTS,
        |count| bytes(&poll(&founded(count).0, Poll::default())),
    );
    let accept = Slope::measure("config.accept_cpu", "accounts", "us", &ACCOUNTS, |count| {
        let (mut store, _) = founded(count);
        let mut weight = 1;
        least_us(1, || {
            weight += 1;
            change(&mut store, count, weight);
        })
    });
    let take = Slope::measure("config.take_cpu", "accounts", "us", &ACCOUNTS, |count| {
        let (mut store, mut subscriber) = founded(count);
        let mut weight = 1;
        least_us(1, || {
            weight += 1;
            change(&mut store, count, weight);
            subscriber.receive(poll(&store, subscriber.poll()), true);
        })
    });
    vec![step, snapshot, accept, take]
}
