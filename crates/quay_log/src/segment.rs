//! Segments: files of consecutive frames.

use crate::{Record, frame, record};

/// Start of the names of segments.
const PREFIX: &str = "segment-";

/// Name of the segment whose first frame has a number.
pub(crate) fn name(number: u64) -> Box<str> {
    format!("{PREFIX}{number:016x}").into()
}

/// Number of the first frame, from the name.
pub(crate) fn number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?;
    u64::from_str_radix(digits, 16).ok()
}

/// What is wrong at an offset of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) offset: usize,
    pub(crate) reason: Box<str>,
}

/// How the frames of a segment end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// With the file.
    Whole,
    /// With an incomplete frame that nothing follows, at this offset.
    Torn(usize),
}

/// One frame of a segment.
#[derive(Debug, Clone)]
pub(crate) struct Batch {
    pub(crate) offset: usize,
    pub(crate) records: Vec<Record>,
}

/// Reads every frame of a segment; `next` is the number of the first.
pub(crate) fn read(bytes: &[u8], mut next: u64) -> Result<(Vec<Batch>, End), Fault> {
    let mut batches = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let Some(frame) = frame::read(rest) else {
            return end(rest, offset, next).map(|end| (batches, end));
        };
        if frame.number != next {
            let reason = format!("frame {} where {next} is due", frame.number).into();
            return Err(Fault { offset, reason });
        }
        let records = record::decode(frame.payload).ok_or_else(|| Fault {
            offset,
            reason: "the records do not decode".into(),
        })?;
        batches.push(Batch { offset, records });
        offset += frame.bytes();
        next += 1;
    }
    Ok((batches, End::Whole))
}

/// Decides between a torn tail and damage. Each frame is synced before the
/// next is written: a frame that is followed by another was whole once.
fn end(rest: &[u8], offset: usize, number: u64) -> Result<End, Fault> {
    match frame::find_after(rest, number) {
        Some(later) => Err(Fault {
            offset,
            reason: format!("a whole frame follows at offset {}", offset + later).into(),
        }),
        None => Ok(End::Torn(offset)),
    }
}
