//! An open connection of a caller, as its task, its requests and the budget see it.

use {
    super::host_memory::MemoryState,
    quay_policy::{CallerConnection, ConnectionPhase, EndReason},
    std::sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::Notify,
};

/// Bytes that fit into the read buffer that an idle connection has.
const SMALL_READ_BYTES: usize = 4 << 10;

/// Bytes after which the body of a request has made progress.
const PROGRESS_BYTES: usize = 4 << 10;

/// Bytes by which a request may be longer than it looks once it is parsed.
const UNPARSED_BYTES: usize = 1 << 10;

/// An open connection of a caller. Clones refer to the same one.
#[derive(Debug, Clone)]
pub struct OpenConnection(Arc<Connection>);

#[derive(Debug)]
struct Connection {
    memory: Arc<MemoryState>,
    id: CallerConnection,
    state: Mutex<State>,
    /// Whether the connection is to be ended.
    ended: AtomicBool,
    ended_notify: Notify,
}

/// Invariant: `grown` counts in the budget beside the connection itself.
#[derive(Debug, Default)]
struct State {
    phase: ConnectionPhase,
    /// Why the connection is to be ended, if it is.
    reason: Option<EndReason>,
    /// Whether the body of the request is being read.
    reading: bool,
    /// Whether the response was written before the body was read.
    answered: bool,
    /// Bytes that were read since the connection was idle.
    read: usize,
    /// Bytes of the request at least, if its length is declared.
    expected: Option<usize>,
    /// Bytes of the body since its last progress.
    step: usize,
    /// Bytes that count for a larger read buffer.
    grown: u64,
}

impl OpenConnection {
    /// Creates the handle of a connection that counts in the budget.
    pub fn new(memory: Arc<MemoryState>, id: CallerConnection) -> Self {
        Self(Arc::new(Connection {
            memory,
            id,
            state: Mutex::default(),
            ended: AtomicBool::new(false),
            ended_notify: Notify::new(),
        }))
    }

    /// Number of the connection.
    #[must_use]
    pub fn id(&self) -> CallerConnection {
        self.0.id
    }

    /// Changes the state, and records a phase that begins or makes progress.
    fn update(&self, change: impl FnOnce(&mut State) -> Option<ConnectionPhase>) {
        let mut state = self.0.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(phase) = change(&mut state) {
            state.phase = phase;
            let memory = &self.0.memory;
            memory.budget().record_phase(memory.now(), self.0.id, phase);
        }
    }

    /// Records that bytes were read from the caller.
    pub fn record_read(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let (mut grows, mut behind) = (false, false);
        self.update(|state| {
            behind = state.phase == ConnectionPhase::Running;
            state.read = state.read.saturating_add(bytes);
            grows = state.grown == 0 && state.read > SMALL_READ_BYTES;
            let begins = matches!(state.phase, ConnectionPhase::Unused | ConnectionPhase::Idle);
            begins.then_some(ConnectionPhase::Head)
        });
        if behind {
            self.0.memory.budget().record_behind(self.0.id);
        }
        if grows {
            self.grow();
        }
    }

    /// Counts a read buffer of the size that a head may have.
    fn grow(&self) {
        let memory = &self.0.memory;
        let bytes = memory.head_bytes();
        self.update(|state| {
            state.grown = bytes;
            None
        });
        let replaced = memory.budget().grow(memory.now(), self.0.id, bytes);
        if let Some(ended) = replaced {
            memory.end(ended);
        }
    }

    /// Records that the head of a request has arrived, which is at least `expected` bytes
    /// long if its length is declared. Its body arrives from the moment at which it is read.
    pub fn begin_request(&self, expected: Option<usize>) {
        self.update(|state| {
            state.answered = false;
            state.expected = expected;
            Some(ConnectionPhase::Running)
        });
        self.look_behind();
    }

    /// Records whether bytes were read that belong to no request yet: together with the
    /// request, so that no later read tells of them.
    fn look_behind(&self) {
        let mut behind = false;
        self.update(|state| {
            let expected = state.expected.unwrap_or(usize::MAX);
            behind = state.read > expected.saturating_add(UNPARSED_BYTES);
            None
        });
        if behind {
            self.0.memory.budget().record_behind(self.0.id);
        }
    }

    /// Records that the body of the request is read from now on, until the result is
    /// dropped.
    #[must_use]
    pub fn begin_body(&self) -> ArrivingBody {
        self.update(|state| {
            state.reading = true;
            state.step = 0;
            Some(ConnectionPhase::Body)
        });
        ArrivingBody(self.clone())
    }

    /// Records that the response is written, or given up.
    pub fn end_request(&self) {
        let mut grown = 0;
        self.update(|state| {
            state.answered = true;
            if state.reading {
                return None;
            }
            state.read = 0;
            grown = std::mem::take(&mut state.grown);
            Some(ConnectionPhase::Idle)
        });
        if grown > 0 {
            self.0.memory.budget().shrink(self.0.id, grown);
        }
    }

    /// Records that the connection is closed.
    pub fn close(&self) {
        let mut grown = 0;
        self.update(|state| {
            grown = std::mem::take(&mut state.grown);
            None
        });
        let memory = &self.0.memory;
        memory.budget().shrink(self.0.id, grown);
        memory.close(self.0.id);
    }

    // -----------------------------------------------------------------------
    // End

    /// Has the connection ended.
    pub fn end(&self, reason: EndReason) {
        self.update(|state| {
            state.reason = Some(reason);
            None
        });
        self.0.ended.store(true, Ordering::Relaxed);
        self.0.ended_notify.notify_waiters();
    }

    /// Waits until the connection is to be ended.
    pub async fn ended(&self) {
        let notified = self.0.ended_notify.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        if !self.0.ended.load(Ordering::Relaxed) {
            notified.await;
        }
    }

    /// Whether the connection is ended for its caller's slow sending while the body of a
    /// request is read: the request gets an answer.
    #[must_use]
    pub fn answers_before_end(&self) -> bool {
        let state = self.0.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.reading && state.reason != Some(EndReason::SlowReader)
    }
}

/// Body of a request that is being read.
#[derive(Debug)]
pub struct ArrivingBody(OpenConnection);

impl ArrivingBody {
    /// Records that bytes of the body were read.
    pub fn record_read(&self, bytes: usize) {
        self.0.update(|state| {
            state.step += bytes;
            let progress = state.step >= PROGRESS_BYTES;
            if progress {
                state.step = 0;
            }
            progress.then_some(ConnectionPhase::Body)
        });
    }

    /// Records that the body has arrived completely.
    pub fn complete(self) {
        self.0.update(|_| Some(ConnectionPhase::Running));
        self.0.look_behind();
    }

    /// Waits until the connection is to be ended.
    pub async fn ended(&self) {
        self.0.ended().await;
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        let mut answered = false;
        self.0.update(|state| {
            state.reading = false;
            answered = state.answered;
            None
        });
        if answered {
            self.0.end_request();
        }
    }
}
