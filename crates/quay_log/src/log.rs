//! The log: appending, compaction and recovery.

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

/// Settings of a log.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// Size in bytes at which a segment is closed and the next one is started.
    pub segment_bytes: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
        }
    }
}

/// An incomplete last frame that recovery removed. The frame was never
/// acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TornTail {
    /// Name of the segment.
    pub file: Box<str>,
    /// Byte offset at which the frame started.
    pub offset: u64,
    /// Number of bytes removed.
    pub bytes: u64,
}

/// Content of a log when it was opened.
#[derive(Debug, Clone, Default)]
pub struct Recovered {
    /// Latest term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, contiguous.
    pub entries: Vec<LogEntry>,
    /// The incomplete last frame that was removed, if any.
    pub cut: Option<TornTail>,
}

/// A full segment, which receives no more frames.
#[derive(Debug)]
struct Closed {
    name: Box<str>,
    /// Largest index of the entries in the segment.
    last: LogIndex,
}

/// The segment that new frames are appended to.
#[derive(Debug)]
struct Active<T> {
    file: T,
    name: Box<str>,
    bytes: u64,
    /// Largest index of the entries in the segment.
    last: LogIndex,
}

/// A durable log. After the first failed write or sync it rejects all further
/// operations: the content of the disk is unknown, and a later sync could
/// succeed although an earlier failed sync lost data.
#[derive(Debug)]
pub struct Log<F: Folder> {
    folder: F,
    cfg: LogSettings,
    /// Closed segments, oldest first.
    closed: Vec<Closed>,
    active: Option<Active<F::File>>,
    /// Number of the next frame to write.
    next: u64,
    /// Latest term and vote; repeated at the start of each segment, so that
    /// older segments can be removed.
    hard_state: HardState,
    stopped: bool,
}

impl<F: Folder> Log<F> {
    /// Opens the log in a folder and recovers its content.
    ///
    /// # Errors
    ///
    /// [`LogError::Corrupt`] with file and offset if acknowledged data is
    /// corrupt.
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

    /// Appends records as one frame and syncs it. The records are durable when
    /// this returns `Ok`.
    ///
    /// # Errors
    ///
    /// The records may or may not be durable, and the log accepts no more.
    pub fn append(&mut self, records: &[Record]) -> Result<(), LogError> {
        if self.stopped {
            return Err(LogError::Stopped);
        }
        let result = self.try_append(records);
        self.stopped = result.is_err();
        result
    }

    /// Removes the closed segments whose entries are all covered by a saved
    /// snapshot, that is, have an index up to `covered`.
    ///
    /// # Errors
    ///
    /// If a file can't be removed; the log accepts no more records.
    pub fn compact(&mut self, covered: LogIndex) -> Result<(), LogError> {
        if self.stopped {
            return Err(LogError::Stopped);
        }
        // Removed from the oldest on, because recovery requires consecutive
        // segments.
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

    /// Folder that holds the files of the log.
    pub const fn folder(&self) -> &F {
        &self.folder
    }

    // -----------------------------------------------------------------------
    // Appending

    /// Writes and syncs one frame.
    fn try_append(&mut self, records: &[Record]) -> Result<(), LogError> {
        let full = |active: &Active<F::File>| active.bytes >= self.cfg.segment_bytes;
        let starts_segment = self.active.as_ref().is_none_or(full);
        let mut buf = frame::start();
        if starts_segment {
            buf = record::encode(buf, [&Record::HardState(self.hard_state)])?;
        }
        buf = record::encode(buf, records)?;
        frame::seal(&mut buf, self.next)?;
        if starts_segment {
            self.start_segment()?;
        }
        if let Some(active) = &mut self.active {
            write_all(&mut active.file, &buf).map_err(LogError::io(&active.name))?;
            active.file.sync().map_err(LogError::io(&active.name))?;
            active.bytes += buf.len() as u64;
            let indices = records.iter().filter_map(Record::index);
            active.last = indices.fold(active.last, LogIndex::max);
        }
        if starts_segment {
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

    /// Creates a segment and makes it the active one.
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

    /// Reads the newest snapshot and all segments.
    fn recover(&mut self) -> Result<Recovered, LogError> {
        let snapshot = snapshot::recover(&self.folder)?;
        let covered = snapshot
            .as_ref()
            .map_or((LogIndex(0), Epoch(0)), |snapshot| {
                (snapshot.index, snapshot.term)
            });
        let mut replay = Replay::new(covered.0, covered.1);
        let names = self.folder.list().map_err(LogError::io("folder"))?;
        let mut segments: Vec<(u64, Box<str>)> = names
            .into_iter()
            .filter_map(|name| segment::number(&name).map(|number| (number, name)))
            .collect();
        segments.sort_unstable();
        let mut cut = None;
        let count = segments.len();
        for (position, (number, name)) in segments.into_iter().enumerate() {
            let last = position + 1 == count;
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

    /// Reads one segment; only the last segment may have a torn tail.
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
            let reason = format!(
                "the segment that starts with frame {} is missing",
                self.next
            );
            return Err(corrupt(0, reason.into()));
        }
        let bytes = self.folder.read(&name).map_err(LogError::io(&name))?;
        let (batches, end) =
            segment::read(&bytes, number).map_err(|fault| corrupt(fault.offset, fault.reason))?;
        let kept = match end {
            End::Complete => bytes.len(),
            End::Torn(offset) if last => offset,
            End::Torn(offset) => {
                return Err(corrupt(
                    offset,
                    "incomplete frame before the last segment".into(),
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
        self.activate(name, kept, bytes.len(), greatest)
    }

    /// Removes the torn tail of a recovered segment and makes the segment the
    /// active one.
    fn activate(
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
            // The process crashed before the first frame of the segment was
            // synced.
            self.folder.remove(&name).map_err(LogError::io(&name))?;
            return Ok(cut);
        }
        let mut file = self.folder.append(&name).map_err(LogError::io(&name))?;
        if cut.is_some() {
            file.truncate(kept as u64).map_err(LogError::io(&name))?;
        }
        // The data may be unsynced if the process crashed between write and
        // sync.
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
