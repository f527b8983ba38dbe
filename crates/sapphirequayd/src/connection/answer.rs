//! Writes answers to callers: server-sent events or one JSON body.

use {
    crate::request::Answer,
    quay_types::{Error, FinishReason, Tokens},
    serde_json::{Value, json},
    std::io::{self, Write},
};

/// Reason phrase of a status; callers' libraries read the number only.
const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400..=499 => "Refused",
        _ => "Failed",
    }
}

/// Writes a whole response.
pub fn write_json(
    out: &mut impl Write,
    status: u16,
    headers: &str,
    body: &Value,
) -> io::Result<()> {
    let body = body.to_string();
    write!(
        out,
        "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\n",
        reason(status)
    )?;
    write!(
        out,
        "content-length: {}\r\n{headers}connection: close\r\n\r\n{body}",
        body.len()
    )?;
    out.flush()
}

/// Writes an error as a whole response.
pub fn write_error(out: &mut impl Write, err: &Error) -> io::Result<()> {
    let headers = match err.retry_after_s() {
        Some(seconds) => format!("retry-after: {seconds}\r\n"),
        None => String::new(),
    };
    write_json(out, err.kind.status(), &headers, &error_json(err))
}

/// The JSON form of an error.
pub fn error_json(err: &Error) -> Value {
    json!({"error": {"kind": err.kind.name(), "message": err.message, "not_run": err.kind.not_run()}})
}

/// Name of a finish reason.
const fn finish_name(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

/// Answers with server-sent events over a chunked body.
pub struct EventAnswer<W> {
    out: W,
    id: Box<str>,
    model: Box<str>,
    started: bool,
}

impl<W: Write> EventAnswer<W> {
    /// An answer to the request `id`.
    pub fn new(out: W, id: impl Into<Box<str>>, model: impl Into<Box<str>>) -> Self {
        Self {
            out,
            id: id.into(),
            model: model.into(),
            started: false,
        }
    }

    /// Writes the head before the first event.
    fn start(&mut self) -> io::Result<()> {
        if !self.started {
            self.started = true;
            self.out.write_all(
                b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n\
                transfer-encoding: chunked\r\nconnection: close\r\n\r\n",
            )?;
        }
        Ok(())
    }

    /// Writes one chunk and flushes it: the caller waits for each event.
    fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.start()?;
        write!(self.out, "{:x}\r\n{text}\r\n", text.len())?;
        self.out.flush()
    }

    /// Writes one completion chunk.
    fn completion(&mut self, delta: &Value, finish: Option<&str>, usage: &Value) -> io::Result<()> {
        let event = json!({
            "id": self.id, "object": "chat.completion.chunk", "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
            "usage": usage,
        });
        self.chunk(&format!("data: {event}\n\n"))
    }

    /// Reports an error: as a status if nothing was written, else as an event.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        if !self.started {
            return write_error(&mut self.out, err);
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

impl<W: Write> Answer for EventAnswer<W> {
    fn delta(&mut self, text: &str) -> io::Result<()> {
        self.completion(&json!({"content": text}), None, &Value::Null)
    }

    fn restart(&mut self) -> io::Result<()> {
        self.chunk("event: restart\ndata: {}\n\n")
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        self.chunk(": heartbeat\n\n")
    }

    fn body(&mut self, _: u16, _: &[u8]) -> io::Result<()> {
        Err(io::Error::other("a model does not answer with a body"))
    }

    fn end(&mut self, finish: FinishReason, prompt: Tokens, output: Tokens) -> io::Result<()> {
        self.completion(
            &json!({}),
            Some(finish_name(finish)),
            &usage(prompt, output),
        )?;
        self.chunk("data: [DONE]\n\n")?;
        self.finish()
    }
}

/// Collects the answer and writes it whole.
pub struct WholeAnswer<W> {
    out: W,
    id: Box<str>,
    model: Box<str>,
    text: String,
}

impl<W: Write> WholeAnswer<W> {
    /// An answer to the request `id`.
    pub fn new(out: W, id: impl Into<Box<str>>, model: impl Into<Box<str>>) -> Self {
        Self {
            out,
            id: id.into(),
            model: model.into(),
            text: String::new(),
        }
    }

    /// Reports an error.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        write_error(&mut self.out, err)
    }
}

impl<W: Write> Answer for WholeAnswer<W> {
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

    fn body(&mut self, _: u16, _: &[u8]) -> io::Result<()> {
        Err(io::Error::other("a model does not answer with a body"))
    }

    fn end(&mut self, finish: FinishReason, prompt: Tokens, output: Tokens) -> io::Result<()> {
        let body = json!({
            "id": self.id, "object": "chat.completion", "model": self.model,
            "choices": [{
                "index": 0, "finish_reason": finish_name(finish),
                "message": {"role": "assistant", "content": self.text},
            }],
            "usage": usage(prompt, output),
        });
        write_json(&mut self.out, 200, "", &body)
    }
}

/// Passes on the answer of a plain service.
pub struct BodyAnswer<W> {
    out: W,
}

impl<W: Write> BodyAnswer<W> {
    /// An answer to one request.
    pub const fn new(out: W) -> Self {
        Self { out }
    }

    /// Reports an error.
    pub fn fail(&mut self, err: &Error) -> io::Result<()> {
        write_error(&mut self.out, err)
    }
}

impl<W: Write> Answer for BodyAnswer<W> {
    fn delta(&mut self, _: &str) -> io::Result<()> {
        Err(io::Error::other("a service does not stream"))
    }

    fn restart(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn end(&mut self, _: FinishReason, _: Tokens, _: Tokens) -> io::Result<()> {
        Err(io::Error::other("a service does not stream"))
    }

    fn body(&mut self, status: u16, body: &[u8]) -> io::Result<()> {
        write!(
            self.out,
            "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            reason(status),
            body.len()
        )?;
        self.out.write_all(body)?;
        self.out.flush()
    }
}

/// The token counts of an answer.
fn usage(prompt: Tokens, output: Tokens) -> Value {
    json!({"prompt_tokens": prompt.0, "completion_tokens": output.0, "total_tokens": prompt.0 + output.0})
}
