//! State machine that the control group replicates.

use {
    crate::gateway::messages::{ControlCommand, SuspectList, TableDocument},
    indexmap::IndexMap,
    quay_policy::{SuspectCommand, SuspectRegistry, SuspectSettings, VersionRegistry},
    quay_quorum::StateMachine,
    quay_turns::{StoreChange, StoreMap},
    quay_types::{Epoch, Incarnation, LogIndex},
    serde::{Deserialize, Serialize},
};

/// Maximum number of recorded departures; the oldest are dropped first.
const MAX_DEPARTURES: usize = 1_024;

/// Replicated state of the control group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Incremented with each change.
    pub version: u64,
    /// Current routing table.
    pub table: Option<TableDocument>,
    /// Upstreams that receive no new work, by name, with the latest run to which
    /// this applies.
    pub departures: IndexMap<Box<str>, Incarnation>,
    /// Store hosts that hold turns and charges.
    pub stores: StoreMap,
    /// Requests that are suspected of crashing upstreams; snapshots of earlier
    /// versions end before them.
    #[serde(deserialize_with = "quay_types::last_field::or_default")]
    pub suspects: Suspects,
    /// Software versions of all services; snapshots of earlier versions end before them.
    #[serde(deserialize_with = "quay_types::last_field::or_default")]
    pub versions: VersionRegistry,
}

/// Requests that are suspected of crashing upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    registry: SuspectRegistry,
    /// The suspects that followers get.
    pub listed: SuspectList,
}

impl Default for Suspects {
    fn default() -> Self {
        let registry = SuspectRegistry::new(SuspectSettings::default());
        let listed = SuspectList {
            version: 0,
            suspects: registry.clone(),
        };
        Self { registry, listed }
    }
}

impl Suspects {
    /// Applies a command. Returns whether it changed anything.
    fn apply(&mut self, command: &SuspectCommand) -> bool {
        let before = self.registry.clone();
        self.registry.apply(command);
        let listed = self.registry.listed();
        if listed != self.listed.suspects {
            self.listed.suspects = listed;
            self.listed.version += 1;
        }
        self.registry != before
    }
}

impl ControlState {
    /// Replaces the routing table if `table` has a higher revision.
    fn put_table(&mut self, table: TableDocument) -> bool {
        let held = self.table.as_ref().map_or(0, |held| held.revision);
        let newer = self.table.is_none() || table.revision > held;
        if self.table.is_none() {
            // Without a table no stream can have begun.
            self.versions.begin();
        }
        if newer {
            self.table = Some(table);
        }
        newer
    }

    /// Records that a run of an upstream and all earlier ones receive no new
    /// work.
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

    /// Applies those of the changes that are applicable, in order.
    fn change_stores(&mut self, changes: &[StoreChange]) -> bool {
        let before = self.stores.version;
        for change in changes {
            self.stores.apply(change);
        }
        self.stores.version != before
    }
}

/// Query for the state; the answer is `None` if the version equals the known
/// one.
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
            ControlCommand::Stores(changes) => self.change_stores(&changes),
            ControlCommand::Suspects(command) => self.suspects.apply(&command),
            ControlCommand::Versions(seen) => self.versions.record(&seen),
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
