//! Tests of the machine that the control group replicates.

mod common;

use {
    common::{DOCUMENT, apply, base, change, founded, order, text, weigh},
    proptest::prelude::*,
    quay_config::{
        Action, AuditRecord, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigSnapshot, ConfigStore,
        Origin, Refusal, SectionRevision,
    },
    quay_quorum::StateMachine as _,
    quay_types::{ConfigIndex, ContentDigest},
};

fn audit(store: &ConfigStore) -> Box<[AuditRecord]> {
    match store.query(&ConfigQuery::Audit {
        after: 0,
        limit: 1_000,
    }) {
        ConfigAnswer::Audit(records) => records,
        other => panic!("{other:?}"),
    }
}

#[test]
fn operators_with_equal_versions_conflict_and_see_both() {
    let mut store = founded();
    let heavy = text(&store, "ordering").replace("200", "300");
    let light = text(&store, "ordering").replace("200", "50");
    let first = change(&store, "c-1", "ada", "ordering", &heavy);
    let second = change(&store, "c-2", "root", "ordering", &light);
    assert_eq!(apply(&mut store, first).expect("first").version, 2);
    let refusal = apply(&mut store, second).expect_err("conflict").to_string();
    assert!(refusal.contains("version 2"), "{refusal}");
    assert!(refusal.contains("by ada is in force"), "{refusal}");
    assert!(refusal.contains("-weight = 300\n+weight = 50"), "{refusal}");

    // The same version number with another digest is no base either.
    let mut wrong = base(&store, "ordering");
    wrong.digest = ContentDigest::of(&[b"other"]);
    let action = Action::Change {
        section: "ordering".into(),
        base: wrong,
        text: light.into(),
    };
    let refused = apply(&mut store, order("c-3", "ada", action));
    assert!(matches!(refused, Err(Refusal::Conflict(_))), "{refused:?}");
    assert_eq!(text(&store, "ordering"), heavy);
}

#[test]
fn a_resend_gets_the_first_answer_also_after_a_restore() {
    let mut store = founded();
    let heavy = text(&store, "ordering").replace("200", "300");
    let sent = change(&store, "c-1", "ada", "ordering", &heavy);
    let first = apply(&mut store, sent.clone());
    weigh(&mut store, "c-2", 7).expect("later change");
    let bytes = postcard::to_stdvec(&store.snapshot()).expect("bytes");
    let mut other = ConfigStore::default();
    other.restore(postcard::from_bytes(&bytes).expect("snapshot"));
    for store in [&mut store, &mut other] {
        let resent = ConfigCommand {
            time_ms: 9_000,
            ..sent.clone()
        };
        assert_eq!(apply(store, resent), first);
        assert_eq!(store.image().index, ConfigIndex(5));
        let reused = change(store, "c-1", "ada", "ordering", "[ordering]\n");
        assert_eq!(apply(store, reused), Err(Refusal::IdReused));
    }
}

#[test]
fn only_owners_change_a_section_and_all_attempts_are_recorded() {
    let mut store = founded();
    let before = store.image().clone();
    let haulage = text(&store, "haulage");
    let foreign = change(&store, "c-1", "ada", "haulage", &haulage);
    let refused = apply(&mut store, foreign).expect_err("not the owner");
    assert_eq!(refused.to_string(), "ada does not own section haulage");
    let stranger = order("c-2", "eve", Action::Drain("engine-1".into()));
    assert!(apply(&mut store, stranger).is_err());
    let posing = ConfigCommand {
        origin: Origin::Process,
        ..order("c-3", "root", Action::Drain("engine-1".into()))
    };
    assert_eq!(apply(&mut store, posing), Err(Refusal::WrongOrigin));
    let long = order("c-4", &"x".repeat(4_000), Action::Drain("engine-1".into()));
    assert!(matches!(
        apply(&mut store, long),
        Err(Refusal::Malformed(_))
    ));
    assert_eq!(store.image(), &before);

    let records = audit(&store);
    assert_eq!(records.len(), 5);
    assert!(records[1..].iter().all(|record| record.refused.is_some()));
    assert!(records.iter().all(|record| record.author.len() <= 512));
    let mut chain = ContentDigest::default();
    for record in &records {
        assert_eq!(record.chain_after(chain), record.chain);
        chain = record.chain;
    }
}

#[test]
fn nothing_invalid_is_accepted() {
    let mut store = founded();
    // Valid alone, but ordering uses the model.
    let platform = text(&store, "platform").replace("agent-llm", "other");
    let order = change(&store, "c-1", "root", "platform", &platform);
    let refused = apply(&mut store, order).expect_err("invalid").to_string();
    assert!(refused.contains("no model agent-llm"), "{refused}");
    // A section can't carry another one along.
    let both = text(&store, "haulage") + "[ordering.accounts.x]\nkey_sha256 = \"\"\n";
    let order = change(&store, "c-2", "bruno", "haulage", &both);
    let refused = apply(&mut store, order).expect_err("invalid").to_string();
    assert!(refused.contains("can't be set here"), "{refused}");
    let again = common::order("c-3", "ledger-2", Action::Bootstrap(DOCUMENT.into()));
    assert_eq!(apply(&mut store, again), Err(Refusal::DocumentExists));
}

#[test]
fn a_dry_run_answers_like_the_run_and_leaves_no_trace() {
    let mut store = founded();
    let heavy = text(&store, "ordering").replace("200", "300");
    let order = change(&store, "c-1", "ada", "ordering", &heavy);
    let before = store.snapshot();
    let ConfigAnswer::DryRun(dry) = store.query(&ConfigQuery::DryRun(Box::new(order.clone())))
    else {
        panic!("no dry run");
    };
    assert_eq!(store.snapshot(), before);
    assert_eq!(apply(&mut store, order), dry);
}

#[test]
fn quarantine_lapses_is_cleared_and_never_shortened() {
    let mut store = founded();
    let digest = |n: u8| ContentDigest::of(&[&[n]]);
    let at = |id: &str, n, until_ms, time_ms| ConfigCommand {
        time_ms,
        ..order(id, "entry-1", Action::Quarantine(digest(n), until_ms))
    };
    apply(&mut store, at("q-1", 1, 5_000, 1_000)).expect("mark");
    apply(&mut store, at("q-2", 1, 3_000, 1_500)).expect("mark");
    assert_eq!(store.image().quarantined[&digest(1)].until_ms, 5_000);
    apply(&mut store, at("q-3", 2, 9_000, 6_000)).expect("mark");
    let left: Vec<_> = store.image().quarantined.keys().copied().collect();
    assert_eq!(left, [digest(2)]);
    apply(
        &mut store,
        order("q-4", "ada", Action::ClearQuarantine(None)),
    )
    .expect("clear");
    assert!(store.image().quarantined.is_empty());
    // A leader whose clock is behind does not turn the trail's time back.
    let times: Vec<_> = audit(&store).iter().map(|record| record.time_ms).collect();
    assert!(times.is_sorted(), "{times:?}");
}

#[test]
fn memory_stays_bounded() {
    let mut store = founded();
    let long = "x\n".repeat(20_000);
    for n in 0..1_500 {
        let action = Action::Change {
            section: "ordering".into(),
            base: SectionRevision::default(),
            text: long.clone().into(),
        };
        let refused = apply(&mut store, order(&format!("c-{n}"), "ada", action));
        assert!(matches!(refused, Err(Refusal::Conflict(_))));
    }
    let bytes = postcard::to_stdvec(&store.snapshot()).expect("bytes").len();
    assert!(
        bytes < 8 << 20,
        "{bytes} bytes after conflicts of 40 kB each"
    );
}

proptest! {
    #[test]
    fn bytes_from_outside_do_not_panic(bytes: Vec<u8>) {
        let mut store = founded();
        if let Ok(order) = postcard::from_bytes::<ConfigCommand>(&bytes) {
            let _ = apply(&mut store, order);
        }
        if let Ok(query) = postcard::from_bytes::<ConfigQuery>(&bytes) {
            let _ = store.query(&query);
        }
        let _ = postcard::from_bytes::<ConfigSnapshot>(&bytes);
    }

    /// Whatever is asked in whatever order, the index never falls, versions
    /// rise by one, two replicas agree and a snapshot holds everything.
    #[test]
    fn random_orders_keep_the_invariants(picks in prop::collection::vec((0u8..6, 0u32..4, 0u8..4), 1..40)) {
        let (mut one, mut two) = (founded(), founded());
        let mut index = one.image().index;
        for (n, (what, number, id)) in picks.iter().enumerate() {
            let id = format!("{}-{}", id, n / 3);
            let author = ["ada", "root", "eve", "bruno"][*number as usize % 4];
            let action = match what {
                0 => Action::Drain(format!("engine-{number}").into()),
                1 => Action::Undrain(format!("engine-{number}").into()),
                2 => Action::Quarantine(ContentDigest::of(&[&[*what]]), u64::from(*number) * 2_000),
                3 => Action::ClearQuarantine(None),
                _ => Action::Change {
                    section: "ordering".into(),
                    base: base(&one, "ordering"),
                    text: text(&one, "ordering").replace("weight = 2", &format!("weight = {number}")).into(),
                },
            };
            let order = order(&id, author, action);
            let version = base(&one, "ordering").version;
            let reply = apply(&mut one, order.clone());
            prop_assert_eq!(&reply, &apply(&mut two, order));
            prop_assert!(one.image().index >= index);
            prop_assert!(base(&one, "ordering").version <= version + 1);
            index = one.image().index;
        }
        prop_assert_eq!(one.snapshot(), two.snapshot());
        let mut three = ConfigStore::default();
        three.restore(one.snapshot());
        prop_assert_eq!(three.snapshot(), one.snapshot());
    }
}
