//! State machine replicated in the commit measurements.

use {
    indexmap::IndexMap,
    quay_quorum::StateMachine,
    quay_types::{Epoch, LogIndex},
    serde::{Deserialize, Serialize},
};

/// Latest record of each program.
#[derive(Debug, Default)]
pub struct Records(IndexMap<u64, Box<[u8]>>);

/// Command that replaces the record of a program.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SetRecord {
    /// Number of the program.
    pub program: u64,
    /// Content of the record.
    #[serde(with = "quay_types::bytes")]
    pub record: Box<[u8]>,
}

impl StateMachine for Records {
    type Command = SetRecord;
    type Reply = usize;
    type Query = ();
    type Answer = usize;
    type Snapshot = Vec<SetRecord>;

    fn apply(&mut self, _: LogIndex, _: Epoch, command: SetRecord) -> usize {
        self.0.insert(command.program, command.record);
        self.0.len()
    }

    fn query(&self, (): &()) -> usize {
        self.0.len()
    }

    fn snapshot(&self) -> Vec<SetRecord> {
        let records = self.0.iter();
        records
            .map(|(program, record)| SetRecord {
                program: *program,
                record: record.clone(),
            })
            .collect()
    }

    fn restore(&mut self, snapshot: Vec<SetRecord>) {
        let records = snapshot.into_iter();
        self.0 = records.map(|set| (set.program, set.record)).collect();
    }
}
