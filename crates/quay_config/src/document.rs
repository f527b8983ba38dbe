//! The configuration document as text, split into sections.

use {
    crate::error::{ConfigError, SectionSource, header},
    indexmap::IndexMap,
    quay_types::ContentDigest,
};

/// Name of the section that lists the owners of every section.
pub const PLATFORM_SECTION: &str = "platform";

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// A document split into the texts of its sections.
///
/// The text of a section holds only the section's own tables, with their full
/// names, so that the concatenated sections are the document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    sections: IndexMap<Box<str>, SectionText>,
}

/// Text and position of one section.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SectionText {
    text: Box<str>,
    /// Number of lines before the section in the original document.
    lines_before: u32,
}

impl Document {
    /// Parses a document and splits it into sections.
    ///
    /// # Errors
    ///
    /// The first error: invalid TOML, a document over the size limit, a key
    /// outside of any section, or a section whose tables are not adjacent.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let source = SectionSource {
            section: "document",
            text,
            lines_before: 0,
        };
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(source.section_error(format!(
                "the document has {} bytes; the limit is {MAX_DOCUMENT_BYTES}",
                text.len()
            )));
        }
        let table: toml::Table = toml::from_str(text).map_err(|err| {
            source.error_at(
                err.span().unwrap_or_default(),
                err.message().trim().to_owned(),
            )
        })?;
        let document = Self {
            sections: split_sections(&source)?,
        };
        document.verify_split(&source, &table)?;
        Ok(document)
    }

    /// Creates a document from the names and texts of its sections.
    pub fn from_sections<'a>(sections: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let sections = sections.into_iter().map(|(name, text)| {
            let section = SectionText {
                text: text.into(),
                lines_before: 0,
            };
            (name.into(), section)
        });
        Self {
            sections: sections.collect(),
        }
    }

    /// Sets the text of a section, adding the section if it does not exist.
    pub fn set(&mut self, name: &str, text: &str) {
        let section = SectionText {
            text: text.into(),
            lines_before: 0,
        };
        self.sections.insert(name.into(), section);
    }

    /// Names and texts of the sections, in order.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &str)> {
        self.sections
            .iter()
            .map(|(name, section)| (&**name, &*section.text))
    }

    /// Text of a section.
    #[must_use]
    pub fn section(&self, name: &str) -> Option<&str> {
        self.sections.get(name).map(|section| &*section.text)
    }

    /// The sections with their positions, for error messages.
    pub(crate) fn sources(&self) -> impl Iterator<Item = SectionSource<'_>> {
        self.sections.iter().map(|(name, section)| SectionSource {
            section: name,
            text: &section.text,
            lines_before: section.lines_before,
        })
    }

    /// Digest of a section's text.
    #[must_use]
    pub fn digest(name: &str, text: &str) -> ContentDigest {
        ContentDigest::of(&[b"config section", name.as_bytes(), text.as_bytes()])
    }

    /// Verifies that the split sections have the same content as the document.
    ///
    /// The document is split by lines, and a line inside a multi-line string may
    /// look like a table header.
    fn verify_split(
        &self,
        source: &SectionSource<'_>,
        table: &toml::Table,
    ) -> Result<(), ConfigError> {
        let mut joined = toml::Table::new();
        for source in self.sources() {
            let section: toml::Table = toml::from_str(source.text)
                .map_err(|_| source.section_error("the section's tables must stand together"))?;
            joined.extend(section);
        }
        if joined == *table {
            Ok(())
        } else {
            Err(source.section_error("a line inside a string looks like a table header"))
        }
    }
}

/// Splits a document at the table headers where the section changes.
fn split_sections(
    source: &SectionSource<'_>,
) -> Result<IndexMap<Box<str>, SectionText>, ConfigError> {
    let mut sections: IndexMap<Box<str>, SectionText> = IndexMap::new();
    // Comments above the first table header of a section belong to it.
    let mut pending = String::new();
    let mut current: Option<Box<str>> = None;
    let mut offset = 0;
    for (number, line) in source.text.split_inclusive('\n').enumerate() {
        let span = offset..offset + line.len();
        offset = span.end;
        let trimmed = line.trim();
        if let Some(name) = header(trimmed).map(first_key) {
            if current.as_deref() != Some(name) {
                if sections.contains_key(name) {
                    return Err(source.error_at(span, format!("section {name} begins twice")));
                }
                let lines = pending.matches('\n').count();
                sections.insert(
                    name.into(),
                    SectionText {
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
            return Err(source.error_at(span, "a key must stand in a section"));
        }
        pending.push_str(line);
        append(&mut sections, current.as_deref(), &mut pending);
    }
    append(&mut sections, current.as_deref(), &mut pending);
    Ok(sections)
}

/// Appends `pending` to a section and clears it.
fn append(
    sections: &mut IndexMap<Box<str>, SectionText>,
    name: Option<&str>,
    pending: &mut String,
) {
    if let Some(section) = name.and_then(|name| sections.get_mut(name)) {
        let text = std::mem::take(&mut section.text);
        let mut text = String::from(text);
        text.push_str(pending);
        section.text = text.into();
        pending.clear();
    }
}

/// First component of a dotted key, without quotes.
fn first_key(name: &str) -> &str {
    let name = name.trim();
    match name.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or(rest),
        None => name.split('.').next().unwrap_or(name).trim(),
    }
}
