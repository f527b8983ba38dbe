//! Continues a caller's partial response with the text of a later attempt.

/// Update to write to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextUpdate<'a> {
    /// The caller already has this text.
    Unchanged,
    /// Text to append to what the caller has.
    Append(&'a str),
    /// The attempt's text differs from what the caller has: the response
    /// restarts with this text.
    Restart(&'a str),
}

/// Text of the current attempt and text already delivered to the caller.
///
/// `delivered` is always a prefix of a single attempt's text; text of several
/// attempts is never mixed.
#[derive(Debug, Default)]
pub struct ResponseText {
    /// Text delivered to the caller.
    delivered: String,
    /// Text of the current attempt.
    text: String,
}

impl ResponseText {
    /// Starts the next attempt; the delivered text is kept.
    pub fn next_attempt(&mut self) {
        self.text.clear();
    }

    /// Adds the part of the attempt's response that starts at byte `offset`.
    ///
    /// Returns `None` if `offset` is not the end of the text received so far.
    pub fn accept(&mut self, offset: u64, part: &str) -> Option<TextUpdate<'_>> {
        if offset != self.text.len() as u64 {
            return None;
        }
        self.text.push_str(part);
        let from = self.delivered.len();
        if self.text.len() <= from {
            if self.delivered.starts_with(&self.text) {
                return Some(TextUpdate::Unchanged);
            }
            return Some(self.restart());
        }
        if !self.text.starts_with(&self.delivered) {
            return Some(self.restart());
        }
        self.delivered.push_str(&self.text[from..]);
        Some(TextUpdate::Append(&self.delivered[from..]))
    }

    /// Ends the attempt. An attempt whose text is shorter than the delivered
    /// text differs from it, so the response restarts.
    pub fn end(&mut self) -> TextUpdate<'_> {
        if self.delivered.len() == self.text.len() {
            TextUpdate::Unchanged
        } else {
            self.restart()
        }
    }

    /// Text of the current attempt.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Replaces the delivered text with the attempt's text.
    fn restart(&mut self) -> TextUpdate<'_> {
        self.delivered.clone_from(&self.text);
        TextUpdate::Restart(&self.delivered)
    }
}
