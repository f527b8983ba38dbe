//! Messages between the processes of a gateway.

use {
    quay_members::{Changes, ChangesRequest},
    quay_quorum::Member,
    quay_turns::{Charge, Record, StoreAnnouncement, StoreChange, StoreView, TurnRecord},
    quay_types::{Announcement, Incarnation, ProgramTag, TurnId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// First message of a stream; one answer follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayRequest {
    /// For a control host; answered by [`ControlReply`].
    Control(ControlRequest),
    /// For a store host; answered by [`StoreReply`].
    Store(StoreRequest),
    /// For a front: to be passed on to the store host at this address; answered
    /// by [`StoreReply`].
    Relay(SocketAddr, StoreRequest),
}

// ---------------------------------------------------------------------------
// Control hosts

/// What is asked of the leader of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// What changed; answered when something did, or after a while.
    Follow(FollowerState),
    /// An upstream announces itself.
    Announce(Box<Announcement>),
    /// An upstream is leaving.
    Leave(Box<str>, Option<Incarnation>),
    /// Put a routing table into force.
    PutTable(TableDocument),
    /// Read the routing table in force.
    GetTable,
    /// A replica that belongs to no group wants to join.
    Join(Member),
    /// A store host says how it stands.
    AnnounceStore(StoreAnnouncement),
    /// Empty a store host.
    Retire(Box<str>),
    /// Whether a store host is empty.
    Retired(Box<str>),
}

/// How much a follower knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerState {
    /// Revision of the routing table; 0 without one.
    pub revision: u64,
    /// Version of the view of stores.
    pub stores: u64,
    /// What is known of the directory.
    pub directory: ChangesRequest,
    /// Links of the follower.
    pub link: SocketAddr,
}

/// A routing table as it was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDocument {
    /// Its revision.
    pub revision: u64,
    /// The document, byte for byte.
    #[serde(with = "quay_types::bytes")]
    pub document: Box<[u8]>,
}

/// News for a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlUpdate {
    /// Version of the control state.
    pub version: u64,
    /// The routing table, if the follower's is another.
    pub table: Option<TableDocument>,
    /// The view of stores, if the follower's is another.
    pub stores: Option<StoreView>,
    /// Changes of the directory.
    pub directory: Changes,
    /// Links of all control hosts.
    pub controls: Vec<SocketAddr>,
    /// Links of some other followers.
    pub followers: Vec<SocketAddr>,
}

/// Answer of a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// To [`ControlRequest::Follow`].
    Update(Box<ControlUpdate>),
    /// Done, or done before.
    Done,
    /// To [`ControlRequest::GetTable`]; `None` before there is one.
    Table(Option<TableDocument>),
    /// To [`ControlRequest::AnnounceStore`].
    Stores(StoreView),
    /// To [`ControlRequest::Retired`]: whether the host is empty.
    Retired(bool),
    /// There is no such host.
    Unknown,
    /// Too few hosts would be left.
    TooFew,
    /// Another host leads, if known; nothing happened.
    NotLeader(Option<SocketAddr>),
    /// There is no quorum, or the command may yet be carried out.
    Unavailable,
}

/// What the control group replicates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Put a routing table into force if its revision is the highest.
    PutTable(TableDocument),
    /// An upstream gets no new work in this run and earlier ones.
    Depart(Box<str>, Incarnation),
    /// Change the view of stores.
    Stores(StoreChange),
}

// ---------------------------------------------------------------------------
// Store hosts

/// What is asked of a store host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRequest {
    /// Identity of the store that is meant.
    pub to: u64,
    /// Epoch of the sender's view.
    pub epoch: u64,
    /// Epoch in which the store joined, by the sender's view.
    pub joined: u64,
    /// What is asked.
    pub op: StoreOp,
}

/// What is asked of a store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOp {
    /// Keep a record.
    Write(Record),
    /// Keep a charge and tell all charges of its program.
    Reserve(ProgramTag, Charge),
    /// Tell a turn and all before it.
    Chain(TurnId),
    /// Refuse earlier epochs from now on.
    FenceEpoch,
    /// Tell these turns.
    Fetch(Vec<TurnId>),
    /// List turns, and tell charges, after these numbers.
    List {
        /// Number of the last turn that is known.
        turns: u64,
        /// Number of the last program that is known.
        programs: u64,
    },
}

/// Answer of a store host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Synced.
    Synced,
    /// Synced; every charge of the program.
    Charges(Vec<Charge>),
    /// Turns, newest first, and the one at which the chain breaks off.
    Chain(Vec<TurnRecord>, Option<TurnId>),
    /// To [`StoreOp::Fetch`]; turns that are not held are left out.
    Turns(Vec<TurnRecord>),
    /// A part of all that is held.
    List(Box<StoreList>),
    /// The sender's view is not in force.
    Stale(u64),
    /// The store can't do it now, or is not the one that is meant.
    Refused,
}

/// A part of all that a store holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreList {
    /// Turns.
    pub turns: Vec<TurnId>,
    /// Charges.
    pub charges: Vec<(ProgramTag, Charge)>,
    /// Number of the last turn that is listed.
    pub last_turn: u64,
    /// Number of the last program whose charges are told.
    pub last_program: u64,
}
