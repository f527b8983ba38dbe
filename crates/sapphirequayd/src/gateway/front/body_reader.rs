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
    http::{HeaderMap, header},
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    quay_routes::{Dialect, RequestDeadline},
    tokio::time::timeout,
};

/// Least number of bytes of a refused body that are read: twice the default limit of a
/// body.
const MIN_DISCARD_BYTES: u64 = 8 << 20;

/// Whether the headers of a response tell where its body ends.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads the complete body of a request, which counts in the front's memory until the
/// last clone is dropped.
pub async fn read_body<D: Dialect>(
    front: &FrontHost<D>,
    mut body: Incoming,
    limit: usize,
    deadline: &RequestDeadline,
    caller: &BodyCaller<'_>,
) -> Result<RequestBody, Refusal> {
    let left = deadline.remaining(front.now());
    let read = read_request_body(front.memory(), &mut body, limit, caller);
    let refusal = match timeout(left, read).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(BodyError::NoMemory)) => Refusal::NoMemory,
        Ok(Err(BodyError::TooLarge)) => Refusal::BodyTooLarge,
        Ok(Err(BodyError::Incomplete | BodyError::TooSlow)) | Err(_) => Refusal::BodyMissing,
    };
    if matches!(refusal, Refusal::NoMemory | Refusal::BodyTooLarge) {
        let limits = DiscardLimits {
            bytes: MIN_DISCARD_BYTES.max(limit as u64),
            time: deadline.remaining(front.now()),
        };
        discard(body, caller, limits);
    }
    Err(refusal)
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
