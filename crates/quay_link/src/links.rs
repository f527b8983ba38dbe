//! The link thread: endpoints, connections and the tasks that move frames.

use {
    crate::{
        Frame, Identity, LinkError, LinkRole, LinkStream, frame,
        identity::{Holder, holder_of},
        stream::WINDOW_FRAMES,
    },
    quinn::{
        ClientConfig, Connection, Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig,
        RecvStream, SendStream, ServerConfig, TransportConfig, VarInt,
        congestion::CubicConfig,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{RootCertStore, pki_types::CertificateDer, server::WebPkiClientVerifier},
    serde::Serialize,
    std::{
        collections::HashMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc as std_mpsc},
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Protocol name in the TLS handshake.
const ALPN: &[u8] = b"sapphirequay/1";

/// Code with which a stream is ended when its user has dropped it.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// Longest time to set up a connection; a few lost packets fit in.
const CONNECT_WITHIN: Duration = Duration::from_millis(600);

/// Round trip that is assumed of a new connection: a lost first packet is sent
/// again after three times as long.
const INITIAL_RTT: Duration = Duration::from_millis(40);

/// Time after a failed try in which a peer counts as unreachable.
const RECONNECT_AFTER: Duration = Duration::from_millis(150);

/// Largest datagram that is tried, in bytes; paths with jumbo frames take it.
const LARGEST_DATAGRAM: u16 = 8_900;

/// Bytes that may be under way on a new connection: about what a link of
/// 600 Mbit/s carries in a round trip between data centres.
const INITIAL_WINDOW: u64 = 200_000;

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
    /// Name of the holder in the peer's certificate, if it carries one.
    pub holder: Option<Box<str>>,
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
    done: oneshot::Sender<Result<LinkStream, LinkError>>,
}

/// What the link thread is asked.
enum Ask {
    /// Open a stream.
    Open(Open),
    /// Use other keys from now on.
    Reload(Identity, std_mpsc::SyncSender<Result<(), LinkError>>),
}

/// Handle to the link thread; clones share it.
#[derive(Debug, Clone)]
pub struct Links {
    asks: mpsc::UnboundedSender<Ask>,
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
        let (asks, queue) = mpsc::unbounded_channel();
        let (ready_tx, ready_rx) = std_mpsc::sync_channel(1);
        thread::Builder::new()
            .name("link".into())
            .spawn(move || run(settings, accept, queue, &ready_tx))?;
        let local = ready_rx.recv().map_err(|_| LinkError::Stopped)??;
        Ok(Self { asks, local })
    }

    /// Serves links on the `tokio` runtime that this is called in, without a
    /// thread of their own. Blocking calls must come from other threads.
    ///
    /// # Errors
    ///
    /// As [`Links::start`].
    pub fn start_on_runtime(
        settings: LinkSettings,
        accept: impl Fn(Incoming) + Send + Sync + 'static,
    ) -> Result<Self, LinkError> {
        let (asks, queue) = mpsc::unbounded_channel();
        let endpoint = bind(&settings)?;
        let local = settings.listen.and_then(|_| endpoint.local_addr().ok());
        tokio::spawn(serve(endpoint, settings, accept, queue));
        Ok(Self { asks, local })
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
        let opened = self.ask_open(addr, role, first)?;
        opened.blocking_recv().map_err(|_| LinkError::Stopped)?
    }

    /// Opens a stream as [`Links::open`] does, from a task.
    ///
    /// # Errors
    ///
    /// As [`Links::open`].
    pub async fn open_from_task(
        &self,
        addr: SocketAddr,
        role: LinkRole,
        first: &impl Serialize,
    ) -> Result<LinkStream, LinkError> {
        let opened = self.ask_open(addr, role, first)?;
        opened.await.map_err(|_| LinkError::Stopped)?
    }

    /// Asks for a stream.
    fn ask_open(
        &self,
        addr: SocketAddr,
        role: LinkRole,
        first: &impl Serialize,
    ) -> Result<oneshot::Receiver<Result<LinkStream, LinkError>>, LinkError> {
        let first = frame::encode(first)?;
        let (done, opened) = oneshot::channel();
        let open = Open {
            addr,
            role,
            first,
            done,
        };
        self.asks
            .send(Ask::Open(open))
            .map_err(|_| LinkError::Stopped)?;
        Ok(opened)
    }

    /// Uses other keys for every connection that is made from now on.
    ///
    /// Streams in progress go on under the keys that they began with.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] if the identity is unusable; the old one stays.
    pub fn reload(&self, identity: Identity) -> Result<(), LinkError> {
        let (done, reloaded) = std_mpsc::sync_channel(1);
        self.asks
            .send(Ask::Reload(identity, done))
            .map_err(|_| LinkError::Stopped)?;
        reloaded.recv().map_err(|_| LinkError::Stopped)?
    }
}

/// Runs the link thread until every handle is dropped.
fn run(
    settings: LinkSettings,
    accept: impl Fn(Incoming) + Send + Sync + 'static,
    queue: mpsc::UnboundedReceiver<Ask>,
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
        let endpoint = match bind(&settings) {
            Ok(endpoint) => endpoint,
            Err(err) => {
                let _ = ready.send(Err(err));
                return;
            }
        };
        let local = settings.listen.and_then(|_| endpoint.local_addr().ok());
        let _ = ready.send(Ok(local));
        serve(endpoint, settings, accept, queue).await;
    });
}

/// Accepts and opens streams until every handle is dropped.
async fn serve(
    endpoint: Endpoint,
    settings: LinkSettings,
    accept: impl Fn(Incoming) + Send + Sync + 'static,
    queue: mpsc::UnboundedReceiver<Ask>,
) {
    if settings.listen.is_some() {
        tokio::spawn(accept_connections(
            endpoint.clone(),
            Arc::new(accept),
            settings.silence,
        ));
    }
    serve_asks(endpoint.clone(), settings, queue).await;
    endpoint.close(VarInt::from_u32(0), b"stopped");
}

// ---------------------------------------------------------------------------
// Set-up

/// Binds the endpoint, as a server too if the settings name an address.
fn bind(settings: &LinkSettings) -> Result<Endpoint, LinkError> {
    let client = client_config(settings)?;
    let (server, addr) = match settings.listen {
        Some(addr) => (Some(server_config(settings)?), addr),
        None => (None, (Ipv4Addr::UNSPECIFIED, 0).into()),
    };
    let socket = std::net::UdpSocket::bind(addr)?;
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut endpoint = Endpoint::new(endpoint_config(settings)?, server, socket, runtime)?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

/// What all connections of an endpoint share. The reset key comes from the
/// private key, so that a process that has restarted can tell its peers that
/// their connections are gone.
fn endpoint_config(settings: &LinkSettings) -> Result<EndpointConfig, LinkError> {
    let secret = settings.identity.key.secret_der();
    let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, secret);
    let mut config = EndpointConfig::new(Arc::new(key));
    config
        .max_udp_payload_size(LARGEST_DATAGRAM)
        .map_err(|err| keys_error(&err))?;
    Ok(config)
}

/// Times and limits of a connection.
fn transport(settings: &LinkSettings) -> Result<Arc<TransportConfig>, LinkError> {
    let idle = IdleTimeout::try_from(settings.idle_timeout)
        .map_err(|err| LinkError::Keys(format!("idle timeout: {err}").into()))?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(idle));
    transport.initial_rtt(INITIAL_RTT);
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(LARGEST_DATAGRAM);
    transport.mtu_discovery_config(Some(mtu));
    let mut congestion = CubicConfig::default();
    congestion.initial_window(INITIAL_WINDOW);
    transport.congestion_controller_factory(Arc::new(congestion));
    transport.keep_alive_interval(Some(settings.keep_alive));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(16_384));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(Arc::new(transport))
}

/// The trusted root as a store.
fn roots(identity: &Identity) -> Result<Arc<RootCertStore>, LinkError> {
    let mut roots = RootCertStore::empty();
    for root in &identity.roots {
        roots.add(root.clone()).map_err(|err| keys_error(&err))?;
    }
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

/// What is known of the way to one peer.
#[derive(Debug, Default)]
struct Way {
    connection: Option<Connection>,
    /// When the last try to connect failed.
    failed: Option<Instant>,
}

/// One connection a peer and role. Whoever holds the lock of a way connects;
/// the others wait for the outcome instead of connecting as well.
type Ways = HashMap<(SocketAddr, LinkRole), Arc<tokio::sync::Mutex<Way>>>;

/// The ways, shared by all that open streams.
type Connections = Arc<Mutex<Ways>>;

/// The ways that are known.
fn ways(connections: &Connections) -> MutexGuard<'_, Ways> {
    connections.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens streams and takes new keys until every handle is dropped.
async fn serve_asks(
    mut endpoint: Endpoint,
    mut settings: LinkSettings,
    mut queue: mpsc::UnboundedReceiver<Ask>,
) {
    let mut connections = Connections::default();
    while let Some(ask) = queue.recv().await {
        match ask {
            Ask::Open(open) => {
                let connections = Arc::clone(&connections);
                tokio::spawn(serve_open(
                    endpoint.clone(),
                    connections,
                    open,
                    settings.silence,
                ));
            }
            Ask::Reload(identity, done) => {
                let reloaded = reload(&mut endpoint, &mut settings, identity);
                // Connections under the old keys end with their last stream.
                connections = Connections::default();
                let _ = done.send(reloaded);
            }
        }
    }
}

/// Puts new keys into force.
fn reload(
    endpoint: &mut Endpoint,
    settings: &mut LinkSettings,
    identity: Identity,
) -> Result<(), LinkError> {
    let old = std::mem::replace(&mut settings.identity, identity);
    let configs = client_config(settings).and_then(|client| Ok((client, server_config(settings)?)));
    match configs {
        Ok((client, server)) => {
            endpoint.set_default_client_config(client);
            if settings.listen.is_some() {
                endpoint.set_server_config(Some(server));
            }
            Ok(())
        }
        Err(err) => {
            settings.identity = old;
            Err(err)
        }
    }
}

/// Opens one stream, on the connection to the peer if it still lives.
async fn serve_open(endpoint: Endpoint, connections: Connections, open: Open, silence: Duration) {
    let Open {
        addr,
        role,
        first,
        mut done,
    } = open;
    let way = Arc::clone(ways(&connections).entry((addr, role)).or_default());
    let mut way = tokio::select! {
        way = way.lock() => way,
        () = done.closed() => return,
    };
    if done.is_closed() {
        return;
    }
    // Not given up when the asker goes: its outcome serves those that wait, and
    // a try that leaves no trace is followed by another one at once.
    let connection = connection(&endpoint, &mut way, addr, role).await;
    drop(way);
    let stream = async { open_stream(&connection?, first, silence).await };
    tokio::select! {
        stream = stream => drop(done.send(stream)),
        () = done.closed() => {}
    }
}

/// The connection to a peer; a new one if there is none that lives.
async fn connection(
    endpoint: &Endpoint,
    way: &mut Way,
    addr: SocketAddr,
    role: LinkRole,
) -> Result<Connection, LinkError> {
    if let Some(connection) = &way.connection
        && connection.close_reason().is_none()
    {
        return Ok(connection.clone());
    }
    let unreachable = |why: &str| LinkError::Connect(format!("{addr}: {why}").into());
    if way.failed.is_some_and(|at| at.elapsed() < RECONNECT_AFTER) {
        return Err(unreachable("it could not be reached a moment ago"));
    }
    let connecting = tokio::time::timeout(CONNECT_WITHIN, connect(endpoint, addr, role)).await;
    let connected = connecting.unwrap_or_else(|_| Err(unreachable("no answer in time")));
    way.failed = connected.is_err().then(Instant::now);
    way.connection = connected.as_ref().ok().cloned();
    connected
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

/// What the certificate that the peer has shown says of it.
fn peer_holder(connection: &Connection) -> Holder {
    connection
        .peer_identity()
        .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok())
        .and_then(|chain| chain.first().and_then(|cert| holder_of(cert).ok()))
        .unwrap_or_default()
}

/// Accepts streams until the connection closes.
async fn accept_streams(
    connection: Connection,
    accept: Arc<impl Fn(Incoming) + Send + Sync + 'static>,
    silence: Duration,
) {
    let holder = peer_holder(&connection);
    let addr = connection.remote_address();
    while let Ok((send, mut recv)) = connection.accept_bi().await {
        let accept = Arc::clone(&accept);
        let holder = holder.clone();
        tokio::spawn(async move {
            match tokio::time::timeout(silence, read_frame(&mut recv)).await {
                Ok(Ok(first)) => accept(Incoming {
                    roles: holder.roles,
                    holder: holder.name,
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
