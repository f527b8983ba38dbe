//! Writers of responses to callers: server-sent events or one JSON body.

use {
    crate::{
        connection::responder::Responder,
        gateway::{Body, full},
        request::{ResponseWriter, Usage},
    },
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Response, StatusCode, header},
    quay_types::{Error, FinishReason},
    serde_json::{Value, json},
    std::io,
};

/// Content type of JSON.
const JSON: &str = "application/json";

/// Creation time in completions, which client libraries require. A constant, so
/// that a resend receives exactly the recorded response.
const CREATED: u64 = 0;

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

/// Headers of a response.
type Headers = Vec<(HeaderName, HeaderValue)>;

/// Header with the number of the request in this process.
const REQUEST_NUMBER: HeaderName = HeaderName::from_static("sapphirequay-request");

fn headers(number: u64, content_type: &'static str) -> Headers {
    vec![
        (REQUEST_NUMBER, number.into()),
        (header::CONTENT_TYPE, HeaderValue::from_static(content_type)),
    ]
}

/// Writes a complete response.
pub fn write_body(
    out: &mut Responder,
    status: u16,
    number: u64,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> io::Result<()> {
    out.respond(status, &headers(number, content_type), body)
}

/// Writes a complete response with a JSON body.
pub fn write_json(out: &mut Responder, status: u16, number: u64, body: &Value) -> io::Result<()> {
    write_body(out, status, number, JSON, body.to_string())
}

/// Writes a complete error response.
pub fn write_error(out: &mut Responder, number: u64, err: &Error) -> io::Result<()> {
    let response = error_headers(number, err);
    out.respond(err.kind.status(), &response, error_json(err).to_string())
}

/// Creates a complete error response.
pub fn error_response(number: u64, err: &Error) -> Response<Body> {
    let mut response = Response::new(full(error_json(err).to_string().into()));
    *response.status_mut() =
        StatusCode::from_u16(err.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().extend(error_headers(number, err));
    response
}

fn error_headers(number: u64, err: &Error) -> Headers {
    let mut headers = headers(number, JSON);
    if let Some(seconds) = err.retry_after_s() {
        headers.push((header::RETRY_AFTER, seconds.into()));
    }
    headers
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
pub struct EventStreamResponse {
    out: Responder,
    info: ResponseInfo,
    /// Number of text bytes sent so far.
    bytes: u64,
    /// CRC-32 of the text sent so far.
    checksum: crc32fast::Hasher,
}

impl EventStreamResponse {
    /// Creates a writer of the response to one request.
    pub fn new(out: Responder, info: ResponseInfo) -> Self {
        Self {
            out,
            info,
            bytes: 0,
            checksum: crc32fast::Hasher::new(),
        }
    }

    /// Writes one event, after the head of the response.
    fn write_event(&mut self, text: String) -> io::Result<()> {
        if !self.out.has_begun() {
            let mut headers = headers(self.info.number, "text/event-stream");
            let no_cache = HeaderValue::from_static("no-cache");
            headers.push((header::CACHE_CONTROL, no_cache));
            self.out.begin(&headers)?;
        }
        self.out.write(text)
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
        self.write_event(format!("data: {event}\n\n"))
    }

    /// Writes the chunk with the assistant role, which client libraries expect
    /// once before the text.
    fn write_role(&mut self) -> io::Result<()> {
        if self.out.has_begun() {
            return Ok(());
        }
        let delta = json!({"role": "assistant", "content": ""});
        self.write_completion(&json!([choice(&delta, None)]), &[])
    }

    /// Sends an error: as an HTTP status if the response head was not sent yet,
    /// else as an event, after which the body breaks off.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        if !self.out.has_begun() {
            return write_error(&mut self.out, self.info.number, err);
        }
        self.write_event(format!("event: error\ndata: {}\n\n", error_json(err)))?;
        self.out.abort("the call failed")
    }
}

/// Encodes the single choice of a completion chunk.
fn choice(delta: &Value, finish: Option<&str>) -> Value {
    json!({"index": 0, "delta": delta, "finish_reason": finish})
}

impl ResponseWriter for EventStreamResponse {
    fn hold(&mut self, bytes: usize) -> bool {
        self.out.hold_text(bytes)
    }

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
        self.write_event("event: restart\ndata: {}\n\n".into())
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        self.write_role()?;
        self.write_event(": heartbeat\n\n".into())
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
        self.write_event("data: [DONE]\n\n".into())?;
        self.out.finish();
        Ok(())
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
pub struct JsonResponse {
    out: Responder,
    info: ResponseInfo,
    text: String,
}

impl JsonResponse {
    /// Creates a writer of the response to one request.
    pub fn new(out: Responder, info: ResponseInfo) -> Self {
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

impl ResponseWriter for JsonResponse {
    fn hold(&mut self, bytes: usize) -> bool {
        self.out.hold_text(bytes)
    }

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
        write_json(&mut self.out, 200, self.info.number, &body)
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
pub struct ServiceResponse {
    out: Responder,
    number: u64,
}

impl ServiceResponse {
    /// Creates a writer of the response to request `number`.
    pub const fn new(out: Responder, number: u64) -> Self {
        Self { out, number }
    }

    /// Sends an error response.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        write_error(&mut self.out, self.number, err)
    }
}

impl ResponseWriter for ServiceResponse {
    fn hold(&mut self, bytes: usize) -> bool {
        self.out.hold_text(bytes)
    }

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
        write_body(&mut self.out, status, self.number, JSON, body.to_vec())
    }
}
