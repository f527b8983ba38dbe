//! The log: appending, compaction and recovery.

use {
    crate::{
        Folder, HardState, IsDiskFull as _, LogEntry, LogError, LogFile, Record, Replay, Snapshot,
        atomic_file::{remove, replace, write_all},
        frame, record, retry_while_full,
        segment::{self, Batch, End},
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
/// succeed although an earlier failed sync lost data. While the disk is full it
/// waits, and writes the frame again to a new segment.
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
    /// Last frame of the recovered log until it is written again.
    recovered: Option<LastFrame>,
    stopped: bool,
}

impl<F: Folder> Log<F> {
    /// Opens the log in a folder and recovers its content. What was recovered is
    /// durable after [`Log::rewrite_recovered`].
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
            recovered: None,
            stopped: false,
        };
        let recovered = log.recover()?;
        Ok((log, recovered))
    }

    /// Appends records as one frame and syncs it. The records are durable when
    /// this returns `Ok`. Waits while the disk is full.
    ///
    /// # Errors
    ///
    /// The records may or may not be durable, and the log accepts no more.
    pub fn append(&mut self, records: &[Record]) -> Result<(), LogError> {
        self.rewrite_recovered()?;
        self.append_when_room(records)
    }

    /// Writes the last recovered frame again, unless that has been done. The frame may
    /// not be durable: the process may have ended before its sync, and after a failed
    /// sync the system may still return its bytes, although it won't write them any
    /// more. All frames before it were synced. Waits while the disk is full.
    ///
    /// # Errors
    ///
    /// If a write or sync fails; the log accepts no records.
    pub fn rewrite_recovered(&mut self) -> Result<(), LogError> {
        if self.stopped {
            return Err(LogError::Stopped);
        }
        let Some(last) = self.recovered.take() else {
            return Ok(());
        };
        let result = self.rewrite(last);
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
        self.rewrite_recovered()?;
        // Removed from the oldest on, and each for good, because recovery requires
        // consecutive segments.
        while self
            .closed
            .first()
            .is_some_and(|oldest| oldest.last <= covered)
        {
            let oldest = self.closed.remove(0);
            let removed = remove(&self.folder, &oldest.name).and_then(|()| self.sync_names());
            self.stopped = removed.is_err();
            removed?;
        }
        Ok(())
    }

    /// Folder that holds the files of the log.
    pub const fn folder(&self) -> &F {
        &self.folder
    }

    // -----------------------------------------------------------------------
    // Appending

    /// Writes and syncs one frame. Waits while the disk is full.
    fn append_when_room(&mut self, records: &[Record]) -> Result<(), LogError> {
        let folder = self.folder.clone();
        let wait = || folder.wait_for_room();
        let result = retry_while_full("append", wait, || self.try_append(records));
        self.stopped = result.is_err();
        result
    }

    /// Writes and syncs one frame. If the disk is full, the segment receives no more
    /// frames, since it may end with a part of this one.
    fn try_append(&mut self, records: &[Record]) -> Result<(), LogError> {
        let done = self.write_frame(records);
        if done.as_ref().is_err_and(LogError::is_disk_full) {
            self.close_segment();
        }
        done
    }

    fn write_frame(&mut self, records: &[Record]) -> Result<(), LogError> {
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
        self.close_segment();
        self.active = Some(Active {
            file,
            name,
            bytes: 0,
            last: LogIndex(0),
        });
        Ok(())
    }

    /// Closes the active segment. A segment without a synced frame is not kept: the
    /// next segment has its name.
    fn close_segment(&mut self) {
        if let Some(active) = self.active.take()
            && active.name != segment::name(self.next)
        {
            self.closed.push(Closed {
                name: active.name,
                last: active.last,
            });
        }
    }

    /// Syncs the names of the files. Waits while the disk is full.
    fn sync_names(&self) -> Result<(), LogError> {
        let wait = || self.folder.wait_for_room();
        retry_while_full("sync", wait, || self.folder.sync()).map_err(LogError::io("folder"))
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
        let empty = self.remove_empty_segment(&mut segments)?;
        let end = empty.as_ref().map(|(number, _)| *number);
        let mut cut = empty.map(|(_, cut)| cut);
        let mut last = None;
        let starts: Vec<u64> = segments.iter().map(|(number, _)| *number).collect();
        for (position, (number, name)) in segments.into_iter().enumerate() {
            let follower = starts.get(position + 1).copied();
            let read = self.read_segment(number, name, follower, end)?;
            cut = read.cut.or(cut);
            last = self.replay_segment(&mut replay, read.segment, read.batches)?;
        }
        let (hard_state, entries) = replay.finish().map_err(|err| LogError::Corrupt {
            file: "snapshot".into(),
            offset: 0,
            reason: err.to_string().into(),
        })?;
        self.hard_state = hard_state;
        self.recovered = last;
        Ok(Recovered {
            hard_state,
            snapshot,
            entries,
            cut,
        })
    }

    /// Removes the last segment if the process ended before its first frame was
    /// synced. Returns its number.
    fn remove_empty_segment(
        &mut self,
        segments: &mut Vec<(u64, Box<str>)>,
    ) -> Result<Option<(u64, TornTail)>, LogError> {
        let Some((number, name)) = segments.last().cloned() else {
            return Ok(None);
        };
        let bytes = self.folder.read(&name).map_err(LogError::io(&name))?;
        let read = segment::read(&bytes, number);
        if !read.is_ok_and(|(batches, _)| batches.is_empty()) {
            return Ok(None);
        }
        remove(&self.folder, &name)?;
        // Otherwise the name could come back after a loss of power, when the segment
        // before has gone on.
        self.sync_names()?;
        segments.pop();
        self.next = number;
        let cut = TornTail {
            file: name,
            offset: 0,
            bytes: bytes.len() as u64,
        };
        Ok(Some((number, cut)))
    }

    /// Reads one segment up to the first frame of its follower, if it has one: a frame
    /// for which the disk had no room is written again to a new segment. Only there,
    /// and at the end of the log, may a frame be incomplete. `end` is the number of an
    /// empty segment behind the last one.
    fn read_segment(
        &mut self,
        number: u64,
        name: Box<str>,
        follower: Option<u64>,
        end: Option<u64>,
    ) -> Result<SegmentRead, LogError> {
        let corrupt = |offset: usize, reason: Box<str>| LogError::Corrupt {
            file: name.clone(),
            offset: offset as u64,
            reason,
        };
        let bytes = self.folder.read(&name).map_err(LogError::io(&name))?;
        let (mut batches, state) =
            segment::read(&bytes, number).map_err(|fault| corrupt(fault.offset, fault.reason))?;
        self.next = number + batches.len() as u64;
        if follower.or(end).is_some_and(|end| self.next < end) {
            return Err(match state {
                End::Torn(offset) => {
                    corrupt(offset, "incomplete frame before the last segment".into())
                }
                End::Complete => {
                    let next = self.next;
                    let reason = format!("the segment that starts with frame {next} is missing");
                    corrupt(bytes.len(), reason.into())
                }
            });
        }
        let cut = match state {
            End::Torn(offset) if follower.is_none() => Some(TornTail {
                file: name.clone(),
                offset: offset as u64,
                bytes: (bytes.len() - offset) as u64,
            }),
            _ => None,
        };
        if let Some(follower) = follower.filter(|it| *it < self.next) {
            batches.truncate(usize::try_from(follower - number).unwrap_or(usize::MAX));
            self.next = follower;
        }
        let segment = Closed {
            name,
            last: LogIndex(0),
        };
        Ok(SegmentRead {
            segment,
            batches,
            cut,
        })
    }

    /// Replays the frames of a segment and returns the last one.
    fn replay_segment(
        &mut self,
        replay: &mut Replay,
        mut segment: Closed,
        batches: Vec<Batch>,
    ) -> Result<Option<LastFrame>, LogError> {
        let starts_segment = batches.len() == 1;
        let last = batches.last().cloned();
        for batch in batches {
            let greatest = batch.records.iter().filter_map(Record::index).max();
            segment.last = segment.last.max(greatest.unwrap_or(LogIndex(0)));
            for record in batch.records {
                replay.push(record).map_err(|err| LogError::Corrupt {
                    file: segment.name.clone(),
                    offset: batch.offset as u64,
                    reason: err.to_string().into(),
                })?;
            }
        }
        self.closed.push(segment);
        Ok(last.map(|batch| LastFrame {
            starts_segment,
            batch,
        }))
    }

    /// Writes the last recovered frame again.
    fn rewrite(&mut self, last: LastFrame) -> Result<(), LogError> {
        let LastFrame {
            starts_segment,
            batch,
        } = last;
        self.next -= 1;
        if !starts_segment {
            let before = self.closed.last().map(|it| it.name.clone());
            self.append_when_room(&batch.records)?;
            return before.map_or(Ok(()), |name| self.truncate(&name, batch.offset));
        }
        let Some(Closed { name, last }) = self.closed.pop() else {
            return Ok(());
        };
        let mut buf = record::encode(frame::start(), &batch.records)?;
        frame::seal(&mut buf, self.next)?;
        replace(&self.folder, &name, &buf)?;
        let file = self.folder.append(&name).map_err(LogError::io(&name))?;
        self.active = Some(Active {
            file,
            name,
            bytes: buf.len() as u64,
            last,
        });
        self.next += 1;
        Ok(())
    }

    /// Truncates a closed segment. Waits while the disk is full.
    fn truncate(&self, name: &str, bytes: usize) -> Result<(), LogError> {
        let truncate = || self.folder.append(name)?.truncate(bytes as u64);
        retry_while_full("truncate", || self.folder.wait_for_room(), truncate)
            .map_err(LogError::io(name))
    }
}

/// A segment that recovery has read.
#[derive(Debug)]
struct SegmentRead {
    segment: Closed,
    /// Frames that don't start a later segment again.
    batches: Vec<Batch>,
    /// The incomplete frame at the end of the log.
    cut: Option<TornTail>,
}

/// The last frame of a recovered log.
#[derive(Debug)]
struct LastFrame {
    /// Whether it is the first one of its segment.
    starts_segment: bool,
    batch: Batch,
}
