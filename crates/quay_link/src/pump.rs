//! Moves frames between a network stream and its user.

use {
    crate::{Frame, LinkError, LinkStream, frame, stream::WINDOW_FRAMES},
    quinn::{RecvStream, SendStream, VarInt},
    std::time::Duration,
    tokio::sync::mpsc,
};

/// Code with which a stream is ended when its user has dropped it.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// Ties a network stream to a blocking [`LinkStream`].
pub(crate) fn couple(send: SendStream, recv: RecvStream, silence: Duration) -> LinkStream {
    let (out_tx, out_rx) = mpsc::channel(WINDOW_FRAMES);
    let (in_tx, in_rx) = mpsc::channel(WINDOW_FRAMES);
    tokio::spawn(write_frames(send, out_rx));
    tokio::spawn(read_frames(recv, in_tx, silence));
    LinkStream {
        tx: out_tx,
        rx: in_rx,
    }
}

/// Writes frames until the user drops the stream, then finishes it.
async fn write_frames(mut send: SendStream, mut frames: mpsc::Receiver<Vec<u8>>) {
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else {
                    let _ = send.finish();
                    return;
                };
                if send.write_all(&frame).await.is_err() {
                    return;
                }
            }
            // The peer has dropped its end: further frames are of no use.
            _ = send.stopped() => return,
        }
    }
}

/// Reads frames until the stream ends, the peer is silent or the user drops it.
async fn read_frames(
    mut recv: RecvStream,
    frames: mpsc::Sender<Result<Frame, LinkError>>,
    silence: Duration,
) {
    loop {
        let next = tokio::select! {
            next = tokio::time::timeout(silence, read_frame(&mut recv)) => next.unwrap_or(Err(LinkError::Silent)),
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
    let mut head = [0; frame::HEAD_BYTES];
    read_exact(recv, &mut head).await?;
    let mut body = vec![0; frame::body_bytes(head)?];
    read_exact(recv, &mut body).await?;
    Ok(Frame(body.into()))
}

/// Fills `buf`; a clean end of the stream is [`LinkError::Finished`].
async fn read_exact(recv: &mut RecvStream, buf: &mut [u8]) -> Result<(), LinkError> {
    recv.read_exact(buf).await.map_err(|err| match err {
        quinn::ReadExactError::FinishedEarly(0) => LinkError::Finished,
        other => LinkError::Broken(other.to_string().into()),
    })
}
