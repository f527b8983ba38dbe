//! The state that daemons hold a copy of, and the steps that change it.

use {
    crate::{Document, TextPatch},
    indexmap::IndexMap,
    quay_types::{ConfigIndex, ContentDigest},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One section as it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionImage {
    /// Rises by one with each change of the section.
    pub version: u64,
    /// Digest of `text`.
    pub digest: ContentDigest,
    /// The section's text.
    pub text: Box<str>,
}

/// Marks an upstream that is to leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainMark {
    /// Who asked.
    pub author: Box<str>,
    /// Logged time, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Marks content that is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineMark {
    /// Time from which it runs again, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// Everything that is in force at one index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Image {
    /// Counts every step; only rises, by one at a time.
    pub index: ConfigIndex,
    /// Sections by name.
    pub sections: IndexMap<Box<str>, SectionImage>,
    /// Upstreams that are to leave, by name.
    pub drained: IndexMap<Box<str>, DrainMark>,
    /// Content that is not run.
    pub quarantined: IndexMap<ContentDigest, QuarantineMark>,
}

/// One step from an index to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Index that the image is at afterwards.
    pub index: ConfigIndex,
    /// What changes.
    pub change: StepChange,
}

/// What a step changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepChange {
    /// A section has a new text.
    Section {
        /// Name of the section.
        name: Box<str>,
        /// Its new version.
        version: u64,
        /// Digest of its new text.
        digest: ContentDigest,
        /// Difference from the text before.
        patch: TextPatch,
    },
    /// An upstream is to leave.
    Drain(Box<str>, DrainMark),
    /// An upstream stays after all.
    Undrain(Box<str>),
    /// Content is not run any more.
    Quarantine(ContentDigest, QuarantineMark),
    /// Content runs again.
    ClearQuarantine(Box<[ContentDigest]>),
}

/// Why a step does not fit an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepError {
    /// The step is not the next one.
    OutOfOrder,
    /// The section's text differs from the one that the step was made from.
    BaseMismatch,
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfOrder => f.write_str("a step is missing"),
            Self::BaseMismatch => f.write_str("the step does not fit the section's text"),
        }
    }
}

impl std::error::Error for StepError {}

impl Image {
    /// The document that is in force.
    #[must_use]
    pub fn document(&self) -> Document {
        let sections = self.sections.iter();
        Document::from_sections(sections.map(|(name, section)| (&**name, &*section.text)))
    }

    /// Digest over everything that is in force.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        let mut parts = Vec::new();
        for (name, section) in &self.sections {
            parts.extend([
                name.as_bytes().to_vec(),
                section.digest.to_u128().to_be_bytes().to_vec(),
            ]);
        }
        for name in self.drained.keys() {
            parts.extend([b"drained".to_vec(), name.as_bytes().to_vec()]);
        }
        for digest in self.quarantined.keys() {
            parts.extend([
                b"quarantined".to_vec(),
                digest.to_u128().to_be_bytes().to_vec(),
            ]);
        }
        let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        ContentDigest::of(&parts)
    }

    /// Takes the next step. An error leaves the image as it was.
    ///
    /// # Errors
    ///
    /// [`StepError`] if the step was made from another image.
    pub fn apply(&mut self, step: &Step) -> Result<(), StepError> {
        if step.index.0 != self.index.0 + 1 {
            return Err(StepError::OutOfOrder);
        }
        match &step.change {
            StepChange::Section {
                name,
                version,
                digest,
                patch,
            } => self.set_section(name, *version, *digest, patch)?,
            StepChange::Drain(name, mark) => drop(self.drained.insert(name.clone(), mark.clone())),
            StepChange::Undrain(name) => drop(self.drained.shift_remove(name)),
            StepChange::Quarantine(digest, mark) => {
                self.quarantined.insert(*digest, *mark);
            }
            StepChange::ClearQuarantine(digests) => {
                self.quarantined
                    .retain(|digest, _| !digests.contains(digest));
            }
        }
        self.index = step.index;
        Ok(())
    }

    /// Replaces a section's text.
    fn set_section(
        &mut self,
        name: &str,
        version: u64,
        digest: ContentDigest,
        patch: &TextPatch,
    ) -> Result<(), StepError> {
        let old = self.sections.get(name);
        let (old_version, old_text) = old.map_or((0, ""), |old| (old.version, &*old.text));
        let text = patch.apply(old_text).ok_or(StepError::BaseMismatch)?;
        if version != old_version + 1 || Document::digest(name, &text) != digest {
            return Err(StepError::BaseMismatch);
        }
        let section = SectionImage {
            version,
            digest,
            text,
        };
        self.sections.insert(name.into(), section);
        Ok(())
    }
}
