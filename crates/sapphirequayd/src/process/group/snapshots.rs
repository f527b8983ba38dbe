//! The thread that saves snapshots and reads them for peers.

use {
    super::{disk::DiskJob, peers::Peers, storage},
    quay_log::{DiskFolder, LogError, save_snapshot},
    quay_quorum::{Message, SnapshotMeta},
    quay_types::{Epoch, LogIndex, NodeId},
    serde::Serialize,
    std::sync::mpsc::{Receiver, Sender},
};

/// What the thread is told.
#[derive(Debug)]
pub enum SnapshotJob<S> {
    /// Save the state after an entry.
    Save(SnapshotMeta, S),
    /// Send the latest snapshot to a peer that lacks entries.
    Send {
        /// The peer.
        to: NodeId,
        /// Term of the leader.
        term: Epoch,
    },
}

/// The thread that saves snapshots and reads them for peers.
pub struct Snapshots {
    /// Folder of the replica.
    pub folder: DiskFolder,
    /// Where snapshots are sent.
    pub peers: Peers,
    /// The log's thread, which drops what a snapshot covers.
    pub disk: Sender<DiskJob>,
}

impl Snapshots {
    /// Works until the last sender is gone; tells the index of each save, or
    /// `None` if it failed.
    pub fn run<S: Serialize>(
        &self,
        jobs: &Receiver<SnapshotJob<S>>,
        saved: impl Fn(Option<LogIndex>),
    ) {
        while let Ok(job) = jobs.recv() {
            match job {
                SnapshotJob::Save(meta, state) => {
                    let index = meta.position.index;
                    let done = self.save(&meta, &state);
                    if let Err(err) = &done {
                        log::error!("event=snapshot_failed index={index} cause={err:?}");
                    }
                    saved(done.ok().map(|()| index));
                }
                SnapshotJob::Send { to, term } => self.send(to, term),
            }
        }
    }

    /// Saves a snapshot and lets the log drop what it covers.
    fn save(&self, meta: &SnapshotMeta, state: &impl Serialize) -> Result<(), LogError> {
        let data = postcard::to_stdvec(state).map_err(LogError::Encode)?;
        let snapshot = storage::snapshot_of(meta, data.into())?;
        save_snapshot(&self.folder, &snapshot)?;
        let _ = self.disk.send(DiskJob::Compact(snapshot.index));
        Ok(())
    }

    /// Sends the latest snapshot.
    fn send(&self, to: NodeId, term: Epoch) {
        match storage::latest_snapshot(&self.folder) {
            Ok(Some(storage::Stored { meta, data })) => {
                let index = meta.position.index;
                log::info!(
                    "event=snapshot_sent peer={to} index={index} bytes={}",
                    data.len()
                );
                self.peers.send(to, Message::Snapshot { term, meta, data });
            }
            Ok(None) => log::error!("event=snapshot_missing peer={to}"),
            Err(err) => log::error!("event=snapshot_unreadable peer={to} cause={err:?}"),
        }
    }
}
