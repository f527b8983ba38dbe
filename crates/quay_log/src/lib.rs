//! Segmented durable log with checksums and snapshots.
//!
//! Records that are appended together form one frame, which is written and
//! synced once and carries one checksum. An append is acknowledged only after
//! its sync. After a crash only the last frame can be incomplete, and recovery
//! truncates it. Corruption before the last frame is an error, because the
//! frames after the damaged one were acknowledged.
//!
//! An append waits while the disk is full. Its frame then starts a new segment, and
//! recovery ignores what is left of it at the end of the segment before.
//!
//! ```
//! use quay_log::{DiskFolder, Log, LogSettings, Record};
//! use quay_types::{Epoch, LogIndex};
//!
//! let dir = tempfile::tempdir().expect("folder");
//! let folder = DiskFolder::create(dir.path()).expect("folder");
//! let entry = Record::Entry { index: LogIndex(1), term: Epoch(1), body: [7].into() };
//! let (mut log, _) = Log::open(folder.clone(), LogSettings::default()).expect("log");
//! log.append(&[entry]).expect("appended");
//! drop(log);
//!
//! let (_, recovered) = Log::open(folder, LogSettings::default()).expect("log");
//! assert_eq!(recovered.entries.len(), 1);
//! ```

mod atomic_file;
mod disk_full;
mod error;
mod folder;
mod frame;
mod inspect;
mod log;
mod record;
mod replay;
mod segment;
mod snapshot;

pub use {
    atomic_file::{TEMP_SUFFIX, read_checked, write_atomic},
    disk_full::{IsDiskFull, retry_while_full},
    error::LogError,
    folder::{DiskFile, DiskFolder, Folder, LogFile},
    inspect::{FileReport, inspect},
    log::{Log, LogSettings, Recovered, TornTail},
    record::{HardState, LogEntry, Record},
    replay::{Replay, ReplayError},
    snapshot::{Snapshot, read_newest_snapshot, save_snapshot},
};
