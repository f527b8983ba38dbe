//! HTTP/1.1 over plain sockets: messages with a length or in chunks.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers in order, with names in lowercase.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Data of the events of a stream, each followed by a line feed.
    pub fn event_data(&self) -> Vec<u8> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let mut data = Vec::new();
        for line in text.lines() {
            if let Some(part) = line.strip_prefix("data: ") {
                data.extend_from_slice(part.as_bytes());
                data.push(b'\n');
            }
        }
        data
    }
}

/// Reads messages from a connection; keeps what arrives after the end of one.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16_384];
        let len = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..len]);
        Ok(len > 0)
    }

    fn take(&mut self, len: usize) -> Vec<u8> {
        let rest = self.buf.split_off(len);
        std::mem::replace(&mut self.buf, rest)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2);
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads the head of the next message; `None` if the connection has ended.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message into it. `sized` tells whether a message without a
    /// length has no body, as a request does; a response then ends with its connection.
    pub fn body(&mut self, message: &mut Message, sized: bool) -> io::Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|it| it.contains("chunked"));
        let length: Option<usize> = message
            .header("content-length")
            .and_then(|it| it.parse().ok());
        if chunked {
            loop {
                let Some(line) = self.line()? else {
                    return Ok(());
                };
                let len = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let len = len.map_err(|_| io::Error::other("a chunk has no length"))?;
                while self.buf.len() < len + 2 {
                    if !self.fill()? {
                        return Ok(());
                    }
                }
                let mut chunk = self.take(len + 2);
                chunk.truncate(len);
                message.body.extend_from_slice(&chunk);
                if len == 0 {
                    message.complete = true;
                    return Ok(());
                }
            }
        }
        match length {
            Some(len) => {
                while self.buf.len() < len {
                    if !self.fill()? {
                        return Ok(());
                    }
                }
                message.body = self.take(len);
                message.complete = true;
            }
            None if sized => message.complete = true,
            None => {
                while self.fill()? {}
                message.body = std::mem::take(&mut self.buf);
                message.complete = true;
            }
        }
        Ok(())
    }
}

/// Sends a request on a new connection and reads the response, within `limit`. On a failure
/// after the head the response is returned as incomplete.
pub fn call(
    addr: SocketAddr,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let ends = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = ends.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut text = format!("{start} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    let mut message = head.ok_or_else(|| io::Error::other("closed without an answer"))?;
    if reader.body(&mut message, false).is_err() {
        message.complete = false;
    }
    Ok(message)
}
