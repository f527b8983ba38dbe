//! Delivers a response to a caller that may disconnect before the call ends.

use {
    crate::request::{RecordedResponse, ResponseText, ResponseWriter, TextUpdate, Usage},
    std::io,
};

/// Delivery of one call's response to the caller.
///
/// The call continues if the caller disconnects: the response is recorded, and
/// a resend receives it.
pub struct Delivery<'a, A> {
    writer: &'a mut A,
    text: ResponseText,
    /// Whether a write has failed, so that the caller has disconnected.
    disconnected: bool,
}

impl<'a, A: ResponseWriter> Delivery<'a, A> {
    /// Creates a delivery of which the caller has received nothing yet.
    pub fn new(writer: &'a mut A) -> Self {
        Self {
            writer,
            text: ResponseText::default(),
            disconnected: false,
        }
    }

    /// Starts the next attempt.
    pub fn next_attempt(&mut self) {
        self.text.next_attempt();
    }

    /// Makes room for part of the attempt's response. Returns `false` if there is none.
    pub fn make_room(&mut self, text: &str) -> bool {
        self.writer.hold(self.text.text().len() + text.len())
    }

    /// Forwards part of the attempt's response; returns `false` if bytes before
    /// `offset` are missing.
    pub fn write_part(&mut self, offset: u64, text: &str) -> bool {
        let Some(update) = self.text.accept(offset, text) else {
            return false;
        };
        let written = write_update(self.writer, self.disconnected, update);
        self.check_write(written);
        true
    }

    /// Forwards a recorded response, which replaces the text delivered so far.
    pub fn replay(&mut self, response: &RecordedResponse) {
        if let RecordedResponse::Text { text, .. } = response {
            self.text.next_attempt();
            self.write_part(0, text);
        }
    }

    /// Keeps the caller's connection open.
    pub fn heartbeat(&mut self) {
        if !self.disconnected {
            let written = self.writer.heartbeat();
            self.check_write(written);
        }
    }

    /// Text of the current attempt received so far.
    pub fn text(&self) -> &str {
        self.text.text()
    }

    /// Ends the delivery of a complete response, which the ledger has recorded.
    pub fn finish(&mut self, response: &RecordedResponse, usage: Usage) {
        let updated = write_update(self.writer, self.disconnected, self.text.end());
        self.check_write(updated);
        if self.disconnected {
            return;
        }
        let written = match response {
            RecordedResponse::Text { finish, .. } => self.writer.end(*finish, usage),
            RecordedResponse::Body { status, body } => self.writer.body(*status, body),
        };
        self.check_write(written);
    }

    /// Marks the caller as disconnected if a write failed.
    fn check_write(&mut self, written: io::Result<()>) {
        if let Err(err) = written {
            log::info!("event=caller_gone cause={err:?}");
            self.disconnected = true;
        }
    }
}

/// Writes an update unless the caller has disconnected.
fn write_update(
    writer: &mut impl ResponseWriter,
    disconnected: bool,
    update: TextUpdate<'_>,
) -> io::Result<()> {
    match update {
        _ if disconnected => Ok(()),
        TextUpdate::Unchanged => Ok(()),
        TextUpdate::Append(text) => writer.delta(text),
        TextUpdate::Restart(text) => {
            writer.restart()?;
            writer.delta(text)
        }
    }
}
