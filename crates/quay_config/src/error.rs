//! Errors in a configuration document.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, ops::Range},
};

/// An error in a document, with its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// Section that contains the error.
    pub section: Box<str>,
    /// Key in the document, as `section.table.key`.
    pub key: Box<str>,
    /// Line number in the checked document, starting at 1.
    pub line: u32,
    /// Description of the error.
    pub message: Box<str>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "section {}, line {}, key {}: {}",
            self.section, self.line, self.key, self.message
        )
    }
}

impl std::error::Error for ConfigError {}

/// Text of a section and its position in the checked document.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SectionSource<'a> {
    /// Name of the section.
    pub section: &'a str,
    /// Text of the section.
    pub text: &'a str,
    /// Number of lines before the section.
    pub lines_before: u32,
}

impl SectionSource<'_> {
    /// Creates an error at a byte span of the section's text.
    pub fn error_at(&self, span: Range<usize>, message: impl Into<Box<str>>) -> ConfigError {
        let at = self.text.floor_char_boundary(span.start);
        let before = &self.text[..at];
        let line = u32::try_from(before.matches('\n').count()).unwrap_or(u32::MAX - 1);
        ConfigError {
            section: self.section.into(),
            key: self.key_at(line as usize),
            line: self.lines_before.saturating_add(line).saturating_add(1),
            message: message.into(),
        }
    }

    /// Creates an error for the entire section, at its first table header.
    pub fn section_error(&self, message: impl Into<Box<str>>) -> ConfigError {
        // Comments above the first table header belong to the section.
        let is_header = |line: &str| header(line.trim()).is_some();
        let above = self.text.lines().position(is_header).unwrap_or_default();
        let above = u32::try_from(above).unwrap_or_default();
        ConfigError {
            section: self.section.into(),
            key: self.section.into(),
            line: self.lines_before.saturating_add(above).saturating_add(1),
            message: message.into(),
        }
    }

    /// Full name of the key set in a line, including the table header above it.
    fn key_at(&self, line: usize) -> Box<str> {
        let mut table = self.section;
        let mut key = "";
        for text in self.text.lines().take(line + 1).map(str::trim) {
            match header(text) {
                Some(name) => (table, key) = (name, ""),
                None => key = text.split_once('=').map_or(key, |(key, _)| key.trim()),
            }
        }
        if key.is_empty() {
            table.into()
        } else {
            format!("{table}.{key}").into()
        }
    }
}

/// Name in a table header such as `[a.b]` or `[[a.b]]`; `None` for other lines.
pub(crate) fn header(line: &str) -> Option<&str> {
    let inner = line.strip_prefix('[')?;
    let inner = inner.strip_prefix('[').unwrap_or(inner);
    let (name, _) = inner.split_once(']')?;
    Some(name.trim())
}
