//! Writes answers to callers: server-sent events or one JSON body.

use {
    crate::request::{ResponseWriter, Usage},
    quay_types::{Error, FinishReason},
    serde_json::{Value, json},
    std::io::{self, Write},
};

/// Reason phrase of a status; callers' libraries read the number only.
const fn reason(status: u16) -> &'static str {
    match status {
        200..=299 => "OK",
        400..=499 => "Refused",
        _ => "Failed",
    }
}

/// Time that answers carry because callers' libraries want one. It is always
/// the same, so that a resend gets the very answer that was recorded.
const CREATED: u64 = 0;

/// What every answer to one request shares.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// Number of the request in this process, for logs.
    pub number: u64,
    /// Id of the completion.
    pub id: Box<str>,
    /// Model that the caller named.
    pub model: Box<str>,
    /// Whether the last event of a stream tells the tokens used.
    pub usage_event: bool,
}

/// Writes a whole response. The connection can be used again
/// unless a header says otherwise.
pub fn write_body(
    out: &mut impl Write,
    status: u16,
    number: u64,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    write!(
        out,
        "HTTP/1.1 {status} {}\r\nsapphirequay-request: {number}\r\n{headers}content-length: {}\r\n\r\n",
        reason(status),
        body.len()
    )?;
    out.write_all(body)?;
    out.flush()
}

/// Writes a whole response in JSON.
pub fn write_json(
    out: &mut impl Write,
    status: u16,
    number: u64,
    headers: &str,
    body: &Value,
) -> io::Result<()> {
    let headers = format!("content-type: application/json\r\n{headers}");
    write_body(out, status, number, &headers, body.to_string().as_bytes())
}

/// Writes an error as a whole response.
pub fn write_error(out: &mut impl Write, number: u64, err: &Error) -> io::Result<()> {
    write_error_with(out, number, err, "")
}

/// Writes an error as the last response of its connection.
pub fn write_last_error(out: &mut impl Write, number: u64, err: &Error) -> io::Result<()> {
    write_error_with(out, number, err, "connection: close\r\n")
}

/// Writes an error with further `headers`.
fn write_error_with(
    out: &mut impl Write,
    number: u64,
    err: &Error,
    headers: &str,
) -> io::Result<()> {
    let headers = match err.retry_after_s() {
        Some(seconds) => format!("retry-after: {seconds}\r\n{headers}"),
        None => headers.to_owned(),
    };
    write_json(out, err.kind.status(), number, &headers, &error_json(err))
}

/// The JSON form of an error.
pub fn error_json(err: &Error) -> Value {
    json!({"error": {
        "kind": err.kind.name(), "type": err.kind.name(), "code": err.kind.name(),
        "message": err.message, "not_run": err.not_run(),
    }})
}

/// Name of a finish reason.
const fn finish_name(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

/// The token counts of an answer.
fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt.0,
        "completion_tokens": usage.output.0,
        "total_tokens": usage.prompt.0 + usage.output.0,
        "prompt_tokens_details": {"cached_tokens": usage.cached.0},
    })
}

// ----------------------------------------------------------------------------
// Events

/// Answers with server-sent events over a chunked body.
pub struct EventAnswer<W> {
    out: W,
    head: AnswerHead,
    /// Whether the response's head is written: from then on errors are events.
    started: bool,
    /// Bytes of the answer so far.
    bytes: u64,
    /// Checksum of the answer so far.
    checksum: crc32fast::Hasher,
}

impl<W: Write> EventAnswer<W> {
    /// An answer to one request.
    pub fn new(out: W, head: AnswerHead) -> Self {
        Self {
            out,
            head,
            started: false,
            bytes: 0,
            checksum: crc32fast::Hasher::new(),
        }
    }

    /// Writes the head before the first event.
    fn start(&mut self) -> io::Result<()> {
        if self.started {
            return Ok(());
        }
        self.started = true;
        write!(
            self.out,
            "HTTP/1.1 200 OK\r\nsapphirequay-request: {}\r\ncontent-type: text/event-stream\r\n\
            cache-control: no-cache\r\ntransfer-encoding: chunked\r\n\r\n",
            self.head.number
        )
    }

    /// Writes one chunk and flushes it: the caller waits for each event.
    fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.start()?;
        write!(self.out, "{:x}\r\n{text}\r\n", text.len())?;
        self.out.flush()
    }

    /// Writes one completion chunk with `extra` fields beside the common ones.
    fn completion(&mut self, choices: &Value, extra: &[(&str, Value)]) -> io::Result<()> {
        let mut event = json!({
            "id": self.head.id, "object": "chat.completion.chunk",
            "created": CREATED, "model": self.head.model, "choices": choices,
        });
        for (name, value) in extra {
            event[*name] = value.clone();
        }
        self.chunk(&format!("data: {event}\n\n"))
    }

    /// Says who speaks, once, before the text, as callers' libraries expect.
    fn role(&mut self) -> io::Result<()> {
        if self.started {
            return Ok(());
        }
        let delta = json!({"role": "assistant", "content": ""});
        self.completion(&json!([choice(&delta, None)]), &[])
    }

    /// Reports an error: as a status if nothing was written, else as an event.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        if !self.started {
            return write_error(&mut self.out, self.head.number, err);
        }
        self.chunk(&format!("event: error\ndata: {}\n\n", error_json(err)))?;
        self.finish()
    }

    /// Writes the last chunk.
    fn finish(&mut self) -> io::Result<()> {
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }
}

/// The only choice of an event.
fn choice(delta: &Value, finish: Option<&str>) -> Value {
    json!({"index": 0, "delta": delta, "finish_reason": finish})
}

impl<W: Write> ResponseWriter for EventAnswer<W> {
    fn delta(&mut self, text: &str) -> io::Result<()> {
        self.role()?;
        let offset = json!({"offset": self.bytes});
        self.bytes += text.len() as u64;
        self.checksum.update(text.as_bytes());
        let choices = json!([choice(&json!({"content": text}), None)]);
        self.completion(&choices, &[("sapphirequay", offset)])
    }

    fn restart(&mut self) -> io::Result<()> {
        self.bytes = 0;
        self.checksum = crc32fast::Hasher::new();
        self.chunk("event: restart\ndata: {}\n\n")
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        self.role()?;
        self.chunk(": heartbeat\n\n")
    }

    fn end(&mut self, finish: FinishReason, usage: Usage) -> io::Result<()> {
        self.role()?;
        let mark = json!({
            "bytes": self.bytes, "tokens": usage.output.0,
            "crc32": format!("{:08x}", self.checksum.clone().finalize()),
        });
        let choices = json!([choice(&json!({}), Some(finish_name(finish)))]);
        self.completion(&choices, &[("sapphirequay", mark)])?;
        if self.head.usage_event {
            self.completion(&json!([]), &[("usage", usage_json(usage))])?;
        }
        self.chunk("data: [DONE]\n\n")?;
        self.finish()
    }

    fn body(&mut self, _: u16, _: &[u8]) -> io::Result<()> {
        Err(io::Error::other("a model does not answer with a body"))
    }
}

// ----------------------------------------------------------------------------
// One body

/// Collects the answer and writes it whole.
pub struct WholeAnswer<W> {
    out: W,
    head: AnswerHead,
    text: String,
}

impl<W: Write> WholeAnswer<W> {
    /// An answer to one request.
    pub fn new(out: W, head: AnswerHead) -> Self {
        Self {
            out,
            head,
            text: String::new(),
        }
    }

    /// Reports an error.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        write_error(&mut self.out, self.head.number, err)
    }
}

impl<W: Write> ResponseWriter for WholeAnswer<W> {
    fn delta(&mut self, text: &str) -> io::Result<()> {
        self.text.push_str(text);
        Ok(())
    }

    fn restart(&mut self) -> io::Result<()> {
        self.text.clear();
        Ok(())
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn end(&mut self, finish: FinishReason, usage: Usage) -> io::Result<()> {
        let body = json!({
            "id": self.head.id, "object": "chat.completion",
            "created": CREATED, "model": self.head.model,
            "choices": [{
                "index": 0, "finish_reason": finish_name(finish),
                "message": {"role": "assistant", "content": self.text},
            }],
            "usage": usage_json(usage),
            "sapphirequay": {
                "bytes": self.text.len(), "tokens": usage.output.0,
                "crc32": format!("{:08x}", crc32fast::hash(self.text.as_bytes())),
            },
        });
        write_json(&mut self.out, 200, self.head.number, "", &body)
    }

    fn body(&mut self, _: u16, _: &[u8]) -> io::Result<()> {
        Err(io::Error::other("a model does not answer with a body"))
    }
}

// ----------------------------------------------------------------------------
// Plain services

/// Passes on the answer of a plain service.
pub struct BodyAnswer<W> {
    out: W,
    number: u64,
}

impl<W: Write> BodyAnswer<W> {
    /// An answer to the request of this number.
    pub const fn new(out: W, number: u64) -> Self {
        Self { out, number }
    }

    /// Reports an error.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        write_error(&mut self.out, self.number, err)
    }
}

impl<W: Write> ResponseWriter for BodyAnswer<W> {
    fn delta(&mut self, _: &str) -> io::Result<()> {
        Err(io::Error::other("a service does not stream"))
    }

    fn restart(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn end(&mut self, _: FinishReason, _: Usage) -> io::Result<()> {
        Err(io::Error::other("a service does not stream"))
    }

    fn body(&mut self, status: u16, body: &[u8]) -> io::Result<()> {
        let headers = "content-type: application/json\r\n";
        write_body(&mut self.out, status, self.number, headers, body)
    }
}
