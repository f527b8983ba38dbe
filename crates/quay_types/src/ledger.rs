//! Messages that entries and sidecars exchange with the ledger.

use {
    crate::{
        AccountId, CallNumber, ConfigIndex, ContentDigest, Error, Incarnation, Outcome, Permit,
        ProgramId, RequestKey, Tokens, UpstreamId,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Limits of a program, which also end a program stuck in a loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramLimits {
    /// Tokens that the program and its sub-agents may use together.
    pub budget: Tokens,
    /// Maximum number of calls of the program.
    pub turns: u32,
    /// Seconds after creation at which the program ends.
    pub lifetime_s: u32,
    /// Maximum number of sub-agents in the tree below one root.
    pub sub_agents: u32,
    /// Maximum number of levels of sub-agents below the root.
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

/// Request to create a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewProgram {
    /// Account that owns the program.
    pub account: AccountId,
    /// Key of the creating request, so that a resend gets the same id.
    pub key: RequestKey,
    /// Id of the new root program, or the parent's id for a sub-agent.
    pub program: ProgramId,
    /// Whether to create a sub-agent of `program`.
    pub sub_agent: bool,
    /// Limits; the budget of a sub-agent is reserved in its parent's budget.
    pub limits: ProgramLimits,
}

/// Request for a permit to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Program of the call.
    pub program: ProgramId,
    /// Account that makes the call.
    pub account: AccountId,
    /// Limits of the program to create for a standalone call; `None` for a call
    /// of an existing program.
    pub implicit: Option<ProgramLimits>,
    /// Position of the call; `None` takes the next position.
    pub number: Option<CallNumber>,
    /// Identity of the call across resends.
    pub key: RequestKey,
    /// Digest of the call's content.
    pub digest: ContentDigest,
    /// Tokens to reserve: prompt plus maximum output.
    pub reserve: Tokens,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Upstream selected by the entry, and the incarnation of its sidecar.
    pub upstream: (UpstreamId, Incarnation),
    /// Version of the configuration that the entry uses.
    pub config: ConfigIndex,
    /// New part of the prompt, to be stored in the program's history.
    pub prompt: Box<[u8]>,
}

/// Answer to a [`Begin`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginReply {
    /// The call may run under this permit.
    Granted {
        /// Permit for the next attempt.
        permit: Permit,
        /// Position assigned to the call.
        number: CallNumber,
        /// Attained service: tokens that the program has used so far.
        attained: Tokens,
        /// Whether the call may run more than once, as stated by its first
        /// send.
        idempotent: bool,
    },
    /// An earlier call is open or may still start; ask again after the given
    /// milliseconds.
    Wait(u32),
    /// Recorded outcome of a call that has already ended.
    Replay(Outcome),
    /// An attempt is running under this permit; query its sidecar.
    Running(Permit),
    /// The call may not run.
    Refused(Error),
}

/// Request to record the end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// Program of the call.
    pub program: ProgramId,
    /// Permit of the attempt.
    pub permit: Permit,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

/// Call in the history of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Position of the call.
    pub number: CallNumber,
    /// New part of the call's prompt.
    pub prompt: Box<[u8]>,
    /// Outcome of the call; `None` while the call is open.
    pub outcome: Option<Outcome>,
}

/// State and history of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramStatus {
    /// Id of the program.
    pub program: ProgramId,
    /// Account that owns the program.
    pub account: AccountId,
    /// Limits of the program.
    pub limits: ProgramLimits,
    /// Tokens used.
    pub used: Tokens,
    /// Tokens reserved for open or lost attempts and for sub-agents.
    pub reserved: Tokens,
    /// Whether the program has ended.
    pub ended: bool,
    /// Calls of the program, in order.
    pub calls: Box<[CallRecord]>,
}

/// First message on a stream to a ledger host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Creates a program.
    Create(NewProgram),
    /// Requests a permit to run a call.
    Begin(Begin),
    /// Records the end of an attempt.
    Settle(Settle),
    /// Reports that the caller was told that the call with this key ended
    /// without a complete answer, so that later calls need not wait for it.
    GiveUp(ProgramId, RequestKey),
    /// Ends a program.
    End(ProgramId, AccountId),
    /// Reads the state and history of a program, confirmed by a quorum.
    Show(ProgramId, AccountId),
    /// Asks which of these programs have ended; sent periodically by sidecars.
    Ended(Box<[ProgramId]>),
}

/// Answer to a [`LedgerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// Answer to `Create`.
    Created(ProgramId),
    /// Answer to `Begin`.
    Begin(BeginReply),
    /// The change is durable.
    Done,
    /// The call already has this outcome, which is final.
    Superseded(Outcome),
    /// Answer to `Show`.
    Program(Box<ProgramStatus>),
    /// Answer to `Ended`: the programs that have ended.
    Ended(Box<[ProgramId]>),
    /// The request was proposed and may still commit; send it again.
    Unknown,
    /// Another replica leads the group; its address, if known.
    Redirect(Option<SocketAddr>),
    /// The request was rejected and changed nothing.
    Refused(Error),
}
