//! A problem in settings, with its location.

use std::fmt;

/// A problem in settings, with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Table with the problem; empty for the top level.
    pub section: Box<str>,
    /// Key with the problem; empty for the whole table.
    pub key: Box<str>,
    /// Description of the problem.
    pub message: Box<str>,
}

impl Problem {
    /// Creates a problem of `key` in `section`.
    #[must_use]
    pub fn new(section: &str, key: &str, message: impl Into<Box<str>>) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            message: message.into(),
        }
    }

    /// Converts a TOML error, locating its table and key in `text`.
    #[must_use]
    pub fn from_toml_error(text: &str, err: &toml::de::Error) -> Self {
        let start = err.span().map_or(0, |span| span.start);
        let (section, key) = locate(text, start);
        let message = err.message().replace('\n', "; ");
        Self::new(section, key, message)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let location = match (&*self.section, &*self.key) {
            ("", "") => String::new(),
            ("", key) => format!("{key}: "),
            (section, "") => format!("[{section}]: "),
            (section, key) => format!("[{section}] {key}: "),
        };
        write!(f, "{location}{}", self.message)
    }
}

/// Finds the table and the key at a byte position in a TOML text.
fn locate(text: &str, position: usize) -> (&str, &str) {
    let mut section = "";
    let mut line_start = 0;
    for line in text.split_inclusive('\n') {
        let line_end = line_start + line.len();
        let trimmed = line.trim();
        if trimmed.starts_with('[') {
            section = trimmed.trim_matches(['[', ']']);
        }
        if position < line_end {
            let key = trimmed.split('=').next().unwrap_or_default().trim();
            let key = if trimmed.contains('=') { key } else { "" };
            return (section, key);
        }
        line_start = line_end;
    }
    (section, "")
}
