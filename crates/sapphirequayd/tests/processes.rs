//! Tests of processes that shut down on a signal.

mod common;

use {
    common::{KEY, completion, engine, free_port, post, start_process, streamed_text, wait_for},
    quay_link::DevelopmentKeys,
    quay_standin::{Engine, EngineSettings},
    socket2::{Domain, Socket, Type},
    std::{
        env,
        ffi::OsString,
        fs,
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        path::Path,
        process::{Child, Command, ExitStatus},
        thread,
        time::Duration,
    },
    tempfile::TempDir,
};

/// Program of the daemon. Tests are run against those of earlier versions, too.
fn daemon() -> OsString {
    let daemon = env::var_os("SAPPHIREQUAYD");
    daemon.unwrap_or_else(|| env!("CARGO_BIN_EXE_sapphirequayd").into())
}

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
        let mut command = Command::new(daemon());
        let child = start_process(command.arg("--config").arg(&file));
        Self(child.expect("process"))
    }

    /// Sends SIGTERM.
    fn terminate(&self) {
        self.signal("TERM");
    }

    fn signal(&self, signal: &str) {
        let mut kill = Command::new("/bin/kill");
        let sent = start_process(kill.args(["-s", signal, &self.0.id().to_string()]));
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
    ledger: Process,
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
    // With a limit, a response is not left to the system's send buffers as a whole.
    let entry_role = format!(
        "{}[entry]\nlisten = \"{callers}\"\nmemory_mb = 400\n",
        link(free_port())
    );
    let processes = Processes {
        ledger: Process::start(dir.path(), ("ledger-1", 20), &ledger_role),
        sidecar: Process::start(dir.path(), ("sidecar-1", 20), &sidecar_role),
        entry: Process::start(dir.path(), ("entry-1", grace_s), &entry_role),
        callers,
        engine,
        dir,
    };
    wait_for("the entry listens", || TcpStream::connect(callers).is_ok());
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

/// Guards against processes that SIGHUP ends with all their calls.
#[test]
fn a_hangup_ends_no_process() {
    let processes = start();
    let caller = processes.begin_call();
    for process in [&processes.entry, &processes.sidecar, &processes.ledger] {
        process.signal("HUP");
    }
    let (status, text) = caller.join().expect("caller");
    assert_eq!(status, 200);
    assert!(is_complete(&text), "{text}");
}

/// The same for a process that is still starting.
#[test]
fn a_hangup_during_the_start_ends_no_process() {
    let dir = tempfile::tempdir().expect("folder");
    let file = dir.path().join("pipe.toml");
    let made = start_process(Command::new("mkfifo").arg(&file));
    assert!(made.expect("mkfifo").wait().expect("mkfifo").success());
    let mut command = Command::new(daemon());
    let child = start_process(command.arg("--check-config").arg("--config").arg(&file));
    let mut process = Process(child.expect("process"));
    // Opened once the process reads its settings, which it does until the pipe closes.
    let mut pipe = fs::OpenOptions::new()
        .write(true)
        .open(&file)
        .expect("pipe");
    process.signal("HUP");
    thread::sleep(Duration::from_millis(100));
    let _ = pipe.write_all(b"[process]\nname = \"entry-1\"\n");
    drop(pipe);
    let status = process.wait_for_exit();
    assert!(status.code().is_some(), "ended by a signal: {status}");
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

/// Asks for the health on a kept connection until it closes. Returns whether the last
/// request got its whole answer.
fn ask_until_closed(addr: SocketAddr) -> bool {
    let mut stream = common::connect(addr);
    while stream
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: e\r\n\r\n")
        .is_ok()
    {
        let mut text = String::new();
        while !text.contains('}') {
            let mut buf = [0; 4_096];
            match stream.read(&mut buf) {
                Ok(len @ 1..) => text.push_str(&String::from_utf8_lossy(&buf[..len])),
                _ => return false,
            }
        }
        if text.to_lowercase().contains("connection: close") {
            return true;
        }
    }
    true
}

/// Guards against answers that are cut when an entry without calls exits, since they
/// don't count as in progress.
#[test]
fn an_entry_that_exits_answers_what_does_not_count_as_in_progress() {
    let mut processes = start();
    let addr = processes.callers;
    let callers: Vec<_> = (0..8)
        .map(|_| thread::spawn(move || ask_until_closed(addr)))
        .collect();
    thread::sleep(Duration::from_millis(300));
    processes.entry.terminate();
    assert_eq!(processes.entry.wait_for_exit().code(), Some(0));
    for caller in callers {
        assert!(
            caller.join().expect("caller"),
            "a request without an answer"
        );
    }
}

/// Guards against responses that are cut because their call has ended before a slow
/// caller has read them.
#[test]
fn an_entry_exits_when_slow_callers_have_their_responses() {
    let long = EngineSettings {
        token_gap: Duration::ZERO,
        answer_tokens: 60_000,
        ..EngineSettings::default()
    };
    let mut processes = start_with(long, 60);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    socket.set_recv_buffer_size(8 << 10).expect("buffer");
    socket
        .connect(&processes.callers.into())
        .expect("connection");
    let mut stream = TcpStream::from(socket);
    let body = completion(false).replace("false", "false,\"max_tokens\":100000");
    let len = body.len();
    let req = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {KEY}\r\ncontent-length: {len}\r\n\r\n{body}"
    );
    stream.write_all(req.as_bytes()).expect("request");
    let mut begin = [0; 1_024];
    let read = stream.read(&mut begin).expect("response");
    let mut text = String::from_utf8_lossy(&begin[..read]).into_owned();
    processes.entry.terminate();
    wait_for("all calls have ended", || {
        processes
            .log("entry-1")
            .contains("event=shutdown_began in_progress=0")
    });
    thread::sleep(Duration::from_secs(1));
    let _ = stream.read_to_string(&mut text);
    let (head, body) = text.split_once("\r\n\r\n").expect("head");
    let len = head.to_lowercase().lines().find_map(|line| {
        let len = line.strip_prefix("content-length: ")?;
        len.parse::<usize>().ok()
    });
    assert_eq!(Some(body.len()), len, "{head}");
    assert_eq!(processes.entry.wait_for_exit().code(), Some(0));
}
