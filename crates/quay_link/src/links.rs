//! The link thread: accepts and opens connections and their streams.

use {
    crate::{
        Encoded, Frame, FrameMemory, Identity, IncomingCall, LinkError, LinkRole, LinkStream,
        accept::Acceptor,
        calls::CallStream,
        endpoint::{ALPN_CALLS, bind, client_config, server_config},
        stop::{self, HeldServing, Serving},
        transfer::spawn_transfer,
    },
    bytes::Bytes,
    quinn::{Connection, Endpoint, VarInt, crypto::rustls::HandshakeData},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        collections::HashMap,
        net::SocketAddr,
        pin::pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc as std_mpsc},
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, oneshot, watch},
};

/// Time-out of a connection attempt; leaves time to retransmit a few lost
/// packets.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Back-off after a failed connection attempt, during which opening a stream to
/// the peer fails at once.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(150);

/// Settings of a link endpoint.
#[derive(Debug)]
pub struct LinkSettings {
    /// Certificate, private key and trusted roots of the process.
    pub identity: Identity,
    /// Address to accept connections on; `None` for an endpoint that only opens
    /// connections.
    pub listen: Option<SocketAddr>,
    /// Time without any received packet after which a connection is closed.
    pub idle_timeout: Duration,
    /// Interval between keep-alive packets on an idle connection.
    pub keep_alive: Duration,
    /// Time without a received frame after which a stream fails with
    /// [`LinkError::Silent`].
    pub receive_timeout: Duration,
    /// Maximum number of concurrent streams that a peer may open on a
    /// connection; further ones wait. Each takes memory on every connection,
    /// whether it is open or not.
    pub max_streams: u32,
    /// Where calls of peers are queued; `None` if the endpoint takes none. Peers that
    /// have too many calls wait while it is full.
    pub calls: Option<mpsc::Sender<IncomingCall>>,
    /// Memory for long requests of peers; without a limit if `None`.
    pub frame_memory: Option<FrameMemory>,
}

impl LinkSettings {
    /// Settings with default time-outs for an endpoint that accepts no
    /// connections.
    #[must_use]
    pub const fn new(identity: Identity) -> Self {
        Self {
            identity,
            listen: None,
            idle_timeout: Duration::from_secs(3),
            keep_alive: Duration::from_secs(1),
            receive_timeout: Duration::from_secs(5),
            max_streams: 1_024,
            calls: None,
            frame_memory: None,
        }
    }
}

/// A stream opened by a peer.
#[derive(Debug)]
pub struct Incoming {
    /// Roles in the peer's certificate.
    pub roles: Vec<LinkRole>,
    /// Holder's name in the peer's certificate, if it contains one.
    pub holder: Option<Box<str>>,
    /// Address of the peer.
    pub addr: SocketAddr,
    /// First frame of the stream.
    pub first: Frame,
    /// The stream, for replies and further frames.
    pub stream: LinkStream,
}

/// Request to open a stream.
struct OpenRequest {
    addr: SocketAddr,
    role: LinkRole,
    /// First frame, in chunks.
    first: Vec<Bytes>,
    /// Whether the frame is the request of a call.
    is_call: bool,
    reply: oneshot::Sender<Result<LinkStream, LinkError>>,
}

/// Call stream to a peer; `None` if the peer takes no calls.
type OpenedCalls = Result<Option<Arc<CallStream>>, LinkError>;

/// Call streams by peer address and role.
type CallStreams = Arc<Mutex<HashMap<(SocketAddr, LinkRole), Arc<CallStream>>>>;

/// Command to the link thread.
enum Command {
    /// Open a stream.
    Open(OpenRequest),
    /// Open the call stream to a peer.
    OpenCalls(SocketAddr, LinkRole, oneshot::Sender<OpenedCalls>),
    /// Use another identity for new connections.
    Reload(Identity, std_mpsc::SyncSender<Result<(), LinkError>>),
    /// Stop within a time; the reply tells whether all requests were answered.
    Stop(Duration, oneshot::Sender<bool>),
}

/// Handle to a link endpoint; clones share the endpoint.
#[derive(Debug, Clone)]
pub struct Links {
    commands: mpsc::UnboundedSender<Command>,
    local_addr: Option<SocketAddr>,
    /// Call streams that are open, or were when they were last used.
    calls: CallStreams,
}

impl Links {
    /// Starts the link thread. `accept` is called with each stream that a peer
    /// opens and must not block.
    ///
    /// # Errors
    ///
    /// [`LinkError::Io`] if the address is in use, [`LinkError::Keys`] if the
    /// identity is invalid.
    pub fn start(
        settings: LinkSettings,
        accept: impl Fn(Incoming) + Send + Sync + 'static,
    ) -> Result<Self, LinkError> {
        let (commands, queue) = mpsc::unbounded_channel();
        let (ready_tx, ready_rx) = std_mpsc::sync_channel(1);
        thread::Builder::new()
            .name("link".into())
            .spawn(move || run_thread(settings, accept, queue, &ready_tx))?;
        let local_addr = ready_rx.recv().map_err(|_| LinkError::Stopped)??;
        Ok(Self {
            commands,
            local_addr,
            calls: CallStreams::default(),
        })
    }

    /// Serves links on the current `tokio` runtime instead of a dedicated
    /// thread. Blocking methods must not be called from the runtime's threads.
    ///
    /// # Errors
    ///
    /// As [`Links::start`].
    pub fn start_on_runtime(
        settings: LinkSettings,
        accept: impl Fn(Incoming) + Send + Sync + 'static,
    ) -> Result<Self, LinkError> {
        let (commands, queue) = mpsc::unbounded_channel();
        let endpoint = bind(&settings)?;
        let local_addr = settings.listen.and_then(|_| endpoint.local_addr().ok());
        tokio::spawn(serve(endpoint, settings, accept, queue));
        Ok(Self {
            commands,
            local_addr,
            calls: CallStreams::default(),
        })
    }

    /// Starts a link thread that accepts no connections.
    ///
    /// # Errors
    ///
    /// As [`Links::start`].
    pub fn connect_only(identity: Identity) -> Result<Self, LinkError> {
        Self::start(LinkSettings::new(identity), drop)
    }

    /// Address on which connections are accepted; `None` if none are.
    #[must_use]
    pub const fn local_addr(&self) -> Option<SocketAddr> {
        self.local_addr
    }

    /// Opens a stream to a peer and sends its first value. The peer's
    /// certificate must contain `role`.
    ///
    /// # Errors
    ///
    /// [`LinkError::Connect`] if the connection or stream could not be opened;
    /// nothing was sent then.
    pub fn open(
        &self,
        addr: SocketAddr,
        role: LinkRole,
        first: &impl Serialize,
    ) -> Result<LinkStream, LinkError> {
        let opened = self.request_open(addr, role, Encoded::of(first)?, false)?;
        opened.blocking_recv().map_err(|_| LinkError::Stopped)?
    }

    /// Asynchronous version of [`Links::open`].
    ///
    /// # Errors
    ///
    /// As [`Links::open`].
    pub async fn open_async(
        &self,
        addr: SocketAddr,
        role: LinkRole,
        first: &impl Serialize,
    ) -> Result<LinkStream, LinkError> {
        let opened = self.request_open(addr, role, Encoded::of(first)?, false)?;
        opened.await.map_err(|_| LinkError::Stopped)?
    }

    /// Sends a request to a peer and waits for its one reply. The peer's certificate
    /// must contain `role`. Requests that are under way at the same time share a stream
    /// if the peer takes calls, and have a stream each otherwise. There is no time-out
    /// for the reply while the peer is connected; dropping the future forgets the
    /// request.
    ///
    /// # Errors
    ///
    /// As [`Links::open`] and [`LinkStream::recv`].
    pub async fn call<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        role: LinkRole,
        req: &impl Serialize,
    ) -> Result<T, LinkError> {
        self.call_encoded(addr, role, Encoded::of(req)?).await
    }

    /// Sends a request that is encoded already, as [`Links::call`] does. A long one is
    /// sent without a copy, and its chunks are held until the peer has them, or the
    /// future is dropped or fails.
    ///
    /// # Errors
    ///
    /// As [`Links::call`].
    pub async fn call_encoded<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        role: LinkRole,
        req: Encoded,
    ) -> Result<T, LinkError> {
        let calls = self.call_stream(addr, role).await?;
        let _permit = match &calls {
            Some(calls) => match calls.call(&req).await? {
                Some(reply) => return reply.decode(),
                None => Some(calls.large_call().await?),
            },
            None => None,
        };
        let opened = self.request_open(addr, role, req, true)?;
        let mut stream = opened.await.map_err(|_| LinkError::Stopped)??;
        stream.recv_async().await
    }

    /// Returns the call stream to a peer; `None` if the peer takes no calls.
    async fn call_stream(&self, addr: SocketAddr, role: LinkRole) -> OpenedCalls {
        let open = lock(&self.calls).get(&(addr, role)).cloned();
        if let Some(open) = open.filter(|calls| !calls.is_closed()) {
            return Ok(Some(open));
        }
        let (reply, opened) = oneshot::channel();
        self.commands
            .send(Command::OpenCalls(addr, role, reply))
            .map_err(|_| LinkError::Stopped)?;
        let opened = opened.await.map_err(|_| LinkError::Stopped)??;
        let mut calls = lock(&self.calls);
        calls.retain(|_, calls| !calls.is_closed());
        if let Some(opened) = &opened {
            calls.insert((addr, role), Arc::clone(opened));
        }
        Ok(opened)
    }

    /// Queues a request to open a stream; its result arrives on the receiver.
    fn request_open(
        &self,
        addr: SocketAddr,
        role: LinkRole,
        first: Encoded,
        is_call: bool,
    ) -> Result<oneshot::Receiver<Result<LinkStream, LinkError>>, LinkError> {
        let first = first.into_frame()?;
        let (reply, opened) = oneshot::channel();
        let open = OpenRequest {
            addr,
            role,
            first,
            is_call,
            reply,
        };
        self.commands
            .send(Command::Open(open))
            .map_err(|_| LinkError::Stopped)?;
        Ok(opened)
    }

    /// Uses another identity for all new connections.
    ///
    /// Streams in progress continue on their existing connections.
    ///
    /// # Errors
    ///
    /// [`LinkError::Keys`] if the identity is invalid; the old identity stays in
    /// use.
    pub fn reload(&self, identity: Identity) -> Result<(), LinkError> {
        let (reply, reloaded) = std_mpsc::sync_channel(1);
        self.commands
            .send(Command::Reload(identity, reply))
            .map_err(|_| LinkError::Stopped)?;
        reloaded.recv().map_err(|_| LinkError::Stopped)?
    }

    /// Stops the endpoint: reads no further requests of peers, waits until those that
    /// were read are answered, at most for `limit`, and closes the connections, so that
    /// peers need not wait for a time-out. Returns whether all were answered.
    pub async fn stop(&self, limit: Duration) -> bool {
        match self.request_stop(limit) {
            Some(stopped) => stopped.await.unwrap_or(false),
            None => true,
        }
    }

    /// Stops the endpoint as [`Links::stop`] does, and blocks until it has stopped.
    #[must_use]
    pub fn stop_blocking(&self, limit: Duration) -> bool {
        match self.request_stop(limit) {
            Some(stopped) => stopped.blocking_recv().unwrap_or(false),
            None => true,
        }
    }

    /// Requests the stop; `None` if the endpoint has ended already.
    fn request_stop(&self, limit: Duration) -> Option<oneshot::Receiver<bool>> {
        let (reply, stopped) = oneshot::channel();
        self.commands.send(Command::Stop(limit, reply)).ok()?;
        Some(stopped)
    }
}

/// Body of the link thread; returns once all handles are dropped.
fn run_thread(
    settings: LinkSettings,
    accept: impl Fn(Incoming) + Send + Sync + 'static,
    queue: mpsc::UnboundedReceiver<Command>,
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
        let local_addr = settings.listen.and_then(|_| endpoint.local_addr().ok());
        let _ = ready.send(Ok(local_addr));
        serve(endpoint, settings, accept, queue).await;
    });
}

/// Accepts and opens streams until all handles are dropped.
async fn serve(
    endpoint: Endpoint,
    settings: LinkSettings,
    accept: impl Fn(Incoming) + Send + Sync + 'static,
    queue: mpsc::UnboundedReceiver<Command>,
) {
    let (stopping, serving) = Serving::start();
    if settings.listen.is_some() {
        let acceptor = Acceptor {
            accept: Arc::new(accept),
            calls: settings.calls.clone(),
            receive_timeout: settings.receive_timeout,
            frame_memory: settings.frame_memory.clone(),
            serving,
        };
        tokio::spawn(acceptor.accept_connections(endpoint.clone()));
    } else {
        drop(serving);
    }
    serve_commands(endpoint.clone(), settings, queue, Arc::new(stopping)).await;
    endpoint.close(VarInt::from_u32(0), b"stopped");
}

// ---------------------------------------------------------------------------
// Outgoing streams

/// State of the connection to one peer.
#[derive(Debug, Default)]
struct PeerState {
    connection: Option<Connection>,
    /// Call stream of `connection`, once opened.
    calls: Option<Arc<CallStream>>,
    /// Time at which the last connection attempt failed; `None` after a success.
    failed_at: Option<Instant>,
}

/// Connection state by peer address and role. The task that holds a peer's lock
/// connects; other tasks wait for the outcome instead of connecting as well.
type PeerStates = HashMap<(SocketAddr, LinkRole), Arc<tokio::sync::Mutex<PeerState>>>;

/// Connection states, shared by all tasks that open streams.
type Connections = Arc<Mutex<PeerStates>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens streams and reloads keys until all handles are dropped.
async fn serve_commands(
    mut endpoint: Endpoint,
    mut settings: LinkSettings,
    mut queue: mpsc::UnboundedReceiver<Command>,
    stopping: Arc<watch::Sender<bool>>,
) {
    let mut connections = Connections::default();
    while let Some(command) = queue.recv().await {
        match command {
            Command::Open(open) => {
                let connections = Arc::clone(&connections);
                tokio::spawn(serve_open(
                    endpoint.clone(),
                    connections,
                    open,
                    settings.receive_timeout,
                ));
            }
            Command::OpenCalls(addr, role, reply) => {
                let connections = Arc::clone(&connections);
                tokio::spawn(serve_open_calls(
                    endpoint.clone(),
                    connections,
                    (addr, role),
                    reply,
                ));
            }
            Command::Reload(identity, reply) => {
                let reloaded = reload(&mut endpoint, &mut settings, identity);
                // Connections that use the old keys close with their last stream.
                let old = std::mem::take(&mut connections);
                tokio::spawn(retire_calls(old));
                let _ = reply.send(reloaded);
            }
            Command::Stop(limit, reply) => {
                let (endpoint, stopping) = (endpoint.clone(), Arc::clone(&stopping));
                tokio::spawn(async move {
                    let answered = stop::stop(&endpoint, &stopping, limit).await;
                    let _ = reply.send(answered);
                });
            }
        }
    }
}

/// Ends the call streams of connections once their calls are answered.
async fn retire_calls(connections: Connections) {
    let peers: Vec<_> = lock(&connections).values().cloned().collect();
    for peer in peers {
        if let Some(calls) = &peer.lock().await.calls {
            calls.retire();
        }
    }
}

/// Replaces the identity for new connections; keeps the old identity if the new
/// one is invalid.
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

/// Opens one stream, on the existing connection to the peer if there is an open
/// one.
async fn serve_open(
    endpoint: Endpoint,
    connections: Connections,
    open: OpenRequest,
    receive_timeout: Duration,
) {
    let OpenRequest {
        addr,
        role,
        first,
        is_call,
        mut reply,
    } = open;
    let peer = Arc::clone(lock(&connections).entry((addr, role)).or_default());
    let mut peer = tokio::select! {
        peer = peer.lock() => peer,
        () = reply.closed() => return,
    };
    if reply.is_closed() {
        return;
    }
    // The attempt continues when its requester gives up: other tasks wait for
    // the outcome, and a cancelled attempt would record no failure, so that the
    // next request would connect again without back-off.
    let connection = {
        let mut connecting = pin!(get_or_connect(&endpoint, &mut peer, addr, role));
        tokio::select! {
            connection = &mut connecting => connection,
            () = reply.closed() => {
                drop(first);
                let _ = connecting.await;
                return;
            }
        }
    };
    drop(peer);
    let first = (first, is_call);
    let stream = async { open_stream(&connection?, first, receive_timeout).await };
    tokio::select! {
        stream = stream => drop(reply.send(stream)),
        () = reply.closed() => {}
    }
}

/// Opens the call stream to a peer, or returns the one that is open.
async fn serve_open_calls(
    endpoint: Endpoint,
    connections: Connections,
    (addr, role): (SocketAddr, LinkRole),
    mut reply: oneshot::Sender<OpenedCalls>,
) {
    let peer = Arc::clone(lock(&connections).entry((addr, role)).or_default());
    let mut peer = tokio::select! {
        peer = peer.lock() => peer,
        () = reply.closed() => return,
    };
    if reply.is_closed() {
        return;
    }
    // Continues when the requester gives up, as in `serve_open`.
    let opened = async {
        let connection = get_or_connect(&endpoint, &mut peer, addr, role).await?;
        if !takes_calls(&connection) {
            return Ok(None);
        }
        if let Some(calls) = peer.calls.as_ref().filter(|calls| !calls.is_closed()) {
            return Ok(Some(Arc::clone(calls)));
        }
        let calls = CallStream::open(&connection).await?;
        peer.calls = Some(Arc::clone(&calls));
        Ok(Some(calls))
    };
    let opened = opened.await;
    let _ = reply.send(opened);
}

/// Whether both ends of a connection know call streams.
fn takes_calls(connection: &Connection) -> bool {
    connection
        .handshake_data()
        .and_then(|data| data.downcast::<HandshakeData>().ok())
        .is_some_and(|data| data.protocol.as_deref() == Some(ALPN_CALLS))
}

/// Returns the open connection to a peer, or establishes a new one.
async fn get_or_connect(
    endpoint: &Endpoint,
    peer: &mut PeerState,
    addr: SocketAddr,
    role: LinkRole,
) -> Result<Connection, LinkError> {
    if let Some(connection) = &peer.connection
        && connection.close_reason().is_none()
    {
        return Ok(connection.clone());
    }
    let unreachable = |reason: &str| LinkError::Connect(format!("{addr}: {reason}").into());
    if peer
        .failed_at
        .is_some_and(|at| at.elapsed() < RECONNECT_BACKOFF)
    {
        return Err(unreachable("a recent connection attempt failed"));
    }
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(endpoint, addr, role)).await;
    let connected = connecting.unwrap_or_else(|_| Err(unreachable("connection attempt timed out")));
    peer.failed_at = connected.is_err().then(Instant::now);
    peer.connection = connected.as_ref().ok().cloned();
    connected
}

/// Establishes a connection. TLS verifies the peer's role through the DNS name
/// in the peer's certificate.
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

/// Opens a stream on a connection and sends its first frame, which may be that of a call.
async fn open_stream(
    connection: &Connection,
    (first, is_call): (Vec<Bytes>, bool),
    receive_timeout: Duration,
) -> Result<LinkStream, LinkError> {
    let (send, recv) = connection
        .open_bi()
        .await
        .map_err(|err| LinkError::Connect(err.to_string().into()))?;
    let stream = spawn_transfer(send, recv, receive_timeout, HeldServing::default(), is_call);
    stream
        .tx
        .send(first)
        .await
        .map_err(|_| LinkError::Broken("stream closed".into()))?;
    Ok(stream)
}
