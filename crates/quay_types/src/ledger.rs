//! Messages between an entry or a sidecar and the ledger.

use {
    crate::{
        AccountId, CallNumber, ConfigIndex, ContentDigest, Error, Incarnation, Outcome, Permit,
        ProgramId, RequestKey, Tokens, UpstreamId,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Bounds that end a program which loops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramLimits {
    /// Tokens that the program and its sub-agents may use.
    pub budget: Tokens,
    /// Calls that the program may make.
    pub turns: u32,
    /// Seconds from creation to the end at the latest.
    pub lifetime_s: u32,
    /// Sub-agents below one root, in all.
    pub sub_agents: u32,
    /// Levels of sub-agents below the root.
    pub depth: u8,
}

impl Default for ProgramLimits {
    fn default() -> Self {
        Self {
            budget: Tokens(2_000_000),
            turns: 128,
            lifetime_s: 24 * 3600,
            sub_agents: 32,
            depth: 4,
        }
    }
}

/// Creates a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewProgram {
    /// Account that owns it.
    pub account: AccountId,
    /// Key of the request that creates it, so that a resend gets the same id.
    pub key: RequestKey,
    /// Id of a root; for a sub-agent the parent's id.
    pub program: ProgramId,
    /// Whether `program` is the parent of the program to create.
    pub sub_agent: bool,
    /// Limits; a sub-agent's budget is carved from its parent's.
    pub limits: ProgramLimits,
}

/// Asks for leave to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Program of the call.
    pub program: ProgramId,
    /// Account that asks.
    pub account: AccountId,
    /// Limits to create the program with, for a call that is a program of its own.
    pub implicit: Option<ProgramLimits>,
    /// Position of the call; `None` takes the next one.
    pub number: Option<CallNumber>,
    /// Identity of the call across resends.
    pub key: RequestKey,
    /// Digest of its content.
    pub digest: ContentDigest,
    /// Tokens to reserve: prompt and most output.
    pub reserve: Tokens,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Upstream that the entry chose, and the run of its sidecar.
    pub upstream: (UpstreamId, Incarnation),
    /// Configuration that the entry acts on.
    pub config: ConfigIndex,
    /// New part of the prompt, kept in the program's history.
    pub prompt: Box<[u8]>,
}

/// Answer to a [`Begin`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginReply {
    /// Run the call under this permit.
    Granted {
        /// The permit.
        permit: Permit,
        /// Position that the call was given.
        number: CallNumber,
        /// Tokens used by the program so far.
        attained: Tokens,
        /// Whether the call may run more than once, as its first send said.
        idempotent: bool,
    },
    /// An earlier call is open; ask again after the given milliseconds.
    Wait(u32),
    /// The call ended before; this is its outcome.
    Replay(Outcome),
    /// An attempt runs under this permit; ask its sidecar.
    Running(Permit),
    /// The call may not run.
    Refused(Error),
}

/// Closes an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// Program of the call.
    pub program: ProgramId,
    /// Permit of the attempt.
    pub permit: Permit,
    /// How the attempt ended.
    pub outcome: Outcome,
}

/// One call of a program's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Position of the call.
    pub number: CallNumber,
    /// New part of its prompt.
    pub prompt: Box<[u8]>,
    /// How it ended; `None` while it is open.
    pub outcome: Option<Outcome>,
}

/// What the ledger tells of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramStatus {
    /// The program.
    pub program: ProgramId,
    /// Account that owns it.
    pub account: AccountId,
    /// Its limits.
    pub limits: ProgramLimits,
    /// Tokens used.
    pub used: Tokens,
    /// Tokens reserved by open calls and grants to sub-agents.
    pub reserved: Tokens,
    /// Whether it has ended.
    pub ended: bool,
    /// Its calls, in order.
    pub calls: Box<[CallRecord]>,
}

/// First message on a stream to a ledger host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Create a program.
    Create(NewProgram),
    /// Ask for leave to run a call.
    Begin(Begin),
    /// Close an attempt.
    Settle(Settle),
    /// The caller was told that the call of this key ended without a whole
    /// answer; later calls need not wait for it.
    GiveUp(ProgramId, RequestKey),
    /// End a program.
    End(ProgramId, AccountId),
    /// Tell a program's state and history, confirmed by a quorum.
    Show(ProgramId, AccountId),
    /// Which of these programs have ended; a sidecar's sweep.
    Ended(Box<[ProgramId]>),
}

/// Answer to a [`LedgerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// Answer to `Create`.
    Created(ProgramId),
    /// Answer to `Begin`.
    Begin(BeginReply),
    /// The settlement or end is durable.
    Done,
    /// The call was closed before with this outcome, which stands.
    Superseded(Outcome),
    /// Answer to `Show`.
    Program(Box<ProgramStatus>),
    /// Answer to `Ended`: those that have.
    Ended(Box<[ProgramId]>),
    /// The request was proposed and may yet be carried out; send it again.
    Unknown,
    /// Another replica leads the group; its address, if known.
    Redirect(Option<SocketAddr>),
    /// The request was not carried out.
    Refused(Error),
}
