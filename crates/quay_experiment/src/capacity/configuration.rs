//! Configuration measurements: bytes and CPU time of a change by number of
//! accounts.

use {
    crate::capacity::{Slope, ledger::as_f64, slope::min_time_us},
    quay_config::{
        Action, ChangeId, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigStore, KeyDigest, Origin,
        Poll, SectionRevision, Subscriber, Update,
    },
    quay_quorum::StateMachine as _,
    quay_types::{Epoch, LogIndex},
    std::fmt::Write as _,
};

/// Numbers of accounts in the document.
const ACCOUNTS: [u32; 5] = [450, 900, 1_800, 3_600, 7_200];

/// Section that defines the accounts.
const SECTION: &str = "team";

/// Returns the text of a section with `count` accounts.
fn accounts(count: u32) -> String {
    let mut text = String::new();
    for number in 0..count {
        let key = KeyDigest::of(&number.to_string());
        let result = write!(
            text,
            "[team.accounts.a-{number}]\nkey_sha256 = \"{key}\"\nweight = 100\n"
        );
        debug_assert!(result.is_ok(), "writing to a String cannot fail");
    }
    text
}

/// Returns a store with `count` accounts and a subscriber that has received its
/// document.
fn bootstrapped(count: u32) -> (ConfigStore, Subscriber) {
    let mut store = ConfigStore::default();
    let head =
        "[platform.owners]\nplatform = [\"root\"]\nteam = [\"ada\"]\n[platform.models.m]\n\n";
    let text = format!("{head}{}", accounts(count));
    apply_command(
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

/// Applies one command to the store.
fn apply_command(store: &mut ConfigStore, id: &str, author: &str, origin: Origin, action: Action) {
    let command = ConfigCommand {
        id: ChangeId(id.into()),
        author: author.into(),
        origin,
        cause: "capacity".into(),
        time_ms: 1,
        action,
    };
    let reply = store.apply(LogIndex(1), Epoch(1), command);
    assert!(reply.is_ok(), "configuration command refused: {reply:?}");
}

/// Changes the weight of the account in the middle of the section.
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
    apply_command(
        store,
        &format!("c-{weight}"),
        "ada",
        Origin::Operator,
        action,
    );
}

/// Returns the store's answer to a subscriber's poll.
fn poll(store: &ConfigStore, poll: Poll) -> Update {
    match store.query(&ConfigQuery::Poll(poll)) {
        ConfigAnswer::Update(update) => update,
        _ => Update::Empty,
    }
}

/// Returns the encoded size of an update in bytes.
fn encoded_len(update: &Update) -> f64 {
    as_f64(postcard::to_stdvec(update).map_or(0, |bytes| bytes.len()))
}

/// Measures the slopes of the configuration.
pub fn slopes() -> Vec<Slope> {
    let step = Slope::measure("config.step_bytes", "accounts", "B", &ACCOUNTS, |count| {
        let (mut store, subscriber) = bootstrapped(count);
        change(&mut store, count, 7);
        encoded_len(&poll(&store, subscriber.poll()))
    });
    let snapshot = Slope::measure(
        "config.snapshot_bytes",
        "accounts",
        "B",
        &ACCOUNTS,
        |count| encoded_len(&poll(&bootstrapped(count).0, Poll::default())),
    );
    let accept = Slope::measure("config.accept_cpu", "accounts", "us", &ACCOUNTS, |count| {
        let (mut store, _) = bootstrapped(count);
        let mut weight = 1;
        min_time_us(1, || {
            weight += 1;
            change(&mut store, count, weight);
        })
    });
    let receive = Slope::measure("config.take_cpu", "accounts", "us", &ACCOUNTS, |count| {
        let (mut store, mut subscriber) = bootstrapped(count);
        let mut weight = 1;
        min_time_us(1, || {
            weight += 1;
            change(&mut store, count, weight);
            subscriber.receive(poll(&store, subscriber.poll()), true);
        })
    });
    vec![step, snapshot, accept, receive]
}
