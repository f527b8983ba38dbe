//! File with the control hosts that a control host knows.

use {
    quay_log::{DiskFolder, Folder as _, LogError, read_checked, write_atomic},
    std::{io, net::SocketAddr, path::Path},
};

/// Name of the file.
const FILE: &str = "control-hosts";

/// Control hosts that are saved in a folder; without a folder nothing is saved.
#[derive(Debug, Clone, Default)]
pub struct SavedHosts {
    folder: Option<DiskFolder>,
    members: Box<[SocketAddr]>,
    /// Whether the last attempt to save failed, which is logged once.
    failed: bool,
}

impl SavedHosts {
    /// Reads the file in a folder. An unreadable file counts as empty: the seeds of the
    /// settings are known as well.
    ///
    /// # Errors
    ///
    /// If the folder can't be created or listed.
    pub fn open(path: &Path) -> io::Result<Self> {
        let folder = DiskFolder::create(path)?;
        let exists = folder.list()?.iter().any(|name| &**name == FILE);
        let members = if exists {
            read(&folder).unwrap_or_else(|err| {
                log::warn!("event=control_hosts_unread cause=\"{err}\"");
                Box::default()
            })
        } else {
            Box::default()
        };
        Ok(Self {
            folder: Some(folder),
            members,
            failed: false,
        })
    }

    /// Link addresses that are saved.
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Saves other link addresses, unless there are none or they are saved already.
    #[must_use]
    pub fn save(self, members: Box<[SocketAddr]>) -> Self {
        let Some(folder) = &self.folder else {
            return self;
        };
        if members.is_empty() || members == self.members {
            return self;
        }
        match write(folder, &members) {
            Ok(()) => {
                log::info!("event=control_hosts_saved members={members:?}");
                Self {
                    members,
                    failed: false,
                    ..self
                }
            }
            Err(err) => {
                if !self.failed {
                    log::warn!("event=control_hosts_unsaved cause=\"{err}\"");
                }
                Self {
                    failed: true,
                    ..self
                }
            }
        }
    }
}

fn read(folder: &DiskFolder) -> Result<Box<[SocketAddr]>, LogError> {
    let (_, payload) = read_checked(folder, FILE)?;
    postcard::from_bytes(&payload).map_err(LogError::Encode)
}

fn write(folder: &DiskFolder, members: &[SocketAddr]) -> Result<(), LogError> {
    let payload = postcard::to_stdvec(members).map_err(LogError::Encode)?;
    write_atomic(folder, FILE, 0, &payload)
}
