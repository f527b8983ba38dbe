//! Tests of splitting and validating documents.

mod common;

use {
    common::DOCUMENT,
    proptest::prelude::*,
    quay_config::{ConfigError, Document, KeyDigest, TextPatch, check},
    quay_types::{AccountId, ServiceId},
};

fn errors(text: &str) -> Vec<ConfigError> {
    match Document::parse(text) {
        Ok(document) => check(&document).expect_err("faults"),
        Err(error) => vec![error],
    }
}

#[test]
fn a_valid_document_is_split_and_accepted() {
    let document = Document::parse(DOCUMENT).expect("document");
    let names: Vec<_> = document.sections().map(|(name, _)| name).collect();
    assert_eq!(names, ["platform", "ordering", "haulage"]);
    let joined: String = document.sections().map(|(_, text)| text).collect();
    assert_eq!(joined, DOCUMENT);
    let config = check(&document).expect("config");
    assert_eq!(config.account_of("hello"), Some(AccountId::of("shop-12")));
    assert_eq!(config.account_of("world"), Some(AccountId::of("ranch-1")));
    assert_eq!(config.account_of("hallo"), None);
    assert!(config.owns("ada", "ordering") && !config.owns("ada", "haulage"));
    let orders = &config.services[&ServiceId::of("orders")];
    assert!(orders.repeatable("/stock") && !orders.repeatable("/place"));
    assert!(config.upstreams["gpu"].checks_fence);
}

#[test]
fn errors_name_section_key_and_line() {
    let cases = [
        (
            "grace_s = 6",
            "grace_s = 0",
            "section platform, line 3, key platform.grace_s: must be greater than 0",
        ),
        (
            "grace_s = 6",
            "grase_s = 6",
            "section platform, line 3, key platform.grase_s: unknown field `grase_s`, expected one of `grace_s`, `owners`, `models`, `upstreams`, `quarantine`",
        ),
        (
            "haulage = [\"bruno\"]",
            "",
            "section haulage, line 22, key haulage: platform.owners names no owner of haulage",
        ),
        (
            "\"2cf2",
            "\"zzz2",
            "section ordering, line 16, key ordering.accounts.shop-12.key_sha256: must be the SHA-256 of the key in 64 hexadecimal digits",
        ),
        (
            "models = [\"agent-llm\"]\n[ordering",
            "models = [\"gpt\"]\n[ordering",
            "section ordering, line 18, key ordering.accounts.shop-12.models: platform.models has no model gpt",
        ),
        (
            "weight = 200",
            "weight = \"a\"",
            "section ordering, line 17, key ordering.accounts.shop-12.weight: invalid type: string \"a\", expected u32",
        ),
        (
            "\"486ea46224d1bb4fb680f34f7c9ad96a8f24ec88be73ea8e5a6c65260e9cb8a7\"",
            "\"2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\"",
            "section haulage, line 23, key haulage.accounts.ranch-1.key_sha256: another account has this key",
        ),
        (
            "accounts.ranch-1",
            "accounts.shop-12",
            "section haulage, line 22, key haulage.accounts.shop-12: account shop-12 is in section ordering too",
        ),
        (
            "\"/place\"",
            "\"place\"",
            "section ordering, line 20, key ordering.services.orders.not_repeatable: a path starts with /",
        ),
        (
            "# Owned by the platform team.",
            "loose = 1",
            "section document, line 1, key document.loose: a key must stand in a section",
        ),
        (
            "[haulage.accounts.ranch-1]",
            "[platform.models.b]\n[haulage.accounts.ranch-1]",
            "section document, line 22, key platform.models.b: section platform begins twice",
        ),
    ];
    for (old, new, expected) in cases {
        let text = DOCUMENT.replacen(old, new, 1);
        let errors = errors(&text);
        let messages: Vec<_> = errors.iter().map(ToString::to_string).collect();
        assert_eq!(messages, [expected]);
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = DOCUMENT
        .replace("grace_s = 6", "grace_s = 0")
        .replace("weight = 200", "weight = 0");
    assert_eq!(errors(&text).len(), 2);
}

#[test]
fn a_string_that_looks_like_a_table_header_is_rejected() {
    let text = DOCUMENT.replace(
        "context_tokens = 220000",
        "version = \"\"\"\n[haulage.accounts.x]\n\"\"\"",
    );
    assert!(Document::parse(&text).is_err());
}

#[test]
fn key_digests_round_trip_through_hexadecimal() {
    let digest = KeyDigest::of("hello");
    assert_eq!(KeyDigest::from_hex(&digest.to_string()), Some(digest));
    assert!(!digest.matches(&KeyDigest::of("hullo")));
}

proptest! {
    #[test]
    fn any_text_is_split_losslessly_or_rejected(text in "(\\[[a-c](\\.[a-c])?\\]|[a-c] = ('''|1|\"x\")|'''|#x|\n| ){0,24}") {
        if let Ok(document) = Document::parse(&text) {
            let joined: String = document.sections().map(|(_, text)| text).collect();
            // Comments in a document without sections are dropped.
            prop_assert!(text == joined || joined.is_empty());
            let _ = check(&document);
        }
    }

    #[test]
    fn a_patch_turns_one_text_into_the_other(old in "[aé\n]{0,12}", new in "[aé\n]{0,12}", other in "[aé\n]{0,12}") {
        let patch = TextPatch::between(&old, &new);
        let patched = patch.apply(&old);
        prop_assert_eq!(patched.as_deref(), Some(&*new));
        let _ = patch.apply(&other);
    }

    #[test]
    fn malformed_patches_do_not_panic(bytes: Vec<u8>, text in "[aé]{0,8}") {
        if let Ok(patch) = postcard::from_bytes::<TextPatch>(&bytes) {
            let _ = patch.apply(&text);
        }
    }
}
