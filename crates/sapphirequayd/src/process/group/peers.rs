//! Sends messages to the other replicas of a group and receives theirs.

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

/// Capacity of a peer's send queue, in messages. Further messages are dropped;
/// the replica sends them again later.
const QUEUE_MESSAGES: usize = 1_024;

/// Delay before reconnecting to a peer that could not be reached.
const RECONNECT_AFTER: Duration = Duration::from_millis(100);

/// Largest part of a split message that one frame carries, in bytes.
const PART_BYTES: usize = 4 << 20;

/// Largest message that is assembled from parts, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 30;

/// One frame between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// A complete message.
    Whole(Message),
    /// Part of an encoded message that is too large for one frame.
    Part(#[serde(with = "quay_types::bytes")] Box<[u8]>),
    /// The last part of a split message.
    LastPart(#[serde(with = "quay_types::bytes")] Box<[u8]>),
}

/// Sends messages to the other replicas of a group, with one thread per peer.
/// Clones share the threads.
#[derive(Debug, Clone)]
pub struct Peers {
    links: Links,
    group: GroupId,
    node: NodeId,
    /// Address on which this replica accepts links.
    own_addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    /// Bytes of the frames that were sent.
    sent: Arc<AtomicU64>,
}

/// Addresses and send queues of the peers, shared by all threads.
#[derive(Debug, Default)]
struct Shared {
    addrs: IndexMap<NodeId, SocketAddr>,
    queues: IndexMap<NodeId, SyncSender<Message>>,
}

impl Peers {
    /// Creates the senders of a replica; no thread is started yet.
    pub fn new(
        links: Links,
        group: GroupId,
        node: NodeId,
        own_addr: SocketAddr,
        sent: Arc<AtomicU64>,
    ) -> Self {
        Self {
            links,
            group,
            node,
            own_addr,
            shared: Arc::default(),
            sent,
        }
    }

    /// Locks the addresses and send queues.
    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address of a peer, if known.
    pub fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        self.shared().addrs.get(&node).copied()
    }

    /// Records the address of a peer.
    pub fn set_addr(&self, node: NodeId, addr: SocketAddr) {
        self.shared().addrs.insert(node, addr);
    }

    /// Drops the send queues, which ends all sending threads.
    pub fn stop(&self) {
        self.shared().queues.clear();
    }

    /// Queues a message without blocking. Delivery is not guaranteed.
    pub fn send(&self, to: NodeId, message: Message) {
        let mut shared = self.shared();
        if let Some(queue) = shared.queues.get(&to) {
            let _ = queue.try_send(message);
            return;
        }
        match self.spawn_sender(to) {
            Ok(queue) => {
                let _ = queue.try_send(message);
                shared.queues.insert(to, queue);
            }
            Err(err) => log::error!("event=peer_thread_failed peer={to} cause={err:?}"),
        }
    }

    /// Starts the thread that sends to a peer.
    fn spawn_sender(&self, to: NodeId) -> io::Result<SyncSender<Message>> {
        let (tx, rx) = sync_channel(QUEUE_MESSAGES);
        let peers = self.clone();
        thread::Builder::new()
            .name(format!("peer-{}-{to}", self.group))
            .spawn(move || peers.send_queued(to, &rx))?;
        Ok(tx)
    }

    /// Sends the queued messages of a peer until the queue is dropped.
    fn send_queued(&self, to: NodeId, queue: &Receiver<Message>) {
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

    /// Opens a stream to a peer; `None` if its address is unknown or it can't be
    /// reached.
    fn connect(&self, to: NodeId) -> Option<LinkStream> {
        let addr = self.addr(to)?;
        let request = QuorumRequest::Peer {
            group: self.group,
            from: self.node,
            to,
            addr: self.own_addr,
        };
        match self
            .links
            .open(addr, LinkRole::Ledger, &LinkRequest::Quorum(request))
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

/// Sends one message and returns the bytes sent. Snapshots are split into parts,
/// since they may exceed the size of a frame.
fn send_message(stream: &LinkStream, message: Message) -> Result<usize, LinkError> {
    let Message::Snapshot { .. } = &message else {
        return stream.send_returning_size(&PeerFrame::Whole(message));
    };
    let bytes = postcard::to_stdvec(&message).map_err(LinkError::Decode)?;
    let mut sent = 0;
    let mut parts = bytes.chunks(PART_BYTES).peekable();
    while let Some(part) = parts.next() {
        let frame = match parts.peek() {
            Some(_) => PeerFrame::Part(part.into()),
            None => PeerFrame::LastPart(part.into()),
        };
        sent += stream.send_returning_size(&frame)?;
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
