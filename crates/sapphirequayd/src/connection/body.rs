//! Reads and refuses the bodies of callers' requests.
//!
//! `tiny_http` reads what is left of a body when a request is dropped, into one
//! buffer of the length that the caller named. The system gives memory for it
//! only as bytes arrive, but a length beyond the address space ends the
//! process. Such requests are never dropped.

use {
    crate::connection::response::{error_json, write_error, write_last_error},
    quay_types::{Error, ErrorKind, Result},
    std::{
        io, mem,
        time::{Duration, Instant},
    },
    tiny_http::{Header, Request, Response},
};

/// Bytes that are read at a time.
const PIECE_BYTES: usize = 16 << 10;

/// Longest body that may be left unread when a request is dropped, in bytes.
const MAX_UNREAD_BYTES: usize = 1 << 30;

/// Reads the whole body within `limit` bytes and `patience`.
pub fn read_body(req: &mut Request, limit: u64, patience: Duration) -> Result<Vec<u8>> {
    let too_large = || {
        Error::new(
            ErrorKind::TooLarge,
            format!("the body is over {limit} bytes"),
        )
    };
    if req.body_length().is_some_and(|bytes| bytes as u64 > limit) {
        return Err(too_large());
    }
    let until = Instant::now() + patience;
    let mut body = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        // One byte over the limit is enough to know.
        let room = limit + 1 - body.len() as u64;
        let room = usize::try_from(room).map_or(PIECE_BYTES, |room| room.min(PIECE_BYTES));
        match req.as_reader().read(&mut piece[..room]) {
            Ok(0) => break,
            Ok(bytes) => body.extend_from_slice(&piece[..bytes]),
            Err(err) => return Err(unreadable(&err)),
        }
        if body.len() as u64 > limit {
            return Err(too_large());
        }
        if Instant::now() > until {
            return Err(slow());
        }
    }
    if req.body_length().is_some_and(|bytes| body.len() < bytes) {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "the body ends before its length",
        ));
    }
    Ok(body)
}

/// The error for a caller that takes too long.
fn slow() -> Error {
    Error::new(ErrorKind::RequestTimeout, "the body came too slowly")
}

/// The error for a body that can't be read.
fn unreadable(err: &io::Error) -> Error {
    match err.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => slow(),
        _ => Error::new(ErrorKind::BadRequest, format!("body: {err}")),
    }
}

/// Answers a request whose body may be unread.
pub fn refuse(req: Request, number: u64, err: &Error) -> io::Result<()> {
    let err = &of_resend(&req, err);
    match req.body_length() {
        None if is_chunked(&req) => write_last_error(&mut req.into_writer(), number, err),
        None => write_error(&mut req.into_writer(), number, err),
        Some(bytes) if bytes > MAX_UNREAD_BYTES => {
            // Dropping this request would end the process.
            log::warn!("event=request_abandoned req={number} bytes={bytes}");
            metrics::counter!("sapphirequay_requests_abandoned_total").increment(1);
            mem::forget(req);
            Ok(())
        }
        // The answer leaves before the rest of the body is read.
        Some(_) => req.respond(response(number, err)),
    }
}

/// The error as a request that may be a resend is told it. A refusal of the
/// moment comes before the ledger is asked, so nothing is known of a named key.
fn of_resend(req: &Request, err: &Error) -> Error {
    let mut headers = req.headers().iter();
    let key_named = headers.any(|header| header.field.equiv("Idempotency-Key"));
    if key_named && err.kind.retry_after_s().is_some() {
        return err.clone().with_may_have_run();
    }
    err.clone()
}

/// Whether the body has no length. Where an unread one ends is unknown, so the
/// connection can't be used again.
fn is_chunked(req: &Request) -> bool {
    req.headers()
        .iter()
        .any(|header| header.field.equiv("Transfer-Encoding"))
}

/// An error in the form of the HTTP library.
fn response(number: u64, err: &Error) -> Response<io::Cursor<Vec<u8>>> {
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
