//! The ledger: time of a command, bytes of a call and of a program.

use {
    crate::capacity::{Slope, slope::least_us},
    quay_ledger::{Command, Ledger, LedgerLimits, MemoryHistory, Op, Reply},
    quay_quorum::StateMachine as _,
    quay_types::{
        AccountId, Begin, BeginReply, CallNumber, ConfigIndex, ContentDigest, Epoch, GroupId,
        Incarnation, LogIndex, NewProgram, Outcome, ProgramId, ProgramLimits, RequestKey, Settle,
        Tokens, UpstreamId,
    },
};

/// Programs that a group is filled with.
const PROGRAMS: [u32; 5] = [1_000, 4_000, 16_000, 32_000, 64_000];

/// Bytes of a call's prompt and answer together.
const CALL_BYTES: [u32; 5] = [0, 1_024, 4_096, 16_384, 65_536];

/// Calls that are timed at each size.
const TIMED: u32 = 2_000;

/// A ledger and its log position.
struct Run {
    ledger: Ledger<MemoryHistory>,
    index: u64,
}

impl Run {
    /// A ledger with programs that have made one call each.
    fn with_programs(count: u32) -> Self {
        let mut run = Self {
            ledger: Ledger::new(GroupId(1), LedgerLimits::default()),
            index: 0,
        };
        for number in 0..u64::from(count) {
            run.create(number);
            run.call(number, 1, 0);
        }
        run
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

    /// Begins and settles a call; the bytes of both commands.
    fn call(&mut self, number: u64, call: u32, bytes: usize) -> usize {
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
        let mut sent = encoded(&begin);
        let Reply::Begin(BeginReply::Granted { permit, .. }) = self.apply(begin) else {
            return sent;
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
        sent += encoded(&settle);
        self.apply(settle);
        sent
    }
}

/// Key of a call.
fn key(number: u64, call: u32) -> RequestKey {
    RequestKey::of(AccountId(number % 3_600), &format!("{number}-{call}"))
}

/// Bytes of a command in the log and on the wire.
fn encoded(op: &Op) -> usize {
    let command = Command {
        at_ms: 1_700_000_000_000,
        op: op.clone(),
    };
    postcard::to_stdvec(&command).map_or(0, |bytes| bytes.len())
}

/// The ledger's slopes.
pub fn slopes() -> Vec<Slope> {
    let time = Slope::measure("ledger.call_cpu", "programs", "us", &PROGRAMS, |programs| {
        let mut run = Run::with_programs(programs);
        let mut next = 1;
        least_us(TIMED, || {
            next += 1;
            for number in 0..u64::from(TIMED).min(programs.into()) {
                run.call(number, next, 0);
            }
        })
    });
    let bytes = Slope::measure(
        "ledger.call_bytes",
        "text bytes",
        "B",
        &CALL_BYTES,
        |bytes| {
            let mut run = Run::with_programs(1);
            as_f64(run.call(0, 2, usize::try_from(bytes).unwrap_or_default()))
        },
    );
    let snapshot = Slope::measure(
        "ledger.program_snapshot",
        "programs",
        "B",
        &PROGRAMS,
        |programs| {
            let run = Run::with_programs(programs);
            as_f64(postcard::to_stdvec(&run.ledger.snapshot()).map_or(0, |bytes| bytes.len()))
        },
    );
    vec![time, bytes, snapshot]
}

/// A count as a measured value.
pub fn as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
