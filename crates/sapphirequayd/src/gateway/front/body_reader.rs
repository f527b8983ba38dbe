//! Reads whole bodies of requests and responses.

use {
    super::{buffer_space::BufferShare, host::FrontHost, refusal::Refusal},
    crate::{
        connection::LimitedBody,
        gateway::request_body::{
            BodyCaller, BodyError, DiscardLimits, RequestBody, discard, read_request_body,
        },
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, header, request},
    http_body_util::BodyExt as _,
    hyper::body::{Body as _, Incoming},
    quay_routes::{Dialect, RequestDeadline},
    std::time::Duration,
    tokio::time::timeout,
};

/// Least number of bytes of a refused body that are read: twice the default limit of a
/// body.
const MIN_DISCARD_BYTES: u64 = 8 << 20;

/// Longest time for which a refused body is read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(30);

/// Whether the headers of a response tell where its body ends.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads the complete body of a request, which counts in the front's memory until the
/// last clone is dropped.
pub async fn read_body<D: Dialect>(
    front: &FrontHost<D>,
    body: &mut Incoming,
    limit: usize,
    deadline: &RequestDeadline,
    caller: &BodyCaller<'_>,
) -> Result<RequestBody, Refusal> {
    let left = deadline.remaining(front.now());
    let read = read_request_body(front.memory(), body, limit, caller);
    match timeout(left, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::NoMemory)) => Err(Refusal::NoMemory),
        Ok(Err(BodyError::TooLarge)) => Err(Refusal::BodyTooLarge),
        Ok(Err(BodyError::Incomplete | BodyError::TooSlow)) | Err(_) => Err(Refusal::BodyMissing),
    }
}

/// Reads and drops what is left of the body of a refused request in the background, so
/// that the refusal reaches a caller that still sends.
pub fn discard_rest<D: Dialect>(
    front: &FrontHost<D>,
    parts: &request::Parts,
    body: Incoming,
    refusal: Refusal,
) {
    // A body that did not arrive in time is not waited for any longer.
    if body.is_end_stream() || refusal == Refusal::BodyMissing {
        return;
    }
    let limit = front.table().map_or(0, |table| table.limits.body_bytes);
    let limits = DiscardLimits {
        bytes: MIN_DISCARD_BYTES.max(limit.into()),
        time: MAX_DISCARD_TIME,
    };
    discard(body, &BodyCaller::of(parts, None), limits);
}

/// Reads the complete body of a response, within a share of the front's memory.
/// Returns `None` if it is incomplete or too large.
pub async fn read_response(mut body: LimitedBody, share: &mut BufferShare) -> Option<Bytes> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if !share.resize(read.len() + data.len()) {
            log::warn!("event=response_too_large bytes={}", read.len());
            return None;
        }
        read.extend_from_slice(&data);
    }
    Some(read.freeze())
}
