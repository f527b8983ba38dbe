//! Daemons of a small deployment, as separate processes on loopback addresses.

use {
    crate::{Record, http},
    std::{
        env, fs,
        io::{self},
        net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        process::{Child, Command, Stdio, id},
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// Process ids of the daemons that run, for [`end_all`].
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all daemons that run, for a script that takes too long.
pub fn end_all() {
    let running = RUNNING.lock().map(|it| it.clone()).unwrap_or_default();
    for id in running {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &id.to_string()])
            .status();
    }
}

/// Kills a daemon and waits for its end.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    if let Ok(mut running) = RUNNING.lock() {
        running.retain(|id| *id != child.id());
    }
}

/// Program of the deploy file.
const DAEMON: &str = "target/release/sapphirequayd";

/// Role of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Store,
    Front,
}

/// A daemon on a loopback address of its own.
struct Node {
    name: String,
    role: Role,
    zone: String,
    ip: Ipv4Addr,
    child: Option<Child>,
}

/// Ports that every machine uses, as on the platform.
#[derive(Debug, Clone, Copy)]
struct Ports {
    link: u16,
    monitor: u16,
    listen: u16,
    ready: u16,
}

/// Daemons, their settings and their disks in a temporary folder. All processes are ended
/// when it is dropped.
pub struct Deployment {
    nodes: Vec<Node>,
    ports: Ports,
    folder: PathBuf,
    record: Record,
    /// Control addresses that settings files name.
    seeds: Vec<SocketAddr>,
}

impl Deployment {
    /// Creates a deployment without daemons.
    pub fn create(record: &Record) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("sapphirequay-review-{}", id()));
        fs::create_dir_all(&folder)?;
        let [link, monitor, listen, ready] = free_ports()?;
        Ok(Self {
            nodes: Vec::new(),
            ports: Ports {
                link,
                monitor,
                listen,
                ready,
            },
            folder,
            record: record.clone(),
            seeds: Vec::new(),
        })
    }

    /// Adds a machine, which is not started yet.
    pub fn add(&mut self, name: &str, role: Role, zone: &str) {
        let number = u8::try_from(self.nodes.len() + 1).unwrap_or(u8::MAX);
        // A network of its own for each run, so that two runs don't meet.
        let run = id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 | (run[2] & 63), run[3], number);
        self.nodes.push(Node {
            name: name.to_owned(),
            role,
            zone: zone.to_owned(),
            ip,
            child: None,
        });
    }

    /// Names the control machines whose addresses settings files hold as seeds.
    pub fn set_seeds(&mut self, names: &[&str]) {
        self.seeds = names.iter().map(|name| self.listen(name)).collect();
    }

    fn node(&self, name: &str) -> &Node {
        let node = self.nodes.iter().find(|node| node.name == name);
        node.expect("a machine of this name")
    }

    /// Address for clients of a front, or for workers and the operator of a control machine.
    pub fn listen(&self, name: &str) -> SocketAddr {
        (self.node(name).ip, self.ports.listen).into()
    }

    /// Address of a front's readiness.
    pub fn ready(&self, name: &str) -> SocketAddr {
        (self.node(name).ip, self.ports.ready).into()
    }

    fn disk(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-disk"))
    }

    /// Settings as the template in `deploy/` gives them.
    fn settings(&self, node: &Node, bootstrap: bool) -> String {
        let ports = self.ports;
        let seeds: Vec<String> = self.seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let mut text = format!(
            "[process]\nname = \"{}\"\ndata_centre = \"{}\"\ngrace_s = 8\nmonitor = \"{}:{}\"\n\n\
             [link]\nlisten = \"{}:{}\"\nkeys = \"target/keys\"\n\n\
             [gateway]\nseeds = [{}]\nlink_port = {}\nfirst_start = {bootstrap}\nlosses = 1\n\n",
            node.name,
            node.zone,
            node.ip,
            ports.monitor,
            node.ip,
            ports.link,
            seeds.join(", "),
            ports.link,
        );
        let disk = self.disk(&node.name);
        text.push_str(&match node.role {
            Role::Front => format!(
                "[front]\nlisten = \"{}:{}\"\nready = \"{}:{}\"\nmemory_mb = 110\n",
                node.ip, ports.listen, node.ip, ports.ready
            ),
            Role::Control => format!(
                "[control]\nlisten = \"{}:{}\"\ndata = \"{}\"\n",
                node.ip,
                ports.listen,
                disk.display()
            ),
            Role::Store => format!("[store]\ndata = \"{}\"\n", disk.display()),
        });
        text
    }

    /// Starts a machine's process.
    pub fn start(&mut self, name: &str, bootstrap: bool) -> io::Result<()> {
        let node = self.node(name);
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, self.settings(node, bootstrap))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(DAEMON);
        let command = command.arg("--config").arg(&file).stdin(Stdio::null());
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        if let Ok(mut running) = RUNNING.lock() {
            running.push(child.id());
        }
        self.record.line(format!("start {name}"));
        let node = self.nodes.iter_mut().find(|node| node.name == name);
        node.expect("a machine of this name").child = Some(child);
        Ok(())
    }

    /// Names of the machines whose processes run.
    pub fn running(&self) -> Vec<String> {
        let running = self.nodes.iter().filter(|node| node.child.is_some());
        running.map(|node| node.name.clone()).collect()
    }

    /// Writes the settings of all running processes anew and tells them by SIGHUP.
    pub fn rewrite_settings(&self) -> io::Result<()> {
        for name in self.running() {
            let file = self.folder.join(format!("{name}.toml"));
            fs::write(&file, self.settings(self.node(&name), false))?;
            self.signal(&name, "HUP")?;
        }
        Ok(())
    }

    /// Kills a machine's process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        self.record.line(format!("SIGKILL {name}"));
        let node = self.nodes.iter_mut().find(|node| node.name == name);
        if let Some(mut child) = node.and_then(|node| node.child.take()) {
            end(&mut child);
        }
    }

    /// Stops a machine's process with SIGTERM and waits for its end.
    pub fn stop(&mut self, name: &str) -> io::Result<()> {
        self.signal(name, "TERM")?;
        let node = self.nodes.iter_mut().find(|node| node.name == name);
        let Some(mut child) = node.and_then(|node| node.child.take()) else {
            return Ok(());
        };
        let ends = Instant::now() + Duration::from_secs(8);
        while Instant::now() < ends && child.try_wait()?.is_none() {
            thread::sleep(Duration::from_millis(20));
        }
        end(&mut child);
        Ok(())
    }

    /// Sends a signal such as STOP, CONT or TERM to a machine's process.
    pub fn signal(&self, name: &str, signal: &str) -> io::Result<()> {
        self.record.line(format!("SIG{signal} {name}"));
        if let Some(child) = &self.node(name).child {
            let id = child.id().to_string();
            Command::new("kill").args(["-s", signal, &id]).status()?;
        }
        Ok(())
    }

    /// Amount of memory that a machine's process has now, in kB; 0 if it doesn't run.
    pub fn memory(&self, name: &str) -> u64 {
        let Some(child) = &self.node(name).child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.trim().strip_suffix(" kB"));
        size.and_then(|size| size.parse().ok()).unwrap_or(0)
    }

    /// Removes the content of a stopped machine's disk.
    pub fn wipe(&self, name: &str) -> io::Result<()> {
        self.record.line(format!("the disk of {name} is lost"));
        fs::remove_dir_all(self.disk(name))
    }

    /// Addresses of all control machines.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let controls = self.nodes.iter().filter(|node| node.role == Role::Control);
        controls
            .map(|node| (node.ip, self.ports.listen).into())
            .collect()
    }

    /// Sends a configuration until it is acknowledged.
    pub fn put_config(&self, config: &str, limit: Duration) -> Result<(), String> {
        let ends = Instant::now() + limit;
        let controls = self.controls();
        let mut at = 0;
        while Instant::now() < ends {
            let answer = operator_call(
                controls[at],
                "POST /sapphirequay/config/put",
                config.as_bytes(),
            );
            at = (at + 1) % controls.len();
            match answer.map(|it| it.status()) {
                Ok(200) => {
                    self.record.line("the configuration is acknowledged");
                    return Ok(());
                }
                Ok(status @ 400..=499) => return Err(format!("configuration refused: {status}")),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Err("the configuration was not acknowledged".to_owned())
    }

    /// Waits until a front is ready.
    pub fn wait_ready(&self, name: &str, limit: Duration) -> Result<(), String> {
        let ends = Instant::now() + limit;
        while Instant::now() < ends {
            if self.is_ready(name) {
                self.record.line(format!("{name} is ready"));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{name} did not become ready"))
    }

    /// Asks a front whether it is ready.
    pub fn is_ready(&self, name: &str) -> bool {
        let answer = operator_call(self.ready(name), "GET /sapphirequay/readiness", b"");
        answer.is_ok_and(|it| it.status() == 200)
    }
}

/// Makes a call of the operator or the platform.
pub fn operator_call(addr: SocketAddr, start: &str, body: &[u8]) -> io::Result<http::Message> {
    let headers = [
        ("Host", "control".to_owned()),
        ("Content-Type", "application/json".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    http::call(addr, start, &headers, body, Duration::from_secs(1))
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                end(child);
            }
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Different ports that are free for TCP and UDP.
fn free_ports<const N: usize>() -> io::Result<[u16; N]> {
    let mut held = Vec::new();
    let mut ports = [0; N];
    for port in &mut ports {
        for _ in 0..100 {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let free = listener.local_addr()?.port();
            held.push(listener);
            if UdpSocket::bind(("127.0.0.1", free)).is_ok() {
                *port = free;
                break;
            }
        }
    }
    if ports.contains(&0) {
        return Err(io::Error::other("no free port"));
    }
    Ok(ports)
}
