//! A client of HTTP/1.1, as callers, operators and workers use it.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A response, or what arrived of it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub whole: bool,
    pub ms: u128,
}

impl Answer {
    /// The answer in a few words.
    pub fn describe(&self) -> String {
        let text = match self.status {
            0 => "no answer".to_owned(),
            200 => format!("200, {} bytes", self.body.len()),
            status => format!("{status} {}", String::from_utf8_lossy(&self.body)),
        };
        let end = if self.whole { "" } else { ", not whole" };
        format!("{text}{end} ({} ms)", self.ms)
    }
}

/// Value of a header in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Sends a request on a new connection and reads the response.
pub fn send(
    (ip, port): (&str, u16),
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let _ = exchange(
        (ip, port),
        (method, path),
        headers,
        body,
        began + limit,
        &mut answer,
    );
    answer.ms = began.elapsed().as_millis();
    answer
}

fn exchange(
    (ip, port): (&str, u16),
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    ends: Instant,
    answer: &mut Answer,
) -> io::Result<()> {
    let addr = SocketAddr::new(ip.parse().map_err(io::Error::other)?, port);
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let left = || {
        ends.saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1))
    };
    stream.set_write_timeout(Some(left()))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut bytes = Vec::new();
    let mut part = vec![0; 64 << 10];
    loop {
        if ends <= Instant::now() {
            return Ok(());
        }
        stream.set_read_timeout(Some(left()))?;
        let len = stream.read(&mut part)?;
        bytes.extend_from_slice(&part[..len]);
        if parse(&bytes, len == 0, answer) || len == 0 {
            return Ok(());
        }
    }
}

/// Parses what has arrived. Returns whether the response is whole.
fn parse(bytes: &[u8], closed: bool, answer: &mut Answer) -> bool {
    let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    answer.status = head
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let rest = &bytes[end + 4..];
    if header(&head, "transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        (answer.body, answer.whole) = unchunk(rest);
    } else if let Some(len) =
        header(&head, "content-length").and_then(|it| it.parse::<usize>().ok())
    {
        answer.whole = rest.len() >= len;
        answer.body = rest[..rest.len().min(len)].to_vec();
    } else {
        answer.whole = closed;
        answer.body = rest.to_vec();
    }
    answer.head = head;
    answer.whole
}

/// Joins chunks; the second value tells whether the last one has arrived.
fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|it| it == b"\r\n") else {
            return (body, false);
        };
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
        else {
            return (body, false);
        };
        rest = &rest[end + 2..];
        if size == 0 {
            return (body, rest.len() >= 2);
        }
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..rest.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}
