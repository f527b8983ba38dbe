//! Incremental reader of server-sent events.

/// Reads a stream of server-sent events chunk by chunk.
///
/// Counts events and, if asked to, collects their data; other fields are
/// ignored.
#[derive(Debug, Default)]
pub struct EventReader {
    /// Bytes of the incomplete line.
    line: Vec<u8>,
    /// Data of the incomplete event.
    data: Vec<u8>,
    /// Whether the incomplete event has a data field.
    has_data: bool,
    /// Whether the incomplete event has any complete line.
    begun: bool,
    /// Whether the data of events is collected.
    collects_data: bool,
    /// Bytes of the complete lines since the last complete event with data.
    since_event: u64,
    /// Number of complete events with data.
    events: u64,
    /// Data of the complete events, each followed by a line feed.
    collected: Vec<u8>,
}

impl EventReader {
    /// Creates a reader, which collects the data of events if `collects_data`.
    #[must_use]
    pub fn new(collects_data: bool) -> Self {
        Self {
            collects_data,
            ..Self::default()
        }
    }

    /// Reads the next bytes of the stream.
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
        self.since_event += line.len() as u64 + 1;
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if line.is_empty() {
            self.end_event();
            return;
        }
        self.begun = true;
        if let Some(data) = line.strip_prefix(b"data:") {
            let data = data.strip_prefix(b" ").unwrap_or(data);
            if self.has_data && self.collects_data {
                self.data.push(b'\n');
            }
            self.has_data = true;
            if self.collects_data {
                self.data.extend_from_slice(data);
            }
        }
    }

    fn end_event(&mut self) {
        if self.has_data {
            self.events += 1;
            self.since_event = 0;
            if self.collects_data {
                self.collected.append(&mut self.data);
                self.collected.push(b'\n');
            }
        }
        self.has_data = false;
        self.begun = false;
    }

    /// Number of complete events with data.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Number of bytes since the last complete event with data.
    #[must_use]
    pub const fn unfinished_bytes(&self) -> u64 {
        self.since_event + self.line.len() as u64
    }

    /// Number of bytes that the reader holds.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.line.len() + self.data.len() + self.collected.len()
    }

    /// Whether the stream ends within an event.
    #[must_use]
    pub const fn mid_event(&self) -> bool {
        self.begun || !self.line.is_empty()
    }

    /// Data of the complete events, each followed by a line feed.
    #[must_use]
    pub fn into_data(self) -> Vec<u8> {
        self.collected
    }
}
