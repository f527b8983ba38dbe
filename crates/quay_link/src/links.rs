//! The link thread: endpoints, connections and the tasks that move frames.

use {
    crate::{
        Frame, Identity, LinkError, LinkRole, LinkStream,
        endpoint::{bind, client_config, server_config},
        frame,
        identity::{Holder, holder_of},
        pump::{couple, read_frame},
    },
    quinn::{Connection, Endpoint, VarInt},
    rustls::pki_types::CertificateDer,
    serde::Serialize,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc as std_mpsc},
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Longest time to set up a connection; a few lost packets fit in.
const CONNECT_WITHIN: Duration = Duration::from_millis(600);

/// Time after a failed try in which a peer counts as unreachable.
const RECONNECT_AFTER: Duration = Duration::from_millis(150);

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
    pub async fn open_async(
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
