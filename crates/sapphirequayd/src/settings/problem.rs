//! What is wrong with settings, and where.

use std::fmt;

/// One thing that is wrong with settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Table that it is in; empty for the top level.
    pub section: Box<str>,
    /// Key that it is about; empty for the whole table.
    pub key: Box<str>,
    /// What is wrong.
    pub message: Box<str>,
}

impl Problem {
    /// A problem with `key` in `section`.
    #[must_use]
    pub fn new(section: &str, key: &str, message: impl Into<Box<str>>) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            message: message.into(),
        }
    }

    /// The problem that an error of the TOML library tells of.
    #[must_use]
    pub fn of_toml(text: &str, err: &toml::de::Error) -> Self {
        let start = err.span().map_or(0, |span| span.start);
        let (section, key) = locate(text, start);
        let message = err.message().replace('\n', "; ");
        Self::new(section, key, message)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = match (&*self.section, &*self.key) {
            ("", "") => String::new(),
            ("", key) => format!("{key}: "),
            (section, "") => format!("[{section}]: "),
            (section, key) => format!("[{section}] {key}: "),
        };
        write!(f, "{place}{}", self.message)
    }
}

/// The table and the key around a position in a TOML text.
fn locate(text: &str, position: usize) -> (&str, &str) {
    let mut section = "";
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        let next = at + line.len();
        let trimmed = line.trim();
        if trimmed.starts_with('[') {
            section = trimmed.trim_matches(['[', ']']);
        }
        if position < next {
            let key = trimmed.split('=').next().unwrap_or_default().trim();
            let key = if trimmed.contains('=') { key } else { "" };
            return (section, key);
        }
        at = next;
    }
    (section, "")
}
