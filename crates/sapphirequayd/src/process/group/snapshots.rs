//! Thread that saves snapshots and sends them to peers.

use {
    super::{GroupEvent, disk::DiskJob, peers::Peers, storage},
    quay_log::{DiskFolder, LogError, save_snapshot},
    quay_quorum::{Message, SnapshotMeta},
    quay_types::{Epoch, NodeId},
    serde::Serialize,
    std::sync::mpsc::{Receiver, Sender},
};

/// Job of the snapshot thread.
#[derive(Debug)]
pub enum SnapshotJob<S> {
    /// Save the state after the entry that the metadata names.
    Save(SnapshotMeta, S),
    /// Send the latest snapshot to a peer that lacks entries.
    Send {
        /// The peer.
        to: NodeId,
        /// Term of the leader.
        term: Epoch,
    },
}

/// Saves snapshots and sends them to peers, on a thread of its own.
pub struct SnapshotWorker {
    /// Data folder of the replica.
    pub folder: DiskFolder,
    /// Senders to the other replicas.
    pub peers: Peers,
    /// Jobs for the thread that writes the log, which compacts the log after
    /// each snapshot.
    pub disk: Sender<DiskJob>,
}

impl SnapshotWorker {
    /// Runs jobs until the last sender is dropped, and reports their outcomes.
    pub fn run<S: Serialize>(&self, jobs: &Receiver<SnapshotJob<S>>, report: impl Fn(GroupEvent)) {
        while let Ok(job) = jobs.recv() {
            match job {
                SnapshotJob::Save(meta, state) => {
                    let index = meta.position.index;
                    let done = self.save(&meta, &state);
                    if let Err(err) = &done {
                        log::error!("event=snapshot_failed index={index} cause={err:?}");
                    }
                    report(match done {
                        Ok(()) => GroupEvent::SnapshotSaved(index),
                        Err(_) => GroupEvent::SnapshotFailed,
                    });
                }
                SnapshotJob::Send { to, term } => {
                    if self.send(to, term) {
                        report(GroupEvent::SnapshotQueued(to));
                    }
                }
            }
        }
    }

    /// Saves a snapshot, then requests compaction of the entries it covers.
    fn save(&self, meta: &SnapshotMeta, state: &impl Serialize) -> Result<(), LogError> {
        let data = postcard::to_stdvec(state).map_err(LogError::Encode)?;
        let snapshot = storage::encode_snapshot(meta, data.into())?;
        save_snapshot(&self.folder, &snapshot)?;
        let _ = self.disk.send(DiskJob::Compact(snapshot.index));
        Ok(())
    }

    /// Queues the latest snapshot for a peer. Returns `false` if there is none.
    fn send(&self, to: NodeId, term: Epoch) -> bool {
        match storage::latest_snapshot(&self.folder) {
            Ok(Some(storage::StoredSnapshot { meta, data })) => {
                let index = meta.position.index;
                log::info!(
                    "event=snapshot_sent peer={to} index={index} bytes={}",
                    data.len()
                );
                self.peers.send(to, Message::Snapshot { term, meta, data });
                return true;
            }
            Ok(None) => log::error!("event=snapshot_missing peer={to}"),
            Err(err) => log::error!("event=snapshot_unreadable peer={to} cause={err:?}"),
        }
        false
    }
}
