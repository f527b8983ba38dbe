//! Log measurements: recovery time by number of records.

use {
    crate::capacity::{Slope, slope::min_time_us},
    quay_log::{DiskFolder, Log, LogError, LogSettings, Record},
    quay_types::{Epoch, LogIndex},
    std::{io, path::Path},
};

/// Numbers of records in the log.
const RECORDS: [u32; 4] = [20_000, 40_000, 80_000, 160_000];

/// Number of records per append.
const BATCH: u32 = 1_000;

/// Size in bytes of a record's body, like that of a command without text.
const BODY_BYTES: usize = 150;

/// Writes a log with the given number of records and returns its recovery time in
/// milliseconds.
fn recovery(scratch: &Path, records: u32) -> io::Result<f64> {
    let path = scratch.join(records.to_string());
    let folder = DiskFolder::create(&path)?;
    let (mut log, _) = Log::open(folder.clone(), LogSettings::default()).map_err(to_io_error)?;
    for batch in 0..records / BATCH {
        let record = |number: u32| Record::Entry {
            index: LogIndex(u64::from(batch * BATCH + number) + 1),
            term: Epoch(1),
            body: vec![7; BODY_BYTES].into(),
        };
        log.append(&(0..BATCH).map(record).collect::<Vec<_>>())
            .map_err(to_io_error)?;
    }
    drop(log);
    let mut open_error = None;
    let us = min_time_us(1, || {
        if let Err(err) = Log::open(folder.clone(), LogSettings::default()) {
            open_error = Some(err);
        }
    });
    open_error.map_or(Ok(us / 1e3), |err| Err(to_io_error(err)))
}

/// Measures the slopes of the log.
pub fn slopes(scratch: &Path) -> io::Result<Vec<Slope>> {
    let mut io_error = None;
    let slope = Slope::measure("log.recovery", "records", "ms", &RECORDS, |records| {
        recovery(scratch, records).unwrap_or_else(|err| {
            io_error = Some(err);
            f64::NAN
        })
    });
    match io_error {
        Some(err) => Err(err),
        None => Ok(vec![slope]),
    }
}

/// Converts a log error to an I/O error.
#[allow(clippy::needless_pass_by_value)] // Fits `map_err`.
fn to_io_error(err: LogError) -> io::Error {
    io::Error::other(err.to_string())
}
