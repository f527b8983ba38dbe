//! Segments: files of consecutive frames.

use crate::{Record, frame, record};

/// Prefix of segment file names.
const PREFIX: &str = "segment-";

/// File name of the segment whose first frame has the given number.
pub(crate) fn name(number: u64) -> Box<str> {
    format!("{PREFIX}{number:016x}").into()
}

/// Number of the first frame, parsed from the file name; `None` if the file is
/// not a segment.
pub(crate) fn number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?;
    u64::from_str_radix(digits, 16).ok()
}

/// Corruption found in a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) offset: usize,
    pub(crate) reason: Box<str>,
}

/// State of the end of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// The last frame ends at the end of the file.
    Complete,
    /// An incomplete last frame starts at this offset.
    Torn(usize),
}

/// Offset and records of one frame.
#[derive(Debug, Clone)]
pub(crate) struct Batch {
    pub(crate) offset: usize,
    pub(crate) records: Vec<Record>,
}

/// Reads all frames of a segment; `next` is the number of the first frame.
pub(crate) fn read(bytes: &[u8], mut next: u64) -> Result<(Vec<Batch>, End), Fault> {
    let mut batches = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let Some(frame) = frame::read(rest) else {
            return end(rest, offset, next).map(|end| (batches, end));
        };
        if frame.number != next {
            let reason = format!("found frame {}, expected frame {next}", frame.number).into();
            return Err(Fault { offset, reason });
        }
        let records = record::decode(frame.payload).ok_or_else(|| Fault {
            offset,
            reason: "the records can't be decoded".into(),
        })?;
        batches.push(Batch { offset, records });
        offset += frame.bytes();
        next += 1;
    }
    Ok((batches, End::Complete))
}

/// Distinguishes a torn tail from corruption. Each frame is synced before the
/// next one is written, so an invalid frame that is followed by a valid one was
/// complete once and has been corrupted.
fn end(rest: &[u8], offset: usize, number: u64) -> Result<End, Fault> {
    match frame::find_after(rest, number) {
        Some(later) => Err(Fault {
            offset,
            reason: format!(
                "invalid frame, but a valid one follows at offset {}",
                offset + later
            )
            .into(),
        }),
        None => Ok(End::Torn(offset)),
    }
}
