//! Test harness around a ledger, and constructors of requests.
#![allow(dead_code)] // Each test file uses only some of the helpers.

use {
    quay_ledger::{Answer, Command, Ledger, LedgerLimits, MemoryHistory, Op, Query, Reply},
    quay_quorum::StateMachine as _,
    quay_types::{
        AccountId, Begin, BeginReply, CallNumber, ConfigIndex, ContentDigest, Epoch, ErrorKind,
        GroupId, Incarnation, LogIndex, NewProgram, Outcome, Permit, ProgramId, ProgramLimits,
        ProgramStatus, RequestKey, Settle, Tokens, UpstreamId,
    },
};

pub const OWNER: AccountId = AccountId(1);
pub const ROOT: ProgramId = ProgramId::root(7);

/// Ledger with the current log index and time.
pub struct LedgerHarness {
    pub ledger: Ledger<MemoryHistory>,
    pub index: u64,
    pub now_ms: u64,
}

impl LedgerHarness {
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            ledger: Ledger::new(GroupId(1), limits),
            index: 0,
            now_ms: 1_000_000,
        }
    }

    /// Creates a ledger with one root program.
    pub fn with_root(limits: ProgramLimits) -> Self {
        let mut harness = Self::new(LedgerLimits::default());
        let created = harness.apply(Op::Create(new_root(ROOT, limits)));
        assert_eq!(created, Reply::Created(ROOT));
        harness
    }

    pub fn apply(&mut self, op: Op) -> Reply {
        self.index += 1;
        let command = Command {
            at_ms: self.now_ms,
            op,
        };
        self.ledger.apply(LogIndex(self.index), Epoch(1), command)
    }

    pub fn begin(&mut self, begin: Begin) -> BeginReply {
        match self.apply(Op::Begin(begin)) {
            Reply::Begin(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub fn begin_granted(&mut self, begin: Begin) -> Permit {
        match self.begin(begin) {
            BeginReply::Granted { permit, .. } => permit,
            other => panic!("{other:?}"),
        }
    }

    pub fn refusal(&mut self, begin: Begin) -> ErrorKind {
        match self.begin(begin) {
            BeginReply::Refused(err) => err.kind,
            other => panic!("{other:?}"),
        }
    }

    pub fn settle(&mut self, permit: Permit, outcome: Outcome) -> Reply {
        self.settle_in(ROOT, permit, outcome)
    }

    pub fn settle_in(&mut self, program: ProgramId, permit: Permit, outcome: Outcome) -> Reply {
        self.apply(Op::Settle(Settle {
            program,
            permit,
            outcome,
        }))
    }

    pub fn show(&self, program: ProgramId) -> ProgramStatus {
        match self.ledger.query(&Query::Show(program, OWNER)) {
            Answer::Program(status) => *status,
            other => panic!("{other:?}"),
        }
    }
}

pub fn limits(budget: u64) -> ProgramLimits {
    ProgramLimits {
        budget: Tokens(budget),
        ..ProgramLimits::default()
    }
}

pub fn new_root(program: ProgramId, limits: ProgramLimits) -> NewProgram {
    NewProgram {
        account: OWNER,
        key: RequestKey(u128::from(program.root)),
        program,
        sub_agent: false,
        limits,
    }
}

/// Request key; its fingerprint is `number`, so different numbers have different
/// fingerprints.
pub fn key(number: u64) -> RequestKey {
    RequestKey(u128::from(number) << 64 | 1)
}

/// Call of the root program that reserves 100 tokens and may run more than once.
pub fn call(number: u64) -> Begin {
    Begin {
        program: ROOT,
        account: OWNER,
        implicit: None,
        number: None,
        key: key(number),
        digest: ContentDigest::of(&[&number.to_le_bytes()]),
        reserve: Tokens(100),
        idempotent: true,
        upstream: (UpstreamId(1), Incarnation(1)),
        config: ConfigIndex(0),
        prompt: number.to_string().into_bytes().into(),
    }
}

/// Like [`call`], but the call may not run twice.
pub fn once(number: u64) -> Begin {
    Begin {
        idempotent: false,
        ..call(number)
    }
}

pub fn numbered(begin: Begin, number: u32) -> Begin {
    Begin {
        number: Some(CallNumber(number)),
        ..begin
    }
}

pub fn completed(tokens: u64) -> Outcome {
    Outcome::Completed {
        prompt: Tokens(tokens),
        output: Tokens(0),
        answer: tokens.to_string().into_bytes().into(),
    }
}
