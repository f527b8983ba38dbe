//! Histories of programs, kept beside their records.

use {
    indexmap::IndexMap,
    quay_types::{CallNumber, CallRecord, ContentDigest, Outcome, ProgramId, RequestKey},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// What is written once when a call begins and once when it ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCall {
    /// Identity of the call.
    pub key: RequestKey,
    /// Digest of its content.
    pub digest: ContentDigest,
    /// New part of its prompt.
    pub prompt: Box<[u8]>,
    /// How it ended; `None` while it is open.
    pub outcome: Option<Outcome>,
}

/// Keeps the chunks of every program.
///
/// Chunks are large and seldom read, so a store may keep them on disk. It must
/// give back what was written last, and is changed only by committed commands.
pub trait History: Default + Send + 'static {
    /// Every chunk, for snapshots.
    type Snapshot: Serialize + DeserializeOwned + Send + 'static;

    /// Appends the chunk of the program's next call.
    fn append(&mut self, program: ProgramId, chunk: StoredCall);

    /// Records the outcome of a program's last call.
    fn record_outcome(&mut self, program: ProgramId, outcome: Outcome);

    /// Removes the chunk of a program's last call, which never ran.
    fn remove_last(&mut self, program: ProgramId);

    /// Reads the chunk of a call.
    fn read(&self, program: ProgramId, number: CallNumber) -> Option<StoredCall>;

    /// Forgets a program.
    fn remove_program(&mut self, program: ProgramId);

    /// Copies every chunk.
    fn snapshot(&self) -> Self::Snapshot;

    /// Replaces every chunk.
    fn restore(&mut self, snapshot: Self::Snapshot);

    /// The whole history of a program of `calls` calls, in order.
    fn calls(&self, program: ProgramId, calls: u32) -> Box<[CallRecord]> {
        let numbers = (1..=calls).map(CallNumber);
        numbers
            .filter_map(|number| {
                let chunk = self.read(program, number)?;
                Some(CallRecord {
                    number,
                    prompt: chunk.prompt,
                    outcome: chunk.outcome,
                })
            })
            .collect()
    }
}

/// Chunks in memory.
#[derive(Debug, Default)]
pub struct MemoryHistory(IndexMap<ProgramId, Vec<StoredCall>>);

impl History for MemoryHistory {
    type Snapshot = IndexMap<ProgramId, Vec<StoredCall>>;

    fn append(&mut self, program: ProgramId, chunk: StoredCall) {
        self.0.entry(program).or_default().push(chunk);
    }

    fn record_outcome(&mut self, program: ProgramId, outcome: Outcome) {
        let chunks = self.0.get_mut(&program);
        let last = chunks.and_then(|chunks| chunks.last_mut());
        assert!(
            last.as_ref().is_some_and(|chunk| chunk.outcome.is_none()),
            "{program}: only an open call ends"
        );
        if let Some(chunk) = last {
            chunk.outcome = Some(outcome);
        }
    }

    fn remove_last(&mut self, program: ProgramId) {
        let last = self.0.get_mut(&program).and_then(Vec::pop);
        assert!(
            last.is_some_and(|chunk| chunk.outcome.is_none()),
            "{program}: only an open call is withdrawn"
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
