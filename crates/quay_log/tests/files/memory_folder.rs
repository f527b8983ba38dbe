//! A folder in memory that injects I/O faults and simulates power loss.

use {
    quay_log::{Folder, LogFile},
    std::{
        collections::{BTreeMap, BTreeSet},
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
    /// The disk is full from the operation on.
    Full(Full),
}

/// Operations that a full disk refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Writes and the creation of files.
    Writes,
    /// The same, after a write of which half was taken.
    HalfWrites,
    /// Writes take no bytes.
    EmptyWrites,
    /// Syncs of files. As with delayed allocation, the unsynced bytes can be read but
    /// are never written to the disk.
    Syncs,
    /// Changes and syncs of names.
    Names,
    All,
}

/// A disk that is full for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full {
    pub refused: Refused,
    pub kind: io::ErrorKind,
    /// Number of waits for room after which there is room.
    pub waits: u32,
    /// Whether the process crashes instead.
    pub crashes: bool,
}

/// Kind of a file operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Operation {
    Create,
    Write,
    Sync,
    Truncate,
    Name,
}

impl Refused {
    fn refuses(self, operation: Operation) -> bool {
        match self {
            Self::Writes | Self::HalfWrites => {
                matches!(operation, Operation::Create | Operation::Write)
            }
            Self::EmptyWrites => false,
            Self::Syncs => operation == Operation::Sync,
            Self::Names => matches!(operation, Operation::Create | Operation::Name),
            Self::All => true,
        }
    }
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
    /// Every other unsynced name is lost, or comes back if it was removed; unsynced bytes
    /// are lost.
    EvenNames,
    /// The same with the other names.
    OddNames,
}

#[derive(Debug, Clone, Default)]
struct Content {
    /// What is read.
    bytes: Vec<u8>,
    /// What the next sync writes: zeros in place of bytes whose sync failed.
    written: Vec<u8>,
    synced: Vec<u8>,
}

impl Content {
    /// Content after a power loss.
    fn after(&self, loss: Loss) -> Vec<u8> {
        let synced = self.synced.len();
        // An unsynced truncation is lost with the bytes.
        if self.written.len() < synced {
            return if matches!(loss, Loss::All | Loss::EvenNames | Loss::OddNames) {
                self.synced.clone()
            } else {
                self.written.clone()
            };
        }
        let half = synced + (self.written.len() - synced) / 2;
        let mut bytes = self.written.clone();
        match loss {
            Loss::All | Loss::EvenNames | Loss::OddNames => bytes.truncate(synced),
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
    /// Set while the disk is full.
    full: Option<Full>,
    crashed: bool,
}

impl State {
    /// Counts an operation and returns the fault injected into it.
    fn operation(&mut self, operation: Operation) -> io::Result<Option<Fault>> {
        self.operations += 1;
        let fault = self.fault.filter(|(at, _)| *at == self.operations);
        self.crashed |= matches!(fault, Some((_, Fault::Crash)));
        if self.crashed || matches!(fault, Some((_, Fault::Fail))) {
            return Err(io::ErrorKind::Other.into());
        }
        if let Some((_, Fault::Full(full))) = fault {
            self.full = Some(full);
            if full.refused == Refused::HalfWrites && operation == Operation::Write {
                return Ok(Some(Fault::Full(full)));
            }
        }
        match self.full {
            Some(full) if full.refused.refuses(operation) => Err(full.kind.into()),
            _ => Ok(fault.map(|(_, fault)| fault)),
        }
    }

    /// Names after a loss of power that undoes every other unsynced change.
    fn names_after(&self, kept: usize) -> BTreeMap<Box<str>, usize> {
        let mut names = self.synced_names.clone();
        let all = self.names.keys().chain(self.synced_names.keys());
        let all: BTreeSet<_> = all.collect();
        let changed = all
            .into_iter()
            .filter(|name| self.names.get(*name) != self.synced_names.get(*name));
        for name in changed.skip(kept).step_by(2) {
            match self.names.get(name) {
                Some(file) => names.insert(name.clone(), *file),
                None => names.remove(name),
            };
        }
        names
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

    /// Lets operations succeed again after a crash that was no loss of power.
    pub fn restart(&self) {
        let mut state = self.state();
        (state.fault, state.full, state.crashed) = (None, None, false);
    }

    /// Returns a folder with the content that survives a power loss.
    pub fn after_power_loss(&self, loss: Loss) -> Self {
        let state = self.state();
        let names = match loss {
            Loss::All => state.synced_names.clone(),
            Loss::EvenNames => state.names_after(0),
            Loss::OddNames => state.names_after(1),
            _ => state.names.clone(),
        };
        let survived = Self::default();
        for (name, file) in names {
            survived.put(&name, state.files[file].after(loss));
        }
        survived
    }

    /// Stores a synced file.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        let file = state.files.len();
        state.files.push(Content {
            synced: bytes.clone(),
            written: bytes.clone(),
            bytes,
        });
        state.names.insert(name.into(), file);
        state.synced_names.insert(name.into(), file);
    }
}

impl LogFile for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.state();
        let fault = state.operation(Operation::Write)?;
        if matches!(state.full, Some(full) if full.refused == Refused::EmptyWrites) {
            return Ok(0);
        }
        let taken = match fault {
            Some(Fault::Short) => bytes[..1].to_vec(),
            Some(Fault::Full(full)) if full.refused == Refused::HalfWrites => {
                bytes[..bytes.len().div_ceil(2)].to_vec()
            }
            Some(Fault::WrongBytes) => vec![0; bytes.len()],
            _ => bytes.to_vec(),
        };
        let content = &mut state.files[self.1];
        content.bytes.extend_from_slice(&taken);
        content.written.extend_from_slice(&taken);
        Ok(taken.len())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.0.state();
        let done = state.operation(Operation::Sync);
        let full = state.full.is_some() && !state.crashed;
        let content = &mut state.files[self.1];
        match &done {
            Ok(_) => content.synced = content.written.clone(),
            Err(_) if full => {
                let synced = content.synced.len().min(content.written.len());
                content.written[synced..].fill(0);
            }
            Err(_) => {}
        }
        done.map(drop)
    }

    fn truncate(&mut self, bytes: u64) -> io::Result<()> {
        let mut state = self.0.state();
        state.operation(Operation::Truncate)?;
        let len = usize::try_from(bytes).expect("length");
        let content = &mut state.files[self.1];
        content.bytes.truncate(len);
        content.written.truncate(len);
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
        state.operation(Operation::Create)?;
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
        state.operation(Operation::Name)?;
        let file = state.find(from)?;
        state.names.remove(from);
        state.names.insert(to.into(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operation(Operation::Name)?;
        state.find(name)?;
        state.names.remove(name);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.state();
        state.operation(Operation::Name)?;
        state.synced_names = state.names.clone();
        Ok(())
    }

    fn wait_for_room(&self) {
        let mut state = self.state();
        if let Some(full) = &mut state.full {
            full.waits = full.waits.saturating_sub(1);
        }
        if let Some(full) = state.full.take_if(|full| full.waits == 0) {
            state.crashed = full.crashes;
        }
    }
}
