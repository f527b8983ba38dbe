//! Events of a stream, as they pass.

/// Reads a stream of events piece by piece.
///
/// Only the data of events is kept, and only if that is wanted.
#[derive(Debug, Default)]
pub struct EventReader {
    /// The line that has begun.
    line: Vec<u8>,
    /// Data of the event that has begun.
    data: Vec<u8>,
    /// Whether the event that has begun has data.
    has_data: bool,
    /// Whether the event that has begun has any line.
    begun: bool,
    /// Whether data is kept.
    keeps: bool,
    /// Events that have passed whole.
    events: u64,
    /// Data of the events that have passed, each followed by a line feed.
    kept: Vec<u8>,
}

impl EventReader {
    /// A reader that keeps the data of events if `keeps`.
    #[must_use]
    pub fn new(keeps: bool) -> Self {
        Self {
            keeps,
            ..Self::default()
        }
    }

    /// Takes the next bytes of the stream.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&bytes[..end]);
            bytes = &bytes[end + 1..];
            self.end_line();
        }
        self.line.extend_from_slice(bytes);
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if line.is_empty() {
            self.end_event();
            return;
        }
        self.begun = true;
        if let Some(data) = line.strip_prefix(b"data:") {
            let data = data.strip_prefix(b" ").unwrap_or(data);
            if self.has_data && self.keeps {
                self.data.push(b'\n');
            }
            self.has_data = true;
            if self.keeps {
                self.data.extend_from_slice(data);
            }
        }
    }

    fn end_event(&mut self) {
        if self.has_data {
            self.events += 1;
            if self.keeps {
                self.kept.append(&mut self.data);
                self.kept.push(b'\n');
            }
        }
        self.has_data = false;
        self.begun = false;
    }

    /// Events that have passed whole.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Whether an event has begun that is not whole.
    #[must_use]
    pub const fn mid_event(&self) -> bool {
        self.begun || !self.line.is_empty()
    }

    /// Data of the events that have passed, each followed by a line feed.
    #[must_use]
    pub fn into_data(self) -> Vec<u8> {
        self.kept
    }
}
