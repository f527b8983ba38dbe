//! Runs the commands for operators against a ledger host over real sockets.

use {
    quay_link::{DevelopmentKeys, KeyFiles, LinkRole},
    sapphirequayd::{Daemon, LedgerSettings, ProcessSettings, Settings},
    serde_json::Value,
    std::{
        fs,
        path::{Path, PathBuf},
        process::{Command, Output},
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Time after which waiting for an expected event fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const DOCUMENT: &str = r#"[platform.owners]
platform = ["root"]
ordering = ["ada"]
haulage = ["bruno"]
[platform.models.agent-llm]

[ordering.accounts.shop-12]
key_sha256 = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"
weight = 100

[haulage.accounts.ranch-1]
key_sha256 = "486ea46224d1bb4fb680f34f7c9ad96a8f24ec88be73ea8e5a6c65260e9cb8a7"
"#;

/// A ledger host with a folder that holds operator keys and edited sections.
struct TestLedger {
    folder: TempDir,
    ledger: Daemon,
}

impl TestLedger {
    fn start() -> Self {
        let folder = TempDir::new().expect("create temporary folder");
        let keys = folder.path().join("keys");
        let generated = DevelopmentKeys::generate().expect("keys");
        generated
            .write(&keys, &["ada", "bruno", "eve"])
            .expect("keys");
        let settings = Settings {
            process: ProcessSettings {
                name: "ledger-1".into(),
                ..ProcessSettings::default()
            },
            ledger: Some(LedgerSettings {
                document_text: Some(DOCUMENT.into()),
                ..LedgerSettings::default()
            }),
            ..Settings::default()
        };
        let identity = KeyFiles::for_role(&keys, LinkRole::Ledger).load();
        let ledger = Daemon::start(&settings, identity.expect("identity")).expect("ledger");
        let began = Instant::now();
        while ledger.config_index().0 == 0 {
            assert!(
                began.elapsed() < WAIT_TIMEOUT,
                "the initial document was not activated in time"
            );
            thread::sleep(Duration::from_millis(20));
        }
        Self { folder, ledger }
    }

    /// Runs a command with the keys of an operator.
    fn run(&self, operator: &str, args: &[&str]) -> Output {
        let addr = self.ledger.link_addr().expect("link address").to_string();
        Command::new(env!("CARGO_BIN_EXE_sapphirequay"))
            .args(args)
            .args(["--ledger", &addr, "--operator", operator, "--keys"])
            .arg(self.folder.path().join("keys"))
            .output()
            .expect("run command")
    }

    /// Runs a command that must succeed and returns its standard output.
    fn run_ok(&self, operator: &str, args: &[&str]) -> String {
        let output = self.run(operator, args);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{args:?}: {text}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Runs a command that must fail and returns its standard error.
    fn run_failing(&self, operator: &str, args: &[&str]) -> String {
        let output = self.run(operator, args);
        assert!(!output.status.success(), "{args:?}");
        String::from_utf8(output.stderr).expect("text")
    }

    /// Writes the output of `config show` to the file `name`, with the first
    /// occurrence of `old` replaced by `new`.
    fn edit(&self, section: &str, name: &str, old: &str, new: &str) -> PathBuf {
        let text = self.run_ok("ada", &["config", "show", section]);
        assert!(text.contains(old), "{text}");
        let path = self.folder.path().join(name);
        fs::write(&path, text.replacen(old, new, 1)).expect("write file");
        path
    }
}

fn path(path: &Path) -> &str {
    path.to_str().expect("UTF-8 path")
}

fn json(line: &str) -> Value {
    serde_json::from_str(line).expect("parse JSON")
}

#[test]
fn config_apply_is_idempotent_and_rejects_outdated_foreign_and_invalid_changes() {
    let ledger = TestLedger::start();
    let heavy = ledger.edit("ordering", "heavy.toml", "100", "300");
    let light = ledger.edit("ordering", "light.toml", "100", "50");
    let dry = ledger.run_ok("ada", &["config", "apply", "--dry-run", path(&heavy)]);
    assert!(dry.contains("version=2"), "{dry}");
    let apply = [
        "config",
        "apply",
        "--json",
        "--change-id",
        "c-1",
        path(&heavy),
    ];
    let first = json(&ledger.run_ok("ada", &apply));
    assert_eq!(first["version"], 2);
    // The reply is lost and the operator sends the same change again.
    assert_eq!(json(&ledger.run_ok("ada", &apply)), first);

    let conflict = ledger.run_failing("ada", &["config", "apply", path(&light)]);
    assert!(conflict.contains("version 2"), "{conflict}");
    assert!(
        conflict.contains("-weight = 300\n+weight = 50"),
        "{conflict}"
    );
    let diff = ledger.run_ok("ada", &["config", "diff", path(&light)]);
    assert!(diff.contains("-weight = 300\n+weight = 50"), "{diff}");

    let foreign = ledger.edit("haulage", "foreign.toml", "ranch-1", "ranch-2");
    let refused = ledger.run_failing("ada", &["config", "apply", path(&foreign)]);
    assert!(
        refused.contains("ada does not own section haulage"),
        "{refused}"
    );
    let broken = ledger.edit("ordering", "broken.toml", "300", "0");
    let refused = ledger.run_failing("ada", &["config", "apply", path(&broken)]);
    let place = "section ordering, line 4, key ordering.accounts.shop-12.weight";
    assert!(refused.contains(place), "{refused}");

    let history = ledger.run_ok(
        "ada",
        &["config", "history", "--section", "ordering", "--json"],
    );
    let refusals: Vec<_> = history
        .lines()
        .map(|line| json(line)["refused"].is_null())
        .collect();
    // The initial document, the accepted change, the change with an outdated
    // base and the invalid text.
    assert_eq!(refusals, [true, true, false, false]);
    let status = json(&ledger.run_ok("eve", &["config", "status", "--json"]));
    assert_eq!(status["sections"][1]["version"], 2);
    assert_eq!(status["sections"][1]["author"], "ada");
    assert_eq!(status["daemons"][0]["name"], "ledger-1");
}

#[test]
fn only_owners_may_drain_and_every_attempt_is_audited() {
    let ledger = TestLedger::start();
    ledger.run_ok("bruno", &["drain", "engine-1", "--cause", "new disk"]);
    assert!(
        ledger
            .run_failing("eve", &["undrain", "engine-1"])
            .contains("eve owns no section")
    );
    ledger.run_ok("ada", &["undrain", "engine-1"]);
    let again = ledger.run_failing("ada", &["undrain", "engine-1"]);
    assert!(again.contains("no drain mark"), "{again}");
    ledger.run_ok("ada", &["quarantine", "clear", "--all"]);
    assert_eq!(ledger.run_ok("ada", &["quarantine", "list"]), "");
    assert_eq!(ledger.run_ok("ada", &["members"]), "");
    let trail = ledger.run_ok("eve", &["audit", "--json"]);
    let printed: Vec<_> = trail
        .lines()
        .map(json)
        .map(|record| {
            let field = |name: &str| record[name].as_str().unwrap_or("-").to_owned();
            format!(
                "{} {} {}",
                field("author"),
                field("action"),
                field("refused")
            )
        })
        .collect();
    let expected = [
        "first-document found -",
        "bruno drain engine-1 -",
        "eve undrain engine-1 eve owns no section",
        "ada undrain engine-1 -",
        "ada undrain engine-1 upstream engine-1 has no drain mark",
        "ada clear all -",
    ];
    assert_eq!(printed, expected);
}

#[test]
fn config_check_validates_a_document_offline() {
    let folder = TempDir::new().expect("create temporary folder");
    let file = folder.path().join("document.toml");
    let check = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sapphirequay"));
        let output = command.args(["config", "check", path(&file)]).output();
        let output = output.expect("run command");
        (
            output.status.success(),
            String::from_utf8(output.stdout).expect("text"),
        )
    };
    fs::write(&file, DOCUMENT).expect("write file");
    assert_eq!(check(), (true, String::new()));
    fs::write(&file, DOCUMENT.replace("weight = 100", "weight = 0")).expect("write file");
    let (passed, printed) = check();
    assert!(!passed);
    let place = "line 9, key ordering.accounts.shop-12.weight: must be greater than 0";
    assert!(printed.contains(place), "{printed}");
}
