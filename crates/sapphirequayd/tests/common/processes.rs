//! Daemons in separate processes that a test may kill.

#[path = "full_disk.rs"]
mod full_disk;
#[path = "process_logs.rs"]
mod process_logs;

use {
    self::process_logs::print_logs,
    super::{document, free_port, start_process},
    quay_link::DevelopmentKeys,
    std::{
        env, fs,
        net::SocketAddr,
        path::Path,
        process::{Child, Command},
        thread,
    },
    tempfile::TempDir,
};

/// Role of a process; the number tells processes of the same role apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Ledger(usize),
    Entry(usize),
    Sidecar,
}

impl Role {
    const ALL: [Self; 6] = [
        Self::Ledger(0),
        Self::Ledger(1),
        Self::Ledger(2),
        Self::Sidecar,
        Self::Entry(0),
        Self::Entry(1),
    ];
}

/// Processes of three ledger hosts with data folders, two entries and the
/// sidecar of a service or an engine.
pub struct Processes {
    pub entries: [SocketAddr; 2],
    children: Vec<(Role, Child)>,
    folder: TempDir,
}

/// Addresses of the processes, and the folder that holds their files.
struct Topology<'a> {
    /// Lines of the table of the sidecar.
    sidecar: &'a str,
    ledgers: [SocketAddr; 3],
    entries: [SocketAddr; 2],
    /// Lines for the table of each entry.
    entry_settings: &'a str,
    folder: &'a Path,
}

impl Topology<'_> {
    /// Contents of the settings file of a process.
    fn settings(&self, role: Role) -> String {
        let (listen, table) = match role {
            Role::Ledger(slot) => (self.ledgers[slot], self.ledger(slot)),
            Role::Sidecar => (free_port(), format!("[sidecar]\n{}", self.sidecar)),
            Role::Entry(slot) => (free_port(), self.entry(slot)),
        };
        let ledgers = self.ledgers.map(|addr| addr.to_string());
        format!(
            "[process]\nname = \"{role:?}\"\ndata_centre = \"dc-1\"\n\
            [link]\nlisten = \"{listen}\"\nledgers = {ledgers:?}\nkeys = \"{}\"\n{table}",
            self.folder.join("keys").display()
        )
    }

    fn ledger(&self, slot: usize) -> String {
        let peers = self.ledgers.iter().zip(1..).map(|(addr, node)| {
            format!(
                "[[ledger.peers]]\nnode = {node}\naddr = \"{addr}\"\ndata_centre = \"dc-{node}\"\n"
            )
        });
        format!(
            "[ledger]\ndata = \"{}\"\nnode = {}\nbootstrap = true\ndocument = \"{}\"\n{}",
            self.folder.join(format!("data-{slot}")).display(),
            slot + 1,
            self.folder.join("first.toml").display(),
            peers.collect::<String>()
        )
    }

    fn entry(&self, slot: usize) -> String {
        let (listen, settings) = (self.entries[slot], self.entry_settings);
        format!("[entry]\nlisten = \"{listen}\"\n{settings}\n")
    }
}

impl Processes {
    pub fn start(service: SocketAddr) -> Self {
        Self::start_with(service, "")
    }

    /// Starts the processes with settings added to the table of each entry.
    pub fn start_with(service: SocketAddr, entry_settings: &str) -> Self {
        let sidecar =
            format!("upstream = \"orders-1\"\naddr = \"{service}\"\nservice = \"orders\"\n");
        Self::start_for(&sidecar, entry_settings)
    }

    /// Starts the processes with the lines of the tables of the sidecar and the entries.
    pub fn start_for(sidecar: &str, entry_settings: &str) -> Self {
        let folder = TempDir::new().expect("folder");
        let made = DevelopmentKeys::generate().expect("keys");
        made.write(&folder.path().join("keys"), &["operator"])
            .expect("keys");
        let first = document(&[("a", "key-a")]);
        fs::write(folder.path().join("first.toml"), first).expect("document");
        let topology = Topology {
            sidecar,
            ledgers: [free_port(), free_port(), free_port()],
            entries: [free_port(), free_port()],
            entry_settings,
            folder: folder.path(),
        };
        for role in Role::ALL {
            fs::write(file(folder.path(), role), topology.settings(role)).expect("settings");
        }
        let mut processes = Self {
            entries: topology.entries,
            children: Vec::new(),
            folder,
        };
        for role in Role::ALL {
            processes.run(role);
        }
        processes
    }

    /// Starts the process of a role.
    pub fn run(&mut self, role: Role) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{role:?}.log")))
            .expect("log");
        // Tests are run against daemons of earlier versions, too.
        let daemon = env::var_os("SAPPHIREQUAYD");
        let daemon = daemon.unwrap_or_else(|| env!("CARGO_BIN_EXE_sapphirequayd").into());
        let mut command = match role {
            Role::Ledger(_) => full_disk::command(daemon, false),
            _ => Command::new(daemon),
        };
        let command = command.arg("--config").arg(file(self.folder.path(), role));
        let command = command.stdout(log.try_clone().expect("log")).stderr(log);
        let child = start_process(command).expect("process");
        self.children.push((role, child));
    }

    /// Fills the disk of a ledger host: its files can't grow over a size in bytes. `None`
    /// makes room again.
    pub fn fill_disk(&self, ledger: usize, bytes: Option<u64>) {
        full_disk::limit_files(self.process_id(Role::Ledger(ledger)), bytes);
    }

    /// Operating system's id of the process of a role.
    pub fn process_id(&self, role: Role) -> u32 {
        let child = self.children.iter().find(|(it, _)| *it == role);
        child.expect("a running process").1.id()
    }

    /// Most memory in bytes that the process of a role has held; 0 if it has ended.
    pub fn peak_memory(&self, role: Role) -> u64 {
        let path = format!("/proc/{}/status", self.process_id(role));
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) << 10
    }

    /// Whether the process of a role has not ended by itself.
    pub fn is_running(&mut self, role: Role) -> bool {
        let child = self.children.iter_mut().find(|(it, _)| *it == role);
        child.is_some_and(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process of a role as by `kill -9`.
    pub fn kill(&mut self, role: Role) {
        let slot = self
            .children
            .iter()
            .position(|(running, _)| *running == role);
        let (_, mut child) = self.children.remove(slot.expect("a running process"));
        child.kill().expect("kill");
        child.wait().expect("wait");
    }
}

/// Path of the settings file of a role.
fn file(folder: &Path, role: Role) -> std::path::PathBuf {
    folder.join(format!("{role:?}.toml"))
}

impl Drop for Processes {
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
