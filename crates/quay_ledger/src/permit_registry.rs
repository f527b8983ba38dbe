//! Registry of the permits that one incarnation of a sidecar has received.

use {
    quay_types::{
        CallEvent, Error, ErrorKind, GroupId, Incarnation, LogIndex, Permit, PermitId,
        PermitStatus, UpstreamId,
    },
    std::collections::{BTreeMap, VecDeque},
};

/// Permits retained per ledger group; running ones are never evicted.
const MAX_PERMITS: usize = 4_096;

/// Bytes of answers of ended attempts that are retained for later queries.
const MAX_RETAINED_BYTES: usize = 4 << 20;

/// State of a permit.
enum PermitState {
    /// The attempt is queued or running.
    Running,
    /// The permit was not used and never will be.
    Refused,
    /// The attempt ran and ended; its answer is retained if space allows.
    Ended(Option<Box<CallEvent>>),
}

/// Permits of one ledger group.
#[derive(Default)]
struct GroupPermits {
    /// Lower bound of the indexes that are fully recorded. A permit below the
    /// floor that is not in `states` may have been used and evicted, so it is
    /// never run. Never decreases.
    floor: LogIndex,
    /// All permits at or above the floor that were received or queried, and
    /// the running permits below it.
    states: BTreeMap<LogIndex, PermitState>,
}

impl GroupPermits {
    /// Evicts the oldest permits that are not running, down to the limit, and
    /// raises the floor above them.
    fn evict_oldest(&mut self) {
        while self.states.len() > MAX_PERMITS {
            let idle =
                |(_, state): &(&LogIndex, &PermitState)| !matches!(state, PermitState::Running);
            let Some((oldest, _)) = self.states.iter().find(idle) else {
                return;
            };
            let oldest = *oldest;
            self.states.remove(&oldest);
            self.floor = self.floor.max(LogIndex(oldest.0 + 1));
        }
    }
}

/// Registry that admits each permit at most once.
///
/// The registry is not persisted: after a restart the sidecar has another
/// incarnation and refuses all permits of the previous one.
pub struct PermitRegistry {
    upstream: UpstreamId,
    incarnation: Incarnation,
    groups: BTreeMap<GroupId, GroupPermits>,
    /// Permits with a retained answer, oldest first, and the answers' sizes in
    /// bytes.
    retained: VecDeque<(PermitId, usize)>,
    /// Sum of the sizes in `retained`; at most [`MAX_RETAINED_BYTES`].
    retained_bytes: usize,
}

impl PermitRegistry {
    /// Creates an empty registry for a new incarnation.
    #[must_use]
    pub const fn new(upstream: UpstreamId, incarnation: Incarnation) -> Self {
        Self {
            upstream,
            incarnation,
            groups: BTreeMap::new(),
            retained: VecDeque::new(),
            retained_bytes: 0,
        }
    }

    /// Marks a permit as used, so that its attempt may run.
    ///
    /// # Errors
    ///
    /// Returns the event to answer with. [`CallEvent::Refused`] means that the
    /// permit was not used by this incarnation and never will be.
    pub fn admit(&mut self, permit: Option<&Permit>) -> Result<PermitId, CallEvent> {
        let Some(permit) = permit else {
            return Err(refused_event("the call carries no permit"));
        };
        if permit.upstream != self.upstream || permit.incarnation != self.incarnation {
            return Err(refused_event(
                "the permit is for another sidecar or incarnation",
            ));
        }
        let group = self.groups.entry(permit.id.group).or_default();
        match group.states.get(&permit.id.index) {
            Some(PermitState::Refused) => Err(refused_event("the permit is marked as refused")),
            Some(PermitState::Running | PermitState::Ended(_)) => {
                Err(outcome_unknown_event("the permit was already used"))
            }
            None if permit.id.index < group.floor => Err(outcome_unknown_event(
                "the permit is too old to tell whether it was used",
            )),
            None => {
                group.states.insert(permit.id.index, PermitState::Running);
                group.evict_oldest();
                Ok(permit.id)
            }
        }
    }

    /// Records that an attempt was refused before it ran.
    pub fn refuse(&mut self, id: PermitId) {
        self.set_state(id, PermitState::Refused);
    }

    /// Records that an attempt has ended, with its answer if it may be queried
    /// later.
    pub fn end(&mut self, id: PermitId, answer: Option<CallEvent>) {
        let bytes = answer.as_ref().map_or(0, retained_size);
        let answer = answer.filter(|_| bytes <= MAX_RETAINED_BYTES).map(Box::new);
        if answer.is_some() {
            self.retained.push_back((id, bytes));
            self.retained_bytes += bytes;
        }
        self.set_state(id, PermitState::Ended(answer));
        while self.retained_bytes > MAX_RETAINED_BYTES {
            let Some((oldest, bytes)) = self.retained.pop_front() else {
                return;
            };
            self.retained_bytes -= bytes;
            let state = self.state_mut(oldest);
            if let Some(PermitState::Ended(answer)) = state {
                *answer = None;
            }
        }
    }

    /// Returns the status of a permit, and the answer of an ended attempt if it
    /// is retained. A permit that was never received is first marked as
    /// refused.
    pub fn query(
        &mut self,
        id: PermitId,
        incarnation: Incarnation,
    ) -> (PermitStatus, Option<CallEvent>) {
        if incarnation != self.incarnation {
            return (PermitStatus::Unknown, None);
        }
        let group = self.groups.entry(id.group).or_default();
        match group.states.get(&id.index) {
            Some(PermitState::Running) => (PermitStatus::Running, None),
            Some(PermitState::Refused) => (PermitStatus::Refused, None),
            Some(PermitState::Ended(answer)) => (PermitStatus::Ended, answer.as_deref().cloned()),
            None if id.index < group.floor => (PermitStatus::Unknown, None),
            None => {
                group.states.insert(id.index, PermitState::Refused);
                group.evict_oldest();
                (PermitStatus::Refused, None)
            }
        }
    }

    /// Number of recorded permits.
    #[must_use]
    pub fn len(&self) -> usize {
        self.groups.values().map(|group| group.states.len()).sum()
    }

    /// Whether no permit is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// State of a recorded permit.
    fn state_mut(&mut self, id: PermitId) -> Option<&mut PermitState> {
        self.groups.get_mut(&id.group)?.states.get_mut(&id.index)
    }

    /// Sets the final state of a running permit.
    fn set_state(&mut self, id: PermitId, state: PermitState) {
        if let Some(slot) = self.state_mut(id) {
            debug_assert!(
                matches!(slot, PermitState::Running),
                "the permit is not running"
            );
            *slot = state;
        }
        if let Some(group) = self.groups.get_mut(&id.group) {
            group.evict_oldest();
        }
    }
}

/// Size of a retained answer, in bytes.
fn retained_size(event: &CallEvent) -> usize {
    const OVERHEAD: usize = 64;
    match event {
        CallEvent::Body { body, .. } => body.len() + OVERHEAD,
        _ => OVERHEAD,
    }
}

/// Event for an attempt that did not run and never will.
fn refused_event(text: &str) -> CallEvent {
    CallEvent::Refused(Error::new(ErrorKind::PermitRefused, text))
}

/// Event for an attempt that may have run.
fn outcome_unknown_event(text: &str) -> CallEvent {
    CallEvent::Failed(Error::new(ErrorKind::OutcomeUnknown, text))
}
