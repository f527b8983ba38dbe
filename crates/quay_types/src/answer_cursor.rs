//! Puts the parts of one streamed answer together.

use {crc32fast::Hasher, std::fmt};

/// A part of an answer that starts after the end of what is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// Bytes delivered so far.
    pub delivered: u64,
    /// Where the part starts.
    pub offset: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answer has {} bytes, next part starts at {}",
            self.delivered, self.offset
        )
    }
}

impl std::error::Error for Gap {}

/// How much of an answer has been delivered, and its checksum.
///
/// Parts may repeat or overlap what was delivered, as they do after a stream
/// was resumed; each byte is passed on once.
///
/// ```
/// use quay_types::AnswerCursor;
///
/// let mut cursor = AnswerCursor::default();
/// assert_eq!(cursor.accept(0, "truck "), Ok("truck "));
/// assert_eq!(cursor.accept(3, "ck 7"), Ok("7"));
/// assert!(cursor.accept(20, "late").is_err());
/// assert_eq!(cursor.delivered(), 7);
/// ```
#[derive(Debug, Clone, Default)]
pub struct AnswerCursor {
    /// Bytes passed on; the next byte of the answer has this offset.
    delivered: u64,
    /// Checksum over exactly the bytes passed on.
    checksum: Hasher,
}

impl AnswerCursor {
    /// Takes the part that starts at `offset` and returns what is new of it.
    ///
    /// # Errors
    ///
    /// [`Gap`] if bytes before the part are missing, or if the part starts
    /// inside a character; nothing is passed on then.
    pub fn accept<'a>(&mut self, offset: u64, text: &'a str) -> Result<&'a str, Gap> {
        let gap = Gap {
            delivered: self.delivered,
            offset,
        };
        let known = self.delivered.checked_sub(offset).ok_or(gap)?;
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        if known >= text.len() {
            return Ok("");
        }
        let new = text.get(known..).ok_or(gap)?;
        self.checksum.update(new.as_bytes());
        self.delivered += new.len() as u64;
        Ok(new)
    }

    /// Bytes passed on.
    #[must_use]
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// CRC-32 of the bytes passed on.
    #[must_use]
    pub fn checksum(&self) -> u32 {
        self.checksum.clone().finalize()
    }
}
