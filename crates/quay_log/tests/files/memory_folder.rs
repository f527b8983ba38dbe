//! A folder in memory that injects I/O faults and simulates power loss.

use {
    quay_log::{Folder, LogFile},
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Power is lost before the operation; it and all later ones fail.
    Crash,
    /// The operation fails.
    Fail,
    /// A write appends one byte only and returns 1.
    Short,
    /// A write reports success but stores zeros instead of the bytes.
    WrongBytes,
}

/// Fate of unsynced bytes and names when power is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    All,
    None,
    /// The first half of the unsynced bytes is kept.
    Half,
    /// The first half of the unsynced bytes becomes zero, the rest is kept.
    FirstHalf,
}

#[derive(Debug, Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

impl Content {
    /// Content after a power loss.
    fn after(&self, loss: Loss) -> Vec<u8> {
        let synced = self.synced.len();
        // An unsynced truncation is lost only with `Loss::All`.
        if self.bytes.len() < synced {
            return if loss == Loss::All {
                self.synced.clone()
            } else {
                self.bytes.clone()
            };
        }
        let half = synced + (self.bytes.len() - synced) / 2;
        let mut bytes = self.bytes.clone();
        match loss {
            Loss::All => bytes.truncate(synced),
            Loss::None => {}
            Loss::Half => bytes.truncate(half),
            Loss::FirstHalf => bytes[synced..half].fill(0),
        }
        bytes
    }
}

#[derive(Debug, Default)]
struct State {
    files: Vec<Content>,
    names: BTreeMap<Box<str>, usize>,
    synced_names: BTreeMap<Box<str>, usize>,
    operations: u64,
    fault: Option<(u64, Fault)>,
    crashed: bool,
}

impl State {
    /// Counts an operation and returns the fault injected into it.
    fn operation(&mut self) -> io::Result<Option<Fault>> {
        self.operations += 1;
        let fault = self.fault.filter(|(at, _)| *at == self.operations);
        self.crashed |= matches!(fault, Some((_, Fault::Crash)));
        if self.crashed || matches!(fault, Some((_, Fault::Fail))) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(fault.map(|(_, fault)| fault))
    }

    fn find(&self, name: &str) -> io::Result<usize> {
        self.names
            .get(name)
            .copied()
            .ok_or(io::ErrorKind::NotFound.into())
    }
}

/// A folder in memory.
#[derive(Debug, Clone, Default)]
pub struct MemoryFolder(Arc<Mutex<State>>);

#[derive(Debug)]
pub struct MemoryFile(MemoryFolder, usize);

impl MemoryFolder {
    /// Creates a folder that injects `fault` at operation `at`, counted from 1.
    pub fn failing(at: u64, fault: Fault) -> Self {
        let folder = Self::default();
        folder.state().fault = Some((at, fault));
        folder
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("state")
    }

    /// Number of operations so far.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Returns a folder with the content that survives a power loss.
    pub fn after_power_loss(&self, loss: Loss) -> Self {
        let state = self.state();
        let names = if loss == Loss::All {
            &state.synced_names
        } else {
            &state.names
        };
        let survived = Self::default();
        for (name, file) in names {
            survived.put(name, state.files[*file].after(loss));
        }
        survived
    }

    /// Stores a synced file.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        let file = state.files.len();
        state.files.push(Content {
            synced: bytes.clone(),
            bytes,
        });
        state.names.insert(name.into(), file);
        state.synced_names.insert(name.into(), file);
    }
}

impl LogFile for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.state();
        let fault = state.operation()?;
        let content = &mut state.files[self.1].bytes;
        match fault {
            Some(Fault::Short) => {
                content.push(bytes[0]);
                Ok(1)
            }
            Some(Fault::WrongBytes) => {
                content.extend(vec![0; bytes.len()]);
                Ok(bytes.len())
            }
            _ => {
                content.extend_from_slice(bytes);
                Ok(bytes.len())
            }
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.0.state();
        state.operation()?;
        let content = &mut state.files[self.1];
        content.synced = content.bytes.clone();
        Ok(())
    }

    fn truncate(&mut self, bytes: u64) -> io::Result<()> {
        let mut state = self.0.state();
        state.operation()?;
        state.files[self.1]
            .bytes
            .truncate(usize::try_from(bytes).expect("length"));
        Ok(())
    }
}

impl Folder for MemoryFolder {
    type File = MemoryFile;

    fn list(&self) -> io::Result<Vec<Box<str>>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<MemoryFile> {
        let mut state = self.state();
        state.operation()?;
        let file = state.files.len();
        state.files.push(Content::default());
        state.names.insert(name.into(), file);
        Ok(MemoryFile(self.clone(), file))
    }

    fn append(&self, name: &str) -> io::Result<MemoryFile> {
        let file = self.state().find(name)?;
        Ok(MemoryFile(self.clone(), file))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        Ok(state.files[state.find(name)?].bytes.clone())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operation()?;
        let file = state.find(from)?;
        state.names.remove(from);
        state.names.insert(to.into(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operation()?;
        state.find(name)?;
        state.names.remove(name);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.state();
        state.operation()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
