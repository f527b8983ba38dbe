//! File format of `config show` and `config apply`: a section of the
//! configuration with its base revision in the first line.

use {
    quay_config::SectionRevision,
    quay_types::ContentDigest,
    std::{error::Error, fmt, str::FromStr},
};

/// Prefix of the first line, which holds section name, version and digest.
const BASE_PREFIX: &str = "#:base ";

/// Text of a section and the revision that it was edited from.
#[derive(Debug, PartialEq, Eq)]
pub struct SectionFile {
    /// Name of the section.
    pub section: Box<str>,
    /// Revision that the text was edited from.
    pub base: SectionRevision,
    /// Text of the section, without the first line.
    pub text: Box<str>,
}

impl fmt::Display for SectionFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SectionRevision { version, digest } = self.base;
        writeln!(f, "{BASE_PREFIX}{} {version} {digest}", self.section)?;
        f.write_str(&self.text)
    }
}

impl FromStr for SectionFile {
    type Err = Box<dyn Error>;

    fn from_str(file: &str) -> Result<Self, Self::Err> {
        let (first, text) = file.split_once('\n').unwrap_or((file, ""));
        let fields: Vec<_> = first
            .strip_prefix(BASE_PREFIX)
            .ok_or("the first line must be the base revision that `config show` prints")?
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

/// Parses a digest in its printed form.
pub fn parse_digest(text: &str) -> Result<ContentDigest, Box<dyn Error>> {
    let number = u128::from_str_radix(text, 16)
        .ok()
        .filter(|_| text.len() == 32)
        .ok_or_else(|| format!("invalid digest {text:?}: must be 32 hexadecimal digits"))?;
    // `ContentDigest` is encoded as its 16 bytes, without a length prefix.
    Ok(postcard::from_bytes(&number.to_be_bytes())?)
}
