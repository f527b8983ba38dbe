//! Helpers shared by the tests.
#![allow(dead_code)] // Each test file uses only some of the helpers.

use {
    quay_config::{
        Action, ChangeId, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigReply, ConfigStore,
        Origin, Poll, SectionRevision, Update,
    },
    quay_quorum::StateMachine as _,
    quay_types::{Epoch, LogIndex},
};

pub const DOCUMENT: &str = r#"# Owned by the platform team.
[platform]
grace_s = 6
[platform.owners]
platform = ["root"]
ordering = ["ada", "root"]
haulage = ["bruno"]
[platform.models.agent-llm]
context_tokens = 220000
[platform.upstreams.gpu]
checks_fence = true
models = ["agent-llm"]

# Shops.
[ordering.accounts.shop-12]
key_sha256 = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"
weight = 200
models = ["agent-llm"]
[ordering.services.orders]
not_repeatable = ["/place"]

[haulage.accounts.ranch-1]
key_sha256 = "486ea46224d1bb4fb680f34f7c9ad96a8f24ec88be73ea8e5a6c65260e9cb8a7"
"#;

/// Creates a command with a given id and author.
pub fn command(id: &str, author: &str, action: Action) -> ConfigCommand {
    let origin = match action {
        Action::Bootstrap(_) | Action::Quarantine(..) => Origin::Process,
        _ => Origin::Operator,
    };
    ConfigCommand {
        id: ChangeId(id.into()),
        author: author.into(),
        origin,
        cause: "test".into(),
        time_ms: 1_000,
        action,
    }
}

pub fn apply(store: &mut ConfigStore, command: ConfigCommand) -> ConfigReply {
    store.apply(LogIndex(1), Epoch(1), command)
}

/// A store with [`DOCUMENT`] in force.
pub fn bootstrapped_store() -> ConfigStore {
    let mut store = ConfigStore::default();
    let bootstrap = command("found", "ledger-1", Action::Bootstrap(DOCUMENT.into()));
    apply(&mut store, bootstrap).expect("document");
    store
}

pub fn base(store: &ConfigStore, section: &str) -> SectionRevision {
    let section = &store.image().sections[section];
    SectionRevision {
        version: section.version,
        digest: section.digest,
    }
}

pub fn text(store: &ConfigStore, section: &str) -> String {
    store.image().sections[section].text.to_string()
}

/// Creates a change of `section` that is based on the revision in force.
pub fn change(
    store: &ConfigStore,
    id: &str,
    author: &str,
    section: &str,
    text: &str,
) -> ConfigCommand {
    let action = Action::Change {
        section: section.into(),
        base: base(store, section),
        text: text.into(),
    };
    command(id, author, action)
}

/// Sets the weight of account shop-12.
pub fn set_weight(store: &mut ConfigStore, id: &str, weight: u32) -> ConfigReply {
    let text: Vec<String> = text(store, "ordering")
        .lines()
        .map(|line| {
            if line.starts_with("weight") {
                format!("weight = {weight}")
            } else {
                line.into()
            }
        })
        .collect();
    let command = change(store, id, "ada", "ordering", &(text.join("\n") + "\n"));
    apply(store, command)
}

pub fn poll(store: &ConfigStore, poll: Poll) -> Update {
    match store.query(&ConfigQuery::Poll(poll)) {
        ConfigAnswer::Update(update) => update,
        other => panic!("{other:?}"),
    }
}
