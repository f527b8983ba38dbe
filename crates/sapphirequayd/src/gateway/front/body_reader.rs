//! Reads whole bodies of requests and responses.

use {
    super::{buffer_space::BufferShare, host::FrontHost, refusal::Refusal},
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, header},
    http_body_util::BodyExt as _,
    hyper::body::{Body as _, Incoming},
    quay_policy::{MemoryClass, MemoryHolder},
    quay_routes::{Dialect, RequestDeadline},
    std::time::Duration,
    tokio::{task::spawn_local, time::timeout},
};

/// Longest pause of a caller after which the rest of its refused body is no longer read
/// and dropped. A connection that is closed with unread data is reset, and the caller may
/// lose the refusal.
const DISCARD_PAUSE: Duration = Duration::from_secs(1);

/// Whether the headers of a response tell where its body ends.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads the complete body of a request, which counts in the front's memory until the
/// last clone is dropped. Memory for the declared length is reserved first; a body
/// without one reserves what arrives.
pub async fn read_body<D: Dialect>(
    front: &FrontHost<D>,
    mut body: Incoming,
    limit: usize,
    deadline: &RequestDeadline,
    holder: Option<MemoryHolder>,
) -> Result<Bytes, Refusal> {
    let left = deadline.remaining(front.now());
    let read = timeout(left, read_within(front, &mut body, limit, holder)).await;
    let refusal = match read {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(refusal)) => refusal,
        Err(_) => Refusal::BodyMissing,
    };
    if matches!(refusal, Refusal::NoMemory | Refusal::BodyTooLarge) {
        discard(body, deadline.remaining(front.now()));
    }
    Err(refusal)
}

async fn read_within<D: Dialect>(
    front: &FrontHost<D>,
    body: &mut Incoming,
    limit: usize,
    holder: Option<MemoryHolder>,
) -> Result<Bytes, Refusal> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(Refusal::BodyTooLarge);
    }
    let memory = front.memory();
    let reserved = memory.reserve(MemoryClass::Requests, holder, declared);
    let mut guard = reserved.map_err(|_| Refusal::NoMemory)?;
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::BodyMissing)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = read.len() + data.len();
        if len > limit {
            return Err(Refusal::BodyTooLarge);
        }
        if len > declared && !memory.resize(&mut guard, len) {
            return Err(Refusal::NoMemory);
        }
        if read.is_empty() && len == declared {
            // The whole body in one frame is not copied.
            return Ok(guard.attach(data));
        }
        read.reserve(declared.max(len) - read.len());
        read.extend_from_slice(&data);
    }
    Ok(guard.attach(read.freeze()))
}

/// Reads and drops the rest of a body in the background, for at most `limit`.
fn discard(mut body: Incoming, limit: Duration) {
    spawn_local(timeout(limit, async move {
        while let Ok(Some(Ok(_))) = timeout(DISCARD_PAUSE, body.frame()).await {}
    }));
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
