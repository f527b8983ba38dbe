//! The project's processes, started as the deploy file starts them, with settings of a
//! small deployment as the template writes them.

use {
    crate::http::{Answer, send, wait_until},
    std::{
        fs::{self, OpenOptions},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{self, Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

pub const DAEMON: &str = "target/release/sapphirequayd";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Front,
    Control,
    Store,
}

pub struct Node {
    pub name: String,
    pub role: Role,
    pub ip: IpAddr,
    zone: String,
    child: Option<Child>,
}

/// Ports, which are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    link: u16,
    monitor: u16,
    front: u16,
    ready: u16,
    control: u16,
    pub worker: u16,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub ports: Ports,
    seeds: Vec<IpAddr>,
    folder: PathBuf,
    began: Instant,
    pub log: Vec<String>,
    /// `MemoryMb` of the fronts.
    pub front_memory_mb: u64,
}

/// Loopback address of a machine.
pub fn machine_ip(class: u8, number: usize) -> IpAddr {
    let number = u8::try_from(number + 1).unwrap_or(254);
    IpAddr::V4(Ipv4Addr::new(127, 66, class, number))
}

/// A port that is free on all machines.
fn free_port(next: &mut u16) -> u16 {
    loop {
        *next += 1;
        let port = *next;
        let free = (0..4).all(|class| {
            (0..6).all(|number| {
                let addr = SocketAddr::new(machine_ip(class, number), port);
                TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
            })
        });
        if free {
            return port;
        }
    }
}

impl Cluster {
    pub fn new(fronts: usize, stores: usize) -> Self {
        let mut next = 20_000 + u16::try_from(process::id() % 9_000).unwrap_or(0);
        let mut port = || free_port(&mut next);
        let ports = Ports {
            link: port(),
            monitor: port(),
            front: port(),
            ready: port(),
            control: port(),
            worker: port(),
        };
        let folder = std::env::temp_dir().join(format!("review-2-{}", process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("temporary folder");
        let mut cluster = Self {
            nodes: Vec::new(),
            ports,
            seeds: (0..3).map(|it| machine_ip(1, it)).collect(),
            folder,
            began: Instant::now(),
            log: Vec::new(),
            front_memory_mb: 260,
        };
        for number in 0..3 {
            cluster.add(Role::Control, number);
        }
        for number in 0..stores {
            cluster.add(Role::Store, number);
        }
        for number in 0..fronts {
            cluster.add(Role::Front, number);
        }
        cluster
    }

    /// Adds a machine, which is not started. Returns its name.
    pub fn add(&mut self, role: Role, number: usize) -> String {
        let (class, word) = match role {
            Role::Front => (0, "front"),
            Role::Control => (1, "core"),
            Role::Store => (2, "store"),
        };
        let name = format!("{word}-{}", number + 1);
        self.nodes.push(Node {
            name: name.clone(),
            role,
            ip: machine_ip(class, number),
            zone: format!("zone-{}", number % 3 + 1),
            child: None,
        });
        name
    }

    pub fn node(&self, name: &str) -> &Node {
        let mut nodes = self.nodes.iter();
        nodes.find(|it| it.name == name).expect("machine")
    }

    fn node_mut(&mut self, name: &str) -> &mut Node {
        let mut nodes = self.nodes.iter_mut();
        nodes.find(|it| it.name == name).expect("machine")
    }

    pub fn names(&self, role: Role) -> Vec<String> {
        let nodes = self.nodes.iter().filter(|it| it.role == role);
        nodes.map(|it| it.name.clone()).collect()
    }

    // -----------------------------------------------------------------------
    // Record

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&mut self, text: impl Into<String>) {
        let line = format!("{:8.3} s  {}", self.now(), text.into());
        println!("{line}");
        self.log.push(line);
    }

    // -----------------------------------------------------------------------
    // Processes

    fn data(&self, name: &str) -> PathBuf {
        self.folder.join(format!("data-{name}"))
    }

    fn log_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    pub fn log_of(&self, name: &str) -> String {
        let bytes = fs::read(self.log_file(name)).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Starts a process. `first` is true at the first start of the whole system.
    pub fn start(&mut self, name: &str, first: bool) {
        let node = self.node(name);
        let Ports {
            link,
            monitor,
            front,
            ready,
            control,
            ..
        } = self.ports;
        let ip = node.ip;
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|ip| format!("\"{ip}:{control}\""))
            .collect();
        let own = match node.role {
            Role::Front => format!(
                "[front]\nlisten = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\nmemory_mb = {}\nmax_fds = 4100\n",
                self.front_memory_mb
            ),
            Role::Control => format!(
                "[control]\nlisten = \"{ip}:{control}\"\ndata = \"{}\"\nmemory_mb = 256\nmax_fds = 4096\n",
                self.data(name).display()
            ),
            Role::Store => format!("[store]\ndata = \"{}\"\n", self.data(name).display()),
        };
        let settings = format!(
            "[process]\nname = \"{name}\"\ndata_centre = \"{}\"\ngrace_s = 8\nmonitor = \"{ip}:{monitor}\"\n\n\
             [link]\nlisten = \"{ip}:{link}\"\nkeys = \"target/keys\"\n\n\
             [gateway]\nseeds = [{}]\nlink_port = {link}\nfirst_start = {first}\nlosses = 1\n{own}",
            node.zone,
            seeds.join(",")
        );
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("settings");
        fs::create_dir_all(self.data(name)).expect("data folder");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_file(name))
            .expect("log");
        let child = Command::new(DAEMON)
            .arg("--config")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("process");
        self.node_mut(name).child = Some(child);
    }

    /// SIGKILL.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.node_mut(name).child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Removes the disk of a machine whose process does not run.
    pub fn wipe(&self, name: &str) {
        let _ = fs::remove_dir_all(self.data(name));
    }

    /// Sends a signal, such as `STOP`, to a process of this run.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(child) = &self.node(name).child {
            let text = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(text).status();
        }
    }

    /// Memory of a process that is its own and not a file's, in bytes.
    pub fn own_memory(&self, name: &str) -> u64 {
        let pid = self.node(name).child.as_ref().map_or(0, Child::id);
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("RssAnon:"));
        let kib = line.and_then(|it| it.trim().strip_suffix(" kB"));
        kib.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) << 10
    }

    /// Machines whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let nodes = self.nodes.iter_mut();
        let ended = nodes.filter_map(|it| {
            let child = it.child.as_mut()?;
            matches!(child.try_wait(), Ok(Some(_))).then(|| it.name.clone())
        });
        ended.collect()
    }

    // -----------------------------------------------------------------------
    // Addresses

    pub fn front(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.node(name).ip, self.ports.front)
    }

    pub fn control(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.node(name).ip, self.ports.control)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let names = self.names(Role::Control);
        names.iter().map(|it| self.control(it)).collect()
    }

    pub fn is_ready(&self, name: &str) -> bool {
        let addr = SocketAddr::new(self.node(name).ip, self.ports.ready);
        let answer = send(
            addr,
            "GET /sapphirequay/readiness",
            &[("Host", "ready".into())],
            b"",
            Duration::from_millis(500),
        );
        answer.status == 200
    }

    /// The control host that leads, by its log: the last of those that began to lead.
    pub fn leader(&self) -> Option<String> {
        let names = self.names(Role::Control);
        let led = names.into_iter().filter_map(|name| {
            let text = self.log_of(&name);
            let line = text
                .lines()
                .rfind(|it| it.contains("event=control_leads"))?;
            Some((line.split_whitespace().next()?.to_owned(), name))
        });
        led.max().map(|(_, name)| name)
    }

    // -----------------------------------------------------------------------
    // Operator

    /// Sends a configuration until it is acknowledged.
    pub fn put_config(&mut self, config: &str, limit: Duration) -> bool {
        let controls = self.controls();
        let mut next = 0;
        wait_until(limit, || {
            next += 1;
            let answer = operator(
                controls[next % controls.len()],
                "POST /sapphirequay/config/put",
                config.as_bytes(),
            );
            if answer.status != 200 {
                thread::sleep(Duration::from_millis(100));
            }
            answer.status == 200
        })
    }

    /// Starts all machines for the first time, as the platform does: within 0.3 s.
    pub fn start_all(&mut self) {
        let names: Vec<String> = self.nodes.iter().map(|it| it.name.clone()).collect();
        for name in names {
            self.start(&name, true);
        }
        self.note("all machines started");
    }

    pub fn keep_logs(&self) -> Option<PathBuf> {
        let to = std::env::var_os("REVIEW_LOGS")?;
        let to = Path::new(&to).to_owned();
        let _ = fs::create_dir_all(&to);
        for node in &self.nodes {
            let _ = fs::copy(
                self.log_file(&node.name),
                to.join(format!("{}.log", node.name)),
            );
        }
        Some(to)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.keep_logs();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A call of the operator or a worker to a control host.
pub fn operator(addr: SocketAddr, first: &str, body: &[u8]) -> Answer {
    let fields = [
        ("Host", "control".to_owned()),
        ("Content-Type", "application/json".to_owned()),
    ];
    send(addr, first, &fields, body, Duration::from_secs(1))
}
