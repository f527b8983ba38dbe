//! Tests of the replicated state machine of the control group.

mod common;

use {
    common::{DOCUMENT, apply, base, bootstrapped_store, change, command, set_weight, text},
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
fn concurrent_changes_conflict_and_the_refusal_shows_both_texts() {
    let mut store = bootstrapped_store();
    let heavy = text(&store, "ordering").replace("200", "300");
    let light = text(&store, "ordering").replace("200", "50");
    let first = change(&store, "c-1", "ada", "ordering", &heavy);
    let second = change(&store, "c-2", "root", "ordering", &light);
    assert_eq!(apply(&mut store, first).expect("first").version, 2);
    let refusal = apply(&mut store, second).expect_err("conflict").to_string();
    assert!(refusal.contains("version 2"), "{refusal}");
    assert!(refusal.contains("by ada is in force"), "{refusal}");
    assert!(refusal.contains("-weight = 300\n+weight = 50"), "{refusal}");

    // The right version with a wrong digest is a conflict too.
    let mut wrong = base(&store, "ordering");
    wrong.digest = ContentDigest::of(&[b"other"]);
    let action = Action::Change {
        section: "ordering".into(),
        base: wrong,
        text: light.into(),
    };
    let refused = apply(&mut store, command("c-3", "ada", action));
    assert!(matches!(refused, Err(Refusal::Conflict(_))), "{refused:?}");
    assert_eq!(text(&store, "ordering"), heavy);
}

#[test]
fn a_resend_returns_the_first_reply_also_after_a_restore() {
    let mut store = bootstrapped_store();
    let heavy = text(&store, "ordering").replace("200", "300");
    let sent = change(&store, "c-1", "ada", "ordering", &heavy);
    let first = apply(&mut store, sent.clone());
    set_weight(&mut store, "c-2", 7).expect("later change");
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
    let mut store = bootstrapped_store();
    let before = store.image().clone();
    let haulage = text(&store, "haulage");
    let not_owned = change(&store, "c-1", "ada", "haulage", &haulage);
    let refused = apply(&mut store, not_owned).expect_err("not the owner");
    assert_eq!(refused.to_string(), "ada does not own section haulage");
    let unknown_author = command("c-2", "eve", Action::Drain("engine-1".into()));
    assert!(apply(&mut store, unknown_author).is_err());
    let wrong_role = ConfigCommand {
        origin: Origin::Process,
        ..command("c-3", "root", Action::Drain("engine-1".into()))
    };
    assert_eq!(apply(&mut store, wrong_role), Err(Refusal::WrongOrigin));
    let long = command("c-4", &"x".repeat(4_000), Action::Drain("engine-1".into()));
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
fn invalid_documents_are_refused() {
    let mut store = bootstrapped_store();
    // The platform section is valid on its own, but the ordering section uses
    // the model that this change removes.
    let platform = text(&store, "platform").replace("agent-llm", "other");
    let command = change(&store, "c-1", "root", "platform", &platform);
    let refused = apply(&mut store, command).expect_err("invalid").to_string();
    assert!(refused.contains("no model agent-llm"), "{refused}");
    // The text of one section must not contain tables of another.
    let both = text(&store, "haulage") + "[ordering.accounts.x]\nkey_sha256 = \"\"\n";
    let command = change(&store, "c-2", "bruno", "haulage", &both);
    let refused = apply(&mut store, command).expect_err("invalid").to_string();
    assert!(refused.contains("can't be set here"), "{refused}");
    let again = common::command("c-3", "ledger-2", Action::Bootstrap(DOCUMENT.into()));
    assert_eq!(apply(&mut store, again), Err(Refusal::DocumentExists));
}

#[test]
fn a_dry_run_returns_the_same_reply_and_changes_nothing() {
    let mut store = bootstrapped_store();
    let heavy = text(&store, "ordering").replace("200", "300");
    let command = change(&store, "c-1", "ada", "ordering", &heavy);
    let before = store.snapshot();
    let ConfigAnswer::DryRun(dry) = store.query(&ConfigQuery::DryRun(Box::new(command.clone())))
    else {
        panic!("no dry run");
    };
    assert_eq!(store.snapshot(), before);
    assert_eq!(apply(&mut store, command), dry);
}

#[test]
fn quarantine_expires_can_be_cleared_and_is_never_shortened() {
    let mut store = bootstrapped_store();
    let digest = |n: u8| ContentDigest::of(&[&[n]]);
    let at = |id: &str, n, until_ms, time_ms| ConfigCommand {
        time_ms,
        ..command(id, "entry-1", Action::Quarantine(digest(n), until_ms))
    };
    apply(&mut store, at("q-1", 1, 5_000, 1_000)).expect("mark");
    apply(&mut store, at("q-2", 1, 3_000, 1_500)).expect("mark");
    assert_eq!(store.image().quarantined[&digest(1)].until_ms, 5_000);
    apply(&mut store, at("q-3", 2, 9_000, 6_000)).expect("mark");
    let left: Vec<_> = store.image().quarantined.keys().copied().collect();
    assert_eq!(left, [digest(2)]);
    apply(
        &mut store,
        command("q-4", "ada", Action::ClearQuarantine(None)),
    )
    .expect("clear");
    assert!(store.image().quarantined.is_empty());
    // The logged time does not decrease when a new leader's clock is behind.
    let times: Vec<_> = audit(&store).iter().map(|record| record.time_ms).collect();
    assert!(times.is_sorted(), "{times:?}");
}

#[test]
fn refused_changes_do_not_grow_the_state_without_bound() {
    let mut store = bootstrapped_store();
    let long = "x\n".repeat(20_000);
    for n in 0..1_500 {
        let action = Action::Change {
            section: "ordering".into(),
            base: SectionRevision::default(),
            text: long.clone().into(),
        };
        let refused = apply(&mut store, command(&format!("c-{n}"), "ada", action));
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
    fn malformed_commands_and_queries_do_not_panic(bytes: Vec<u8>) {
        let mut store = bootstrapped_store();
        if let Ok(command) = postcard::from_bytes::<ConfigCommand>(&bytes) {
            let _ = apply(&mut store, command);
        }
        if let Ok(query) = postcard::from_bytes::<ConfigQuery>(&bytes) {
            let _ = store.query(&query);
        }
        let _ = postcard::from_bytes::<ConfigSnapshot>(&bytes);
    }

    /// For random sequences of commands the index never decreases, versions
    /// increase by one, two replicas agree, and a snapshot restores the complete
    /// state.
    #[test]
    fn random_commands_keep_the_invariants(picks in prop::collection::vec((0u8..6, 0u32..4, 0u8..4), 1..40)) {
        let (mut one, mut two) = (bootstrapped_store(), bootstrapped_store());
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
            let command = command(&id, author, action);
            let version = base(&one, "ordering").version;
            let reply = apply(&mut one, command.clone());
            prop_assert_eq!(&reply, &apply(&mut two, command));
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
