//! Settings that can't be used are told by file, table and key.

use {
    quay_link::DevelopmentKeys,
    sapphirequayd::{DEFAULT_SETTINGS, EntrySettings, LogSettings, ProcessSettings, Settings},
    std::{fs, path::Path, process::Command},
};

/// A whole and usable file; the tests change one part each.
const GOOD: &str = r#"
[process]
name = "entry-1"

[link]
listen = "127.0.0.1:7100"
keys = "KEYS"
ledgers = ["127.0.0.1:7200"]

[entry]
listen = "127.0.0.1:8080"
"#;

/// Runs `sapphirequayd --check-config` on a text: exit code and messages, with
/// the folder taken out.
fn check(dir: &Path, text: &str) -> (i32, String) {
    let file = dir.join("settings.toml");
    let keys = dir.join("keys");
    fs::write(&file, text.replace("KEYS", &keys.to_string_lossy())).expect("file");
    let output = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"))
        .args(["--check-config", "--config"])
        .arg(&file)
        .output()
        .expect("run");
    let messages = String::from_utf8_lossy(&output.stderr).into_owned();
    let messages = messages.replace(&*dir.to_string_lossy(), "DIR");
    (output.status.code().expect("code"), messages)
}

/// A folder with keys.
fn folder() -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("folder");
    let keys = DevelopmentKeys::generate().expect("keys");
    keys.write(&dir.path().join("keys"), &["operator"])
        .expect("key files");
    dir
}

#[test]
fn good_settings_are_accepted() {
    let dir = folder();
    assert_eq!(check(dir.path(), GOOD), (0, String::new()));
}

#[test]
fn each_problem_names_file_table_and_key() {
    let dir = folder();
    let changed = |from: &str, to: &str| {
        assert!(GOOD.contains(from), "{from}");
        let (code, messages) = check(dir.path(), &GOOD.replace(from, to));
        assert_eq!(code, 2, "{messages}");
        // The list of known keys grows; what is wrong does not.
        let told = messages.split(", expected one of").next();
        told.unwrap_or_default().to_owned()
    };
    insta::assert_snapshot!(changed("listen = \"127.0.0.1:8080\"", "listne = \"127.0.0.1:8080\""), @r#"sapphirequayd: DIR/settings.toml: [entry] listne: unknown field `listne`"#);
    insta::assert_snapshot!(changed("[entry]", "[entri]"), @r#"sapphirequayd: DIR/settings.toml: [entri]: unknown field `entri`"#);
    insta::assert_snapshot!(changed("127.0.0.1:8080", "127.0.0.1"), @r#"sapphirequayd: DIR/settings.toml: [entry] listen: invalid socket address syntax"#);
    insta::assert_snapshot!(changed("name = \"entry-1\"", "name = 3"), @r#"sapphirequayd: DIR/settings.toml: [process] name: invalid type: integer `3`, expected a string"#);
    insta::assert_snapshot!(changed("127.0.0.1:8080", "127.0.0.1:7100"), @r#"sapphirequayd: DIR/settings.toml: [entry] listen: 127.0.0.1:7100 is also the address of [link] listen"#);
    insta::assert_snapshot!(changed("keys = \"KEYS\"", "keys = \"KEYS/none\""), @r#"sapphirequayd: DIR/settings.toml: [link] keys: link keys: DIR/keys/none/root.pem: I/O error: No such file or directory (os error 2)"#);
    insta::assert_snapshot!(changed("[\"127.0.0.1:7200\"]", "[]"), @r#"sapphirequayd: DIR/settings.toml: [link] ledgers: entries and sidecars need at least one address"#);
    insta::assert_snapshot!(changed("[entry]\nlisten = \"127.0.0.1:8080\"", ""), @r#"sapphirequayd: DIR/settings.toml: no role: one of the tables [entry], [sidecar], [ledger], [front], [control] and [store] is needed"#);
    insta::assert_snapshot!(changed("[entry]", "[entry]\nmax_requests = 0"), @r#"sapphirequayd: DIR/settings.toml: [entry] max_requests: it must be positive"#);
    let sidecar = "[sidecar]\nupstream = \"\"\naddr = \"127.0.0.1:0\"\nconcurrency = 0\n[entry]";
    insta::assert_snapshot!(changed("[entry]", sidecar), @r#"
sapphirequayd: DIR/settings.toml: [sidecar] upstream: it is empty
sapphirequayd: DIR/settings.toml: [sidecar] concurrency: it must be positive
sapphirequayd: DIR/settings.toml: [sidecar] addr: the port is 0
sapphirequayd: DIR/settings.toml: [sidecar] models: an upstream without models needs the name of its service
"#);
}

#[test]
fn a_missing_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"))
        .args(["--config", "/nowhere/settings.toml"])
        .output()
        .expect("run");
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr), @r#"sapphirequayd: /nowhere/settings.toml: No such file or directory (os error 2)"#);
}

#[test]
fn the_printed_defaults_are_the_defaults() {
    let printed = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"))
        .arg("--print-default-config")
        .output()
        .expect("run");
    assert_eq!(String::from_utf8_lossy(&printed.stdout), DEFAULT_SETTINGS);
    let settings = Settings::parse(DEFAULT_SETTINGS).expect("settings");
    assert_eq!(settings.entry, Some(EntrySettings::default()));
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.policy, Settings::default().policy);
    let process = ProcessSettings {
        name: "host-1".into(),
        ..ProcessSettings::default()
    };
    assert_eq!(settings.process, process);
}
