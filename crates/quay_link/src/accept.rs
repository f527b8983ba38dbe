//! Accepts connections of peers and the streams on them.

use {
    crate::{
        FrameMemory, Incoming, IncomingCall, LinkError, LinkStream,
        calls::{CALL_STREAM_PREFIX, serve_calls},
        frame::body_bytes,
        identity::{Holder, certificate_holder},
        stop::{HeldServing, Serving},
        transfer::{read_body, read_prefix, spawn_transfer},
    },
    quinn::{Connection, Endpoint, RecvStream, SendStream},
    rustls::pki_types::CertificateDer,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{error::Elapsed, timeout},
    },
};

/// What serves the streams of peers. Clones are held until what was read is answered.
pub(crate) struct Acceptor<F> {
    /// Takes the streams.
    pub(crate) accept: Arc<F>,
    /// Queue of calls; `None` if the endpoint takes none.
    pub(crate) calls: Option<mpsc::Sender<IncomingCall>>,
    /// Time within which a frame must arrive.
    pub(crate) receive_timeout: Duration,
    /// Memory for long first frames.
    pub(crate) frame_memory: Option<FrameMemory>,
    /// Tells when to stop.
    pub(crate) serving: Serving,
}

impl<F> Clone for Acceptor<F> {
    fn clone(&self) -> Self {
        Self {
            accept: Arc::clone(&self.accept),
            calls: self.calls.clone(),
            receive_timeout: self.receive_timeout,
            frame_memory: self.frame_memory.clone(),
            serving: self.serving.clone(),
        }
    }
}

impl<F: Fn(Incoming) + Send + Sync + 'static> Acceptor<F> {
    /// Accepts connections until the endpoint stops.
    pub(crate) async fn accept_connections(mut self, endpoint: Endpoint) {
        loop {
            let incoming = tokio::select! {
                incoming = endpoint.accept() => incoming,
                () = self.serving.stopped() => return,
            };
            let Some(incoming) = incoming else { return };
            let acceptor = self.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => acceptor.accept_streams(connection).await,
                    Err(err) => log::debug!("event=link_refused cause={err:?}"),
                }
            });
        }
    }

    /// Accepts streams until the connection closes or the endpoint stops.
    async fn accept_streams(mut self, connection: Connection) {
        let holder = peer_holder(&connection);
        loop {
            let stream = tokio::select! {
                stream = connection.accept_bi() => stream,
                () = self.serving.stopped() => return,
            };
            let Ok(stream) = stream else { return };
            let (acceptor, holder) = (self.clone(), holder.clone());
            tokio::spawn(acceptor.serve_stream(connection.clone(), holder, stream));
        }
    }

    /// Reads the first frame of a stream and passes the stream on.
    async fn serve_stream(
        mut self,
        connection: Connection,
        holder: Holder,
        (send, mut recv): (SendStream, RecvStream),
    ) {
        let addr = connection.remote_address();
        let takes_calls = self.calls.is_some();
        let first = async {
            let prefix = read_prefix(&mut recv).await?;
            if prefix == CALL_STREAM_PREFIX && takes_calls {
                return Ok(None);
            }
            let memory = match &self.frame_memory {
                Some(memory) => memory.reserve(body_bytes(prefix)?).await,
                None => None,
            };
            let body = read_body(&mut recv, prefix).await?;
            Ok(Some((body, memory)))
        };
        let first: Result<Result<_, LinkError>, Elapsed> = tokio::select! {
            first = timeout(self.receive_timeout, first) => first,
            () = self.serving.stopped() => return,
        };
        match (first, self.calls) {
            (Ok(Ok(Some((first, memory)))), _) => {
                let serving = HeldServing::new(self.serving);
                let stream = spawn_transfer(send, recv, self.receive_timeout, serving, false);
                (self.accept)(Incoming {
                    roles: holder.roles,
                    holder: holder.name,
                    addr,
                    first,
                    stream: LinkStream {
                        _memory: memory,
                        ..stream
                    },
                });
            }
            (Ok(Ok(None)), Some(calls)) => {
                serve_calls(connection, send, recv, (calls, self.serving)).await;
            }
            (Ok(Ok(None)), None) => {}
            (Ok(Err(err)), _) => {
                log::debug!("event=link_first_frame peer={addr} cause={err:?}");
            }
            (Err(_), _) => log::debug!("event=link_first_frame peer={addr} cause=silent"),
        }
    }
}

/// Holder of the certificate presented by the peer; no roles and no name if the
/// certificate can't be read.
fn peer_holder(connection: &Connection) -> Holder {
    connection
        .peer_identity()
        .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok())
        .and_then(|chain| chain.first().and_then(|cert| certificate_holder(cert).ok()))
        .unwrap_or_default()
}
