//! Reads whole bodies of requests and responses.

use {
    super::{buffer_space::BufferShare, host::FrontHost, refusal::Refusal},
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, header},
    http_body_util::{BodyExt as _, Limited},
    hyper::body::Incoming,
    quay_routes::{Dialect, RequestDeadline},
    tokio::time::timeout,
};

/// Whether the headers of a response tell where its body ends.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads the complete body of a request.
pub async fn read_body<D: Dialect>(
    front: &FrontHost<D>,
    body: Incoming,
    limit: usize,
    deadline: &RequestDeadline,
) -> Result<Bytes, Refusal> {
    let left = deadline.remaining(front.now());
    match timeout(left, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyMissing),
    }
}

/// Reads the complete body of a response, within a share of the front's memory.
/// Returns `None` if it is incomplete or too large.
pub async fn read_response(mut body: Incoming, share: &mut BufferShare) -> Option<Bytes> {
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
