//! What the control group replicates.

use {
    crate::gateway::messages::{ControlCommand, TableText},
    indexmap::IndexMap,
    quay_quorum::StateMachine,
    quay_turns::StoreView,
    quay_types::{Epoch, Incarnation, LogIndex},
    serde::{Deserialize, Serialize},
};

/// Departures that are remembered; the oldest are dropped.
const MAX_DEPARTURES: usize = 1_024;

/// Replicated state of the control group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Rises with each change.
    pub version: u64,
    /// The routing table in force.
    pub table: Option<TableText>,
    /// Upstreams that get no new work, with their latest run of which this holds.
    pub departures: IndexMap<Box<str>, Incarnation>,
    /// Who keeps turns and charges.
    pub stores: StoreView,
}

impl ControlState {
    /// Puts a table into force unless one with its revision or a higher one is.
    fn put_table(&mut self, table: TableText) -> bool {
        let held = self.table.as_ref().map_or(0, |held| held.revision);
        let newer = self.table.is_none() || table.revision > held;
        if newer {
            self.table = Some(table);
        }
        newer
    }

    /// Notes that a run of an upstream and all before it get no new work.
    fn depart(&mut self, name: Box<str>, run: Incarnation) -> bool {
        let held = self.departures.get(&name).copied();
        if held >= Some(run) {
            return false;
        }
        self.departures.shift_remove(&name);
        self.departures.insert(name, run);
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.shift_remove_index(0);
        }
        true
    }
}

/// Asks for the state unless its version is known.
#[derive(Debug, Clone, Copy)]
pub struct IfChangedSince(pub Option<u64>);

impl StateMachine for ControlState {
    type Command = ControlCommand;
    type Reply = bool;
    type Query = IfChangedSince;
    type Answer = Option<Box<ControlState>>;
    type Snapshot = ControlState;

    fn apply(&mut self, _: LogIndex, _: Epoch, command: ControlCommand) -> bool {
        let changed = match command {
            ControlCommand::PutTable(table) => self.put_table(table),
            ControlCommand::Depart(name, run) => self.depart(name, run),
            ControlCommand::Stores(change) => self.stores.apply(&change),
        };
        self.version += u64::from(changed);
        changed
    }

    fn query(&self, known: &IfChangedSince) -> Option<Box<ControlState>> {
        (known.0 != Some(self.version)).then(|| Box::new(self.clone()))
    }

    fn snapshot(&self) -> ControlState {
        self.clone()
    }

    fn restore(&mut self, snapshot: ControlState) {
        *self = snapshot;
    }
}
