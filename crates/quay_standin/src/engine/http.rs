//! HTTP endpoints of a simulated engine.

use {
    crate::engine::{
        control,
        stream::{Stream, Streams},
    },
    serde_json::{Value, json},
    std::{
        io::{self, Write},
        sync::Arc,
        thread,
        time::Duration,
    },
    tiny_http::{Method, Request, Response},
};

/// Time for which a stalled connection is kept open.
const STALL_DURATION: Duration = Duration::from_mins(2);

/// Interval at which a stalled connection checks whether the engine has stopped.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Serves one request.
pub fn serve(streams: &Arc<Streams>, mut req: Request) -> io::Result<()> {
    let path: Box<str> = req.url().into();
    let method = req.method().clone();
    match (&method, &*path) {
        (Method::Post, "/v1/chat/completions") => complete(streams, req),
        (Method::Get, "/healthz") => req.respond(Response::from_string("ok")),
        (Method::Get, "/stand-in/counts") => {
            let counts = streams.counts();
            let body = json!({
                "started": counts.started, "resumed": counts.resumed,
                "cancelled": counts.cancelled, "running": counts.running,
            });
            req.respond(Response::from_string(body.to_string()))
        }
        (Method::Post, "/stand-in/silence") => {
            streams.stall_connections();
            req.respond(Response::empty(204))
        }
        (Method::Post, "/stand-in/crash") => {
            streams.crash();
            Ok(())
        }
        _ => match path.strip_prefix("/v1/streams/") {
            Some(id) if method == Method::Delete => {
                let status = if streams.cancel(id) { 204 } else { 404 };
                req.respond(Response::empty(status))
            }
            Some(id) if method == Method::Get => match streams.resume(id) {
                Some(stream) => {
                    let tokens = header(&mut req, "Last-Event-ID");
                    let tokens = tokens.and_then(|text| text.parse().ok());
                    write_stream(streams, &stream, tokens.unwrap_or(0), req)
                }
                None => req.respond(Response::empty(404)),
            },
            _ => serve_control(streams, req),
        },
    }
}

/// Serves the control endpoints, which only an engine with a model has.
fn serve_control(streams: &Streams, mut req: Request) -> io::Result<()> {
    let mut body = Vec::new();
    req.as_reader().read_to_end(&mut body)?;
    let method = req.method().to_string();
    let reply = streams
        .driver()
        .and_then(|driver| control::serve(driver, &method, req.url(), &body));
    let Some((status, body)) = reply else {
        return req.respond(Response::empty(404));
    };
    req.respond(Response::from_string(body.to_string()).with_status_code(status))
}

/// Value of a header, if it is present.
fn header(req: &mut Request, name: &'static str) -> Option<String> {
    let header = req.headers().iter().find(|header| header.field.equiv(name));
    header.map(|header| header.value.to_string())
}

/// Starts a completion, or joins the one with the same stream ID, and writes its
/// events.
fn complete(streams: &Arc<Streams>, mut req: Request) -> io::Result<()> {
    let body: Value = serde_json::from_reader(req.as_reader()).unwrap_or_default();
    let messages = body["messages"].to_string();
    streams.crash_if_poison(&messages);
    if streams.crashed() {
        // Dropping a `Request` sends a default response; dropping its writer
        // closes the connection without one.
        drop(req.into_writer());
        return Ok(());
    }
    let id = header(&mut req, "Sapphirequay-Stream");
    let id = id.unwrap_or_else(|| format!("own-{}", streams.counts().started));
    let stream = streams.start(&id, &messages, body["max_tokens"].as_u64());
    write_stream(streams, &stream, 0, req)
}

/// Writes the events of a stream after its first `from` tokens.
fn write_stream(streams: &Streams, stream: &Stream, from: u64, req: Request) -> io::Result<()> {
    let stall_epoch = streams.stall_epoch();
    let mut out = req.into_writer();
    out.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    )?;
    out.flush()?;
    let mut written = from;
    loop {
        let progress = stream.wait_beyond(written);
        if progress.crashed {
            streams.crash();
        }
        if streams.crashed() || streams.stall_epoch() != stall_epoch {
            return stall(streams);
        }
        if progress.cancelled {
            return write_last_chunk(&mut out);
        }
        while written < progress.tokens {
            let text = streams.token_text(written);
            written += 1;
            let delta = json!({"choices": [{"index": 0, "delta": {"content": text}}]});
            write_event(&mut out, written, &delta)?;
        }
        if progress.done && written >= stream.tokens {
            return write_end(&mut out, stream, progress.cached);
        }
    }
}

/// Keeps a connection open without sending data, until the stall time ends or
/// the engine stops.
fn stall(streams: &Streams) -> io::Result<()> {
    let mut waited = Duration::ZERO;
    while waited < STALL_DURATION && !streams.crashed() {
        thread::sleep(STALL_POLL_INTERVAL);
        waited += STALL_POLL_INTERVAL;
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Writes the last events and the final chunk of a completed stream.
fn write_end(out: &mut impl Write, stream: &Stream, cached: u64) -> io::Result<()> {
    let finish_reason = if stream.limited { "length" } else { "stop" };
    let last = json!({
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason}],
        "usage": {
            "prompt_tokens": stream.prompt, "completion_tokens": stream.tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        },
    });
    write_event(out, stream.tokens, &last)?;
    write_chunk(out, "data: [DONE]\n\n")?;
    write_last_chunk(out)
}

/// Writes the final chunk of the response body.
fn write_last_chunk(out: &mut impl Write) -> io::Result<()> {
    out.write_all(b"0\r\n\r\n")?;
    out.flush()
}

/// Writes one server-sent event; its ID is the number of tokens so far.
fn write_event(out: &mut impl Write, id: u64, data: &Value) -> io::Result<()> {
    write_chunk(out, &format!("id: {id}\ndata: {data}\n\n"))
}

/// Writes and flushes one chunk.
fn write_chunk(out: &mut impl Write, text: &str) -> io::Result<()> {
    write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    out.flush()
}
