//! The durable log: recovery against its length.

use {
    crate::capacity::{Slope, slope::least_us},
    quay_log::{DiskFolder, Log, LogError, LogSettings, Record},
    quay_types::{Epoch, LogIndex},
    std::{io, path::Path},
};

/// Records in the log.
const RECORDS: [u32; 4] = [20_000, 40_000, 80_000, 160_000];

/// Records of one append.
const BATCH: u32 = 1_000;

/// Bytes of a record's body: one command without text.
const BODY_BYTES: usize = 150;

/// Writes a log with so many records and measures its recovery, in milliseconds.
fn recovery(scratch: &Path, records: u32) -> io::Result<f64> {
    let path = scratch.join(records.to_string());
    let folder = DiskFolder::create(&path)?;
    let (mut log, _) = Log::open(folder.clone(), LogSettings::default()).map_err(failed)?;
    for batch in 0..records / BATCH {
        let record = |number: u32| Record::Entry {
            index: LogIndex(u64::from(batch * BATCH + number) + 1),
            term: Epoch(1),
            body: vec![7; BODY_BYTES].into(),
        };
        log.append(&(0..BATCH).map(record).collect::<Vec<_>>())
            .map_err(failed)?;
    }
    drop(log);
    let mut unread = None;
    let us = least_us(1, || {
        if let Err(err) = Log::open(folder.clone(), LogSettings::default()) {
            unread = Some(err);
        }
    });
    unread.map_or(Ok(us / 1e3), |err| Err(failed(err)))
}

/// Slopes of the log.
pub fn slopes(scratch: &Path) -> io::Result<Vec<Slope>> {
    let mut failed = None;
    let slope = Slope::measure("log.recovery", "records", "ms", &RECORDS, |records| {
        recovery(scratch, records).unwrap_or_else(|err| {
            failed = Some(err);
            f64::NAN
        })
    });
    match failed {
        Some(err) => Err(err),
        None => Ok(vec![slope]),
    }
}

/// The error of a log as one of files.
#[allow(clippy::needless_pass_by_value)] // Fits `map_err`.
fn failed(err: LogError) -> io::Error {
    io::Error::other(err.to_string())
}
