//! Thread that writes a replica's log. All queued writes share one sync.

use {
    quay_log::{DiskFolder, HardState, Log, LogError, Record, Snapshot, save_snapshot},
    quay_quorum::{Persist, PersistId},
    quay_types::LogIndex,
    std::sync::mpsc::Receiver,
};

/// Job of the thread that writes the log.
#[derive(Debug)]
pub enum DiskJob {
    /// Append the term, vote and entries.
    Save(Persist),
    /// Replace the stored state by a snapshot from the leader.
    Restore {
        /// Identifier of the write, reported once it is synced.
        persist_id: PersistId,
        /// The snapshot.
        snapshot: Box<Snapshot>,
        /// Whether log entries after the snapshot are kept.
        keep: bool,
    },
    /// Drop the entries up to this index, which a snapshot covers.
    Compact(LogIndex),
}

/// Makes the recovered state durable, which is the write `recovered`, and runs jobs
/// until the last sender is dropped. Calls `synced` with the identifier of the last
/// write of each batch once the batch is synced.
pub fn run(
    log: &mut Log<DiskFolder>,
    recovered: PersistId,
    jobs: &Receiver<DiskJob>,
    sync_each: bool,
    synced: impl Fn(PersistId),
) -> Result<(), LogError> {
    log.rewrite_recovered()?;
    synced(recovered);
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

/// Records that are written and synced together as one frame.
#[derive(Default)]
struct Batch {
    records: Vec<Record>,
    /// Identifier of the latest write in the batch.
    persist_id: Option<PersistId>,
    /// Whether each record is written and synced as a frame of its own.
    sync_each: bool,
}

impl Batch {
    /// Adds the records of a job to the batch. A job without records flushes the
    /// batch first and is run at once, which keeps the order of the jobs.
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
                persist_id,
                snapshot,
                keep,
            } => {
                self.flush(log, synced)?;
                save_snapshot(log.folder(), &snapshot)?;
                if !keep {
                    log.append(&[Record::Reset])?;
                }
                synced(persist_id);
                Ok(())
            }
        }
    }

    /// Adds the records of a write.
    fn add(&mut self, persist: Persist) -> Result<(), LogError> {
        self.persist_id = Some(persist.id);
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

    /// Writes the batch and syncs it.
    fn flush(
        &mut self,
        log: &mut Log<DiskFolder>,
        synced: &impl Fn(PersistId),
    ) -> Result<(), LogError> {
        let Some(persist_id) = self.persist_id.take() else {
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
        synced(persist_id);
        Ok(())
    }
}
