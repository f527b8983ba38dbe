//! Processes of a small deployment, as the platform starts, stops and restarts them.

use std::{
    fs::{self, File},
    io,
    net::{TcpListener, UdpSocket},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Ports of every machine, each of which has an address of its own.
pub const LINK_PORT: u16 = 7380;
pub const MONITOR_PORT: u16 = 7395;
pub const CONTROL_PORT: u16 = 8144;
pub const FRONT_PORT: u16 = 8149;
pub const READY_PORT: u16 = 8141;
pub const WORKER_PORT: u16 = 8080;

/// Class of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Front,
    Store,
    Core,
}

/// Sizes of a deployment, from its sheet.
#[derive(Debug, Clone)]
pub struct Sheet {
    pub zones: [&'static str; 3],
    pub fronts: usize,
    pub stores: usize,
    pub cores: usize,
    pub losses: usize,
    /// Memory of a machine of each class in MB.
    pub front_mb: u64,
    pub store_mb: u64,
    pub core_mb: u64,
}

/// A machine with one process of the system.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub class: Class,
    pub ip: String,
    pub memory_mb: u64,
    settings: PathBuf,
    child: Option<Child>,
    /// Largest memory seen, in MB.
    pub peak_mb: u64,
    /// Number of ends for want of memory.
    pub ends: u32,
    /// Time at which the platform starts the process again.
    restart_at: Option<Instant>,
}

/// All machines of a deployment. Ends their processes when dropped.
#[derive(Debug)]
pub struct Deployment {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    sheet: Sheet,
    block: String,
}

impl Deployment {
    /// Starts all machines for the first time, on free loopback addresses.
    pub fn start(sheet: &Sheet) -> io::Result<Self> {
        let block = free_block()?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut machines = Vec::new();
        let classes = [
            (Class::Core, "core", sheet.cores, sheet.core_mb),
            (Class::Store, "store", sheet.stores, sheet.store_mb),
            (Class::Front, "front", sheet.fronts, sheet.front_mb),
        ];
        for (class, label, count, memory_mb) in classes {
            for at in 0..count {
                let zone = sheet.zones[at % 3];
                let name = format!("{label}-{zone}-{}", 1 + at / 3);
                machines.push(Machine {
                    settings: folder.join(format!("{name}.toml")),
                    ip: format!("{block}.{}", 10 + machines.len()),
                    name,
                    class,
                    memory_mb,
                    child: None,
                    peak_mb: 0,
                    ends: 0,
                    restart_at: None,
                });
            }
        }
        let mut deployment = Self {
            machines,
            folder,
            sheet: sheet.clone(),
            block,
        };
        for at in 0..deployment.machines.len() {
            deployment.write_settings(at, true)?;
            deployment.spawn(at)?;
        }
        Ok(deployment)
    }

    /// Address of the stand-in with a number.
    pub fn stand_in_ip(&self, number: usize) -> String {
        format!("{}.{}", self.block, 100 + number)
    }

    /// Addresses of the machines of a class.
    pub fn ips(&self, class: Class) -> Vec<String> {
        let all = self.machines.iter().filter(|it| it.class == class);
        all.map(|it| it.ip.clone()).collect()
    }

    /// Writes the settings of a process as `deploy/settings.template` has them.
    fn write_settings(&self, at: usize, bootstrap: bool) -> io::Result<()> {
        let Machine {
            name,
            ip,
            class,
            memory_mb,
            ..
        } = &self.machines[at];
        let zone = name.split('-').nth(1).unwrap_or_default();
        let seeds = self.ips(Class::Core).into_iter().take(3);
        let seeds: Vec<String> = seeds.map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let data = self.folder.join(name);
        let data = data.display();
        let role = match class {
            Class::Front => format!(
                "[front]\nlisten = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\nmemory_mb = {memory_mb}\nmax_fds = 4100\n"
            ),
            Class::Core => format!(
                "[control]\nlisten = \"{ip}:{CONTROL_PORT}\"\ndata = \"{data}\"\nmemory_mb = {memory_mb}\nmax_fds = 4096\n"
            ),
            Class::Store => format!("[store]\ndata = \"{data}\"\n"),
        };
        let text = format!(
            "[process]\nname = \"{name}\"\ndata_centre = \"{zone}\"\ngrace_s = 8\nmonitor = \"{ip}:{MONITOR_PORT}\"\n\n\
             [link]\nlisten = \"{ip}:{LINK_PORT}\"\nkeys = \"target/keys\"\n\n\
             [gateway]\nseeds = [{}]\nlink_port = {LINK_PORT}\nfirst_start = {bootstrap}\nlosses = {}\n{role}",
            seeds.join(", "),
            self.sheet.losses,
        );
        fs::write(&self.machines[at].settings, text)
    }

    fn spawn(&mut self, at: usize) -> io::Result<()> {
        let machine = &mut self.machines[at];
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().append(true).create(true).open(log)?;
        let mut command = Command::new("target/release/sapphirequayd");
        command.arg("--config").arg(&machine.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        machine.child = Some(command.spawn()?);
        machine.restart_at = None;
        Ok(())
    }

    /// Measures the memory of each process, ends those that use more than their machine
    /// has, and starts those again whose delay is over. Returns the names of those ended.
    pub fn enforce_memory(&mut self, delay: Duration) -> io::Result<Vec<String>> {
        let mut ended = Vec::new();
        for at in 0..self.machines.len() {
            if self.machines[at]
                .restart_at
                .is_some_and(|due| due <= Instant::now())
            {
                self.write_settings(at, false)?;
                self.spawn(at)?;
            }
            let machine = &mut self.machines[at];
            let Some(child) = &mut machine.child else {
                continue;
            };
            let used = anonymous_mb(child.id());
            machine.peak_mb = machine.peak_mb.max(used);
            if used > machine.memory_mb {
                child.kill()?;
                child.wait()?;
                machine.child = None;
                machine.ends += 1;
                machine.restart_at = Some(Instant::now() + delay);
                ended.push(format!(
                    "{} at {used} MB of {}",
                    machine.name, machine.memory_mb
                ));
            }
        }
        Ok(ended)
    }

    /// Lines of the processes' logs that contain a text, without their times.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for machine in &self.machines {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", machine.name)));
            for line in log
                .unwrap_or_default()
                .lines()
                .filter(|it| it.contains(text))
            {
                let line = line.split_once(' ').map_or(line, |(_, rest)| rest);
                lines.push(format!("{}: {line}", machine.name));
            }
        }
        lines
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Anonymous memory of a process in MB, without the pages of its program file.
fn anonymous_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("RssAnon:"));
    let kb = line.and_then(|it| it.split_whitespace().nth(1));
    kb.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) / 1024
}

/// Finds the first three bytes of loopback addresses whose ports are free.
fn free_block() -> io::Result<String> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut random = now.as_nanos() as u64 ^ u64::from(std::process::id()) << 32;
    for _ in 0..200 {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let block = format!(
            "127.{}.{}",
            20 + (random >> 33) % 200,
            1 + (random >> 45) % 250
        );
        let free = (10..50).chain(100..120).all(|last| {
            let ip = format!("{block}.{last}");
            let tcp = [
                CONTROL_PORT,
                FRONT_PORT,
                READY_PORT,
                MONITOR_PORT,
                WORKER_PORT,
            ];
            UdpSocket::bind((ip.as_str(), LINK_PORT)).is_ok()
                && tcp
                    .iter()
                    .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
        });
        if free {
            return Ok(block);
        }
    }
    Err(io::Error::other("no free addresses"))
}
