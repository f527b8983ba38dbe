//! Messages between the processes of a gateway.
//!
//! They are encoded with `postcard`, by position: variants and fields keep
//! their order and types.

use {
    quay_members::{Changes, ChangesRequest, DepartureChanges},
    quay_policy::{
        PermitGrant, PermitRequest, QuotaReply, QuotaRequest, ServiceVersions, StreamOrigin,
        SuspectCommand, SuspectEvent, SuspectRegistry, VersionsSeen,
    },
    quay_quorum::Member,
    quay_turns::{
        ChainPart, Charge, ListedTurn, Record, StoreAnnouncement, StoreChange, StoreMap, TurnRecord,
    },
    quay_types::{
        Announcement, AttemptTag, ContentDigest, GroupId, Incarnation, ProgramTag, RequestRate,
        ScopedId, TurnId,
    },
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// First message of a stream; exactly one reply follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayRequest {
    /// For a control host; answered by [`ControlReply`].
    Control(ControlRequest),
    /// For a store host; answered by [`StoreReply`].
    Store(StoreRequest),
    /// For a front, which relays it to the store host at this address; answered
    /// by [`StoreReply`].
    Relay(SocketAddr, StoreRequest),
}

// ---------------------------------------------------------------------------
// Control hosts

/// Request to the leader of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Long poll for changes: answered on a change, or after a time-out.
    Follow(FollowerState),
    /// Announcement of an upstream.
    Announce(Box<Announcement>),
    /// The named upstream is leaving; without an incarnation, the announced one
    /// is meant.
    Leave(Box<str>, Option<Incarnation>),
    /// Puts a routing table into force.
    PutTable(TableDocument),
    /// Reads the routing table in force.
    GetTable,
    /// A replica that belongs to no group asks to join; answered by
    /// [`ControlReply::Hosts`].
    Join(Member),
    /// Announcement of a store host with its current state, and the version of
    /// its store map.
    AnnounceStore(StoreAnnouncement, u64),
    /// Starts to retire a store host, which empties it.
    Retire(Box<str>),
    /// Asks whether a store host is empty.
    Retired(Box<str>),
    /// Runs that a front lost by crashes of upstreams, and runs of suspects that
    /// completed.
    ReportRuns(Box<[SuspectEvent]>),
    /// Asks for permits to send requests to limited upstreams.
    TakePermits(PermitRequest),
    /// Reports the use of accounts' limits and asks for permits.
    TakeQuota(QuotaRequest),
    /// Reads the limits of accounts and their use.
    ShowQuotas,
    /// Tells which control hosts the sender knows, and asks for those that the receiver
    /// knows. Answered by every control host, also by one outside the control group.
    Introduce(ControlHosts),
}

/// Control hosts that a process knows of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlHosts {
    /// Link address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// Link addresses of the members of the control group; empty if unknown.
    pub members: Box<[SocketAddr]>,
}

/// State that a follower already has; the leader sends what differs from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerState {
    /// Revision of its routing table; 0 without one.
    pub revision: u64,
    /// Version of its store map.
    pub stores: u64,
    /// Request for the directory changes that it lacks.
    pub directory: ChangesRequest,
    /// Link address of the follower.
    pub link: SocketAddr,
    /// Version of its list of suspects; 0 without one.
    pub suspects: u64,
    /// Whether it reads [`UpstreamKind::VersionedService`](quay_types::UpstreamKind);
    /// followers of earlier versions end before this field.
    #[serde(deserialize_with = "quay_types::last_field::or_default")]
    pub reads_versions: bool,
    /// Revision of its list of versions; 0 without one, and for followers of earlier
    /// versions, which end before this field.
    #[serde(deserialize_with = "quay_types::last_field::or_default")]
    pub versions: u64,
    /// Number of departures that it knows from the run of the leader which `directory`
    /// names; `None` for followers of earlier versions, which end before this field.
    #[serde(deserialize_with = "quay_types::last_field::or_default")]
    pub departures: Option<u64>,
}

/// Requests that are suspected of crashing upstreams, as followers get them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectList {
    /// Increases with each change of the list.
    pub version: u64,
    /// The suspects that followers must know.
    pub suspects: SuspectRegistry,
}

/// A routing table as the operator sent it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDocument {
    /// Revision of the table.
    pub revision: u64,
    /// The document, byte for byte.
    #[serde(with = "quay_types::bytes")]
    pub document: Box<[u8]>,
}

impl fmt::Debug for TableDocument {
    /// Shows the document's length only, as it holds keys of accounts.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (revision, bytes) = (self.revision, self.document.len());
        write!(f, "TableDocument({revision}, {bytes} bytes)")
    }
}

/// Update from the control leader to a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlUpdate {
    /// Version of the control state.
    pub version: u64,
    /// The routing table, if the follower's differs.
    pub table: Option<TableDocument>,
    /// The store map, if the follower's differs.
    pub stores: Option<StoreMap>,
    /// Directory changes.
    pub directory: Changes,
    /// Link addresses of all control hosts.
    pub controls: Vec<SocketAddr>,
    /// Link addresses of some other followers.
    pub followers: Vec<SocketAddr>,
    /// The list of suspects, if the follower's differs.
    pub suspects: Option<SuspectList>,
    /// The versions of all services, if the follower's list differs; leaders of earlier
    /// versions end before this field.
    #[serde(deserialize_with = "quay_types::last_field::or_default")]
    pub versions: Option<ServiceVersions>,
    /// Departures that the follower lacks; leaders of earlier versions end before this
    /// field.
    #[serde(deserialize_with = "quay_types::last_field::or_default")]
    pub departures: DepartureChanges,
}

/// Reply of a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Reply to [`ControlRequest::Follow`].
    Update(Box<ControlUpdate>),
    /// Executed now or earlier; requests are idempotent.
    Done,
    /// Reply to [`ControlRequest::GetTable`]; `None` if no table was put yet.
    Table(Option<TableDocument>),
    /// Reply to [`ControlRequest::AnnounceStore`]: the store map, if the store's
    /// differs.
    Stores(Option<StoreMap>),
    /// Reply to [`ControlRequest::Retired`]: whether the host is empty.
    Retired(bool),
    /// The named host does not exist.
    Unknown,
    /// Refused, since too few store hosts would remain.
    TooFew,
    /// Not executed, since this host is not the leader; holds the leader's
    /// address if known.
    NotLeader(Option<SocketAddr>),
    /// No quorum was reached; the command may still be executed later.
    Unavailable,
    /// Reply to [`ControlRequest::TakePermits`].
    Permits(PermitGrant),
    /// Reply to [`ControlRequest::TakeQuota`].
    Quota(QuotaReply),
    /// Reply to [`ControlRequest::ShowQuotas`].
    Quotas(Box<[QuotaRow]>),
    /// Control hosts that the receiver knows.
    Hosts(ControlHosts),
}

/// Limit of an account and its use, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Name of the account.
    pub account: Box<str>,
    /// Rate of its limit.
    pub rate: RequestRate,
    /// Requests that may exceed the rate.
    pub burst: u64,
    /// Requests for which there is room now.
    pub free: i64,
    /// Permits that fronts hold.
    pub held: i64,
    /// Requests sent since the present leader began.
    pub used: u64,
    /// Requests that a program of the account is expected to make.
    pub program_length: u64,
}

/// Command in the replicated log of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Puts a routing table into force if its revision is the highest.
    PutTable(TableDocument),
    /// Gives an upstream no new requests in this incarnation or earlier ones.
    Depart(Box<str>, Incarnation),
    /// Changes the store map, in this order.
    Stores(Vec<StoreChange>),
    /// Changes the requests that are suspected of crashing upstreams.
    Suspects(SuspectCommand),
    /// Records the versions of services that are listed.
    Versions(VersionsSeen),
}

// ---------------------------------------------------------------------------
// Store hosts

/// Request to a store host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRequest {
    /// Identity of the addressed store.
    pub to: u64,
    /// Group that the request concerns.
    pub group: GroupId,
    /// Epoch of the sender's view of the group.
    pub epoch: u64,
    /// Epoch in which the store joined the group, according to the sender's view.
    pub joined: u64,
    /// Operation to execute.
    pub op: StoreOp,
}

/// Operation on a store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOp {
    /// Writes records durably, with one sync.
    Write(Vec<Record>),
    /// Writes a charge durably and returns all charges of its program.
    Reserve(ProgramTag, Charge),
    /// Returns a turn and all turns before it.
    Chain(TurnId),
    /// Makes the store refuse requests of earlier epochs from now on.
    FenceEpoch,
    /// Returns the given turns.
    Fetch(Vec<TurnId>),
    /// Lists turns, and returns charges, after the given sequence numbers.
    List {
        /// Sequence number of the last turn that the requester knows.
        turns: u64,
        /// Sequence number of the last program that the requester knows.
        programs: u64,
    },
    /// Remembers the origin of the stream that an attempt began, for some seconds, also
    /// under its content.
    RecordStream(
        AttemptTag,
        StreamOrigin,
        u32,
        #[serde(deserialize_with = "quay_types::last_field::or_default")] Option<ContentDigest>,
    ),
    /// Returns the origin of the stream that an attempt began.
    FindStream(AttemptTag),
    /// Returns the origins of the streams of a content, one for each version.
    FindContent(ContentDigest),
    /// Returns the given turns, from the first one on, as far as they fit into a reply
    /// of a few megabytes; at least one of those that the store holds.
    FetchSome(Vec<TurnId>),
    /// Lists turns with their sizes after the given sequence number.
    ListTurns(u64),
    /// Writes a charge durably to the programs that it is recorded under, and returns all
    /// charges of those that count.
    ReserveScoped(ScopedId<ProgramTag>, Charge),
    /// Lists a turn and the turns before it, and returns the oldest of them as far as they fit
    /// into a reply of a few megabytes.
    ListChain(TurnId),
}

/// Reply of a store host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The record is synced to disk.
    Synced,
    /// The charge is synced to disk; holds every charge of the program.
    Charges(Vec<Charge>),
    /// Turns, newest first, and the first turn that this store lacks, if any.
    Chain(Vec<TurnRecord>, Option<TurnId>),
    /// Reply to [`StoreOp::Fetch`] and [`StoreOp::FetchSome`]; turns that the store
    /// lacks are left out.
    Turns(Vec<TurnRecord>),
    /// Reply to [`StoreOp::List`].
    List(Box<StoreList>),
    /// The sender's view is out of date; holds the epoch that the store has
    /// seen.
    Stale(u64),
    /// The store cannot serve the request now, or is not the addressed store.
    Refused,
    /// Origin of a stream; `None` if the store does not know it.
    Stream(Option<StreamOrigin>),
    /// Reply to [`StoreOp::FindContent`].
    Streams(Box<[StreamOrigin]>),
    /// As [`Self::Charges`], from a store that still copies turns, but holds every charge
    /// that was acknowledged before it joined.
    AllCharges(Vec<Charge>),
    /// Reply to [`StoreOp::ListTurns`]: turns, and the sequence number of the last one.
    TurnList(Vec<ListedTurn>, u64),
    /// Reply to [`StoreOp::ReserveScoped`]: charges with the programs that they are
    /// recorded under, and whether the store holds every charge that was acknowledged
    /// before it joined, as with [`Self::AllCharges`].
    ScopedCharges(Vec<(ProgramTag, Charge)>, bool),
    /// Reply to [`StoreOp::ListChain`]: part of the chain, and its oldest turns.
    ChainPart(ChainPart, Vec<TurnRecord>),
}

/// Part of the contents of a store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreList {
    /// Identifiers of turns.
    pub turns: Vec<TurnId>,
    /// Charges with the programs that they belong to.
    pub charges: Vec<(ProgramTag, Charge)>,
    /// Sequence number of the last listed turn.
    pub last_turn: u64,
    /// Sequence number of the last program whose charges are included.
    pub last_program: u64,
}
