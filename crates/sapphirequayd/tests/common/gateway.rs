//! Gateway of separate processes that a test can kill, and a stub upstream.

#![allow(dead_code)] // Each test file uses only some of the helpers.

#[path = "full_disk.rs"]
mod full_disk;
#[path = "process_logs.rs"]
mod process_logs;

use {
    self::process_logs::print_logs,
    crate::ports::{free_port, start_process},
    quay_link::{DevelopmentKeys, KeyFiles, LinkRole, Links},
    std::{
        env,
        fs::{self, OpenOptions},
        io::{Read, Write as _},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Time after which a process that has not started fails a test. Generous, since no test
/// asserts a speed.
const START_TIMEOUT: Duration = Duration::from_secs(90);

const LOOPBACK: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Role of a gateway process, with its index among the processes of that role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control(usize),
    Store(usize),
    Front(usize),
}

/// Gateway of three control hosts, some stores and two fronts.
pub struct Gateway {
    pub controls: Vec<SocketAddr>,
    pub fronts: Vec<SocketAddr>,
    /// Address at which the first front serves its metrics.
    pub monitor: SocketAddr,
    control_links: Vec<SocketAddr>,
    /// Indices of the control hosts that the settings name.
    seeds: Vec<usize>,
    /// Link addresses of fronts.
    pub front_links: Vec<SocketAddr>,
    /// Link addresses of stores.
    pub store_links: Vec<SocketAddr>,
    /// Lines for `[front]` of the fronts that are started next.
    pub front_settings: String,
    /// Lines for `[control]` of the control hosts that are started next.
    pub control_settings: String,
    /// Settings added to the table of each store that is started next.
    pub store_settings: String,
    /// Lines for `[process]` of the processes that are started next.
    pub process_settings: String,
    /// Limit of open descriptors of the fronts that are started next.
    pub front_descriptors: Option<usize>,
    /// Whether the disks of processes that are started next can be filled.
    pub fillable_disks: bool,
    /// Whether these are full at the start.
    pub full_disks: bool,
    children: Vec<(Role, Child)>,
    folder: TempDir,
}

impl Gateway {
    /// Starts a gateway with `stores` stores.
    pub fn start(stores: usize) -> Self {
        Self::start_with(stores, "")
    }

    /// Starts a gateway with settings added to the table of each front.
    pub fn start_with(stores: usize, front_settings: &str) -> Self {
        let mut gateway = Self::prepare(stores, front_settings);
        gateway.run_all();
        gateway
    }

    /// Prepares a gateway of which no process runs yet.
    pub fn prepare(stores: usize, front_settings: &str) -> Self {
        let folder = TempDir::new().expect("folder");
        let made = DevelopmentKeys::generate().expect("keys");
        let nobody: [&str; 0] = [];
        made.write(&folder.path().join("keys"), &nobody)
            .expect("keys");
        Self {
            controls: (0..3).map(|_| free_port()).collect(),
            fronts: (0..2).map(|_| free_port()).collect(),
            monitor: free_port(),
            control_links: (0..3).map(|_| free_port()).collect(),
            seeds: vec![0, 1, 2],
            front_links: (0..2).map(|_| free_port()).collect(),
            store_links: (0..stores).map(|_| free_port()).collect(),
            children: Vec::new(),
            folder,
            front_settings: front_settings.to_owned(),
            control_settings: String::new(),
            store_settings: String::new(),
            process_settings: String::new(),
            front_descriptors: None,
            fillable_disks: false,
            full_disks: false,
        }
    }

    /// Starts all processes for the first time, and waits until the fronts listen.
    pub fn run_all(&mut self) {
        for slot in 0..self.controls.len() {
            self.run(Role::Control(slot), true);
        }
        for slot in 0..self.store_links.len() {
            self.run(Role::Store(slot), true);
        }
        for slot in 0..self.fronts.len() {
            self.run(Role::Front(slot), true);
        }
        for slot in 0..self.fronts.len() {
            self.wait_for_start(Role::Front(slot));
        }
    }

    /// Waits until a process has logged that it has started, and so listens.
    fn wait_for_start(&self, role: Role) {
        let log = self.folder.path().join(format!("{role:?}.log"));
        let began = Instant::now();
        while !fs::read_to_string(&log).is_ok_and(|text| text.contains("event=started")) {
            assert!(began.elapsed() < START_TIMEOUT, "{role:?} does not start");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Adds a control host and starts it. Returns its index.
    pub fn add_control(&mut self) -> usize {
        self.controls.push(free_port());
        self.control_links.push(free_port());
        let slot = self.controls.len() - 1;
        self.run(Role::Control(slot), false);
        slot
    }

    /// Adds a store and starts it. Returns its index.
    pub fn add_store(&mut self) -> usize {
        self.store_links.push(free_port());
        let slot = self.store_links.len() - 1;
        self.run(Role::Store(slot), false);
        slot
    }

    /// Names other control hosts in the settings of all processes; the ones that run
    /// read their settings again.
    pub fn set_seeds(&mut self, slots: &[usize]) {
        self.seeds = slots.to_vec();
        for role in self.running() {
            self.write_settings(role, false);
            self.signal(role, "HUP");
        }
    }

    /// Names other control hosts in the settings of processes that are started later.
    pub fn name_seeds_of_later_starts(&mut self, slots: &[usize]) {
        self.seeds = slots.to_vec();
    }

    /// The processes that run.
    pub fn running(&self) -> Vec<Role> {
        self.children.iter().map(|(role, _)| *role).collect()
    }

    /// Starts or restarts a process. `first_start` sets the setting of that name.
    pub fn run(&mut self, role: Role, first_start: bool) {
        if let Role::Store(slot) = role {
            // Each start of a store uses a new address.
            self.store_links[slot] = free_port();
        }
        let file = self.write_settings(role, first_start);
        let folder = self.folder.path();
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{role:?}.log")))
            .expect("log");
        // Benchmarks compare daemons of several versions, also in one gateway.
        let own = match role {
            Role::Store(_) => env::var_os("SAPPHIREQUAYD_STORE"),
            _ => None,
        };
        let daemon = own.or_else(|| env::var_os("SAPPHIREQUAYD"));
        let daemon = daemon.unwrap_or_else(|| env!("CARGO_BIN_EXE_sapphirequayd").into());
        let mut command = match (role, self.front_descriptors) {
            (Role::Front(_), Some(limit)) => {
                let mut shell = Command::new("sh");
                shell.arg("-c");
                shell.arg(format!("ulimit -n {limit} && exec \"$0\" \"$@\""));
                shell.arg(daemon);
                shell
            }
            _ if self.fillable_disks => full_disk::command(daemon, self.full_disks),
            _ => Command::new(daemon),
        };
        let command = command.arg("--config").arg(file);
        let command = command.stdout(log.try_clone().expect("log")).stderr(log);
        let child = start_process(command).expect("process");
        self.children.push((role, child));
    }

    /// Writes the settings file of a process.
    fn write_settings(&self, role: Role, first_start: bool) -> PathBuf {
        let folder = self.folder.path();
        let (link, table) = match role {
            Role::Control(slot) => (
                self.control_links[slot],
                format!(
                    "[control]\nlisten = \"{}\"\ndata = \"{}\"\n{}\n",
                    self.controls[slot],
                    folder.join(format!("control-{slot}")).display(),
                    self.control_settings
                ),
            ),
            Role::Store(slot) => (
                self.store_links[slot],
                format!(
                    "[store]\ndata = \"{}\"\n{}\n",
                    folder.join(format!("store-{slot}")).display(),
                    self.store_settings
                ),
            ),
            Role::Front(slot) => (
                self.front_links[slot],
                format!(
                    "[front]\nlisten = \"{}\"\nready = \"{}\"\n{}\n",
                    self.fronts[slot],
                    free_port(),
                    self.front_settings
                ),
            ),
        };
        let seeds = self.seeds.iter().map(|slot| self.control_links[*slot]);
        let seeds: Vec<String> = seeds.map(|it| it.to_string()).collect();
        let monitor = match role {
            Role::Front(0) => format!("monitor = \"{}\"\n", self.monitor),
            _ => String::new(),
        };
        let settings = format!(
            "[process]\nname = \"{role:?}\"\ndata_centre = \"dc-1\"\n{monitor}{}\n[link]\nlisten = \"{link}\"\n\
             keys = \"{}\"\n[gateway]\nseeds = {seeds:?}\nfirst_start = {first_start}\n{table}",
            self.process_settings,
            folder.join("keys").display()
        );
        let file = folder.join(format!("{role:?}.toml"));
        fs::write(&file, settings).expect("settings");
        file
    }

    /// Client with the link identity of a front.
    pub fn front_client(&self) -> Links {
        let keys = self.folder.path().join("keys");
        let identity = KeyFiles::for_role(&keys, LinkRole::Entry).load();
        Links::connect_only(identity.expect("identity")).expect("links")
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, role: Role) {
        let slot = self.children.iter().position(|(it, _)| *it == role);
        let (_, mut child) = self.children.remove(slot.expect("a running process"));
        child.kill().expect("kill");
        child.wait().expect("wait");
    }

    /// Ends a process with SIGTERM and waits for its end.
    pub fn terminate(&mut self, role: Role) {
        self.signal(role, "TERM");
        let slot = self.children.iter().position(|(it, _)| *it == role);
        let (_, mut child) = self.children.remove(slot.expect("a running process"));
        child.wait().expect("wait");
    }

    /// Sends a signal, such as `STOP` or `CONT`, to a process.
    pub fn signal(&self, role: Role, signal: &str) {
        let child = self.children.iter().find(|(it, _)| *it == role);
        let id = child.expect("a running process").1.id().to_string();
        let mut kill = Command::new("kill");
        let sent = start_process(kill.args(["-s", signal, &id]));
        let status = sent.expect("kill").wait();
        assert!(status.expect("kill").success());
    }

    /// Whether a process has not ended by itself.
    pub fn is_running(&mut self, role: Role) -> bool {
        let child = self.children.iter_mut().find(|(it, _)| *it == role);
        child.is_some_and(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }

    /// Fills the disk of a process: its files can't grow over a size in bytes. `None`
    /// makes room again.
    pub fn fill_disk(&self, role: Role, bytes: Option<u64>) {
        full_disk::limit_files(self.process_id(role), bytes);
    }

    /// Operating system's id of a process.
    pub fn process_id(&self, role: Role) -> u32 {
        let child = self.children.iter().find(|(it, _)| *it == role);
        child.expect("a running process").1.id()
    }

    /// Largest amount of memory that a process has had so far, in bytes.
    pub fn peak_memory(&self, role: Role) -> u64 {
        let id = self.process_id(role);
        let status = fs::read_to_string(format!("/proc/{id}/status")).expect("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.parse::<u64>().ok()).expect("VmHWM") << 10
    }

    /// The control host that has logged last that it leads.
    pub fn leader(&self) -> Option<Role> {
        let led = (0..self.controls.len()).filter_map(|slot| {
            let role = Role::Control(slot);
            let log = self.folder.path().join(format!("{role:?}.log"));
            let text = fs::read_to_string(log).ok()?;
            let line = text
                .lines()
                .rfind(|line| line.contains("event=control_leads"))?;
            Some((line.to_owned(), role))
        });
        // Lines begin with the time.
        led.max_by(|(one, _), (other, _)| one.cmp(other))
            .map(|(_, role)| role)
    }

    /// What all processes have logged.
    pub fn logs(&self) -> String {
        let files = fs::read_dir(self.folder.path()).expect("folder").flatten();
        let logs = files.filter(|file| file.file_name().to_string_lossy().ends_with(".log"));
        logs.map(|log| fs::read_to_string(log.path()).expect("log"))
            .collect()
    }

    /// Identity that a control host has logged last.
    pub fn control_identity(&self, slot: usize) -> Option<String> {
        let role = Role::Control(slot);
        let log = self.folder.path().join(format!("{role:?}.log"));
        let text = fs::read_to_string(log).ok()?;
        let (_, rest) = text.rsplit_once("event=identity node=")?;
        rest.split_whitespace().next().map(str::to_owned)
    }

    /// Identity that a store has logged.
    pub fn store_identity(&self, slot: usize) -> Option<u64> {
        let role = Role::Store(slot);
        let log = self.folder.path().join(format!("{role:?}.log"));
        let text = fs::read_to_string(log).ok()?;
        let (_, rest) = text.rsplit_once("event=store_opened identity=")?;
        rest.split_whitespace().next()?.parse().ok()
    }

    /// Removes the data folder of a stopped control host.
    pub fn wipe_control(&self, slot: usize) {
        fs::remove_dir_all(self.folder.path().join(format!("control-{slot}"))).expect("wiped");
    }

    /// Removes the data folder of a stopped store.
    pub fn wipe_store(&self, slot: usize) {
        fs::remove_dir_all(self.folder.path().join(format!("store-{slot}"))).expect("wiped");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if thread::panicking() {
            print_logs(self.folder.path());
        }
    }
}

/// HTTP response, with the body decoded from its transfer coding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body is complete; a chunked body must have its last chunk.
    pub complete: bool,
}

/// Sends a request on a new connection. Returns `None` if no response head
/// arrives.
pub fn send(addr: SocketAddr, head: &str, body: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    let head = head.replace('\n', "\r\n");
    let len = body.len();
    let text = format!("{head}\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    parse(&String::from_utf8(got).ok()?)
}

pub fn parse(text: &str) -> Option<Response> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let chunked = head.to_lowercase().contains("transfer-encoding: chunked");
    let (body, complete) = if chunked {
        dechunk(rest)
    } else {
        (rest.to_owned(), true)
    };
    Some(Response {
        status,
        head: head.to_lowercase(),
        body,
        complete,
    })
}

fn dechunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((len, after)) = rest.split_once("\r\n") {
        let Ok(len) = usize::from_str_radix(len, 16) else {
            return (body, false);
        };
        if len == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..len) else {
            return (body, false);
        };
        body.push_str(chunk);
        rest = after.get(len + 2..).unwrap_or_default();
    }
    (body, false)
}

/// What the stub upstream does with the next requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers completely.
    Normal,
    /// Runs the request and closes the connection without an answer.
    NoAnswer,
    /// Answers 503 with the header that says the request was not executed.
    Overloaded,
    /// Answers with the ID of another request.
    WrongRequestId,
    /// Ends a stream within an event.
    TruncatedEvent,
    /// Streams ten events and does not end the response.
    TooManyEvents,
    /// Answers completely and says that it is leaving.
    Leaving,
    /// Answers completely and names a limit of [`LIMIT_PER_S`].
    Limited,
}

/// Requests in a second that a limited stub upstream takes from all hosts.
pub const LIMIT_PER_S: u32 = 2;

/// Stub upstream: streams two events for a chat request, or sends a short plain
/// response.
#[derive(Clone)]
pub struct StubUpstream {
    pub addr: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Bodies of the requests that were run.
    ran: Arc<Mutex<Vec<String>>>,
    /// Heads of these requests.
    heads: Arc<Mutex<Vec<String>>>,
    /// Times of the requests that were answered with the limit.
    limited: Arc<Mutex<Vec<Instant>>>,
}

impl StubUpstream {
    pub fn start() -> Self {
        let listener = TcpListener::bind(LOOPBACK).expect("listener");
        let upstream = Self {
            addr: listener.local_addr().expect("address"),
            behaviour: Arc::new(Mutex::new(Behaviour::Normal)),
            ran: Arc::default(),
            heads: Arc::default(),
            limited: Arc::default(),
        };
        let shared = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        upstream
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("lock") = behaviour;
    }

    pub fn limited_requests(&self) -> Vec<Instant> {
        self.limited.lock().expect("lock").clone()
    }

    pub fn requests_run(&self) -> Vec<String> {
        self.ran.lock().expect("lock").clone()
    }

    pub fn request_heads(&self) -> Vec<String> {
        self.heads.lock().expect("lock").clone()
    }

    /// Answers one request and closes the connection.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let (head, body) = read_request(&mut stream)?;
        let behaviour = *self.behaviour.lock().expect("lock");
        let id = match behaviour {
            Behaviour::WrongRequestId => "another",
            _ => header(&head, "x-sapphirequay-request-id")?,
        };
        let common = format!(
            "x-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: s\r\nconnection: close\r\n"
        );
        let common = match behaviour {
            Behaviour::Leaving => format!("{common}server-leaving: 1\r\n"),
            Behaviour::Limited => {
                self.limited.lock().expect("lock").push(Instant::now());
                format!("{common}server-limit: {LIMIT_PER_S}.0\r\n")
            }
            _ => common,
        };
        if behaviour == Behaviour::Overloaded {
            let text = format!(
                "HTTP/1.1 503 Full\r\nx-sapphirequay-not-executed: 1\r\n{common}content-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        self.ran.lock().expect("lock").push(body);
        self.heads.lock().expect("lock").push(head.clone());
        if behaviour == Behaviour::NoAnswer {
            return None;
        }
        let text = if head.starts_with("POST /chat/") {
            if behaviour == Behaviour::TooManyEvents {
                let event = "13\r\nid: 1\ndata: hello\n\n\r\n";
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}transfer-encoding: chunked\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).ok()?;
                for _ in 0..10 {
                    stream.write_all(event.as_bytes()).ok()?;
                    thread::sleep(Duration::from_millis(10));
                }
                // Waits until the front closes the connection.
                let _ = stream.read(&mut [0]);
                return None;
            }
            let second = match behaviour {
                Behaviour::TruncatedEvent => "id: 2\ndata: wo",
                _ => "id: 2\ndata: world\n\n",
            };
            format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}transfer-encoding: chunked\r\n\r\n\
                 13\r\nid: 1\ndata: hello\n\n\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
                second.len()
            )
        } else {
            format!("HTTP/1.1 200 OK\r\n{common}content-length: 4\r\n\r\ndone")
        };
        stream.write_all(text.as_bytes()).ok()
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

pub fn read_request(stream: &mut impl Read) -> Option<(String, String)> {
    let mut got = Vec::new();
    loop {
        let mut buf = [0; 4_096];
        let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
        got.extend_from_slice(&buf[..len]);
        let text = String::from_utf8_lossy(&got).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let wanted = header(head, "content-length").map_or(0, |len| len.parse().unwrap_or(0));
        if body.len() >= wanted {
            return Some((head.to_owned(), body.to_owned()));
        }
    }
}
