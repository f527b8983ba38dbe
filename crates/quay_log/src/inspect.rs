//! Reports the content of the files in a folder without changing them.

use {
    crate::{
        Folder, LogError, Record,
        segment::{self, End},
        snapshot,
    },
    quay_types::LogIndex,
    std::fmt,
};

/// Fault reported for an incomplete last frame.
const TORN_TAIL: &str = "torn tail";

/// Content of one file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileReport {
    /// Name of the file.
    pub name: Box<str>,
    /// Size of the file in bytes.
    pub bytes: u64,
    /// Number of valid frames.
    pub frames: u64,
    /// Number of entries in the frames, including replaced ones.
    pub entries: u64,
    /// Smallest and largest index of the entries, or the index of a snapshot.
    pub range: Option<(LogIndex, LogIndex)>,
    /// Byte offset and description of the first fault.
    pub fault: Option<(u64, Box<str>)>,
}

impl FileReport {
    /// Whether the only fault is an incomplete last frame, which recovery
    /// truncates if the file is the last segment.
    #[must_use]
    pub fn is_torn(&self) -> bool {
        matches!(&self.fault, Some((_, reason)) if &**reason == TORN_TAIL)
    }
}

impl fmt::Display for FileReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} bytes={} frames={} entries={}",
            self.name, self.bytes, self.frames, self.entries
        )?;
        if let Some((first, last)) = self.range {
            write!(f, " first={first} last={last}")?;
        }
        match &self.fault {
            Some((offset, reason)) => write!(f, " fault_offset={offset} fault={reason:?}"),
            None => Ok(()),
        }
    }
}

/// Reports the content of every file in the folder of a log.
///
/// # Errors
///
/// If a file can't be read. Corruption is part of the report, not an error.
pub fn inspect(folder: &impl Folder) -> Result<Vec<FileReport>, LogError> {
    let names = folder.list().map_err(LogError::io("folder"))?;
    let snapshots = snapshot::list(folder)?;
    let mut reports = Vec::new();
    for name in names {
        let bytes = folder.read(&name).map_err(LogError::io(&name))?;
        let mut report = FileReport {
            bytes: bytes.len() as u64,
            frames: 0,
            entries: 0,
            range: None,
            fault: None,
            name,
        };
        if let Some(number) = segment::number(&report.name) {
            inspect_segment(&mut report, &bytes, number);
        } else if snapshots.contains(&report.name) {
            match snapshot::read(folder, &report.name) {
                Ok(snapshot) => report.range = Some((snapshot.index, snapshot.index)),
                Err(err) => report.fault = Some((0, err.to_string().into())),
            }
        }
        reports.push(report);
    }
    Ok(reports)
}

/// Fills in the report of a segment.
fn inspect_segment(report: &mut FileReport, bytes: &[u8], number: u64) {
    let (batches, end) = match segment::read(bytes, number) {
        Ok(read) => read,
        Err(fault) => {
            report.fault = Some((fault.offset as u64, fault.reason));
            return;
        }
    };
    report.frames = batches.len() as u64;
    let records = batches.iter().flat_map(|batch| &batch.records);
    for index in records.filter_map(Record::index) {
        report.entries += 1;
        let (first, last) = report.range.unwrap_or((index, index));
        report.range = Some((first.min(index), last.max(index)));
    }
    if let End::Torn(offset) = end {
        report.fault = Some((offset as u64, TORN_TAIL.into()));
    }
}
