//! Joins the answer of a later attempt to what the caller already has.

/// What to write to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextUpdate<'a> {
    /// Nothing that the caller does not have.
    Unchanged,
    /// Text that goes on where the caller's text ends.
    Append(&'a str),
    /// The attempt says something else: the answer begins again with this text.
    Restart(&'a str),
}

/// The text of the current attempt beside the text that the caller has.
///
/// `delivered` is always a prefix of one attempt's text, never of a mixture.
#[derive(Debug, Default)]
pub struct ResponseText {
    /// Text that the caller has.
    delivered: String,
    /// Text of the current attempt.
    text: String,
}

impl ResponseText {
    /// Starts the next attempt.
    pub fn next_attempt(&mut self) {
        self.text.clear();
    }

    /// Takes the part of the attempt's answer that starts at `offset`.
    ///
    /// `None` if bytes before the part are missing.
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

    /// Ends the attempt. One that ended before the caller's text did said
    /// something else.
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

    /// Takes back what the caller has and begins with the attempt's text.
    fn restart(&mut self) -> TextUpdate<'_> {
        self.delivered.clone_from(&self.text);
        TextUpdate::Restart(&self.delivered)
    }
}
