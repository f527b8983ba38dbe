//! Byte budget of the process, and guards that return their bytes when dropped.

use {
    super::{meters, open_connection::OpenConnection},
    crate::process::Clock,
    bytes::Bytes,
    indexmap::IndexMap,
    quay_policy::{
        CallerConnection, ConnectDecision, EndReason, EndedConnection, MemoryBudget, MemoryClass,
        MemoryDecision, MemoryHolder, MemorySettings, Shortage,
    },
    quay_types::Time,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Bytes counted for a frame beside its data: its slot in the queue, and the owner of
/// its data with the guard.
const FRAME_BYTES: u64 = 256;

/// Byte budget of the process; without one, everything is granted. Clones refer to
/// the same budget.
#[derive(Debug, Clone, Default)]
pub struct HostMemory(Option<Arc<MemoryState>>);

/// What a host may take of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Bytes of requests, responses, conversations and connections; `None` if they are
    /// not bounded.
    pub budget: Option<u64>,
    /// Whether the budget follows from a limit that the settings state, and not from the
    /// size of the machine.
    pub stated: bool,
    /// Number of connections of callers that may be open.
    pub connections: usize,
}

/// State of the budget.
///
/// Guards are part of response bodies, which must be `Send`; hence the locks, which
/// only one thread takes.
#[derive(Debug)]
pub struct MemoryState {
    clock: Clock,
    budget: Mutex<MemoryBudget>,
    /// Whether the settings state a limit.
    is_limited: bool,
    connections: Mutex<IndexMap<CallerConnection, OpenConnection>>,
    next_connection: AtomicU64,
    /// Limit of a request's head.
    head_bytes: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All connections carry requests, and there is no room for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionRefused;

/// Budget of a host whose memory is not limited.
const UNLIMITED_BYTES: u64 = 1 << 60;

/// Default limit of a request's head, in bytes.
const HEAD_BYTES: u64 = 16 << 10;

impl HostMemory {
    /// Creates the memory of a host.
    #[must_use]
    pub fn new(clock: Clock, limits: HostLimits) -> Self {
        let HostLimits {
            budget,
            stated,
            connections,
        } = limits;
        match budget {
            Some(bytes) => {
                log::info!("event=memory_budget bytes={bytes} connections={connections}");
            }
            None => log::info!("event=memory_unlimited connections={connections}"),
        }
        let settings = MemorySettings {
            max_connections: connections,
            ..MemorySettings::of(budget.unwrap_or(UNLIMITED_BYTES))
        };
        Self(Some(Arc::new(MemoryState {
            clock,
            budget: Mutex::new(MemoryBudget::new(settings)),
            is_limited: stated,
            connections: Mutex::default(),
            next_connection: AtomicU64::new(1),
            head_bytes: AtomicU64::new(HEAD_BYTES),
        })))
    }

    /// Whether the settings state a limit. Otherwise that of the machine only bounds what
    /// callers send.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.0.as_ref().is_some_and(|it| it.is_limited)
    }

    /// Sets the limits of a request's head and body, and the time-out of a head.
    pub fn set_limits(&self, head_bytes: u64, body_bytes: u64, head_timeout: Duration) {
        let Some(state) = &self.0 else { return };
        state.head_bytes.store(head_bytes, Ordering::Relaxed);
        let mut budget = state.budget();
        budget.set_limits(body_bytes, head_timeout);
        if !budget.holds_largest_body() {
            log::warn!("event=memory_below_limits body_bytes={body_bytes}");
        }
    }

    /// Reserves bytes. `evict` evicts at least as many bytes of cached conversations
    /// as it is told and returns the size of those that are left.
    ///
    /// # Errors
    ///
    /// If there is no room, or none in a share.
    pub fn reserve(
        &self,
        class: MemoryClass,
        holder: Option<MemoryHolder>,
        bytes: u64,
        mut evict: impl FnMut(u64) -> u64,
    ) -> Result<MemoryGuard, Shortage> {
        let Some(shared) = &self.0 else {
            return Ok(MemoryGuard::default());
        };
        let now = shared.clock.now();
        let mut cached = evict(0);
        loop {
            let decision = shared.budget().reserve(now, class, holder, bytes, cached);
            match decision {
                MemoryDecision::Granted => {
                    let mut guard = self.guard(class, holder);
                    guard.bytes = bytes;
                    return Ok(guard);
                }
                MemoryDecision::Evict(bytes) => cached = evict(bytes),
                MemoryDecision::End(ended) => shared.end(ended),
                MemoryDecision::Refused(shortage) => {
                    meters::record_memory_refusal(class, shortage);
                    return Err(shortage);
                }
            }
        }
    }

    /// Creates a reservation without bytes, which is granted also while there is no room.
    #[must_use]
    pub fn guard(&self, class: MemoryClass, holder: Option<MemoryHolder>) -> MemoryGuard {
        MemoryGuard {
            memory: self.0.clone(),
            class,
            holder,
            bytes: 0,
            ready: None,
            taken: None,
        }
    }

    /// Sets the size of a reservation; see [`reserve`](Self::reserve). On an error the
    /// reservation is unchanged.
    ///
    /// # Errors
    ///
    /// If there is no room, or none in a share.
    pub fn resize(
        &self,
        guard: &mut MemoryGuard,
        bytes: u64,
        evict: impl FnMut(u64) -> u64,
    ) -> Result<(), Shortage> {
        if bytes > guard.bytes {
            let mut added = self.reserve(guard.class, guard.holder, bytes - guard.bytes, evict)?;
            guard.bytes += std::mem::take(&mut added.bytes);
        } else if let Some(shared) = guard.memory.as_ref().filter(|_| bytes < guard.bytes) {
            shared
                .budget()
                .release(guard.class, guard.holder, guard.bytes - bytes);
            guard.bytes = bytes;
        }
        Ok(())
    }

    /// Counts a frame of a stream that was read, until the caller has taken it.
    /// `taken` is notified then.
    pub fn hold_frame(
        &self,
        holder: Option<MemoryHolder>,
        data: Bytes,
        taken: &Arc<Notify>,
    ) -> Bytes {
        let (Some(shared), Some(_)) = (&self.0, holder) else {
            return data;
        };
        let mut guard = self.guard(MemoryClass::Responses, holder);
        guard.bytes = data.len() as u64 + FRAME_BYTES;
        guard.taken = Some(Arc::clone(taken));
        shared.budget().charge(guard.class, holder, guard.bytes);
        guard.wait_for_caller();
        guard.attach(data)
    }

    /// Whether a stream to a caller is read on from its upstream.
    #[must_use]
    pub fn may_read_on(&self, holder: Option<MemoryHolder>) -> bool {
        let (Some(shared), Some(holder)) = (&self.0, holder) else {
            return true;
        };
        shared.budget().may_read_on(holder)
    }

    /// Ends connections whose callers are too slow, and sets the gauges. `closing` tells
    /// whether the host shuts down.
    pub fn tick(&self, closing: bool) {
        let Some(shared) = &self.0 else { return };
        let now = shared.clock.now();
        loop {
            let ended = {
                let mut budget = shared.budget();
                let late = budget.end_late_head(now);
                match late.or_else(|| budget.end_if_short(now)) {
                    None if closing => budget.end_unused(now),
                    ended => ended,
                }
            };
            let Some(ended) = ended else { break };
            shared.end(ended);
        }
        let budget = shared.budget();
        for class in MemoryClass::ALL {
            meters::set_memory(class, budget.used(class));
        }
    }

    /// Counts a new connection of a caller; the second value tells whether others are
    /// ended for it. `None` if nothing is counted.
    ///
    /// # Errors
    ///
    /// If there is no room for another connection.
    pub fn connect(&self) -> Result<(Option<OpenConnection>, bool), ConnectionRefused> {
        let Some(state) = &self.0 else {
            return Ok((None, false));
        };
        let mut replaces = false;
        let id = state.next_connection.fetch_add(1, Ordering::Relaxed);
        let id = CallerConnection(id);
        let now = state.clock.now();
        loop {
            let decision = state.budget().connect(now, id);
            match decision {
                ConnectDecision::Admitted => break,
                ConnectDecision::End(ended) => {
                    state.end(ended);
                    replaces = true;
                }
                ConnectDecision::Refused => {
                    log::warn!("event=connection_refused");
                    meters::record_connection_refused();
                    return Err(ConnectionRefused);
                }
            }
        }
        let open = OpenConnection::new(Arc::clone(state), id);
        lock(&state.connections).insert(id, open.clone());
        Ok((Some(open), replaces))
    }

    /// Size of the receive buffer of the next connection, in bytes; `None` without a
    /// limit.
    #[must_use]
    pub fn receive_buffer(&self) -> Option<usize> {
        let state = self.0.as_ref().filter(|it| it.is_limited)?;
        usize::try_from(state.budget().receive_buffer()).ok()
    }

    /// Ends a connection without a complete request, so that its descriptor is free.
    pub fn free_descriptor(&self) {
        let Some(state) = &self.0 else { return };
        let ended = state.budget().end_replaced(state.clock.now());
        if let Some(ended) = ended {
            state.end(ended);
        }
    }
}

impl MemoryState {
    /// The budget, locked.
    pub fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        lock(&self.budget)
    }

    /// Time since the process started.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Limit of a request's head in bytes.
    pub fn head_bytes(&self) -> u64 {
        self.head_bytes.load(Ordering::Relaxed)
    }

    /// Removes a connection that is closed.
    pub fn close(&self, id: CallerConnection) {
        lock(&self.connections).swap_remove(&id);
        self.budget().close(id);
    }

    /// Ends a connection.
    pub fn end(&self, ended: EndedConnection) {
        let EndedConnection {
            connection: CallerConnection(id),
            reason,
            phase,
            held,
            stalled,
        } = ended;
        let ms = stalled.as_millis();
        if reason == EndReason::SlowReader {
            log::warn!("event=reader_disconnected connection={id} bytes={held} stalled_ms={ms}");
            meters::record_reader_disconnected();
        } else {
            let reason = reason.name();
            log::warn!(
                "event=caller_disconnected connection={id} reason={reason} phase={phase:?} bytes={held} stalled_ms={ms}"
            );
            meters::record_caller_disconnected(reason);
        }
        let open = lock(&self.connections).get(&ended.connection).cloned();
        if let Some(open) = open {
            open.end(reason);
        }
    }
}

/// Reservation of bytes; dropping it returns them.
#[derive(Debug)]
pub struct MemoryGuard {
    /// `None` if there is no budget.
    memory: Option<Arc<MemoryState>>,
    class: MemoryClass,
    holder: Option<MemoryHolder>,
    bytes: u64,
    /// Time from which the bytes wait for the caller, if they do.
    ready: Option<Time>,
    /// Notified when the bytes are returned.
    taken: Option<Arc<Notify>>,
}

impl Default for MemoryGuard {
    fn default() -> Self {
        Self {
            memory: None,
            class: MemoryClass::Requests,
            holder: None,
            bytes: 0,
            ready: None,
            taken: None,
        }
    }
}

impl MemoryGuard {
    /// Records that the bytes wait for the caller from now on.
    pub fn wait_for_caller(&mut self) {
        let (Some(shared), Some(holder)) = (&self.memory, self.holder) else {
            return;
        };
        let now = shared.clock.now();
        self.ready = Some(now);
        shared.budget().record_waiting(now, holder, self.bytes);
    }

    /// Counts the bytes in another class from now on.
    pub fn set_class(&mut self, class: MemoryClass) {
        if let Some(shared) = &self.memory {
            let mut budget = shared.budget();
            budget.release(self.class, self.holder, self.bytes);
            budget.charge(class, self.holder, self.bytes);
        }
        self.class = class;
    }

    /// Returns the data with this guard, which is dropped with the data's last clone.
    #[must_use]
    pub fn attach(self, data: Bytes) -> Bytes {
        if self.memory.is_none() {
            return data;
        }
        Bytes::from_owner(HeldBytes { data, _guard: self })
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        let Some(shared) = &self.memory else { return };
        let mut budget = shared.budget();
        if let (Some(ready), Some(holder)) = (self.ready, self.holder) {
            budget.record_taken(ready, holder, self.bytes);
        }
        budget.release(self.class, self.holder, self.bytes);
        if let Some(taken) = &self.taken {
            taken.notify_one();
        }
    }
}

/// Bytes with the guard of their memory.
struct HeldBytes {
    data: Bytes,
    _guard: MemoryGuard,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
