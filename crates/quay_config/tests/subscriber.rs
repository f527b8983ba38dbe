//! Tests of the spread of the configuration to daemons.

mod common;

use {
    common::{apply, founded, order, poll, weigh},
    proptest::prelude::*,
    quay_config::{
        Action, ConfigStore, Document, KeyDigest, MAX_HISTORY_STEPS, MinConfigIndex, Poll,
        Subscriber, SubscriberEvent, Update,
    },
    quay_types::{ConfigIndex, ErrorKind, Time},
    std::time::Duration,
};

fn follow(store: &ConfigStore, subscriber: &mut Subscriber) -> SubscriberEvent {
    subscriber.receive(poll(store, subscriber.poll()), true)
}

#[test]
fn a_near_subscriber_takes_steps_and_a_far_one_a_snapshot() {
    let mut store = founded();
    let mut near = Subscriber::default();
    let mut far = Subscriber::default();
    follow(&store, &mut near);
    follow(&store, &mut far);
    for n in 0..500 {
        weigh(&mut store, &format!("c-{n}"), n + 1).expect("change");
        if n % 10 == 0 {
            assert!(matches!(poll(&store, near.poll()), Update::Steps(_)));
            follow(&store, &mut near);
        }
    }
    const { assert!(500 > MAX_HISTORY_STEPS) };
    assert!(matches!(poll(&store, far.poll()), Update::Snapshot(_)));
    follow(&store, &mut far);
    follow(&store, &mut near);
    assert_eq!(far.image(), store.image());
    assert_eq!(near.image(), store.image());
    assert_eq!(follow(&store, &mut far), SubscriberEvent::Unchanged);
}

#[test]
fn a_change_of_one_line_is_small_in_a_long_section() {
    let mut store = founded();
    let mut accounts = String::new();
    for n in 0..3_600 {
        let key = KeyDigest::of(&n.to_string());
        let account = format!("[haulage.accounts.r-{n}]\nkey_sha256 = \"{key}\"\n");
        accounts.push_str(&account);
    }
    let long = common::change(&store, "c-0", "bruno", "haulage", &accounts);
    apply(&mut store, long).expect("change");
    let mut subscriber = Subscriber::default();
    follow(&store, &mut subscriber);
    let one = accounts.replacen("r-1800]", "r-1800]\nconcurrent = 4", 1);
    let one = common::change(&store, "c-1", "bruno", "haulage", &one);
    apply(&mut store, one).expect("change");
    let update = poll(&store, subscriber.poll());
    let bytes = postcard::to_stdvec(&update).expect("bytes").len();
    assert!(bytes < 256, "{bytes} bytes for one line");
}

#[test]
fn the_first_document_needs_a_confirmed_read() {
    let store = founded();
    let mut subscriber = Subscriber::default();
    subscriber.record_no_answer("ledger 10.0.0.1: no quorum");
    assert_eq!(subscriber.blocked_reason(), "ledger 10.0.0.1: no quorum");
    let update = poll(&store, subscriber.poll());
    assert_eq!(
        subscriber.receive(update.clone(), false),
        SubscriberEvent::Unconfirmed
    );
    assert!(subscriber.config().is_none());
    assert!(matches!(
        subscriber.receive(update, true),
        SubscriberEvent::Activated(_)
    ));
    assert_eq!(subscriber.blocked_reason(), "");
    let empty = poll(&ConfigStore::default(), Poll::default());
    assert_eq!(
        Subscriber::default().receive(empty, true),
        SubscriberEvent::NoDocument
    );
}

#[test]
fn an_old_replica_never_turns_a_subscriber_back() {
    let mut store = founded();
    let mut old = Subscriber::default();
    let Update::Snapshot(old_image) = poll(&store, old.poll()) else {
        panic!("no snapshot");
    };
    let stale = founded();
    weigh(&mut store, "c-1", 1).expect("change");
    follow(&store, &mut old);
    let index = old.image().index;
    let event = old.receive(Update::Snapshot(old_image), true);
    assert!(matches!(event, SubscriberEvent::Stale(_)));
    assert!(matches!(
        follow(&stale, &mut old),
        SubscriberEvent::Stale(_)
    ));
    assert_eq!(old.image().index, index);
}

#[test]
fn a_document_from_a_newer_program_is_not_put_into_force() {
    let store = founded();
    let mut subscriber = Subscriber::default();
    follow(&store, &mut subscriber);
    let mut image = store.image().clone();
    image.index.0 += 1;
    let platform = image.sections.get_mut("platform").expect("section");
    platform.text = "[platform]\nunheard_of = 1\n".into();
    platform.digest = Document::digest("platform", &platform.text);
    let event = subscriber.receive(Update::Snapshot(Box::new(image)), true);
    assert!(matches!(event, SubscriberEvent::Invalid(_)), "{event:?}");
    assert_eq!(subscriber.image(), store.image());
    assert!(subscriber.blocked_reason().contains("unheard_of"));
}

#[test]
fn work_under_an_old_index_is_refused_after_the_grace() {
    let mut floor = MinConfigIndex::new(Duration::from_secs(6));
    let at = Time::from_millis;
    floor.observe(at(0), ConfigIndex(3));
    floor.observe(at(10_000), ConfigIndex(4));
    assert!(floor.check(at(15_999), ConfigIndex(3)).is_ok());
    let refused = floor.check(at(16_000), ConfigIndex(3)).expect_err("stale");
    assert_eq!(refused.kind, ErrorKind::ConfigStale);
    assert!(floor.check(at(16_000), ConfigIndex(4)).is_ok());
    floor.observe(at(16_001), ConfigIndex(2));
    assert!(floor.check(at(60_000), ConfigIndex(3)).is_err());
}

proptest! {
    #[test]
    fn updates_from_outside_do_not_panic(bytes: Vec<u8>) {
        if let Ok(update) = postcard::from_bytes::<Update>(&bytes) {
            let _ = Subscriber::default().receive(update, true);
        }
    }

    /// Updates come late, twice and out of order; what is in force is always
    /// an image that the group once had, and never an older one than before.
    #[test]
    fn late_and_repeated_updates_do_no_harm(picks in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 1..40)) {
        let mut store = founded();
        let mut history = vec![store.image().clone()];
        let mut subscriber = Subscriber::default();
        let mut sent = vec![poll(&store, subscriber.poll())];
        for (n, (changes, pick)) in picks.iter().enumerate() {
            if *changes {
                let action = Action::Drain(format!("engine-{n}").into());
                apply(&mut store, order(&format!("d-{n}"), "root", action)).expect("drain");
                history.push(store.image().clone());
            }
            sent.push(poll(&store, subscriber.poll()));
            let before = subscriber.image().index;
            subscriber.receive(sent[pick.index(sent.len())].clone(), true);
            prop_assert!(subscriber.image().index >= before);
            let index = subscriber.image().index;
            prop_assert!(index == ConfigIndex(0) || history.contains(subscriber.image()));
        }
        // With the group in reach it catches up, at the latest by a snapshot.
        follow(&store, &mut subscriber);
        follow(&store, &mut subscriber);
        prop_assert_eq!(subscriber.image(), store.image());
    }
}
