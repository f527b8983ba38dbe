//! The difference between two texts, as one replaced span.

use serde::{Deserialize, Serialize};

/// A patch that replaces one span of a text.
///
/// The size of a patch depends on the change, not on the length of the section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPatch {
    /// Number of unchanged bytes at the start.
    keep_start: u32,
    /// Number of unchanged bytes at the end.
    keep_end: u32,
    /// New text between the unchanged parts.
    insert: Box<str>,
}

impl TextPatch {
    /// Computes the patch that turns `old` into `new`.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let mut start = old
            .bytes()
            .zip(new.bytes())
            .take_while(|(a, b)| a == b)
            .count();
        while !(old.is_char_boundary(start) && new.is_char_boundary(start)) {
            start -= 1;
        }
        let max_end = old.len().min(new.len()) - start;
        let mut end = old
            .bytes()
            .rev()
            .zip(new.bytes().rev())
            .take(max_end)
            .take_while(|(a, b)| a == b)
            .count();
        while !(old.is_char_boundary(old.len() - end) && new.is_char_boundary(new.len() - end)) {
            end -= 1;
        }
        Self {
            keep_start: u32::try_from(start).unwrap_or(u32::MAX),
            keep_end: u32::try_from(end).unwrap_or(u32::MAX),
            insert: new[start..new.len() - end].into(),
        }
    }

    /// Applies the patch; `None` if the patch does not match the text.
    #[must_use]
    pub fn apply(&self, old: &str) -> Option<Box<str>> {
        let start = self.keep_start as usize;
        let end = old.len().checked_sub(self.keep_end as usize)?;
        if start > end {
            return None;
        }
        let mut text = String::from(old.get(..start)?);
        text.push_str(&self.insert);
        text.push_str(old.get(end..)?);
        Some(text.into())
    }
}
