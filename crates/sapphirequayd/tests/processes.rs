//! Tests of processes that shut down on a signal.

mod common;

use {
    common::{KEY, completion, engine, free_port, post, start_process, streamed_text, wait_for},
    quay_link::DevelopmentKeys,
    quay_standin::{Engine, EngineSettings},
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        process::{Child, Command, ExitStatus},
        thread,
        time::Duration,
    },
    tempfile::TempDir,
};

/// A process that is killed on drop, also when the test fails.
struct Process(Child);

impl Process {
    /// Writes the settings file and starts the daemon with it.
    fn start(dir: &Path, (name, grace_s): (&str, u32), settings: &str) -> Self {
        let file = dir.join(format!("{name}.toml"));
        let log = dir.join(format!("{name}.log"));
        let head = format!(
            "[process]\nname = {name:?}\ngrace_s = {grace_s}\n[log]\nfile = \"{}\"\n{settings}",
            log.display()
        );
        fs::write(&file, head).expect("settings");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"));
        let child = start_process(command.arg("--config").arg(&file));
        Self(child.expect("process"))
    }

    /// Sends SIGTERM.
    fn terminate(&self) {
        let mut kill = Command::new("/bin/kill");
        let sent = start_process(kill.arg(self.0.id().to_string()));
        let status = sent.expect("kill").wait();
        assert!(status.expect("kill").success());
    }

    /// Waits until the process exits.
    fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the process exits", || {
            status = self.0.try_wait().expect("wait");
            status.is_some()
        });
        status.expect("status")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// One process per role, and the engine behind the sidecar.
struct Processes {
    dir: TempDir,
    entry: Process,
    sidecar: Process,
    _ledger: Process,
    callers: SocketAddr,
    engine: Engine,
}

/// Settings of an engine whose answers take about two seconds.
fn slow_engine_settings() -> EngineSettings {
    EngineSettings {
        token_gap: Duration::from_millis(20),
        answer_tokens: 100,
        ..EngineSettings::default()
    }
}

fn start() -> Processes {
    start_with(slow_engine_settings(), 20)
}

/// Starts the processes with an engine and a grace period of the entry in seconds.
fn start_with(settings: EngineSettings, grace_s: u32) -> Processes {
    let dir = tempfile::tempdir().expect("folder");
    let keys = dir.path().join("keys");
    let made = DevelopmentKeys::generate().expect("keys");
    made.write(&keys, &["operator"]).expect("key files");
    let engine = engine(settings);
    let (ledger, sidecar, callers) = (free_port(), free_port(), free_port());
    let link = |listen: SocketAddr| {
        let keys = keys.display();
        format!("[link]\nlisten = \"{listen}\"\nkeys = \"{keys}\"\nledgers = [\"{ledger}\"]\n")
    };
    let data = dir.path().join("data");
    fs::create_dir_all(&data).expect("data folder");
    let document = dir.path().join("first.toml");
    fs::write(&document, common::document(&[("a", KEY)])).expect("document");
    let ledger_role = format!(
        "{}[ledger]\ndocument = \"{}\"\n",
        link(ledger),
        document.display()
    );
    let sidecar_role = format!(
        "{}[sidecar]\nupstream = \"engine-1\"\naddr = \"{}\"\nmodels = [\"m\"]\n",
        link(sidecar),
        engine.addr()
    );
    let entry_role = format!("{}[entry]\nlisten = \"{callers}\"\n", link(free_port()));
    let processes = Processes {
        _ledger: Process::start(dir.path(), ("ledger-1", 20), &ledger_role),
        sidecar: Process::start(dir.path(), ("sidecar-1", 20), &sidecar_role),
        entry: Process::start(dir.path(), ("entry-1", grace_s), &entry_role),
        callers,
        engine,
        dir,
    };
    wait_for("the entry listens", || {
        std::net::TcpStream::connect(callers).is_ok()
    });
    let short = completion(false).replace("false", "false,\"max_tokens\":1");
    assert_eq!(post(callers, KEY, &short).0, 200);
    processes
}

impl Drop for Processes {
    /// Prints the logs of the processes if the test failed.
    fn drop(&mut self) {
        if thread::panicking() {
            for name in ["ledger-1", "sidecar-1", "entry-1"] {
                println!("--- {name}\n{}", self.log(name));
            }
        }
    }
}

impl Processes {
    /// Starts a streamed call and waits until the engine runs it.
    fn begin_call(&self) -> thread::JoinHandle<(u16, String)> {
        let addr = self.callers;
        let caller = thread::spawn(move || post(addr, KEY, &completion(true)));
        wait_for("the engine runs the call", || {
            self.engine.counts().running == 1
        });
        caller
    }

    fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.path().join(format!("{name}.log"))).expect("log")
    }
}

/// Whether the event stream holds the engine's complete answer.
fn is_complete(text: &str) -> bool {
    let words: Vec<_> = (0..100).map(|number| format!("word{number} ")).collect();
    streamed_text(text) == words.concat() && text.ends_with("data: [DONE]\n\n")
}

#[test]
fn an_entry_finishes_its_calls_before_it_exits() {
    let mut processes = start();
    let caller = processes.begin_call();
    processes.entry.terminate();
    wait_for("the shutdown begins", || {
        processes.log("entry-1").contains("event=shutdown_began")
    });
    let (status, text) = common::post_once(processes.callers, KEY, &completion(true));
    assert_eq!(status, 503, "{text}");
    assert!(text.contains(r#""kind":"draining""#), "{text}");
    let (status, text) = caller.join().expect("caller");
    assert_eq!(status, 200);
    assert!(is_complete(&text), "{text}");
    assert_eq!(processes.entry.wait_for_exit().code(), Some(0));
    let log = processes.log("entry-1");
    assert!(log.contains("event=shutdown_began in_progress=1"), "{log}");
    assert!(log.contains("event=shutdown_ended"), "{log}");
}

#[test]
fn a_sidecar_finishes_its_attempts_and_refuses_new_ones() {
    let mut processes = start();
    let caller = processes.begin_call();
    processes.sidecar.terminate();
    // A call before the shutdown begins would still be accepted.
    wait_for("the shutdown begins", || {
        processes.log("sidecar-1").contains("event=shutdown_began")
    });
    wait_for("new calls are refused", || {
        let (status, text) = common::post_once(processes.callers, KEY, &completion(true));
        assert!(text.contains(r#""not_run":true"#), "{text}");
        status == 503
    });
    let (status, text) = caller.join().expect("caller");
    assert_eq!(status, 200);
    assert!(is_complete(&text), "{text}");
    assert_eq!(processes.sidecar.wait_for_exit().code(), Some(0));
}

#[test]
fn a_second_signal_ends_the_process_and_says_what_was_cut() {
    let mut processes = start();
    let _caller = processes.begin_call();
    processes.entry.terminate();
    wait_for("the shutdown begins", || {
        processes.log("entry-1").contains("event=shutdown_began")
    });
    processes.entry.terminate();
    assert_eq!(processes.entry.wait_for_exit().code(), Some(3));
    let log = processes.log("entry-1");
    assert!(log.contains("event=shutdown_cut in_progress=1"), "{log}");
}

/// Guards against calls that are cut without an answer at the end of the grace period.
#[test]
fn calls_in_progress_at_the_end_of_the_grace_period_get_an_answer() {
    let endless = EngineSettings {
        answer_tokens: 1_000_000,
        ..slow_engine_settings()
    };
    let mut processes = start_with(endless, 8);
    let callers = [true, false].map(|stream| {
        let addr = processes.callers;
        let body = format!("{{\"max_tokens\":1000000,{}", &completion(stream)[1..]);
        thread::spawn(move || post(addr, KEY, &body))
    });
    wait_for("the engine runs the calls", || {
        processes.engine.counts().running == 2
    });
    processes.entry.terminate();
    let [stream, json] = callers.map(|caller| caller.join().expect("caller"));
    assert_eq!(stream.0, 200, "{}", stream.1);
    assert!(stream.1.contains("event: error"), "{}", stream.1);
    assert_eq!(json.0, 502, "{}", json.1);
    for (_, text) in [stream, json] {
        assert!(text.contains(r#""kind":"upstream_lost""#), "{text}");
        assert!(text.contains(r#""not_run":false"#), "{text}");
    }
    assert_eq!(processes.entry.wait_for_exit().code(), Some(0));
    wait_for("the engine cancels the calls", || {
        processes.engine.counts().running == 0
    });
}
