//! Tests of the distribution of the configuration to daemons.

mod common;

use {
    common::{apply, bootstrapped_store, command, poll, set_weight},
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
fn a_subscriber_receives_steps_or_a_snapshot_if_far_behind() {
    let mut store = bootstrapped_store();
    let mut near = Subscriber::default();
    let mut far = Subscriber::default();
    follow(&store, &mut near);
    follow(&store, &mut far);
    for n in 0..500 {
        set_weight(&mut store, &format!("c-{n}"), n + 1).expect("change");
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
fn the_update_for_one_line_in_a_long_section_is_small() {
    let mut store = bootstrapped_store();
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
fn the_first_document_requires_a_confirmed_read() {
    let store = bootstrapped_store();
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
fn an_update_from_a_stale_replica_is_ignored() {
    let mut store = bootstrapped_store();
    let mut old = Subscriber::default();
    let Update::Snapshot(old_image) = poll(&store, old.poll()) else {
        panic!("no snapshot");
    };
    let stale = bootstrapped_store();
    set_weight(&mut store, "c-1", 1).expect("change");
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
fn a_document_for_a_newer_program_is_not_activated() {
    let store = bootstrapped_store();
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
fn work_under_an_old_index_is_refused_after_the_grace_period() {
    let mut min_index = MinConfigIndex::new(Duration::from_secs(6));
    let at = Time::from_millis;
    min_index.observe(at(0), ConfigIndex(3));
    min_index.observe(at(10_000), ConfigIndex(4));
    assert!(min_index.check(at(15_999), ConfigIndex(3)).is_ok());
    let refused = min_index
        .check(at(16_000), ConfigIndex(3))
        .expect_err("stale");
    assert_eq!(refused.kind, ErrorKind::ConfigStale);
    assert!(min_index.check(at(16_000), ConfigIndex(4)).is_ok());
    min_index.observe(at(16_001), ConfigIndex(2));
    assert!(min_index.check(at(60_000), ConfigIndex(3)).is_err());
}

proptest! {
    #[test]
    fn malformed_updates_do_not_panic(bytes: Vec<u8>) {
        if let Ok(update) = postcard::from_bytes::<Update>(&bytes) {
            let _ = Subscriber::default().receive(update, true);
        }
    }

    /// Updates arrive late, repeatedly and out of order. The active image is
    /// always one that the group had at some time, and its index never
    /// decreases.
    #[test]
    fn late_and_repeated_updates_never_revert_the_configuration(picks in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 1..40)) {
        let mut store = bootstrapped_store();
        let mut history = vec![store.image().clone()];
        let mut subscriber = Subscriber::default();
        let mut sent = vec![poll(&store, subscriber.poll())];
        for (n, (changes, pick)) in picks.iter().enumerate() {
            if *changes {
                let action = Action::Drain(format!("engine-{n}").into());
                apply(&mut store, command(&format!("d-{n}"), "root", action)).expect("drain");
                history.push(store.image().clone());
            }
            sent.push(poll(&store, subscriber.poll()));
            let before = subscriber.image().index;
            subscriber.receive(sent[pick.index(sent.len())].clone(), true);
            prop_assert!(subscriber.image().index >= before);
            let index = subscriber.image().index;
            prop_assert!(index == ConfigIndex(0) || history.contains(subscriber.image()));
        }
        // Once the group is reachable the subscriber catches up, by a snapshot at
        // the latest.
        follow(&store, &mut subscriber);
        follow(&store, &mut subscriber);
        prop_assert_eq!(subscriber.image(), store.image());
    }
}
