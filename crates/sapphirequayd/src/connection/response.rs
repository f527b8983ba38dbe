//! Writers of responses to callers: server-sent events or one JSON body.

use {
    crate::request::{ResponseWriter, Usage},
    quay_types::{Error, FinishReason},
    serde_json::{Value, json},
    std::io::{self, Write},
};

/// Reason phrase of a status. Client libraries evaluate the status code only.
const fn reason(status: u16) -> &'static str {
    match status {
        200..=299 => "OK",
        400..=499 => "Refused",
        _ => "Failed",
    }
}

/// Creation time in completions, which client libraries require. A constant, so
/// that a resend receives exactly the recorded response.
const CREATED: u64 = 0;

/// Size line of a chunk that is too large for any reader: an error for the caller's
/// client, which takes the body for incomplete.
const ABORT: &[u8] = b"fffffffffffffffff\r\n";

/// Data of a request that its response contains.
#[derive(Debug, Clone)]
pub struct ResponseInfo {
    /// Number of the request in this process, for logs.
    pub number: u64,
    /// Id of the completion.
    pub id: Box<str>,
    /// Model name from the request.
    pub model: Box<str>,
    /// Whether a stream ends with an event that reports the token usage.
    pub usage_event: bool,
}

/// Writes a complete response. The connection stays open for further requests
/// unless `headers` contains `connection: close`.
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

/// Writes a complete response with a JSON body.
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

/// Writes a complete error response.
pub fn write_error(out: &mut impl Write, number: u64, err: &Error) -> io::Result<()> {
    write_error_with(out, number, err, "")
}

/// Writes an error response that closes the connection.
pub fn write_last_error(out: &mut impl Write, number: u64, err: &Error) -> io::Result<()> {
    write_error_with(out, number, err, "connection: close\r\n")
}

/// Writes an error response with additional `headers`.
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

/// Encodes an error as JSON.
pub fn error_json(err: &Error) -> Value {
    json!({"error": {
        "kind": err.kind.name(), "type": err.kind.name(), "code": err.kind.name(),
        "message": err.message, "not_run": err.not_run(),
    }})
}

/// Name of a finish reason in completions.
const fn finish_name(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

/// Encodes the token counts of a response as JSON.
fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt.0,
        "completion_tokens": usage.output.0,
        "total_tokens": usage.prompt.0 + usage.output.0,
        "prompt_tokens_details": {"cached_tokens": usage.cached.0},
    })
}

// ----------------------------------------------------------------------------
// Server-sent events

/// Writer of a response of server-sent events in a chunked body.
pub struct EventStreamResponse<W> {
    out: W,
    info: ResponseInfo,
    /// Whether the response head was sent; after that, errors are sent as
    /// events.
    head_sent: bool,
    /// Number of text bytes sent so far.
    bytes: u64,
    /// CRC-32 of the text sent so far.
    checksum: crc32fast::Hasher,
}

impl<W: Write> EventStreamResponse<W> {
    /// Creates a writer of the response to one request.
    pub fn new(out: W, info: ResponseInfo) -> Self {
        Self {
            out,
            info,
            head_sent: false,
            bytes: 0,
            checksum: crc32fast::Hasher::new(),
        }
    }

    /// Writes the response head, unless it was already sent.
    fn write_head(&mut self) -> io::Result<()> {
        if self.head_sent {
            return Ok(());
        }
        self.head_sent = true;
        write!(
            self.out,
            "HTTP/1.1 200 OK\r\nsapphirequay-request: {}\r\ncontent-type: text/event-stream\r\n\
            cache-control: no-cache\r\ntransfer-encoding: chunked\r\n\r\n",
            self.info.number
        )
    }

    /// Writes one chunk and flushes it, so that each event is sent immediately.
    fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        self.write_head()?;
        write!(self.out, "{:x}\r\n{text}\r\n", text.len())?;
        self.out.flush()
    }

    /// Writes a completion chunk with the common fields and the `extra` fields.
    fn write_completion(&mut self, choices: &Value, extra: &[(&str, Value)]) -> io::Result<()> {
        let mut event = json!({
            "id": self.info.id, "object": "chat.completion.chunk",
            "created": CREATED, "model": self.info.model, "choices": choices,
        });
        for (name, value) in extra {
            event[*name] = value.clone();
        }
        self.write_chunk(&format!("data: {event}\n\n"))
    }

    /// Writes the chunk with the assistant role, which client libraries expect
    /// once before the text.
    fn write_role(&mut self) -> io::Result<()> {
        if self.head_sent {
            return Ok(());
        }
        let delta = json!({"role": "assistant", "content": ""});
        self.write_completion(&json!([choice(&delta, None)]), &[])
    }

    /// Sends an error: as an HTTP status if the response head was not sent yet,
    /// else as an event, after which the body breaks off.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        if !self.head_sent {
            return write_error(&mut self.out, self.info.number, err);
        }
        self.write_chunk(&format!("event: error\ndata: {}\n\n", error_json(err)))?;
        self.abort()
    }

    /// Breaks the body off. `tiny_http` can't close a connection between two requests.
    fn abort(&mut self) -> io::Result<()> {
        self.out.write_all(ABORT)?;
        self.out.flush()
    }

    /// Writes the terminating chunk of the body.
    fn finish(&mut self) -> io::Result<()> {
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }
}

/// Encodes the single choice of a completion chunk.
fn choice(delta: &Value, finish: Option<&str>) -> Value {
    json!({"index": 0, "delta": delta, "finish_reason": finish})
}

impl<W: Write> ResponseWriter for EventStreamResponse<W> {
    fn delta(&mut self, text: &str) -> io::Result<()> {
        self.write_role()?;
        let offset = json!({"offset": self.bytes});
        self.bytes += text.len() as u64;
        self.checksum.update(text.as_bytes());
        let choices = json!([choice(&json!({"content": text}), None)]);
        self.write_completion(&choices, &[("sapphirequay", offset)])
    }

    fn restart(&mut self) -> io::Result<()> {
        self.bytes = 0;
        self.checksum = crc32fast::Hasher::new();
        self.write_chunk("event: restart\ndata: {}\n\n")
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        self.write_role()?;
        self.write_chunk(": heartbeat\n\n")
    }

    fn end(&mut self, finish: FinishReason, usage: Usage) -> io::Result<()> {
        self.write_role()?;
        let summary = json!({
            "bytes": self.bytes, "tokens": usage.output.0,
            "crc32": format!("{:08x}", self.checksum.clone().finalize()),
        });
        let choices = json!([choice(&json!({}), Some(finish_name(finish)))]);
        self.write_completion(&choices, &[("sapphirequay", summary)])?;
        if self.info.usage_event {
            self.write_completion(&json!([]), &[("usage", usage_json(usage))])?;
        }
        self.write_chunk("data: [DONE]\n\n")?;
        self.finish()
    }

    fn body(&mut self, _: u16, _: &[u8]) -> io::Result<()> {
        Err(io::Error::other(
            "unexpected response body from a model engine",
        ))
    }
}

// ----------------------------------------------------------------------------
// JSON responses

/// Writer that collects the text and sends it as one JSON response.
pub struct JsonResponse<W> {
    out: W,
    info: ResponseInfo,
    text: String,
}

impl<W: Write> JsonResponse<W> {
    /// Creates a writer of the response to one request.
    pub fn new(out: W, info: ResponseInfo) -> Self {
        Self {
            out,
            info,
            text: String::new(),
        }
    }

    /// Sends an error response.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        write_error(&mut self.out, self.info.number, err)
    }
}

impl<W: Write> ResponseWriter for JsonResponse<W> {
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
            "id": self.info.id, "object": "chat.completion",
            "created": CREATED, "model": self.info.model,
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
        write_json(&mut self.out, 200, self.info.number, "", &body)
    }

    fn body(&mut self, _: u16, _: &[u8]) -> io::Result<()> {
        Err(io::Error::other(
            "unexpected response body from a model engine",
        ))
    }
}

// ----------------------------------------------------------------------------
// Services other than model engines

/// Writer that forwards the response body of a service.
pub struct ServiceResponse<W> {
    out: W,
    number: u64,
}

impl<W: Write> ServiceResponse<W> {
    /// Creates a writer of the response to request `number`.
    pub const fn new(out: W, number: u64) -> Self {
        Self { out, number }
    }

    /// Sends an error response.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        write_error(&mut self.out, self.number, err)
    }
}

impl<W: Write> ResponseWriter for ServiceResponse<W> {
    fn delta(&mut self, _: &str) -> io::Result<()> {
        Err(io::Error::other("unexpected stream from a service"))
    }

    fn restart(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn end(&mut self, _: FinishReason, _: Usage) -> io::Result<()> {
        Err(io::Error::other("unexpected stream from a service"))
    }

    fn body(&mut self, status: u16, body: &[u8]) -> io::Result<()> {
        let headers = "content-type: application/json\r\n";
        write_body(&mut self.out, status, self.number, headers, body)
    }
}
