//! Reasons for refusing a request.

use {
    crate::ConfigError,
    quay_types::ContentDigest,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Write as _},
};

/// Maximum number of document errors in a refusal.
const MAX_ERRORS: usize = 16;

/// Maximum size of the diff in a refusal, in bytes.
const MAX_DIFF_BYTES: usize = 4 << 10;

/// A change that is based on another revision than the one in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Section with the conflict.
    pub section: Box<str>,
    /// Version that the refused change is based on.
    pub base_version: u64,
    /// Digest that the refused change is based on.
    pub base_digest: ContentDigest,
    /// Version in force.
    pub version: u64,
    /// Digest in force.
    pub digest: ContentDigest,
    /// Author of the version in force.
    pub author: Box<str>,
    /// Lines in force, marked `-`, and refused lines, marked `+`. Truncated to a
    /// few kilobytes, because refusals are stored to answer resends.
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

/// Reason for refusing a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The change is based on another revision than the one in force.
    Conflict(Box<Conflict>),
    /// The author does not own the section.
    NotOwner {
        /// The author.
        author: Box<str>,
        /// The section; empty if owning any section would be sufficient.
        section: Box<str>,
    },
    /// The action is reserved for the other role: operators or processes.
    WrongOrigin,
    /// The resulting document would be invalid.
    Invalid(Box<[ConfigError]>),
    /// The id was already used for another request.
    IdReused,
    /// No document is in force yet.
    NoDocument,
    /// A document is in force already.
    DocumentExists,
    /// The upstream has no drain mark.
    NotDrained(Box<str>),
    /// The maximum number of drain or quarantine marks is reached.
    TooManyMarks,
    /// A field is empty, too long or contains control characters; the name of
    /// the field.
    Malformed(Box<str>),
}

impl Refusal {
    /// Refuses a document with its first [`MAX_ERRORS`] errors.
    pub(crate) fn invalid(mut errors: Vec<ConfigError>) -> Self {
        errors.truncate(MAX_ERRORS);
        Self::Invalid(errors.into())
    }

    /// The refusal in one line, without the text of any section.
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
            Self::Invalid(errors) => {
                write!(f, "invalid: ")?;
                let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&errors.join("; "))
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

/// Lists the differing lines: `-` for the first text, `+` for the second.
///
/// Common lines at the start and at the end are omitted.
#[must_use]
pub fn line_diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let common =
        |pairs: &mut dyn Iterator<Item = (&&str, &&str)>| pairs.take_while(|(a, b)| a == b).count();
    let start = common(&mut old.iter().zip(&new));
    let max_end = old.len().min(new.len()) - start;
    let end = common(&mut old.iter().rev().zip(new.iter().rev()).take(max_end));
    let mut diff = String::new();
    for line in &old[start..old.len() - end] {
        let _ = writeln!(diff, "-{line}");
    }
    for line in &new[start..new.len() - end] {
        let _ = writeln!(diff, "+{line}");
    }
    diff
}

/// [`line_diff`], truncated to [`MAX_DIFF_BYTES`].
pub(crate) fn bounded_diff(old: &str, new: &str) -> Box<str> {
    let mut diff = line_diff(old, new);
    if diff.len() > MAX_DIFF_BYTES {
        let bytes = diff.len();
        diff.truncate(diff.floor_char_boundary(MAX_DIFF_BYTES));
        let _ = write!(diff, "... ({bytes} bytes of differing lines)");
    }
    diff.into()
}
