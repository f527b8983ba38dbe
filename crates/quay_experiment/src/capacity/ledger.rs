//! Ledger measurements: CPU time and bytes per call, snapshot bytes per program.

use {
    crate::capacity::{Slope, slope::min_time_us},
    quay_ledger::{Command, Ledger, LedgerLimits, MemoryHistory, Op, Reply},
    quay_quorum::StateMachine as _,
    quay_types::{
        AccountId, Begin, BeginReply, CallNumber, ConfigIndex, ContentDigest, Epoch, GroupId,
        Incarnation, LogIndex, NewProgram, Outcome, ProgramId, ProgramLimits, RequestKey, Settle,
        Tokens, UpstreamId,
    },
};

/// Numbers of programs in the ledger.
const PROGRAMS: [u32; 5] = [1_000, 4_000, 16_000, 32_000, 64_000];

/// Total sizes of a call's prompt and answer, in bytes.
const CALL_BYTES: [u32; 5] = [0, 1_024, 4_096, 16_384, 65_536];

/// Maximum number of calls that are timed at each size.
const TIMED_CALLS: u32 = 2_000;

/// A ledger and the index of its last applied log entry.
struct LedgerRun {
    ledger: Ledger<MemoryHistory>,
    index: u64,
}

impl LedgerRun {
    /// Creates a ledger with `count` programs that have made one call each.
    fn with_programs(count: u32) -> Self {
        let mut ledger_run = Self {
            ledger: Ledger::new(GroupId(1), LedgerLimits::default()),
            index: 0,
        };
        for number in 0..u64::from(count) {
            ledger_run.create(number);
            ledger_run.run_call(number, 1, 0);
        }
        ledger_run
    }

    fn apply(&mut self, op: Op) -> Reply {
        self.index += 1;
        self.ledger
            .apply(LogIndex(self.index), Epoch(1), Command { at_ms: 1, op })
    }

    fn create(&mut self, number: u64) {
        self.apply(Op::Create(NewProgram {
            account: AccountId(number % 3_600),
            key: key(number, 0),
            program: ProgramId::root(number),
            sub_agent: false,
            limits: ProgramLimits::default(),
        }));
    }

    /// Begins and settles a call with `bytes` of text; returns the encoded size of
    /// both commands in bytes.
    fn run_call(&mut self, number: u64, call: u32, bytes: usize) -> usize {
        let begin = Op::Begin(Begin {
            program: ProgramId::root(number),
            account: AccountId(number % 3_600),
            implicit: None,
            number: Some(CallNumber(call)),
            key: key(number, call),
            digest: ContentDigest::of(&[b"call"]),
            reserve: Tokens(100),
            idempotent: true,
            upstream: (UpstreamId(1), Incarnation(1)),
            config: ConfigIndex(1),
            prompt: vec![b'x'; bytes / 2].into(),
        });
        let mut encoded_bytes = encoded_len(&begin);
        let Reply::Begin(BeginReply::Granted { permit, .. }) = self.apply(begin) else {
            return encoded_bytes;
        };
        let settle = Op::Settle(Settle {
            program: ProgramId::root(number),
            permit,
            outcome: Outcome::Completed {
                prompt: Tokens(50),
                output: Tokens(50),
                answer: vec![b'y'; bytes - bytes / 2].into(),
            },
        });
        encoded_bytes += encoded_len(&settle);
        self.apply(settle);
        encoded_bytes
    }
}

/// Returns the idempotency key of a call.
fn key(number: u64, call: u32) -> RequestKey {
    RequestKey::of(AccountId(number % 3_600), &format!("{number}-{call}"))
}

/// Returns the encoded size in bytes of a command in the log and on the wire.
fn encoded_len(op: &Op) -> usize {
    let command = Command {
        at_ms: 1_700_000_000_000,
        op: op.clone(),
    };
    postcard::to_stdvec(&command).map_or(0, |bytes| bytes.len())
}

/// Measures the slopes of the ledger.
pub fn slopes() -> Vec<Slope> {
    let time = Slope::measure("ledger.call_cpu", "programs", "us", &PROGRAMS, |programs| {
        let mut ledger_run = LedgerRun::with_programs(programs);
        let mut next = 1;
        min_time_us(TIMED_CALLS, || {
            next += 1;
            for number in 0..u64::from(TIMED_CALLS).min(programs.into()) {
                ledger_run.run_call(number, next, 0);
            }
        })
    });
    let bytes = Slope::measure(
        "ledger.call_bytes",
        "text bytes",
        "B",
        &CALL_BYTES,
        |bytes| {
            let mut ledger_run = LedgerRun::with_programs(1);
            as_f64(ledger_run.run_call(0, 2, usize::try_from(bytes).unwrap_or_default()))
        },
    );
    let snapshot = Slope::measure(
        "ledger.program_snapshot",
        "programs",
        "B",
        &PROGRAMS,
        |programs| {
            let ledger_run = LedgerRun::with_programs(programs);
            as_f64(
                postcard::to_stdvec(&ledger_run.ledger.snapshot()).map_or(0, |bytes| bytes.len()),
            )
        },
    );
    vec![time, bytes, snapshot]
}

/// Converts a count to a measured value; counts beyond `u32` become `f64::MAX`.
pub fn as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
