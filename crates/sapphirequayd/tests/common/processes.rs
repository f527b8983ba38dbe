//! Daemons as processes that a test may kill.

use {
    super::any_port,
    quay_link::DevelopmentKeys,
    std::{
        fs,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::Path,
        process::{Child, Command, Stdio},
    },
    tempfile::TempDir,
};

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Ledger,
    Entry(usize),
    Sidecar,
}

/// One ledger, two entries and the sidecar of a service.
pub struct Processes {
    pub entries: [SocketAddr; 2],
    children: Vec<(Role, Child)>,
    folder: TempDir,
}

/// A UDP port that was free a moment ago.
fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind(any_port()).expect("port");
    socket.local_addr().expect("address")
}

/// A TCP port that was free a moment ago.
fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("port");
    listener.local_addr().expect("address")
}

/// The table of links.
fn link(listen: SocketAddr, ledger: SocketAddr, keys: &Path) -> String {
    format!(
        "[link]\nlisten = \"{listen}\"\nledgers = [\"{ledger}\"]\nkeys = \"{}\"\n",
        keys.display()
    )
}

impl Processes {
    pub const ROLES: [Role; 4] = [Role::Ledger, Role::Sidecar, Role::Entry(0), Role::Entry(1)];

    pub fn start(service: SocketAddr) -> Self {
        let folder = TempDir::new().expect("folder");
        let keys = folder.path().join("keys");
        let made = DevelopmentKeys::generate().expect("keys");
        made.write(&keys, &["operator"]).expect("keys");
        let document = folder.path().join("first.toml");
        fs::write(&document, super::document(&[("a", "key-a")])).expect("document");
        let ledger = free_udp();
        let entries = [free_tcp(), free_tcp()];
        for role in Self::ROLES {
            let listen = if role == Role::Ledger {
                ledger
            } else {
                free_udp()
            };
            let name = format!("[process]\nname = \"{role:?}\"\ndata_centre = \"dc-1\"\n");
            let table = match role {
                Role::Ledger => format!("[ledger]\ndocument = \"{}\"\n", document.display()),
                Role::Sidecar => format!(
                    "[sidecar]\nupstream = \"orders-1\"\naddr = \"{service}\"\nservice = \"orders\"\n"
                ),
                Role::Entry(slot) => format!("[entry]\nlisten = \"{}\"\n", entries[slot]),
            };
            let text = format!("{name}{}{table}", link(listen, ledger, &keys));
            fs::write(file(folder.path(), role), text).expect("settings");
        }
        let mut processes = Self {
            entries,
            children: Vec::new(),
            folder,
        };
        for role in Self::ROLES {
            processes.run(role);
        }
        processes
    }

    /// Starts the process of a role.
    pub fn run(&mut self, role: Role) {
        let child = Command::new(env!("CARGO_BIN_EXE_sapphirequayd"))
            .arg("--config")
            .arg(file(self.folder.path(), role))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("process");
        self.children.push((role, child));
    }

    /// Kills the process of a role as `kill -9` does.
    pub fn kill(&mut self, role: Role) {
        let slot = self.children.iter().position(|(it, _)| *it == role);
        let (_, mut child) = self.children.remove(slot.expect("a running process"));
        child.kill().expect("kill");
        child.wait().expect("wait");
    }
}

/// Settings file of a role.
fn file(folder: &Path, role: Role) -> std::path::PathBuf {
    folder.join(format!("{role:?}.toml"))
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
