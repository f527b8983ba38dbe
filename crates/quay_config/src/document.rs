//! The document as text, cut into sections.

use {
    crate::error::{ConfigError, Place, header},
    indexmap::IndexMap,
    quay_types::ContentDigest,
};

/// Section that names the owners of every section.
pub const PLATFORM_SECTION: &str = "platform";

/// Largest document that is accepted, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// A document cut into the texts of its sections.
///
/// A section's text holds its own tables only, with their full names, so that
/// the document is the sections one after the other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    sections: IndexMap<Box<str>, Piece>,
}

/// The text of one section.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Piece {
    text: Box<str>,
    /// Lines before the section in the text that it was cut from.
    lines_before: u32,
}

impl Document {
    /// Cuts a whole document into sections.
    ///
    /// # Errors
    ///
    /// The first fault: text that is no TOML, a key outside of any section, or
    /// a section whose tables are not side by side.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let whole = Place {
            section: "document",
            text,
            lines_before: 0,
        };
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(whole.fault_of_section(format!(
                "the document has {} bytes; the limit is {MAX_DOCUMENT_BYTES}",
                text.len()
            )));
        }
        let table: toml::Table = toml::from_str(text).map_err(|err| {
            whole.fault(
                err.span().unwrap_or_default(),
                err.message().trim().to_owned(),
            )
        })?;
        let document = Self {
            sections: cut(&whole)?,
        };
        document.prove_cut(&whole, &table)?;
        Ok(document)
    }

    /// A document of sections that are cut already.
    pub fn from_sections<'a>(sections: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let pieces = sections.into_iter().map(|(name, text)| {
            let piece = Piece {
                text: text.into(),
                lines_before: 0,
            };
            (name.into(), piece)
        });
        Self {
            sections: pieces.collect(),
        }
    }

    /// Replaces or adds a section.
    pub fn set(&mut self, name: &str, text: &str) {
        let piece = Piece {
            text: text.into(),
            lines_before: 0,
        };
        self.sections.insert(name.into(), piece);
    }

    /// The sections in order, as name and text.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &str)> {
        self.sections
            .iter()
            .map(|(name, piece)| (&**name, &*piece.text))
    }

    /// The text of a section.
    #[must_use]
    pub fn section(&self, name: &str) -> Option<&str> {
        self.sections.get(name).map(|piece| &*piece.text)
    }

    /// The sections with their places, for messages.
    pub(crate) fn places(&self) -> impl Iterator<Item = Place<'_>> {
        self.sections.iter().map(|(name, piece)| Place {
            section: name,
            text: &piece.text,
            lines_before: piece.lines_before,
        })
    }

    /// Digest of a section's text.
    #[must_use]
    pub fn digest(name: &str, text: &str) -> ContentDigest {
        ContentDigest::of(&[b"config section", name.as_bytes(), text.as_bytes()])
    }

    /// Makes sure that the pieces mean what the whole means.
    ///
    /// Cutting looks at lines; a line inside a multi-line string may look like
    /// a table header.
    fn prove_cut(&self, whole: &Place<'_>, table: &toml::Table) -> Result<(), ConfigError> {
        let mut joined = toml::Table::new();
        for place in self.places() {
            let piece: toml::Table = toml::from_str(place.text)
                .map_err(|_| place.fault_of_section("the section's tables must stand together"))?;
            joined.extend(piece);
        }
        if joined == *table {
            Ok(())
        } else {
            Err(whole.fault_of_section("a line inside a string looks like a table header"))
        }
    }
}

/// Cuts a text at the headers where the section changes.
fn cut(whole: &Place<'_>) -> Result<IndexMap<Box<str>, Piece>, ConfigError> {
    let mut sections: IndexMap<Box<str>, Piece> = IndexMap::new();
    // Comments above the first header of a section belong to that section.
    let mut pending = String::new();
    let mut current: Option<Box<str>> = None;
    let mut offset = 0;
    for (number, line) in whole.text.split_inclusive('\n').enumerate() {
        let span = offset..offset + line.len();
        offset = span.end;
        let trimmed = line.trim();
        if let Some(name) = header(trimmed).map(first_key) {
            if current.as_deref() != Some(name) {
                if sections.contains_key(name) {
                    return Err(whole.fault(span, format!("section {name} begins twice")));
                }
                let lines = pending.matches('\n').count();
                sections.insert(
                    name.into(),
                    Piece {
                        text: Box::default(),
                        lines_before: u32::try_from(number - lines).unwrap_or(u32::MAX),
                    },
                );
                current = Some(name.into());
            }
        } else if trimmed.is_empty() || trimmed.starts_with('#') {
            pending.push_str(line);
            continue;
        } else if current.is_none() {
            return Err(whole.fault(span, "a key must stand in a section"));
        }
        pending.push_str(line);
        append(&mut sections, current.as_deref(), &mut pending);
    }
    append(&mut sections, current.as_deref(), &mut pending);
    Ok(sections)
}

/// Moves `pending` to the end of a section.
fn append(sections: &mut IndexMap<Box<str>, Piece>, name: Option<&str>, pending: &mut String) {
    if let Some(piece) = name.and_then(|name| sections.get_mut(name)) {
        let text = std::mem::take(&mut piece.text);
        let mut text = String::from(text);
        text.push_str(pending);
        piece.text = text.into();
        pending.clear();
    }
}

/// The first part of a dotted key, without quotes.
fn first_key(name: &str) -> &str {
    let name = name.trim();
    match name.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or(rest),
        None => name.split('.').next().unwrap_or(name).trim(),
    }
}
