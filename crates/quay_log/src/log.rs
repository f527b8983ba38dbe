//! The log: appends, snapshots, recovery.

use {
    crate::{
        Folder, HardState, LogEntry, LogError, LogFile, Record, Replay, Snapshot,
        atomic_file::write_all,
        frame, record,
        segment::{self, End},
        snapshot,
    },
    quay_types::{Epoch, LogIndex},
};

/// Limits of a log.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// A segment that has reached this size is closed.
    pub segment_bytes: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
        }
    }
}

/// An incomplete last frame that was cut; it was never reported as saved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TornTail {
    /// The file.
    pub file: Box<str>,
    /// Where the frame started.
    pub offset: u64,
    /// Bytes that were cut.
    pub bytes: u64,
}

/// What a log held when it was opened.
#[derive(Debug, Clone, Default)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, contiguous.
    pub entries: Vec<LogEntry>,
    /// What was cut.
    pub cut: Option<TornTail>,
}

/// A segment that takes no more frames.
#[derive(Debug)]
struct Closed {
    name: Box<str>,
    /// Greatest index of its entries.
    last: LogIndex,
}

/// The segment that takes frames.
#[derive(Debug)]
struct Active<T> {
    file: T,
    name: Box<str>,
    bytes: u64,
    /// Greatest index of its entries.
    last: LogIndex,
}

/// A durable log. After the first failed write or sync it takes nothing more:
/// what the disk holds is unknown, and a later sync could report bytes as saved
/// that an earlier one has lost.
#[derive(Debug)]
pub struct Log<F: Folder> {
    folder: F,
    cfg: LogSettings,
    /// Oldest first.
    closed: Vec<Closed>,
    active: Option<Active<F::File>>,
    /// Number of the next frame.
    next: u64,
    /// Repeated at the start of each segment, so that older ones can go.
    hard_state: HardState,
    stopped: bool,
}

impl<F: Folder> Log<F> {
    /// Opens the log of a folder and recovers what it holds.
    ///
    /// # Errors
    ///
    /// [`LogError::Corrupt`] names file and offset.
    pub fn open(folder: F, cfg: LogSettings) -> Result<(Self, Recovered), LogError> {
        let mut log = Self {
            folder,
            cfg,
            closed: Vec::new(),
            active: None,
            next: 1,
            hard_state: HardState::default(),
            stopped: false,
        };
        let recovered = log.recover()?;
        log.hard_state = recovered.hard_state;
        Ok((log, recovered))
    }

    /// Saves records as one frame with one sync. Once this returns they survive.
    ///
    /// # Errors
    ///
    /// Nothing is acknowledged and the log takes nothing more.
    pub fn append(&mut self, records: &[Record]) -> Result<(), LogError> {
        if self.stopped {
            return Err(LogError::Stopped);
        }
        let saved = self.try_append(records);
        self.stopped = saved.is_err();
        saved
    }

    /// Removes the segments whose entries a saved snapshot covers.
    ///
    /// # Errors
    ///
    /// If a file can't be removed; the log takes nothing more.
    pub fn compact(&mut self, covered: LogIndex) -> Result<(), LogError> {
        if self.stopped {
            return Err(LogError::Stopped);
        }
        // Only the oldest may go: recovery asks for consecutive segments.
        while self
            .closed
            .first()
            .is_some_and(|oldest| oldest.last <= covered)
        {
            let oldest = self.closed.remove(0);
            let removed = self.folder.remove(&oldest.name);
            self.stopped = removed.is_err();
            removed.map_err(LogError::io(&oldest.name))?;
        }
        Ok(())
    }

    /// The folder of the log.
    pub const fn folder(&self) -> &F {
        &self.folder
    }

    // -----------------------------------------------------------------------
    // Appending

    /// Writes and syncs one frame.
    fn try_append(&mut self, records: &[Record]) -> Result<(), LogError> {
        let full = |active: &Active<F::File>| active.bytes >= self.cfg.segment_bytes;
        let starts = self.active.as_ref().is_none_or(full);
        let mut buf = frame::start();
        if starts {
            buf = record::encode(buf, [&Record::HardState(self.hard_state)])?;
        }
        buf = record::encode(buf, records)?;
        frame::seal(&mut buf, self.next)?;
        if starts {
            self.start_segment()?;
        }
        if let Some(active) = &mut self.active {
            write_all(&mut active.file, &buf).map_err(LogError::io(&active.name))?;
            active.file.sync().map_err(LogError::io(&active.name))?;
            active.bytes += buf.len() as u64;
            let indices = records.iter().filter_map(Record::index);
            active.last = indices.fold(active.last, LogIndex::max);
        }
        if starts {
            self.folder.sync().map_err(LogError::io("folder"))?;
        }
        self.next += 1;
        for record in records {
            if let Record::HardState(hard_state) = record {
                self.hard_state = *hard_state;
            }
        }
        Ok(())
    }

    /// Makes a new segment the active one.
    fn start_segment(&mut self) -> Result<(), LogError> {
        let name = segment::name(self.next);
        let file = self.folder.create(&name).map_err(LogError::io(&name))?;
        let active = Active {
            file,
            name,
            bytes: 0,
            last: LogIndex(0),
        };
        if let Some(full) = self.active.replace(active) {
            self.closed.push(Closed {
                name: full.name,
                last: full.last,
            });
        }
        Ok(())
    }

    // -----------------------------------------------------------------------
    // Recovery

    /// Reads snapshot and segments.
    fn recover(&mut self) -> Result<Recovered, LogError> {
        let snapshot = snapshot::recover(&self.folder)?;
        let covered = snapshot
            .as_ref()
            .map_or((LogIndex(0), Epoch(0)), |held| (held.index, held.term));
        let mut replay = Replay::new(covered.0, covered.1);
        let names = self.folder.list().map_err(LogError::io("folder"))?;
        let mut segments: Vec<(u64, Box<str>)> = names
            .into_iter()
            .filter_map(|name| segment::number(&name).map(|number| (number, name)))
            .collect();
        segments.sort_unstable();
        let mut cut = None;
        let count = segments.len();
        for (slot, (number, name)) in segments.into_iter().enumerate() {
            let last = slot + 1 == count;
            cut = self.recover_segment(&mut replay, number, name, last)?;
        }
        let (hard_state, entries) = replay.finish().map_err(|err| LogError::Corrupt {
            file: "snapshot".into(),
            offset: 0,
            reason: err.to_string().into(),
        })?;
        Ok(Recovered {
            hard_state,
            snapshot,
            entries,
            cut,
        })
    }

    /// Reads one segment; only the last may have a torn tail.
    fn recover_segment(
        &mut self,
        replay: &mut Replay,
        number: u64,
        name: Box<str>,
        last: bool,
    ) -> Result<Option<TornTail>, LogError> {
        let corrupt = |offset: usize, reason: Box<str>| LogError::Corrupt {
            file: name.clone(),
            offset: offset as u64,
            reason,
        };
        let first = self.active.is_none() && self.closed.is_empty();
        if !first && number != self.next {
            let reason = format!("the segment with frame {} is missing", self.next);
            return Err(corrupt(0, reason.into()));
        }
        let bytes = self.folder.read(&name).map_err(LogError::io(&name))?;
        let (batches, end) =
            segment::read(&bytes, number).map_err(|fault| corrupt(fault.offset, fault.reason))?;
        let kept = match end {
            End::Whole => bytes.len(),
            End::Torn(offset) if last => offset,
            End::Torn(offset) => {
                return Err(corrupt(
                    offset,
                    "a frame before the last segment is bad".into(),
                ));
            }
        };
        let mut greatest = LogIndex(0);
        self.next = number + batches.len() as u64;
        for batch in batches {
            for record in batch.records {
                greatest = record.index().map_or(greatest, |index| greatest.max(index));
                replay
                    .push(record)
                    .map_err(|err| corrupt(batch.offset, err.to_string().into()))?;
            }
        }
        self.adopt(name, kept, bytes.len(), greatest)
    }

    /// Makes a recovered segment the active one, less its torn tail.
    fn adopt(
        &mut self,
        name: Box<str>,
        kept: usize,
        bytes: usize,
        last: LogIndex,
    ) -> Result<Option<TornTail>, LogError> {
        let cut = (kept < bytes).then(|| TornTail {
            file: name.clone(),
            offset: kept as u64,
            bytes: (bytes - kept) as u64,
        });
        if kept == 0 {
            // The crash came before its first frame was synced.
            self.folder.remove(&name).map_err(LogError::io(&name))?;
            return Ok(cut);
        }
        let mut file = self.folder.append(&name).map_err(LogError::io(&name))?;
        if cut.is_some() {
            file.truncate(kept as u64).map_err(LogError::io(&name))?;
        }
        // What was read may not be synced, if the process died after a write.
        file.sync().map_err(LogError::io(&name))?;
        let active = Active {
            file,
            name,
            bytes: kept as u64,
            last,
        };
        if let Some(full) = self.active.replace(active) {
            self.closed.push(Closed {
                name: full.name,
                last: full.last,
            });
        }
        Ok(cut)
    }
}
