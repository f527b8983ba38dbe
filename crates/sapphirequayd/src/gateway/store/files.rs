//! Files of a store: records in frames, each with a checksum.

use {
    quay_turns::{Record, RecordLocation},
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Read as _, Seek as _, SeekFrom, Write as _},
        os::unix::fs::FileExt as _,
        path::{Path, PathBuf},
    },
};

/// Bytes before a record: its length and the checksum of its bytes.
const HEAD_BYTES: usize = 8;

/// Longest record, in bytes.
const MAX_RECORD_BYTES: u32 = 32 << 20;

/// Bytes between two records that are read along rather than passed over.
const MAX_GAP_BYTES: u64 = 64 << 10;

/// File that holds the identity of the folder.
const IDENTITY: &str = "identity";

/// Suffix of the files with records.
const SUFFIX: &str = ".records";

/// Files of a store. Records are appended to the latest one.
#[derive(Debug)]
pub struct Files {
    folder: PathBuf,
    segment_bytes: u64,
    segment: u64,
    file: File,
    /// End of what is whole in `file`.
    end: u64,
}

/// Takes each record of a folder, with its place.
pub type Replay<'a> = &'a mut dyn FnMut(&Record, RecordLocation);

impl Files {
    /// Opens a folder and replays what it holds. The identity is `drawn` if
    /// the folder is new.
    ///
    /// # Errors
    ///
    /// If the folder can't be read or written.
    pub fn open(
        folder: &Path,
        segment_bytes: u64,
        drawn: u64,
        replay: Replay<'_>,
    ) -> io::Result<(Self, u64)> {
        fs::create_dir_all(folder)?;
        let identity = identity(folder, drawn)?;
        let segments = segments(folder)?;
        for segment in &segments {
            let end = replay_segment(&path(folder, *segment), *segment, replay)?;
            log::info!("event=store_file_read segment={segment} bytes={end}");
        }
        // A new file each start: what a torn one held after its whole part
        // never was acknowledged.
        let segment = segments.last().map_or(1, |last| last + 1);
        let file = create(folder, segment)?;
        let files = Self {
            folder: folder.into(),
            segment_bytes,
            segment,
            file,
            end: 0,
        };
        Ok((files, identity))
    }

    /// The file that records are appended to.
    pub const fn segment(&self) -> u64 {
        self.segment
    }

    /// Appends records and syncs them; tells their places.
    ///
    /// # Errors
    ///
    /// If the disk refuses the write: nothing of it is kept then.
    pub fn append(&mut self, records: &[Record]) -> io::Result<Vec<RecordLocation>> {
        if self.end >= self.segment_bytes {
            self.file = create(&self.folder, self.segment + 1)?;
            self.segment += 1;
            self.end = 0;
        }
        let mut buf = Vec::new();
        let mut places = Vec::with_capacity(records.len());
        for record in records {
            let start = buf.len();
            buf.extend_from_slice(&[0; HEAD_BYTES]);
            buf = postcard::to_extend(record, buf).map_err(io::Error::other)?;
            let body = start + HEAD_BYTES;
            let len = u32::try_from(buf.len() - body).map_err(io::Error::other)?;
            let sum = crc32fast::hash(&buf[body..]);
            buf[start..start + 4].copy_from_slice(&len.to_le_bytes());
            buf[start + 4..body].copy_from_slice(&sum.to_le_bytes());
            places.push(RecordLocation {
                segment: self.segment,
                offset: self.end + body as u64,
                len,
            });
        }
        if let Err(err) = self.write(&buf) {
            // The next write overwrites what this one left behind.
            self.file.set_len(self.end)?;
            return Err(err);
        }
        self.end += buf.len() as u64;
        Ok(places)
    }

    fn write(&mut self, buf: &[u8]) -> io::Result<()> {
        self.file.seek(SeekFrom::Start(self.end))?;
        self.file.write_all(buf)?;
        self.file.sync_data()
    }
}

/// Reads the records at some places, in any order. Records that lie close to
/// each other are read at once: each read waits for the disk.
///
/// # Errors
///
/// If a file is gone or its bytes do not decode.
pub fn read_all(folder: &Path, mut places: Vec<RecordLocation>) -> io::Result<Vec<Record>> {
    places.sort_unstable_by_key(|place| (place.segment, place.offset));
    let mut records = Vec::with_capacity(places.len());
    let near = |a: &RecordLocation, b: &RecordLocation| {
        a.segment == b.segment && b.offset - end_of(a) <= MAX_GAP_BYTES
    };
    for span in places.chunk_by(near) {
        let (Some(first), Some(last)) = (span.first(), span.last()) else {
            continue;
        };
        let len = usize::try_from(end_of(last) - first.offset).map_err(io::Error::other)?;
        let mut buf = vec![0; len];
        File::open(path(folder, first.segment))?.read_exact_at(&mut buf, first.offset)?;
        for place in span {
            let start = usize::try_from(place.offset - first.offset).map_err(io::Error::other)?;
            let bytes = &buf[start..start + place.len as usize];
            records.push(postcard::from_bytes(bytes).map_err(io::Error::other)?);
        }
    }
    Ok(records)
}

/// End of the record at a place.
const fn end_of(place: &RecordLocation) -> u64 {
    place.offset + place.len as u64
}

/// Removes a file of which nothing is needed.
///
/// # Errors
///
/// If the disk refuses it.
pub fn remove(folder: &Path, segment: u64) -> io::Result<()> {
    fs::remove_file(path(folder, segment))
}

/// Makes a file and its name durable.
fn create(folder: &Path, segment: u64) -> io::Result<File> {
    let mut options = OpenOptions::new();
    let file = options.create(true).truncate(true).write(true).read(true);
    let file = file.open(path(folder, segment))?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

fn path(folder: &Path, segment: u64) -> PathBuf {
    folder.join(format!("{segment:012}{SUFFIX}"))
}

/// Files with records, oldest first.
fn segments(folder: &Path) -> io::Result<Vec<u64>> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_suffix(SUFFIX));
        if let Some(segment) = number.and_then(|number| number.parse().ok()) {
            segments.push(segment);
        }
    }
    segments.sort_unstable();
    Ok(segments)
}

/// Identity of the folder; a new folder gets the drawn one.
fn identity(folder: &Path, drawn: u64) -> io::Result<u64> {
    let path = folder.join(IDENTITY);
    if let Ok(text) = fs::read_to_string(&path)
        && let Ok(identity) = text.trim().parse()
    {
        return Ok(identity);
    }
    // An identity that was not synced was never told to anybody, but records
    // under it may be there: they belong to a folder that is lost.
    for segment in segments(folder)? {
        remove(folder, segment)?;
    }
    let mut file = File::create(&path)?;
    file.write_all(drawn.to_string().as_bytes())?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(drawn)
}

/// Replays the whole frames of a file; tells where they end.
fn replay_segment(path: &Path, segment: u64, replay: Replay<'_>) -> io::Result<u64> {
    let mut file = io::BufReader::new(File::open(path)?);
    let mut offset = 0;
    loop {
        let mut head = [0; HEAD_BYTES];
        if file.read_exact(&mut head).is_err() {
            return Ok(offset);
        }
        let word = |at: usize| {
            let bytes = head.iter().skip(at).take(4).rev();
            bytes.fold(0, |word, byte| word << 8 | u32::from(*byte))
        };
        let (len, sum) = (word(0), word(4));
        if len == 0 || len > MAX_RECORD_BYTES {
            return Ok(offset);
        }
        let mut buf = vec![0; len as usize];
        if file.read_exact(&mut buf).is_err() || crc32fast::hash(&buf) != sum {
            log::warn!("event=store_file_torn segment={segment} offset={offset}");
            return Ok(offset);
        }
        let place = RecordLocation {
            segment,
            offset: offset + HEAD_BYTES as u64,
            len,
        };
        let record = postcard::from_bytes(&buf).map_err(io::Error::other)?;
        replay(&record, place);
        offset += HEAD_BYTES as u64 + u64::from(len);
    }
}
