//! Reading of request bodies, and error responses to requests whose body may be
//! unread.
//!
//! When a request is dropped, `tiny_http` reads the rest of the body into one
//! buffer of the declared content length. The operating system commits memory
//! only as bytes arrive, but a length beyond the address space terminates
//! the process. Requests with such a length are therefore never dropped.

use {
    crate::connection::response::{error_json, write_error, write_last_error},
    quay_types::{Error, ErrorKind, Result},
    std::{
        io, mem,
        time::{Duration, Instant},
    },
    tiny_http::{Header, Request, Response},
};

/// Maximum number of bytes read at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// Largest content length of a request that may be dropped with an unread body.
const MAX_UNREAD_BYTES: usize = 1 << 30;

/// Reads the whole body, up to `limit` bytes and for at most `timeout`.
pub fn read_body(req: &mut Request, limit: u64, timeout: Duration) -> Result<Vec<u8>> {
    let too_large = || {
        Error::new(
            ErrorKind::TooLarge,
            format!("the body is over {limit} bytes"),
        )
    };
    if req.body_length().is_some_and(|bytes| bytes as u64 > limit) {
        return Err(too_large());
    }
    let deadline = Instant::now() + timeout;
    let mut body = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        // One byte over the limit is enough to detect a body that is too large.
        let room = limit + 1 - body.len() as u64;
        let room = usize::try_from(room).map_or(CHUNK_BYTES, |room| room.min(CHUNK_BYTES));
        match req.as_reader().read(&mut chunk[..room]) {
            Ok(0) => break,
            Ok(bytes) => body.extend_from_slice(&chunk[..bytes]),
            Err(err) => return Err(read_error(&err)),
        }
        if body.len() as u64 > limit {
            return Err(too_large());
        }
        if Instant::now() > deadline {
            return Err(body_timeout());
        }
    }
    if req.body_length().is_some_and(|bytes| body.len() < bytes) {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "the body is shorter than its content length",
        ));
    }
    Ok(body)
}

/// Creates the error for a body that was not received in time.
fn body_timeout() -> Error {
    Error::new(
        ErrorKind::RequestTimeout,
        "the body was not received in time",
    )
}

/// Converts an error from reading a body.
fn read_error(err: &io::Error) -> Error {
    match err.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => body_timeout(),
        _ => Error::new(ErrorKind::BadRequest, format!("body: {err}")),
    }
}

/// Sends an error response to a request whose body may be unread.
pub fn respond_with_error(req: Request, number: u64, err: &Error) -> io::Result<()> {
    let err = &error_for_resend(&req, err);
    match req.body_length() {
        None if is_chunked(&req) => write_last_error(&mut req.into_writer(), number, err),
        None => write_error(&mut req.into_writer(), number, err),
        Some(bytes) if bytes > MAX_UNREAD_BYTES => {
            // Dropping this request would terminate the process; see the module
            // documentation.
            log::warn!("event=request_abandoned req={number} bytes={bytes}");
            metrics::counter!("sapphirequay_requests_abandoned_total").increment(1);
            mem::forget(req);
            Ok(())
        }
        // The response is sent before the rest of the body is read.
        Some(_) => req.respond(error_response(number, err)),
    }
}

/// Adapts an error to a request that may be a resend. Temporary refusals are
/// sent before the ledger is queried, so an earlier request with the same
/// idempotency key may have run.
fn error_for_resend(req: &Request, err: &Error) -> Error {
    let mut headers = req.headers().iter();
    let key_supplied = headers.any(|header| header.field.equiv("Idempotency-Key"));
    if key_supplied && err.kind.retry_after_s().is_some() {
        return err.clone().with_may_have_run();
    }
    err.clone()
}

/// Whether the body is chunked. The end of an unread chunked body is unknown,
/// so the connection can't be reused.
fn is_chunked(req: &Request) -> bool {
    req.headers()
        .iter()
        .any(|header| header.field.equiv("Transfer-Encoding"))
}

/// Creates an error response for `tiny_http`.
fn error_response(number: u64, err: &Error) -> Response<io::Cursor<Vec<u8>>> {
    let mut response =
        Response::from_string(error_json(err).to_string()).with_status_code(err.kind.status());
    let retry_after = err.retry_after_s().map(|seconds| seconds.to_string());
    let headers = [
        ("content-type", Some("application/json".to_owned())),
        ("sapphirequay-request", Some(number.to_string())),
        ("retry-after", retry_after),
    ];
    for (name, value) in headers {
        let header = value.and_then(|value| Header::from_bytes(name, value).ok());
        if let Some(header) = header {
            response.add_header(header);
        }
    }
    response
}
