//! Segment files of a store. Each record is in a frame with its length and a
//! checksum.

use {
    quay_log::IsDiskFull as _,
    quay_turns::{Record, RecordLocation},
    quay_types::GroupId,
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Read as _, Seek as _, SeekFrom, Write as _},
        os::unix::fs::FileExt as _,
        path::{Path, PathBuf},
    },
};

/// Size of a frame header in bytes: length and CRC-32 of the record, four bytes
/// each.
const HEADER_BYTES: usize = 8;

/// Size of a frame without the data of its record, in bytes; few are larger.
const USUAL_REST_BYTES: usize = 64;

/// Maximum size of an encoded record in bytes.
const MAX_RECORD_BYTES: u32 = 32 << 20;

/// Largest gap between two records, in bytes, that is read along with them
/// rather than split into two reads.
const MAX_GAP_BYTES: u64 = 64 << 10;

/// Name of the file with the identity of the folder.
const IDENTITY_FILE: &str = "identity";

/// Suffix of segment files.
const SEGMENT_SUFFIX: &str = ".records";

/// Segment files of a store. Records are appended to the latest segment.
#[derive(Debug)]
pub struct Files {
    folder: PathBuf,
    segment_bytes: u64,
    segment: u64,
    file: File,
    /// Offset in `file` after the last complete frame.
    end: u64,
    /// Whether a failed write may have left something behind `end`.
    torn: bool,
}

/// Called with each record of a folder, its group and its location.
pub type Replay<'a> = &'a mut dyn FnMut(GroupId, &Record, RecordLocation);

impl Files {
    /// Opens a folder and replays its records. Returns the files and the
    /// identity of the folder; a new folder gets `new_identity`.
    ///
    /// # Errors
    ///
    /// If the folder can't be read or written.
    pub fn open(
        folder: &Path,
        segment_bytes: u64,
        new_identity: u64,
        replay: Replay<'_>,
    ) -> io::Result<(Self, u64)> {
        fs::create_dir_all(folder)?;
        let identity = identity(folder, new_identity)?;
        let segments = segments(folder)?;
        for segment in &segments {
            let end = replay_segment(&segment_path(folder, *segment), *segment, replay)?;
            log::info!("event=store_file_read segment={segment} bytes={end}");
        }
        // Each start creates a new segment. Data after the last complete frame
        // of an earlier segment was never acknowledged.
        let segment = segments.last().map_or(1, |last| last + 1);
        let file = create(folder, segment)?;
        let files = Self {
            folder: folder.into(),
            segment_bytes,
            segment,
            file,
            end: 0,
            torn: false,
        };
        Ok((files, identity))
    }

    /// Number of the segment that records are appended to.
    pub const fn segment(&self) -> u64 {
        self.segment
    }

    /// Appends records, syncs them and returns their locations.
    ///
    /// # Errors
    ///
    /// If the write or the sync fails. The file is then truncated to its
    /// previous length, at the next append if the disk is too full for that too.
    pub fn append(&mut self, records: &[(GroupId, Record)]) -> io::Result<Vec<RecordLocation>> {
        self.discard_failed_write()?;
        if self.end >= self.segment_bytes {
            self.file = create(&self.folder, self.segment + 1)?;
            self.segment += 1;
            self.end = 0;
        }
        let data: usize = records.iter().map(|(_, it)| it.data_bytes()).sum();
        let mut buf = Vec::with_capacity(data + records.len() * USUAL_REST_BYTES);
        let mut locations = Vec::with_capacity(records.len());
        for record in records {
            let start = buf.len();
            buf.extend_from_slice(&[0; HEADER_BYTES]);
            buf = postcard::to_extend(record, buf).map_err(io::Error::other)?;
            let body = start + HEADER_BYTES;
            let len = u32::try_from(buf.len() - body).map_err(io::Error::other)?;
            let checksum = crc32fast::hash(&buf[body..]);
            buf[start..start + 4].copy_from_slice(&len.to_le_bytes());
            buf[start + 4..body].copy_from_slice(&checksum.to_le_bytes());
            locations.push(RecordLocation {
                segment: self.segment,
                offset: self.end + body as u64,
                len,
            });
        }
        if let Err(err) = self.write(&buf) {
            self.torn = true;
            return match self.discard_failed_write() {
                Err(failed) if !failed.is_disk_full() => Err(failed),
                _ => Err(err),
            };
        }
        self.end += buf.len() as u64;
        Ok(locations)
    }

    /// Discards what a failed write left behind.
    fn discard_failed_write(&mut self) -> io::Result<()> {
        if self.torn {
            self.file.set_len(self.end)?;
            self.torn = false;
        }
        Ok(())
    }

    fn write(&mut self, buf: &[u8]) -> io::Result<()> {
        self.file.seek(SeekFrom::Start(self.end))?;
        self.file.write_all(buf)?;
        self.file.sync_data()
    }
}

/// Reads the records at `locations` and returns them in file order. Records
/// close to each other are read with one call, since each call may wait for the
/// disk.
///
/// # Errors
///
/// If a file is missing or a record does not decode.
pub fn read_all(folder: &Path, mut locations: Vec<RecordLocation>) -> io::Result<Vec<Record>> {
    locations.sort_unstable_by_key(|location| (location.segment, location.offset));
    let mut records = Vec::with_capacity(locations.len());
    let near = |a: &RecordLocation, b: &RecordLocation| {
        a.segment == b.segment && b.offset - end_offset(a) <= MAX_GAP_BYTES
    };
    for run in locations.chunk_by(near) {
        let (Some(first), Some(last)) = (run.first(), run.last()) else {
            continue;
        };
        let len = usize::try_from(end_offset(last) - first.offset).map_err(io::Error::other)?;
        let mut buf = vec![0; len];
        File::open(segment_path(folder, first.segment))?.read_exact_at(&mut buf, first.offset)?;
        for location in run {
            let start =
                usize::try_from(location.offset - first.offset).map_err(io::Error::other)?;
            let bytes = &buf[start..start + location.len as usize];
            let decoded = postcard::from_bytes(bytes);
            let (_, record): (GroupId, Record) = decoded.map_err(io::Error::other)?;
            records.push(record);
        }
    }
    Ok(records)
}

/// Offset of the end of the record at a location.
const fn end_offset(location: &RecordLocation) -> u64 {
    location.offset + location.len as u64
}

/// Removes a segment without live records.
///
/// # Errors
///
/// If the file can't be removed.
pub fn remove(folder: &Path, segment: u64) -> io::Result<()> {
    fs::remove_file(segment_path(folder, segment))
}

/// Creates a segment file and syncs it and its directory entry.
fn create(folder: &Path, segment: u64) -> io::Result<File> {
    let mut options = OpenOptions::new();
    let file = options.create(true).truncate(true).write(true).read(true);
    let file = file.open(segment_path(folder, segment))?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

fn segment_path(folder: &Path, segment: u64) -> PathBuf {
    folder.join(format!("{segment:012}{SEGMENT_SUFFIX}"))
}

/// Numbers of the segments in a folder, oldest first.
fn segments(folder: &Path) -> io::Result<Vec<u64>> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_suffix(SEGMENT_SUFFIX));
        if let Some(segment) = number.and_then(|number| number.parse().ok()) {
            segments.push(segment);
        }
    }
    segments.sort_unstable();
    Ok(segments)
}

/// Reads the identity of a folder; a new folder gets `new_identity`.
fn identity(folder: &Path, new_identity: u64) -> io::Result<u64> {
    let path = folder.join(IDENTITY_FILE);
    if let Ok(text) = fs::read_to_string(&path)
        && let Ok(identity) = text.trim().parse()
    {
        return Ok(identity);
    }
    // Without a readable identity the folder counts as lost. An identity that
    // was not synced was never announced, so records without one are removed.
    for segment in segments(folder)? {
        remove(folder, segment)?;
    }
    let mut file = File::create(&path)?;
    file.write_all(new_identity.to_string().as_bytes())?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(new_identity)
}

/// Replays the complete frames of a segment and returns the offset of their end.
fn replay_segment(path: &Path, segment: u64, replay: Replay<'_>) -> io::Result<u64> {
    let mut file = io::BufReader::new(File::open(path)?);
    let mut offset = 0;
    loop {
        let mut header = [0; HEADER_BYTES];
        if file.read_exact(&mut header).is_err() {
            return Ok(offset);
        }
        let word = |at: usize| {
            let bytes = header.iter().skip(at).take(4).rev();
            bytes.fold(0, |word, byte| word << 8 | u32::from(*byte))
        };
        let (len, checksum) = (word(0), word(4));
        if len == 0 || len > MAX_RECORD_BYTES {
            return Ok(offset);
        }
        let mut buf = vec![0; len as usize];
        if file.read_exact(&mut buf).is_err() || crc32fast::hash(&buf) != checksum {
            log::warn!("event=store_file_torn segment={segment} offset={offset}");
            return Ok(offset);
        }
        let location = RecordLocation {
            segment,
            offset: offset + HEADER_BYTES as u64,
            len,
        };
        let (group, record) = postcard::from_bytes(&buf).map_err(io::Error::other)?;
        replay(group, &record, location);
        offset += HEADER_BYTES as u64 + u64::from(len);
    }
}
