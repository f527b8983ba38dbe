//! The replicated configuration state, of which daemons hold a copy, and the
//! steps that change it.

use {
    crate::{Document, TextPatch},
    indexmap::IndexMap,
    quay_types::{ConfigIndex, ContentDigest},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A section in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionImage {
    /// Version; increases by one with each change of the section.
    pub version: u64,
    /// Digest of `text`.
    pub digest: ContentDigest,
    /// Text of the section.
    pub text: Box<str>,
}

/// Marks an upstream as draining.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainMark {
    /// Author of the request.
    pub author: Box<str>,
    /// Logged time, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Marks quarantined content, which is not sent to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineMark {
    /// End of the quarantine, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// The complete configuration state in force at one index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Image {
    /// Number of steps applied so far; increases by one with each step.
    pub index: ConfigIndex,
    /// Sections by name.
    pub sections: IndexMap<Box<str>, SectionImage>,
    /// Drain marks by upstream name.
    pub drained: IndexMap<Box<str>, DrainMark>,
    /// Quarantine marks by content digest.
    pub quarantined: IndexMap<ContentDigest, QuarantineMark>,
}

/// A change that leads from one index to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Index of the image after the step.
    pub index: ConfigIndex,
    /// The change itself.
    pub change: StepChange,
}

/// Change made by a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepChange {
    /// Sets the text of a section.
    Section {
        /// Name of the section.
        name: Box<str>,
        /// New version of the section.
        version: u64,
        /// Digest of the new text.
        digest: ContentDigest,
        /// Difference from the previous text.
        patch: TextPatch,
    },
    /// Marks an upstream as draining.
    Drain(Box<str>, DrainMark),
    /// Removes the drain mark of an upstream.
    Undrain(Box<str>),
    /// Quarantines content.
    Quarantine(ContentDigest, QuarantineMark),
    /// Ends the quarantine of content.
    ClearQuarantine(Box<[ContentDigest]>),
}

/// Why a step can't be applied to an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepError {
    /// The index of the step does not follow that of the image.
    OutOfOrder,
    /// The section differs from the one that the step was computed from.
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
    /// The document in force.
    #[must_use]
    pub fn document(&self) -> Document {
        let sections = self.sections.iter();
        Document::from_sections(sections.map(|(name, section)| (&**name, &*section.text)))
    }

    /// Digest over the names and contents of all sections and marks.
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

    /// Applies the next step. After an error the image is unchanged.
    ///
    /// # Errors
    ///
    /// [`StepError`] if the step was computed from another image.
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

    /// Applies a patch to a section and verifies version and digest.
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
