//! Transfers frames between a QUIC stream and its [`LinkStream`].

use {
    crate::{Frame, LinkError, LinkStream, frame, stop::HeldServing, stream::CHANNEL_FRAMES},
    bytes::Bytes,
    quinn::{RecvStream, SendStream, VarInt},
    std::{future::pending, pin::pin, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// QUIC error code sent when the receiving side stops reading, or the sending side gives
/// its request up.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// Spawns the tasks that transfer frames between a QUIC stream and the returned
/// [`LinkStream`]. `serving` is that of a stream opened by a peer; with `is_call` the
/// frames are those of a call, which are discarded if the stream is dropped without a
/// reply.
pub(crate) fn spawn_transfer(
    send: SendStream,
    recv: RecvStream,
    receive_timeout: Duration,
    serving: HeldServing,
    is_call: bool,
) -> LinkStream {
    let (out_tx, out_rx) = mpsc::channel(CHANNEL_FRAMES);
    let (in_tx, in_rx) = mpsc::channel(CHANNEL_FRAMES);
    let (answered, reply) = is_call.then(oneshot::channel).unzip();
    tokio::spawn(write_frames(send, out_rx, serving.clone(), reply));
    tokio::spawn(read_frames(recv, in_tx, receive_timeout));
    LinkStream {
        answered,
        tx: out_tx,
        rx: in_rx,
        serving,
        _memory: None,
    }
}

/// Writes frames until the [`LinkStream`] is dropped, then finishes the QUIC
/// stream. `serving` is held until the peer has all frames.
///
/// A call that is given up is reset instead: a silent peer would otherwise hold its
/// request here for as long as the connection lasts.
async fn write_frames(
    mut send: SendStream,
    mut frames: mpsc::Receiver<Vec<Bytes>>,
    serving: HeldServing,
    reply: Option<oneshot::Receiver<()>>,
) {
    let mut given_up = pin!(given_up(reply));
    loop {
        tokio::select! {
            biased;
            () = &mut given_up => {
                let _ = send.reset(CANCELLED);
                break;
            }
            frame = frames.recv() => {
                let Some(mut frame) = frame else {
                    let _ = send.finish();
                    if serving.is_held() {
                        let _ = send.stopped().await;
                    }
                    break;
                };
                tokio::select! {
                    written = send.write_all_chunks(&mut frame) => if written.is_err() {
                        break;
                    },
                    () = &mut given_up => {
                        let _ = send.reset(CANCELLED);
                        break;
                    }
                }
            }
            // The peer has stopped reading; further frames would be discarded.
            _ = send.stopped() => break,
        }
    }
    serving.release();
}

/// Waits until a call is given up before its reply; forever if it has one or is none.
async fn given_up(reply: Option<oneshot::Receiver<()>>) {
    let lost = match reply {
        Some(reply) => reply.await.is_err(),
        None => false,
    };
    if !lost {
        pending::<()>().await;
    }
}

/// Reads frames until the stream ends, no frame arrives within
/// `receive_timeout`, or the [`LinkStream`] is dropped.
async fn read_frames(
    mut recv: RecvStream,
    frames: mpsc::Sender<Result<Frame, LinkError>>,
    receive_timeout: Duration,
) {
    loop {
        let next = tokio::select! {
            next = tokio::time::timeout(receive_timeout, read_frame(&mut recv)) => next.unwrap_or(Err(LinkError::Silent)),
            () = frames.closed() => break,
        };
        let last = next.is_err();
        if frames.send(next).await.is_err() || last {
            break;
        }
    }
    let _ = recv.stop(CANCELLED);
}

/// Reads one frame.
pub(crate) async fn read_frame(recv: &mut RecvStream) -> Result<Frame, LinkError> {
    let prefix = read_prefix(recv).await?;
    read_body(recv, prefix).await
}

/// Reads a length prefix.
pub(crate) async fn read_prefix(
    recv: &mut RecvStream,
) -> Result<[u8; frame::LENGTH_PREFIX_BYTES], LinkError> {
    let mut prefix = [0; frame::LENGTH_PREFIX_BYTES];
    read_exact(recv, &mut prefix).await?;
    Ok(prefix)
}

/// Reads the body of a frame after its length prefix.
pub(crate) async fn read_body(
    recv: &mut RecvStream,
    prefix: [u8; frame::LENGTH_PREFIX_BYTES],
) -> Result<Frame, LinkError> {
    let mut body = vec![0; frame::body_bytes(prefix)?];
    read_exact(recv, &mut body).await?;
    Ok(Frame(body.into()))
}

/// Fills `buf`. Fails with [`LinkError::Finished`] if the stream ends before
/// the first byte, with [`LinkError::Broken`] if it ends later.
async fn read_exact(recv: &mut RecvStream, buf: &mut [u8]) -> Result<(), LinkError> {
    recv.read_exact(buf).await.map_err(|err| match err {
        quinn::ReadExactError::FinishedEarly(0) => LinkError::Finished,
        other => LinkError::Broken(other.to_string().into()),
    })
}
