//! Storage of program histories, separate from the program records.

use {
    indexmap::IndexMap,
    quay_types::{CallNumber, CallRecord, ContentDigest, Outcome, ProgramId, RequestKey},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// Call in a program's history. Written once when the call begins and once
/// when it ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCall {
    /// Identity of the call.
    pub key: RequestKey,
    /// Digest of the call's content.
    pub digest: ContentDigest,
    /// New part of the call's prompt.
    pub prompt: Box<[u8]>,
    /// Outcome of the call; `None` while the call is open.
    pub outcome: Option<Outcome>,
}

/// Store for the calls of all programs.
///
/// Stored calls are large and rarely read, so an implementation may keep them
/// on disk. A read must return the last value written. Only committed commands
/// change the store.
pub trait History: Default + Send + 'static {
    /// All stored calls, as part of a ledger snapshot.
    type Snapshot: Serialize + DeserializeOwned + Send + 'static;

    /// Appends the program's next call.
    fn append(&mut self, program: ProgramId, call: StoredCall);

    /// Records the outcome of the program's last call.
    fn record_outcome(&mut self, program: ProgramId, outcome: Outcome);

    /// Removes the program's last call, which did not run.
    fn remove_last(&mut self, program: ProgramId);

    /// Reads a call of a program.
    fn read(&self, program: ProgramId, number: CallNumber) -> Option<StoredCall>;

    /// Removes all calls of a program.
    fn remove_program(&mut self, program: ProgramId);

    /// Copies all stored calls.
    fn snapshot(&self) -> Self::Snapshot;

    /// Replaces all stored calls.
    fn restore(&mut self, snapshot: Self::Snapshot);

    /// Complete history of a program with `calls` calls, in order.
    fn calls(&self, program: ProgramId, calls: u32) -> Box<[CallRecord]> {
        let numbers = (1..=calls).map(CallNumber);
        numbers
            .filter_map(|number| {
                let call = self.read(program, number)?;
                Some(CallRecord {
                    number,
                    prompt: call.prompt,
                    outcome: call.outcome,
                })
            })
            .collect()
    }
}

/// [`History`] that keeps the stored calls in memory.
#[derive(Debug, Default)]
pub struct MemoryHistory(IndexMap<ProgramId, Vec<StoredCall>>);

impl History for MemoryHistory {
    type Snapshot = IndexMap<ProgramId, Vec<StoredCall>>;

    fn append(&mut self, program: ProgramId, call: StoredCall) {
        self.0.entry(program).or_default().push(call);
    }

    fn record_outcome(&mut self, program: ProgramId, outcome: Outcome) {
        let calls = self.0.get_mut(&program);
        let last = calls.and_then(|calls| calls.last_mut());
        assert!(
            last.as_ref().is_some_and(|call| call.outcome.is_none()),
            "{program}: outcome recorded for a call that is not open"
        );
        if let Some(call) = last {
            call.outcome = Some(outcome);
        }
    }

    fn remove_last(&mut self, program: ProgramId) {
        let last = self.0.get_mut(&program).and_then(Vec::pop);
        assert!(
            last.is_some_and(|call| call.outcome.is_none()),
            "{program}: removed a call that is not open"
        );
    }

    fn read(&self, program: ProgramId, number: CallNumber) -> Option<StoredCall> {
        let slot = usize::try_from(number.0).ok()?.checked_sub(1)?;
        self.0.get(&program)?.get(slot).cloned()
    }

    fn remove_program(&mut self, program: ProgramId) {
        self.0.swap_remove(&program);
    }

    fn snapshot(&self) -> Self::Snapshot {
        self.0.clone()
    }

    fn restore(&mut self, snapshot: Self::Snapshot) {
        self.0 = snapshot;
    }
}
