//! The conversation before a turn, as it is sent to an upstream: whole if it fits into the
//! cache, otherwise in pages that are read from the stores while the upstream takes them.

use {
    super::memory::FrontMemory,
    crate::gateway::{
        host_memory::MemoryGuard,
        request_body::RequestBody,
        store::{StoreClient, StoredChain},
    },
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    quay_policy::{MemoryClass, MemoryHolder, Shortage},
    std::{
        cell::Cell,
        convert::Infallible,
        fmt,
        pin::Pin,
        rc::Rc,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::spawn_local,
    },
};

/// Size of a page that the stores send, unless one turn alone is larger, in bytes.
const PAGE_BYTES: u64 = 2 << 20;

/// The conversation before a turn.
#[derive(Debug, Clone)]
pub enum History {
    /// All of it.
    Whole(Bytes),
    /// On the stores.
    Stored(StoredHistory),
}

impl History {
    /// All of the conversation, unless it is on the stores.
    #[must_use]
    pub const fn whole(&self) -> Option<&Bytes> {
        match self {
            Self::Whole(history) => Some(history),
            Self::Stored(_) => None,
        }
    }
}

impl Default for History {
    fn default() -> Self {
        Self::Whole(Bytes::new())
    }
}

/// Conversation that is read from the stores for each attempt, one page at a time.
#[derive(Debug, Clone)]
pub struct StoredHistory {
    chain: StoredChain,
    stores: StoreClient,
    /// Memory for the page that is being sent.
    _page: Rc<MemoryGuard>,
}

impl StoredHistory {
    /// A conversation of which a page counts for a caller.
    ///
    /// # Errors
    ///
    /// If there is no room for a page.
    pub fn new(
        chain: StoredChain,
        stores: StoreClient,
        memory: &FrontMemory,
        holder: Option<MemoryHolder>,
    ) -> Result<Self, Shortage> {
        let page = PAGE_BYTES.max(chain.largest_turn());
        let page = usize::try_from(page).unwrap_or(usize::MAX);
        let page = memory.reserve(MemoryClass::Requests, holder, page)?;
        Ok(Self {
            chain,
            stores,
            _page: Rc::new(page),
        })
    }

    /// Sends the pages in order, each once the one before was written, until nobody takes
    /// them.
    async fn send_pages(self, pieces: mpsc::UnboundedSender<Bytes>, waits: Rc<Cell<bool>>) {
        let mut reader = self.chain.read(&self.stores);
        loop {
            waits.set(true);
            let page = tokio::select! {
                page = reader.next() => page,
                () = pieces.closed() => return,
            };
            waits.set(false);
            if page.is_empty() {
                return;
            }
            let (held, written) = oneshot::channel();
            let held = Arc::new(held);
            let pieces_of_page = page.into_iter().flat_map(|it| [it.input, it.output]);
            for data in pieces_of_page.filter(|it| !it.is_empty()) {
                let page = Arc::clone(&held);
                let _ = pieces.send(Bytes::from_owner(Piece { data, _page: page }));
            }
            drop(held);
            // Fails once the last piece is dropped.
            let _ = written.await;
        }
    }
}

/// Bytes of a page, which is written once all its pieces are dropped.
struct Piece {
    data: Bytes,
    _page: Arc<oneshot::Sender<Infallible>>,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// What a request sends to an upstream; each attempt begins anew.
#[derive(Debug, Clone, Default)]
pub struct OutgoingBody {
    /// The conversation before the input.
    pub history: History,
    /// Body of the caller's request.
    pub input: RequestBody,
}

impl From<RequestBody> for OutgoingBody {
    fn from(input: RequestBody) -> Self {
        Self {
            input,
            ..Self::default()
        }
    }
}

impl OutgoingBody {
    /// Begins the body of an attempt.
    #[must_use]
    pub fn open(&self) -> ForwardedBody {
        let mut body = ForwardedBody {
            stored_left: 0,
            pieces: None,
            waits: Rc::default(),
            rest: self.input.clone(),
        };
        match &self.history {
            History::Whole(history) => {
                body.rest = RequestBody::from(history.clone());
                body.rest.append(self.input.clone());
            }
            History::Stored(history) => {
                let (tx, rx) = mpsc::unbounded_channel();
                body.stored_left = history.chain.bytes();
                body.pieces = Some(rx);
                let waits = Rc::clone(&body.waits);
                spawn_local(history.clone().send_pages(tx, waits));
            }
        }
        body
    }
}

/// Body of an attempt.
#[derive(Debug)]
pub struct ForwardedBody {
    /// Bytes of the conversation that are still to come from the stores.
    stored_left: u64,
    pieces: Option<mpsc::UnboundedReceiver<Bytes>>,
    waits: Rc<Cell<bool>>,
    rest: RequestBody,
}

impl From<RequestBody> for ForwardedBody {
    fn from(body: RequestBody) -> Self {
        OutgoingBody::from(body).open()
    }
}

impl ForwardedBody {
    /// Tells whether the body waits for the stores, also once it was sent or dropped.
    #[must_use]
    pub fn waits_for_stores(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.waits)
    }
}

/// The stores no longer send the conversation, so the request must not look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryCut;

impl fmt::Display for HistoryCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stored conversation is incomplete")
    }
}

impl std::error::Error for HistoryCut {}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = HistoryCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, HistoryCut>>> {
        if let Some(pieces) = &mut self.pieces
            && let Some(piece) = ready!(pieces.poll_recv(cx))
        {
            let Some(left) = self.stored_left.checked_sub(piece.len() as u64) else {
                return Poll::Ready(Some(Err(HistoryCut)));
            };
            self.stored_left = left;
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        self.pieces = None;
        if self.stored_left > 0 {
            return Poll::Ready(Some(Err(HistoryCut)));
        }
        let rest = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        Poll::Ready(rest.map(|frame| frame.map_err(|never| match never {})))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_none() && self.stored_left == 0 && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.size_hint().lower();
        SizeHint::with_exact(self.stored_left + rest)
    }
}
