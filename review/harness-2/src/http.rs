//! Small HTTP/1.1 client and the parts of a server that the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(it, _)| it.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Connection with what was read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        let len = self.stream.read(&mut chunk)?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(text.trim_end_matches(['\r', '\n']).to_owned());
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            self.fill()?;
        }
        Ok(self.buf.drain(..count).collect())
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let first = self.line()?;
        let mut head = Head {
            first,
            fields: Vec::new(),
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.to_owned(), value.trim().to_owned());
                head.fields.push(field);
            }
        }
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let len = usize::from_str_radix(self.line().ok()?.trim(), 16).ok()?;
        let chunk = self.bytes(len).ok().filter(|it| !it.is_empty())?;
        self.line().ok()?;
        Some(chunk)
    }

    /// Reads a body. The error holds what came before it broke off.
    pub fn body(&mut self, head: &Head, until_end: bool) -> Result<Vec<u8>, Vec<u8>> {
        let chunked = head
            .get("transfer-encoding")
            .is_some_and(|it| it.to_ascii_lowercase().contains("chunked"));
        let mut body = Vec::new();
        if chunked {
            loop {
                let Ok(len) = self.line() else {
                    return Err(body);
                };
                let Ok(len) = usize::from_str_radix(len.trim(), 16) else {
                    return Err(body);
                };
                if len == 0 {
                    return self.line().map(|_| body.clone()).map_err(|_| body);
                }
                let Ok(chunk) = self.bytes(len) else {
                    body.append(&mut self.buf);
                    return Err(body);
                };
                body.extend(chunk);
                if self.line().is_err() {
                    return Err(body);
                }
            }
        }
        match head.get("content-length").and_then(|it| it.parse().ok()) {
            Some(len) => self.bytes(len).map_err(|_| body),
            None if until_end => loop {
                body.append(&mut self.buf);
                match self.fill() {
                    Ok(()) => {}
                    Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => return Ok(body),
                    Err(_) => return Err(body),
                }
            },
            None => Ok(body),
        }
    }
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub whole: bool,
}

impl Answer {
    pub fn sealed(&self) -> bool {
        self.head.get("x-sapphirequay-response-seal").is_some()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn send(
    addr: SocketAddr,
    first: &str,
    fields: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let none = Answer {
        status: 0,
        head: Head::default(),
        body: Vec::new(),
        whole: false,
    };
    let Ok(stream) = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1))) else {
        return none;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_write_timeout(Some(limit));
    let mut conn = Conn::new(stream);
    let mut text = format!("{first} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut message = text.into_bytes();
    message.extend_from_slice(body);
    if conn.stream.write_all(&message).is_err() {
        return none;
    }
    let Ok(head) = conn.head() else { return none };
    let (body, whole) = match conn.body(&head, true) {
        Ok(body) => (body, true),
        Err(body) => (body, false),
    };
    Answer {
        status: head.status(),
        head,
        body,
        whole,
    }
}

/// Polls until a condition holds.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}
