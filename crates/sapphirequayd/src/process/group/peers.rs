//! Messages to and from the other replicas of a group.

use {
    super::QuorumRequest,
    crate::wire::LinkRequest,
    indexmap::IndexMap,
    quay_link::{LinkError, LinkRole, LinkStream, Links},
    quay_quorum::Message,
    quay_types::{GroupId, NodeId},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::Duration,
    },
};

/// Messages that may wait for one peer; more are dropped, and sent again later.
const QUEUE_MESSAGES: usize = 1_024;

/// Wait before a peer that could not be reached is tried again.
const RECONNECT_AFTER: Duration = Duration::from_millis(100);

/// Bytes of a message that go into one frame.
const PART_BYTES: usize = 4 << 20;

/// Largest message that is put together from parts.
const MAX_MESSAGE_BYTES: usize = 1 << 30;

/// One frame between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// A message.
    Whole(Message),
    /// Part of an encoded message that is too large for one frame.
    Part(#[serde(with = "quay_types::bytes")] Box<[u8]>),
    /// The last part.
    LastPart(#[serde(with = "quay_types::bytes")] Box<[u8]>),
}

/// Sends to the other replicas of a group; clones share the threads.
#[derive(Debug, Clone)]
pub struct Peers {
    links: Links,
    group: GroupId,
    node: NodeId,
    /// Address that this replica accepts links on.
    own: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    /// Bytes of frames that were sent.
    sent: Arc<AtomicU64>,
}

/// What the sending threads share.
#[derive(Debug, Default)]
struct Shared {
    addrs: IndexMap<NodeId, SocketAddr>,
    queues: IndexMap<NodeId, SyncSender<Message>>,
}

impl Peers {
    /// Peers of a replica.
    pub fn new(
        links: Links,
        group: GroupId,
        node: NodeId,
        own: SocketAddr,
        sent: Arc<AtomicU64>,
    ) -> Self {
        Self {
            links,
            group,
            node,
            own,
            shared: Arc::default(),
            sent,
        }
    }

    /// What the threads share.
    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address of a peer, if known.
    pub fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        self.shared().addrs.get(&node).copied()
    }

    /// Learns the address of a peer.
    pub fn learn(&self, node: NodeId, addr: SocketAddr) {
        self.shared().addrs.insert(node, addr);
    }

    /// Stops all threads.
    pub fn stop(&self) {
        self.shared().queues.clear();
    }

    /// Sends a message without waiting; it may get lost.
    pub fn send(&self, to: NodeId, message: Message) {
        let mut shared = self.shared();
        if let Some(queue) = shared.queues.get(&to) {
            let _ = queue.try_send(message);
            return;
        }
        match self.start(to) {
            Ok(queue) => {
                let _ = queue.try_send(message);
                shared.queues.insert(to, queue);
            }
            Err(err) => log::error!("event=peer_thread_failed peer={to} cause={err:?}"),
        }
    }

    /// Starts the thread that sends to a peer.
    fn start(&self, to: NodeId) -> io::Result<SyncSender<Message>> {
        let (tx, rx) = sync_channel(QUEUE_MESSAGES);
        let peers = self.clone();
        thread::Builder::new()
            .name(format!("peer-{}-{to}", self.group))
            .spawn(move || peers.feed(to, &rx))?;
        Ok(tx)
    }

    /// Sends what is queued for a peer until the queue is dropped.
    fn feed(&self, to: NodeId, queue: &Receiver<Message>) {
        let mut stream = None;
        while let Ok(message) = queue.recv() {
            if stream.is_none() {
                stream = self.connect(to);
            }
            match &stream {
                Some(open) => match send_message(open, message) {
                    Ok(bytes) => {
                        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
                    }
                    Err(_) => stream = None,
                },
                None => thread::sleep(RECONNECT_AFTER),
            }
        }
    }

    /// Opens the stream to a peer.
    fn connect(&self, to: NodeId) -> Option<LinkStream> {
        let addr = self.addr(to)?;
        let hello = QuorumRequest::Peer {
            group: self.group,
            from: self.node,
            to,
            addr: self.own,
        };
        match self
            .links
            .open(addr, LinkRole::Ledger, &LinkRequest::Quorum(hello))
        {
            Ok(stream) => Some(stream),
            Err(err) => {
                let group = self.group;
                log::debug!("event=peer_unreachable group={group} peer={to} cause={err:?}");
                None
            }
        }
    }
}

/// Sends one message, in parts if it is large; tells the bytes.
fn send_message(stream: &LinkStream, message: Message) -> Result<usize, LinkError> {
    let Message::Snapshot { .. } = &message else {
        return stream.send_counted(&PeerFrame::Whole(message));
    };
    let bytes = postcard::to_stdvec(&message).map_err(LinkError::Decode)?;
    let mut sent = 0;
    let mut parts = bytes.chunks(PART_BYTES).peekable();
    while let Some(part) = parts.next() {
        let frame = match parts.peek() {
            Some(_) => PeerFrame::Part(part.into()),
            None => PeerFrame::LastPart(part.into()),
        };
        sent += stream.send_counted(&frame)?;
    }
    Ok(sent)
}

/// Receives messages from a peer until the stream ends.
pub fn receive(stream: &mut LinkStream, mut take: impl FnMut(Message)) -> Result<(), LinkError> {
    let mut parts = Vec::new();
    loop {
        match stream.recv()? {
            PeerFrame::Whole(message) => take(message),
            PeerFrame::Part(part) => {
                parts.extend_from_slice(&part);
                if parts.len() > MAX_MESSAGE_BYTES {
                    return Err(LinkError::TooLarge { bytes: parts.len() });
                }
            }
            PeerFrame::LastPart(part) => {
                parts.extend_from_slice(&part);
                take(postcard::from_bytes(&parts).map_err(LinkError::Decode)?);
                parts = Vec::new();
            }
        }
    }
}
