//! HTTP of a stand-in engine.

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

/// Time for which a silent connection is held open.
const SILENCE: Duration = Duration::from_mins(2);

/// Interval at which a silent connection looks whether the engine has stopped.
const SILENT_LOOK: Duration = Duration::from_millis(200);

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
                    follow(streams, &stream, tokens.unwrap_or(0), req)
                }
                None => req.respond(Response::empty(404)),
            },
            _ => control(streams, req),
        },
    }
}

/// Serves what only a modelled engine knows.
fn control(streams: &Streams, mut req: Request) -> io::Result<()> {
    let mut body = Vec::new();
    req.as_reader().read_to_end(&mut body)?;
    let method = req.method().to_string();
    let answer = streams
        .driver()
        .and_then(|driver| control::serve(driver, &method, req.url(), &body));
    let Some((status, answer)) = answer else {
        return req.respond(Response::empty(404));
    };
    req.respond(Response::from_string(answer.to_string()).with_status_code(status))
}

/// The value of a header.
fn header(req: &mut Request, name: &'static str) -> Option<String> {
    let header = req.headers().iter().find(|header| header.field.equiv(name));
    header.map(|header| header.value.to_string())
}

/// Begins an answer and follows it.
fn complete(streams: &Arc<Streams>, mut req: Request) -> io::Result<()> {
    let body: Value = serde_json::from_reader(req.as_reader()).unwrap_or_default();
    let messages = body["messages"].to_string();
    streams.swallow(&messages);
    if streams.crashed() {
        // Without the writer no answer is made up when the request is dropped.
        drop(req.into_writer());
        return Ok(());
    }
    let id = header(&mut req, "Sapphirequay-Stream");
    let id = id.unwrap_or_else(|| format!("own-{}", streams.counts().started));
    let stream = streams.start(&id, &messages, body["max_tokens"].as_u64());
    follow(streams, &stream, 0, req)
}

/// Writes the tokens of an answer after the first `from`.
fn follow(streams: &Streams, stream: &Stream, from: u64, req: Request) -> io::Result<()> {
    let silence = streams.silence_number();
    let mut out = req.into_writer();
    out.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    )?;
    out.flush()?;
    let mut written = from;
    loop {
        let standing = stream.wait_beyond(written);
        if standing.crashed {
            streams.crash();
        }
        if streams.crashed() || streams.silence_number() != silence {
            return hold(streams);
        }
        if standing.cancelled {
            return finish(&mut out);
        }
        while written < standing.tokens {
            let text = streams.word(written);
            written += 1;
            let delta = json!({"choices": [{"index": 0, "delta": {"content": text}}]});
            event(&mut out, written, &delta)?;
        }
        if standing.done && written >= stream.tokens {
            return end(&mut out, stream, standing.cached);
        }
    }
}

/// Keeps a connection open without a word.
fn hold(streams: &Streams) -> io::Result<()> {
    let mut waited = Duration::ZERO;
    while waited < SILENCE && !streams.crashed() {
        thread::sleep(SILENT_LOOK);
        waited += SILENT_LOOK;
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Writes the end of an answer.
fn end(out: &mut impl Write, stream: &Stream, cached: u64) -> io::Result<()> {
    let finish_reason = if stream.limited { "length" } else { "stop" };
    let last = json!({
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason}],
        "usage": {
            "prompt_tokens": stream.prompt, "completion_tokens": stream.tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        },
    });
    event(out, stream.tokens, &last)?;
    chunk(out, "data: [DONE]\n\n")?;
    finish(out)
}

/// Writes the last chunk.
fn finish(out: &mut impl Write) -> io::Result<()> {
    out.write_all(b"0\r\n\r\n")?;
    out.flush()
}

/// Writes one event with the number of tokens so far.
fn event(out: &mut impl Write, id: u64, data: &Value) -> io::Result<()> {
    chunk(out, &format!("id: {id}\ndata: {data}\n\n"))
}

/// Writes and flushes one chunk.
fn chunk(out: &mut impl Write, text: &str) -> io::Result<()> {
    write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    out.flush()
}
