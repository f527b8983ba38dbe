//! A section in a file, with what it was made from in its first line.

use {
    quay_config::SectionRevision,
    quay_types::ContentDigest,
    std::{error::Error, fmt, str::FromStr},
};

/// Start of the line that says what the text was made from.
const BASE_MARK: &str = "#:base ";

/// A section's text and what it was made from.
#[derive(Debug, PartialEq, Eq)]
pub struct SectionFile {
    /// Name of the section.
    pub section: Box<str>,
    /// What the text was made from.
    pub base: SectionRevision,
    /// The text, without the first line.
    pub text: Box<str>,
}

impl fmt::Display for SectionFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SectionRevision { version, digest } = self.base;
        writeln!(f, "{BASE_MARK}{} {version} {digest}", self.section)?;
        f.write_str(&self.text)
    }
}

impl FromStr for SectionFile {
    type Err = Box<dyn Error>;

    fn from_str(file: &str) -> Result<Self, Self::Err> {
        let (first, text) = file.split_once('\n').unwrap_or((file, ""));
        let fields: Vec<_> = first
            .strip_prefix(BASE_MARK)
            .ok_or("the first line must say what the text was made from; see `config show`")?
            .split_whitespace()
            .collect();
        let [section, version, digest] = fields[..] else {
            return Err(format!("malformed first line: {first}").into());
        };
        let base = SectionRevision {
            version: version.parse()?,
            digest: parse_digest(digest)?,
        };
        Ok(Self {
            section: section.into(),
            base,
            text: text.into(),
        })
    }
}

/// Reads a digest as it is printed.
pub fn parse_digest(text: &str) -> Result<ContentDigest, Box<dyn Error>> {
    let number = u128::from_str_radix(text, 16)
        .ok()
        .filter(|_| text.len() == 32)
        .ok_or_else(|| format!("{text:?} is no digest of 32 hexadecimal digits"))?;
    // A digest is encoded as its bytes, without a length.
    Ok(postcard::from_bytes(&number.to_be_bytes())?)
}
