//! Invalid settings are reported with file, table and key.

use {
    quay_link::DevelopmentKeys,
    sapphirequayd::{
        DEFAULT_SETTINGS, DecisionTable, EntrySettings, LogSettings, ProcessSettings, Settings,
    },
    std::{fs, path::Path, process::Command},
};

/// Valid settings, which each test case changes in one place.
const VALID: &str = r#"
[process]
name = "entry-1"

[link]
listen = "127.0.0.1:7100"
keys = "KEYS"
ledgers = ["127.0.0.1:7200"]

[entry]
listen = "127.0.0.1:8080"
"#;

/// Runs `sapphirequayd --check-config` on a text. Returns the exit code and the
/// messages, with the folder's path replaced by `DIR`.
fn check(dir: &Path, text: &str) -> (i32, String) {
    let file = dir.join("settings.toml");
    let keys = dir.join("keys");
    fs::write(&file, text.replace("KEYS", &keys.to_string_lossy()))
        .expect("write the settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"))
        .args(["--check-config", "--config"])
        .arg(&file)
        .output()
        .expect("run sapphirequayd");
    let messages = String::from_utf8_lossy(&output.stderr).into_owned();
    let messages = messages.replace(&*dir.to_string_lossy(), "DIR");
    (output.status.code().expect("code"), messages)
}

/// Creates a folder with key files.
fn folder() -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("create a temporary folder");
    let keys = DevelopmentKeys::generate().expect("keys");
    keys.write(&dir.path().join("keys"), &["operator"])
        .expect("write key files");
    dir
}

#[test]
fn valid_settings_are_accepted() {
    let dir = folder();
    assert_eq!(check(dir.path(), VALID), (0, String::new()));
}

#[test]
fn each_problem_is_reported_with_file_table_and_key() {
    let dir = folder();
    let changed = |from: &str, to: &str| {
        assert!(VALID.contains(from), "{from}");
        let (code, messages) = check(dir.path(), &VALID.replace(from, to));
        assert_eq!(code, 2, "{messages}");
        // Without the list of known keys, which changes when keys are added.
        let problem = messages.split(", expected one of").next();
        problem.unwrap_or_default().to_owned()
    };
    insta::assert_snapshot!(changed("listen = \"127.0.0.1:8080\"", "listne = \"127.0.0.1:8080\""), @r#"sapphirequayd: DIR/settings.toml: [entry] listne: unknown field `listne`"#);
    insta::assert_snapshot!(changed("[entry]", "[entri]"), @r#"sapphirequayd: DIR/settings.toml: [entri]: unknown field `entri`"#);
    insta::assert_snapshot!(changed("127.0.0.1:8080", "127.0.0.1"), @r#"sapphirequayd: DIR/settings.toml: [entry] listen: invalid socket address syntax"#);
    insta::assert_snapshot!(changed("name = \"entry-1\"", "name = 3"), @r#"sapphirequayd: DIR/settings.toml: [process] name: invalid type: integer `3`, expected a string"#);
    insta::assert_snapshot!(changed("127.0.0.1:8080", "127.0.0.1:7100"), @r#"sapphirequayd: DIR/settings.toml: [entry] listen: 127.0.0.1:7100 conflicts with the address of [link] listen"#);
    insta::assert_snapshot!(changed("keys = \"KEYS\"", "keys = \"KEYS/none\""), @r#"sapphirequayd: DIR/settings.toml: [link] keys: link keys: DIR/keys/none/root.pem: I/O error: No such file or directory (os error 2)"#);
    insta::assert_snapshot!(changed("[\"127.0.0.1:7200\"]", "[]"), @r#"sapphirequayd: DIR/settings.toml: [link] ledgers: entries and sidecars require at least one address"#);
    insta::assert_snapshot!(changed("[entry]\nlisten = \"127.0.0.1:8080\"", ""), @r#"sapphirequayd: DIR/settings.toml: no role: one of the tables [entry], [sidecar], [ledger], [front], [control] and [store] is required"#);
    insta::assert_snapshot!(changed("[entry]", "[entry]\nmax_requests = 0"), @r#"sapphirequayd: DIR/settings.toml: [entry] max_requests: must be positive"#);
    let sidecar = "[sidecar]\nupstream = \"\"\naddr = \"127.0.0.1:0\"\nconcurrency = 0\n[entry]";
    insta::assert_snapshot!(changed("[entry]", sidecar), @r#"
sapphirequayd: DIR/settings.toml: [sidecar] upstream: must not be empty
sapphirequayd: DIR/settings.toml: [sidecar] concurrency: must be positive
sapphirequayd: DIR/settings.toml: [sidecar] addr: the port must not be 0
sapphirequayd: DIR/settings.toml: [sidecar] models: an upstream without models requires the name of its service
"#);
}

#[test]
fn a_missing_file_is_reported_with_its_path() {
    let output = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"))
        .args(["--config", "/nowhere/settings.toml"])
        .output()
        .expect("run sapphirequayd");
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr), @r#"sapphirequayd: /nowhere/settings.toml: No such file or directory (os error 2)"#);
}

#[test]
fn printed_defaults_match_the_default_settings() {
    let printed = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"))
        .arg("--print-default-config")
        .output()
        .expect("run sapphirequayd");
    assert_eq!(String::from_utf8_lossy(&printed.stdout), DEFAULT_SETTINGS);
    let settings = Settings::parse(DEFAULT_SETTINGS).expect("parse the default settings");
    assert_eq!(settings.entry, Some(EntrySettings::default()));
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.policy, Settings::default().policy);
    let process = ProcessSettings {
        name: "host-1".into(),
        ..ProcessSettings::default()
    };
    assert_eq!(settings.process, process);
}

/// Guards against a template whose settings differ for deployments without bounds for
/// revocation, or are invalid for deployments with them.
#[test]
fn the_template_sets_strict_revocation_only_where_a_deployment_has_it() {
    let template = include_str!("../../../deploy/settings.template");
    let (before, rest) = template
        .split_once("{{#Bounds.StrictRevoke}}")
        .expect("section");
    let (section, after) = rest
        .split_once("{{/Bounds.StrictRevoke}}")
        .expect("section");
    assert!(before.ends_with("\nready = \"{{Listen.Ready}}\""));
    // What follows are sections of their own, rendered where there are limits.
    let (memory, rest) = after.split_once("{{/Limits.MemoryMb}}").expect("section");
    assert!(memory.starts_with("{{#Limits.MemoryMb}}\n"));
    let (descriptors, rest) = rest.split_once("{{/Limits.MaxFds}}").expect("section");
    assert!(descriptors.starts_with("{{#Limits.MaxFds}}\n"));
    assert!(rest.starts_with("\n{{/Listen.Front}}\n"));
    let filled = section
        .replace("{{Bounds.StrictRevoke}}", "true")
        .replace("{{Bounds.RevokeMs}}", "5000");
    assert!(!filled.contains("{{"));
    let dir = folder();
    let gateway = |section: &str| {
        let front = format!(
            "[front]\nlisten = \"127.0.0.1:8080\"\nready = \"127.0.0.1:8081\"{section}\n[gateway]\nseeds = [\"127.0.0.1:7200\"]"
        );
        VALID.replace("[entry]\nlisten = \"127.0.0.1:8080\"", &front)
    };
    assert_eq!(check(dir.path(), &gateway("")), (0, String::new()));
    assert_eq!(check(dir.path(), &gateway(&filled)), (0, String::new()));
}

/// Guards against a process without a stated limit that takes more than its machine has,
/// and against limits in which a request has no room.
#[test]
fn the_memory_of_a_process_is_that_of_its_machine_unless_it_is_stated() {
    let front = |memory: &str| {
        let text = format!(
            "[process]\nname = \"f\"\n[front]\nlisten = \"127.0.0.1:8080\"\nready = \"127.0.0.1:8081\"\n{memory}"
        );
        Settings::parse(&text)
            .expect("settings")
            .front
            .expect("front")
    };
    let meminfo = fs::read_to_string("/proc/meminfo").expect("meminfo");
    let line = meminfo.lines().find(|line| line.starts_with("MemTotal:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let machine = kib.and_then(|kib| kib.parse::<u64>().ok()).expect("size") << 10;
    let default = front("").limits();
    assert!(default.budget.is_some_and(|bytes| bytes <= machine / 2));
    assert!(!default.stated && default.connections > 0);
    let stated = front("memory_mb = 60\nmax_fds = 300").limits();
    assert_eq!((stated.budget, stated.connections), (Some(20_000_000), 150));
    assert_eq!(front("memory_mb = 0").limits().budget, None);
    let small = front("memory_mb = 39").check().expect_err("a problem");
    insta::assert_snapshot!(small, @"[front] memory_mb: must be 0 or at least 40");
    let store = |memory: &str| {
        let text = format!("[process]\nname = \"s\"\n[store]\ndata = \"d\"\n{memory}");
        let settings = Settings::parse(&text).expect("settings");
        settings.store.expect("store")
    };
    assert_eq!(store("memory_mb = 60").frame_bytes(), Some(10_000_000));
    assert_eq!(store("memory_mb = 0").frame_bytes(), None);
    let small = store("memory_mb = 39").check().expect_err("a problem");
    insta::assert_snapshot!(small, @"[store] memory_mb: must be 0 or at least 40");
    let entry = EntrySettings {
        memory_mb: Some(60.0),
        ..EntrySettings::default()
    };
    let small = entry.check_memory().expect_err("a problem");
    insta::assert_snapshot!(small, @"[entry] memory_mb: is too little for one request with max_body_bytes, which takes 50331648 bytes");
}

#[test]
fn mechanisms_of_a_front_are_checked_and_documented_with_their_defaults() {
    let problem = |text: &str| DecisionTable::parse(text).map_err(|it| it.to_string());
    insta::assert_snapshot!(problem("refuse_from = 600").expect_err("a problem"), @"[front.decisions] refuse_from: must be less than refuse_all");
    insta::assert_snapshot!(problem("beginnings_share = 2000").expect_err("a problem"), @"[front.decisions] beginnings_share: must be at most 1000");
    let documented = DEFAULT_SETTINGS
        .split_once("[front.decisions]\n")
        .expect("table")
        .1;
    let lines = documented.lines().map_while(|line| line.strip_prefix("# "));
    let text: Vec<&str> = lines.collect();
    assert_eq!(problem(&text.join("\n")), Ok(DecisionTable::default()));
}

/// Guards against a template whose settings differ for deployments without bounds for
/// quotas, or are invalid for deployments with them.
#[test]
fn the_template_sets_bounds_of_quotas_only_where_a_deployment_has_them() {
    let template = include_str!("../../../deploy/settings.template");
    let (before, rest) = template
        .split_once("{{#Bounds.QuotaWindowS}}")
        .expect("section");
    let (section, after) = rest
        .split_once("{{/Bounds.QuotaWindowS}}")
        .expect("section");
    assert!(before.ends_with("{{/Listen.Control}}{{/Listen.Front}}"));
    assert_eq!(after, "\n");
    let filled = section
        .replace("{{Bounds.QuotaWindowS}}", "5")
        .replace("{{Bounds.QuotaExcess}}", "0.1")
        .replace("{{Bounds.QuotaSlack}}", "20");
    assert!(!filled.contains("{{"));
    let dir = folder();
    let text = format!("{VALID}\n{filled}\n");
    assert_eq!(check(dir.path(), &text), (0, String::new()));
}
