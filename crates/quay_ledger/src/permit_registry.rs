//! What one run of a sidecar knows of the permits it was shown.

use {
    quay_types::{
        CallEvent, Error, ErrorKind, GroupId, Incarnation, LogIndex, Permit, PermitId,
        PermitStatus, UpstreamId,
    },
    std::collections::{BTreeMap, VecDeque},
};

/// Permits of one ledger group that are remembered, besides those in use.
const MAX_PERMITS: usize = 4_096;

/// Bytes of answers that are kept for those who ask about an ended attempt.
const MAX_KEPT_BYTES: usize = 4 << 20;

/// What became of a permit.
enum State {
    /// Queued or running.
    Running,
    /// Never used, and never to be used.
    Refused,
    /// Ran and ended; the answer is kept if it was small enough.
    Ended(Option<Box<CallEvent>>),
}

/// The permits of one ledger group.
#[derive(Default)]
struct GroupPermits {
    /// A permit below this that is not in `states` may have been used and
    /// forgotten; it is never run. Only rises.
    floor: LogIndex,
    /// Every permit at or above the floor that was shown or asked about, and
    /// those in use below it.
    states: BTreeMap<LogIndex, State>,
}

impl GroupPermits {
    /// Forgets the oldest permits over the bound and raises the floor past them.
    fn forget_oldest(&mut self) {
        while self.states.len() > MAX_PERMITS {
            let idle = |(_, state): &(&LogIndex, &State)| !matches!(state, State::Running);
            let Some((oldest, _)) = self.states.iter().find(idle) else {
                return;
            };
            let oldest = *oldest;
            self.states.remove(&oldest);
            self.floor = self.floor.max(LogIndex(oldest.0 + 1));
        }
    }
}

/// Uses each permit at most once.
///
/// The book dies with its process: a later run has another incarnation and
/// refuses every permit of this one.
pub struct PermitRegistry {
    upstream: UpstreamId,
    incarnation: Incarnation,
    groups: BTreeMap<GroupId, GroupPermits>,
    /// Permits whose answers are kept, oldest first, with their sizes.
    kept: VecDeque<(PermitId, usize)>,
    /// Sum of the sizes in `kept`; at most [`MAX_KEPT_BYTES`].
    kept_bytes: usize,
}

impl PermitRegistry {
    /// The empty book of a new run.
    #[must_use]
    pub const fn new(upstream: UpstreamId, incarnation: Incarnation) -> Self {
        Self {
            upstream,
            incarnation,
            groups: BTreeMap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Uses a permit.
    ///
    /// # Errors
    ///
    /// The event to answer with: [`CallEvent::Refused`] only if the permit was
    /// never used here and never will be.
    pub fn admit(&mut self, permit: Option<&Permit>) -> Result<PermitId, CallEvent> {
        let Some(permit) = permit else {
            return Err(refused("the call has no permit"));
        };
        if permit.upstream != self.upstream || permit.incarnation != self.incarnation {
            return Err(refused("the permit is for another run of a sidecar"));
        }
        let group = self.groups.entry(permit.id.group).or_default();
        match group.states.get(&permit.id.index) {
            Some(State::Refused) => Err(refused("the permit was marked as refused")),
            Some(State::Running | State::Ended(_)) => Err(unknown("the permit was used before")),
            None if permit.id.index < group.floor => Err(unknown("the permit is too old")),
            None => {
                group.states.insert(permit.id.index, State::Running);
                group.forget_oldest();
                Ok(permit.id)
            }
        }
    }

    /// Notes that an attempt was turned away before it ran.
    pub fn refuse(&mut self, id: PermitId) {
        self.set(id, State::Refused);
    }

    /// Notes that an attempt has ended, with its answer if somebody may ask for it.
    pub fn end(&mut self, id: PermitId, answer: Option<CallEvent>) {
        let bytes = answer.as_ref().map_or(0, size);
        let answer = answer.filter(|_| bytes <= MAX_KEPT_BYTES).map(Box::new);
        if answer.is_some() {
            self.kept.push_back((id, bytes));
            self.kept_bytes += bytes;
        }
        self.set(id, State::Ended(answer));
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some((oldest, bytes)) = self.kept.pop_front() else {
                return;
            };
            self.kept_bytes -= bytes;
            let state = self.state_mut(oldest);
            if let Some(State::Ended(answer)) = state {
                *answer = None;
            }
        }
    }

    /// Tells what became of a permit; one that was never shown is marked as
    /// refused first. The answer of an ended attempt comes with it, if kept.
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
            Some(State::Running) => (PermitStatus::Running, None),
            Some(State::Refused) => (PermitStatus::Refused, None),
            Some(State::Ended(answer)) => (PermitStatus::Ended, answer.as_deref().cloned()),
            None if id.index < group.floor => (PermitStatus::Unknown, None),
            None => {
                group.states.insert(id.index, State::Refused);
                group.forget_oldest();
                (PermitStatus::Refused, None)
            }
        }
    }

    /// Permits that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.groups.values().map(|group| group.states.len()).sum()
    }

    /// Whether no permit is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The state of a permit in the book.
    fn state_mut(&mut self, id: PermitId) -> Option<&mut State> {
        self.groups.get_mut(&id.group)?.states.get_mut(&id.index)
    }

    /// Changes the state of a permit in use.
    fn set(&mut self, id: PermitId, state: State) {
        if let Some(slot) = self.state_mut(id) {
            debug_assert!(matches!(slot, State::Running), "a permit ends once");
            *slot = state;
        }
        if let Some(group) = self.groups.get_mut(&id.group) {
            group.forget_oldest();
        }
    }
}

/// Bytes that a kept answer counts for.
fn size(event: &CallEvent) -> usize {
    const OVERHEAD: usize = 64;
    match event {
        CallEvent::Body { body, .. } => body.len() + OVERHEAD,
        _ => OVERHEAD,
    }
}

/// The attempt never ran and never will.
fn refused(text: &str) -> CallEvent {
    CallEvent::Refused(Error::new(ErrorKind::PermitRefused, text))
}

/// The attempt may have run.
fn unknown(text: &str) -> CallEvent {
    CallEvent::Failed(Error::new(ErrorKind::OutcomeUnknown, text))
}
