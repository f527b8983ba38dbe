//! The audit trail: what was asked, by whom, and what came of it.

use {
    crate::{ChangeId, Refusal},
    quay_types::{ConfigIndex, ContentDigest},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Records that a replica keeps; older ones are dropped, oldest first.
pub const MAX_AUDIT_RECORDS: usize = 20_000;

/// Longest text in a record, in bytes.
const MAX_FIELD_BYTES: usize = 512;

/// One attempt to change something.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Counts from 1 without a gap.
    pub sequence: u64,
    /// Logged time, in milliseconds since the Unix epoch; never falls.
    pub time_ms: u64,
    /// Who asked, as their certificate names them.
    pub author: Box<str>,
    /// Identity of the request across resends.
    pub id: ChangeId,
    /// What was asked: `change ordering`, `drain engine-3`.
    pub action: Box<str>,
    /// Why, in the author's words.
    pub cause: Box<str>,
    /// Why it was refused; `None` if it was carried out.
    pub refused: Option<Box<str>>,
    /// Index in force afterwards.
    pub index: ConfigIndex,
    /// Digest of what the action is about, before.
    pub before: ContentDigest,
    /// Digest of what the author asked for; in force only if not refused.
    pub after: ContentDigest,
    /// Digest over this record and the `chain` of the one before it, so that a
    /// trail which lost or changed a record shows it.
    pub chain: ContentDigest,
}

impl AuditRecord {
    /// The chain value that follows `previous`.
    #[must_use]
    pub fn chain_after(&self, previous: ContentDigest) -> ContentDigest {
        let bare = Self {
            chain: previous,
            ..self.clone()
        };
        // A record holds only what postcard can encode.
        let bytes = postcard::to_stdvec(&bare).unwrap_or_default();
        ContentDigest::of(&[b"audit", &bytes])
    }
}

/// What a record says besides its place in the trail.
#[derive(Debug)]
pub(crate) struct Entry<'a> {
    pub time_ms: u64,
    pub author: &'a str,
    pub id: &'a ChangeId,
    pub action: Box<str>,
    pub cause: &'a str,
    pub refused: Option<&'a Refusal>,
    pub index: ConfigIndex,
    pub before: ContentDigest,
    pub after: ContentDigest,
}

/// Cuts a text to the bound of a record's fields, and keeps it on one line.
fn clip(text: &str) -> Box<str> {
    let end = text.floor_char_boundary(MAX_FIELD_BYTES);
    text[..end].replace(char::is_control, " ").into()
}

/// An append-only trail in bounded memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditTrail {
    /// Sequence numbers rise by one from record to record.
    records: VecDeque<AuditRecord>,
    /// Sequence of the last record.
    last: u64,
    /// Time of the last record.
    last_ms: u64,
    /// Chain of the last record.
    chain: ContentDigest,
}

impl AuditTrail {
    /// Sequence of the last record; 0 before the first.
    #[must_use]
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// Time of the last record.
    #[must_use]
    pub const fn last_ms(&self) -> u64 {
        self.last_ms
    }

    /// Appends a record.
    pub(crate) fn append(&mut self, entry: &Entry<'_>) {
        let mut record = AuditRecord {
            sequence: self.last + 1,
            time_ms: entry.time_ms,
            author: clip(entry.author),
            id: ChangeId(clip(&entry.id.0)),
            action: clip(&entry.action),
            cause: clip(entry.cause),
            refused: entry.refused.map(Refusal::summary),
            index: entry.index,
            before: entry.before,
            after: entry.after,
            chain: ContentDigest::default(),
        };
        record.chain = record.chain_after(self.chain);
        assert!(record.time_ms >= self.last_ms, "logged time fell");
        self.last = record.sequence;
        self.last_ms = record.time_ms;
        self.chain = record.chain;
        if self.records.len() == MAX_AUDIT_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Up to `limit` records after a sequence number, oldest first.
    #[must_use]
    pub fn after(&self, sequence: u64, limit: usize) -> Box<[AuditRecord]> {
        self.records
            .iter()
            .skip_while(|record| record.sequence <= sequence)
            .take(limit)
            .cloned()
            .collect()
    }
}
