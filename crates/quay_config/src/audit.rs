//! The audit trail: who requested which change, and the outcome.

use {
    crate::{ChangeId, Refusal},
    quay_types::{ConfigIndex, ContentDigest},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of records that a replica keeps; the oldest are evicted
/// first.
pub const MAX_AUDIT_RECORDS: usize = 20_000;

/// Maximum length of a text field of a record, in bytes.
const MAX_FIELD_BYTES: usize = 512;

/// One attempted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Sequence number; starts at 1 and has no gaps.
    pub sequence: u64,
    /// Logged time, in milliseconds since the Unix epoch; never decreases.
    pub time_ms: u64,
    /// Author of the request, as named by the author's certificate.
    pub author: Box<str>,
    /// Id of the request, the same in every resend.
    pub id: ChangeId,
    /// The requested action, such as `change ordering` or `drain engine-3`.
    pub action: Box<str>,
    /// Reason given by the author.
    pub cause: Box<str>,
    /// Reason for the refusal; `None` if the request was carried out.
    pub refused: Option<Box<str>>,
    /// Configuration index in force after the attempt.
    pub index: ConfigIndex,
    /// Digest of the affected state before the action.
    pub before: ContentDigest,
    /// Digest of the requested state; in force only if not refused.
    pub after: ContentDigest,
    /// Digest over this record and the `chain` of the previous record, so that
    /// a missing or modified record is detected.
    pub chain: ContentDigest,
}

impl AuditRecord {
    /// Computes the chain value of this record from that of the previous one.
    #[must_use]
    pub fn chain_after(&self, previous: ContentDigest) -> ContentDigest {
        let bare = Self {
            chain: previous,
            ..self.clone()
        };
        // Encoding can't fail: postcard supports all field types of a record.
        let bytes = postcard::to_stdvec(&bare).unwrap_or_default();
        ContentDigest::of(&[b"audit", &bytes])
    }
}

/// Content of a record, without its sequence number and chain value.
#[derive(Debug)]
pub(crate) struct AuditEntry<'a> {
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

/// Truncates a text to [`MAX_FIELD_BYTES`] and replaces control characters, so
/// that it stays on one line.
fn truncate_field(text: &str) -> Box<str> {
    let end = text.floor_char_boundary(MAX_FIELD_BYTES);
    text[..end].replace(char::is_control, " ").into()
}

/// An append-only audit trail of bounded size.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditTrail {
    /// Records with consecutive sequence numbers, oldest first.
    records: VecDeque<AuditRecord>,
    /// Sequence number of the last record.
    last: u64,
    /// Logged time of the last record, in milliseconds since the Unix epoch.
    last_ms: u64,
    /// Chain value of the last record.
    chain: ContentDigest,
}

impl AuditTrail {
    /// Sequence number of the last record; 0 if there is none.
    #[must_use]
    pub const fn last_sequence(&self) -> u64 {
        self.last
    }

    /// Logged time of the last record, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn last_time_ms(&self) -> u64 {
        self.last_ms
    }

    /// Appends a record.
    pub(crate) fn append(&mut self, entry: &AuditEntry<'_>) {
        let mut record = AuditRecord {
            sequence: self.last + 1,
            time_ms: entry.time_ms,
            author: truncate_field(entry.author),
            id: ChangeId(truncate_field(&entry.id.0)),
            action: truncate_field(&entry.action),
            cause: truncate_field(entry.cause),
            refused: entry.refused.map(Refusal::summary),
            index: entry.index,
            before: entry.before,
            after: entry.after,
            chain: ContentDigest::default(),
        };
        record.chain = record.chain_after(self.chain);
        assert!(record.time_ms >= self.last_ms, "logged time decreased");
        self.last = record.sequence;
        self.last_ms = record.time_ms;
        self.chain = record.chain;
        if self.records.len() == MAX_AUDIT_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns up to `limit` records after a sequence number, oldest first.
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
