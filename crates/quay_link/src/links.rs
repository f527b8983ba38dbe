//! The link thread: endpoints, connections and the tasks that move frames.

use {
    crate::{
        Frame, Identity, LinkError, LinkRole, LinkStream, frame, identity::roles_of,
        stream::WINDOW_FRAMES,
    },
    quinn::{
        ClientConfig, Connection, Endpoint, IdleTimeout, RecvStream, SendStream, ServerConfig,
        TransportConfig, VarInt,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{RootCertStore, pki_types::CertificateDer, server::WebPkiClientVerifier},
    serde::Serialize,
    std::{
        collections::HashMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, mpsc as std_mpsc},
        thread,
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Protocol name in the TLS handshake.
const ALPN: &[u8] = b"sapphirequay/1";

/// Code with which a stream is ended when its user has dropped it.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// What a process needs to take part in links.
#[derive(Debug)]
pub struct LinkSettings {
    /// Certificate and key of the process.
    pub identity: Identity,
    /// Address to accept links on; `None` only opens links.
    pub listen: Option<SocketAddr>,
    /// A connection on which nothing arrives for so long is given up.
    pub idle_timeout: Duration,
    /// Interval of keep-alive packets on an idle connection.
    pub keep_alive: Duration,
    /// A stream on which no frame arrives for so long reports [`LinkError::Silent`].
    pub silence: Duration,
}

impl LinkSettings {
    /// Settings with default times that only open links.
    #[must_use]
    pub const fn new(identity: Identity) -> Self {
        Self {
            identity,
            listen: None,
            idle_timeout: Duration::from_secs(3),
            keep_alive: Duration::from_secs(1),
            silence: Duration::from_secs(5),
        }
    }
}

/// A stream that a peer has opened.
#[derive(Debug)]
pub struct Incoming {
    /// Roles in the peer's certificate.
    pub roles: Vec<LinkRole>,
    /// Address of the peer.
    pub addr: SocketAddr,
    /// First frame of the stream.
    pub first: Frame,
    /// The stream, for answers and further frames.
    pub stream: LinkStream,
}

/// Opens a stream on the link thread.
struct Open {
    addr: SocketAddr,
    role: LinkRole,
    first: Vec<u8>,
    done: std_mpsc::SyncSender<Result<LinkStream, LinkError>>,
}

/// Handle to the link thread; clones share it.
#[derive(Debug, Clone)]
pub struct Links {
    opens: mpsc::UnboundedSender<Open>,
    local: Option<SocketAddr>,
}

impl Links {
    /// Starts the link thread. `accept` gets each stream that a peer opens and
    /// must not block.
    ///
    /// # Errors
    ///
    /// [`LinkError::Io`] if the address is taken, [`LinkError::Keys`] if the
    /// identity is unusable.
    pub fn start(
        settings: LinkSettings,
        accept: impl Fn(Incoming) + Send + Sync + 'static,
    ) -> Result<Self, LinkError> {
        let (opens, queue) = mpsc::unbounded_channel();
        let (ready_tx, ready_rx) = std_mpsc::sync_channel(1);
        thread::Builder::new()
            .name("link".into())
            .spawn(move || run(&settings, accept, queue, &ready_tx))?;
        let local = ready_rx.recv().map_err(|_| LinkError::Stopped)??;
        Ok(Self { opens, local })
    }

    /// Starts a link thread that accepts nothing.
    ///
    /// # Errors
    ///
    /// As [`Links::start`].
    pub fn connect_only(identity: Identity) -> Result<Self, LinkError> {
        Self::start(LinkSettings::new(identity), drop)
    }

    /// Address that links are accepted on.
    #[must_use]
    pub const fn local_addr(&self) -> Option<SocketAddr> {
        self.local
    }

    /// Opens a stream to a peer of `role` and sends its first value.
    ///
    /// # Errors
    ///
    /// [`LinkError::Connect`] if nothing was sent; the peer's certificate must
    /// carry `role`.
    pub fn open(
        &self,
        addr: SocketAddr,
        role: LinkRole,
        first: &impl Serialize,
    ) -> Result<LinkStream, LinkError> {
        let first = frame::encode(first)?;
        let (done, opened) = std_mpsc::sync_channel(1);
        self.opens
            .send(Open {
                addr,
                role,
                first,
                done,
            })
            .map_err(|_| LinkError::Stopped)?;
        opened.recv().map_err(|_| LinkError::Stopped)?
    }
}

/// Runs the link thread until every handle is dropped.
fn run(
    settings: &LinkSettings,
    accept: impl Fn(Incoming) + Send + Sync + 'static,
    queue: mpsc::UnboundedReceiver<Open>,
    ready: &std_mpsc::SyncSender<Result<Option<SocketAddr>, LinkError>>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(err) => {
            let _ = ready.send(Err(err.into()));
            return;
        }
    };
    runtime.block_on(async {
        let endpoint = match bind(settings) {
            Ok(endpoint) => endpoint,
            Err(err) => {
                let _ = ready.send(Err(err));
                return;
            }
        };
        let local = settings.listen.and_then(|_| endpoint.local_addr().ok());
        let _ = ready.send(Ok(local));
        if settings.listen.is_some() {
            tokio::spawn(accept_connections(
                endpoint.clone(),
                Arc::new(accept),
                settings.silence,
            ));
        }
        open_streams(&endpoint, queue, settings.silence).await;
        endpoint.close(VarInt::from_u32(0), b"stopped");
    });
}

// ---------------------------------------------------------------------------
// Set-up

/// Binds the endpoint, as a server too if the settings name an address.
fn bind(settings: &LinkSettings) -> Result<Endpoint, LinkError> {
    let client = client_config(settings)?;
    let mut endpoint = match settings.listen {
        Some(addr) => Endpoint::server(server_config(settings)?, addr)?,
        None => Endpoint::client((Ipv4Addr::UNSPECIFIED, 0).into())?,
    };
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

/// Times and limits of a connection.
fn transport(settings: &LinkSettings) -> Result<Arc<TransportConfig>, LinkError> {
    let idle = IdleTimeout::try_from(settings.idle_timeout)
        .map_err(|err| LinkError::Keys(format!("idle timeout: {err}").into()))?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(settings.keep_alive));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(16_384));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(Arc::new(transport))
}

/// The trusted root as a store.
fn roots(identity: &Identity) -> Result<Arc<RootCertStore>, LinkError> {
    let mut roots = RootCertStore::empty();
    roots
        .add(identity.root.clone())
        .map_err(|err| keys_error(&err))?;
    Ok(Arc::new(roots))
}

/// TLS for links that are opened here.
fn client_config(settings: &LinkSettings) -> Result<ClientConfig, LinkError> {
    let identity = &settings.identity;
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(
        rustls::crypto::ring::default_provider(),
    ))
    .with_protocol_versions(&[&rustls::version::TLS13])
    .map_err(|err| keys_error(&err))?
    .with_root_certificates(roots(identity)?)
    .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
    .map_err(|err| keys_error(&err))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(|err| keys_error(&err))?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(transport(settings)?);
    Ok(config)
}

/// TLS for links that are accepted here; peers must show a certificate.
fn server_config(settings: &LinkSettings) -> Result<ServerConfig, LinkError> {
    let identity = &settings.identity;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots(identity)?, provider.clone())
        .build()
        .map_err(|err| keys_error(&err))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|err| keys_error(&err))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|err| keys_error(&err))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicServerConfig::try_from(tls).map_err(|err| keys_error(&err))?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport(settings)?);
    Ok(config)
}

/// Wraps an error of the TLS library.
fn keys_error(err: &dyn std::fmt::Display) -> LinkError {
    LinkError::Keys(err.to_string().into())
}

// ---------------------------------------------------------------------------
// Streams that are opened here

/// Serves requests to open streams; keeps one connection a peer and role.
async fn open_streams(
    endpoint: &Endpoint,
    mut queue: mpsc::UnboundedReceiver<Open>,
    silence: Duration,
) {
    let connections = Arc::new(tokio::sync::Mutex::new(HashMap::<
        (SocketAddr, LinkRole),
        Connection,
    >::new()));
    while let Some(open) = queue.recv().await {
        let endpoint = endpoint.clone();
        let connections = Arc::clone(&connections);
        tokio::spawn(async move {
            let known = connections
                .lock()
                .await
                .get(&(open.addr, open.role))
                .cloned();
            let live = known.filter(|conn| conn.close_reason().is_none());
            let connection = match live {
                Some(connection) => Ok(connection),
                None => connect(&endpoint, open.addr, open.role).await,
            };
            let stream = match connection {
                Ok(connection) => {
                    connections
                        .lock()
                        .await
                        .insert((open.addr, open.role), connection.clone());
                    open_stream(&connection, open.first, silence).await
                }
                Err(err) => Err(err),
            };
            let _ = open.done.send(stream);
        });
    }
}

/// Makes a new connection and checks the peer's role by its DNS name.
async fn connect(
    endpoint: &Endpoint,
    addr: SocketAddr,
    role: LinkRole,
) -> Result<Connection, LinkError> {
    let connecting = endpoint
        .connect(addr, &role.dns_name())
        .map_err(|err| LinkError::Connect(format!("{addr}: {err}").into()))?;
    connecting
        .await
        .map_err(|err| LinkError::Connect(format!("{addr}: {err}").into()))
}

/// Opens a stream on a connection and sends its first frame.
async fn open_stream(
    connection: &Connection,
    first: Vec<u8>,
    silence: Duration,
) -> Result<LinkStream, LinkError> {
    let (send, recv) = connection
        .open_bi()
        .await
        .map_err(|err| LinkError::Connect(err.to_string().into()))?;
    let stream = couple(send, recv, silence);
    stream
        .tx
        .send(first)
        .await
        .map_err(|_| LinkError::Broken("stream ended".into()))?;
    Ok(stream)
}

// ---------------------------------------------------------------------------
// Streams that peers open

/// Accepts connections until the endpoint closes.
async fn accept_connections(
    endpoint: Endpoint,
    accept: Arc<impl Fn(Incoming) + Send + Sync + 'static>,
    silence: Duration,
) {
    while let Some(incoming) = endpoint.accept().await {
        let accept = Arc::clone(&accept);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => accept_streams(connection, accept, silence).await,
                Err(err) => log::debug!("event=link_refused cause={err:?}"),
            }
        });
    }
}

/// Roles in the certificate that the peer has shown.
fn peer_roles(connection: &Connection) -> Vec<LinkRole> {
    connection
        .peer_identity()
        .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok())
        .and_then(|chain| chain.first().and_then(|cert| roles_of(cert).ok()))
        .unwrap_or_default()
}

/// Accepts streams until the connection closes.
async fn accept_streams(
    connection: Connection,
    accept: Arc<impl Fn(Incoming) + Send + Sync + 'static>,
    silence: Duration,
) {
    let roles = peer_roles(&connection);
    let addr = connection.remote_address();
    while let Ok((send, mut recv)) = connection.accept_bi().await {
        let accept = Arc::clone(&accept);
        let roles = roles.clone();
        tokio::spawn(async move {
            match tokio::time::timeout(silence, read_frame(&mut recv)).await {
                Ok(Ok(first)) => accept(Incoming {
                    roles,
                    addr,
                    first,
                    stream: couple(send, recv, silence),
                }),
                Ok(Err(err)) => log::debug!("event=link_first_frame peer={addr} cause={err:?}"),
                Err(_) => log::debug!("event=link_first_frame peer={addr} cause=silent"),
            }
        });
    }
}

// ---------------------------------------------------------------------------
// Frames

/// Ties a network stream to a blocking [`LinkStream`].
fn couple(send: SendStream, recv: RecvStream, silence: Duration) -> LinkStream {
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
async fn read_frame(recv: &mut RecvStream) -> Result<Frame, LinkError> {
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
