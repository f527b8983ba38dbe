//! Byte budget of the process, and guards that return their bytes when dropped.

use {
    super::meters,
    crate::process::Clock,
    bytes::Bytes,
    indexmap::IndexMap,
    quay_policy::{
        CallerConnection, MemoryBudget, MemoryClass, MemoryDecision, MemoryHolder, MemorySettings,
        Shortage, SlowReader,
    },
    quay_types::Time,
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::Notify,
};

/// Bytes counted for an open connection of a caller: the 8 KiB read buffer of
/// `hyper`, and half of that for the task and its state.
const CONNECTION_BYTES: u64 = 12 << 10;

/// Bytes counted for a frame beside its data: its slot in the queue, and the owner of
/// its data with the guard.
const FRAME_BYTES: u64 = 256;

/// Byte budget of the process; without one, everything is granted. Clones refer to
/// the same budget.
#[derive(Debug, Clone, Default)]
pub struct HostMemory(Option<Arc<Shared>>);

/// Guards are part of response bodies, which must be `Send`; hence the locks, which
/// only one thread takes.
#[derive(Debug)]
struct Shared {
    clock: Clock,
    budget: Mutex<MemoryBudget>,
    /// Signals that end the connections of callers.
    connections: Mutex<IndexMap<CallerConnection, Arc<Notify>>>,
    next_connection: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HostMemory {
    /// Creates the memory of a host with a budget of `total` bytes, if there is one.
    #[must_use]
    pub fn of(clock: Clock, total: Option<u64>) -> Self {
        let Some(total) = total else {
            return Self::default();
        };
        log::info!("event=memory_budget bytes={total}");
        Self::new(clock, total)
    }

    /// Creates a budget of `total` bytes.
    #[must_use]
    pub fn new(clock: Clock, total: u64) -> Self {
        Self(Some(Arc::new(Shared {
            clock,
            budget: Mutex::new(MemoryBudget::new(MemorySettings::of(total))),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(1),
        })))
    }

    /// Whether there is a budget.
    #[must_use]
    pub const fn is_limited(&self) -> bool {
        self.0.is_some()
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
            let decision = lock(&shared.budget).reserve(now, class, holder, bytes, cached);
            match decision {
                MemoryDecision::Granted => {
                    return Ok(MemoryGuard {
                        memory: Some(Arc::clone(shared)),
                        class,
                        holder,
                        bytes,
                        ready: None,
                        taken: None,
                    });
                }
                MemoryDecision::Evict(bytes) => cached = evict(bytes),
                MemoryDecision::Disconnect(reader) => shared.disconnect(reader),
                MemoryDecision::Refused(shortage) => {
                    meters::record_memory_refusal(class, shortage);
                    return Err(shortage);
                }
            }
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
        } else if let Some(shared) = &guard.memory {
            lock(&shared.budget).release(guard.class, guard.holder, guard.bytes - bytes);
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
        let mut guard = MemoryGuard {
            memory: Some(Arc::clone(shared)),
            class: MemoryClass::Responses,
            holder,
            bytes: data.len() as u64 + FRAME_BYTES,
            ready: None,
            taken: Some(Arc::clone(taken)),
        };
        lock(&shared.budget).charge(guard.class, holder, guard.bytes);
        guard.wait_for_caller();
        guard.attach(data)
    }

    /// Whether a stream to a caller is read on from its upstream.
    #[must_use]
    pub fn may_read_on(&self, holder: Option<MemoryHolder>) -> bool {
        let (Some(shared), Some(holder)) = (&self.0, holder) else {
            return true;
        };
        lock(&shared.budget).may_read_on(holder)
    }

    /// Disconnects the slowest readers while memory is short, and sets the gauges.
    pub fn tick(&self) {
        let Some(shared) = &self.0 else { return };
        let now = shared.clock.now();
        loop {
            let reader = lock(&shared.budget).disconnect_if_short(now);
            let Some(reader) = reader else { break };
            shared.disconnect(reader);
        }
        let budget = lock(&shared.budget);
        for class in MemoryClass::ALL {
            meters::set_memory(class, budget.used(class));
        }
    }

    /// Counts a connection of a caller, until the result is dropped.
    #[must_use]
    pub fn open_connection(&self) -> Option<OpenConnection> {
        let shared = self.0.as_ref()?;
        let id = CallerConnection(shared.next_connection.fetch_add(1, Ordering::Relaxed));
        let ended = Arc::new(Notify::new());
        lock(&shared.connections).insert(id, Arc::clone(&ended));
        lock(&shared.budget).charge(MemoryClass::Connections, None, CONNECTION_BYTES);
        Some(OpenConnection {
            memory: Arc::clone(shared),
            id,
            ended,
        })
    }
}

impl Shared {
    /// Ends the connection of a slow reader.
    fn disconnect(&self, reader: SlowReader) {
        log::warn!(
            "event=reader_disconnected connection={} bytes={} stalled_ms={}",
            reader.connection.0,
            reader.held,
            reader.stalled.as_millis()
        );
        meters::record_reader_disconnected();
        if let Some(ended) = lock(&self.connections).get(&reader.connection) {
            ended.notify_one();
        }
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub struct OpenConnection {
    memory: Arc<Shared>,
    id: CallerConnection,
    ended: Arc<Notify>,
}

impl OpenConnection {
    /// Number of the connection.
    #[must_use]
    pub const fn id(&self) -> CallerConnection {
        self.id
    }

    /// Waits until the connection is to be ended.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.memory.connections).swap_remove(&self.id);
        lock(&self.memory.budget).release(MemoryClass::Connections, None, CONNECTION_BYTES);
    }
}

/// Reservation of bytes; dropping it returns them.
#[derive(Debug)]
pub struct MemoryGuard {
    /// `None` if there is no budget.
    memory: Option<Arc<Shared>>,
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
        lock(&shared.budget).record_waiting(now, holder, self.bytes);
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
        let mut budget = lock(&shared.budget);
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
