//! Why a request was refused.

use {
    crate::ConfigError,
    quay_types::ContentDigest,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Write as _},
};

/// Faults that a refusal names at most.
const MAX_FAULTS: usize = 16;

/// Bytes of differing lines that a refusal shows at most.
const MAX_DIFF_BYTES: usize = 4 << 10;

/// Two contents that claim the same place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Section that both are about.
    pub section: Box<str>,
    /// Version that the refused change was made from.
    pub base_version: u64,
    /// Digest that the refused change was made from.
    pub base_digest: ContentDigest,
    /// Version in force.
    pub version: u64,
    /// Digest in force.
    pub digest: ContentDigest,
    /// Who set the version in force.
    pub author: Box<str>,
    /// Lines in force, marked `-`, and lines refused, marked `+`; cut off after
    /// some kilobytes, since refusals are kept for resends.
    pub diff: Box<str>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "section {}: the change was made from version {} ({}), but version {} ({}) by {} is in force",
            self.section,
            self.base_version,
            self.base_digest,
            self.version,
            self.digest,
            self.author
        )?;
        writeln!(f, "lines in force (-) and lines refused (+):")?;
        f.write_str(&self.diff)
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The change was made from something else than what is in force.
    Conflict(Box<Conflict>),
    /// The author does not own the section.
    NotOwner {
        /// The author.
        author: Box<str>,
        /// The section; empty if any section would do.
        section: Box<str>,
    },
    /// Only operators, or only the system's processes, may ask for this.
    WrongOrigin,
    /// The document would not be valid.
    Invalid(Box<[ConfigError]>),
    /// The id was used before for another request.
    IdReused,
    /// No document is in force yet.
    NoDocument,
    /// A document is in force already.
    DocumentExists,
    /// The upstream has no drain mark.
    NotDrained(Box<str>),
    /// The list of marks is full.
    TooManyMarks,
    /// A name or cause is empty or too long.
    Malformed(Box<str>),
}

impl Refusal {
    /// Refuses a document; the first faults are kept.
    pub(crate) fn invalid(mut faults: Vec<ConfigError>) -> Self {
        faults.truncate(MAX_FAULTS);
        Self::Invalid(faults.into())
    }

    /// The refusal in one line, without any section's text.
    #[must_use]
    pub fn summary(&self) -> Box<str> {
        match self {
            Self::Conflict(conflict) => format!(
                "conflict: made from version {} ({}), version {} ({}) is in force",
                conflict.base_version, conflict.base_digest, conflict.version, conflict.digest
            )
            .into(),
            other => other.to_string().into(),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::NotOwner { author, section } if section.is_empty() => {
                write!(f, "{author} owns no section")
            }
            Self::NotOwner { author, section } => {
                write!(f, "{author} does not own section {section}")
            }
            Self::WrongOrigin => f.write_str("this role may not ask for this"),
            Self::Invalid(faults) => {
                write!(f, "invalid: ")?;
                let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&faults.join("; "))
            }
            Self::IdReused => f.write_str("the change id was used for another request"),
            Self::NoDocument => f.write_str("no document is in force yet"),
            Self::DocumentExists => f.write_str("a document is in force already"),
            Self::NotDrained(name) => write!(f, "upstream {name} has no drain mark"),
            Self::TooManyMarks => f.write_str("the list of marks is full"),
            Self::Malformed(what) => write!(f, "malformed: {what}"),
        }
    }
}

impl std::error::Error for Refusal {}

/// The lines that differ: `-` for the first text, `+` for the second.
///
/// Lines that both share at the start and at the end are left out.
#[must_use]
pub fn line_diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let same =
        |pairs: &mut dyn Iterator<Item = (&&str, &&str)>| pairs.take_while(|(a, b)| a == b).count();
    let start = same(&mut old.iter().zip(&new));
    let most = old.len().min(new.len()) - start;
    let end = same(&mut old.iter().rev().zip(new.iter().rev()).take(most));
    let mut diff = String::new();
    for line in &old[start..old.len() - end] {
        let _ = writeln!(diff, "-{line}");
    }
    for line in &new[start..new.len() - end] {
        let _ = writeln!(diff, "+{line}");
    }
    diff
}

/// [`line_diff`], cut off where a refusal would grow too long.
pub(crate) fn bounded_diff(old: &str, new: &str) -> Box<str> {
    let mut diff = line_diff(old, new);
    if diff.len() > MAX_DIFF_BYTES {
        let bytes = diff.len();
        diff.truncate(diff.floor_char_boundary(MAX_DIFF_BYTES));
        let _ = write!(diff, "... ({bytes} bytes of differing lines)");
    }
    diff.into()
}
