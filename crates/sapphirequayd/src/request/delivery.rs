//! Writes to a caller that may go away while its call goes on.

use {
    crate::request::{RecordedResponse, ResponseText, ResponseWriter, TextUpdate, Usage},
    std::io,
};

/// The answer on its way to the caller.
///
/// A caller that goes away does not end its call: the answer is recorded, and
/// a resend gets it.
pub struct Delivery<'a, A> {
    answer: &'a mut A,
    spliced: ResponseText,
    /// Whether a write has failed.
    gone: bool,
}

impl<'a, A: ResponseWriter> Delivery<'a, A> {
    /// A delivery to a caller that has nothing yet.
    pub fn new(answer: &'a mut A) -> Self {
        Self {
            answer,
            spliced: ResponseText::default(),
            gone: false,
        }
    }

    /// Starts the next attempt.
    pub fn next_attempt(&mut self) {
        self.spliced.next_attempt();
    }

    /// Passes part of the attempt's answer on; `false` if bytes before it are missing.
    pub fn part(&mut self, offset: u64, text: &str) -> bool {
        let Some(splice) = self.spliced.accept(offset, text) else {
            return false;
        };
        let written = write(self.answer, self.gone, splice);
        self.heed(written);
        true
    }

    /// Passes a recorded answer on, in place of what was delivered.
    pub fn replay(&mut self, answer: &RecordedResponse) {
        if let RecordedResponse::Text { text, .. } = answer {
            self.spliced.next_attempt();
            self.part(0, text);
        }
    }

    /// Keeps the connection alive.
    pub fn heartbeat(&mut self) {
        if !self.gone {
            let written = self.answer.heartbeat();
            self.heed(written);
        }
    }

    /// Text of the attempt so far.
    pub fn text(&self) -> &str {
        self.spliced.text()
    }

    /// Ends a whole answer that is recorded.
    pub fn finish(&mut self, answer: &RecordedResponse, usage: Usage) {
        let spliced = write(self.answer, self.gone, self.spliced.end());
        self.heed(spliced);
        if self.gone {
            return;
        }
        let written = match answer {
            RecordedResponse::Text { finish, .. } => self.answer.end(*finish, usage),
            RecordedResponse::Body { status, body } => self.answer.body(*status, body),
        };
        self.heed(written);
    }

    /// Notes that the caller has gone.
    fn heed(&mut self, written: io::Result<()>) {
        if let Err(err) = written {
            log::info!("event=caller_gone cause={err:?}");
            self.gone = true;
        }
    }
}

/// Writes what a splice says.
fn write(answer: &mut impl ResponseWriter, gone: bool, splice: TextUpdate<'_>) -> io::Result<()> {
    match splice {
        _ if gone => Ok(()),
        TextUpdate::Unchanged => Ok(()),
        TextUpdate::Append(text) => answer.delta(text),
        TextUpdate::Restart(text) => {
            answer.restart()?;
            answer.delta(text)
        }
    }
}
