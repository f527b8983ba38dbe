//! The thread that writes a replica's log: one sync for all that waits.

use {
    quay_log::{DiskFolder, HardState, Log, LogError, Record, Snapshot, save_snapshot},
    quay_quorum::{Persist, PersistId},
    quay_types::LogIndex,
    std::sync::mpsc::Receiver,
};

/// What the thread is told.
#[derive(Debug)]
pub enum DiskJob {
    /// Save term, vote and entries.
    Save(Persist),
    /// Replace all that is saved by a snapshot of the leader.
    Restore {
        /// Number of the save.
        ticket: PersistId,
        /// The snapshot.
        snapshot: Box<Snapshot>,
        /// Whether entries after the snapshot stay.
        keep: bool,
    },
    /// A snapshot covers the entries up to this index.
    Compact(LogIndex),
}

/// Writes until the last sender is gone; tells each ticket that is synced.
pub fn run(
    log: &mut Log<DiskFolder>,
    jobs: &Receiver<DiskJob>,
    sync_each: bool,
    synced: impl Fn(PersistId),
) -> Result<(), LogError> {
    let mut batch = Batch {
        sync_each,
        ..Batch::default()
    };
    while let Ok(job) = jobs.recv() {
        batch.take(log, job, &synced)?;
        while let Ok(job) = jobs.try_recv() {
            batch.take(log, job, &synced)?;
        }
        batch.flush(log, &synced)?;
    }
    Ok(())
}

/// Records that go into the next frame.
#[derive(Default)]
struct Batch {
    records: Vec<Record>,
    ticket: Option<PersistId>,
    /// Whether each record is a frame of its own.
    sync_each: bool,
}

impl Batch {
    /// Adds a job; those that are no records are carried out in their turn.
    fn take(
        &mut self,
        log: &mut Log<DiskFolder>,
        job: DiskJob,
        synced: &impl Fn(PersistId),
    ) -> Result<(), LogError> {
        match job {
            DiskJob::Save(persist) => self.add(persist),
            DiskJob::Compact(index) => {
                self.flush(log, synced)?;
                log.compact(index)
            }
            DiskJob::Restore {
                ticket,
                snapshot,
                keep,
            } => {
                self.flush(log, synced)?;
                save_snapshot(log.folder(), &snapshot)?;
                if !keep {
                    log.append(&[Record::Reset])?;
                }
                synced(ticket);
                Ok(())
            }
        }
    }

    /// Adds the records of a save.
    fn add(&mut self, persist: Persist) -> Result<(), LogError> {
        self.ticket = Some(persist.id);
        if let Some(hard) = persist.hard_state {
            self.records.push(Record::HardState(HardState {
                term: hard.term,
                vote: hard.vote,
            }));
        }
        for entry in persist.entries {
            self.records.push(Record::Entry {
                index: entry.position.index,
                term: entry.position.term,
                body: postcard::to_stdvec(&entry.payload)
                    .map_err(LogError::Encode)?
                    .into(),
            });
        }
        Ok(())
    }

    /// Writes the frame with one sync.
    fn flush(
        &mut self,
        log: &mut Log<DiskFolder>,
        synced: &impl Fn(PersistId),
    ) -> Result<(), LogError> {
        let Some(ticket) = self.ticket.take() else {
            return Ok(());
        };
        if self.sync_each {
            for record in self.records.drain(..) {
                log.append(&[record])?;
            }
        } else {
            log.append(&self.records)?;
            self.records.clear();
        }
        synced(ticket);
        Ok(())
    }
}
